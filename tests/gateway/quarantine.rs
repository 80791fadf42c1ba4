//! Checks which requests are held back as upstreams crash, without a network.

use std::time::Duration;

use actix_http::{
    Method,
    Uri, //
};
use gypsumlever::{
    clock::Time,
    gateway::{
        fingerprint::{
            Fingerprint,
            Key, //
        },
        quarantine::{
            Change,
            Crash,
            Event,
            Quarantine,
            Report,
            MAX_CRASHES,
            MAX_REPORTS, //
        },
    },
};

fn time(ms: u64) -> Time {
    Time(10_000_000_000 + ms * 1_000)
}

fn fingerprint(path: &'static str, body: &str) -> Fingerprint {
    let uri = Uri::from_static(path);
    Fingerprint::new(&Method::POST, "h.example", &uri, body.as_bytes())
}

fn report(key: Key, event: Event) -> Report {
    Report {
        service: "s".into(),
        key,
        event,
    }
}

fn crashed(key: Key, upstream: &str) -> Report {
    let crash = Crash {
        upstream: upstream.into(),
        started: 1,
    };
    report(key, Event::Crashed { crash, age_ms: 0 })
}

/// Applies a crash to all keys of a request.
fn crash(state: &mut Quarantine, ms: u64, request: &Fingerprint, upstream: &str) {
    for key in request.keys() {
        state.apply(time(ms), &crashed(key, upstream));
    }
}

fn complete(state: &mut Quarantine, ms: u64, request: &Fingerprint) {
    for key in request.keys() {
        state.apply(time(ms), &report(key, Event::Completed));
    }
}

fn is_held(state: &Quarantine, ms: u64, request: &Fingerprint) -> bool {
    state.held(time(ms), request).is_some()
}

#[test]
fn new_ignores_nothing_of_the_request() {
    let base = fingerprint("/a/x?q=1", "body");
    assert_eq!(base, fingerprint("/a/x?q=1", "body"));
    assert_eq!(base.target, fingerprint("/a/x?q=1", "other").target);
    assert_ne!(base.content, fingerprint("/a/x?q=1", "other").content);
    assert_ne!(base.target, fingerprint("/a/x?q=2", "body").target);
    assert_ne!(base.target, base.content);
    let uri = Uri::from_static("/a/x?q=1");
    let other_host = Fingerprint::new(&Method::POST, "i.example", &uri, b"body");
    assert_ne!(base.target, other_host.target);
}

#[test]
fn apply_holds_after_three_upstreams() {
    let mut state = Quarantine::default();
    let deadly = fingerprint("/a/deadly", "x");
    crash(&mut state, 0, &deadly, "i-1");
    // Several instances report the same crash.
    crash(&mut state, 5, &deadly, "i-1");
    crash(&mut state, 100, &deadly, "i-2");
    assert!(!is_held(&state, 100, &deadly));
    assert_eq!(state.crashes(time(100), &deadly), 2);
    crash(&mut state, 200, &deadly, "i-3");
    assert!(is_held(&state, 200, &deadly));
}

/// The same start of an upstream ends once; a later start of the same upstream counts again.
#[test]
fn apply_counts_starts_of_an_upstream() {
    let mut state = Quarantine::default();
    let key = 7;
    for started in 1..=MAX_CRASHES as u64 {
        let crash = Crash {
            upstream: "i-1".into(),
            started,
        };
        let event = Event::Crashed { crash, age_ms: 0 };
        let change = state.apply(time(started), &report(key, event));
        let last = started == MAX_CRASHES as u64;
        let expected = if last {
            Change::Held
        } else {
            Change::Suspected
        };
        assert_eq!(change, expected);
    }
}

/// A request of another length to the same target is held back too, one to another target is not.
#[test]
fn held_covers_the_target() {
    let mut state = Quarantine::default();
    for (number, body) in ["x", "xx", "xxx"].iter().enumerate() {
        let request = fingerprint("/a/deadly", body);
        crash(&mut state, 0, &request, &format!("i-{number}"));
    }
    assert!(is_held(&state, 0, &fingerprint("/a/deadly", "xxxx")));
    assert!(!is_held(&state, 0, &fingerprint("/a/other", "x")));
}

/// Many requests share a target, and only one content crashes upstreams.
#[test]
fn held_leaves_a_target_on_which_others_are_completed() {
    let mut state = Quarantine::default();
    let (deadly, sound) = (fingerprint("/chat", "deadly"), fingerprint("/chat", "hi"));
    complete(&mut state, 0, &sound);
    for number in 0..MAX_CRASHES {
        crash(&mut state, 10, &deadly, &format!("i-{number}"));
    }
    assert!(is_held(&state, 10, &deadly));
    assert!(!is_held(&state, 10, &fingerprint("/chat", "another")));
    assert!(!is_held(&state, 10, &sound));
}

