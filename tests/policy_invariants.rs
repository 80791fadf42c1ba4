//! Checks that a pool neither loses nor misplaces calls, for arbitrary sequences of events.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use gypsumlever::{
    clock::Time,
    name::{
        Class,
        Customer,
        Program,
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
        queue::{
            self,
            Entry,
            Order,
            Queue,
            Verdict, //
        },
    },
    upstream::Load,
};
use proptest::prelude::*;
use rand::{
    rngs::SmallRng,
    SeedableRng, //
};

const T0: Time = Time(1_000_000_000);
const UPSTREAMS: usize = 3;

fn upstream(index: usize) -> Upstream {
    Upstream::try_from(format!("e{}", index % UPSTREAMS)).expect("valid name")
}

fn call(customer: u8, attained: u64) -> Call {
    Call {
        customer: Customer::try_from(format!("c{customer}")).expect("valid name"),
        share: 1,
        class: Class::try_from("fitting").expect("valid name"),
        interactive: false,
        program: None,
        attained,
        prefix: 0,
        cost: 100,
        deadline: T0 + Duration::from_secs(10_000),
        idempotent: true,
        excluded: Vec::new(),
    }
}

#[derive(Clone, Debug)]
enum Event {
    Enqueue { call: Call },
    Withdraw(usize),
    Done(usize, Report),
    Progress(usize),
    Join(usize, u32),
    Leave(usize),
    Remove(usize),
    Load(usize, u32, u32),
    Advance(u64),
}

fn enqueue() -> impl Strategy<Value = Event> {
    let attributes = (0_u8..3, 1_u32..5, any::<bool>(), any::<bool>());
    let program = prop::option::of(0_u8..6);
    let sizes = (0_u64..40_000, 0_u64..20_000, 1_u64..60);
    let excluded = prop::collection::vec(0..UPSTREAMS, 0..2);
    (attributes, program, sizes, excluded).prop_map(|(attributes, program, sizes, excluded)| {
        let (customer, share, interactive, idempotent) = attributes;
        let (attained, prefix, seconds) = sizes;
        let program = program.map(|p| Program::try_from(format!("z.{p}")).expect("valid name"));
        let call = Call {
            share,
            interactive,
            idempotent,
            prefix: if program.is_some() { prefix } else { 0 },
            program,
            deadline: T0 + Duration::from_secs(seconds),
            excluded: excluded.into_iter().map(upstream).collect(),
            ..call(customer, attained)
        };
        Event::Enqueue { call }
    })
}

fn event() -> impl Strategy<Value = Event> {
    let report = (1_u64..5_000_000, 0_u64..500, any::<bool>(), any::<bool>()).prop_map(
        |(total_us, completion_tokens, failed, refused)| Report {
            first_us: Some(total_us / 4),
            total_us,
            completion_tokens,
            failed: failed && !refused,
            refused,
            ..Report::default()
        },
    );
    prop_oneof![
        8 => enqueue(),
        1 => (0_usize..50).prop_map(Event::Withdraw),
        5 => (0_usize..50, report).prop_map(|(index, report)| Event::Done(index, report)),
        1 => (0_usize..50).prop_map(Event::Progress),
        2 => (0..UPSTREAMS, 1_u32..6).prop_map(|(index, most)| Event::Join(index, most)),
        1 => (0..UPSTREAMS).prop_map(Event::Leave),
        1 => (0..UPSTREAMS).prop_map(Event::Remove),
        2 => (0..UPSTREAMS, 0_u32..9, 0_u32..3)
            .prop_map(|(index, running, waiting)| Event::Load(index, running, waiting)),
        3 => (0_u64..2_000).prop_map(Event::Advance),
    ]
}

/// Reference model of the pool's state.
#[derive(Default)]
struct Model {
    waiting: BTreeMap<u64, Call>,
    granted: BTreeMap<u64, Upstream>,
    members: BTreeSet<Upstream>,
}

impl Model {
    fn nth(&self, index: usize) -> Option<u64> {
        let count = self.granted.len();
        self.granted.keys().nth(index % count.max(1)).copied()
    }

