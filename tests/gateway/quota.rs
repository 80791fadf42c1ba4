//! Quotas of tenants without a network: many instances that issue credits against a plain count.

use std::{
    sync::Arc,
    time::Duration, //
};

use gypsumlever::{
    clock::Time,
    gateway::tenant::{
        quota::{
            Credits,
            Verdict,
            WINDOW, //
        },
        Quota,
    },
    hash::rendezvous,
};
use proptest::prelude::*;
use rand::{
    rngs::StdRng,
    SeedableRng as _, //
};

const STEP_MS: u64 = 20;

/// Time within which all views agree after a change, in milliseconds.
const VIEW_LAG_MS: u64 = 1_900;

/// Time from which others notice that an instance is paused, in milliseconds.
const NOTICED_PAUSE_MS: u64 = 1_000;

fn time(ms: u64) -> Time {
    Time(10_000_000_000 + ms * 1_000)
}

fn tenant() -> Arc<str> {
    "red".into()
}

/// Credits that a tenant may get in any window, as documented.
fn bound(quota: Quota) -> f64 {
    (quota.rate * WINDOW.as_secs_f64() + quota.burst) * 1.1 + 20.0
}

/// Change of the fleet.
#[derive(Clone, Copy, Debug)]
enum Event {
    Kill(usize),
    Restart(usize),
    Pause(usize, u64),
    Cut(usize),
    Heal,
    Quota(f64, f64),
}

/// What an instance has yet to learn.
#[derive(Clone, Copy, Debug)]
enum News {
    /// Whether another instance is up.
    Member(usize, bool),
    Quota(Quota),
}

struct Instance {
    name: String,
    zone: usize,
    up: bool,
    paused_until: u64,
    credits: Credits,
    /// Instances that it considers up.
    view: Vec<bool>,
    quota: Quota,
    news: Vec<(u64, News)>,
}

/// Instances in zones, each with its own view of the others.
struct Fleet {
    instances: Vec<Instance>,
    zones: usize,
    cut: Option<usize>,
    /// Quota of the latest configuration.
    quota: Quota,
    rng: StdRng,
}

