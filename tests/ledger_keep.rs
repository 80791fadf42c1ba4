//! Snapshots of live state across the log's retention, and import of state by a starting instance:
//! without a snapshot in time, state is lost when its records expire.

mod ledger_support;

use std::time::Duration;

use gypsumlever::{
    clock::Time,
    ledger::{
        record::Ran,
        Ledger,
        Settings, //
    },
    log::memory::{
        Memory,
        Service, //
    },
};
use ledger_support::*;

fn short_retention(instance: &str) -> Settings {
    Settings {
        retention: Duration::from_secs(300),
        // Small enough that histories have to be read from the log.
        cache_bytes: 500,
        // Small enough that the texts of a program need several records.
        batch_bytes: 4_000,
        ..settings(instance)
    }
}

#[test]
fn refresh_keeps_live_state_beyond_retention() {
    run(async {
        let log = Memory::new(1);
        let a = Ledger::start(log.clone(), short_retention("a"));
        accept(&a, publish(1, 1_000)).await;
        accept(&a, publish(2, 900)).await;
        accept(&a, reserve(10)).await;
        let ended = start_program(&a).await;
        let live = start_program(&a).await;
        for index in 0..20 {
            let answer = format!("{index} {}", "x".repeat(300));
            accept(&a, turn_with(&live, index, Ran::Yes, &answer)).await;
        }
        accept(&a, claim(&live, 20)).await;
        accept(&a, end(&ended)).await;
        let old = a.history(&live).await.unwrap();
        let begin = a.applied()[0];
        // A record after `begin`, so that the `as_of` offset of each snapshot is not below `begin`.
        accept(&a, reserve(1)).await;
        let now = Time::now();
        assert_eq!(a.refresh(now, &|_: &str| true).await, Ok(0));
        let later = now + Duration::from_secs(100);
        assert_eq!(a.refresh(later, &|_: &str| false).await, Ok(0));
        assert_eq!(a.refresh(later, &|_: &str| true).await, Ok(2));
        log.expire(0, begin);

        let b = Ledger::start(log.share(), short_retention("b"));
        b.wait_caught_up().await;
        assert_eq!(b.history(&live).await.unwrap(), old);
        assert_eq!(a.history(&live).await.unwrap(), old);
        let (local, remote) = (b.state(), a.state());
        assert_eq!(local.contract(&customer()), remote.contract(&customer()));
        assert_eq!(local.budget(&customer()), remote.budget(&customer()));
        assert_eq!(local.program(&live), remote.program(&live));
        assert!(local.program(&ended).is_none());
        assert!(local.ended(&customer(), &ended).is_some());
    });
}

#[test]
fn import_lets_an_instance_start_without_log() {
    run(async {
        let log = Memory::new(1);
        let a = Ledger::start(log.clone(), settings("a"));
        accept(&a, publish(1, 1_000)).await;
        let program = start_program(&a).await;
        let down = log.share();
        down.set_service(Service::Unresponsive);
        let b = Ledger::start(down.clone(), settings("b"));
        assert!(!b.caught_up());
        let state = a.export(0).unwrap();
        assert_eq!(b.import(0, state.clone()), Ok(()));
        assert!(b.caught_up());
        // An equally new state is not imported.
        assert!(b.import(0, state).is_err());
        assert_eq!(b.applied(), a.applied());
        assert!(b.state().program(&program).is_some());
        accept(&a, turn(&program, 0)).await;
        down.set_service(Service::Up);
        wait_until(|| b.applied() == a.applied()).await;
        assert_eq!(b.state().program(&program).unwrap().next(), 1);
    });
}

#[test]
fn follow_continues_after_records_expired_unread() {
    run(async {
        let log = Memory::new(1);
        let isolated = log.share();
        let a = Ledger::start(log.clone(), short_retention("a"));
        let b = Ledger::start(isolated.clone(), short_retention("b"));
        accept(&a, publish(1, 1_000)).await;
        let program = start_program(&a).await;
        wait_until(|| b.applied() == a.applied()).await;
        isolated.set_service(Service::Unresponsive);
        accept(&a, end(&program)).await;
        accept(&a, publish(2, 900)).await;
        let begin = a.applied()[0];
        accept(&a, reserve(1)).await;
        let later = Time::now() + Duration::from_secs(100);
        assert_eq!(a.refresh(later, &|_: &str| true).await, Ok(1));
        log.expire(0, begin);
        isolated.set_service(Service::Up);
        wait_until(|| b.applied() == a.applied()).await;
        // The record of the program's end expired before it was read; the account's snapshot shows
        // the end.
        assert!(b.state().program(&program).is_none());
        assert_eq!(b.state().account(&customer()).unwrap().version(), 2);
    });
}
