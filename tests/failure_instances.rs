//! Program history, at-most-once calls and shutdown when instances are killed, paused or restarted.

mod support;

use std::time::{
    Duration,
    Instant, //
};

use actix_web::rt::time::sleep;
use serde_json::{
    json,
    Value, //
};
use standin::{
    engine,
    service, //
};
use support::{
    Cluster,
    Config, //
};

/// Returns the index of the instance that owns a program.
async fn owner(cluster: &Cluster, program: &str) -> usize {
    let (_, rows) = cluster.get(0, "/v1/programs").await;
    let rows = rows.as_array().cloned().unwrap_or_default();
    let row = rows
        .iter()
        .find(|row| row["program"] == program)
        .expect("row of the program");
    let name = row["home"].as_str().expect("owner");
    cluster
        .nodes
        .iter()
        .position(|node| node.name == name)
        .expect("instance")
}

fn other_instance(cluster: &Cluster, instance: usize) -> usize {
    (instance + 1) % cluster.nodes.len()
}

/// Guards against lost, duplicate or reordered turns when the owner is killed between turns.
#[actix_web::test]
async fn history_owner_killed_between_turns() {
    let mut cluster = Cluster::start(Config {
        instances: 3,
        engines: 2,
        ..Config::default()
    })
    .await;
    cluster.publish_contract().await;
    let program = cluster.start_program(0).await;
    let owner = owner(&cluster, &program).await;
    let peer = other_instance(&cluster, owner);
    let mut acknowledged = Vec::new();
    for turn in 0..2 {
        let (status, body) = cluster
            .call_model(owner, &program, &format!("k{turn}"), "q")
            .await;
        assert_eq!(status, 200, "{body}");
        acknowledged.push(body["content"].clone());
    }
    cluster.nodes[owner].kill();
    let killed_at = Instant::now();
    let (status, body) = cluster.call_model(peer, &program, "k2", "q").await;
    assert_eq!(status, 200, "{body}");
    assert!(
        killed_at.elapsed() < Duration::from_secs(5),
        "the call took {:?} after the owner was killed",
        killed_at.elapsed()
    );
    acknowledged.push(body["content"].clone());
    let (_, history) = cluster.get(peer, &format!("/v1/programs/{program}")).await;
    let turns = history["turns"].as_array().expect("turns");
    let answers: Vec<&Value> = turns.iter().map(|turn| &turn["answer"]).collect();
    assert_eq!(answers, acknowledged.iter().collect::<Vec<_>>());
}

/// Guards against a truncated answer when the owner is killed while the engine streams it.
#[actix_web::test]
async fn history_owner_killed_in_stream() {
    let slow_engine = engine::Config {
        speed: 0.5,
        ..engine::Config::default()
    };
    let config = Config {
        instances: 3,
        engines: 2,
        engine: slow_engine,
        ..Config::default()
    };
    let mut cluster = Cluster::start(config).await;
    cluster.publish_contract().await;
    let program = cluster.start_program(0).await;
    let owner = owner(&cluster, &program).await;
    let peer = other_instance(&cluster, owner);
    let pid = cluster.nodes[owner].pid().to_string();
    actix_web::rt::spawn(async move {
        sleep(Duration::from_millis(150)).await;
        let _ = std::process::Command::new("kill")
            .args(["-s", "KILL", &pid])
            .status();
    });
    let (status, body) = cluster.call_model(peer, &program, "k", "q").await;
    assert_eq!((status, &body["turn"]), (200, &json!(0)), "{body}");
    let (_, history) = cluster.get(peer, &format!("/v1/programs/{program}")).await;
    assert_eq!(history["turns"][0]["answer"], body["content"]);
    assert_eq!(history["turns"].as_array().map(Vec::len), Some(1));
    cluster.nodes[owner].kill();
}

