//! Random combinations of faults against daemon processes, with invariants checked on the counters
//! of the stand-ins.
//!
//! `CHAOS_SEED` selects a single seed and `CHAOS_SECONDS` sets how long faults are injected.

mod support;

use std::{
    cell::RefCell,
    collections::BTreeMap,
    env,
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
use rand::{
    rngs::StdRng,
    seq::IndexedRandom,
    RngExt,
    SeedableRng, //
};
use serde_json::{
    json,
    Value, //
};
use standin::{
    engine,
    log,
    server::{
        Network,
        Outage, //
    },
    service, //
};
use support::{
    Cluster,
    Config, //
};

/// Seeds used unless `CHAOS_SEED` is set.
const SEEDS: [u64; 2] = [11, 42];

/// Time for which faults are injected unless `CHAOS_SECONDS` is set.
const FAULT_SECONDS: u64 = 8;

/// Time after which a caller no longer retries a request.
const RETRY_TIMEOUT: Duration = Duration::from_secs(30);

/// Responses that the callers and operators received.
#[derive(Default)]
struct Observations {
    /// Answers of each program's acknowledged turns, by turn.
    answers: BTreeMap<String, BTreeMap<u64, String>>,
    /// User messages of each program's acknowledged turns, by turn.
    prompts: BTreeMap<String, BTreeMap<u64, String>>,
    /// Deposits for which every response said that the call did not run.
    not_run: Vec<String>,
    /// Deposits for which a response reported success.
    captured: Vec<String>,
    /// All deposits that were requested.
    deposits: Vec<String>,
    /// Programs whose end was acknowledged.
    ended: Vec<String>,
    /// Highest contract version returned by each process, by address and process id.
    versions: BTreeMap<(String, u32), u64>,
    /// Processes that returned a lower contract version than before.
    version_regressions: Vec<String>,
    /// Requests sent, retries included.
    calls: usize,
    /// Acknowledged turns with key, durability and request id.
    acknowledged_turns: Vec<String>,
}

impl Observations {
    /// Records a contract version that a process returned.
    fn record_version(&mut self, process: (String, u32), version: u64) {
        let highest = self.versions.entry(process.clone()).or_default();
        let decreased = version < *highest;
        *highest = version.max(*highest);
        if decreased {
            self.version_regressions.push(format!(
                "{process:?} returned version {version} after a higher one"
            ));
        }
    }
}

struct Context {
    cluster: RefCell<Cluster>,
    observations: RefCell<Observations>,
    stop: std::cell::Cell<bool>,
    http: awc::Client,
    addresses: Vec<String>,
}

impl Context {
    /// Sends a request to an instance; status 0 means that no complete response arrived.
    async fn send(
        &self,
        instance: usize,
        path: &str,
        key: Option<&str>,
        body: &Value,
    ) -> (u16, Value) {
        let mut request = self
            .http
            .post(format!("http://{}{path}", self.addresses[instance]));
        if let Some(key) = key {
            request = request.insert_header(("Idempotency-Key", key));
        }
        let Ok(mut response) = request.send_json(body).await else {
            return (0, Value::Null);
        };
        let status = response.status().as_u16();
        match response.json::<Value>().limit(8 << 20).await {
            Ok(body) => (status, body),
            Err(_) => (0, Value::Null),
        }
    }

    /// Retries a request at random instances until the response is final.
    ///
    /// Returns the last status and body, and whether every response said that the call did not run.
    /// With `accept_refusal`, a refusal is also final if it and all responses before it said so.
    async fn send_until_final(
        &self,
        rng: &mut StdRng,
        path: &str,
        key: &str,
        body: &Value,
        accept_refusal: bool,
    ) -> (u16, Value, bool) {
        let deadline = Instant::now() + RETRY_TIMEOUT;
        let mut never_ran = true;
        loop {
            let instance = rng.random_range(0..self.addresses.len());
            let (status, response) = self.send(instance, path, Some(key), body).await;
            self.observations.borrow_mut().calls += 1;
            never_ran &= response["ran"] == "no";
            let not_run = response["ran"] == "no";
            let is_final = match status {
                200 | 201 => true,
                0 => false,
                _ if not_run && accept_refusal && never_ran => true,
                _ => response["retry_after_ms"].is_null(),
            };
            if is_final || Instant::now() > deadline {
                return (status, response, never_ran);
            }
            sleep(Duration::from_millis(rng.random_range(50..300))).await;
        }
    }
}

/// Runs random programs one after the other until the test stops.
async fn run_caller(context: Rc<Context>, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut count = 0;
    while !context.stop.get() {
        count += 1;
        let key_prefix = format!("s{seed}-{count}");
        let body = json!({ "customer": "sirag" });
        let (status, started, _) = context
            .send_until_final(&mut rng, "/v1/programs", &key_prefix, &body, false)
            .await;
        let Some(program) = started["program"].as_str().filter(|_| status == 201) else {
            continue;
        };
        let path = format!("/v1/programs/{program}/calls");
        for step in 0..rng.random_range(2..6) {
            let key = format!("{key_prefix}-{step}");
            if rng.random_bool(0.3) {
                capture_deposit(&context, &mut rng, &path, &key).await;
            } else if !call_model(&context, &mut rng, program, &path, &key).await {
                break;
            }
        }
        if rng.random_bool(0.7) {
            let path = format!("/v1/programs/{program}/end");
            let (status, _, _) = context
                .send_until_final(&mut rng, &path, "end", &json!({}), false)
                .await;
            if status == 200 {
                context
                    .observations
                    .borrow_mut()
                    .ended
                    .push(program.to_owned());
            }
        }
    }
}

async fn capture_deposit(context: &Context, rng: &mut StdRng, path: &str, key: &str) {
    let body = json!({
        "type": "tool", "pool": "workshop-orders", "operation": "capture-deposit",
        "body": { "deposit": key },
    });
    let accept_refusal = rng.random_bool(0.5);
    context
        .observations
        .borrow_mut()
        .deposits
        .push(key.to_owned());
    let (status, _, never_ran) = context
        .send_until_final(rng, path, key, &body, accept_refusal)
        .await;
    let mut observations = context.observations.borrow_mut();
    if status == 200 {
        observations.captured.push(key.to_owned());
    } else if never_ran {
        observations.not_run.push(key.to_owned());
    }
}

async fn call_model(
    context: &Context,
    rng: &mut StdRng,
    program: &str,
    path: &str,
    key: &str,
) -> bool {
    let prompt = format!("question {key}");
    let body = json!({
        "type": "model", "pool": "saddle-advice", "max_tokens": 12,
        "messages": [{ "role": "user", "content": prompt }],
    });
    let (status, response, _) = context.send_until_final(rng, path, key, &body, false).await;
    if status != 200 {
        return false;
    }
    let turn = response["turn"].as_u64().expect("turn");
    let content = response["content"].as_str().expect("content").to_owned();
    let mut observations = context.observations.borrow_mut();
    let entry = format!(
        "{program} {turn} {key} {} of {}",
        response["durability"], response["request"]
    );
    let answers = observations.answers.entry(program.into()).or_default();
    let previous = answers.insert(turn, content);
    let earlier = observations
        .acknowledged_turns
        .iter()
        .filter(|line| line.contains(program));
    assert_eq!(
        previous,
        None,
        "turn {turn} was acknowledged for two calls, now {entry}; earlier turns: {:?}",
        earlier.collect::<Vec<_>>(),
    );
    observations.acknowledged_turns.push(entry);
    observations
        .prompts
        .entry(program.into())
        .or_default()
        .insert(turn, prompt);
    true
}

/// Amends the contract repeatedly, in a race with a second operator, and records the versions
/// returned by each instance.
async fn run_operator(context: Rc<Context>, seed: u64, budget: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    while !context.stop.get() {
        let share = rng.random_range(1..100);
        let instance = rng.random_range(0..context.addresses.len());
        let url = format!("http://{}/v1/contracts/sirag", context.addresses[instance]);
        if let Ok(mut response) = context.http.get(&url).send().await {
            let entry: Value = response.json().await.unwrap_or_default();
            if let Some(version) = entry["version"].as_u64() {
                let pid = context.cluster.borrow().nodes[instance].pid();
                let process = (context.addresses[instance].clone(), pid);
                context
                    .observations
                    .borrow_mut()
                    .record_version(process, version);
                let amendment =
                    json!({ "customer": "sirag", "budget_micros": budget, "share": share });
                let request = context.http.put(&url);
                let request = request.insert_header(("If-Match", format!("\"{version}\"")));
                let _ = request.send_json(&amendment).await;
            }
        }
        sleep(Duration::from_millis(rng.random_range(100..400))).await;
    }
}

/// Injects and clears random faults, one at a time; returns a description of each.
async fn inject_faults(context: &Context, rng: &mut StdRng, deadline: Instant) -> Vec<String> {
    let mut injected = Vec::new();
    while Instant::now() < deadline {
        let duration = Duration::from_millis(rng.random_range(100..1_500));
        let kind = rng.random_range(0..9);
        let instance = rng.random_range(0..context.addresses.len());
        injected.push(format!("{kind} on {instance} for {duration:?}"));
        match kind {
            0 => {
                context.cluster.borrow_mut().nodes[instance].kill();
                sleep(duration).await;
                context.cluster.borrow_mut().nodes[instance].start();
            }
            1 => {
                context.cluster.borrow().nodes[instance].signal("STOP");
                sleep(duration * 3).await;
                context.cluster.borrow().nodes[instance].signal("CONT");
            }
            2 => inject_log_fault(context, duration, log_outage(Outage::Refuse)).await,
            3 => inject_log_fault(context, duration * 2, log_outage(Outage::Silent)).await,
            4 => {
                let lost_appends = log::Faults {
                    lose_probability: 0.4,
                    append_delay_ms: 40,
                    ..log::Faults::default()
                };
                inject_log_fault(context, duration, lost_appends).await;
            }
            5 => {
                let partition = Network {
                    cut_zones: vec!["cairo-b".into()],
                    cut: Some(Outage::Refuse),
                    ..Network::default()
                };
                inject_log_fault(
                    context,
                    duration * 3,
                    log::Faults {
                        network: partition,
                        ..log::Faults::default()
                    },
                )
                .await;
            }
            6 => {
                let options = [
                    service::Kind::HangAfter,
                    service::Kind::BreakBefore,
                    service::Kind::BreakAfter,
                    service::Kind::Unavailable(1),
                ];
                let kind = *options.choose(rng).expect("fault kind");
                let faults = service::Faults {
                    all: Some(kind.into()),
                    ..service::Faults::default()
                };
                context.cluster.borrow().services[0].set_faults(faults);
                sleep(duration).await;
                context.cluster.borrow().services[0].set_faults(service::Faults::default());
            }
            7 => {
                let faults = engine::Faults {
                    break_after: Some(4),
                    ..engine::Faults::default()
                };
                inject_engine_fault(context, duration, faults).await;
            }
            _ => {
                let faults = engine::Faults {
                    silent: true,
                    ..engine::Faults::default()
                };
                inject_engine_fault(context, duration, faults).await;
            }
        }
    }
    injected
}

fn log_outage(kind: Outage) -> log::Faults {
    log::Faults {
        network: Network {
            outage: Some(kind),
            ..Network::default()
        },
        ..log::Faults::default()
    }
}

async fn inject_log_fault(context: &Context, duration: Duration, faults: log::Faults) {
    context.cluster.borrow().log.set_faults(faults);
    sleep(duration).await;
    context
        .cluster
        .borrow()
        .log
        .set_faults(log::Faults::default());
}

async fn inject_engine_fault(context: &Context, duration: Duration, faults: engine::Faults) {
    context.cluster.borrow().engines[0].set_faults(faults);
    sleep(duration).await;
    context.cluster.borrow().engines[0].set_faults(engine::Faults::default());
}

async fn run(seed: u64, seconds: u64) {
    println!("chaos: seed {seed}, {seconds} s");
    let budget = 3_000_000;
    let cluster = Cluster::start(Config {
        zones: vec!["cairo-a", "cairo-b"],
        instances: 2,
        engines: 2,
        extra: "timings: { balancer_lag: 300ms, claim_age: 2s, sweep: 500ms, sweep_grace: 2s }\n"
            .into(),
        ..Config::default()
    })
    .await;
    let contract = json!({ "customer": "sirag", "budget_micros": budget });
    assert_eq!(cluster.publish(0, 1, &contract).await.0, 200);
    cluster.wait_contract("sirag", 1).await;
    let context = Rc::new(Context {
        addresses: cluster
            .nodes
            .iter()
            .map(|node| node.callers.clone())
            .collect(),
        http: awc::Client::builder()
            .timeout(Duration::from_secs(6))
            .finish(),
        cluster: RefCell::new(cluster),
        observations: RefCell::default(),
        stop: std::cell::Cell::new(false),
    });
    let mut tasks: Vec<_> = (0..8)
        .map(|index| spawn(run_caller(context.clone(), seed * 100 + index)))
        .collect();
    tasks.push(spawn(run_operator(
        context.clone(),
        seed * 100 + 50,
        budget,
    )));
    tasks.push(spawn(run_operator(
        context.clone(),
        seed * 100 + 51,
        budget,
    )));
    let mut rng = StdRng::seed_from_u64(seed);
    let deadline = Instant::now() + Duration::from_secs(seconds);
    let injected = inject_faults(&context, &mut rng, deadline).await;
    context.stop.set(true);
    for task in tasks {
        task.await.expect("task");
    }
    println!("chaos: faults {injected:?}");
    let context = Rc::into_inner(context).expect("all tasks have ended");
    check_invariants(
        &context.cluster.into_inner(),
        &context.observations.into_inner(),
        budget,
    )
    .await;
}

/// Checks all invariants once the faults are cleared.
async fn check_invariants(cluster: &Cluster, observations: &Observations, budget: u64) {
    for instance in 0..cluster.nodes.len() {
        cluster.wait_ready(instance).await;
    }
    cluster.wait_joined().await;
    println!(
        "chaos: {} calls, {} programs, {} deposits of which {} captured and {} reported as not run",
        observations.calls,
        observations.answers.len(),
        observations.deposits.len(),
        observations.captured.len(),
        observations.not_run.len(),
    );
    assert!(
        observations.version_regressions.is_empty(),
        "{:?}",
        observations.version_regressions
    );
    for key in &observations.deposits {
        let captures = cluster.count_captures(key);
        assert!(captures <= 1, "deposit {key} was sent {captures} times");
    }
    for key in &observations.captured {
        assert_eq!(
            cluster.count_captures(key),
            1,
            "deposit {key} was acknowledged but not sent exactly once"
        );
    }
    for key in &observations.not_run {
        assert_eq!(
            cluster.count_captures(key),
            0,
            "deposit {key} was reported as not run but sent"
        );
    }
    check_histories(cluster, observations).await;
    check_memory(cluster, observations).await;
    let costs = cluster
        .engines
        .iter()
        .map(|engine| engine.stats().cost("gypsumlever/"));
    let tokens: u64 = costs
        .map(|cost| cost.prompt_tokens + cost.completion_tokens)
        .sum();
    let calls: usize = observations
        .deposits
        .iter()
        .map(|key| cluster.count_captures(key))
        .sum();
    let charged = tokens + 10 * calls as u64;
    assert!(
        charged <= budget,
        "upstreams served {charged} micro-units of a budget of {budget}"
    );
}

/// Checks that each acknowledged turn is in its program's history at its position, and that it was
/// generated from exactly the preceding turns.
async fn check_histories(cluster: &Cluster, observations: &Observations) {
    for (program, answers) in &observations.answers {
        if observations.ended.contains(program) {
            continue;
        }
        let path = format!("/v1/programs/{program}");
        let deadline = Instant::now() + Duration::from_secs(20);
        let history = loop {
            let (status, history) = cluster.get(0, &path).await;
            let turns = history["turns"].as_array().map_or(0, Vec::len) as u64;
            let all = answers.keys().all(|turn| *turn < turns);
            if status == 200 && all {
                break history;
            }
            if history["reason"] == "program_ended" {
                // The program ended although the response to the request was lost.
                break Value::Null;
            }
            assert!(
                Instant::now() < deadline,
                "{program} lost a turn: {answers:?} {history}"
            );
            sleep(Duration::from_millis(100)).await;
        };
        if history.is_null() {
            continue;
        }
        let turns = history["turns"].as_array().expect("turns");
        for (turn, answer) in answers {
            let stored = &turns[*turn as usize];
            assert_eq!(stored["answer"], json!(answer), "turn {turn} of {program}");
            let expected = &observations.prompts[program][turn];
            assert_eq!(stored["request"]["messages"][0]["content"], json!(expected));
        }
        check_answers(program, turns);
    }
}

/// Checks that every answer was generated from exactly the preceding turns.
fn check_answers(program: &str, turns: &[Value]) {
    let mut messages = Vec::new();
    for turn in turns {
        let request = &turn["request"];
        let answer = turn["answer"].as_str().unwrap_or_default();
        if request["type"] == "model" {
            for message in request["messages"].as_array().into_iter().flatten() {
                messages.push((message["role"].clone(), message["content"].clone()));
            }
            let prompt: Vec<engine::Message> = messages
                .iter()
                .map(|(role, content)| {
                    engine::Message::new(
                        role.as_str().unwrap_or(""),
                        content.as_str().unwrap_or(""),
                    )
                })
                .collect();
            let expected = engine::Answer::new(&prompt).text(12);
            assert_eq!(
                answer, expected,
                "an answer of {program} was not generated from its history"
            );
            messages.push((json!("assistant"), json!(answer)));
        } else if turn["ran"] == "yes" {
            let text = format!(
                "{} {}",
                request["operation"].as_str().unwrap_or(""),
                request["body"].as_str().unwrap_or("")
            );
            messages.push((json!("assistant"), json!(text)));
            messages.push((json!("tool"), json!(answer)));
        } else {
            return;
        }
    }
}

/// Checks that the engines release the memory of ended programs.
async fn check_memory(cluster: &Cluster, observations: &Observations) {
    let deadline = Instant::now() + Duration::from_secs(15);
    loop {
        let held: Vec<String> = cluster
            .engines
            .iter()
            .flat_map(|engine| engine.stats().held.into_keys())
            .filter(|key| {
                observations
                    .ended
                    .iter()
                    .any(|program| key.ends_with(program.as_str()))
            })
            .collect();
        if held.is_empty() {
            return;
        }
        assert!(
            Instant::now() < deadline,
            "memory of ended programs was not released: {held:?}"
        );
        sleep(Duration::from_millis(200)).await;
    }
}

/// Guards against combinations of faults that break an invariant although each alone does not.
#[actix_web::test]
async fn run_fixed_seeds() {
    let env_number = |name: &str| env::var(name).ok().and_then(|text| text.parse().ok());
    let seconds = env_number("CHAOS_SECONDS").unwrap_or(FAULT_SECONDS);
    match env_number("CHAOS_SEED") {
        Some(seed) => run(seed, seconds).await,
        None => {
            for seed in SEEDS {
                run(seed, seconds).await;
            }
        }
    }
}
