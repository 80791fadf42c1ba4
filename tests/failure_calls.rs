//! Order of calls, answers, refusals and engine memory under failures, with daemon processes.

mod support;

use std::time::Duration;

use actix_web::rt::time::sleep;
use futures_util::future::join_all;
use serde_json::json;
use standin::{
    engine,
    service, //
};
use support::{
    Cluster,
    Config, //
};

/// Guards against duplicate turns and turns out of order when calls of one program arrive at
/// several instances: a call becomes one turn, and its retries get the same answer.
#[actix_web::test]
async fn order_duplicates_and_gaps() {
    let cluster = Cluster::start(Config {
        instances: 3,
        engines: 2,
        ..Config::default()
    })
    .await;
    cluster.publish_contract().await;
    let program = cluster.start_program(0).await;
    let calls = (0..9).map(|instance| cluster.call_model(instance % 3, &program, "same", "first"));
    let answers = join_all(calls).await;
    for (status, body) in &answers {
        assert_eq!((*status, &body["turn"]), (200, &json!(0)), "{body}");
        assert_eq!(body["content"], answers[0].1["content"]);
    }
    let early_call = json!({
        "type": "model", "pool": "saddle-advice", "turn": 5,
        "messages": [{ "role": "user", "content": "too early" }],
    });
    let path = format!("/v1/programs/{program}/calls");
    let (status, body) = cluster.post(1, &path, None, &early_call).await;
    assert_eq!(
        (status, &body["reason"]),
        (409, &json!("out_of_order")),
        "{body}"
    );
    assert_eq!(body["ran"], "no");
    let (status, body) = cluster
        .call_model(2, &program, "same", "another text")
        .await;
    assert_eq!(
        (status, &body["reason"]),
        (422, &json!("key_reused")),
        "{body}"
    );
    let received: u64 = cluster
        .engines
        .iter()
        .map(|engine| engine.stats().received)
        .sum();
    assert_eq!(received, 1, "only one call reaches an engine");
}

/// Guards against answers that are lost with the caller's connection: the call continues, and its
/// complete text can be fetched, or streamed from an offset.
#[actix_web::test]
async fn answer_after_connection_lost() {
    let slow_engine = engine::Config {
        speed: 1.0,
        ..engine::Config::default()
    };
    let cluster = Cluster::start(Config {
        instances: 2,
        engine: slow_engine,
        ..Config::default()
    })
    .await;
    cluster.publish_contract().await;
    let program = cluster.start_program(0).await;
    let interrupted = actix_web::rt::time::timeout(
        Duration::from_millis(60),
        cluster.call_model(0, &program, "k", "long question"),
    );
    assert!(
        interrupted.await.is_err(),
        "the caller disconnects before the answer"
    );
    let path = format!("/v1/programs/{program}/calls/0");
    let mut fetched = (0, json!(null));
    for _ in 0..100 {
        fetched = cluster.get(1, &path).await;
        if fetched.0 == 200 {
            break;
        }
        sleep(Duration::from_millis(50)).await;
    }
    let (status, body) = fetched;
    assert_eq!(status, 200, "{body}");
    let (_, repeated) = cluster.call_model(1, &program, "k", "long question").await;
    assert_eq!(
        repeated["content"], body["content"],
        "a retry gets the same answer"
    );
    let text = body["content"].as_str().expect("content");
    let request = cluster
        .http
        .get(cluster.url(0, &format!("{path}?offset=5")));
    let mut response = request
        .insert_header(("Accept", "text/event-stream"))
        .send()
        .await
        .expect("stream");
    let stream = String::from_utf8(response.body().await.expect("body").to_vec()).expect("text");
    let expected = json!({ "offset": 5, "text": &text[5..] }).to_string();
    assert!(stream.contains(&expected), "{stream}");
}

