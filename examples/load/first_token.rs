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
const MAX_TOKENS: u64 = 16;

/// Range of the pause of a program between two calls.
const PAUSE_MS: (u64, u64) = (500, 1_500);

#[derive(Clone)]
struct Run {
    deployment: Rc<Deployment>,
    /// Engines for direct calls; empty to use those of the daemon. Direct calls to the daemon's
    /// engines are load from other clients, for which the daemon reduces its windows.
    direct_engines: Rc<Vec<Server<engine::Engine>>>,
    direct: Rc<RefCell<Times>>,
    through: Rc<RefCell<Times>>,
    failures: Rc<RefCell<Vec<String>>>,
    warm_until: Instant,
    end: Instant,
}

fn engine_config() -> engine::Config {
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
        engine: engine_config(),
        service: service::Config::default(),
        workers,
        metered: false,
    }
}

impl Run {
    async fn direct(&self, number: usize, turn: usize, messages: &serde_json::Value) {
        let direct_engine = self.direct_engines.get((number + turn) % ENGINES);
        let engine = direct_engine.unwrap_or(&self.deployment.engines[(number + turn) % ENGINES]);
        let url = format!("http://{}/v1/chat/completions", engine.address());
        let body = json!({
            "model": MODELS,
            "messages": messages,
            "max_tokens": MAX_TOKENS,
            "stream": true,
            "stream_options": { "include_usage": true },
            "prompt_cache_key": format!("direct/{number}"),
        });
        let result = client::stream(self.deployment.http.post(url), &body, "\"content\"").await;
        self.record(&self.direct, result);
    }

    async fn through(&self, program: &str, messages: &serde_json::Value) {
        let path = format!("/v1/programs/{program}/calls");
        let url = deploy::url(&self.deployment.nodes[0], &path);
        let body = client::model_call(messages, MAX_TOKENS);
        let result = client::stream(self.deployment.http.post(url), &body, "event: text").await;
        self.record(&self.through, result);
    }

    fn record(&self, times: &Rc<RefCell<Times>>, result: client::Streamed) {
        match result.first {
            Some(_) if Instant::now() < self.warm_until => {}
            Some(first) => times
                .borrow_mut()
                .saturating_record(first.as_micros() as u64),
            None => self
                .failures
                .borrow_mut()
                .push(client::refusal_reason(&result.text)),
        }
    }

    /// Runs one program that makes every call on both paths, in random order.
    async fn run_program(self, number: usize) {
        let node = &self.deployment.nodes[0];
        let (status, body) = self
            .deployment
            .start_program(node, "sirag", "default")
            .await;
        let Some(program) = body["program"].as_str().map(str::to_owned) else {
            let failure = format!("start: {status}");
            return self.failures.borrow_mut().push(failure);
        };
        let mut turn = 0;
        while Instant::now() < self.end {
            let pause = rand::rng().random_range(PAUSE_MS.0..PAUSE_MS.1);
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
        deployment.publish_contract("sirag", 1, &json!([])).await;
        let warm_until = Instant::now() + Duration::from_secs(3);
        let direct_engines = match flags.shared {
            true => Vec::new(),
            false => (0..ENGINES)
                .map(|_| engine::start(engine_config()).expect("engine"))
                .collect(),
        };
        let run = Run {
            deployment: Rc::new(deployment),
            direct_engines: Rc::new(direct_engines),
            direct: Rc::new(RefCell::new(report::times())),
            through: Rc::new(RefCell::new(report::times())),
            failures: Rc::default(),
            warm_until,
            end: warm_until + Duration::from_secs(seconds),
        };
        let before = run.deployment.cpu();
        let start = Instant::now();
        let tasks = (0..programs).map(|number| spawn(run.clone().run_program(number)));
        join_all(tasks.collect::<Vec<_>>()).await;
        let cpu = (run.deployment.cpu() - before) / start.elapsed().as_secs_f64();
        let (direct, through) = (run.direct.borrow().clone(), run.through.borrow().clone());
        report::line("direct ", &direct);
        report::line("through", &through);
        let added = |percentile| report::ms(&through, percentile) - report::ms(&direct, percentile);
        println!(
            "added: median {:.2} ms, p99 {:.2} ms; ratio {:.3} and {:.3}; daemon {:.1} % of a core, {:.0} MB; {} failed",
            added(50.0),
            added(99.0),
            report::ms(&through, 50.0) / report::ms(&direct, 50.0),
            report::ms(&through, 99.0) / report::ms(&direct, 99.0),
            cpu * 100.0,
            process::resident(run.deployment.nodes[0].pid()),
            run.failures.borrow().len()
        );
        let node = &run.deployment.nodes[0];
        for span in ["queue_wait", "commit"] {
            let slow = run.deployment.fraction_above(node, span, "0.001").await;
            println!("{span} above 1 ms: {:.1} %", slow * 100.0);
        }
        if let Some(failure) = run.failures.borrow().first() {
            println!("first failure: {failure}");
        }
        medians.push(added(50.0));
        tails.push(added(99.0));
    }
    report::spread("added median", "ms", medians);
    report::spread("added p99", "ms", tails);
}
