//! Plays reads of a large state by many instances, without a network.

use std::time::Duration;

use gypsumlever::gateway::timeout::Timeout;

#[test]
fn timeout_doubles_up_to_its_maximum_and_resets() {
    let timeout = Timeout::growing(Duration::from_millis(500), Duration::from_secs(3));
    let mut seen = Vec::new();
    for _ in 0..4 {
        seen.push(timeout.get().as_millis());
        timeout.expired();
    }
    assert_eq!(seen, [500, 1_000, 2_000, 3_000]);
    timeout.reset();
    assert_eq!(timeout.get(), Duration::from_millis(500));
}

#[test]
fn timeout_that_is_fixed_never_changes() {
    let timeout = Timeout::fixed(Duration::from_millis(500));
    timeout.expired();
    assert_eq!(timeout.get(), Duration::from_millis(500));
}

#[test]
fn timeout_follows_the_expected_time_of_a_read() {
    let timeout = Timeout::growing(Duration::from_millis(500), Duration::from_secs(2));
    timeout.set_min(Duration::from_secs(3));
    assert_eq!(timeout.get(), Duration::from_secs(3));
    (0..20).for_each(|_| timeout.expired());
    assert_eq!(timeout.get(), Duration::from_secs(6));
    timeout.set_min(Duration::from_millis(500));
    assert_eq!(timeout.get(), Duration::from_secs(2));
}

/// Returns the number of instances that complete a read within `limit_s`, if the answers to all of
/// them take `total_s` and the store also transfers answers that were given up.
fn completed_within(
    limit_s: f64,
    total_s: f64,
    instances: u32,
    timeout: impl Fn() -> Timeout,
) -> u32 {
    let share_s = total_s / f64::from(instances);
    // Time of the next read of each instance.
    let mut reads: Vec<_> = (0..instances)
        .map(|number| (f64::from(number) * 0.001, timeout()))
        .collect();
    let (mut store_free_s, mut completed) = (0.0_f64, 0);
    while let Some(next) = (0..reads.len()).min_by(|a, b| reads[*a].0.total_cmp(&reads[*b].0)) {
        let (asked_s, patience) = reads.swap_remove(next);
        if asked_s > limit_s {
            break;
        }
        store_free_s = store_free_s.max(asked_s) + share_s;
        let given_up_s = asked_s + patience.get().as_secs_f64();
        if store_free_s <= given_up_s {
            completed += u32::from(store_free_s <= limit_s);
        } else {
            patience.expired();
            reads.push((given_up_s + 0.2, patience));
        }
    }
    completed
}

/// Guards against reads that are abandoned faster than the store can answer them.
#[test]
fn timeout_that_grows_lets_all_instances_complete() {
    let (min, max) = (Duration::from_secs(2), Duration::from_secs(8));
    let grown = completed_within(12.0, 4.0, 300, || Timeout::growing(min, max));
    assert_eq!(grown, 300);
    let short = Duration::from_millis(500);
    let fixed = completed_within(12.0, 4.0, 300, || Timeout::fixed(short));
    assert!(fixed < 75, "{fixed}");
}

/// Guards against changes whose answers to all instances take longer than a read may: with the
/// expected time as the timeout, all instances complete within the platform's 4 s.
#[test]
fn timeout_of_the_expected_time_lets_changes_through() {
    let (min, max) = (Duration::from_millis(500), Duration::from_secs(2));
    let expected = || {
        let timeout = Timeout::growing(min, max);
        // The previous configuration had three quarters of the size.
        timeout.set_min(min + Duration::from_millis(2_100));
        timeout
    };
    assert_eq!(completed_within(4.0, 2.8, 295, expected), 295);
    let grown = completed_within(4.0, 2.8, 295, || Timeout::growing(min, max));
    assert!(grown < 200, "{grown}");
}