impl Fleet {
    fn new(zones: usize, per_zone: usize, quota: Quota, seed: u64) -> Self {
        let count = zones * per_zone;
        let instances = (0..count).map(|number| Instance {
            name: format!("entry-{number}"),
            zone: number % zones,
            up: true,
            paused_until: 0,
            credits: Credits::new(time(0)),
            view: vec![true; count],
            quota,
            news: Vec::new(),
        });
        Self {
            instances: instances.collect(),
            zones,
            cut: None,
            quota,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    fn linked(&self, one: usize, other: usize) -> bool {
        let inside = |index: usize| Some(self.instances[index].zone) == self.cut;
        inside(one) == inside(other)
    }

    fn active(&self, index: usize, ms: u64) -> bool {
        self.instances[index].up && self.instances[index].paused_until <= ms
    }

    /// Instance that issues in the view of another one, to all or to its zone.
    fn issuer(&self, viewer: usize, zone: Option<usize>) -> Option<usize> {
        let view = &self.instances[viewer].view;
        let eligible = self.instances.iter().zip(view);
        let eligible = eligible.filter(|(other, up)| **up && zone.is_none_or(|z| z == other.zone));
        let names: Vec<_> = eligible.map(|(other, _)| other.name.as_str()).collect();
        let name = rendezvous(tenant().as_bytes(), names)?;
        self.instances.iter().position(|other| other.name == name)
    }

    /// Lets all that can hear of it learn of an instance, each at its own time.
    fn announce(&mut self, ms: u64, index: usize, up: bool, hears: impl Fn(&Self, usize) -> bool) {
        for other in 0..self.instances.len() {
            if other != index && hears(self, other) {
                let at = ms + self.rng.random_range(0..VIEW_LAG_MS);
                let news = News::Member(index, up);
                self.instances[other].news.push((at, news));
            }
        }
    }

    fn apply(&mut self, ms: u64, event: Event) {
        match event {
            Event::Kill(index) => {
                self.instances[index].up = false;
                self.announce(ms, index, false, |_, _| true);
            }
            Event::Restart(index) => {
                let truth: Vec<_> = (0..self.instances.len())
                    .map(|other| self.instances[other].up && self.linked(index, other))
                    .collect();
                let instance = &mut self.instances[index];
                instance.up = true;
                instance.credits = Credits::new(time(ms));
                instance.view = truth;
                instance.view[index] = true;
                instance.quota = self.quota;
                instance.news.clear();
                self.announce(ms, index, true, |fleet, other| fleet.linked(index, other));
            }
            Event::Pause(index, length) => {
                self.instances[index].paused_until = ms + length;
                if length > NOTICED_PAUSE_MS {
                    let noticed = ms + NOTICED_PAUSE_MS;
                    for other in (0..self.instances.len()).filter(|other| *other != index) {
                        let until = (ms + length).min(ms + VIEW_LAG_MS);
                        let at = self.rng.random_range(noticed..=until);
                        let back = ms + length + self.rng.random_range(0..VIEW_LAG_MS);
                        let news = &mut self.instances[other].news;
                        news.push((at, News::Member(index, false)));
                        news.push((back, News::Member(index, true)));
                    }
                }
            }
            Event::Cut(zone) => {
                self.cut = Some(zone);
                for index in 0..self.instances.len() {
                    self.announce(ms, index, false, |fleet, other| !fleet.linked(index, other));
                }
            }
            Event::Heal => {
                let cut = self.cut;
                let inside =
                    move |fleet: &Self, index: usize| Some(fleet.instances[index].zone) == cut;
                for index in 0..self.instances.len() {
                    let side = inside(self, index);
                    self.announce(ms, index, true, |fleet, other| inside(fleet, other) != side);
                }
                self.cut = None;
            }
            Event::Quota(rate, burst) => {
                self.quota = Quota { rate, burst };
                for instance in &mut self.instances {
                    let at = ms + self.rng.random_range(0..1_000);
                    instance.news.push((at, News::Quota(Quota { rate, burst })));
                }
            }
        }
    }

    /// Lets an instance learn what has reached it.
    fn learn(&mut self, index: usize, ms: u64) {
        let instance = &mut self.instances[index];
        instance.credits.tick(time(ms));
        let (due, later): (Vec<_>, Vec<_>) = instance.news.iter().partition(|(at, _)| *at <= ms);
        instance.news = later;
        let mut changed = false;
        for (_, news) in due {
            match news {
                News::Member(other, up) => {
                    changed |= std::mem::replace(&mut instance.view[other], up) != up;
                }
                News::Quota(quota) => instance.quota = quota,
            }
        }
        if !changed {
            return;
        }
        let (zone, view) = (instance.zone, instance.view.clone());
        let others = self.instances.iter().zip(&view);
        let isolated = !others.clone().any(|(other, up)| *up && other.zone != zone);
        let issues = self.issuer(index, None) == Some(index);
        let shares = self.issuer(index, Some(zone)) == Some(index);
        let credits = &mut self.instances[index].credits;
        credits.set_isolated(time(ms), isolated);
        credits.members_changed(time(ms), |_| issues, |_| shares);
    }

    /// Requests a credit as an instance; `None` if nobody that it reaches issues any.
    fn request(&mut self, asker: usize, ms: u64) -> Option<Verdict> {
        let zone = self.instances[asker].zone;
        if !self.instances[asker].credits.isolated() {
            match self.ask(asker, None, ms) {
                None | Some(Verdict::Unavailable) => {}
                verdict => return verdict,
            }
        }
        self.ask(asker, Some(zone), ms)
    }

    fn ask(&mut self, asker: usize, zone: Option<usize>, ms: u64) -> Option<Verdict> {
        let issuer = self.issuer(asker, zone)?;
        let answers = self.active(issuer, ms) && self.linked(asker, issuer);
        if !answers || self.issuer(issuer, zone) != Some(issuer) {
            return None;
        }
        let zones = self.zones;
        let issuer = &mut self.instances[issuer];
        Some(match zone {
            None => issuer.credits.take(time(ms), &tenant(), issuer.quota),
            Some(_) => {
                let quota = issuer.quota;
                issuer.credits.take_share(time(ms), &tenant(), quota, zones)
            }
        })
    }
}

/// When requests got each of the verdicts.
#[derive(Default)]
struct Verdicts {
    granted: Vec<Time>,
    denied: Vec<Time>,
    unavailable: Vec<Time>,
}

/// Plays requests at `load` times the rate with events in order.
fn play(fleet: &mut Fleet, load: f64, events: &[(u64, Event)], length: u64) -> Verdicts {
    let mut verdicts = Verdicts::default();
    let mut events = events.iter().peekable();
    for ms in (0..length).step_by(STEP_MS as usize) {
        while let Some((_, event)) = events.next_if(|(at, _)| *at <= ms) {
            fleet.apply(ms, *event);
        }
        for index in 0..fleet.instances.len() {
            if fleet.active(index, ms) {
                fleet.learn(index, ms);
            }
        }
        let rate = fleet.quota.rate * load * STEP_MS as f64 / 1_000.0;
        let count = rate as usize + usize::from(fleet.rng.random_bool(rate.fract()));
        for _ in 0..count {
            let asker = fleet.rng.random_range(0..fleet.instances.len());
            if !fleet.active(asker, ms) {
                continue;
            }
            let times = match fleet.request(asker, ms) {
                Some(Verdict::Granted) => &mut verdicts.granted,
                Some(Verdict::Denied(_)) => &mut verdicts.denied,
                Some(Verdict::Unavailable) | None => &mut verdicts.unavailable,
            };
            times.push(time(ms));
        }
    }
    verdicts
}

/// Returns how many of the times are in a period.
fn count(times: &[Time], from_ms: u64, to_ms: u64) -> f64 {
    let within = |at: &&Time| (time(from_ms)..time(to_ms)).contains(*at);
    times.iter().filter(within).count() as f64
}

/// Returns the most credits in a window that begins at `from` or later, or ends before `to`.
fn most_in_window(granted: &[Time], from: Time, to: Time) -> usize {
    let within = |(first, start): (usize, &Time)| {
        let end = (*start + WINDOW).min(to);
        granted
            .partition_point(|at| *at < end)
            .saturating_sub(first)
    };
    let windows = granted.iter().enumerate();
    let windows = windows.filter(|(_, start)| **start >= from);
    windows.map(within).max().unwrap_or(0)
}

/// Disturbances, each over before the next: kind, instance, length and pause in milliseconds.
fn disturbances() -> impl Strategy<Value = Vec<(u8, usize, u64, u64)>> {
    prop::collection::vec(
        (0..4_u8, 0..12_usize, 300..6_000_u64, 2_500..5_000_u64),
        1..6,
    )
}

fn schedule(
    disturbances: &[(u8, usize, u64, u64)],
    fleet: &Fleet,
    issuer: usize,
) -> (Vec<(u64, Event)>, u64) {
    let mut events = Vec::new();
    let mut at = 3_000;
    for (number, (kind, index, length, pause)) in disturbances.iter().enumerate() {
        // The issuer is the instance that matters most.
        let index = match number % 2 {
            0 => issuer,
            _ => index % fleet.instances.len(),
        };
        at += pause;
        let end = at + length.max(&2_500);
        match kind {
            0 => events.extend([(at, Event::Kill(index)), (end, Event::Restart(index))]),
            1 => events.push((at, Event::Pause(index, *length))),
            _ => events.extend([(at, Event::Cut(index % fleet.zones)), (end, Event::Heal)]),
        }
        at = end;
    }
    (events, at + 6_000)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    /// The bound holds whichever instances issue at the same time: after a death, a pause, a
    /// restart or a partition, each side or both may.
    #[test]
    fn quota_holds_over_all_issuers(
        (zones, per_zone) in (2..5_usize, 1..4_usize),
        rate in prop::sample::select(vec![0.5, 3.0, 30.0, 250.0]),
        burst in prop::sample::select(vec![0.0, 5.0, 400.0]),
        load in prop::sample::select(vec![0.6, 1.2, 7.5]),
        disturbances in disturbances(),
        seed in any::<u64>(),
    ) {
        let quota = Quota { rate, burst };
        let mut fleet = Fleet::new(zones, per_zone, quota, seed);
        let issuer = fleet.issuer(0, None).unwrap();
        let (events, length) = schedule(&disturbances, &fleet, issuer);
        let Verdicts { granted, .. } = play(&mut fleet, load, &events, length);
        let most = most_in_window(&granted, time(0), time(length));
        prop_assert!(most as f64 <= bound(quota), "{most} of {}", bound(quota));
    }

    /// A lowered limit is binding from the time at which all instances know it.
    #[test]
    fn quota_holds_when_the_limit_changes(
        before in 1.0..300.0_f64,
        after in 1.0..300.0_f64,
        burst in 0.0..100.0_f64,
        disturbances in disturbances(),
        seed in any::<u64>(),
    ) {
        let (old, new) = (Quota { rate: before, burst }, Quota { rate: after, burst: burst / 2.0 });
        let mut fleet = Fleet::new(3, 2, old, seed);
        let issuer = fleet.issuer(0, None).unwrap();
        let (mut events, length) = schedule(&disturbances, &fleet, issuer);
        let at = length / 2;
        events.push((at, Event::Quota(new.rate, new.burst)));
        events.sort_by_key(|(at, _)| *at);
        let Verdicts { granted, .. } = play(&mut fleet, 7.5, &events, length);
        let most = most_in_window(&granted, time(0), time(length));
        prop_assert!(most as f64 <= bound(old).max(bound(new)), "{most} of {old:?}, {new:?}");
        let most = most_in_window(&granted, time(at + 1_000), time(length));
        prop_assert!(most as f64 <= bound(new), "{most} of {}", bound(new));
    }

    /// Credits that come back late must not add to those that were issued meanwhile.
    #[test]
    fn quota_holds_with_returned_credits(
        rate in prop::sample::select(vec![2.0, 30.0, 250.0]),
        burst in prop::sample::select(vec![0.0, 5.0, 400.0]),
        delay_ms in 0..6_000_u64,
        phase_ms in 500..6_000_u64,
    ) {
        let quota = Quota { rate, burst };
        let mut credits = Credits::new(time(0));
        let (mut used, mut unused) = (Vec::new(), Vec::new());
        for ms in (0..20_000).step_by(10) {
            unused.retain(|issued: &u64| {
                let due = issued + delay_ms <= ms;
                if due {
                    credits.give_back(time(ms), "red", time(*issued), false);
                }
                !due
            });
            for _ in 0..8 {
                if credits.take(time(ms), &tenant(), quota) == Verdict::Granted {
                    match ms / phase_ms % 2 == 0 {
                        true => unused.push(ms),
                        false => used.push(time(ms)),
                    }
                }
            }
        }
        let most = most_in_window(&used, time(0), time(20_000));
        prop_assert!(most as f64 <= bound(quota), "{most} of {}", bound(quota));
    }
}

/// Where no instance comes or goes, a tenant within its quota is never refused, and one over it gets
/// all of its quota.
#[test]
fn credits_serve_the_quota_in_normal_operation() {
    for (seed, rate) in [2.0, 8.0, 200.0].into_iter().enumerate() {
        let quota = Quota {
            rate,
            burst: rate * 2.0,
        };
        let mut fleet = Fleet::new(3, 4, quota, seed as u64);
        // The time after the start of all instances is not normal operation.
        let usual = play(&mut fleet, 0.625, &[], 60_000);
        assert_eq!(count(&usual.unavailable, 5_000, 60_000), 0.0, "rate {rate}");
        assert!(usual.denied.is_empty(), "rate {rate}");
        let mut fleet = Fleet::new(3, 4, quota, seed as u64);
        let surge = play(&mut fleet, 5.0, &[], 40_000);
        let granted = count(&surge.granted, 10_000, 40_000);
        assert!(granted >= rate * 29.5, "rate {rate}: {granted}");
        assert!(!surge.denied.is_empty());
        let unavailable = count(&surge.unavailable, 5_000, 40_000);
        assert_eq!(unavailable, 0.0, "rate {rate}");
    }
}

/// A tenant within its quota is told that the quota is unavailable after the loss of its issuer, as
/// nobody knows its credit; 429 would blame the tenant.
#[test]
fn credits_are_unavailable_but_not_denied_after_the_loss_of_the_issuer() {
    for (seed, rate) in [2.0, 8.0, 200.0].into_iter().enumerate() {
        let quota = Quota {
            rate,
            burst: rate * 2.0,
        };
        let mut fleet = Fleet::new(3, 4, quota, seed as u64);
        let issuer = fleet.issuer(0, None).unwrap();
        let events = [(10_000, Event::Kill(issuer))];
        let verdicts = play(&mut fleet, 0.625, &events, 30_000);
        assert!(verdicts.denied.is_empty(), "rate {rate}");
        // Some are granted also before the next issuer may issue at the rate.
        assert!(count(&verdicts.granted, 10_000, 14_000) >= 1.0);
        let usual = rate * 0.625 * 14.0;
        let granted = count(&verdicts.granted, 16_000, 30_000);
        assert!(granted > usual * 0.7, "rate {rate}: {granted}");
    }
}

/// Refused callers that come back at the same time would be refused again.
#[test]
fn denials_name_times_spread_over_the_rate() {
    let quota = Quota {
        rate: 10.0,
        burst: 0.0,
    };
    let mut credits = Credits::new(time(0));
    let now = time(60_000);
    credits.tick(now);
    credits.members_changed(now, |_| true, |_| true);
    let waits = (0..300).filter_map(|_| match credits.take(now, &tenant(), quota) {
        Verdict::Denied(wait) => Some(wait),
        Verdict::Granted | Verdict::Unavailable => None,
    });
    let waits: Vec<_> = waits.collect();
    let steps = waits.windows(2).map(|pair| pair[1] - pair[0]);
    let longest = Duration::from_secs(5);
    let step = Duration::from_millis(100);
    assert!(waits.len() > 100);
    for (number, found) in steps.enumerate() {
        assert!(found == step || waits[number + 1] == longest, "{waits:?}");
    }
    assert!(waits.iter().all(|wait| *wait <= longest));
}

/// A wait below a millisecond would be a `Retry-After` of zero, and the caller would be refused again.
#[test]
fn denial_just_before_a_credit_names_a_millisecond() {
    let quota = Quota {
        rate: 10.0,
        burst: 0.0,
    };
    let mut credits = Credits::new(time(0));
    // The bucket has 1.25 credits at most, so that the next one follows a grant by 75 ms.
    (0..60_000)
        .step_by(500)
        .for_each(|ms| credits.tick(time(ms)));
    for ms in [60_000, 60_500] {
        assert_eq!(credits.take(time(ms), &tenant(), quota), Verdict::Granted);
    }
    let verdict = credits.take(Time(time(60_575).0 - 100), &tenant(), quota);
    assert_eq!(verdict, Verdict::Denied(Duration::from_millis(1)));
}

/// Another instance may issue beside one that is cut off, and the bucket is worth nothing afterwards.
#[test]
fn credits_are_not_issued_while_cut_off_and_begin_anew_afterwards() {
    let quota = Quota {
        rate: 100.0,
        burst: 500.0,
    };
    let mut credits = Credits::new(time(0));
    (0..60_000)
        .step_by(500)
        .for_each(|ms| credits.tick(time(ms)));
    let mut granted = |ms, isolated| {
        credits.set_isolated(time(ms), isolated);
        let take = || credits.take(time(ms), &tenant(), quota);
        let verdicts = std::iter::repeat_with(take).take(400);
        verdicts
            .filter(|verdict| *verdict == Verdict::Granted)
            .count()
    };
    assert_eq!(granted(60_000, false), 400);
    assert_eq!(granted(60_100, true), 0);
    // Less than the slack, which is 120.
    assert!(granted(60_200, false) < 60);
}
