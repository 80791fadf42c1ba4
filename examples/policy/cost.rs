//! CPU time of a decision at the design size of one pool.

use std::time::{
    Duration,
    Instant, //
};

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
            Settings, //
        },
    },
};
use rand::{
    rngs::SmallRng,
    SeedableRng, //
};

/// Engines of one pool and zone: 12,000 engines over 16 models and 9 availability zones.
const ENGINES: usize = 83;

/// Number of timed decisions.
const DECISIONS: u64 = 5_000;

fn call(index: u64, customers: u64) -> Call {
    Call {
        customer: Customer::try_from(format!("c{}", index % customers)).expect("valid name"),
        share: 1,
        class: Class::try_from("class").expect("valid name"),
        interactive: false,
        program: None,
        attained: index * 37 % 100_000,
        prefix: 0,
        cost: 500,
        deadline: Time(u64::MAX / 2),
        idempotent: true,
        excluded: Vec::new(),
    }
}

/// Returns the mean time to process a report, queue a call and grant the freed slot.
pub fn decision(waiting: u64, customers: u64) -> Duration {
    let mut pool: Pool = Pool::new(Settings {
        length: usize::MAX,
        per_customer: usize::MAX,
        ..Settings::default()
    });
    let limits = Limits {
        initial: 32,
        most: 32,
    };
    for index in 0..ENGINES {
        let name = Upstream::try_from(format!("e{index}")).expect("valid name");
        pool.upsert(name, limits);
    }
    let mut rng = SmallRng::seed_from_u64(1);
    let now = Time(1_000_000_000);
    let mut running = Vec::new();
    let collect = |decisions: Vec<Decision>, running: &mut Vec<u64>| {
        running.extend(decisions.iter().map(|decision| match decision {
            Decision::Grant { id, .. } | Decision::Deny { id, .. } => *id,
        }));
    };
    let first = waiting + ENGINES as u64 * 32;
    for id in 0..first {
        pool.enqueue(now, id, call(id, customers));
    }
    collect(pool.poll(now, &mut rng), &mut running);
    let begin = Instant::now();
    for step in 0..DECISIONS {
        if let Some(id) = running.pop() {
            pool.complete(now, id, Report::default());
        }
        pool.enqueue(now, first + step, call(first + step, customers));
        collect(pool.poll(now, &mut rng), &mut running);
    }
    begin.elapsed() / DECISIONS as u32
}