/// Requests that run at the same upstreams as a deadly one are broken off as often; the one held back
/// first explains the crashes.
#[test]
fn held_leaves_requests_that_ran_beside() {
    let mut state = Quarantine::default();
    let (deadly, beside) = (fingerprint("/a/deadly", "x"), fingerprint("/a/beside", "y"));
    for upstream in ["i-1", "i-2", "i-3"] {
        crash(&mut state, 0, &deadly, upstream);
        crash(&mut state, 0, &beside, upstream);
    }
    assert!(is_held(&state, 1, &deadly));
    assert!(!is_held(&state, 1, &beside));
    assert_eq!(state.crashes(time(1), &beside), 0);
    // A crash for another reason later doesn't add to them.
    crash(&mut state, 2, &beside, "i-4");
    assert!(!is_held(&state, 2, &beside));
}

#[test]
fn apply_clears_a_request_that_is_completed() {
    let mut state = Quarantine::default();
    let request = fingerprint("/a/beside", "x");
    crash(&mut state, 0, &request, "i-1");
    crash(&mut state, 0, &request, "i-2");
    complete(&mut state, 10, &request);
    assert_eq!(state.crashes(time(10), &request), 0);
    // A report of a crash from before arrives late.
    crash(&mut state, 20, &request, "i-3");
    crash(&mut state, 20, &request, "i-4");
    crash(&mut state, 20, &request, "i-5");
    assert!(!is_held(&state, 20, &request));
}

#[test]
fn held_ends_and_one_more_crash_renews_it_for_longer() {
    let mut state = Quarantine::default();
    let deadly = fingerprint("/a/deadly", "x");
    for upstream in ["i-1", "i-2", "i-3"] {
        crash(&mut state, 0, &deadly, upstream);
    }
    let first = state.held(time(0), &deadly).unwrap();
    let end = first.as_millis() as u64;
    assert!(!is_held(&state, end, &deadly));
    state.sweep(time(end));
    crash(&mut state, end + 1, &deadly, "i-4");
    assert_eq!(state.held(time(end + 1), &deadly), Some(2 * first));
    // Without any further crash it is forgotten.
    state.sweep(time(end + 1) + 5 * first);
    crash(&mut state, end + 2 + 5 * end, &deadly, "i-5");
    assert!(!is_held(&state, end + 2 + 5 * end, &deadly));
}

#[test]
fn apply_forgets_crashes_after_a_minute() {
    let mut state = Quarantine::default();
    let request = fingerprint("/a/unlucky", "x");
    for number in 0..10 {
        let ms = number * 31_000;
        crash(&mut state, ms, &request, &format!("i-{number}"));
        assert!(!is_held(&state, ms, &request));
    }
}

/// Reports of a whole state, as for an instance that starts, give the same decisions.
#[test]
fn list_restores_the_state_of_another_instance() {
    let mut known = Quarantine::default();
    let (deadly, suspect) = (
        fingerprint("/a/deadly", "x"),
        fingerprint("/a/suspect", "y"),
    );
    for upstream in ["i-1", "i-2", "i-3"] {
        crash(&mut known, 0, &deadly, upstream);
    }
    crash(&mut known, 0, &suspect, "i-4");
    crash(&mut known, 0, &suspect, "i-5");
    let mut state = Quarantine::default();
    for report in known.list(time(500)) {
        state.apply(time(900_000), &report);
    }
    assert!(is_held(&state, 900_000, &deadly));
    assert_eq!(state.crashes(time(900_000), &suspect), 2);
    crash(&mut state, 900_000, &suspect, "i-6");
    assert!(is_held(&state, 900_000, &suspect));
}

/// A hold that another instance states lasts no longer than the longest own one.
#[test]
fn apply_bounds_the_hold_of_others() {
    let mut state = Quarantine::default();
    let event = Event::Held {
        left_ms: u64::MAX / 2_000,
        holds: u32::MAX,
    };
    let request = fingerprint("/a/x", "x");
    state.apply(time(0), &report(request.target, event));
    let left = state.held(time(0), &request).unwrap();
    assert_eq!(left, Duration::from_secs(3_600));
    state.sweep(time(0));
}

#[test]
fn memory_is_bounded() {
    let mut state = Quarantine::default();
    for key in 0..20_000 {
        let event = Event::Held {
            left_ms: 1_000 + key,
            holds: 1,
        };
        state.apply(time(0), &report(key, event));
        state.apply(time(0), &crashed(1_000_000 + key, "i-1"));
        state.apply(time(0), &report(2_000_000 + key, Event::Completed));
    }
    assert!(state.list(time(0)).len() <= MAX_REPORTS);
    // Of too many holds the ones that end last are kept.
    assert!(state.hold_of(time(0), 19_999).is_some());
    assert!(state.hold_of(time(0), 0).is_none());
}
