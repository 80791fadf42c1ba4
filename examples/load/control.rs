//! Control traffic and CPU time of each instance, when idle and at a low rate of calls.
//!
//! All traffic except the callers' passes through relays that count it; the CPU time of the relays
//! counts for this tool, not for the daemons.

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

/// Upper bound of the memory of one instance in GB, to refuse a run that exceeds available memory.
const MEMORY_PER_INSTANCE_GB: f64 = 0.04;

/// Time after the start until traffic is steady.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Returns a plan with ten engines and five services in three zones, as in the Sirag deployment.
fn plan(instances: usize) -> Plan {
    let instances_in_zone = |at| (instances + 2 - at) / 3;
    Plan {
        zones: vec![
            (instances_in_zone(0), 4, 2),
            (instances_in_zone(1), 3, 2),
            (instances_in_zone(2), 3, 1),
        ],
        engine: engine::Config {
            speed: 5.0,
            ..engine::Config::default()
        },
        service: service::Config::default(),
        workers: 1,
        metered: true,
    }
}

/// CPU time in percent of a core and traffic in bytes per second, per instance; one value for each
/// run.
#[derive(Default)]
struct Usage {
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

async fn measure(deployment: &Deployment, seconds: u64, usage: &mut Usage) {
    let count = deployment.nodes.len() as f64;
    let (cpu, before, start) = (deployment.cpu(), samples(deployment), Instant::now());
    let log_before = deployment.log.stats();
    sleep(Duration::from_secs(seconds)).await;
    let time = start.elapsed().as_secs_f64();
    let cpu = (deployment.cpu() - cpu) / time / count * 100.0;
    let log_after = deployment.log.stats();
    let mut sum = 0.0;
    print!("CPU {cpu:.2} % of a core");
    for ((name, before), (_, after)) in before.into_iter().zip(samples(deployment)) {
        let per_instance = |count: u64| count as f64 / time / instance_count(deployment);
        let bytes = per_instance(after.bytes - before.bytes);
        print!(
            "; {name} {:.0} B/s {:.1} msg/s {:.2} conn/s",
            bytes,
            per_instance(after.messages - before.messages),
            per_instance(after.connections - before.connections)
        );
        sum += bytes;
        if name == "peers" {
            usage.peers.push(bytes);
        }
    }
    println!(
        "; all {sum:.0} B/s; log in total: {:.1} appends/s {:.1} records/s",
        (log_after.appends - log_before.appends) as f64 / time,
        (log_after.records - log_before.records) as f64 / time
    );
    usage.cpu.push(cpu);
    usage.totals.push(sum);
}

fn instance_count(deployment: &Deployment) -> f64 {
    deployment.nodes.len() as f64
}

fn summary(name: &str, usage: Usage) {
    report::spread(&format!("{name}: CPU per instance"), "%", usage.cpu);
    report::spread(&format!("{name}: peer traffic"), "B/s", usage.peers);
    report::spread(&format!("{name}: all traffic"), "B/s", usage.totals);
}

/// Makes model calls at a rate through the instances in turn, with one program for each instance.
async fn make_calls(deployment: Rc<Deployment>, rate: u64, end: Instant) {
    let mut programs = Vec::new();
    for node in &deployment.nodes {
        let (_, body) = deployment.start_program(node, "sirag", "default").await;
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
            let body = client::model_call(&messages, 16);
            let (status, body) = client::read_response(request.send_json(&body).await).await;
            if status != 200 {
                println!("call: status {status}, {}", body["reason"]);
            }
        });
        number += 1;
        sleep(Duration::from_secs_f64(1.0 / rate as f64)).await;
    }
}

pub async fn run(flags: &Control) {
    let needed = flags.instances as f64 * MEMORY_PER_INSTANCE_GB;
    assert!(
        needed < process::available() / 2.0,
        "the run needs {needed:.1} GB and the machine has {:.1} GB",
        process::available()
    );
    let (runs, seconds) = (flags.runs.unwrap_or(5), flags.seconds.unwrap_or(10));
    let rate = flags.rate.unwrap_or(20);
    let start = Instant::now();
    let deployment = Rc::new(Deployment::start(&plan(flags.instances)).await);
    println!(
        "{} instances ready in {:.1} s",
        flags.instances,
        start.elapsed().as_secs_f64()
    );
    deployment.publish_contract("sirag", 1, &json!([])).await;
    sleep(SETTLE_TIME).await;
    println!("per instance, idle:");
    let mut usage = Usage::default();
    for _ in 0..runs {
        measure(&deployment, seconds, &mut usage).await;
    }
    summary("idle", usage);
    println!("per instance, at {rate} model calls per second in total:");
    let time = Duration::from_secs(seconds * runs as u64 + 4);
    spawn(make_calls(deployment.clone(), rate, Instant::now() + time));
    sleep(Duration::from_secs(3)).await;
    let mut usage = Usage::default();
    for _ in 0..runs {
        measure(&deployment, seconds, &mut usage).await;
    }
    summary("with calls", usage);
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
