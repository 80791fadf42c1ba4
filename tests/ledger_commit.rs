//! Guards the effects of commits: each takes effect once or is refused with the right certainty.

mod ledger_support;

use std::time::Duration;

use gypsumlever::{
    ledger::{
        codec,
        record::{
            Ran,
            Record, //
        },
        Ledger,
        Outcome,
        Refusal,
        Settings, //
    },
    log::memory::{
        Fault,
        Memory,
        Service, //
    },
    money::Money,
};
use ledger_support::*;
use tokio::time::sleep;

/// Number of copies of a record in the log.
fn copies(log: &Memory, record: &Record) -> usize {
    let records = log.records(0);
    let same = |(_, bytes): &&(u64, bytes::Bytes)| codec::decode(bytes).unwrap().id == record.id;
    records.iter().filter(same).count()
}

#[test]
fn commit_table_of_faults() {
    let cases = [
        (vec![Fault::NotApplied], 1),
        (vec![Fault::AnswerLost], 1),
        (vec![Fault::RequestLost], 1),
        (vec![Fault::RequestLost, Fault::AnswerLost], 1),
        // The first request arrives after the second one.
        (vec![Fault::Late], 2),
        (vec![Fault::Late, Fault::NotApplied, Fault::AnswerLost], 2),
    ];
    for (faults, expected) in cases {
        run(async {
            let log = Memory::new(1);
            let ledger = Ledger::start(log.clone(), settings("a"));
            accept(&ledger, publish(1, 1_000)).await;
            let name = format!("{faults:?}");
            log.fail(faults);
            let record = ledger.record(&customer(), reserve(10));
            let outcome = ledger.commit(record.clone()).await;
            assert_eq!(outcome, Ok(Outcome::Accepted), "{name}");
            accept(&ledger, reserve(5)).await;
            assert_eq!(copies(&log, &record), expected, "{name}");
            let budget = ledger.state().budget(&customer());
            assert_eq!(budget.outstanding, Money(15), "{name}");
        });
    }
}

#[test]
fn commit_refused_while_log_is_down() {
    for (service, certain) in [(Service::Refusing, true), (Service::Silent, false)] {
        run(async {
            let log = Memory::new(1);
            let ledger = Ledger::start(log.clone(), settings("a"));
            accept(&ledger, publish(1, 1_000)).await;
            log.set_service(service);
            let record = ledger.record(&customer(), reserve(10));
            match ledger.commit(record.clone()).await {
                Err(Refusal::NotApplied { .. }) => assert!(certain),
                // The follower may notice the outage before the record is sent.
                Err(Refusal::Unknown { .. }) => assert!(!certain),
                other => panic!("{other:?}"),
            }
            assert!(!ledger.available());
            let second = ledger.record(&customer(), reserve(10));
            let refused = ledger.commit(second).await;
            assert!(matches!(refused, Err(Refusal::NotApplied { .. })));
            log.set_service(Service::Up);
            while !ledger.available() {
                sleep(Duration::from_millis(2)).await;
            }
            accept(&ledger, reserve(10)).await;
            // A record that was given up is not sent after the outage.
            assert_eq!(copies(&log, &record), 0);
        });
    }
}

#[test]
fn commit_later_through_outage_in_order() {
    run(async {
        let log = Memory::new(1);
        let ledger = Ledger::start(log.clone(), settings("a"));
        accept(&ledger, publish(1, 1_000)).await;
        let program = begin(&ledger).await;
        log.set_service(Service::Silent);
        for index in 0..20 {
            let record = ledger.record(&customer(), turn(&program, index));
            assert_eq!(ledger.commit_later(record), Ok(()));
        }
        sleep(Duration::from_millis(50)).await;
        log.set_service(Service::Up);
        log.fail([Fault::Late, Fault::AnswerLost]);
        assert!(ledger.flush(Duration::from_secs(5)).await);
        while ledger.state().program(&program).unwrap().next() < 20 {
            sleep(Duration::from_millis(2)).await;
        }
    });
}

#[test]
fn commit_of_two_instances_has_one_winner() {
    run(async {
        let log = Memory::new(1);
        let other = log.share();
        let a = Ledger::start(log.clone(), settings("a"));
        let b = Ledger::start(other.clone(), settings("b"));
        accept(&a, publish(1, 1_000)).await;
        for round in 0..20 {
            let faults = [Fault::AnswerLost, Fault::Late, Fault::RequestLost];
            log.fail([faults[round % 3]]);
            other.fail([faults[(round + 1) % 3]]);
            let one = a.record(&customer(), publish(round as u64 + 2, 1_000));
            let two = b.record(&customer(), publish(round as u64 + 2, 1_000));
            let (one, two) = tokio::join!(a.commit(one), b.commit(two));
            let won = [one, two].map(|outcome| outcome.unwrap().took_effect());
            assert!(won[0] != won[1], "round {round}");
        }
        let version = a.state().account(&customer()).unwrap().version();
        assert_eq!(version, 21);
    });
}

#[test]
fn history_from_log_when_cache_is_small() {
    run(async {
        let log = Memory::new(1);
        let small = Settings {
            cache_bytes: 1_000,
            ..settings("a")
        };
        let ledger = Ledger::start(log.clone(), small);
        accept(&ledger, publish(1, 1_000)).await;
        let program = begin(&ledger).await;
        for index in 0..30 {
            accept(
                &ledger,
                turn_with(&program, index, Ran::Yes, &format!("answer {index}")),
            )
            .await;
        }
        let history = ledger.history(&program).await.unwrap();
        let answers: Vec<_> = history.iter().map(|turn| turn.answer.as_str()).collect();
        let expected: Vec<_> = (0..30).map(|index| format!("answer {index}")).collect();
        assert_eq!(answers, expected);
    });
}
