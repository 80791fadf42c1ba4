//! Guards against placements that differ between instances, and orders that engines must not get.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use gypsumlever::{
    clock::Time,
    name::Upstream,
    policy::place::{
        assign,
        Artifact,
        Engine,
        Kind,
        Loader,
        Order,
        Plan,
        Rate,
        Rule,
        Standing, //
    },
};
use proptest::prelude::*;

const T0: Time = Time(1_000_000_000);

fn engine(index: usize) -> Upstream {
    Upstream::try_from(format!("e{index}")).expect("valid name")
}

fn artifact(index: usize) -> Artifact {
    Artifact {
        name: format!("m{index}"),
        version: 1,
    }
}

fn plan(engines: &[u64], models: &[(u64, usize)], adapters: &[u64]) -> Plan {
    let mut artifacts = BTreeMap::new();
    for (index, (bytes, replicas)) in models.iter().enumerate() {
        let kind = Kind {
            bytes: *bytes,
            replicas: *replicas,
            base: None,
        };
        artifacts.insert(artifact(index), kind);
    }
    for (index, bytes) in adapters.iter().enumerate() {
        let kind = Kind {
            bytes: *bytes,
            replicas: 2,
            base: Some(artifact(0)),
        };
        artifacts.insert(artifact(100 + index), kind);
    }
    let engines = engines.iter().enumerate().map(|(index, bytes)| {
        let fenced = false;
        let bytes = *bytes;
        (engine(index), Engine { bytes, fenced })
    });
    Plan {
        version: 1,
        engines: engines.collect(),
        artifacts,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(200) })]

    /// Memory that is promised twice, and adapters without their model, would fail on the engine.
    #[test]
    fn assign_fits_engines(
        engines in prop::collection::vec(10_u64..100, 1..8),
        models in prop::collection::vec((1_u64..60, 1_usize..5), 1..6),
        adapters in prop::collection::vec(1_u64..10, 0..4),
    ) {
        let plan = plan(&engines, &models, &adapters);
        for (name, held) in assign(&plan) {
            let used: u64 = held.iter().map(|artifact| plan.artifacts[artifact].bytes).sum();
            prop_assert!(used <= plan.engines[&name].bytes);
            for artifact in &held {
                let base = plan.artifacts[artifact].base.as_ref();
                prop_assert!(base.is_none_or(|base| held.contains(base)));
            }
        }
    }

    /// A placement that depended on anything seen would never converge between two holders; orders
    /// that are carried out must end in the placement, within the rate of the weight store.
    #[test]
    fn orders_converge_within_rate(
        engines in prop::collection::vec(50_u64..100, 2..6),
        models in prop::collection::vec((1_u64..25, 1_usize..4), 1..5),
        before in prop::collection::vec((1_u64..25, 1_usize..4), 1..5),
    ) {
        let rate = Rate { bytes: 10, loads: 2 };
        let target = plan(&engines, &models, &[]);
        let placement = assign(&target);
        let mut held = assign(&plan(&engines, &before, &[]));
        let mut loader = Loader::new(rate);
        let (mut now, mut loaded) = (T0, 0);
        for _ in 0..400 {
            let orders = loader.orders(now, &target, &placement, &held);
            for order in orders {
                match order {
                    Order::Load { engine, artifact } => {
                        loaded += target.artifacts[&artifact].bytes;
                        loader.ended(&engine, &artifact);
                        held.entry(engine).or_default().insert(artifact);
                    }
                    Order::Drop { engine, artifact } => {
                        held.entry(engine).or_default().remove(&artifact);
                    }
                }
            }
            let seconds = now.since(T0).as_secs_f64();
            prop_assert!(loaded as f64 <= 10.0 * seconds + 25.0 + 0.001);
            now = now + Duration::from_millis(500);
        }
        for (name, wanted) in &placement {
            prop_assert!(wanted.is_subset(&held[name]), "{name} misses {wanted:?}");
        }
    }
}

#[test]
fn permits_table_of_faults() {
    let order = |drop: bool| {
        let (engine, artifact) = (engine(0), artifact(0));
        if drop {
            Order::Drop { engine, artifact }
        } else {
            Order::Load { engine, artifact }
        }
    };
    let seconds = Duration::from_secs;
    // Fenced, drop, age of the holder's right, age of the confirmation, permitted.
    let cases = [
        (true, true, 0, 100, true),
        (false, false, 0, 0, true),
        (false, false, 100, 3, false),
        (false, true, 0, 0, false),
        (false, true, 100, 0, true),
        (false, true, 100, 3, false),
    ];
    for (fenced, drop, held, confirmed, permitted) in cases {
        let engine = Engine { bytes: 1, fenced };
        let standing = Standing {
            held_since: T0 - seconds(held),
            confirmed: T0 - seconds(confirmed),
        };
        let got = Rule::default().permits(T0, &engine, &order(drop), standing);
        assert_eq!(got, permitted, "{fenced} {drop} {held} {confirmed}");
    }
    let engine = Engine {
        bytes: 1,
        fenced: false,
    };
    let standing = Standing {
        held_since: T0 - seconds(100),
        confirmed: T0 + seconds(1),
    };
    let back = Rule::default().permits(T0, &engine, &order(false), standing);
    assert!(!back, "the clock was set back");
}

#[test]
fn assign_removed_engine_keeps_the_rest() {
    let full = plan(&[1_000; 6], &[(10, 2); 12], &[]);
    let mut less = full.clone();
    less.engines.remove(&engine(3));
    let (before, after) = (assign(&full), assign(&less));
    for (name, held) in &after {
        assert!(before[name].is_subset(held), "{name} lost artifacts");
    }
}
