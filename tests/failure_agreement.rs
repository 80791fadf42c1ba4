//! Contracts, budgets and departures under races, cuts and outages of the log, on real processes.

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
    Shape, //
};

fn contract(budget: u64, share: u32) -> Value {
    json!({ "customer": "sirag", "budget_micros": budget, "share": share })
}

fn zones(instances: usize) -> Shape {
    Shape {
        zones: vec!["cairo-a", "cairo-b", "cairo-c"],
        instances,
        ..Shape::default()
    }
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

/// Guards against two operators who both believe that their amendment of one version was accepted,
/// and against a repeat after a lost answer that is taken for a second change.
#[actix_web::test]
async fn contract_race_and_repeat() {
    let cluster = Cluster::start(zones(1)).await;
    cluster.with_contract().await;
    for version in 2..6 {
        let rivals: Vec<Value> = (0..3)
            .map(|at| contract(1_000_000 + at, version as u32))
            .collect();
        let races = rivals
            .iter()
            .enumerate()
            .map(|(at, raw)| cluster.publish(at, version, raw));
        let answers = join_all(races).await;
        let winners: Vec<usize> = (0..3).filter(|at| answers[*at].0 == 200).collect();
        assert_eq!(winners.len(), 1, "{answers:?}");
        for (status, body) in answers.iter().filter(|answer| answer.0 != 200) {
            assert_eq!((*status, &body["reason"]), (412, &json!("conflict")));
            assert!(body["detail"]
                .as_str()
                .is_some_and(|text| text.contains(&version.to_string())));
        }
        cluster.wait_contract("sirag", version).await;
        let (status, _) = cluster.publish(2, version, &rivals[winners[0]]).await;
        assert_eq!(status, 200, "a repeat of the accepted change is harmless");
        for at in 0..3 {
            let (_, body) = cluster.get(at, "/v1/contracts/sirag").await;
            assert_eq!(body["version"], version);
            let wanted = &rivals[winners[0]]["budget_micros"];
            assert_eq!(body["contract"]["budget_micros"], *wanted, "instance {at}");
        }
    }
}

/// Guards against versions that go back or are missed by an instance that starts late, loses an
/// answer of the log, or is cut off from the log while its peers are not.
#[actix_web::test]
async fn contract_late_cut_and_lost_answers() {
    let mut shape = zones(1);
    shape.instances = 1;
    let mut cluster = Cluster::start(shape).await;
    cluster.with_contract().await;
    cluster.log.set_faults(log::Faults {
        lose_next: 2,
        ..log::Faults::default()
    });
    let (status, body) = cluster.publish(0, 2, &contract(2_000_000, 2)).await;
    assert_eq!(status, 200, "a lost answer is resolved by reading: {body}");
    cluster.wait_contract("sirag", 2).await;
    cluster.nodes[2].kill();
    let (status, _) = cluster.publish(0, 3, &contract(3_000_000, 3)).await;
    assert_eq!(status, 200);
    // The zone of the late instance can't reach the log, but its peers.
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
    let published = Instant::now();
    let (status, _) = cluster.publish(0, 4, &contract(4_000_000, 4)).await;
    assert_eq!(status, 200);
    cluster.wait_contract("sirag", 4).await;
    assert!(published.elapsed() < Duration::from_secs(7));
}

/// Guards against a budget that is exceeded when many instances spend it at once while engines
/// fail and an instance dies; the engines' own books are the judge.
#[actix_web::test]
async fn budget_many_spenders_and_a_death() {
    let mut cluster = Cluster::start(zones(2)).await;
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
        let alive = if round < 3 { 6 } else { 5 };
        let spend = |at: usize| {
            let cluster = &cluster;
            async move {
                let body = json!({ "customer": "sirag" });
                let (status, started) = cluster.post(at % alive, "/v1/programs", None, &body).await;
                assert_eq!(status, 201, "{started}");
                let program = started["program"].as_str().unwrap_or_default().to_owned();
                cluster
                    .say(
                        at % alive,
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
    // One prompt or generated token costs one micro-unit in the settings of the tests.
    let costs = cluster
        .engines
        .iter()
        .map(|engine| engine.stats().cost("gypsumlever/"));
    let charged: u64 = costs
        .map(|cost| cost.prompt_tokens + cost.completion_tokens)
        .sum();
    assert!(charged <= budget, "engines charged {charged} of {budget}");
    let (_, entry) = cluster.get(0, "/v1/contracts/sirag").await;
    let counted = entry["spent_micros"].as_u64().unwrap_or(0)
        + entry["reserved_micros"].as_u64().unwrap_or(0);
    assert!(
        counted >= charged && counted <= budget,
        "counted {counted}, charged {charged}"
    );
}

/// Guards against refused calls that use up the budget although nothing was sent.
#[actix_web::test]
async fn budget_untouched_by_refusals() {
    let cluster = Cluster::start(Shape::default()).await;
    assert_eq!(cluster.publish(0, 1, &contract(3_000, 1)).await.0, 200);
    cluster.wait_contract("sirag", 1).await;
    let program = cluster.program(0).await;
    cluster.engines[0].set_faults(engine::Faults {
        refuse: true,
        ..engine::Faults::default()
    });
    for at in 0..40 {
        let (status, body) = cluster
            .say(0, &program, &format!("refused-{at}"), "q")
            .await;
        assert_eq!((status, &body["ran"]), (503, &json!("no")), "{body}");
    }
    cluster.engines[0].set_faults(engine::Faults::default());
    let (status, body) = cluster.say(0, &program, "k", "q").await;
    assert_eq!(status, 200, "{body}");
}

/// Guards against an upstream that is leaving and still gets new work after a few seconds.
#[actix_web::test]
async fn departure_of_an_engine() {
    let mut shape = zones(2);
    shape.engines = 2;
    let cluster = Cluster::start(shape).await;
    cluster.with_contract().await;
    cluster.engines[0].set_faults(engine::Faults {
        leaving: true,
        ..engine::Faults::default()
    });
    sleep(Duration::from_secs(3)).await;
    let before = cluster.engines[0].stats().received;
    let calls = (0..60).map(|at| {
        let cluster = &cluster;
        async move {
            let program = cluster.program(at % 6).await;
            cluster.say(at % 6, &program, "k", "q").await.0
        }
    });
    let answers = join_all(calls).await;
    assert!(answers.iter().all(|status| *status == 200), "{answers:?}");
    assert_eq!(
        cluster.engines[0].stats().received,
        before,
        "a leaving engine got new work"
    );
}

/// Returns the first kept offset and the end offset of the log.
fn bounds(cluster: &Cluster) -> (u64, u64) {
    cluster.log.stats().topics["gypsumlever"].partitions[0]
}

/// Guards against contracts and programs that are lost when the log's records expire: an instance
/// that starts later knows them, with their versions, from what was written again.
#[actix_web::test]
async fn retention_of_the_log() {
    let retention = log::Retention {
        age_ms: Some(30_000),
        ..log::Retention::default()
    };
    let mut cluster = Cluster::start(Shape {
        instances: 2,
        log: log::Config {
            retention,
            ..log::Config::default()
        },
        // Live state is written again after 20 s; the log keeps records for less than it promised.
        retention: "1m",
        ..Shape::default()
    })
    .await;
    cluster.with_contract().await;
    assert_eq!(cluster.publish(0, 2, &contract(5_000_000, 7)).await.0, 200);
    let program = cluster.program(0).await;
    let (status, said) = cluster.say(0, &program, "k0", "q").await;
    assert_eq!(status, 200, "{said}");
    let (_, written) = bounds(&cluster);
    cluster.nodes[1].kill();
    sleep(Duration::from_secs(45)).await;
    let (begin, _) = bounds(&cluster);
    assert!(
        begin >= written,
        "original records are kept still: {begin} < {written}"
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
    assert_eq!(history["turns"][0]["answer"], said["content"], "{history}");
    let (status, body) = cluster.say(1, &program, "k1", "q").await;
    assert_eq!((status, &body["turn"]), (200, &json!(1)), "{body}");
}

/// Guards against work that stops although it needs no agreement, and against lost turns, while
/// the log is down and instances are replaced.
#[actix_web::test]
async fn outage_of_the_log() {
    for kind in [Outage::Refuse, Outage::Silent] {
        let mut cluster = Cluster::start(zones(1)).await;
        cluster.with_contract().await;
        let program = cluster.program(0).await;
        let mut said = Vec::new();
        for turn in 0..2 {
            let (status, body) = cluster.say(0, &program, &format!("k{turn}"), "q").await;
            assert_eq!(status, 200, "{body}");
            said.push(body["content"].clone());
        }
        cluster.log.set_faults(outage(kind));
        // A silent log is noticed within 4 s: the long poll of 1 s, the step of 2 s and the
        // detection time of 0.5 s.
        sleep(Duration::from_secs(4)).await;
        let asked = Instant::now();
        let (status, body) = cluster.capture(0, &program, "deposit").await;
        assert_eq!(
            (status, &body["reason"]),
            (503, &json!("log_unavailable")),
            "{kind:?}: {body}"
        );
        assert_eq!(body["ran"], "no");
        assert!(body["retry_after_ms"].as_u64().is_some());
        assert!(
            asked.elapsed() < Duration::from_secs(2),
            "{kind:?}: took {:?}",
            asked.elapsed()
        );
        assert_eq!(cluster.captures("deposit"), 0);
        for turn in 2..4 {
            let (status, body) = cluster.say(0, &program, &format!("k{turn}"), "q").await;
            assert_eq!(status, 200, "{kind:?}: {body}");
            assert_eq!(body["durability"], "replicated", "{kind:?}: {body}");
            said.push(body["content"].clone());
        }
        let home = {
            let (_, rows) = cluster.get(0, "/v1/programs").await;
            let name = rows[0]["home"].as_str().expect("a home").to_owned();
            cluster
                .nodes
                .iter()
                .position(|node| node.name == name)
                .expect("an instance")
        };
        cluster.nodes[home].kill();
        let entry = (home + 1) % 3;
        cluster.log.set_faults(log::Faults::default());
        let mut answers = Vec::new();
        for _ in 0..100 {
            sleep(Duration::from_millis(100)).await;
            let (_, history) = cluster.get(entry, &format!("/v1/programs/{program}")).await;
            let turns = history["turns"].as_array().cloned().unwrap_or_default();
            answers = turns.iter().map(|turn| turn["answer"].clone()).collect();
            let (_, rows) = cluster.get(entry, "/v1/programs").await;
            if rows[0]["turns"] == 4 {
                break;
            }
        }
        assert_eq!(answers, said, "{kind:?}: a replicated turn was lost");
        let (status, body) = cluster.capture(entry, &program, "deposit").await;
        assert_eq!(
            (status, &body["turn"]),
            (200, &json!(4)),
            "{kind:?}: {body}"
        );
        assert_eq!(cluster.captures("deposit"), 1);
    }
}
