//! Control traffic and CPU time of each instance, at rest and at a low rate of calls.
//!
//! All traffic but the callers' passes through relays that count it; a relay's own CPU time is the
//! tool's, not the daemons'.

use std::{
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use actix_web::rt::{
    spawn,
    time::sleep, //
};
use serde_json::json;
use standin::{
    engine,
    service, //
};

use crate::{
    client,
    deploy::{
        self,
        Deployment,
        Plan, //
    },
    flags::Control,
    process,
    relay::Sample,
    report,
};

/// Memory of one instance in GB, generously, to refuse a run that the machine can't hold.
const EACH: f64 = 0.04;

/// Time to settle after the start.
const SETTLE: Duration = Duration::from_secs(5);

/// Ten engines and five services as in Sirag, in three zones.
fn plan(instances: usize) -> Plan {
    let part = |at| (instances + 2 - at) / 3;
    Plan {
        zones: vec![(part(0), 4, 2), (part(1), 3, 2), (part(2), 3, 1)],
        engine: engine::Config {
            speed: 5.0,
            ..engine::Config::default()
        },
        service: service::Config::default(),
        workers: 1,
        metered: true,
    }
}

/// Use of all instances between two moments.
#[derive(Default)]
struct Use {
    cpu: Vec<f64>,
    totals: Vec<f64>,
    peers: Vec<f64>,
}

fn samples(deployment: &Deployment) -> [(&'static str, Sample); 4] {
    let traffic = &deployment.traffic;
    [
        ("peers", traffic.peers.sample()),
        ("log", traffic.log.sample()),
        ("list", traffic.list.sample()),
        ("upstreams", traffic.upstreams.sample()),
    ]
}

async fn measure(deployment: &Deployment, seconds: u64, used: &mut Use) {
    let count = deployment.nodes.len() as f64;
    let (cpu, before, begun) = (deployment.cpu(), samples(deployment), Instant::now());
    let books = deployment.log.stats();
    sleep(Duration::from_secs(seconds)).await;
    let time = begun.elapsed().as_secs_f64();
    let cpu = (deployment.cpu() - cpu) / time / count * 100.0;
    let now = deployment.log.stats();
    let mut sum = 0.0;
    print!("CPU {cpu:.2} % of a core");
    for ((name, before), (_, after)) in before.into_iter().zip(samples(deployment)) {
        let per = |count: u64| count as f64 / time / count_of(deployment);
        let bytes = per(after.bytes - before.bytes);
        print!(
            "; {name} {:.0} B/s {:.1} msg/s {:.2} conn/s",
            bytes,
            per(after.messages - before.messages),
            per(after.connections - before.connections)
        );
        sum += bytes;
        if name == "peers" {
            used.peers.push(bytes);
        }
    }
    println!(
        "; all {sum:.0} B/s; log in all: {:.1} appends/s {:.1} records/s",
        (now.appends - books.appends) as f64 / time,
        (now.records - books.records) as f64 / time
    );
    used.cpu.push(cpu);
    used.totals.push(sum);
}

fn count_of(deployment: &Deployment) -> f64 {
    deployment.nodes.len() as f64
}

fn summary(name: &str, used: Use) {
    report::spread(&format!("{name}: CPU per instance"), "%", used.cpu);
    report::spread(&format!("{name}: peer traffic"), "B/s", used.peers);
    report::spread(&format!("{name}: all traffic"), "B/s", used.totals);
}

/// Makes model calls of short programs at a rate, each through the next instance.
async fn calls(deployment: Rc<Deployment>, rate: u64, end: Instant) {
    let mut programs = Vec::new();
    for node in &deployment.nodes {
        let (_, body) = deployment.program(node, "sirag", "default").await;
        programs.push(body["program"].as_str().unwrap_or_default().to_owned());
    }
    let mut number = 0;
    while Instant::now() < end {
        let at = number % deployment.nodes.len();
        let path = format!("/v1/programs/{}/calls", programs[at]);
        let request = deployment
            .http
            .post(deploy::url(&deployment.nodes[at], &path));
        let messages = json!([{ "role": "user", "content": format!("question {number}") }]);
        spawn(async move {
            let body = client::model(&messages, 16);
            let (status, body) = client::answer(request.send_json(&body).await).await;
            if status != 200 {
                println!("call: status {status}, {}", body["reason"]);
            }
        });
        number += 1;
        sleep(Duration::from_secs_f64(1.0 / rate as f64)).await;
    }
}

pub async fn run(flags: &Control) {
    let needed = flags.instances as f64 * EACH;
    assert!(
        needed < process::available() / 2.0,
        "the run needs {needed:.1} GB and the machine has {:.1} GB",
        process::available()
    );
    let (runs, seconds) = (flags.runs.unwrap_or(5), flags.seconds.unwrap_or(10));
    let rate = flags.rate.unwrap_or(20);
    let begun = Instant::now();
    let deployment = Rc::new(Deployment::start(&plan(flags.instances)).await);
    println!(
        "{} instances ready in {:.1} s",
        flags.instances,
        begun.elapsed().as_secs_f64()
    );
    deployment.contract("sirag", 1, &json!([])).await;
    sleep(SETTLE).await;
    println!("per instance, at rest:");
    let mut used = Use::default();
    for _ in 0..runs {
        measure(&deployment, seconds, &mut used).await;
    }
    summary("at rest", used);
    println!("per instance, at {rate} model calls per second in all:");
    let time = Duration::from_secs(seconds * runs as u64 + 4);
    spawn(calls(deployment.clone(), rate, Instant::now() + time));
    sleep(Duration::from_secs(3)).await;
    let mut used = Use::default();
    for _ in 0..runs {
        measure(&deployment, seconds, &mut used).await;
    }
    summary("with calls", used);
    let memory = deployment
        .nodes
        .iter()
        .map(|node| process::resident(node.pid()));
    report::spread("resident", "MB", memory.collect());
    println!(
        "threads of an instance: {:.0}",
        process::threads(deployment.nodes[0].pid())
    );
}
