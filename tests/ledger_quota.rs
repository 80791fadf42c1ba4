//! Tranches and holds: attempts must not spend more than was reserved, also when the log fails.

mod ledger_support;

use std::time::Duration;

use gypsumlever::{
    clock::Time,
    ledger::{
        allocator::Denial,
        quota::{
            Hold,
            Quota,
            Settlement,
            Sizing, //
        },
        Allocator,
        Ledger,
        Refusal, //
    },
    log::memory::{
        Fault,
        Memory,
        Service, //
    },
    money::Money,
};
use ledger_support::*;

fn quota() -> Quota {
    Quota::new(Sizing::default(), START)
}

#[test]
fn settle_returns_unspent_amount() {
    // Hold, actual cost, free amount afterwards, amount reported as unpaid.
    let cases = [(8, 3, 7, 0), (8, 8, 2, 0), (8, 9, 2, 1), (10, 0, 10, 0)];
    for (held, actual, free, unpaid) in cases {
        let mut quota = quota();
        // The hold spans both tranches.
        quota.add(id(0, 1), Money(4));
        quota.add(id(0, 2), Money(6));
        let hold = quota.try_take(Money(held)).unwrap();
        assert_eq!(quota.settle(hold, Money(actual)), Money(unpaid));
        assert_eq!(quota.free(), Money(free), "{held} {actual}");
    }
    assert!(quota().try_take(Money(1)).is_none());
}

#[test]
fn close_counts_dropped_holds_as_spent() {
    let mut quota = quota();
    let tranche = id(0, 1);
    quota.add(tranche, Money(10));
    drop(quota.try_take(Money(4)));
    let hold = quota.try_take(Money(5)).unwrap();
    // The tranche can't be settled while an attempt may still spend from it.
    assert_eq!(quota.close(), []);
    quota.settle(hold, Money(1));
    let spent = Money(5);
    assert_eq!(quota.close(), [Settlement { tranche, spent }]);
    assert!(quota.is_empty());
}

#[test]
fn retire_returns_idle_tranches() {
    let mut quota = quota();
    let tranche = id(0, 1);
    quota.add(tranche, Money(10));
    quota.record_demand(START, Money(4));
    assert_eq!(quota.retire(START + Duration::from_secs(14)), []);
    let used = quota.retire(START + Duration::from_secs(15));
    let spent = Money(0);
    assert_eq!(used, [Settlement { tranche, spent }]);
}

#[test]
fn tranche_size_table_of_demands() {
    // Free amount, cost and number of recent attempts, need, remaining budget, expected tranche.
    let cases = [
        ("no demand", 0, 0, 0, 0, 6_400, None),
        ("need above the minimum", 0, 0, 0, 10, 1_280, Some(10)),
        ("minimum above the need", 0, 0, 0, 10, 6_400, Some(25)),
        ("need above the maximum", 0, 10, 1, 500, 6_400, Some(500)),
        ("demand", 0, 10, 5, 10, 6_400, Some(50)),
        ("maximum of a small budget", 0, 10, 50, 10, 6_400, Some(100)),
        ("enough free", 200, 10, 50, 10, 64_000, None),
        ("in advance of demand", 99, 10, 50, 10, 64_000, Some(401)),
        ("maximum below one attempt", 5, 10, 50, 0, 576, None),
    ];
    for (name, free, size, count, need, left, wanted) in cases {
        let mut quota = quota();
        quota.add(id(0, 1), Money(free));
        for _ in 0..count {
            quota.record_demand(START, Money(size));
        }
        let amount = quota.tranche_size(START, Money(need), Money(left));
        assert_eq!(amount, wanted.map(Money), "{name}");
    }
}

#[test]
fn take_of_two_instances_stays_within_budget() {
    run(async {
        let log = Memory::new(1);
        let other = log.share();
        let ledgers = [
            Ledger::start(log.clone(), settings("a")),
            Ledger::start(other.clone(), settings("b")),
        ];
        accept(&ledgers[0], publish(1, 1_000)).await;
        let allocators = ledgers
            .clone()
            .map(|l| Allocator::new(l, Sizing::default()));
        let faults = [Fault::ResponseLost, Fault::Late, Fault::NotApplied];
        log.fail(faults.repeat(4));
        other.fail(faults.repeat(4));
        let mut spent = 0;
        let mut denied = [false; 2];
        while !denied.iter().all(|denied| *denied) {
            let (one, two) = (&allocators[0], &allocators[1]);
            let (customer, max_cost) = (customer(), Money(20));
            let taken = tokio::join!(one.take(&customer, max_cost), two.take(&customer, max_cost));
            let taken: [Result<Hold, Denial>; 2] = taken.into();
            for (at, taken) in taken.into_iter().enumerate() {
                match taken {
                    Ok(hold) => {
                        spent += 15;
                        allocators[at].settle(&customer, hold, Money(15));
                    }
                    Err(Denial::Budget { .. }) => denied[at] = true,
                    // The injected faults may fail a reservation.
                    Err(Denial::Log(_)) => {}
                    Err(other) => panic!("{other:?}"),
                }
            }
        }
        for allocator in &allocators {
            allocator.close();
        }
        let budget = || ledgers[0].state().budget(&customer());
        wait_until(|| budget().outstanding == Money(0)).await;
        assert_eq!(budget().spent, Money(spent));
        // The remaining budget does not cover one more attempt of both instances.
        assert!((1_000 - 60..=1_000).contains(&spent), "{spent}");
    });
}

#[test]
fn take_refused_while_log_is_down() {
    run(async {
        let log = Memory::new(1);
        let ledger = Ledger::start(log.clone(), fast_detection("a"));
        accept(&ledger, publish(1, 1_000)).await;
        let allocator = Allocator::new(ledger.clone(), Sizing::default());
        let hold = allocator.take(&customer(), Money(10)).await.unwrap();
        log.set_service(Service::Unresponsive);
        // Money that is already reserved can be spent without the log.
        allocator.settle(&customer(), hold, Money(4));
        let hold = allocator.take(&customer(), Money(6)).await.unwrap();
        let denied = allocator.take(&customer(), Money(100)).await;
        assert!(matches!(denied, Err(Denial::Log(_))), "{denied:?}");
        wait_until(|| !ledger.available()).await;
        let denied = allocator.take(&customer(), Money(100)).await.unwrap_err();
        let refused = |refusal: &Refusal| matches!(refusal, Refusal::NotApplied { .. });
        assert!(
            matches!(&denied, Denial::Log(r) if refused(r)),
            "{denied:?}"
        );
        allocator.settle(&customer(), hold, Money(6));
        allocator.tick(Time::now());
        log.set_service(Service::Up);
        let budget = || ledger.state().budget(&customer());
        wait_until(|| budget().outstanding == Money(0) && budget().spent == Money(10)).await;
        // A reservation that reaches the log after its commit was refused is settled as well.
        wait_until(|| ledger.available()).await;
        log.set_latency(Duration::from_millis(60));
        log.fail([Fault::Late]);
        let denied = allocator.take(&customer(), Money(50)).await;
        assert!(matches!(denied, Err(Denial::Log(Refusal::Unknown { .. }))));
        log.set_latency(Duration::ZERO);
        wait_until(|| ledger.available()).await;
        accept(&ledger, publish(2, 900)).await;
        wait_until(|| budget().outstanding == Money(0)).await;
        assert_eq!(budget().spent, Money(10));
    });
}
