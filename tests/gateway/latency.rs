//! Guards the store against calls that are repeated although it is only slow as usual, and callers
//! against waiting for an answer that is lost.

use std::time::Duration;

use gypsumlever::gateway::latency::Latency;

const RANGE: [Duration; 2] = [Duration::from_millis(15), Duration::from_millis(400)];

fn after(times_ms: impl IntoIterator<Item = u64>) -> Duration {
    let latency = Latency::default();
    for time_ms in times_ms {
        latency.record(Duration::from_millis(time_ms));
    }
    latency.limit(RANGE)
}

#[test]
fn limit_is_short_for_a_fast_service() {
    assert_eq!(after([4; 50]), RANGE[0]);
}

#[test]
fn limit_follows_a_service_that_becomes_slow() {
    let limit = after([[4; 50], [240; 50]].concat());
    assert!(limit > Duration::from_millis(240), "{limit:?}");
}

#[test]
fn limit_returns_after_a_slow_time() {
    let limit = after([[240; 50], [4; 50]].concat());
    assert!(limit < Duration::from_millis(30), "{limit:?}");
}

#[test]
fn limit_is_the_longest_before_the_first_call() {
    assert_eq!(after([]), RANGE[1]);
}
