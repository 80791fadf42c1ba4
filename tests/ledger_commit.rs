//! Commits and withdrawals under faults of the log: a record must not take effect twice, and a
//! refusal must not say that a record is certainly not applied when it may be.

mod ledger_support;

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
use futures_util::future::join_all;
use gypsumlever::{
    contract::{
        Contract,
        Raw, //
    },
    ledger::{
        codec,
        record::{
            Body,
            Ran,
            Record, //
        },
        state::partition,
        Ledger,
        Outcome,
        Refusal,
        Settings, //
    },
    log::{
        memory::{
            Fault,
            Memory,
            Service, //
        },
        Batch,
        Bounds,
        Failure,
        Log, //
    },
    money::Money,
    name::Customer,
};
use ledger_support::*;
use rand::{
    rngs::SmallRng,
    RngExt,
    SeedableRng, //
};
use tokio::time::sleep;

/// Log whose records reach an instance late.
struct Slow(Memory);

impl Log for Slow {
    async fn append(&self, partition: u32, records: &[Bytes]) -> Result<u64, Failure> {
        self.0.append(partition, records).await
    }

    async fn read(&self, partition: u32, from: u64, wait: Duration) -> Result<Batch, Failure> {
        let batch = self.0.read(partition, from, wait).await;
        sleep(Duration::from_millis(200)).await;
        batch
    }

    async fn bounds(&self, partition: u32) -> Result<Bounds, Failure> {
        self.0.bounds(partition).await
    }
}

/// Returns the number of copies of a record in the log.
fn copies(log: &Memory, record: &Record) -> usize {
    let records = log.records(0);
    let same = |(_, bytes): &&(u64, Bytes)| codec::decode(bytes).unwrap().id == record.id;
    records.iter().filter(same).count()
}

