//! End-to-end test with daemon processes: contract, program, dependent calls, history and end.

mod support;

use serde_json::json;
use support::{
    Cluster,
    Config, //
};

/// Guards against a regression anywhere between caller, instances, log and upstreams.
#[actix_web::test]
async fn path_one_program() {
    let cluster = Cluster::start(Config {
        instances: 3,
        engines: 2,
        ..Config::default()
    })
    .await;
    cluster.publish_contract().await;
    let program = cluster.start_program(0).await;
    let mut texts = Vec::new();
    for turn in 0..3 {
        let (status, body) = cluster
            .call_model(turn, &program, &format!("k{turn}"), "girth?")
            .await;
        assert_eq!(status, 200, "{body}");
        assert_eq!(body["turn"], turn);
        assert_eq!(body["durability"], "committed");
        texts.push(body["content"].as_str().expect("content").to_owned());
    }
    assert_ne!(
        texts[0], texts[1],
        "the second prompt contains the first turn"
    );
    let (status, body) = cluster.capture_deposit(1, &program, "deposit-1").await;
    assert_eq!(status, 200, "{body}");
    assert_eq!(cluster.count_captures("deposit-1"), 1);
    let (status, body) = cluster.get(2, &format!("/v1/programs/{program}")).await;
    assert_eq!(status, 200, "{body}");
    assert_eq!(body["turns"].as_array().map(Vec::len), Some(4));
    let path = format!("/v1/programs/{program}/end");
    let (status, body) = cluster.post(0, &path, None, &json!({})).await;
    assert_eq!(status, 200, "{body}");
    let (status, body) = cluster.call_model(1, &program, "late", "more?").await;
    assert_eq!(
        (status, &body["reason"]),
        (409, &json!("program_ended")),
        "{body}"
    );
}
