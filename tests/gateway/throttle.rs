//! Guards the CPU and the readers of the logs against too many lines.

use gypsumlever::{
    clock::Time,
    gateway::throttle::Lines, //
};

#[test]
fn lines_are_bounded_in_each_second() {
    let lines = Lines::default();
    let allowed = (0..500).filter(|step| lines.allow(Time(5_000_000 + step)));
    assert_eq!(allowed.count(), 100);
    assert_eq!(lines.dropped(), 400);
    assert!(lines.allow(Time(6_000_000)));
    assert_eq!(lines.dropped(), 0);
}
