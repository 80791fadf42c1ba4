//! Guards the choice of upstreams for turns and short calls under the expected load patterns.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use gypsumlever::{
    clock::Time,
    gateway::{
        balance::{
            pick,
            Request,
            Settings,
            JITTER, //
        },
        call::{
            Part,
            Prompt, //
        },
        load::{
            Load,
            Report, //
        },
        overload::speed::Speeds,
        registry::Server,
    },
    hash::Map,
};
use rand::{
    rngs::StdRng,
    SeedableRng as _, //
};

const NOW: Time = Time(10_000_000_000);

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + number))
}

fn server(number: u16, zone: &str) -> Rc<Server> {
    Rc::new(Server {
        id: format!("i-{number}").into(),
        service: "s".into(),
        address: address(number),
        zone: zone.into(),
        version: "v1".into(),
        slots: 8,
        draining: false,
        started: 1,
        report: 1,
    })
}

fn prompt(session: u64) -> Prompt {
    let parts = [(1, 12_600), (session, 1_680)];
    Prompt {
        tokens: 14_280,
        max_tokens: 592,
        parts: parts
            .iter()
            .map(|(id, tokens)| Part {
                id: *id,
                tokens: *tokens,
            })
            .collect(),
    }
}

struct Fleet {
    servers: Vec<Rc<Server>>,
    loads: Map<SocketAddr, Load>,
    rng: StdRng,
}

impl Fleet {
    fn new(zones: &[&str]) -> Self {
        let servers = (0..).zip(zones).map(|(number, zone)| server(number, zone));
        Self {
            servers: servers.collect(),
            loads: Map::default(),
            rng: StdRng::seed_from_u64(1),
        }
    }

    fn load(&mut self, number: u16) -> &mut Load {
        self.loads.entry(address(number)).or_default()
    }

    fn pick(&mut self, prompt: Option<&Prompt>, excluded: &[SocketAddr]) -> Option<SocketAddr> {
        self.pick_for(prompt, None, excluded)
    }

    fn pick_for(
        &mut self,
        prompt: Option<&Prompt>,
        object: Option<&str>,
        excluded: &[SocketAddr],
    ) -> Option<SocketAddr> {
        let prefixes = prompt.map(Prompt::prefixes).unwrap_or_default();
        let request = Request {
            now: NOW,
            zone: "a",
            prompt: prompt.map(|prompt| (prompt, &prefixes[..])),
            route: "",
            object,
            excluded,
            version: None,
            jitter: JITTER,
        };
        let settings = Settings::default();
        let servers = self.servers.iter();
        let priors = (&settings, &Speeds::default());
        let choice = pick(priors, &request, servers, &self.loads, &mut self.rng)?;
        Some(choice.server.address)
    }
}

#[test]
fn pick_returns_turn_to_the_upstream_that_cached_its_prompt() {
    let mut fleet = Fleet::new(&["a", "a", "a"]);
    let prompt = prompt(2);
    fleet.load(1).record_cached(&prompt.prefixes(), 400_000);
    for _ in 0..50 {
        assert_eq!(fleet.pick(Some(&prompt), &[]), Some(address(1)));
    }
}

#[test]
fn pick_avoids_full_upstream_even_if_it_cached_the_prompt() {
    let mut fleet = Fleet::new(&["a", "a"]);
    let prompt = prompt(2);
    fleet.load(1).record_cached(&prompt.prefixes(), 400_000);
    for _ in 0..16 {
        fleet.load(1).sent(0);
    }
    assert_eq!(fleet.pick(Some(&prompt), &[]), Some(address(0)));
}

#[test]
fn pick_agrees_across_instances_on_the_upstream_of_a_shared_part() {
    let picks = (2..20).map(|session| Fleet::new(&["a"; 4]).pick(Some(&prompt(session)), &[]));
    let first = picks.clone().next();
    assert!(picks.into_iter().all(|pick| Some(pick) == first));
}

#[test]
fn pick_stays_in_the_zone_while_load_is_equal() {
    let mut fleet = Fleet::new(&["b", "a", "b"]);
    assert_eq!(fleet.pick(Some(&prompt(2)), &[]), Some(address(1)));
}

#[test]
fn pick_avoids_an_upstream_that_reports_a_slow_pace() {
    let mut fleet = Fleet::new(&["a", "a"]);
    let slow = Report {
        running: 0,
        waiting: 0,
        slots: 8,
        pace: 2.5,
    };
    fleet.load(0).report(NOW, slow);
    assert_eq!(fleet.pick(None, &[]), Some(address(1)));
}

#[test]
fn report_decays_with_its_age() {
    let mut load = Load::default();
    let report = Report {
        running: 8,
        waiting: 4,
        slots: 8,
        pace: 2.5,
    };
    load.report(NOW, report);
    assert!((load.pace(NOW) - 2.5).abs() < 1e-9);
    assert!((load.running(NOW) - 12.0).abs() < 1e-9);
    let later = NOW + Duration::from_secs(5);
    assert!(load.pace(later) < 1.21);
    assert!(load.running(later) < 0.1);
}

