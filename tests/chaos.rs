//! Random mixes of faults over real processes; all invariants are judged from the stand-ins' books.
//!
//! `CHAOS_SEED` and `CHAOS_SECONDS` run one seed for longer.

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
    Shape, //
};

/// Seeds that CI runs.
const SEEDS: [u64; 2] = [11, 42];

/// Time for which faults are injected in CI.
const SECONDS: u64 = 8;

/// Longest time that a caller goes on asking for one answer.
const PATIENCE: Duration = Duration::from_secs(30);

/// What callers were told.
#[derive(Default)]
struct Notes {
    /// Answers of each program's turns, by number.
    answers: BTreeMap<String, BTreeMap<u64, String>>,
    /// Messages of each program's turns, by number.
    questions: BTreeMap<String, BTreeMap<u64, String>>,
    /// Deposits of which every answer said that they did not run.
    refused: Vec<String>,
    /// Deposits that were answered with success.
    captured: Vec<String>,
    deposits: Vec<String>,
    ended: Vec<String>,
    /// Highest version of the contract that each instance has shown, by process.
    versions: BTreeMap<(String, u32), u64>,
    reverted: Vec<String>,
    calls: usize,
    /// Acknowledged turns with their durability.
    trail: Vec<String>,
}

impl Notes {
    /// Notes the version that a process shows.
    fn see(&mut self, process: (String, u32), version: u64) {
        let highest = self.versions.entry(process.clone()).or_default();
        let reverted = version < *highest;
        *highest = version.max(*highest);
        if reverted {
            self.reverted
                .push(format!("{process:?} went back to {version}"));
        }
    }
}

struct World {
    cluster: RefCell<Cluster>,
    notes: RefCell<Notes>,
    stop: std::cell::Cell<bool>,
    http: awc::Client,
    addresses: Vec<String>,
}

impl World {
    /// Sends a request to an instance; status 0 means no whole answer.
    async fn send(&self, at: usize, path: &str, key: Option<&str>, body: &Value) -> (u16, Value) {
        let mut request = self
            .http
            .post(format!("http://{}{path}", self.addresses[at]));
        if let Some(key) = key {
            request = request.insert_header(("Idempotency-Key", key));
        }
        let Ok(mut answer) = request.send_json(body).await else {
            return (0, Value::Null);
        };
        let status = answer.status().as_u16();
        match answer.json::<Value>().limit(8 << 20).await {
            Ok(body) => (status, body),
            Err(_) => (0, Value::Null),
        }
    }

    /// Repeats a request at random instances until its answer is final.
    ///
    /// Returns the last answer and whether every answer said that nothing ran.
    async fn ask(
        &self,
        rng: &mut StdRng,
        path: &str,
        key: &str,
        body: &Value,
        give_up: bool,
    ) -> (u16, Value, bool) {
        let end = Instant::now() + PATIENCE;
        let mut never = true;
        loop {
            let at = rng.random_range(0..self.addresses.len());
            let (status, answer) = self.send(at, path, Some(key), body).await;
            self.notes.borrow_mut().calls += 1;
            never &= answer["ran"] == "no";
            let refused = answer["ran"] == "no";
            let last = match status {
                200 | 201 => true,
                0 => false,
                _ if refused && give_up && never => true,
                _ => answer["retry_after_ms"].is_null(),
            };
            if last || Instant::now() > end {
                return (status, answer, never);
            }
            sleep(Duration::from_millis(rng.random_range(50..300))).await;
        }
    }
}

/// Runs programs one after the other as a caller.
async fn caller(world: Rc<World>, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut number = 0;
    while !world.stop.get() {
        number += 1;
        let name = format!("s{seed}-{number}");
        let body = json!({ "customer": "sirag" });
        let (status, started, _) = world
            .ask(&mut rng, "/v1/programs", &name, &body, false)
            .await;
        let Some(program) = started["program"].as_str().filter(|_| status == 201) else {
            continue;
        };
        let path = format!("/v1/programs/{program}/calls");
        for step in 0..rng.random_range(2..6) {
            let key = format!("{name}-{step}");
            if rng.random_bool(0.3) {
                deposit(&world, &mut rng, &path, &key).await;
            } else if !say(&world, &mut rng, program, &path, &key).await {
                break;
            }
        }
        if rng.random_bool(0.7) {
            let path = format!("/v1/programs/{program}/end");
            let (status, _, _) = world.ask(&mut rng, &path, "end", &json!({}), false).await;
            if status == 200 {
                world.notes.borrow_mut().ended.push(program.to_owned());
            }
        }
    }
}

