//! Highest rate of single-call lookups that one instance sustains with bounded latency.

use std::{
    sync::{
        atomic::{
            AtomicU64,
            Ordering::Relaxed, //
        },
        Arc,
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use actix_web::rt::{
    spawn,
    time::sleep,
    System, //
};
use serde_json::json;
use standin::{
    engine,
    service, //
};
use std::{
    cell::RefCell,
    rc::Rc, //
};

use crate::{
    client,
    deploy::{
        self,
        Deployment,
        Plan,
        SERVICES, //
    },
    flags::ShortCalls,
    report::{
        self,
        Times, //
    },
};

/// Threads that make calls.
const THREADS: u64 = 3;

/// In-flight calls of a thread above which a call counts as failed and is not made.
const MAX_IN_FLIGHT: u64 = 2_000;

/// Fraction of calls that must succeed at a sustained rate, and the limit of their p99 in ms.
const SUSTAINED: (f64, f64) = (0.999, 50.0);

/// Result of one rate.
struct Measured {
    offered: u64,
    done: u64,
    times: Times,
    cpu: f64,
}

impl Measured {
    fn is_sustained(&self) -> bool {
        self.done as f64 >= self.offered as f64 * SUSTAINED.0
            && report::ms(&self.times, 99.0) < SUSTAINED.1
    }
}

fn plan(workers: usize) -> Plan {
    Plan {
        zones: vec![(1, 1, 5)],
        engine: engine::Config::default(),
        service: service::Config {
            calls_kept: 0,
            ..service::Config::default()
        },
        workers,
        metered: false,
    }
}

/// Makes calls at a rate from one thread; latency is measured from the time a call was due.
async fn make_calls(url: String, rate: f64, seconds: u64) -> (u64, u64, Times) {
    let http = client::create();
    let times = Rc::new(RefCell::new(report::times()));
    let (in_flight, done) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let body = Rc::new(json!({
        "type": "service", "pool": SERVICES, "operation": "stitch-status", "customer": "sirag",
        "class": "lookup", "body": { "order": 4711 },
    }));
    let start = Instant::now();
    let offered = (rate * seconds as f64) as u64;
    let mut next = 0;
    while next < offered {
        while next < offered && start.elapsed().as_secs_f64() >= next as f64 / rate {
            let due = start + Duration::from_secs_f64(next as f64 / rate);
            next += 1;
            if in_flight.load(Relaxed) >= MAX_IN_FLIGHT {
                continue;
            }
            in_flight.fetch_add(1, Relaxed);
            let (times, body, http) = (times.clone(), body.clone(), http.clone());
            let (in_flight, done, url) = (in_flight.clone(), done.clone(), url.clone());
            spawn(async move {
                let (status, _) =
                    client::read_response(http.post(url).send_json(&*body).await).await;
                in_flight.fetch_sub(1, Relaxed);
                if status == 200 {
                    done.fetch_add(1, Relaxed);
                    let time = due.elapsed().as_micros() as u64;
                    times.borrow_mut().saturating_record(time);
                }
            });
        }
        sleep(Duration::from_millis(1)).await;
    }
    let limit = Instant::now() + Duration::from_secs(3);
    while in_flight.load(Relaxed) > 0 && Instant::now() < limit {
        sleep(Duration::from_millis(5)).await;
    }
    let times = times.borrow().clone();
    (offered, done.load(Relaxed), times)
}

async fn measure(deployment: &Deployment, rate: u64, seconds: u64) -> Measured {
    let url = deploy::url(&deployment.nodes[0], "/v1/calls");
    let (before, start) = (deployment.cpu(), Instant::now());
    let threads: Vec<_> = (0..THREADS)
        .map(|_| {
            let url = url.clone();
            let rate = rate as f64 / THREADS as f64;
            thread::spawn(move || System::new().block_on(make_calls(url, rate, seconds)))
        })
        .collect();
    while threads.iter().any(|thread| !thread.is_finished()) {
        sleep(Duration::from_millis(20)).await;
    }
    let mut measured = Measured {
        offered: 0,
        done: 0,
        times: report::times(),
        cpu: (deployment.cpu() - before) / start.elapsed().as_secs_f64(),
    };
    for thread in threads {
        let (offered, done, times) = thread.join().expect("calls end");
        measured.offered += offered;
        measured.done += done;
        measured.times.add(times).expect("same precision");
    }
    measured
}

pub async fn run(flags: &ShortCalls) {
    let (from, to) = (flags.from.unwrap_or(1_000), flags.to.unwrap_or(8_000));
    let seconds = flags.seconds.unwrap_or(4);
    let mut rates = Vec::new();
    for _ in 0..flags.runs.unwrap_or(5) {
        let deployment = Deployment::start(&plan(flags.workers.unwrap_or(2))).await;
        let classes = json!([{ "class": "lookup", "deadline_ms": 2_000, "interactive": true }]);
        deployment.publish_contract("sirag", 1, &classes).await;
        measure(&deployment, 500, 1).await;
        let mut sustained = 0;
        for rate in (from..=to).step_by(1_000) {
            let measured = measure(&deployment, rate, seconds).await;
            let name = format!(
                "rate {rate}/s, done {} of {}, daemon {:.0} % of a core",
                measured.done,
                measured.offered,
                measured.cpu * 100.0
            );
            report::line(&name, &measured.times);
            if !measured.is_sustained() {
                break;
            }
            sustained = rate;
        }
        println!("sustained: {sustained} calls/s");
        rates.push(sustained as f64);
    }
    report::spread("sustained", "calls/s", rates);
}
