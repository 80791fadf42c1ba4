//! Guards against calls that are lost, granted twice or granted where they must not go.

use std::time::Duration;

use gypsumlever::{
    clock::Time,
    name::{
        Class,
        Customer,
        Upstream, //
    },
    policy::{
        call::{
            Call,
            Report, //
        },
        pool::{
            Decision,
            Limits,
            Pool,
            Settings,
            Standard, //
        },
    },
};
use rand::{
    rngs::SmallRng,
    SeedableRng, //
};

const T0: Time = Time(1_000_000_000);

fn upstream(index: usize) -> Upstream {
    Upstream::try_from(format!("e{index}")).expect("valid name")
}

fn call() -> Call {
    Call {
        customer: Customer::try_from("sirag").expect("valid name"),
        share: 1,
        class: Class::try_from("fitting").expect("valid name"),
        interactive: false,
        program: None,
        attained: 0,
        prefix: 0,
        cost: 100,
        deadline: T0 + Duration::from_secs(60),
        idempotent: true,
        excluded: Vec::new(),
    }
}

#[test]
fn poll_grants_up_to_window_then_waits() {
    let mut pool = Pool::<Standard>::new(Settings::default());
    let limits = Limits {
        initial: 1,
        most: 1,
    };
    pool.upsert(upstream(1), limits);
    let mut rng = SmallRng::seed_from_u64(1);
    assert_eq!(pool.ask(T0, 1, call()), None);
    assert_eq!(pool.ask(T0, 2, call()), None);
    let grant = |id| Decision::Grant {
        id,
        upstream: upstream(1),
    };
    assert_eq!(pool.poll(T0, &mut rng), vec![grant(1)]);
    assert_eq!(pool.poll(T0, &mut rng), vec![]);
    pool.done(T0, 1, Report::default());
    assert_eq!(pool.poll(T0, &mut rng), vec![grant(2)]);
}
