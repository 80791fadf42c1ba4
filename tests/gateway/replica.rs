//! Guards accounts in the log against lost answers, outages and concurrent instances.

use std::{
    rc::Rc,
    time::Duration, //
};

use actix_web::rt::System;
use gypsumlever::{
    gateway::{
        account::Ask,
        replica::{
            identify,
            Answer,
            Keeper, //
        },
    },
    log::memory::{
        Fault,
        Memory,
        Service, //
    },
};
use tokio::time::{
    sleep,
    timeout, //
};

const MOST: u64 = 100;

/// Starts an instance on a log.
async fn start(log: Memory) -> Rc<Keeper<Memory>> {
    let keeper = Rc::new(Keeper::new(log, 2));
    actix_web::rt::spawn(keeper.clone().run());
    while !keeper.loaded() {
        sleep(Duration::from_millis(5)).await;
    }
    keeper
}

async fn open(keeper: &Keeper<Memory>, turn: u64, budget: u64) -> Answer {
    let request = keeper.open(Ask {
        program: identify("p"),
        turn,
        most: MOST,
        budget,
    });
    let answer = timeout(Duration::from_secs(5), request.answer).await;
    answer.expect("the keeper answers").unwrap()
}

#[test]
fn budget_holds_over_two_instances() {
    System::new().block_on(async {
        let log = Memory::new(2);
        let (a, b) = (start(log.share()).await, start(log.share()).await);
        assert_eq!(open(&a, 1, 250).await, Answer::Granted);
        assert_eq!(open(&b, 2, 250).await, Answer::Granted);
        assert_eq!(open(&a, 3, 250).await, Answer::Spent);
        a.close(identify("p"), 1, 10);
        assert_eq!(open(&a, 4, 250).await, Answer::Granted);
        assert_eq!(open(&b, 5, 250).await, Answer::Spent);
    });
}

#[test]
fn budget_holds_over_a_restart_of_all() {
    System::new().block_on(async {
        let log = Memory::new(2);
        let keeper = start(log.share()).await;
        assert_eq!(open(&keeper, 1, 150).await, Answer::Granted);
        // The first instance ended without a close record; its turn stays charged with its maximum.
        let keeper = start(log.share()).await;
        assert_eq!(open(&keeper, 2, 150).await, Answer::Spent);
    });
}

#[test]
fn lost_answer_is_no_second_charge() {
    System::new().block_on(async {
        let log = Memory::new(2);
        let handle = log.share();
        let keeper = start(handle.clone()).await;
        handle.fail([Fault::AnswerLost]);
        // The outcome is unknown, and no other instance can say whether the budget is spent.
        assert_eq!(open(&keeper, 1, 250).await, Answer::Unavailable);
        keeper.close(identify("p"), 1, 0);
        sleep(Duration::from_millis(1_500)).await;
        let other = start(log.share()).await;
        assert_eq!(open(&other, 2, 200).await, Answer::Granted);
        assert_eq!(open(&other, 3, 200).await, Answer::Granted);
        assert_eq!(open(&other, 4, 200).await, Answer::Spent);
    });
}

#[test]
fn turns_are_refused_while_the_log_refuses_and_granted_after() {
    System::new().block_on(async {
        let log = Memory::new(2);
        let keeper = start(log.clone()).await;
        log.set_service(Service::Refusing);
        assert_eq!(open(&keeper, 1, 1_000).await, Answer::Unavailable);
        log.set_service(Service::Up);
        sleep(Duration::from_millis(1_200)).await;
        assert_eq!(open(&keeper, 2, 1_000).await, Answer::Granted);
    });
}

#[test]
fn unloaded_account_grants_nothing() {
    System::new().block_on(async {
        let log = Memory::new(2);
        log.set_service(Service::Refusing);
        let keeper = Rc::new(Keeper::new(log, 2));
        actix_web::rt::spawn(keeper.clone().run());
        assert_eq!(open(&keeper, 1, 1_000).await, Answer::Unavailable);
        assert!(!keeper.loaded());
    });
}

/// A turn granted during an outage is in the log only after its holder has reached the log again.
/// An instance that does not own the partition and recovers before the holder must not grant the
/// same tokens.
#[test]
fn grants_of_an_outage_are_waited_for() {
    System::new().block_on(async {
        let log = Memory::new(2);
        let (theirs, ours) = (log.share(), log.share());
        let (holder, asker) = (start(theirs.clone()).await, start(ours.clone()).await);
        for partition in 0..2 {
            asker.adopt(partition, false);
        }
        theirs.set_service(Service::Refusing);
        ours.set_service(Service::Refusing);
        let granted = Ask {
            program: identify("p"),
            turn: 1,
            most: MOST,
            budget: 150,
        };
        holder.hold(granted.entry(true));
        assert_eq!(open(&asker, 2, 150).await, Answer::Unavailable);
        ours.set_service(Service::Up);
        sleep(Duration::from_millis(1_200)).await;
        assert_eq!(open(&asker, 3, 150).await, Answer::Unavailable);
        theirs.set_service(Service::Up);
        sleep(Duration::from_millis(2_600)).await;
        assert_eq!(open(&asker, 4, 150).await, Answer::Spent);
    });
}
