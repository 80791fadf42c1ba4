//! Contracts, budgets and leaving upstreams under races, network partitions and log outages, with
//! daemon processes.

mod support;

use std::time::{
    Duration,
    Instant, //
};

use actix_web::rt::time::sleep;
use futures_util::future::join_all;
use serde_json::{
    json,
    Value, //
};
use standin::{
    engine, log,
    server::{
        Network,
        Outage, //
    },
};
use support::{
    Cluster,
    Config, //
};

fn contract(budget: u64, share: u32) -> Value {
    json!({ "customer": "sirag", "budget_micros": budget, "share": share })
}

fn three_zones(instances: usize) -> Config {
    Config {
        zones: vec!["cairo-a", "cairo-b", "cairo-c"],
        instances,
        ..Config::default()
    }
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

/// Guards against two concurrent amendments of one contract version that both succeed, and against
/// a retry after a lost response that is applied as a second amendment.
#[actix_web::test]
async fn contract_race_and_retry() {
    let cluster = Cluster::start(three_zones(1)).await;
    cluster.publish_contract().await;
    for version in 2..6 {
        let amendments: Vec<Value> = (0..3)
            .map(|index| contract(1_000_000 + index, version as u32))
            .collect();
        let requests = amendments
            .iter()
            .enumerate()
            .map(|(instance, amendment)| cluster.publish(instance, version, amendment));
        let responses = join_all(requests).await;
        let winners: Vec<usize> = (0..3)
            .filter(|instance| responses[*instance].0 == 200)
            .collect();
        assert_eq!(winners.len(), 1, "{responses:?}");
        for (status, body) in responses.iter().filter(|response| response.0 != 200) {
            assert_eq!((*status, &body["reason"]), (412, &json!("conflict")));
            assert!(body["detail"]
                .as_str()
                .is_some_and(|text| text.contains(&version.to_string())));
        }
        cluster.wait_contract("sirag", version).await;
        let (status, _) = cluster.publish(2, version, &amendments[winners[0]]).await;
        assert_eq!(status, 200, "a retry of the accepted amendment succeeds");
        for instance in 0..3 {
            let (_, body) = cluster.get(instance, "/v1/contracts/sirag").await;
            assert_eq!(body["version"], version);
            let expected = &amendments[winners[0]]["budget_micros"];
            assert_eq!(
                body["contract"]["budget_micros"], *expected,
                "instance {instance}"
            );
        }
    }
}

/// Guards against contract versions that decrease or are missed on an instance that starts late,
/// gets no response from the log, or can reach its peers but not the log.
#[actix_web::test]
async fn contract_late_start_partition_and_lost_response() {
    let mut config = three_zones(1);
    config.instances = 1;
    let mut cluster = Cluster::start(config).await;
    cluster.publish_contract().await;
    cluster.log.set_faults(log::Faults {
        lose_next: 2,
        ..log::Faults::default()
    });
    let (status, body) = cluster.publish(0, 2, &contract(2_000_000, 2)).await;
    assert_eq!(
        status, 200,
        "a lost response of the log is resolved by reading the log: {body}"
    );
    cluster.wait_contract("sirag", 2).await;
    cluster.nodes[2].kill();
    let (status, _) = cluster.publish(0, 3, &contract(3_000_000, 3)).await;
    assert_eq!(status, 200);
    // The late instance can reach its peers but not the log.
    cluster.log.set_faults(log::Faults {
        network: Network {
            cut_zones: vec!["cairo-c".into()],
            cut: Some(Outage::Refuse),
            ..Network::default()
        },
        ..log::Faults::default()
    });
    cluster.nodes[2].start();
    cluster.wait_ready(2).await;
    let (_, body) = cluster.get(2, "/v1/contracts/sirag").await;
    assert_eq!(
        body["version"], 3,
        "the late instance serves an old version"
    );
    let published_at = Instant::now();
    let (status, _) = cluster.publish(0, 4, &contract(4_000_000, 4)).await;
    assert_eq!(status, 200);
    cluster.wait_contract("sirag", 4).await;
    assert!(published_at.elapsed() < Duration::from_secs(7));
}

/// Guards against an exceeded budget when many instances spend it concurrently while engines fail
/// and an instance is killed. The cost is taken from the engines' counters.
#[actix_web::test]
async fn budget_concurrent_spenders_and_kill() {
    let mut cluster = Cluster::start(three_zones(2)).await;
    let budget = 4_000;
    let (status, _) = cluster.publish(0, 1, &contract(budget, 1)).await;
    assert_eq!(status, 200);
    cluster.wait_contract("sirag", 1).await;
    cluster.engines[0].set_faults(engine::Faults {
        break_after: Some(3),
        times: Some(20),
        ..engine::Faults::default()
    });
    let mut ran = 0;
    let mut exhausted = 0;
    for round in 0..6 {
        if round == 3 {
            cluster.nodes[5].kill();
        }
        let live_instances = if round < 3 { 6 } else { 5 };
        let spend = |index: usize| {
            let cluster = &cluster;
            async move {
                let body = json!({ "customer": "sirag" });
                let (status, started) = cluster
                    .post(index % live_instances, "/v1/programs", None, &body)
                    .await;
                assert_eq!(status, 201, "{started}");
                let program = started["program"].as_str().unwrap_or_default().to_owned();
                cluster
                    .call_model(
                        index % live_instances,
                        &program,
                        "k",
                        "how wide is the girth of this camel?",
                    )
                    .await
            }
        };
        for (status, body) in join_all((0..24).map(spend)).await {
            match status {
                200 => ran += 1,
                402 => {
                    assert_eq!(
                        (&body["reason"], &body["ran"]),
                        (&json!("budget_exhausted"), &json!("no"))
                    );
                    exhausted += 1;
                }
                _ => {}
            }
        }
    }
    assert!(ran > 0 && exhausted > 0, "ran {ran}, exhausted {exhausted}");
    // The pool's price is one micro-unit per prompt or completion token.
    let costs = cluster
        .engines
        .iter()
        .map(|engine| engine.stats().cost("gypsumlever/"));
    let charged: u64 = costs
        .map(|cost| cost.prompt_tokens + cost.completion_tokens)
        .sum();
    assert!(
        charged <= budget,
        "engines served {charged} micro-units of a budget of {budget}"
    );
    let (_, entry) = cluster.get(0, "/v1/contracts/sirag").await;
    let counted = entry["spent_micros"].as_u64().unwrap_or(0)
        + entry["reserved_micros"].as_u64().unwrap_or(0);
    assert!(
        counted >= charged && counted <= budget,
        "contract counts {counted} micro-units, engines served {charged} of {budget}"
    );
}

/// Guards against calls refused by the engine that consume budget although they did not run.
#[actix_web::test]
async fn budget_untouched_by_refusals() {
    let cluster = Cluster::start(Config::default()).await;
    assert_eq!(cluster.publish(0, 1, &contract(3_000, 1)).await.0, 200);
    cluster.wait_contract("sirag", 1).await;
    let program = cluster.start_program(0).await;
    cluster.engines[0].set_faults(engine::Faults {
        refuse: true,
        ..engine::Faults::default()
    });
    for index in 0..40 {
        let (status, body) = cluster
            .call_model(0, &program, &format!("refused-{index}"), "q")
            .await;
        assert_eq!((status, &body["ran"]), (503, &json!("no")), "{body}");
    }
    cluster.engines[0].set_faults(engine::Faults::default());
    let (status, body) = cluster.call_model(0, &program, "k", "q").await;
    assert_eq!(status, 200, "{body}");
}

/// Guards against calls sent to an engine more than 3 s after it reported that it is leaving.
#[actix_web::test]
async fn departure_of_an_engine() {
    let mut config = three_zones(2);
    config.engines = 2;
    let cluster = Cluster::start(config).await;
    cluster.publish_contract().await;
    cluster.engines[0].set_faults(engine::Faults {
        leaving: true,
        ..engine::Faults::default()
    });
    sleep(Duration::from_secs(3)).await;
    let received_before = cluster.engines[0].stats().received;
    let calls = (0..60).map(|index| {
        let cluster = &cluster;
        async move {
            let program = cluster.start_program(index % 6).await;
            cluster.call_model(index % 6, &program, "k", "q").await.0
        }
    });
    let statuses = join_all(calls).await;
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    assert_eq!(
        cluster.engines[0].stats().received,
        received_before,
        "a leaving engine received new calls"
    );
}

/// Returns the first retained offset and the end offset of the log.
fn log_offsets(cluster: &Cluster) -> (u64, u64) {
    cluster.log.stats().topics["gypsumlever"].partitions[0]
}

/// Guards against contracts and programs that are lost when the log's records expire: an instance
/// that starts later loads them, with their versions, from the snapshots that were written since.
#[actix_web::test]
async fn retention_of_the_log() {
    let retention = log::Retention {
        age_ms: Some(30_000),
        ..log::Retention::default()
    };
    let mut cluster = Cluster::start(Config {
        instances: 2,
        log: log::Config {
            retention,
            ..log::Config::default()
        },
        // Snapshots are written after 20 s; the log retains records for less than this setting.
        retention: "1m",
        ..Config::default()
    })
    .await;
    cluster.publish_contract().await;
    assert_eq!(cluster.publish(0, 2, &contract(5_000_000, 7)).await.0, 200);
    let program = cluster.start_program(0).await;
    let (status, answer) = cluster.call_model(0, &program, "k0", "q").await;
    assert_eq!(status, 200, "{answer}");
    let (_, initial_end) = log_offsets(&cluster);
    cluster.nodes[1].kill();
    sleep(Duration::from_secs(45)).await;
    let (begin, _) = log_offsets(&cluster);
    assert!(
        begin >= initial_end,
        "original records have not expired: {begin} < {initial_end}"
    );
    cluster.nodes[1].start();
    cluster.wait_ready(1).await;
    let (_, entry) = cluster.get(1, "/v1/contracts/sirag").await;
    assert_eq!(
        (&entry["version"], &entry["contract"]["share"]),
        (&json!(2), &json!(7)),
        "{entry}"
    );
    let (status, history) = cluster.get(1, &format!("/v1/programs/{program}")).await;
    assert_eq!(status, 200, "{history}");
    assert_eq!(
        history["turns"][0]["answer"], answer["content"],
        "{history}"
    );
    let (status, body) = cluster.call_model(1, &program, "k1", "q").await;
    assert_eq!((status, &body["turn"]), (200, &json!(1)), "{body}");
}

/// Guards against model calls that fail during a log outage although they need no commit in the
/// log, and against replicated turns that are lost when an instance is killed in the outage.
#[actix_web::test]
async fn outage_of_the_log() {
    for kind in [Outage::Refuse, Outage::Silent] {
        let mut cluster = Cluster::start(three_zones(1)).await;
        cluster.publish_contract().await;
        let program = cluster.start_program(0).await;
        let mut acknowledged = Vec::new();
        for turn in 0..2 {
            let (status, body) = cluster
                .call_model(0, &program, &format!("k{turn}"), "q")
                .await;
            assert_eq!(status, 200, "{body}");
            acknowledged.push(body["content"].clone());
        }
        cluster.log.set_faults(log_outage(kind));
        // An unresponsive log is detected within 4 s: the long poll of 1 s, the operation timeout
        // of 2 s and the failure detection of 0.5 s.
        sleep(Duration::from_secs(4)).await;
        let sent_at = Instant::now();
        let (status, body) = cluster.capture_deposit(0, &program, "deposit").await;
        assert_eq!(
            (status, &body["reason"]),
            (503, &json!("log_unavailable")),
            "{kind:?}: {body}"
        );
        assert_eq!(body["ran"], "no");
        assert!(body["retry_after_ms"].as_u64().is_some());
        assert!(
            sent_at.elapsed() < Duration::from_secs(2),
            "{kind:?}: the refusal took {:?}",
            sent_at.elapsed()
        );
        assert_eq!(cluster.count_captures("deposit"), 0);
        for turn in 2..4 {
            let (status, body) = cluster
                .call_model(0, &program, &format!("k{turn}"), "q")
                .await;
            assert_eq!(status, 200, "{kind:?}: {body}");
            assert_eq!(body["durability"], "replicated", "{kind:?}: {body}");
            acknowledged.push(body["content"].clone());
        }
        let owner = {
            let (_, rows) = cluster.get(0, "/v1/programs").await;
            let name = rows[0]["home"].as_str().expect("owner").to_owned();
            cluster
                .nodes
                .iter()
                .position(|node| node.name == name)
                .expect("instance")
        };
        cluster.nodes[owner].kill();
        let peer = (owner + 1) % 3;
        cluster.log.set_faults(log::Faults::default());
        let mut answers = Vec::new();
        for _ in 0..100 {
            sleep(Duration::from_millis(100)).await;
            let (_, history) = cluster.get(peer, &format!("/v1/programs/{program}")).await;
            let turns = history["turns"].as_array().cloned().unwrap_or_default();
            answers = turns.iter().map(|turn| turn["answer"].clone()).collect();
            let (_, rows) = cluster.get(peer, "/v1/programs").await;
            if rows[0]["turns"] == 4 {
                break;
            }
        }
        assert_eq!(
            answers, acknowledged,
            "{kind:?}: a replicated turn was lost"
        );
        let (status, body) = cluster.capture_deposit(peer, &program, "deposit").await;
        assert_eq!(
            (status, &body["turn"]),
            (200, &json!(4)),
            "{kind:?}: {body}"
        );
        assert_eq!(cluster.count_captures("deposit"), 1);
    }
}
