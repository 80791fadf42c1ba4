//! Limits of contracts against programs that loop, stay, or ask for too much.

mod support;

use std::time::Duration;

use actix_web::rt::time::sleep;
use serde_json::{
    json,
    Value, //
};
use support::{
    Cluster,
    Shape, //
};

async fn cluster(limits: Value) -> Cluster {
    let cluster = Cluster::start(Shape {
        instances: 2,
        ..Shape::default()
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

/// Guards against programs that loop without end: the call that reaches a limit says that the
/// program has stopped, and why; later calls do not run.
#[actix_web::test]
async fn loop_table_of_limits() {
    let cases = [
        (json!({ "turns": 3 }), "turn_limit", "TurnLimit"),
        (json!({ "tokens": 60 }), "token_limit", "TokenLimit"),
        (json!({ "spend_micros": 400 }), "spend_limit", "SpendLimit"),
    ];
    for (limits, stopped, named) in cases {
        let cluster = cluster(limits.clone()).await;
        let program = cluster.program(0).await;
        let mut last = (0, Value::Null);
        let mut answers = 0;
        for turn in 0..30 {
            last = cluster
                .say(turn % 2, &program, &format!("k{turn}"), "again")
                .await;
            answers += usize::from(last.0 == 200);
            if last.0 != 200 || !last.1["stopped"].is_null() {
                break;
            }
        }
        let (status, body) = last;
        let told = body["stopped"] == stopped
            || body["detail"]
                .as_str()
                .is_some_and(|text| text.contains(named));
        assert!(told, "{limits}: {status} {body}");
        assert!(answers < 30, "{limits} did not stop the program");
        let received: u64 = cluster
            .engines
            .iter()
            .map(|engine| engine.stats().received)
            .sum();
        let (status, body) = cluster.say(1, &program, "late", "again").await;
        assert_eq!(
            (status, &body["reason"], &body["ran"]),
            (409, &json!("program_ended"), &json!("no"))
        );
        let after: u64 = cluster
            .engines
            .iter()
            .map(|engine| engine.stats().received)
            .sum();
        assert_eq!(after, received, "{limits}: a stopped program ran again");
    }
}

/// Guards against programs whose callers never end them: their engine memory and their place are
/// freed once their time is over.
#[actix_web::test]
async fn overdue_program_is_ended() {
    let cluster = cluster(json!({ "seconds": 2 })).await;
    let mut programs = Vec::new();
    for _ in 0..3 {
        let program = cluster.program(0).await;
        assert_eq!(cluster.say(0, &program, "k", "q").await.0, 200);
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
    let (status, body) = cluster.say(1, &programs[0], "late", "q").await;
    assert_eq!(
        (status, &body["reason"]),
        (409, &json!("program_ended")),
        "{body}"
    );
    cluster.program(1).await;
}

/// Guards against input from outside that is lost, misread or stops the process.
#[actix_web::test]
async fn input_table_of_faults() {
    let cluster = cluster(json!({})).await;
    let program = cluster.program(0).await;
    let calls = format!("/v1/programs/{program}/calls");
    let model = |extra: Value| {
        let mut call = json!({
            "type": "model", "pool": "saddle-advice",
            "messages": [{ "role": "user", "content": "q" }],
        });
        let fields = extra.as_object().cloned().unwrap_or_default();
        call.as_object_mut().expect("an object").extend(fields);
        call
    };
    let foreign = "cairo-a.01a23da77a9271a7bed4891e4d47abda";
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
            json!({ "customer": "sirag", "parent": foreign }),
            404,
            "unknown_program",
        ),
        (
            "old program",
            format!("/v1/programs/{foreign}x/calls"),
            model(json!({})),
            404,
            "unknown_program",
        ),
        (
            "bad program",
            "/v1/programs/%20/calls".to_owned(),
            model(json!({})),
            400,
            "bad_request",
        ),
        (
            "other customer",
            calls.clone(),
            model(json!({ "customer": "cascade" })),
            404,
            "unknown_program",
        ),
        (
            "unknown pool",
            calls.clone(),
            model(json!({ "pool": "none" })),
            400,
            "unknown_pool",
        ),
        (
            "no messages",
            calls.clone(),
            model(json!({ "messages": [] })),
            400,
            "bad_request",
        ),
        (
            "too many tokens",
            calls.clone(),
            model(json!({ "max_tokens": 4_000_000 })),
            400,
            "bad_request",
        ),
        (
            "unknown operation",
            calls.clone(),
            json!({ "type": "tool", "pool": "workshop-orders", "operation": "x", "turn": 0 }),
            400,
            "unknown_pool",
        ),
        (
            "no key",
            calls.clone(),
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
            calls.clone(),
            model(json!({ "turn": 9 })),
            409,
            "out_of_order",
        ),
    ];
    for (name, path, body, status, reason) in cases {
        let (found, answer) = cluster.post(0, &path, None, &body).await;
        assert_eq!(
            (found, &answer["reason"]),
            (status, &json!(reason)),
            "{name}: {answer}"
        );
        assert_eq!(answer["ran"], "no", "{name}");
    }
    let bodies: [(&str, Vec<u8>); 4] = [
        ("not JSON", b"{".to_vec()),
        ("not UTF-8", vec![0xff, 0xfe, 0x00]),
        ("oversized", vec![b'a'; 3 << 20]),
        ("deep", vec![b'['; 100_000]),
    ];
    for (name, bytes) in bodies {
        let sent = cluster
            .http
            .post(cluster.url(0, &calls))
            .send_body(bytes)
            .await;
        // An oversized body may be refused by closing the connection before it was read.
        if let Ok(answer) = sent {
            assert!(
                answer.status().is_client_error(),
                "{name}: {}",
                answer.status()
            );
        }
    }
    let (status, body) = cluster.say(0, &program, "k", "still served").await;
    assert_eq!(status, 200, "{body}");
    assert!(
        !cluster.nodes[0].log().contains("panicked"),
        "{}",
        cluster.nodes[0].log()
    );
}
