//! Memory of a daemon that holds many long programs.
//!
//! The records are appended to the log stand-in with the Kafka client, because a call for each turn
//! would take hours; the daemon reads them as it reads any log.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use actix_web::rt::time::sleep;
use bytes::Bytes;
use gypsumlever::{
    clock::Time,
    contract::{
        Contract,
        Limits,
        Raw, //
    },
    ledger::{
        codec,
        program::generate_name,
        record::{
            Body,
            Ran,
            Record,
            Start,
            Turn, //
        },
    },
    log::{
        kafka,
        Log as _, //
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
use standin::{
    engine,
    service, //
};
use uuid::Uuid;

use crate::{
    deploy::{
        self,
        Deployment,
        Plan, //
    },
    flags::Memory,
    process,
};

/// Records per append.
const BATCH_RECORDS: usize = 2_000;

/// Maximum time until the daemon has read the log.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(300);

/// Time over which the CPU time of the idle daemon is measured.
const IDLE_PERIOD: Duration = Duration::from_secs(10);

fn encode(body: Body) -> Bytes {
    codec::encode(&Record {
        id: Uuid::now_v7(),
        customer: Customer::try_from("sirag").expect("a name"),
        author: Instance::try_from("filler").expect("a name"),
        at: Time::now(),
        body,
    })
}

fn contract() -> Bytes {
    let raw = Raw {
        customer: "sirag".into(),
        budget_micros: 1_000_000_000_000,
        share: 1,
        programs: 1_000_000,
        limits: Limits {
            seconds: 7_000,
            ..Limits::default()
        },
        ..Raw::default()
    };
    encode(Body::Publish {
        version: 1,
        contract: Arc::new(Contract::try_from(raw).expect("a contract")),
    })
}

fn start(program: &Program) -> Bytes {
    encode(Body::Start(Start {
        program: program.clone(),
        class: Class::try_from("consultation").expect("a name"),
        parent: None,
        key: Some(format!("start-{program}")),
        deadline: Time::now() + Duration::from_secs(7_000),
    }))
}

fn turn(program: &Program, index: u32, text: usize) -> Bytes {
    let request = format!("\"{}\"", "q".repeat(text / 4));
    encode(Body::Turn {
        program: program.clone(),
        index,
        turn: Arc::new(Turn {
            key: Some(format!("key-{index}")),
            digest: u64::from(index),
            request,
            answer: "a".repeat(text - text / 4),
            ran: Ran::Yes,
            cost: Money(1),
            tokens: 900,
        }),
    })
}

async fn fill_log(deployment: &Deployment, programs: u64, turns: u32, text: usize) {
    let client = kafka::Client::new(kafka::Settings {
        url: format!("http://{}", deployment.log.address()),
        topic: "gypsumlever".into(),
        instance: Instance::try_from("filler").expect("a name"),
        zone: Zone::try_from("zone-a").expect("a name"),
        connect_timeout: Duration::from_secs(1),
        operation_timeout: Duration::from_secs(30),
        max_read_bytes: 1 << 20,
    });
    let zone = Zone::try_from("zone-a").expect("a name");
    let name = |_| generate_name(&zone, Time::now(), &mut rand::rng()).expect("an identifier");
    let programs: Vec<Program> = (0..programs).map(name).collect();
    let rounds = (0..turns).flat_map(|index| programs.iter().map(move |program| (program, index)));
    let records = std::iter::once(contract())
        .chain(programs.iter().map(start))
        .chain(rounds.map(|(program, index)| turn(program, index, text)));
    let mut batch = Vec::with_capacity(BATCH_RECORDS);
    for record in records {
        batch.push(record);
        if batch.len() == BATCH_RECORDS {
            client.append(0, &batch).await.expect("append");
            batch.clear();
        }
    }
    client.append(0, &batch).await.expect("append");
}

pub async fn run(flags: &Memory) {
    let programs = flags.programs.unwrap_or(10_000);
    let turns = flags.turns.unwrap_or(300);
    let text = flags.text.unwrap_or(200);
    let plan = Plan {
        zones: vec![(1, 10, 5)],
        engine: engine::Config::default(),
        service: service::Config::default(),
        workers: 2,
        metered: false,
    };
    let mut deployment = Deployment::start_stand_ins(&plan);
    let start = Instant::now();
    fill_log(&deployment, programs, turns, text).await;
    println!("filled the log in {:.1} s", start.elapsed().as_secs_f64());
    let start = Instant::now();
    deployment.start_daemons(&plan);
    let node = &deployment.nodes[0];
    sleep(Duration::from_secs(1)).await;
    println!(
        "resident after 1 s: {:.1} MB",
        process::resident(node.pid())
    );
    while deployment.get(node, "/readyz").await.0 != 200 {
        assert!(
            start.elapsed() < CATCH_UP_TIMEOUT,
            "the daemon does not catch up"
        );
        sleep(Duration::from_millis(100)).await;
    }
    let seconds = start.elapsed().as_secs_f64();
    let records = 1 + programs + programs * u64::from(turns);
    println!(
        "caught up with {records} records in {seconds:.1} s, {:.0} records/s, {:.1} s of CPU time",
        records as f64 / seconds,
        process::cpu(node.pid())
    );
    let (_, rows) = deployment.get(node, "/v1/programs").await;
    let rows = rows.as_array().map_or(&[][..], Vec::as_slice);
    let complete = rows
        .iter()
        .filter(|row| row["turns"].as_u64() == Some(u64::from(turns)));
    println!("listed programs with {turns} turns: {}", complete.count());
    let before = process::cpu(node.pid());
    sleep(IDLE_PERIOD).await;
    let cpu = (process::cpu(node.pid()) - before) / IDLE_PERIOD.as_secs_f64();
    println!(
        "resident {:.1} MB, peak {:.1} MB, {:.0} threads, idle CPU {:.2} % of a core",
        process::resident(node.pid()),
        process::peak_resident(node.pid()),
        process::threads(node.pid()),
        cpu * 100.0
    );
    measure_call(&deployment, rows).await;
}

/// Makes a call of a retained program, which requires its history to be read.
async fn measure_call(deployment: &Deployment, rows: &[serde_json::Value]) {
    let Some(program) = rows.first().and_then(|row| row["program"].as_str()) else {
        return;
    };
    let node = &deployment.nodes[0];
    let body = serde_json::json!({
        "type": "service", "pool": deploy::SERVICES, "operation": "workshop-order", "body": {},
    });
    let start = Instant::now();
    let request = deployment
        .http
        .post(deploy::url(node, &format!("/v1/programs/{program}/calls")));
    let (status, answer) = crate::client::read_response(request.send_json(&body).await).await;
    println!(
        "next call of a retained program: status {status}, {:.1} ms, turn {}; resident {:.1} MB",
        start.elapsed().as_secs_f64() * 1e3,
        answer["turn"],
        process::resident(node.pid())
    );
}
