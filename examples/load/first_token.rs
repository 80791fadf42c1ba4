//! Time to first token through a daemon compared with direct calls to engines, interleaved.

use std::{
    cell::RefCell,
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
use rand::RngExt as _;
use serde_json::json;
use standin::{
    engine,
    server::Server,
    service, //
};

use crate::{
    client,
    deploy::{
        self,
        Deployment,
        Plan,
        MODELS, //
    },
    flags::FirstToken,
    process,
    report::{
        self,
        Times, //
    },
};

/// Number of engines that share the calls, as in the larger deployments.
const ENGINES: usize = 10;

/// Maximum tokens of an answer.
const TOKENS: u64 = 16;

/// Range of the pause of a program between two calls.
const PAUSE: (u64, u64) = (500, 1_500);

#[derive(Clone)]
struct Run {
    deployment: Rc<Deployment>,
    /// Engines for direct calls; empty to use those of the daemon. Direct calls to the daemon's
    /// engines are load from other clients, for which the daemon reduces its windows.
    apart: Rc<Vec<Server<engine::Engine>>>,
    direct: Rc<RefCell<Times>>,
    through: Rc<RefCell<Times>>,
    failed: Rc<RefCell<Vec<String>>>,
    warm: Instant,
    end: Instant,
}

fn engines() -> engine::Config {
    engine::Config {
        step_us: 5_000,
        step_per_request_us: 0,
        prefill_per_token_us: 0.0,
        max_batch: 1_000,
        cache_tokens: 100_000_000,
        calls_kept: 0,
        ..engine::Config::default()
    }
}

/// The step time is constant, so both paths see the same engine speed regardless of the batch.
fn plan(workers: usize) -> Plan {
    Plan {
        zones: vec![(1, ENGINES, 1)],
        engine: engines(),
        service: service::Config::default(),
        workers,
        metered: false,
    }
}

impl Run {
    async fn direct(&self, number: usize, turn: usize, messages: &serde_json::Value) {
        let apart = self.apart.get((number + turn) % ENGINES);
        let engine = apart.unwrap_or(&self.deployment.engines[(number + turn) % ENGINES]);
        let url = format!("http://{}/v1/chat/completions", engine.address());
        let body = json!({
            "model": MODELS,
            "messages": messages,
            "max_tokens": TOKENS,
            "stream": true,
            "stream_options": { "include_usage": true },
            "prompt_cache_key": format!("direct/{number}"),
        });
        let called = client::stream(self.deployment.http.post(url), &body, "\"content\"").await;
        self.note(&self.direct, called);
    }

    async fn through(&self, program: &str, messages: &serde_json::Value) {
        let path = format!("/v1/programs/{program}/calls");
        let url = deploy::url(&self.deployment.nodes[0], &path);
        let body = client::model(messages, TOKENS);
        let called = client::stream(self.deployment.http.post(url), &body, "event: text").await;
        self.note(&self.through, called);
    }

    fn note(&self, times: &Rc<RefCell<Times>>, called: client::Streamed) {
        match called.first {
            Some(_) if Instant::now() < self.warm => {}
            Some(first) => times
                .borrow_mut()
                .saturating_record(first.as_micros() as u64),
            None => self.failed.borrow_mut().push(client::reason(&called.text)),
        }
    }

    /// Runs one program that makes every call on both paths, in random order.
    async fn program(self, number: usize) {
        let node = &self.deployment.nodes[0];
        let (status, body) = self.deployment.program(node, "sirag", "default").await;
        let Some(program) = body["program"].as_str().map(str::to_owned) else {
            let failure = format!("start: {status}");
            return self.failed.borrow_mut().push(failure);
        };
        let mut turn = 0;
        while Instant::now() < self.end {
            let pause = rand::rng().random_range(PAUSE.0..PAUSE.1);
            sleep(Duration::from_millis(pause / 2)).await;
            let text = format!("program {number} asks for advice, turn {turn}");
            let messages = json!([{ "role": "user", "content": text }]);
            if rand::rng().random() {
                self.direct(number, turn, &messages).await;
                sleep(Duration::from_millis(pause / 2)).await;
                self.through(&program, &messages).await;
            } else {
                self.through(&program, &messages).await;
                sleep(Duration::from_millis(pause / 2)).await;
                self.direct(number, turn, &messages).await;
            }
            turn += 1;
        }
    }
}

pub async fn run(flags: &FirstToken) {
    let programs = flags.programs.unwrap_or(500);
    let seconds = flags.seconds.unwrap_or(15);
    let (mut medians, mut tails) = (Vec::new(), Vec::new());
    for _ in 0..flags.runs.unwrap_or(5) {
        let deployment = Deployment::start(&plan(flags.workers.unwrap_or(2))).await;
        deployment.contract("sirag", 1, &json!([])).await;
        let warm = Instant::now() + Duration::from_secs(3);
        let apart = match flags.shared {
            true => Vec::new(),
            false => (0..ENGINES)
                .map(|_| engine::start(engines()).expect("engine"))
                .collect(),
        };
        let run = Run {
            deployment: Rc::new(deployment),
            apart: Rc::new(apart),
            direct: Rc::new(RefCell::new(report::times())),
            through: Rc::new(RefCell::new(report::times())),
            failed: Rc::default(),
            warm,
            end: warm + Duration::from_secs(seconds),
        };
        let before = run.deployment.cpu();
        let begun = Instant::now();
        let tasks = (0..programs).map(|number| spawn(run.clone().program(number)));
        join_all(tasks.collect::<Vec<_>>()).await;
        let cpu = (run.deployment.cpu() - before) / begun.elapsed().as_secs_f64();
        let (direct, through) = (run.direct.borrow().clone(), run.through.borrow().clone());
        report::line("direct ", &direct);
        report::line("through", &through);
        let added = |part| report::ms(&through, part) - report::ms(&direct, part);
        println!(
            "added: median {:.2} ms, p99 {:.2} ms; ratio {:.3} and {:.3}; daemon {:.1} % of a core, {:.0} MB; {} failed",
            added(50.0),
            added(99.0),
            report::ms(&through, 50.0) / report::ms(&direct, 50.0),
            report::ms(&through, 99.0) / report::ms(&direct, 99.0),
            cpu * 100.0,
            process::resident(run.deployment.nodes[0].pid()),
            run.failed.borrow().len()
        );
        let node = &run.deployment.nodes[0];
        for span in ["queue_wait", "commit"] {
            let slow = run.deployment.above(node, span, "0.001").await;
            println!("{span} above 1 ms: {:.1} %", slow * 100.0);
        }
        if let Some(failed) = run.failed.borrow().first() {
            println!("first failure: {failed}");
        }
        medians.push(added(50.0));
        tails.push(added(99.0));
    }
    report::spread("added median", "ms", medians);
    report::spread("added p99", "ms", tails);
}