/// Guards against a non-idempotent call that is sent twice when its owner is killed or paused
/// during the call and the caller retries it through another instance.
#[actix_web::test]
async fn once_owner_killed_or_paused() {
    let config = Config {
        instances: 3,
        ..Config::default()
    };
    let mut cluster = Cluster::start(config).await;
    cluster.publish_contract().await;
    cluster.services[0].set_faults(service::Faults {
        all: Some(service::Kind::HangAfter.into()),
        ..service::Faults::default()
    });
    for (round, (delay, signal)) in [
        (0, "STOP"),
        (40, "STOP"),
        (120, "STOP"),
        (10, "KILL"),
        (150, "KILL"),
    ]
    .into_iter()
    .enumerate()
    {
        let key = format!("deposit-{round}");
        let live = cluster
            .nodes
            .iter()
            .position(|node| node.pid() != 0)
            .expect("instance");
        let program = cluster.start_program(live).await;
        let owner = owner(&cluster, &program).await;
        let peer = other_instance(&cluster, owner);
        let path = format!("/v1/programs/{program}/calls");
        let body = json!({
            "type": "tool", "pool": "workshop-orders", "operation": "capture-deposit",
            "body": { "deposit": key },
        });
        let request = cluster.http.post(cluster.url(owner, &path));
        let request = request.insert_header(("Idempotency-Key", key.as_str()));
        let first_call = request.timeout(Duration::from_secs(1)).send_json(&body);
        let interrupt = async {
            sleep(Duration::from_millis(delay)).await;
            cluster.nodes[owner].signal(signal);
        };
        let (_, ()) = futures_util::join!(first_call, interrupt);
        let mut last_response = (0, json!(null));
        for _ in 0..4 {
            last_response = cluster.capture_deposit(peer, &program, &key).await;
            if last_response.1["ran"] == "unknown" && last_response.1["retry_after_ms"].is_null() {
                break;
            }
            sleep(Duration::from_millis(500)).await;
        }
        if signal == "STOP" {
            cluster.nodes[owner].signal("CONT");
        } else {
            cluster.nodes[owner].kill();
            cluster.nodes[owner].start();
            cluster.wait_ready(owner).await;
        }
        cluster.wait_joined().await;
        sleep(Duration::from_millis(300)).await;
        let captures = cluster.count_captures(&key);
        assert!(captures <= 1, "round {round}: sent {captures} times");
        if last_response.1["ran"] == "no" {
            assert_eq!(
                captures, 0,
                "round {round}: a call that was sent was reported as not run: {}",
                last_response.1
            );
        }
    }
}

/// Guards against diverging histories when two instances can't reach each other and both serve a
/// program: the log decides which turn is committed, both callers of one call get that turn, and a
/// deposit is captured at most once.
#[actix_web::test]
async fn history_two_owners() {
    let mut cluster = Cluster::prepare(&Config {
        instances: 2,
        engines: 2,
        ..Config::default()
    });
    cluster.nodes[1].secret = "another-secret".into();
    for instance in 0..2 {
        cluster.nodes[instance].start();
        cluster.wait_ready(instance).await;
    }
    cluster.publish_contract().await;
    // The registry lists both instances; wait until each has detected the other as unreachable.
    sleep(Duration::from_secs(4)).await;
    for round in 0..10 {
        let program = cluster.start_program(0).await;
        let same_call = (
            cluster.call_model(0, &program, "k", "q"),
            cluster.call_model(1, &program, "k", "q"),
        );
        let (first, second) = futures_util::join!(same_call.0, same_call.1);
        assert_eq!((first.0, second.0), (200, 200), "{first:?} {second:?}");
        assert_eq!(
            first.1["content"], second.1["content"],
            "both callers get the committed turn"
        );
        let different_calls = (
            cluster.call_model(0, &program, "a", "one"),
            cluster.call_model(1, &program, "b", "two"),
        );
        let (first, second) = futures_util::join!(different_calls.0, different_calls.1);
        let (_, history) = cluster.get(0, &format!("/v1/programs/{program}")).await;
        let turns = history["turns"].as_array().cloned().unwrap_or_default();
        for (status, body) in [&first, &second] {
            match status {
                200 => {
                    let turn = body["turn"].as_u64().expect("turn") as usize;
                    assert_eq!(turns[turn]["answer"], body["content"], "{history}");
                }
                _ => assert_ne!(
                    body["ran"], "no",
                    "a call that ran was reported as not run: {body}"
                ),
            }
        }
        let key = format!("split-{round}");
        let deposit_calls = (
            cluster.capture_deposit(0, &program, &key),
            cluster.capture_deposit(1, &program, &key),
        );
        let (first, second) = futures_util::join!(deposit_calls.0, deposit_calls.1);
        assert_eq!(cluster.count_captures(&key), 1, "{first:?} {second:?}");
        assert!(
            [&first, &second].iter().any(|answer| answer.0 == 200),
            "{first:?} {second:?}"
        );
    }
}

