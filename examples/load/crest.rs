//! Programs of a deployment under demand that rises to a peak and falls within seconds.

use std::{
    cell::RefCell,
    collections::BTreeMap,
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
use futures_util::future::join_all;
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
        Plan,
        SERVICES, //
    },
    flags::Crest,
    report::{
        self,
        Times, //
    },
};

/// Generator of the programs of both deployments, shared with the policy measurements.
#[allow(dead_code)]
#[path = "../policy/workload.rs"]
mod workload;

use workload::{
    Program,
    Step,
    Workload,
    CUSTOMERS, //
};

/// Maximum attempts of a call that is refused before it runs.
const MAX_ATTEMPTS: u32 = 5;

/// Maximum time to wait for programs after the last arrival.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(60);

#[derive(Default)]
struct Counters {
    programs: BTreeMap<&'static str, Times>,
    waits: BTreeMap<&'static str, Times>,
    /// Times of programs that arrived at peak demand.
    peak: Option<Times>,
    refusals: BTreeMap<String, u64>,
    arrived: u64,
    done: u64,
    late: u64,
    abandoned: u64,
}

#[derive(Clone)]
struct Run {
    deployment: Rc<Deployment>,
    workload: &'static Workload,
    counters: Rc<RefCell<Counters>>,
    speed: f64,
}

fn customer(number: usize) -> String {
    format!("customer-{number}")
}

fn record(times: &mut BTreeMap<&'static str, Times>, name: &'static str, time: Duration) {
    let entry = times.entry(name).or_insert_with(report::times);
    entry.saturating_record(time.as_micros() as u64);
}

impl Run {
    fn scaled(&self, micros: u64) -> Duration {
        Duration::from_secs_f64(micros as f64 / 1e6 / self.speed)
    }

    fn count_refusal(&self, reason: String) {
        let mut counters = self.counters.borrow_mut();
        *counters.refusals.entry(reason).or_default() += 1;
    }

    /// Makes one call and retries it while it is refused before it runs; returns the time to its
    /// first token or answer.
    async fn call(
        &self,
        node: usize,
        path: &str,
        body: &serde_json::Value,
        token: &str,
    ) -> Option<Duration> {
        let start = Instant::now();
        for _ in 0..MAX_ATTEMPTS {
            let url = deploy::url(&self.deployment.nodes[node], path);
            let elapsed = start.elapsed();
            let called = client::stream(self.deployment.http.post(url), body, token).await;
            if called.text.contains("event: answer") {
                return Some(elapsed + called.first.unwrap_or_default());
            }
            let reason = client::refusal_reason(&called.text);
            let did_not_run = called.text.contains("\"ran\":\"no\"");
            self.count_refusal(reason);
            if !did_not_run {
                return None;
            }
            sleep(Duration::from_millis(300)).await;
        }
        None
    }

    async fn run_lookup(&self, program: &Program, node: usize) -> bool {
        let kind = &self.workload.kinds[program.kind];
        let body = json!({
            "type": "service", "pool": SERVICES, "operation": "stitch-status",
            "customer": customer(program.customer), "class": kind.name.replace(' ', "-"),
            "body": { "order": program.start },
        });
        let wait = self.call(node, "/v1/calls", &body, "event: answer").await;
        if let Some(wait) = wait {
            let counters = &mut *self.counters.borrow_mut();
            record(&mut counters.waits, kind.name, wait);
        }
        wait.is_some()
    }

    async fn run_steps(&self, program: &Program, node: usize) -> bool {
        let kind = &self.workload.kinds[program.kind];
        let class = kind.name.replace(' ', "-");
        let entry = &self.deployment.nodes[node];
        let name = customer(program.customer);
        let (_, started) = self.deployment.start_program(entry, &name, &class).await;
        let Some(id) = started["program"].as_str() else {
            let reason = started["reason"].as_str().unwrap_or("no_answer").to_owned();
            self.count_refusal(reason);
            return false;
        };
        let path = format!("/v1/programs/{id}/calls");
        for (number, (pause, step)) in program.steps.iter().enumerate() {
            sleep(self.scaled(*pause)).await;
            let (body, token) = match step {
                Step::Model { new, answer } => {
                    // The stand-in counts four bytes as a token.
                    let text = format!("{id} {number} {}", "word".repeat(*new as usize));
                    let messages = json!([{ "role": "user", "content": text }]);
                    (client::model_call(&messages, *answer), "event: text")
                }
                Step::Service { .. } => (
                    json!({ "type": "service", "pool": SERVICES, "operation": "workshop-order", "body": { "number": number } }),
                    "event: answer",
                ),
            };
            let Some(wait) = self.call(node, &path, &body, token).await else {
                return false;
            };
            if matches!(step, Step::Model { .. }) {
                let counters = &mut *self.counters.borrow_mut();
                record(&mut counters.waits, kind.name, wait);
            }
        }
        let end = format!("/v1/programs/{id}/end");
        let request = self.deployment.http.post(deploy::url(entry, &end));
        client::read_response(request.send_json(&json!({})).await).await;
        true
    }

