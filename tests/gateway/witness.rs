//! Guards budgets against two owners of a partition that both grant turns without the log.

use std::time::Duration;

use gypsumlever::{
    clock::Time,
    gateway::witness::{
        Grant,
        Witness, //
    },
    name::Instance,
};

const START: Time = Time(0);

fn at(ms: u64) -> Time {
    START + Duration::from_millis(ms)
}

fn name(name: &str) -> Instance {
    Instance::try_from(name).unwrap()
}

/// Requests a grant at `now` of an owner that read the partition at `read_at`.
fn accepts(witness: &mut Witness, owner: &str, now: u64, read_at: u64, pending: bool) -> bool {
    let owner = name(owner);
    let grant = Grant {
        owner: &owner,
        read_at: at(read_at),
        yielded: &[],
    };
    witness.accept(at(now), START, grant, pending)
}

#[test]
fn accept_refuses_an_owner_that_may_lack_records_of_another_writer() {
    let mut witness = Witness::default();
    assert!(witness.register(at(5_000), &name("other"), 0, false));
    assert!(!accepts(&mut witness, "owner", 5_100, 5_050, false));
    // The other one may have written until its registration ended.
    assert!(!accepts(&mut witness, "owner", 9_000, 5_900, false));
    assert!(accepts(&mut witness, "owner", 9_000, 6_500, false));
}

#[test]
fn accept_refuses_a_second_owner_until_the_grants_are_in_the_log() {
    let mut witness = Witness::default();
    assert!(accepts(&mut witness, "first", 5_000, 4_900, false));
    assert!(!accepts(&mut witness, "second", 5_100, 5_000, true));
    assert!(accepts(&mut witness, "second", 9_000, 8_900, false));
}

#[test]
fn accept_refuses_all_owners_after_the_start() {
    let mut witness = Witness::default();
    assert!(!accepts(&mut witness, "owner", 1_100, 1_000, false));
    assert!(accepts(&mut witness, "owner", 2_000, 1_900, false));
}

#[test]
fn accept_ignores_writers_that_yielded() {
    let mut witness = Witness::default();
    let (owner, other) = (name("owner"), name("other"));
    witness.register(at(5_000), &other, 3, false);
    let mut accepts = |generation| {
        let yielded = [(other.clone(), generation)];
        let grant = Grant {
            owner: &owner,
            read_at: at(5_050),
            yielded: &yielded,
        };
        witness.accept(at(5_100), START, grant, false)
    };
    // It has registered again since.
    assert!(!accepts(2));
    assert!(accepts(3));
}

#[test]
fn register_refuses_writers_while_grants_are_held() {
    let mut witness = Witness::default();
    assert!(accepts(&mut witness, "owner", 5_000, 4_900, false));
    assert!(!witness.register(at(5_100), &name("other"), 0, true));
    assert!(witness.register(at(5_100), &name("owner"), 0, true));
    assert!(witness.register(at(5_200), &name("other"), 0, false));
}
