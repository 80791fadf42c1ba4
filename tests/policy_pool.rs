//! Checks that calls are neither lost nor granted twice, and only granted to eligible upstreams.

use std::time::Duration;

use gypsumlever::{
    clock::Time,
    executor::request::Reason,
    name::{
        Class,
        Customer,
        Upstream, //
    },
    policy::{
        admit::{
            self,
            Check,
            Gate,
            View, //
        },
        call::{
            Call,
            Report, //
        },
        foreign::{
            self,
            Estimate, //
        },
        pool::{
            Decision,
            Denial,
            Limits,
            Pool,
            Settings,
            Standard, //
        },
        retry::{
            self,
            Budget, //
        },
        window::{
            self,
            Control,
            Sample,
            Window, //
        },
    },
    upstream::Load,
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
fn poll_window_full() {
    let mut pool = Pool::<Standard>::new(Settings::default());
    let limits = Limits {
        initial: 1,
        most: 1,
    };
    pool.upsert(upstream(1), limits);
    let mut rng = SmallRng::seed_from_u64(1);
    assert_eq!(pool.enqueue(T0, 1, call()), None);
    assert_eq!(pool.enqueue(T0, 2, call()), None);
    let grant = |id| Decision::Grant {
        id,
        upstream: upstream(1),
    };
    assert_eq!(pool.poll(T0, &mut rng), vec![grant(1)]);
    assert_eq!(pool.poll(T0, &mut rng), vec![]);
    pool.complete(T0, 1, Report::default());
    assert_eq!(pool.poll(T0, &mut rng), vec![grant(2)]);
}

fn pool(upstreams: usize, slots: u32) -> Pool {
    let mut pool = Pool::<Standard>::new(Settings::default());
    let limits = Limits {
        initial: slots,
        most: slots,
    };
    for index in 0..upstreams {
        pool.upsert(upstream(index), limits);
    }
    pool
}

fn rng() -> SmallRng {
    SmallRng::seed_from_u64(7)
}

fn report(ms: u64) -> Report {
    Report {
        total_us: ms * 1_000,
        ..Report::default()
    }
}

fn granted(decisions: &[Decision]) -> Vec<(u64, Upstream)> {
    let grant = |decision: &Decision| match decision {
        Decision::Grant { id, upstream } => Some((*id, upstream.clone())),
        Decision::Deny { .. } => None,
    };
    decisions.iter().filter_map(grant).collect()
}

#[test]
fn enqueue_refusals() {
    type Change = fn(&mut Pool, &mut Call);
    let cases: [(&str, Change, Option<Reason>); 7] = [
        ("healthy", |_, _| {}, None),
        (
            "no upstream",
            |pool, _| {
                pool.remove(&upstream(0));
                pool.remove(&upstream(1));
            },
            Some(Reason::NoUpstream),
        ),
        (
            "all leaving",
            |pool, _| {
                pool.mark_leaving(&upstream(0));
                pool.mark_leaving(&upstream(1));
            },
            Some(Reason::NoUpstream),
        ),
        (
            "all excluded",
            |_, call| call.excluded = vec![upstream(0), upstream(1)],
            Some(Reason::NoUpstream),
        ),
        (
            "one left",
            |pool, call| {
                pool.mark_leaving(&upstream(0));
                call.excluded = vec![upstream(2)];
            },
            None,
        ),
        (
            "deadline passed",
            |_, call| call.deadline = T0,
            Some(Reason::DeadlineUnreachable),
        ),
        (
            "queue full",
            |pool, call| {
                for id in 100..100 + Settings::default().per_customer as u64 {
                    assert_eq!(pool.enqueue(T0, id, call.clone()), None);
                }
            },
            Some(Reason::QueueFull),
        ),
    ];
    for (name, change, reason) in cases {
        let (mut pool, mut call) = (pool(2, 1), call());
        change(&mut pool, &mut call);
        let got = pool
            .enqueue(T0, 1, call)
            .map(|denial: Denial| denial.reason);
        assert_eq!(got, reason, "{name}");
    }
}

#[test]
fn enqueue_unreachable_deadline() {
    let mut pool = pool(1, 1);
    for id in 0..20 {
        assert_eq!(pool.enqueue(T0, id, call()), None);
        assert_eq!(granted(&pool.poll(T0, &mut rng())).len(), 1);
        pool.complete(T0, id, report(900));
    }
    let soon = Call {
        deadline: T0 + Duration::from_millis(500),
        ..call()
    };
    let denial = pool.enqueue(T0, 100, soon);
    assert_eq!(
        denial.map(|denial| denial.reason),
        Some(Reason::DeadlineUnreachable)
    );
}

#[test]
fn poll_last_upstream_leaves() {
    let mut pool = pool(1, 1);
    pool.enqueue(T0, 1, call());
    pool.enqueue(T0, 2, call());
    assert_eq!(granted(&pool.poll(T0, &mut rng())).len(), 1);
    pool.mark_leaving(&upstream(0));
    let decisions = pool.poll(T0, &mut rng());
    let refused = matches!(
        decisions[..],
        [Decision::Deny {
            id: 2,
            reason: Reason::NoUpstream,
            ..
        }]
    );
    assert!(refused, "{decisions:?}");
}

#[test]
fn complete_unexpected_reports() {
    type Change = fn(&mut Pool);
    let cases: [(&str, Change, usize); 6] = [
        ("unknown id", |pool| pool.complete(T0, 99, report(1)), 0),
        ("done", |pool| pool.complete(T0, 1, report(1)), 1),
        (
            "done twice",
            |pool| {
                pool.complete(T0, 1, report(1));
                pool.complete(T0, 1, report(1));
            },
            1,
        ),
        ("withdrawn after its grant", |pool| pool.withdraw(T0, 1), 1),
        (
            "withdrawn and done",
            |pool| {
                pool.withdraw(T0, 1);
                pool.complete(T0, 1, report(1));
            },
            1,
        ),
        (
            "upstream removed and added again with the call in flight",
            |pool| {
                pool.remove(&upstream(0));
                let limits = Limits {
                    initial: 1,
                    most: 1,
                };
                pool.upsert(upstream(0), limits);
            },
            0,
        ),
    ];
    for (name, change, grants) in cases {
        let mut pool = pool(1, 1);
        for id in 1..4 {
            pool.enqueue(T0, id, call());
        }
        assert_eq!(granted(&pool.poll(T0, &mut rng())).len(), 1);
        change(&mut pool);
        let got = granted(&pool.poll(T0, &mut rng())).len();
        assert_eq!(got, grants, "{name}");
    }
}

#[test]
fn enqueue_repeated_id() {
    let mut pool = pool(1, 2);
    pool.enqueue(T0, 1, call());
    let first = pool.poll(T0, &mut rng());
    pool.enqueue(T0, 1, call());
    assert_eq!(pool.poll(T0, &mut rng()), first);
    assert_eq!(pool.placement(1), Some((&upstream(0), "least loaded")));
    assert_eq!(pool.stats().upstreams[&upstream(0)].running, 1);
}

#[test]
fn poll_lease_expired() {
    let mut pool = pool(1, 1);
    pool.enqueue(T0, 1, call());
    pool.poll(T0, &mut rng());
    let late = Call {
        deadline: T0 + Duration::from_secs(10_000),
        ..call()
    };
    pool.enqueue(T0, 2, late);
    let wake = pool.next_wake(T0).expect("the lease ends");
    assert_eq!(wake, T0 + Duration::from_secs(120));
    assert_eq!(granted(&pool.poll(wake, &mut rng())).len(), 1);
}

#[test]
fn poll_slow_upstream() {
    let mut pool = pool(3, 64);
    let (mut now, mut id) = (T0, 0);
    let mut round = |pool: &mut Pool, slow: u64| {
        let mut calls = vec![0; 3];
        for _ in 0..30 {
            id += 1;
            pool.enqueue(now, id, call());
        }
        for (id, name) in granted(&pool.poll(now, &mut rng())) {
            let index = (0..3).position(|index| upstream(index) == name);
            let index = index.expect("upstream of the pool");
            calls[index] += 1;
            let ms = if index == 0 { 100 * slow } else { 100 };
            pool.complete(now, id, report(ms));
        }
        now = now + Duration::from_millis(500);
        calls
    };
    assert!(round(&mut pool, 1)[0] >= 9, "equal load while all are fast");
    round(&mut pool, 5);
    let calls = round(&mut pool, 5);
    assert!(calls[0] <= 1, "one probe at most: {calls:?}");
    for _ in 0..60 {
        round(&mut pool, 1);
    }
    let calls = round(&mut pool, 1);
    assert!(calls[0] >= 9, "recovered: {calls:?}");
}

#[test]
fn poll_interactive_reserve() {
    let mut pool = pool(1, 8);
    let interactive = || Call {
        interactive: true,
        ..call()
    };
    pool.enqueue(T0, 1, interactive());
    pool.poll(T0, &mut rng());
    pool.complete(T0, 1, report(1));
    for id in 10..30 {
        pool.enqueue(T0, id, call());
    }
    assert_eq!(granted(&pool.poll(T0, &mut rng())).len(), 7);
    pool.enqueue(T0, 2, interactive());
    let got = granted(&pool.poll(T0, &mut rng()));
    assert_eq!(got, vec![(2, upstream(0))]);
}

#[test]
fn report_foreign_load() {
    let ms = |ms| T0 + Duration::from_millis(ms);
    // Local calls by time, time of the report, reported requests, its arrival, estimated foreign
    // requests. Times are in milliseconds.
    let cases = [
        ("local calls only", vec![(0, 5)], 1_000, 5, 2_000, 0),
        ("other clients", vec![(0, 5)], 1_000, 9, 2_000, 4),
        (
            "stale report, more local calls since",
            vec![(0, 1), (1_500, 8)],
            1_000,
            5,
            2_000,
            4,
        ),
        (
            "stale report, fewer local calls since",
            vec![(0, 8), (1_500, 0)],
            1_000,
            8,
            2_000,
            0,
        ),
        (
            "call not yet received",
            vec![(0, 1), (1_020, 2)],
            1_000,
            2,
            2_000,
            0,
        ),
        ("too old", vec![(0, 0)], 1_000, 9, 20_000, 0),
    ];
    for (name, local, at, running, arrival, inferred) in cases {
        let mut estimate = foreign::Load::default();
        for (time, count) in local {
            estimate.record_local(ms(time), count);
        }
        // Several reports are needed, since the estimate is smoothed.
        for step in 0..8 {
            let load = Load {
                running,
                at: ms(at + step).0,
                ..Load::default()
            };
            estimate.report(ms(arrival), &load);
        }
        assert_eq!(estimate.count(), inferred, "{name}");
    }
}

#[test]
fn window_signals() {
    let sample = |pace, limited, failed| Sample {
        pace,
        limited,
        failed,
    };
    let waiting = |waiting| Load {
        running: 10,
        waiting,
        ..Load::default()
    };
    type Signals = Vec<Sample>;
    // Samples of calls, requests queued in the upstream, and the expected window; it starts at 10
    // with a maximum of 12.
    let cases: [(&str, Signals, u32, u32); 6] = [
        ("nothing", vec![], 0, 10),
        ("in use", vec![sample(Some(1.0), true, false); 100], 0, 12),
        (
            "not in use",
            vec![sample(Some(1.0), false, false); 100],
            0,
            10,
        ),
        (
            "failures within the pause",
            vec![sample(None, true, true); 100],
            0,
            8,
        ),
        ("queue in the upstream", vec![], 3, 10),
        ("longer queue in the upstream", vec![], 30, 10),
    ];
    let limits = Limits {
        initial: 10,
        most: 12,
    };
    for (name, signals, queued, size) in cases {
        let mut window = Window::new(&window::Settings::default(), limits);
        for signal in signals {
            window.record_result(T0, signal);
        }
        window.record_load(T0, &waiting(queued));
        assert_eq!(window.size(), size, "{name}");
    }
    let mut window = Window::new(&window::Settings::default(), limits);
    for second in 0..100 {
        window.record_result(T0 + Duration::from_secs(second), sample(None, true, true));
    }
    assert_eq!(window.size(), 1, "never below one call");
}

#[test]
fn take_budget_refill() {
    let settings = retry::Settings {
        ratio: 0.1,
        most: 2.0,
    };
    let (mut budget, customer) = (Budget::new(settings), call().customer);
    let taken = (0..10).filter(|_| budget.take(&customer)).count();
    assert_eq!(
        taken, 2,
        "retries must not multiply an outage of all upstreams"
    );
    for _ in 0..10 {
        budget.deposit(&customer);
    }
    assert!(budget.take(&customer));
    assert!(!budget.take(&customer));
}

#[test]
fn hedge_conditions() {
    let mut pool = pool(2, 4);
    assert_eq!(pool.hedge_after(&call()), None, "no samples yet");
    for id in 0..50 {
        pool.enqueue(T0, id, call());
        pool.poll(T0, &mut rng());
        pool.complete(T0, id, report(100 + id % 3));
    }
    let after = pool.hedge_after(&call()).expect("known kind");
    assert!(after > Duration::from_millis(100), "{after:?}");
    let once = Call {
        idempotent: false,
        ..call()
    };
    assert_eq!(pool.hedge_after(&once), None, "must run at most once");
    for id in 100..109 {
        pool.enqueue(T0, id, call());
    }
    let customer = call().customer;
    pool.poll(T0, &mut rng());
    assert!(
        !pool.take_hedge(T0, &customer),
        "calls wait for a first attempt"
    );
    pool.withdraw(T0, 108);
    assert!(pool.take_hedge(T0, &customer));
}

#[test]
fn check_new_programs() {
    let start = || Call {
        program: Some("z.1".try_into().expect("valid name")),
        ..call()
    };
    let later = || Call {
        attained: 10,
        ..start()
    };
    let interactive = || Call {
        interactive: true,
        ..start()
    };
    // Call with 60 s left, expected calls, wait of each in seconds, whether the customer is ahead
    // of its share, whether the call is refused.
    let cases = [
        ("idle", start(), 10.0, 0, false, false),
        ("share not used up", start(), 10.0, 10, false, false),
        ("ahead of its share", start(), 10.0, 10, true, true),
        ("hopeless", start(), 10.0, 30, false, true),
        ("active program", later(), 10.0, 30, true, false),
        ("interactive", interactive(), 10.0, 30, true, false),
    ];
    let gate = Gate::new(&admit::Settings::default());
    for (name, call, expected_calls, age, ahead, refused) in cases {
        let view = View {
            expected_calls,
            age: Duration::from_secs(age),
            ahead,
            ..View::default()
        };
        let retry_after = gate.check(T0, &call, view);
        assert_eq!(retry_after.is_some(), refused, "{name}");
        assert!(retry_after.is_none_or(|retry_after| retry_after > Duration::ZERO));
    }
}
