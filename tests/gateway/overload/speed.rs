//! Guards the choice of upstreams against constants of another site, and slow engines.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use gypsumlever::{
    clock::Time,
    gateway::{
        balance::Settings,
        overload::speed::{
            Context,
            Speeds,
            Times, //
        },
    },
};

fn time(ms: u64) -> Time {
    Time(10_000_000_000 + ms * 1_000)
}

fn engine(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + number))
}

/// Records a turn on an engine with these speeds.
fn record(speeds: &mut Speeds, ms: u64, number: u16, (read, step): (f64, f64)) {
    let service: Arc<str> = "s".into();
    let context = Context {
        unread: Some(2_000),
        batch: 0.0,
        pace: 1.0,
    };
    let times = Times {
        first_us: ((2_000.0 / read + 20.0 * step) * 1_000.0) as u64,
        first_tokens: 20,
        decode_us: (240.0 * step * 1_000.0) as u64,
        tokens: 240,
    };
    let upstream = (&service, engine(number));
    speeds.record_turn(time(ms), &Settings::default(), upstream, context, times);
}

fn step(speeds: &Speeds, ms: u64, number: u16) -> f64 {
    let speed = speeds.engine(time(ms), &Settings::default(), "s", engine(number));
    speed.step_ms
}

/// The constants are wrong by 1.6 times at some sites.
#[test]
fn record_turn_corrects_wrong_priors_within_20_turns() {
    let mut speeds = Speeds::default();
    for turn in 0..20 {
        record(&mut speeds, turn * 10, turn as u16 % 5, (128.0, 2.03));
    }
    let speed = speeds.engine(time(200), &Settings::default(), "s", engine(1));
    assert!((speed.step_ms / 2.03 - 1.0).abs() < 0.1, "{speed:?}");
    assert!(
        (speed.read_tokens_per_ms / 128.0 - 1.0).abs() < 0.15,
        "{speed:?}"
    );
}

/// One engine in four runs at 0.55 of the nominal speed.
#[test]
fn record_turn_tells_slow_engines_apart() {
    let mut speeds = Speeds::default();
    for turn in 0..200 {
        let number = turn as u16 % 4;
        let slow = if number == 0 { 1.0 / 0.46 } else { 1.0 };
        let speed = (205.0 / slow, 1.27 * slow);
        record(&mut speeds, turn * 10, number, speed);
    }
    let ratio = step(&speeds, 2_000, 0) / step(&speeds, 2_000, 1);
    assert!((ratio * 0.46 - 1.0).abs() < 0.1, "{ratio}");
    // What was learned of an engine fades.
    let later = step(&speeds, 602_000, 0) / step(&speeds, 602_000, 1);
    assert!(later < 1.05, "{later}");
}

/// Noise of single turns must not move turns away from the engines that have their prompts.
#[test]
fn placement_ignores_small_differences_and_reading() {
    let (mut speeds, priors) = (Speeds::default(), Settings::default());
    for turn in 0..400 {
        let number = turn as u16 % 4;
        let slow = [2.17, 1.0, 1.1, 1.0][usize::from(number)];
        let speed = (336.0 / slow, 1.27 * slow);
        record(&mut speeds, turn * 10, number, speed);
    }
    let speed = |number| speeds.placement(time(4_000), &priors, engine(number));
    assert_eq!(speed(1).read_tokens_per_ms, priors.read_tokens_per_ms);
    assert!(speed(0).step_ms > 1.5 * speed(1).step_ms);
    assert!((speed(2).step_ms / speed(1).step_ms - 1.0).abs() < 0.08);
}

/// A stalled stream must not make an engine look slow for good.
#[test]
fn record_turn_bounds_the_effect_of_one_turn() {
    let mut speeds = Speeds::default();
    for turn in 0..50 {
        record(&mut speeds, turn * 10, 1, (205.0, 1.27));
    }
    let before = step(&speeds, 500, 1);
    record(&mut speeds, 500, 1, (205.0, 127.0));
    let change = step(&speeds, 500, 1) / before;
    assert!(change > 1.0 && change < 1.45, "{change}");
}

/// Plain calls take 0.3 to 3.5 times the constant.
#[test]
fn record_call_learns_each_route() {
    let (mut speeds, priors) = (Speeds::default(), Settings::default());
    let (fast, slow): (Arc<str>, Arc<str>) = ("fast".into(), "slow".into());
    for _ in 0..20 {
        speeds.record_call(&priors, &fast, 1.0, Duration::from_millis(9));
        speeds.record_call(&priors, &slow, 2.0, Duration::from_millis(210));
    }
    let off = |route: &str, ms: f64| (speeds.call_ms(&priors, route) / ms - 1.0).abs();
    assert!(
        off("fast", 9.0) < 0.2 && off("slow", 105.0) < 0.2,
        "{speeds:?}"
    );
    assert_eq!(speeds.call_ms(&priors, "other"), priors.call_ms);
}

/// With the switch off, the constants hold.
#[test]
fn record_turn_changes_nothing_when_off() {
    let mut speeds = Speeds::new(false);
    record(&mut speeds, 0, 1, (128.0, 2.03));
    assert_eq!(step(&speeds, 0, 1), Settings::default().step_ms);
}
