//! Guards each load pattern that the queue of the zone was built for, with the mechanism on and off.

use gypsumlever::gateway::overload::Settings;

use super::model::{
    play,
    Scenario,
    Score, //
};

const ON: Settings = Settings {
    learn: true,
    order: true,
    admit: true,
};

const OFF: Settings = Settings {
    learn: false,
    order: false,
    admit: false,
};

const ENGINES: usize = 4;

fn scenario(load: fn(u64) -> f64) -> Scenario {
    Scenario {
        engines: vec![1.0; ENGINES],
        load,
        tenant: |_, _| 0,
        turns: |_, _| 1,
        end_ms: 14_000,
    }
}

fn burst(ms: u64) -> f64 {
    match ms {
        4_000..8_000 => 2.0,
        _ => 0.5,
    }
}

/// Plays a scenario with two seeds; returns the sums over all tenants.
fn total(scenario: &Scenario, settings: Settings) -> Score {
    let mut sum = Score::default();
    for seed in 1..=2 {
        for score in play(scenario, settings, seed).values() {
            sum.in_time += score.in_time;
            sum.late += score.late;
            sum.failed += score.failed;
            sum.refusals += score.refusals;
        }
    }
    sum
}

fn slow() -> Vec<f64> {
    (0..ENGINES)
        .map(|number| if number == 0 { 0.46 } else { 1.0 })
        .collect()
}

/// In a burst all programs were slowed down alike, and ended late together.
#[test]
fn burst_keeps_programs_in_time() {
    let (on, off) = (total(&scenario(burst), ON), total(&scenario(burst), OFF));
    let text = format!("on {on:?}, off {off:?}");
    assert!(
        f64::from(on.in_time) > 1.4 * f64::from(off.in_time),
        "{text}"
    );
}

/// The same with one engine in four at 0.46 of the others' speed.
#[test]
fn burst_with_a_slow_engine_keeps_programs_in_time() {
    let scenario = Scenario {
        engines: slow(),
        ..scenario(burst)
    };
    let (on, off) = (total(&scenario, ON), total(&scenario, OFF));
    let text = format!("on {on:?}, off {off:?}");
    assert!(
        f64::from(on.in_time) > 1.2 * f64::from(off.in_time),
        "{text}"
    );
}

/// With free capacity the queue must change nothing.
#[test]
fn low_load_refuses_nothing_and_delays_nothing() {
    let on = total(&scenario(|_| 0.4), ON);
    assert_eq!((on.late, on.failed, on.refusals), (0, 0, 0), "{on:?}");
}

/// Sums of the programs of tenant 1, or of the others.
fn share(scenario: &Scenario, settings: Settings, surging: bool) -> Score {
    let mut sum = Score::default();
    for seed in 1..=2 {
        for (tenant, score) in play(scenario, settings, seed) {
            if (tenant == 1) == surging {
                sum.in_time += score.in_time;
                sum.late += score.late;
                sum.failed += score.failed;
            }
        }
    }
    sum
}

/// Tenant 1, which sends nothing otherwise, sends 0.84 of the capacity for 5 s beside 0.56 of the others.
/// These still pay for full batches, in which each turn takes longer.
#[test]
fn surge_of_a_tenant_spares_the_others() {
    let scenario = Scenario {
        tenant: |ms, uniform| match ms {
            4_000..9_000 if uniform < 0.6 => 1,
            _ => 2 + (uniform * 9.99) as u64,
        },
        ..scenario(|ms| match ms {
            4_000..9_000 => 1.4,
            _ => 0.55,
        })
    };
    let (on, off) = (share(&scenario, ON, false), share(&scenario, OFF, false));
    let surging = share(&scenario, ON, true);
    let text = format!("others on {on:?}, off {off:?}; surging {surging:?}");
    let missed = |score: Score| f64::from(score.late + score.failed);
    assert!(missed(on) < 0.7 * missed(off), "{text}");
}

/// Prints the outcome of every pattern under every combination of switches; the source of the figures
/// in the design note.
#[test]
#[ignore = "prints figures, and checks nothing"]
fn print_figures() {
    let wave = |ms: u64| 0.8 * (1.0 + 0.55 * (ms as f64 / 8_000.0 * std::f64::consts::TAU).sin());
    let scenarios = [
        ("burst", scenario(burst)),
        ("wave", scenario(wave)),
        (
            "slow, steady 0.8",
            Scenario {
                engines: slow(),
                ..scenario(|_| 0.8)
            },
        ),
        (
            "slow, burst",
            Scenario {
                engines: slow(),
                ..scenario(burst)
            },
        ),
        ("low", scenario(|_| 0.5)),
    ];
    let print = |name: &str, scenario: Scenario| {
        for (switches, settings) in [
            ("off", OFF),
            ("learn", Settings { learn: true, ..OFF }),
            ("order", Settings { order: true, ..OFF }),
            ("order+admit", Settings { learn: false, ..ON }),
            ("learn+order", Settings { admit: false, ..ON }),
            ("on", ON),
        ] {
            println!("{name}, {switches}: {:?}", total(&scenario, settings));
        }
    };
    std::thread::scope(|scope| {
        for (name, scenario) in scenarios {
            scope.spawn(move || print(name, scenario));
        }
    });
}