#[test]
fn pick_uses_unreachable_upstream_as_last_resort() {
    let mut fleet = Fleet::new(&["a", "a"]);
    fleet.load(0).unreachable(NOW);
    assert_eq!(fleet.pick(None, &[]), Some(address(1)));
    assert_eq!(fleet.pick(None, &[address(1)]), Some(address(0)));
    assert_eq!(fleet.pick(None, &[address(0), address(1)]), None);
}

#[test]
fn ended_removes_the_load_of_a_request() {
    let mut load = Load::default();
    load.sent(500);
    load.sent(100);
    assert_eq!(load.pending_prefill(), 600);
    load.prefilled(500);
    load.ended();
    assert_eq!(load.pending_prefill(), 100);
    assert!((load.running(NOW) - 1.0).abs() < 1e-9);
}

#[test]
fn pick_avoids_upstream_that_fails_immediately() {
    let mut fleet = Fleet::new(&["a", "a", "a"]);
    // The others are busy; the failing one is always free.
    for number in 1..3 {
        for _ in 0..6 {
            fleet.load(number).sent(0);
        }
    }
    assert_eq!(fleet.pick(None, &[]), Some(address(0)));
    fleet.load(0).failed(NOW);
    assert_ne!(fleet.pick(None, &[]), Some(address(0)));
    let later = NOW + Duration::from_secs(20);
    assert!(fleet.load(0).recent_losses(later) < 0.01);
}

/// Many instances see the calls for one object; each has to find the upstream that handled it.
#[test]
fn pick_agrees_across_instances_on_the_upstream_of_an_object() {
    let mut used = std::collections::BTreeSet::new();
    for object in 0..40 {
        let object = object.to_string();
        let picks = (0..10).map(|_| Fleet::new(&["a"; 4]).pick_for(None, Some(&object), &[]));
        let picks: std::collections::BTreeSet<_> = picks.collect();
        assert_eq!(picks.len(), 1, "{object}");
        used.extend(picks);
    }
    assert_eq!(used.len(), 4);
}

#[test]
fn pick_leaves_the_upstream_of_an_object_that_is_full_slow_or_gone() {
    let mut fleet = Fleet::new(&["a"; 3]);
    let preferred = fleet.pick_for(None, Some("17"), &[]).unwrap();
    let number = preferred.port() - 1_000;
    assert_ne!(
        fleet.pick_for(None, Some("17"), &[preferred]),
        Some(preferred)
    );
    let slow = Report {
        running: 0,
        waiting: 0,
        slots: 8,
        pace: 2.5,
    };
    fleet.load(number).report(NOW, slow);
    assert_ne!(fleet.pick_for(None, Some("17"), &[]), Some(preferred));
    *fleet.load(number) = Load::default();
    for _ in 0..12 {
        fleet.load(number).sent(0);
    }
    assert_ne!(fleet.pick_for(None, Some("17"), &[]), Some(preferred));
}

/// At a peak, the turns of each zone would go to the other zones, which look idle because little is
/// known of them, and would find neither free slots nor cached prompts there.
#[test]
fn pick_keeps_turns_in_the_zone_at_a_peak_in_all_zones() {
    let mut fleet = Fleet::new(&["a", "a", "b", "b"]);
    for number in 0..2 {
        for _ in 0..8 {
            fleet.load(number).sent(0);
        }
    }
    let local = fleet.pick(Some(&prompt(2)), &[]).unwrap();
    assert!(local.port() < 1_002, "{local}");
    // An upstream that reports free slots takes the turn.
    let idle = Report {
        running: 0,
        waiting: 0,
        slots: 8,
        pace: 1.0,
    };
    fleet.load(3).report(NOW, idle);
    assert_eq!(fleet.pick(Some(&prompt(2)), &[]), Some(address(3)));
}

/// At a peak, a turn that leaves a full engine with its prompt for a less busy one has it read the
/// prompt, which stops the turns that run there. If all turns do so, all engines get busier.
#[test]
fn pick_stays_with_a_cached_prompt_at_a_peak() {
    let mut fleet = Fleet::new(&["a", "a"]);
    let prompt = prompt(2);
    // The engine without the prompt must not be the one that is presumed to have a part of it.
    let warm = fleet.pick(Some(&prompt), &[]).unwrap().port() - 1_000;
    let cold = 1 - warm;
    fleet.load(warm).record_cached(&prompt.prefixes(), 400_000);
    for _ in 0..8 {
        fleet.load(warm).sent(0);
    }
    for _ in 0..3 {
        fleet.load(cold).sent(0);
    }
    for _ in 0..50 {
        assert_eq!(fleet.pick(Some(&prompt), &[]), Some(address(warm)));
    }
    // An engine without any turn delays none by reading the prompt.
    for _ in 0..3 {
        fleet.load(cold).ended();
    }
    assert_eq!(fleet.pick(Some(&prompt), &[]), Some(address(cold)));
}