async fn deposit(world: &World, rng: &mut StdRng, path: &str, key: &str) {
    let body = json!({
        "type": "tool", "pool": "workshop-orders", "operation": "capture-deposit",
        "body": { "deposit": key },
    });
    let give_up = rng.random_bool(0.5);
    world.notes.borrow_mut().deposits.push(key.to_owned());
    let (status, _, never) = world.ask(rng, path, key, &body, give_up).await;
    let mut notes = world.notes.borrow_mut();
    if status == 200 {
        notes.captured.push(key.to_owned());
    } else if never {
        notes.refused.push(key.to_owned());
    }
}

async fn say(world: &World, rng: &mut StdRng, program: &str, path: &str, key: &str) -> bool {
    let question = format!("question {key}");
    let body = json!({
        "type": "model", "pool": "saddle-advice", "max_tokens": 12,
        "messages": [{ "role": "user", "content": question }],
    });
    let (status, answer, _) = world.ask(rng, path, key, &body, false).await;
    if status != 200 {
        return false;
    }
    let turn = answer["turn"].as_u64().expect("a turn");
    let content = answer["content"].as_str().expect("content").to_owned();
    let mut notes = world.notes.borrow_mut();
    let entry = format!(
        "{program} {turn} {key} {} of {}",
        answer["durability"], answer["request"]
    );
    let acknowledged = notes.answers.entry(program.into()).or_default();
    let first = acknowledged.insert(turn, content);
    let of_program = notes.trail.iter().filter(|line| line.contains(program));
    assert_eq!(
        first,
        None,
        "turn {turn} was acknowledged for two calls, now {entry}; before {:?}",
        of_program.collect::<Vec<_>>(),
    );
    notes.trail.push(entry);
    notes
        .questions
        .entry(program.into())
        .or_default()
        .insert(turn, question);
    true
}

/// Amends the contract as two operators who race, and watches that versions never go back.
async fn operators(world: Rc<World>, seed: u64, budget: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    while !world.stop.get() {
        let share = rng.random_range(1..100);
        let at = rng.random_range(0..world.addresses.len());
        let url = format!("http://{}/v1/contracts/sirag", world.addresses[at]);
        if let Ok(mut found) = world.http.get(&url).send().await {
            let entry: Value = found.json().await.unwrap_or_default();
            if let Some(version) = entry["version"].as_u64() {
                let pid = world.cluster.borrow().nodes[at].pid();
                let process = (world.addresses[at].clone(), pid);
                world.notes.borrow_mut().see(process, version);
                let raw = json!({ "customer": "sirag", "budget_micros": budget, "share": share });
                let request = world.http.put(&url);
                let request = request.insert_header(("If-Match", format!("\"{version}\"")));
                let _ = request.send_json(&raw).await;
            }
        }
        sleep(Duration::from_millis(rng.random_range(100..400))).await;
    }
}