    fn check(&mut self, pool: &Pool, decisions: Vec<Decision>) -> Result<(), TestCaseError> {
        let mut used = BTreeSet::new();
        for decision in decisions {
            match decision {
                Decision::Grant { id, upstream } => {
                    let call = self.waiting.remove(&id);
                    prop_assert!(call.is_some(), "grant of {id}, which does not wait");
                    let excluded = call.map(|call| call.excluded).unwrap_or_default();
                    prop_assert!(!excluded.contains(&upstream), "excluded {upstream}");
                    prop_assert!(self.members.contains(&upstream), "{upstream} has left");
                    used.insert(upstream.clone());
                    self.granted.insert(id, upstream);
                }
                Decision::Deny { id, .. } => {
                    let call = self.waiting.remove(&id);
                    prop_assert!(call.is_some(), "refusal of {id}, which does not wait");
                }
            }
        }
        let stats = pool.stats();
        for name in used {
            let running = self.granted.values().filter(|on| **on == name).count();
            let member = &stats.upstreams[&name];
            prop_assert_eq!(member.running as usize, running);
            let capacity = member.window.saturating_sub(member.foreign).max(1);
            prop_assert!(
                member.running <= capacity,
                "{} of {}",
                member.running,
                capacity
            );
        }
        let waiting: usize = stats.queues.values().sum();
        prop_assert_eq!(waiting, self.waiting.len(), "calls were lost");
        Ok(())
    }
}

