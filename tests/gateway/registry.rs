//! Guards against requests to servers that are draining, gone or unknown.

use std::time::Duration;

use gypsumlever::{
    clock::Time,
    gateway::registry::{
        Change,
        Effect,
        Registry,
        Server, //
    },
};

const START: Time = Time(10_000_000_000);

fn at(ms: u64) -> Time {
    START + Duration::from_millis(ms)
}

fn server(id: &str, started: u64, report: u64) -> Server {
    Server {
        id: id.into(),
        service: "s".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "z".into(),
        version: "v1".into(),
        slots: 4,
        draining: false,
        started,
        report,
    }
}

fn usable(registry: &Registry, now: Time) -> Vec<String> {
    let mut ids: Vec<_> = registry
        .usable(now, "s")
        .map(|server| server.id.to_string())
        .collect();
    ids.sort();
    ids
}

fn present(registry: &mut Registry, server: Server) -> Effect {
    registry.apply(START, Change::Present(server))
}

#[test]
fn apply_ignores_older_reports() {
    let mut registry = Registry::default();
    assert_eq!(present(&mut registry, server("a", 5, 2)), Effect::Added);
    let draining = Server {
        draining: true,
        ..server("a", 5, 3)
    };
    assert_eq!(present(&mut registry, draining), Effect::Draining);
    // A delayed older report must not make the server usable again.
    assert_eq!(present(&mut registry, server("a", 5, 2)), Effect::Stale);
    assert_eq!(usable(&registry, START), Vec::<String>::new());
    // After a restart, the sequence numbers of reports start again.
    assert_eq!(present(&mut registry, server("a", 6, 0)), Effect::Added);
    assert_eq!(usable(&registry, START), ["a"]);
    assert_eq!(present(&mut registry, server("a", 5, 9)), Effect::Stale);
}

#[test]
fn apply_keeps_other_entries_when_one_is_unreadable() {
    let mut registry = Registry::default();
    present(&mut registry, server("a", 1, 1));
    present(&mut registry, server("b", 1, 1));
    let effect = registry.apply(START, Change::Unreadable("a".into()));
    assert_eq!(effect, Effect::Removed);
    assert_eq!(usable(&registry, START), ["b"]);
}

#[test]
fn apply_keeps_absent_entry_usable_only_until_after_an_outage() {
    let mut registry = Registry::default();
    present(&mut registry, server("a", 1, 1));
    present(&mut registry, server("b", 1, 1));
    registry.record_failure(at(0));
    let effect = registry.apply(at(500), Change::Absent("a".into()));
    assert_eq!(effect, Effect::Lapsed);
    assert_eq!(usable(&registry, at(1_900)), ["a", "b"]);
    // While the outage lasts, the server can't report again.
    registry.record_failure(at(1_900));
    assert_eq!(usable(&registry, at(3_800)), ["a", "b"]);
    assert_eq!(usable(&registry, at(3_900)), ["b"]);
    // Without an outage, an absent entry is removed at once.
    registry.apply(at(10_000), Change::Absent("b".into()));
    assert_eq!(usable(&registry, at(10_000)), Vec::<String>::new());
}

#[test]
fn apply_removes_absent_draining_server_during_an_outage() {
    let mut registry = Registry::default();
    let draining = Server {
        draining: true,
        ..server("a", 1, 1)
    };
    present(&mut registry, draining);
    registry.record_failure(START);
    let effect = registry.apply(START, Change::Absent("a".into()));
    assert_eq!(effect, Effect::Removed);
}

#[test]
fn replace_drops_entries_missing_from_the_state() {
    let mut registry = Registry::default();
    present(&mut registry, server("a", 1, 1));
    present(&mut registry, server("b", 1, 1));
    registry.replace(at(0), vec![Change::Present(server("b", 1, 2))]);
    assert_eq!(usable(&registry, at(0)), ["b"]);
}

#[test]
fn is_usable_is_false_for_a_server_before_its_restart() {
    let mut registry = Registry::default();
    let old = server("a", 1, 1);
    present(&mut registry, old.clone());
    assert!(registry.is_usable(START, &old));
    present(&mut registry, server("a", 2, 1));
    assert!(!registry.is_usable(START, &old));
}

/// A stream of unknown origin may go on only if no other version can have begun it.
#[test]
fn sole_version_counts_servers_that_have_just_gone() {
    let mut registry = Registry::default();
    registry.record_read(START);
    assert_eq!(registry.sole_version(START, "s"), None);
    present(&mut registry, server("a", 1, 1));
    present(&mut registry, server("b", 1, 1));
    assert_eq!(registry.sole_version(START, "s").as_deref(), Some("v1"));
    let newer = Server {
        version: "v2".into(),
        ..server("c", 1, 1)
    };
    present(&mut registry, newer.clone());
    assert_eq!(registry.sole_version(START, "s"), None);
    registry.apply(START, Change::Absent("a".into()));
    registry.apply(START, Change::Absent("b".into()));
    registry.record_read(at(29_000));
    assert_eq!(registry.sole_version(at(29_000), "s"), None);
    assert_eq!(
        registry.sole_version(at(31_000), "s").as_deref(),
        Some("v2")
    );
    // Other versions may serve by now if the registry was not read lately.
    assert_eq!(registry.sole_version(at(32_500), "s"), None);
    registry.record_read(at(40_000));
    // A server that starts again with another version had the old one until now.
    let restarted = Server {
        started: 2,
        version: "v3".into(),
        ..newer
    };
    registry.apply(at(40_000), Change::Present(restarted));
    assert_eq!(registry.sole_version(at(41_000), "s"), None);
}

