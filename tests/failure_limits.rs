//! Contract limits on programs that loop, never end or exceed their quota, and invalid input.

mod support;

use std::time::Duration;

use actix_web::rt::time::sleep;
use serde_json::{
    json,
    Value, //
};
use support::{
    Cluster,
    Config, //
};

async fn cluster(limits: Value) -> Cluster {
    let cluster = Cluster::start(Config {
        instances: 2,
        ..Config::default()
    })
    .await;
    let contract = json!({
        "customer": "sirag", "budget_micros": 1_000_000_000u64, "programs": 3, "limits": limits,
    });
    let (status, body) = cluster.publish(0, 1, &contract).await;
    assert_eq!(status, 200, "{body}");
    cluster.wait_contract("sirag", 1).await;
    cluster
}

/// Guards against programs that loop without end: the call that reaches a limit reports that the
/// program has stopped and which limit it reached; later calls do not run.
#[actix_web::test]
async fn loop_table_of_limits() {
    let cases = [
        (json!({ "turns": 3 }), "turn_limit", "TurnLimit"),
        (json!({ "tokens": 60 }), "token_limit", "TokenLimit"),
        (json!({ "spend_micros": 400 }), "spend_limit", "SpendLimit"),
    ];
    for (limits, stopped, limit_name) in cases {
        let cluster = cluster(limits.clone()).await;
        let program = cluster.start_program(0).await;
        let mut last_response = (0, Value::Null);
        let mut answers = 0;
        for turn in 0..30 {
            last_response = cluster
                .call_model(turn % 2, &program, &format!("k{turn}"), "again")
                .await;
            answers += usize::from(last_response.0 == 200);
            if last_response.0 != 200 || !last_response.1["stopped"].is_null() {
                break;
            }
        }
        let (status, body) = last_response;
        let reported = body["stopped"] == stopped
            || body["detail"]
                .as_str()
                .is_some_and(|text| text.contains(limit_name));
        assert!(reported, "{limits}: {status} {body}");
        assert!(answers < 30, "{limits} did not stop the program");
        let received_before: u64 = cluster
            .engines
            .iter()
            .map(|engine| engine.stats().received)
            .sum();
        let (status, body) = cluster.call_model(1, &program, "late", "again").await;
        assert_eq!(
            (status, &body["reason"], &body["ran"]),
            (409, &json!("program_ended"), &json!("no"))
        );
        let received_after: u64 = cluster
            .engines
            .iter()
            .map(|engine| engine.stats().received)
            .sum();
        assert_eq!(
            received_after, received_before,
            "{limits}: a call of a stopped program ran"
        );
    }
}

/// Guards against programs whose callers never end them: once their time limit has passed, their
/// engine memory is released and they no longer count towards the limit of programs.
#[actix_web::test]
async fn overdue_program_is_ended() {
    let cluster = cluster(json!({ "seconds": 2 })).await;
    let mut programs = Vec::new();
    for _ in 0..3 {
        let program = cluster.start_program(0).await;
        assert_eq!(cluster.call_model(0, &program, "k", "q").await.0, 200);
        programs.push(program);
    }
    let body = json!({ "customer": "sirag" });
    let (status, refused) = cluster.post(0, "/v1/programs", None, &body).await;
    assert_eq!(
        (status, &refused["reason"]),
        (429, &json!("too_many_programs")),
        "{refused}"
    );
    assert!(refused["retry_after_ms"].as_u64().is_some());
    for _ in 0..100 {
        sleep(Duration::from_millis(100)).await;
        if cluster.engines[0].stats().held.is_empty() {
            break;
        }
    }
    assert!(
        cluster.engines[0].stats().held.is_empty(),
        "{:?}",
        cluster.engines[0].stats().held
    );
    let (status, body) = cluster.call_model(1, &programs[0], "late", "q").await;
    assert_eq!(
        (status, &body["reason"]),
        (409, &json!("program_ended")),
        "{body}"
    );
    cluster.start_program(1).await;
}