fn apply(pool: &mut Pool, model: &mut Model, now: &mut Time, id: u64, event: Event) {
    match event {
        Event::Enqueue { call } => {
            if pool.enqueue(*now, id, call.clone()).is_none() {
                model.waiting.insert(id, call);
            }
        }
        Event::Withdraw(index) => {
            let ids: Vec<u64> = model.waiting.keys().copied().collect();
            if let Some(id) = ids.get(index % ids.len().max(1)) {
                pool.withdraw(*now, *id);
                model.waiting.remove(id);
            }
        }
        Event::Done(index, report) => {
            if let Some(id) = model.nth(index) {
                pool.complete(*now, id, report);
                model.granted.remove(&id);
            }
        }
        Event::Progress(index) => {
            if let Some(id) = model.nth(index) {
                pool.record_progress(*now, id);
            }
        }
        Event::Join(index, most) => {
            let initial = most;
            pool.upsert(upstream(index), Limits { initial, most });
            model.members.insert(upstream(index));
        }
        Event::Leave(index) => {
            pool.mark_leaving(&upstream(index));
            model.members.remove(&upstream(index));
        }
        Event::Remove(index) => {
            pool.remove(&upstream(index));
            model.members.remove(&upstream(index));
        }
        Event::Load(index, running, waiting) => {
            let load = Load {
                running,
                waiting,
                at: now.0,
                ..Load::default()
            };
            pool.record_load(*now, &upstream(index), load);
        }
        Event::Advance(ms) => *now = *now + Duration::from_millis(ms),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    /// No call is lost or granted twice; no grant goes to an upstream that is leaving, excluded or
    /// full, or to a call that was withdrawn or refused.
    #[test]
    fn poll_any_events(events in prop::collection::vec(event(), 1..150), seed in any::<u64>()) {
        let mut pool = Pool::new(Settings { length: 30, per_customer: 20, ..Settings::default() });
        let mut model = Model::default();
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut now = T0;
        for (id, event) in events.into_iter().enumerate() {
            apply(&mut pool, &mut model, &mut now, id as u64, event);
            let decisions = pool.poll(now, &mut rng);
            model.check(&pool, decisions)?;
        }
        // Every call that still waits is decided when its deadline has passed, and `next_wake`
        // returns that time.
        while let Some(wake) = pool.next_wake(now) {
            prop_assert!(wake > now, "poll at {now:?} left an earlier wake-up at {wake:?}");
            now = wake;
            let expired = pool.poll(now, &mut rng);
            model.check(&pool, expired)?;
            let ids: Vec<u64> = model.granted.keys().copied().collect();
            for id in ids {
                pool.complete(now, id, Report::default());
                model.granted.remove(&id);
            }
        }
        prop_assert!(model.waiting.is_empty(), "never decided: {:?}", model.waiting.keys());
    }

    /// Long calls are served although short or interactive calls keep arriving.
    #[test]
    fn scan_starved_entries(
        long in prop::collection::vec((0_u8..3, 3_000_u64..200_000), 1..12),
        shorts in any::<bool>(),
        guard in 2_u32..10,
    ) {
        let settings = queue::Settings { guard, ..queue::Settings::default() };
        let mut queue = Queue::new(&settings);
        for (id, (customer, attained)) in long.iter().enumerate() {
            queue.push(T0, entry(id as u64, call(*customer, *attained), T0));
        }
        let now = T0 + Duration::from_millis(settings.patience_ms);
        let mut waiting = long.len();
        // Long calls of others may precede: one lead of each of the three customers, in calls of
        // 100 tokens.
        let bound = guard as usize * long.len() + 3 * settings.lead as usize / 100;
        for step in 0..bound {
            let short = Call { interactive: shorts, ..call((step % 3) as u8, 0) };
            queue.push(now, entry(1_000 + step as u64, short, now));
            let taken = queue.scan(now, |_| Verdict::Take);
            waiting -= usize::from(taken.is_some_and(|entry| entry.id < 1_000));
        }
        prop_assert_eq!(waiting, 0, "still waiting after {} grants", bound);
    }

    /// Customers with unlimited demand get tokens in proportion to their shares, whatever their
    /// calls cost.
    #[test]
    fn scan_shares(
        shares in prop::collection::vec(1_u32..8, 2..5),
        costs in prop::collection::vec(10_u64..2_000, 5),
    ) {
        check_shares(&shares, &costs)?;
    }
}

/// Serves customers with unlimited demand, one call of each of which waits, and checks their tokens.
fn check_shares(shares: &[u32], costs: &[u64]) -> Result<(), TestCaseError> {
    let settings = queue::Settings {
        lead: 5_000,
        ..queue::Settings::default()
    };
    let mut queue = Queue::new(&settings);
    let mut served = vec![0_u64; shares.len()];
    let push = |queue: &mut Queue, customer: usize, id: u64| {
        let call = Call {
            share: shares[customer],
            ..call(customer as u8, 100_000)
        };
        let expected_tokens = costs[customer];
        queue.push(
            T0,
            Entry {
                expected_tokens,
                ..entry(id, call, T0)
            },
        );
    };
    for customer in 0..shares.len() {
        push(&mut queue, customer, customer as u64);
    }
    // A customer starts no call while it is ahead of the least served one by more than the lead, so
    // that it is never further ahead than by the lead and one of its calls.
    let mean = f64::from(shares.iter().sum::<u32>()) / shares.len() as f64;
    let call_parts = costs.iter().zip(shares);
    let call_parts = call_parts.map(|(cost, share)| *cost as f64 / f64::from(*share));
    let allowed = settings.lead as f64 / mean + call_parts.fold(0.0, f64::max);
    let mut id = 0;
    while served.iter().sum::<u64>() < 300_000 {
        id += 1;
        let taken = queue.scan(T0, |_| Verdict::Take);
        prop_assert!(taken.is_some());
        let Some(taken) = taken else { continue };
        let name = taken.call.customer.as_str().trim_start_matches('c');
        let customer: usize = name.parse().expect("number");
        served[customer] += taken.expected_tokens;
        push(&mut queue, customer, 100 + id);
        let parts = served.iter().zip(shares);
        let parts: Vec<f64> = parts
            .map(|(tokens, share)| *tokens as f64 / f64::from(*share))
            .collect();
        let least = parts.iter().copied().fold(f64::INFINITY, f64::min);
        let most = parts.iter().copied().fold(0.0, f64::max);
        prop_assert!(
            most - least <= allowed + 0.001,
            "{parts:?} differ by more than {allowed}"
        );
    }
    Ok(())
}

/// A customer whose calls wait one at a time lost a part of its share with each call of a customer
/// with a larger share.
#[test]
fn scan_shares_cheap_calls_beside_a_large_share() {
    check_shares(&[7, 1], &[1806, 10]).unwrap();
}

/// Customers lost a part of their shares to one whose single calls are larger than the lead.
#[test]
fn scan_shares_calls_larger_than_the_lead() {
    check_shares(&[1, 7], &[1999, 10]).unwrap();
}

fn entry(id: u64, call: Call, queued_at: Time) -> Entry {
    Entry {
        id,
        latest_start: call.deadline,
        expected_tokens: 100,
        queued_at,
        call,
    }
}