/// Guards against requests that fail during a rolling restart of all instances under load.
#[actix_web::test]
async fn stop_rolling_restart_under_load() {
    let config = Config {
        instances: 3,
        engines: 2,
        ..Config::default()
    };
    let mut cluster = Cluster::start(config).await;
    cluster.publish_contract().await;
    let addresses: Vec<String> = cluster
        .nodes
        .iter()
        .map(|node| node.callers.clone())
        .collect();
    let stop = std::rc::Rc::new(std::cell::Cell::new(false));
    let tasks: Vec<_> = (0..12)
        .map(|worker| actix_web::rt::spawn(send_calls(worker, addresses.clone(), stop.clone())))
        .collect();
    sleep(Duration::from_millis(300)).await;
    for instance in 0..cluster.nodes.len() {
        cluster.nodes[instance].signal("TERM");
        let exited = {
            let deadline = Instant::now() + Duration::from_secs(20);
            loop {
                if cluster.nodes[instance].wait_exit(Duration::ZERO + Duration::from_millis(1)) {
                    break true;
                }
                if Instant::now() > deadline {
                    break false;
                }
                sleep(Duration::from_millis(10)).await;
            }
        };
        assert!(
            exited,
            "instance {instance} did not exit after SIGTERM:\n{}",
            cluster.nodes[instance].log()
        );
        cluster.nodes[instance].start();
        cluster.wait_ready(instance).await;
        cluster.wait_joined().await;
    }
    stop.set(true);
    let mut calls = 0;
    for task in tasks {
        let (succeeded, failed) = task.await.expect("worker task");
        assert!(failed.is_empty(), "failed requests: {failed:?}");
        calls += succeeded;
    }
    assert!(calls > 100, "only {calls} calls succeeded");
}

/// Sends calls to ready instances, as a load balancer does; returns the number of successful calls
/// and the failed requests.
async fn send_calls(
    worker: usize,
    addresses: Vec<String>,
    stop: std::rc::Rc<std::cell::Cell<bool>>,
) -> (usize, Vec<String>) {
    let http = awc::Client::builder()
        .timeout(Duration::from_secs(20))
        .finish();
    let (mut succeeded, mut failed) = (0, Vec::new());
    let mut next = worker;
    while !stop.get() {
        next += 1;
        let address = &addresses[next % addresses.len()];
        let ready = http.get(format!("http://{address}/readyz")).send().await;
        if !ready.is_ok_and(|response| response.status().is_success()) {
            sleep(Duration::from_millis(5)).await;
            continue;
        }
        let body = json!({ "customer": "sirag" });
        let started = http
            .post(format!("http://{address}/v1/programs"))
            .send_json(&body)
            .await;
        let Ok(mut started) = started else {
            failed.push(format!("start at {address}"));
            continue;
        };
        let started: Value = started.json().await.unwrap_or_default();
        let Some(program) = started["program"].as_str() else {
            failed.push(format!("start at {address}: {started}"));
            continue;
        };
        let call = json!({
            "type": "model", "pool": "saddle-advice", "max_tokens": 32,
            "messages": [{ "role": "user", "content": "q" }],
        });
        let url = format!("http://{address}/v1/programs/{program}/calls");
        match http.post(url).send_json(&call).await {
            Ok(mut response) => {
                let status = response.status();
                let body: Value = response.json().await.unwrap_or_default();
                if status.is_success() {
                    succeeded += 1;
                } else {
                    failed.push(format!("call at {address}: {status} {body}"));
                }
            }
            Err(error) => failed.push(format!("call at {address}: {error}")),
        }
    }
    (succeeded, failed)
}