/// Injects one fault after the other, and takes each back.
async fn faults(world: &World, rng: &mut StdRng, until: Instant) -> Vec<String> {
    let mut trail = Vec::new();
    while Instant::now() < until {
        let span = Duration::from_millis(rng.random_range(100..1_500));
        let kind = rng.random_range(0..9);
        let node = rng.random_range(0..world.addresses.len());
        trail.push(format!("{kind} on {node} for {span:?}"));
        match kind {
            0 => {
                world.cluster.borrow_mut().nodes[node].kill();
                sleep(span).await;
                world.cluster.borrow_mut().nodes[node].start();
            }
            1 => {
                world.cluster.borrow().nodes[node].signal("STOP");
                sleep(span * 3).await;
                world.cluster.borrow().nodes[node].signal("CONT");
            }
            2 => log_fault(world, span, outage(Outage::Refuse)).await,
            3 => log_fault(world, span * 2, outage(Outage::Silent)).await,
            4 => {
                let lost = log::Faults {
                    lose_probability: 0.4,
                    append_delay_ms: 40,
                    ..log::Faults::default()
                };
                log_fault(world, span, lost).await;
            }
            5 => {
                let cut = Network {
                    cut_zones: vec!["cairo-b".into()],
                    cut: Some(Outage::Refuse),
                    ..Network::default()
                };
                log_fault(
                    world,
                    span * 3,
                    log::Faults {
                        network: cut,
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
                let kind = *options.choose(rng).expect("a kind");
                let faults = service::Faults {
                    all: Some(kind.into()),
                    ..service::Faults::default()
                };
                world.cluster.borrow().services[0].set_faults(faults);
                sleep(span).await;
                world.cluster.borrow().services[0].set_faults(service::Faults::default());
            }
            7 => {
                let faults = engine::Faults {
                    break_after: Some(4),
                    ..engine::Faults::default()
                };
                engine_fault(world, span, faults).await;
            }
            _ => {
                let faults = engine::Faults {
                    silent: true,
                    ..engine::Faults::default()
                };
                engine_fault(world, span, faults).await;
            }
        }
    }
    trail
}

fn outage(kind: Outage) -> log::Faults {
    log::Faults {
        network: Network {
            outage: Some(kind),
            ..Network::default()
        },
        ..log::Faults::default()
    }
}

async fn log_fault(world: &World, span: Duration, faults: log::Faults) {
    world.cluster.borrow().log.set_faults(faults);
    sleep(span).await;
    world
        .cluster
        .borrow()
        .log
        .set_faults(log::Faults::default());
}

async fn engine_fault(world: &World, span: Duration, faults: engine::Faults) {
    world.cluster.borrow().engines[0].set_faults(faults);
    sleep(span).await;
    world.cluster.borrow().engines[0].set_faults(engine::Faults::default());
}

async fn run(seed: u64, seconds: u64) {
    println!("chaos: seed {seed}, {seconds} s");
    let budget = 3_000_000;
    let cluster = Cluster::start(Shape {
        zones: vec!["cairo-a", "cairo-b"],
        instances: 2,
        engines: 2,
        extra: "timings: { balancer_lag: 300ms, claim_age: 2s, sweep: 500ms, sweep_grace: 2s }\n"
            .into(),
        ..Shape::default()
    })
    .await;
    let contract = json!({ "customer": "sirag", "budget_micros": budget });
    assert_eq!(cluster.publish(0, 1, &contract).await.0, 200);
    cluster.wait_contract("sirag", 1).await;
    let world = Rc::new(World {
        addresses: cluster
            .nodes
            .iter()
            .map(|node| node.callers.clone())
            .collect(),
        http: awc::Client::builder()
            .timeout(Duration::from_secs(6))
            .finish(),
        cluster: RefCell::new(cluster),
        notes: RefCell::default(),
        stop: std::cell::Cell::new(false),
    });
    let mut tasks: Vec<_> = (0..8)
        .map(|at| spawn(caller(world.clone(), seed * 100 + at)))
        .collect();
    tasks.push(spawn(operators(world.clone(), seed * 100 + 50, budget)));
    tasks.push(spawn(operators(world.clone(), seed * 100 + 51, budget)));
    let mut rng = StdRng::seed_from_u64(seed);
    let until = Instant::now() + Duration::from_secs(seconds);
    let trail = faults(&world, &mut rng, until).await;
    world.stop.set(true);
    for task in tasks {
        task.await.expect("a task");
    }
    println!("chaos: faults {trail:?}");
    let world = Rc::into_inner(world).expect("all tasks have ended");
    judge(
        &world.cluster.into_inner(),
        &world.notes.into_inner(),
        budget,
    )
    .await;
}

/// Checks all invariants after the faults.
async fn judge(cluster: &Cluster, notes: &Notes, budget: u64) {
    for at in 0..cluster.nodes.len() {
        cluster.wait_ready(at).await;
    }
    cluster.wait_joined().await;
    println!(
        "chaos: {} calls, {} programs, {} deposits of which {} captured and {} refused",
        notes.calls,
        notes.answers.len(),
        notes.deposits.len(),
        notes.captured.len(),
        notes.refused.len(),
    );
    assert!(notes.reverted.is_empty(), "{:?}", notes.reverted);
    for key in &notes.deposits {
        let captures = cluster.captures(key);
        assert!(captures <= 1, "deposit {key} was sent {captures} times");
    }
    for key in &notes.captured {
        assert_eq!(
            cluster.captures(key),
            1,
            "deposit {key} was answered and not sent"
        );
    }
    for key in &notes.refused {
        assert_eq!(cluster.captures(key), 0, "deposit {key} was told not run");
    }
    check_histories(cluster, notes).await;
    check_memory(cluster, notes).await;
    let costs = cluster
        .engines
        .iter()
        .map(|engine| engine.stats().cost("gypsumlever/"));
    let tokens: u64 = costs
        .map(|cost| cost.prompt_tokens + cost.completion_tokens)
        .sum();
    let calls: usize = notes.deposits.iter().map(|key| cluster.captures(key)).sum();
    let charged = tokens + 10 * calls as u64;
    assert!(charged <= budget, "charged {charged} of {budget}");
}

/// Checks that each acknowledged turn is in its program's history, in its place, and that it was
/// generated from exactly the turns before it.
async fn check_histories(cluster: &Cluster, notes: &Notes) {
    for (program, answers) in &notes.answers {
        if notes.ended.contains(program) {
            continue;
        }
        let path = format!("/v1/programs/{program}");
        let end = Instant::now() + Duration::from_secs(20);
        let history = loop {
            let (status, history) = cluster.get(0, &path).await;
            let turns = history["turns"].as_array().map_or(0, Vec::len) as u64;
            let all = answers.keys().all(|turn| *turn < turns);
            if status == 200 && all {
                break history;
            }
            if history["reason"] == "program_ended" {
                // The end took effect although its answer was lost.
                break Value::Null;
            }
            assert!(
                Instant::now() < end,
                "{program} lost a turn: {answers:?} {history}"
            );
            sleep(Duration::from_millis(100)).await;
        };
        if history.is_null() {
            continue;
        }
        let turns = history["turns"].as_array().expect("turns");
        for (turn, answer) in answers {
            let kept = &turns[*turn as usize];
            assert_eq!(kept["answer"], json!(answer), "turn {turn} of {program}");
            let wanted = &notes.questions[program][turn];
            assert_eq!(kept["request"]["messages"][0]["content"], json!(wanted));
        }
        check_chain(program, turns);
    }
}

/// Checks that every answer follows from exactly the history before it.
fn check_chain(program: &str, turns: &[Value]) {
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
                "an answer of {program} has another history"
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

/// Checks that no engine holds memory of an ended program.
async fn check_memory(cluster: &Cluster, notes: &Notes) {
    let end = Instant::now() + Duration::from_secs(15);
    loop {
        let held: Vec<String> = cluster
            .engines
            .iter()
            .flat_map(|engine| engine.stats().held.into_keys())
            .filter(|key| {
                notes
                    .ended
                    .iter()
                    .any(|program| key.ends_with(program.as_str()))
            })
            .collect();
        if held.is_empty() {
            return;
        }
        assert!(
            Instant::now() < end,
            "memory of ended programs is held: {held:?}"
        );
        sleep(Duration::from_millis(200)).await;
    }
}

/// Guards against combinations of faults that break an invariant although each alone does not.
#[actix_web::test]
async fn run_fixed_seeds() {
    let number = |name: &str| env::var(name).ok().and_then(|text| text.parse().ok());
    let seconds = number("CHAOS_SECONDS").unwrap_or(SECONDS);
    match number("CHAOS_SEED") {
        Some(seed) => run(seed, seconds).await,
        None => {
            for seed in SEEDS {
                run(seed, seconds).await;
            }
        }
    }
}
