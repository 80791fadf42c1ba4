//! Tests of the HTTP API for callers, on real processes: cancellation, streaming of running calls,
//! child programs and keys.

mod support;

use std::time::Duration;

use actix_web::rt::{
    spawn,
    time::sleep, //
};
use serde_json::{
    json,
    Value, //
};
use standin::engine;
use support::{
    Cluster,
    Config, //
};

async fn cluster(speed: f64) -> Cluster {
    let engine = engine::Config {
        speed,
        ..engine::Config::default()
    };
    let cluster = Cluster::start(Config {
        instances: 3,
        engine,
        ..Config::default()
    })
    .await;
    cluster.publish_contract().await;
    cluster
}

/// Starts a model call of 16 tokens in the background.
fn start_call(cluster: &Cluster, program: &str) -> actix_web::rt::task::JoinHandle<(u16, Value)> {
    let request = cluster
        .http
        .post(cluster.url(0, &format!("/v1/programs/{program}/calls")));
    let request = request.insert_header(("Idempotency-Key", "k"));
    let body = json!({
        "type": "model", "pool": "saddle-advice", "max_tokens": 16,
        "messages": [{ "role": "user", "content": "q" }],
    });
    spawn(async move {
        let mut answer = request.send_json(&body).await.expect("an answer");
        (
            answer.status().as_u16(),
            answer.json().await.unwrap_or_default(),
        )
    })
}

/// Guards against a cancellation that is lost because it arrives at an instance other than the
/// program's owner, and against one that stops a turn other than the one it names.
#[actix_web::test]
async fn cancel_through_another_instance() {
    let cluster = cluster(0.2).await;
    for instance in 0..3 {
        let program = cluster.start_program(0).await;
        let call = start_call(&cluster, &program);
        sleep(Duration::from_millis(200)).await;
        let delete = |turn: u32| {
            let url = cluster.url(instance, &format!("/v1/programs/{program}/calls/{turn}"));
            cluster.http.delete(url).send()
        };
        let wrong_turn: Value = delete(7).await.expect("sent").json().await.expect("JSON");
        assert_eq!(wrong_turn["cancelled"], false, "turn 7 is not running");
        let found: Value = delete(0).await.expect("sent").json().await.expect("JSON");
        assert_eq!(found["cancelled"], true, "through instance {instance}");
        let (status, body) = call.await.expect("a task");
        assert_eq!(
            (status, &body["reason"]),
            (409, &json!("cancelled")),
            "{body}"
        );
        assert_eq!(body["ran"], "unknown", "the engine had started the call");
    }
}

/// Guards against a running call whose answer can be streamed from the program's owner only.
#[actix_web::test]
async fn follow_through_another_instance() {
    let cluster = cluster(0.5).await;
    let program = cluster.start_program(0).await;
    let call = start_call(&cluster, &program);
    sleep(Duration::from_millis(120)).await;
    let path = format!("/v1/programs/{program}/calls/0");
    let follow = |instance: usize| {
        let request = cluster.http.get(cluster.url(instance, &path));
        let request = request.insert_header(("Accept", "text/event-stream"));
        async move {
            let mut answer = request.send().await.expect("sent");
            String::from_utf8(answer.body().await.expect("body").to_vec()).expect("text")
        }
    };
    let streams = futures_util::future::join_all((0..3).map(follow)).await;
    let (status, body) = call.await.expect("a task");
    assert_eq!(status, 200, "{body}");
    for stream in streams {
        assert!(
            stream.contains("\"offset\":0"),
            "the stream starts at offset 0: {stream}"
        );
        assert!(
            stream.contains(body["content"].as_str().expect("content")),
            "{stream}"
        );
    }
}

/// Guards against child programs that continue after their parent has ended, and against a last
/// answer that is lost when its program ends.
#[actix_web::test]
async fn end_of_a_parent() {
    let cluster = cluster(20.0).await;
    let parent = cluster.start_program(0).await;
    let start = json!({ "customer": "sirag", "parent": parent });
    let (status, child) = cluster.post(1, "/v1/programs", None, &start).await;
    assert_eq!(status, 201, "{child}");
    let child = child["program"].as_str().expect("a program").to_owned();
    let (_, answer) = cluster.call_model(2, &child, "k", "q").await;
    let end = format!("/v1/programs/{parent}/end");
    let (status, body) = cluster.post(1, &end, None, &json!({})).await;
    assert_eq!(status, 200, "{body}");
    let (status, body) = cluster.call_model(0, &child, "late", "q").await;
    assert_eq!(
        (status, &body["reason"]),
        (409, &json!("program_ended")),
        "{body}"
    );
    let (status, body) = cluster
        .get(0, &format!("/v1/programs/{child}/calls/0"))
        .await;
    assert_eq!(
        (status, &body["content"]),
        (200, &answer["content"]),
        "{body}"
    );
    let (status, body) = cluster.post(1, "/v1/programs", None, &start).await;
    assert_eq!(
        (status, &body["reason"]),
        (404, &json!("unknown_program")),
        "{body}"
    );
}

/// Guards against accepting callers without the contract's key, and against running programs of a
/// customer that the old system serves.
#[actix_web::test]
async fn start_table_of_contracts() {
    let cluster = cluster(20.0).await;
    // The digest of "secret".
    let digest = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b";
    let keyed = json!({ "customer": "sirag", "budget_micros": 1_000_000, "key_sha256": digest });
    assert_eq!(cluster.publish(0, 2, &keyed).await.0, 200);
    cluster.wait_contract("sirag", 2).await;
    let cases = [
        (None, 401),
        (Some("Bearer wrong"), 401),
        (Some("secret"), 401),
        (Some("Bearer secret"), 201),
    ];
    for (header, expected) in cases {
        let mut request = cluster.http.post(cluster.url(1, "/v1/programs"));
        if let Some(header) = header {
            request = request.insert_header(("Authorization", header));
        }
        let body = json!({ "customer": "sirag" });
        let status = request
            .send_json(&body)
            .await
            .expect("sent")
            .status()
            .as_u16();
        assert_eq!(status, expected, "{header:?}");
    }
    let old = json!({ "customer": "sirag", "budget_micros": 1_000_000, "served_by": "old" });
    assert_eq!(cluster.publish(2, 3, &old).await.0, 200);
    cluster.wait_contract("sirag", 3).await;
    let body = json!({ "customer": "sirag" });
    let (status, body) = cluster.post(1, "/v1/programs", None, &body).await;
    assert_eq!(
        (status, &body["reason"]),
        (421, &json!("customer_elsewhere")),
        "{body}"
    );
    assert_eq!(body["ran"], "no");
}
