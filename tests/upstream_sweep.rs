//! Guards against releasing cache that is in use or owned by another system, and against leaks.

use std::{
    cell::RefCell,
    time::Duration, //
};

use gypsumlever::{
    clock::Time,
    name::{
        Program,
        Upstream, //
    },
    upstream::{
        sweep::{
            self,
            State,
            Sweep,
            Target,
            Times, //
        },
        Engine,
        Event,
        Failure,
        Limits,
        Load,
        Prompt,
        Slot,
        Stream, //
    },
};
use proptest::{
    prelude::*,
    test_runner::{
        Config,
        RngSeed, //
    },
};

const GRACE: Duration = Duration::from_secs(60);

fn slot(id: u64, key: &str) -> Slot {
    Slot {
        id,
        cache_key: key.into(),
        tokens: 1,
    }
}

fn state(program: &Program) -> State {
    match program.as_str().split('-').next() {
        Some("live") => State::Live,
        Some("ended") => State::Ended,
        _ => State::Unknown,
    }
}

fn at(now: u64, current: u64) -> Times {
    Times {
        now: Time::default() + Duration::from_secs(now),
        current: Time::default() + Duration::from_secs(current),
        grace: GRACE,
    }
}

fn engine(name: &str) -> Upstream {
    Upstream::try_from(name).expect("name")
}

fn keys(slots: &[Slot]) -> Vec<&str> {
    slots.iter().map(|slot| slot.cache_key.as_str()).collect()
}

#[test]
fn decide_table_of_keys() {
    let cases = [
        ("gypsumlever/ended-1", true, true),
        ("gypsumlever/live-1", false, false),
        ("gypsumlever/new-1", false, true),
        ("gypsumlever/no program!", false, true),
        ("gypsumlever/", false, true),
        ("gypsumlever", false, false),
        ("ended-1", false, false),
        ("old/gypsumlever/ended-1", false, false),
        ("Gypsumlever/ended-1", false, false),
        ("", false, false),
    ];
    for (key, first, later) in cases {
        let mut sweep = Sweep::default();
        let slots = [slot(1, key)];
        for (times, release) in [(at(0, 0), first), (at(59, 59), first), (at(60, 60), later)] {
            let found = sweep.decide(times, &engine("e"), &slots, state);
            assert_eq!(!found.is_empty(), release, "{key:?} at {times:?}");
        }
    }
}

/// While the log is down, a program that another instance started stays unknown.
#[test]
fn decide_unknown_while_replica_is_behind() {
    let mut sweep = Sweep::default();
    let slots = [slot(1, "gypsumlever/new-1")];
    for (times, count) in [(at(0, 0), 0), (at(9_000, 59), 0), (at(9_000, 60), 1)] {
        assert_eq!(
            sweep.decide(times, &engine("e"), &slots, state).len(),
            count
        );
    }
}

/// The age of an unknown key is counted per engine, and restarts after the key was gone.
#[test]
fn decide_unknown_key_returns() {
    let mut sweep = Sweep::default();
    let slots = [slot(1, "gypsumlever/new-1")];
    let mut count = |second: u64, name: &str, slots: &[Slot]| {
        let times = at(second, second);
        sweep.decide(times, &engine(name), slots, state).len()
    };
    assert_eq!(count(0, "a", &slots), 0);
    assert_eq!(count(60, "b", &slots), 0);
    assert_eq!(count(61, "a", &[]), 0);
    assert_eq!(count(70, "a", &slots), 0);
    assert_eq!(count(129, "a", &slots), 0);
    assert_eq!(count(130, "a", &slots), 1);
}

proptest! {
    #![proptest_config(Config {
        cases: 500,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    })]

    /// For any list of slots, only this system's keys are released: none of a live program, and all
    /// of ended programs.
    #[test]
    fn decide_any_slots(rounds in prop::collection::vec(
        (0..200_u64, 0..200_u64, prop::collection::vec(
            ("(gypsumlever/|old/|)(live|ended|new|x y)-[12]", 0..9_u64), 0..12,
        )),
        1..6,
    )) {
        let mut sweep = Sweep::default();
        for (now, current, slots) in rounds {
            let slots: Vec<_> = slots.iter().map(|(key, id)| slot(*id, key)).collect();
            let found = sweep.decide(at(now, current.min(now)), &engine("e"), &slots, state);
            for key in keys(&found) {
                prop_assert!(key.starts_with(sweep::PREFIX) && !key.contains("/live-"), "{key}");
            }
            let ended = |slot: &&Slot| slot.cache_key.starts_with("gypsumlever/ended-");
            let left = slots.iter().filter(ended).filter(|slot| !found.contains(slot));
            prop_assert_eq!(left.count(), 0);
        }
    }
}

/// In-memory engines whose address selects their behavior.
#[derive(Default)]
struct Fake {
    released: RefCell<Vec<(String, u64)>>,
}

struct Empty;

impl Stream for Empty {
    async fn next(&mut self) -> Result<Option<Event>, Failure> {
        Ok(None)
    }
}

impl Engine for Fake {
    type Stream = Empty;

    async fn start(&self, _: &str, _: &Prompt, _: Limits) -> Result<Empty, Failure> {
        Ok(Empty)
    }

    async fn load(&self, _: &str) -> Result<Load, Failure> {
        Ok(Load::default())
    }

    async fn slots(&self, address: &str) -> Result<Vec<Slot>, Failure> {
        if address == "down" {
            return Err(Failure::NotSent("refused".into()));
        }
        let keys = [
            "gypsumlever/ended-1",
            "gypsumlever/live-1",
            "old/x",
            "gypsumlever/ended-2",
        ];
        Ok((0..).zip(keys).map(|(id, key)| slot(id, key)).collect())
    }

    async fn release(&self, address: &str, slot: &Slot) -> Result<(), Failure> {
        self.released
            .borrow_mut()
            .push((address.to_owned(), slot.id));
        match (address, slot.id) {
            ("moved", 0) => Err(Failure::Failed {
                status: 404,
                message: String::new(),
            }),
            ("unresponsive", _) => Err(Failure::Unknown("no answer".into())),
            _ => Ok(()),
        }
    }
}

/// A failing engine must not prevent the others from being swept.
#[actix_web::test]
async fn round_with_failures() {
    let names = ["down", "good", "moved", "unresponsive"];
    let targets = names.map(|name| Target {
        name: engine(name),
        address: name.into(),
    });
    let fake = Fake::default();
    let mut sweep = Sweep::default();
    let report = sweep.round(&fake, at(0, 0), &targets, state).await;
    assert_eq!((report.slots, report.released), (12, 3));
    let mut failed: Vec<_> = report
        .failures
        .iter()
        .map(|(name, _)| name.as_str())
        .collect();
    failed.sort_unstable();
    assert_eq!(failed, ["down", "moved", "unresponsive"]);
    let mut released = fake.released.take();
    released.sort_unstable();
    let expected = [
        ("good", 0),
        ("good", 3),
        ("moved", 0),
        ("moved", 3),
        ("unresponsive", 0),
    ];
    assert_eq!(released, expected.map(|(name, id)| (name.to_owned(), id)));
}
