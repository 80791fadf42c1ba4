//! Guards the evidence without which a request must not run on more upstreams than its route allows.

use gypsumlever::gateway::proof::{
    Findings,
    Sends, //
};

fn ended(change: impl FnOnce(&mut Findings)) -> bool {
    let mut findings = Findings::default();
    change(&mut findings);
    findings.ended().is_some()
}

/// A timeout, a broken tunnel or silent instances leave nothing found.
#[test]
fn ended_needs_evidence() {
    assert!(!ended(|_| {}));
    assert!(!ended(|findings| findings.path_lost = true));
}

#[test]
fn ended_by_each_kind_of_evidence() {
    assert!(ended(|findings| findings.unlisted = true));
    assert!(ended(|findings| findings.refused = true));
    assert!(ended(|findings| findings.attested = true));
}

/// Others reached the upstream while this instance did not: its refusal is one of the path.
#[test]
fn ended_does_not_follow_from_a_refusal_on_a_lost_path() {
    let lost = |findings: &mut Findings| (findings.path_lost, findings.refused) = (true, true);
    assert!(!ended(lost));
    assert!(ended(|findings| {
        lost(findings);
        findings.attested = true;
    }));
    assert!(ended(|findings| {
        lost(findings);
        findings.unlisted = true;
    }));
}

#[test]
fn attempts_count_upstreams_until_they_have_ended() {
    let [first, second] = [1, 2].map(|port| ([127, 0, 0, 1], port).into());
    let mut sends = Sends::default();
    sends.started(first);
    sends.started(first);
    sends.started(second);
    assert_eq!(sends.attempts(), 2);
    let findings = Findings {
        attested: true,
        ..Findings::default()
    };
    sends.ended(first, &findings.ended().unwrap());
    assert_eq!(sends.attempts(), 1);
    assert!(!sends.ran_on(first));
    assert!(sends.not_run().is_none(), "it may have run at the first");
}