/// Guards against responses that say "not run" for calls that an upstream received.
#[actix_web::test]
async fn refusal_table_of_faults() {
    let cluster = Cluster::start(Config::default()).await;
    cluster.publish_contract().await;
    let cases = [
        (
            service::Kind::BreakBefore,
            504,
            "outcome_unknown",
            "unknown",
        ),
        (service::Kind::BreakAfter, 504, "outcome_unknown", "unknown"),
        (
            service::Kind::BreakAnswer,
            504,
            "outcome_unknown",
            "unknown",
        ),
        (
            service::Kind::Unavailable(1),
            504,
            "outcome_unknown",
            "unknown",
        ),
        (service::Kind::Error, 504, "outcome_unknown", "unknown"),
        (service::Kind::ErrorAfter, 504, "outcome_unknown", "unknown"),
    ];
    for (index, (kind, status, reason, ran)) in cases.into_iter().enumerate() {
        let program = cluster.start_program(0).await;
        let key = format!("deposit-{index}");
        cluster.services[0].set_faults(service::Faults {
            all: Some(kind.into()),
            ..service::Faults::default()
        });
        let (found, body) = cluster.capture_deposit(0, &program, &key).await;
        assert_eq!(
            (found, &body["reason"]),
            (status, &json!(reason)),
            "{kind:?}: {body}"
        );
        assert_eq!(body["ran"], ran, "{kind:?}");
        cluster.services[0].set_faults(service::Faults::default());
        let (found, body) = cluster.capture_deposit(0, &program, &key).await;
        assert_eq!(
            (found, &body["ran"]),
            (504, &json!("unknown")),
            "retry after {kind:?}: {body}"
        );
        assert!(
            cluster.count_captures(&key) <= 1,
            "{kind:?}: the call was sent more than once"
        );
    }
    // The service refuses connections, so the call certainly did not run.
    let program = cluster.start_program(0).await;
    cluster.services[0].set_faults(service::Faults {
        network: standin::server::Network {
            outage: Some(standin::server::Outage::Refuse),
            ..Default::default()
        },
        ..service::Faults::default()
    });
    let (_, body) = cluster.capture_deposit(0, &program, "refused").await;
    assert_eq!(body["ran"], "no", "{body}");
    cluster.services[0].set_faults(service::Faults::default());
    assert_eq!(cluster.count_captures("refused"), 0);
    let (status, body) = cluster.capture_deposit(0, &program, "refused").await;
    assert_eq!(
        status, 200,
        "a call that did not run can be retried: {body}"
    );
    assert_eq!(cluster.count_captures("refused"), 1);
}

/// Guards against engine memory that is not released when a program ends or its owner is killed
/// before the release, and against releasing memory of active programs or of the old system.
#[actix_web::test]
async fn memory_released_after_end_and_kill() {
    let extra = "timings: { balancer_lag: 300ms, sweep: 300ms, sweep_grace: 1s }\n";
    let mut cluster = Cluster::start(Config {
        instances: 3,
        extra: extra.into(),
        ..Config::default()
    })
    .await;
    cluster.publish_contract().await;
    cluster.engines[0].state().set_foreign(engine::Foreign {
        slots: vec![("old-system/7".into(), 100)],
        ..engine::Foreign::default()
    });
    let active = cluster.start_program(0).await;
    let ended = cluster.start_program(0).await;
    let killed = cluster.start_program(0).await;
    for program in [&active, &ended, &killed] {
        let (status, body) = cluster.call_model(0, program, "k", "hello").await;
        assert_eq!(status, 200, "{body}");
    }
    let held = |cluster: &Cluster| cluster.engines[0].stats().held;
    let key = |program: &str| format!("gypsumlever/{program}");
    assert!(held(&cluster).contains_key(&key(&ended)));
    let (status, _) = cluster
        .post(1, &format!("/v1/programs/{ended}/end"), None, &json!({}))
        .await;
    assert_eq!(status, 200);
    let (status, _) = cluster
        .post(1, &format!("/v1/programs/{killed}/end"), None, &json!({}))
        .await;
    assert_eq!(status, 200);
    for node in &mut cluster.nodes[..2] {
        node.kill();
    }
    for _ in 0..200 {
        let held_now = held(&cluster);
        if !held_now.contains_key(&key(&ended)) && !held_now.contains_key(&key(&killed)) {
            break;
        }
        sleep(Duration::from_millis(50)).await;
    }
    let held_now = held(&cluster);
    assert!(
        !held_now.contains_key(&key(&ended)) && !held_now.contains_key(&key(&killed)),
        "{held_now:?}"
    );
    assert!(
        held_now.contains_key(&key(&active)),
        "memory of an active program was released"
    );
    assert!(
        held_now.contains_key("old-system/7"),
        "memory of the old system was released"
    );
}
