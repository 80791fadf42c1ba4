//! Guards the CPU and the readers of the logs against too many lines.

use gypsumlever::{
    clock::Time,
    gateway::throttle::Throttle, //
};

#[test]
fn allow_limits_lines_in_each_second() {
    let throttle = Throttle::default();
    let allowed = (0..500).filter(|step| throttle.allow(Time(5_000_000 + step)));
    assert_eq!(allowed.count(), 100);
    assert_eq!(throttle.dropped(), 400);
    assert!(throttle.allow(Time(6_000_000)));
    assert_eq!(throttle.dropped(), 0);
}
