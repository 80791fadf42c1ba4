//! Order, answers, refusals and engine memory under failures, on real processes.

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
    Shape, //
};

/// Guards against duplicated and reordered calls that reach a program through several instances:
/// one turn each, in order, and the same answer for repeats.
#[actix_web::test]
async fn order_duplicates_and_gaps() {
    let cluster = Cluster::start(Shape {
        instances: 3,
        engines: 2,
        ..Shape::default()
    })
    .await;
    cluster.with_contract().await;
    let program = cluster.program(0).await;
    let calls = (0..9).map(|at| cluster.say(at % 3, &program, "same", "first"));
    let answers = join_all(calls).await;
    for (status, body) in &answers {
        assert_eq!((*status, &body["turn"]), (200, &json!(0)), "{body}");
        assert_eq!(body["content"], answers[0].1["content"]);
    }
    let later = json!({
        "type": "model", "pool": "saddle-advice", "turn": 5,
        "messages": [{ "role": "user", "content": "too early" }],
    });
    let path = format!("/v1/programs/{program}/calls");
    let (status, body) = cluster.post(1, &path, None, &later).await;
    assert_eq!(
        (status, &body["reason"]),
        (409, &json!("out_of_order")),
        "{body}"
    );
    assert_eq!(body["ran"], "no");
    let (status, body) = cluster.say(2, &program, "same", "another text").await;
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
    assert_eq!(received, 1, "only the first call may reach an engine");
}

/// Guards against answers that are lost with the caller's connection: the call goes on, and its
/// whole text can be fetched and resumed at an offset.
#[actix_web::test]
async fn answer_after_connection_lost() {
    let slow = engine::Config {
        speed: 1.0,
        ..engine::Config::default()
    };
    let cluster = Cluster::start(Shape {
        instances: 2,
        engine: slow,
        ..Shape::default()
    })
    .await;
    cluster.with_contract().await;
    let program = cluster.program(0).await;
    let lost = actix_web::rt::time::timeout(
        Duration::from_millis(60),
        cluster.say(0, &program, "k", "long question"),
    );
    assert!(lost.await.is_err(), "the caller leaves before the answer");
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
    let (_, repeated) = cluster.say(1, &program, "k", "long question").await;
    assert_eq!(
        repeated["content"], body["content"],
        "a repeat gets the same answer"
    );
    let text = body["content"].as_str().expect("content");
    let request = cluster
        .http
        .get(cluster.url(0, &format!("{path}?offset=5")));
    let mut rest = request
        .insert_header(("Accept", "text/event-stream"))
        .send()
        .await
        .expect("stream");
    let stream = String::from_utf8(rest.body().await.expect("body").to_vec()).expect("text");
    let wanted = json!({ "offset": 5, "text": &text[5..] }).to_string();
    assert!(stream.contains(&wanted), "{stream}");
}

/// Guards against "not run" answers for work that an upstream received.
#[actix_web::test]
async fn refusal_table_of_faults() {
    let cluster = Cluster::start(Shape::default()).await;
    cluster.with_contract().await;
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
    for (at, (kind, status, reason, ran)) in cases.into_iter().enumerate() {
        let program = cluster.program(0).await;
        let key = format!("deposit-{at}");
        cluster.services[0].set_faults(service::Faults {
            all: Some(kind.into()),
            ..service::Faults::default()
        });
        let (found, body) = cluster.capture(0, &program, &key).await;
        assert_eq!(
            (found, &body["reason"]),
            (status, &json!(reason)),
            "{kind:?}: {body}"
        );
        assert_eq!(body["ran"], ran, "{kind:?}");
        cluster.services[0].set_faults(service::Faults::default());
        let (found, body) = cluster.capture(0, &program, &key).await;
        assert_eq!(
            (found, &body["ran"]),
            (504, &json!("unknown")),
            "{kind:?} repeated: {body}"
        );
        assert!(cluster.captures(&key) <= 1, "{kind:?} was sent twice");
    }
    // Nothing listens: the call certainly did not run, and says so.
    let program = cluster.program(0).await;
    cluster.services[0].set_faults(service::Faults {
        network: standin::server::Network {
            outage: Some(standin::server::Outage::Refuse),
            ..Default::default()
        },
        ..service::Faults::default()
    });
    let (_, body) = cluster.capture(0, &program, "refused").await;
    assert_eq!(body["ran"], "no", "{body}");
    cluster.services[0].set_faults(service::Faults::default());
    assert_eq!(cluster.captures("refused"), 0);
    let (status, body) = cluster.capture(0, &program, "refused").await;
    assert_eq!(
        status, 200,
        "a call that did not run may be made again: {body}"
    );
    assert_eq!(cluster.captures("refused"), 1);
}

/// Guards against engine memory that stays held after a program ended, or whose home died before
/// the release, and against a release of the old system's memory.
#[actix_web::test]
async fn memory_released_after_end_and_kill() {
    let extra = "timings: { balancer_lag: 300ms, sweep: 300ms, sweep_grace: 1s }\n";
    let mut cluster = Cluster::start(Shape {
        instances: 3,
        extra: extra.into(),
        ..Shape::default()
    })
    .await;
    cluster.with_contract().await;
    cluster.engines[0].state().set_foreign(engine::Foreign {
        slots: vec![("old-system/7".into(), 100)],
        ..engine::Foreign::default()
    });
    let live = cluster.program(0).await;
    let ended = cluster.program(0).await;
    let killed = cluster.program(0).await;
    for program in [&live, &ended, &killed] {
        let (status, body) = cluster.say(0, program, "k", "hello").await;
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
        let now = held(&cluster);
        if !now.contains_key(&key(&ended)) && !now.contains_key(&key(&killed)) {
            break;
        }
        sleep(Duration::from_millis(50)).await;
    }
    let now = held(&cluster);
    assert!(
        !now.contains_key(&key(&ended)) && !now.contains_key(&key(&killed)),
        "{now:?}"
    );
    assert!(
        now.contains_key(&key(&live)),
        "a live program's memory was released"
    );
    assert!(
        now.contains_key("old-system/7"),
        "memory of the old system was released"
    );
}