    async fn run_program(self, program: Program, node: usize) {
        self.counters.borrow_mut().arrived += 1;
        let kind = &self.workload.kinds[program.kind];
        let start = Instant::now();
        let done = match kind.turns.1 {
            0 => self.run_lookup(&program, node).await,
            _ => self.run_steps(&program, node).await,
        };
        let time = start.elapsed();
        let counters = &mut *self.counters.borrow_mut();
        if !done {
            counters.abandoned += 1;
            return;
        }
        counters.done += 1;
        counters.late += u64::from(time > self.scaled(kind.deadline));
        record(&mut counters.programs, kind.name, time);
        if program.peak && !kind.short {
            let peak = counters.peak.get_or_insert_with(report::times);
            peak.saturating_record(time.as_micros() as u64);
        }
    }

    async fn publish_contracts(&self) {
        let class = |kind: &workload::Kind| {
            let deadline = self.scaled(kind.deadline).as_millis() as u64;
            json!({
                "class": kind.name.replace(' ', "-"),
                "deadline_ms": deadline.max(500),
                "interactive": kind.interactive,
            })
        };
        let classes: Vec<_> = self.workload.kinds.iter().map(class).collect();
        for (number, (share, _)) in CUSTOMERS.iter().enumerate() {
            let classes = json!(classes);
            let name = customer(number);
            self.deployment
                .publish_contract(&name, *share, &classes)
                .await;
        }
    }

    fn slow_engines(&self, factor: f64) {
        for engine in self.deployment.engines.iter().step_by(5) {
            engine.set_faults(engine::Faults {
                slow: factor,
                ..engine::Faults::default()
            });
        }
    }

    fn report(&self) {
        let counters = self.counters.borrow();
        for (name, times) in &counters.programs {
            report::line(&format!("program, {name}"), times);
        }
        for (name, times) in &counters.waits {
            report::line(&format!("first part of the answer, {name}"), times);
        }
        if let Some(peak) = &counters.peak {
            report::line("program, long work that arrived at the peak", peak);
        }
        println!(
            "arrived {}, done {}, of them late {}, abandoned {}, open {}",
            counters.arrived,
            counters.done,
            counters.late,
            counters.abandoned,
            counters.arrived - counters.done - counters.abandoned
        );
        println!("refusals by reason: {:?}", counters.refusals);
        let engines = self.deployment.engines.iter().map(|engine| engine.stats());
        let engines: Vec<_> = engines.collect();
        let cost = engines.iter().fold(engine::Cost::default(), |sum, counts| {
            sum.plus(counts.cost(""))
        });
        println!(
            "engines: {} calls, {} prompt tokens, {:.1} % of them cached, {} generated, largest delay of a step {:.0} ms",
            cost.calls,
            cost.prompt_tokens,
            cost.cached_tokens as f64 / cost.prompt_tokens.max(1) as f64 * 100.0,
            cost.completion_tokens,
            engines.iter().map(|counts| counts.behind_us).max().unwrap_or(0) as f64 / 1e3
        );
    }
}

fn plan(workload: &Workload, speed: f64) -> Plan {
    let zones = workload.engines.len();
    let instances = |at| (23 + zones - 1 - at) / zones;
    let mut paths = standin::Map::default();
    paths.insert("/stitch-status".to_owned(), (12_500.0 / speed) as u64);
    paths.insert("/workshop-order".to_owned(), (400_000.0 / speed) as u64);
    Plan {
        zones: (0..zones)
            .map(|at| (instances(at), workload.engines[at], workload.services[at]))
            .collect(),
        engine: engine::Config {
            speed,
            calls_kept: 0,
            ..engine::Config::default()
        },
        service: service::Config {
            path_latency_us: paths,
            calls_kept: 0,
            ..service::Config::default()
        },
        workers: 1,
        metered: false,
    }
}

pub async fn run(flags: &Crest) {
    let workload = match flags.deployment.as_str() {
        "sirag" => &workload::SIRAG,
        "cascade" => &workload::CASCADE,
        other => return eprintln!("load: unknown deployment {other}; use sirag or cascade"),
    };
    let speed = flags.speed.unwrap_or(5.0);
    let seconds = flags.seconds.unwrap_or(30);
    let rate = flags.rate.unwrap_or(60.0);
    let run = Run {
        deployment: Rc::new(Deployment::start(&plan(workload, speed)).await),
        workload,
        counters: Rc::default(),
        speed,
    };
    run.publish_contracts().await;
    if let Some(factor) = flags.slow {
        run.slow_engines(factor);
    }
    let arrivals = workload::arrivals(workload, rate, false, flags.seed.unwrap_or(1));
    let (start, mut tasks) = (Instant::now(), Vec::new());
    let cpu = run.deployment.cpu();
    let zones = workload.engines.len();
    for (number, program) in arrivals.into_iter().enumerate() {
        let due = Duration::from_micros(program.start);
        if due.as_secs() >= seconds {
            break;
        }
        sleep(due.saturating_sub(start.elapsed())).await;
        // The balancer assigns programs to instances in turn, regardless of zones.
        let node = number * zones % run.deployment.nodes.len();
        tasks.push(spawn(run.clone().run_program(program, node)));
    }
    let all = join_all(tasks);
    let _ = actix_web::rt::time::timeout(DRAIN_TIMEOUT, all).await;
    let time = start.elapsed().as_secs_f64();
    run.report();
    println!(
        "instances: {:.2} % of a core each on average",
        (run.deployment.cpu() - cpu) / time / run.deployment.nodes.len() as f64 * 100.0
    );
}