/// Guards against invalid requests that are ignored, misinterpreted or crash the process.
#[actix_web::test]
async fn input_table_of_faults() {
    let cluster = cluster(json!({})).await;
    let program = cluster.start_program(0).await;
    let calls_path = format!("/v1/programs/{program}/calls");
    let model_call = |extra: Value| {
        let mut call = json!({
            "type": "model", "pool": "saddle-advice",
            "messages": [{ "role": "user", "content": "q" }],
        });
        let fields = extra.as_object().cloned().unwrap_or_default();
        call.as_object_mut().expect("an object").extend(fields);
        call
    };
    let unknown = "cairo-a.01a23da77a9271a7bed4891e4d47abda";
    let cases = [
        (
            "unknown customer",
            "/v1/programs".to_owned(),
            json!({ "customer": "nobody" }),
            404,
            "unknown_customer",
        ),
        (
            "bad customer",
            "/v1/programs".to_owned(),
            json!({ "customer": "a b" }),
            400,
            "bad_request",
        ),
        (
            "unknown field",
            "/v1/programs".to_owned(),
            json!({ "customer": "sirag", "x": 1 }),
            400,
            "bad_request",
        ),
        (
            "deadline in the past",
            "/v1/programs".to_owned(),
            json!({ "customer": "sirag", "deadline_ms": 0 }),
            503,
            "deadline_unreachable",
        ),
        (
            "unknown parent",
            "/v1/programs".to_owned(),
            json!({ "customer": "sirag", "parent": unknown }),
            404,
            "unknown_program",
        ),
        (
            "old program",
            format!("/v1/programs/{unknown}x/calls"),
            model_call(json!({})),
            404,
            "unknown_program",
        ),
        (
            "bad program",
            "/v1/programs/%20/calls".to_owned(),
            model_call(json!({})),
            400,
            "bad_request",
        ),
        (
            "other customer",
            calls_path.clone(),
            model_call(json!({ "customer": "cascade" })),
            404,
            "unknown_program",
        ),
        (
            "unknown pool",
            calls_path.clone(),
            model_call(json!({ "pool": "none" })),
            400,
            "unknown_pool",
        ),
        (
            "no messages",
            calls_path.clone(),
            model_call(json!({ "messages": [] })),
            400,
            "bad_request",
        ),
        (
            "too many tokens",
            calls_path.clone(),
            model_call(json!({ "max_tokens": 4_000_000 })),
            400,
            "bad_request",
        ),
        (
            "unknown operation",
            calls_path.clone(),
            json!({ "type": "tool", "pool": "workshop-orders", "operation": "x", "turn": 0 }),
            400,
            "unknown_pool",
        ),
        (
            "no key",
            calls_path.clone(),
            json!({ "type": "tool", "pool": "workshop-orders", "operation": "capture-deposit" }),
            400,
            "bad_request",
        ),
        (
            "lookup without idempotence",
            "/v1/calls".to_owned(),
            json!({ "type": "tool", "customer": "sirag", "pool": "workshop-orders", "operation": "capture-deposit" }),
            400,
            "bad_request",
        ),
        (
            "unknown route",
            "/v2/calls".to_owned(),
            json!({}),
            404,
            "not_found",
        ),
        (
            "too early",
            calls_path.clone(),
            model_call(json!({ "turn": 9 })),
            409,
            "out_of_order",
        ),
    ];
    for (name, path, body, status, reason) in cases {
        let (actual, response) = cluster.post(0, &path, None, &body).await;
        assert_eq!(
            (actual, &response["reason"]),
            (status, &json!(reason)),
            "{name}: {response}"
        );
        assert_eq!(response["ran"], "no", "{name}");
    }
    let bodies: [(&str, Vec<u8>); 4] = [
        ("not JSON", b"{".to_vec()),
        ("not UTF-8", vec![0xff, 0xfe, 0x00]),
        ("oversized", vec![b'a'; 3 << 20]),
        ("deep", vec![b'['; 100_000]),
    ];
    for (name, bytes) in bodies {
        let result = cluster
            .http
            .post(cluster.url(0, &calls_path))
            .send_body(bytes)
            .await;
        // The daemon may refuse an oversized body by closing the connection before reading it.
        if let Ok(response) = result {
            assert!(
                response.status().is_client_error(),
                "{name}: {}",
                response.status()
            );
        }
    }
    let (status, body) = cluster.call_model(0, &program, "k", "still served").await;
    assert_eq!(status, 200, "{body}");
    assert!(
        !cluster.nodes[0].log().contains("panicked"),
        "{}",
        cluster.nodes[0].log()
    );
}
