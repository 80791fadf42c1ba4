//! Helpers for the tests of the ledger: settings, records and a state.
#![allow(dead_code)]

use std::{
    future::Future,
    sync::Arc,
    time::Duration, //
};

use gypsumlever::{
    clock::Time,
    contract::{
        Contract,
        Raw,
        Server, //
    },
    ledger::{
        program::generate_name,
        record::{
            Body,
            Ending,
            Ran,
            Record,
            Start,
            Turn, //
        },
        state::Horizon,
        Ledger,
        Outcome,
        Settings,
        State, //
    },
    money::Money,
    name::{
        Class,
        Customer,
        Instance,
        Program,
        Zone, //
    },
};
use tokio::{
    task::LocalSet,
    time::{
        sleep,
        timeout, //
    },
};
use uuid::{
    Builder,
    Uuid, //
};

pub const START: Time = Time(1_700_000_000_000_000);
pub const HORIZON: Horizon = Horizon {
    tombstone_retention: Duration::from_secs(100),
    retention: Duration::from_secs(3_000),
};

pub fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let test = async { timeout(Duration::from_secs(20), test).await.unwrap() };
    LocalSet::new().block_on(&runtime, test)
}

pub fn settings(instance: &str) -> Settings {
    let ms = Duration::from_millis;
    Settings {
        interval: ms(2),
        operation_timeout: ms(300),
        failure_detection: ms(5_000),
        commit_timeout: ms(10_000),
        poll_timeout: ms(100),
        min_backoff: ms(2),
        max_backoff: ms(10),
        ..Settings::new(Instance::try_from(instance).unwrap())
    }
}

/// Settings with which an outage of the log is detected after 30 ms of failures.
pub fn fast_detection(instance: &str) -> Settings {
    Settings {
        failure_detection: Duration::from_millis(30),
        ..settings(instance)
    }
}

/// Commits a record that has to be accepted.
pub async fn accept(ledger: &Ledger, body: Body) {
    let record = ledger.record(&customer(), body);
    assert_eq!(ledger.commit(record).await, Ok(Outcome::Accepted));
}

/// Starts a program that is created now.
pub async fn start_program(ledger: &Ledger) -> Program {
    let zone = Zone::try_from("az1").unwrap();
    let program = generate_name(&zone, Time::now(), &mut rand::rng()).unwrap();
    accept(ledger, start(&program, None, None)).await;
    program
}

/// Waits until a condition holds.
pub async fn wait_until(mut condition: impl FnMut() -> bool) {
    while !condition() {
        sleep(Duration::from_millis(2)).await;
    }
}

pub fn state() -> State {
    State::new(1, HORIZON)
}

pub fn customer() -> Customer {
    Customer::try_from("sirag").unwrap()
}

pub fn instance(name: &str) -> Instance {
    Instance::try_from(name).unwrap()
}

/// Identifier with a timestamp of `second` seconds after [`START`].
pub fn id(second: u64, number: u64) -> Uuid {
    let mut random = [0; 10];
    random[2..].copy_from_slice(&number.to_be_bytes());
    Builder::from_unix_timestamp_millis(START.0 / 1_000 + second * 1_000, &random).into_uuid()
}

/// Program created `second` seconds after [`START`].
pub fn program(second: u64, number: u64) -> Program {
    let uuid = id(second, number);
    Program::try_from(format!("az1.{}", uuid.simple())).unwrap()
}

pub fn record(second: u64, number: u64, author: &str, body: Body) -> Record {
    Record {
        id: id(second, number),
        customer: customer(),
        author: instance(author),
        at: START + Duration::from_secs(second),
        body,
    }
}

pub fn contract(budget: u64, programs: u32, served_by: Server) -> Arc<Contract> {
    let raw = Raw {
        customer: "sirag".into(),
        budget_micros: budget,
        share: 1,
        programs,
        served_by,
        ..Raw::default()
    };
    Arc::new(Contract::try_from(raw).unwrap())
}

pub fn publish(version: u64, budget: u64) -> Body {
    Body::Publish {
        version,
        contract: contract(budget, 3, Server::Gypsumlever),
    }
}

pub fn start(program: &Program, parent: Option<&Program>, key: Option<&str>) -> Body {
    Body::Start(Start {
        program: program.clone(),
        class: Class::try_from("fitting").unwrap(),
        parent: parent.cloned(),
        key: key.map(str::to_owned),
        deadline: START + Duration::from_secs(60),
    })
}

pub fn turn_with(program: &Program, index: u32, ran: Ran, answer: &str) -> Body {
    Body::Turn {
        program: program.clone(),
        index,
        turn: Arc::new(Turn {
            key: Some(format!("key {index}")),
            digest: 0,
            request: "{}".into(),
            answer: answer.into(),
            ran,
            cost: Money(1),
            tokens: 1,
        }),
    }
}

pub fn turn(program: &Program, index: u32) -> Body {
    turn_with(program, index, Ran::Yes, "{}")
}

pub fn claim(program: &Program, index: u32) -> Body {
    Body::Claim {
        program: program.clone(),
        index,
        key: None,
        digest: 0,
    }
}

pub fn void(program: &Program, index: u32, claim: Uuid) -> Body {
    Body::Void {
        program: program.clone(),
        index,
        claim,
    }
}

pub fn reserve(amount: u64) -> Body {
    Body::Reserve {
        amount: Money(amount),
    }
}

pub fn settle(tranche: Uuid, spent: u64) -> Body {
    Body::Settle {
        tranche,
        spent: Money(spent),
    }
}

pub fn end(program: &Program) -> Body {
    Body::End {
        program: program.clone(),
        reason: Ending::Done,
    }
}