/// What a server says in an answer outlives its entry, but not its process.
#[test]
fn leave_holds_for_one_start_of_a_server() {
    let mut registry = Registry::default();
    let leaving = server("a", 1, 1);
    present(&mut registry, leaving.clone());
    assert!(registry.leave(START, &leaving));
    assert!(!registry.leave(START, &leaving));
    assert!(!registry.is_usable(START, &leaving));
    assert_eq!(usable(&registry, START), Vec::<String>::new());
    present(&mut registry, server("a", 1, 2));
    registry.apply(START, Change::Absent("a".into()));
    present(&mut registry, server("a", 1, 3));
    assert_eq!(usable(&registry, START), Vec::<String>::new());
    present(&mut registry, server("a", 2, 1));
    assert_eq!(usable(&registry, START), ["a"]);
}

/// Only entries read lately from a healthy store show that a server has ended; another upstream may
/// then run its requests.
#[test]
fn is_gone_needs_a_current_read_of_a_healthy_store() {
    let mut registry = Registry::default();
    let old = server("a", 1, 1);
    assert!(!registry.is_gone(START, &old), "nothing was read");
    registry.replace(START, vec![Change::Present(old.clone())]);
    registry.record_read(START);
    assert!(!registry.is_gone(START, &old));
    registry.apply(START, Change::Absent("a".into()));
    assert!(registry.is_gone(START, &old));
    assert!(!registry.is_gone(at(3_500), &old), "the read is old");
    registry.record_failure(at(4_000));
    registry.record_read(at(4_500));
    assert!(!registry.is_gone(at(4_500), &old), "the store just failed");
    registry.record_read(at(8_000));
    assert!(registry.is_gone(at(8_000), &old));
}

#[test]
fn is_gone_after_another_start_of_a_server_or_at_its_address() {
    let mut registry = Registry::default();
    registry.record_read(START);
    let old = server("a", 1, 1);
    present(&mut registry, old.clone());
    present(&mut registry, server("a", 2, 1));
    assert!(registry.is_gone(START, &old));
    assert!(!registry.is_gone(START, &server("a", 2, 1)));
    present(&mut registry, server("b", 1, 1));
    assert!(registry.is_gone(START, &server("a", 2, 1)));
}

/// A server whose entry can't be decoded, or lapsed in an outage, may still run.
#[test]
fn is_gone_is_false_for_an_unreadable_or_lapsed_entry() {
    let mut registry = Registry::default();
    registry.record_read(START);
    present(&mut registry, server("a", 1, 1));
    registry.apply(START, Change::Unreadable("a".into()));
    assert!(!registry.is_gone(START, &server("a", 1, 1)));
    registry.apply(START, Change::Absent("a".into()));
    assert!(registry.is_gone(START, &server("a", 1, 1)));
    present(&mut registry, server("a", 1, 2));
    registry.record_failure(START);
    registry.apply(START, Change::Absent("a".into()));
    assert!(!registry.is_gone(START, &server("a", 1, 1)));
}

/// A zone that refuses connections from others must not look like the end of its servers.
#[test]
fn neighbours_are_of_the_same_zone_if_there_are_any() {
    let mut registry = Registry::default();
    let other = |id: &str, zone: &str, port: u16| Server {
        zone: zone.into(),
        address: ([127, 0, 0, 1], port).into(),
        ..server(id, 1, 1)
    };
    let ids = |registry: &Registry| {
        let neighbours = registry.neighbours(&server("a", 1, 1));
        neighbours
            .iter()
            .map(|other| other.id.to_string())
            .collect::<Vec<_>>()
    };
    present(&mut registry, server("a", 1, 1));
    assert!(ids(&registry).is_empty());
    present(&mut registry, other("far", "y", 2));
    assert_eq!(ids(&registry), ["far"]);
    present(&mut registry, other("near", "z", 3));
    assert_eq!(ids(&registry), ["near"]);
}

/// A start that was taken for settled too early would be that of an entry that had not been replaced
/// yet.
#[test]
fn is_settled_only_long_after_a_moment_and_without_a_failure() {
    let mut registry = Registry::default();
    registry.record_read(at(0));
    present(&mut registry, server("a", 1, 1));
    registry.record_read(at(4_900));
    assert!(!registry.is_settled("a", 1, at(0)));
    registry.record_read(at(6_000));
    assert!(registry.is_settled("a", 1, at(1_000)));
    assert!(!registry.is_settled("a", 1, at(1_001)));
    assert!(!registry.is_settled("a", 2, at(0)));
    assert!(!registry.is_settled("b", 1, at(0)));
    // Reports are late after an outage, and a read may have missed them.
    registry.record_failure(at(6_500));
    assert!(!registry.is_settled("a", 1, at(1_000)));
    registry.record_read(at(7_000));
    registry.record_read(at(11_999));
    assert!(!registry.is_settled("a", 1, at(1_000)));
    registry.record_read(at(12_000));
    assert!(registry.is_settled("a", 1, at(7_000)));
}

/// A stream that began at a start which has ended since is taken up elsewhere.
#[test]
fn is_settled_knows_former_starts_by_the_reads_before_their_end() {
    for end in [
        Change::Present(server("a", 2, 1)),
        Change::Absent("a".into()),
    ] {
        let mut registry = Registry::default();
        registry.record_read(at(0));
        present(&mut registry, server("a", 1, 1));
        registry.record_read(at(8_000));
        registry.apply(at(8_500), end);
        registry.record_read(at(20_000));
        assert!(registry.is_settled("a", 1, at(3_000)));
        assert!(!registry.is_settled("a", 1, at(3_001)));
    }
}