#[test]
fn commit_table_of_faults() {
    let cases = [
        (vec![Fault::NotApplied], 1),
        (vec![Fault::ResponseLost], 1),
        (vec![Fault::RequestLost], 1),
        (vec![Fault::RequestLost, Fault::ResponseLost], 1),
        // The first request arrives after the second one.
        (vec![Fault::Late], 2),
        (vec![Fault::Late, Fault::NotApplied, Fault::ResponseLost], 2),
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
    for (service, not_applied) in [(Service::Refusing, true), (Service::Unresponsive, false)] {
        run(async {
            let log = Memory::new(1);
            let ledger = Ledger::start(log.clone(), fast_detection("a"));
            accept(&ledger, publish(1, 1_000)).await;
            log.set_service(service);
            let record = ledger.record(&customer(), reserve(10));
            match ledger.commit(record.clone()).await {
                Err(Refusal::NotApplied { .. }) => assert!(not_applied),
                // The follower may detect the outage before the record is sent.
                Err(Refusal::Unknown { .. }) => assert!(!not_applied),
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
            // An abandoned record is not sent after the outage.
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
        let program = start_program(&ledger).await;
        log.set_service(Service::Unresponsive);
        for index in 0..20 {
            let record = ledger.record(&customer(), turn(&program, index));
            assert_eq!(ledger.commit_later(record), Ok(()));
        }
        sleep(Duration::from_millis(50)).await;
        log.set_service(Service::Up);
        log.fail([Fault::Late, Fault::ResponseLost]);
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
            let faults = [Fault::ResponseLost, Fault::Late, Fault::RequestLost];
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
            cache_bytes: 100,
            ..settings("a")
        };
        let ledger = Ledger::start(log.clone(), small);
        accept(&ledger, publish(1, 1_000)).await;
        let program = start_program(&ledger).await;
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
        // The last turn can still be fetched after the program has ended.
        accept(&ledger, end(&program)).await;
        let last = ledger.last_turn(&customer(), &program).await.unwrap();
        let last = last.map(|(index, turn)| (index, turn.answer.clone()));
        assert_eq!(last, Some((29, "answer 29".into())));
    });
}

#[test]
fn commit_in_batches() {
    run(async {
        let log = Memory::new(1);
        let slow = Settings {
            interval: Duration::from_millis(400),
            batch_records: 60,
            ..settings("a")
        };
        let ledger = Ledger::start(log.clone(), slow);
        accept(&ledger, publish(1, 1_000)).await;
        let commits = (0..100).map(|_| accept(&ledger, reserve(1)));
        let started = Instant::now();
        join_all(commits).await;
        // The last append has just finished, so that each of the two batches waits for an interval.
        assert_eq!(log.appends(), 3);
        assert!(started.elapsed() >= Duration::from_millis(600));
        ledger.set_interval(Duration::from_millis(1));
        let started = Instant::now();
        accept(&ledger, reserve(1)).await;
        assert!(started.elapsed() < Duration::from_millis(300));
    });
}

#[test]
fn commit_from_another_thread() {
    run(async {
        let ledger = Ledger::start(Memory::new(1), settings("a"));
        let other = ledger.clone();
        let work = async move { accept(&other, publish(1, 10)).await };
        tokio::task::spawn_blocking(|| run(work)).await.unwrap();
        assert!(ledger.state().contract(&customer()).is_some());
    });
}

#[test]
fn commit_bounds_queue() {
    run(async {
        let log = Memory::new(1);
        log.set_latency(Duration::from_millis(50));
        let small = Settings {
            max_queued_records: 2,
            batch_records: 1,
            deferred_bytes: 1_000,
            batch_bytes: 800,
            ..settings("a")
        };
        let ledger = Ledger::start(log.clone(), small);
        let commit = || ledger.commit(ledger.record(&customer(), reserve(1)));
        let refused = join_all((0..10).map(|_| commit())).await;
        let full = |r: &&Result<_, _>| matches!(r, Err(Refusal::Full { .. }));
        assert!(refused.iter().filter(full).count() >= 7, "{refused:?}");
        let later = || ledger.commit_later(ledger.record(&customer(), reserve(1)));
        assert!((0..20).any(|_| matches!(later(), Err(Refusal::Full { .. }))));
        let program = program(0, 1);
        let large = turn_with(&program, 0, Ran::Yes, &"x".repeat(1_000));
        let refused = ledger.commit(ledger.record(&customer(), large)).await;
        assert!(matches!(refused, Err(Refusal::TooLarge(_))));
    });
}

#[test]
fn commit_random_faults_have_one_effect() {
    let faults = [
        Fault::NotApplied,
        Fault::ResponseLost,
        Fault::Late,
        Fault::RequestLost,
    ];
    for seed in 0..8 {
        run(async {
            let mut rng = SmallRng::seed_from_u64(seed);
            let log = Memory::new(1);
            let logs = [log.share(), log.share()];
            let [a, b] = ["a", "b"].map(settings);
            let ledgers = [
                Ledger::start(logs[0].clone(), a),
                Ledger::start(logs[1].clone(), b), //
            ];
            accept(&ledgers[0], publish(1, 500)).await;
            let (mut min, mut max) = (0, 0);
            for _ in 0..30 {
                for log in &logs {
                    log.fail([faults[rng.random_range(0..4)]]);
                }
                let commits = (0..10).map(|at| {
                    let ledger = &ledgers[at % 2];
                    ledger.commit(ledger.record(&customer(), reserve(2)))
                });
                for result in join_all(commits).await {
                    match result {
                        Ok(outcome) if outcome.took_effect() => (min, max) = (min + 2, max + 2),
                        Err(Refusal::Unknown { .. }) => max += 2,
                        _ => {}
                    }
                }
            }
            accept(&ledgers[0], publish(2, 500)).await;
            wait_until(|| ledgers[0].applied() == ledgers[1].applied()).await;
            let budgets = ledgers.clone().map(|l| l.state().budget(&customer()));
            assert_eq!(budgets[0], budgets[1], "seed {seed}");
            let outstanding = budgets[0].outstanding.0;
            assert!((min..=max).contains(&outstanding), "seed {seed}");
            assert_eq!(outstanding, 500, "seed {seed}");
        });
    }
}

#[test]
fn commit_abandoned_in_queue_is_never_sent() {
    run(async {
        let log = Memory::new(1);
        let single = Settings {
            batch_records: 1,
            ..fast_detection("a")
        };
        let ledger = Ledger::start(log.clone(), single);
        accept(&ledger, publish(1, 10)).await;
        log.set_latency(Duration::from_millis(60));
        log.set_service(Service::Unresponsive);
        let records = [1, 2].map(|amount| ledger.record(&customer(), reserve(amount)));
        let [first, second] = records.clone().map(|record| ledger.commit(record));
        let (first, second) = tokio::join!(first, second);
        assert!(matches!(first, Err(Refusal::Unknown { .. })));
        // The first record was in flight all the time, so that the second one was never sent.
        assert!(matches!(second, Err(Refusal::NotApplied { .. })));
        log.set_latency(Duration::ZERO);
        log.set_service(Service::Up);
        wait_until(|| ledger.available()).await;
        accept(&ledger, reserve(3)).await;
        assert_eq!(records.map(|record| copies(&log, &record)), [0, 0]);
    });
}

#[test]
fn withdraw_of_claim_that_arrives_late() {
    run(async {
        let log = Memory::new(1);
        let ledger = Ledger::start(log.clone(), fast_detection("a"));
        accept(&ledger, publish(1, 10)).await;
        let program = start_program(&ledger).await;
        let record = ledger.record(&customer(), claim(&program, 0));
        log.set_latency(Duration::from_millis(60));
        log.fail([Fault::Late]);
        let outcome = ledger.commit(record.clone()).await;
        assert!(matches!(outcome, Err(Refusal::Unknown { .. })));
        log.set_latency(Duration::ZERO);
        assert_eq!(ledger.withdraw(record.clone()), Ok(()));
        assert!(ledger.flush(Duration::from_secs(5)).await);
        wait_until(|| ledger.available()).await;
        accept(&ledger, reserve(1)).await;
        // The log has a late copy of the claim, after the void.
        assert_eq!(copies(&log, &record), 2);
        assert!(ledger.state().program(&program).unwrap().claim().is_none());
    });
}

#[test]
fn commit_to_several_partitions() {
    run(async {
        let log = Memory::new(3);
        let several = Settings {
            partitions: 3,
            ..settings("a")
        };
        let ledger = Ledger::start(log.clone(), several);
        for number in 0..9 {
            let name = format!("customer-{number}");
            let customer = Customer::try_from(name.as_str()).unwrap();
            let raw = Raw {
                customer: name,
                share: 1,
                programs: 1,
                ..Raw::default()
            };
            let contract = Arc::new(Contract::try_from(raw).unwrap());
            let version = 1;
            let record = ledger.record(&customer, Body::Publish { version, contract });
            assert_eq!(ledger.commit(record).await, Ok(Outcome::Accepted));
        }
        assert_eq!(ledger.state().accounts().count(), 9);
        assert!((0..3).all(|partition| !log.records(partition).is_empty()));
        // Malformed records and records in the wrong partition are skipped without effect.
        let record = ledger.record(&customer(), publish(1, 10));
        for partition in 0..3 {
            log.push(partition, Bytes::from_static(b"junk"));
        }
        let right = partition(&customer(), 3);
        log.push((right + 1) % 3, codec::encode(&record));
        wait_until(|| ledger.applied().iter().sum::<u64>() == 13).await;
        assert!(ledger.state().contract(&customer()).is_none());
        accept(&ledger, publish(1, 10)).await;
    });
}

/// Guards against a history without a turn that another instance has answered as committed.
#[test]
fn catch_up_to_turns_of_another_instance() {
    run(async {
        let log = Memory::new(1);
        let first = Ledger::start(log.share(), settings("a"));
        let second = Ledger::start(Slow(log.share()), settings("b"));
        accept(&first, publish(1, 1_000)).await;
        let program = start_program(&first).await;
        wait_until(|| second.state().program(&program).is_some()).await;
        for index in 0..3 {
            accept(&first, turn(&program, index)).await;
            let limit = Duration::from_secs(5);
            assert!(second.catch_up(&customer(), limit).await);
            let history = second.history(&program).await.unwrap();
            assert_eq!(history.len() as u32, index + 1);
        }
    });
}

/// Guards against a history that waits for as long as the log does not answer.
#[test]
fn catch_up_while_log_is_unresponsive() {
    run(async {
        let log = Memory::new(1);
        let ledger = Ledger::start(log.clone(), settings("a"));
        accept(&ledger, publish(1, 1_000)).await;
        log.set_service(Service::Unresponsive);
        let limit = Duration::from_millis(50);
        assert!(!ledger.catch_up(&customer(), limit).await);
    });
}
