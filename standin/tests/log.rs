//! Guards against a log that differs from the Kafka REST Proxy API, or whose faults have
//! another effect than documented: the tests of the daemon's guarantees rely on both.

mod common;

use std::time::Duration;

use actix_web::rt::time;
use common::{
    Caller,
    Outcome, //
};
use serde_json::{
    json,
    Value, //
};
use standin::{
    log::{
        self,
        Config,
        Faults,
        Log,
        Loss,
        Retention, //
    },
    server::Server,
};

const BINARY: &str = "application/vnd.kafka.binary.v2+json";
const JSON: &str = "application/vnd.kafka.json.v2+json";

fn start(config: Config) -> (Server<Log>, Caller) {
    let server = log::start(config).expect("start");
    let caller = Caller::new(server.address());
    (server, caller)
}

async fn append(caller: &Caller, media: &str, body: Value) -> Outcome {
    let body = body.to_string().into_bytes();
    let headers = [("Content-Type", media)];
    caller
        .send("POST", "/topics/t/partitions/0", &headers, body)
        .await
}

async fn append_one(caller: &Caller) -> Outcome {
    append(caller, BINARY, json!({"records": [{"value": "YQ=="}]})).await
}

async fn records(caller: &Caller, media: &str, query: &str) -> Outcome {
    let path = format!("/consumers/g/instances/i/records?{query}");
    caller
        .send("GET", &path, &[("Accept", media)], Vec::new())
        .await
}

/// Creates a consumer instance that reads partition 0 from `offset`.
async fn create_consumer(caller: &Caller, mut settings: Value, offset: u64) {
    settings["name"] = json!("i");
    assert_eq!(caller.post("/consumers/g", settings).await.status(), 200);
    let place = json!({"topic": "t", "partition": 0});
    let body = json!({"partitions": [place]});
    let path = "/consumers/g/instances/i/assignments";
    assert_eq!(caller.post(path, body).await.status(), 204);
    let body = json!({"offsets": [{"topic": "t", "partition": 0, "offset": offset}]});
    let path = "/consumers/g/instances/i/positions";
    assert_eq!(caller.post(path, body).await.status(), 204);
}

fn offsets(outcome: Outcome) -> Vec<u64> {
    let body = outcome.body();
    let list = body.as_array().expect("array").iter();
    list.map(|record| record["offset"].as_u64().expect("offset"))
        .collect()
}

#[actix_web::test]
async fn produce_binary_and_json() {
    let (_server, caller) = start(Config::default());
    let body = json!({"records": [{"value": "YQ=="}, {"key": "Yg==", "value": null}]});
    let response = append(&caller, BINARY, body).await.body();
    assert_eq!(
        response,
        json!({
            "key_schema_id": null,
            "value_schema_id": null,
            "offsets": [
                {"partition": 0, "offset": 0, "error_code": null, "error": null},
                {"partition": 0, "offset": 1, "error_code": null, "error": null},
            ],
        })
    );
    create_consumer(&caller, json!({"format": "binary"}), 0).await;
    assert_eq!(
        records(&caller, BINARY, "timeout=1000").await.body(),
        json!([
            {"topic": "t", "key": null, "value": "YQ==", "partition": 0, "offset": 0},
            {"topic": "t", "key": "Yg==", "value": null, "partition": 0, "offset": 1},
        ])
    );
    let path = "/consumers/g/instances/i";
    assert_eq!(
        caller.send("DELETE", path, &[], Vec::new()).await.status(),
        204
    );

    let value = json!({"deep": [1, 2.5, "x"]});
    let body = json!({"records": [{"value": value}]});
    append(&caller, JSON, body).await.body();
    create_consumer(&caller, json!({"format": "json"}), 2).await;
    let read = records(&caller, JSON, "timeout=1000").await.body();
    assert_eq!(read[0]["value"], value);
    let bounds = caller.get("/topics/t/partitions/0/offsets").await.body();
    assert_eq!(bounds, json!({"beginning_offset": 0, "end_offset": 3}));
}

#[actix_web::test]
async fn requests_table_of_errors() {
    let (_server, caller) = start(Config {
        topics: vec!["t".to_owned()],
        ..Default::default()
    });
    create_consumer(&caller, json!({"format": "binary"}), 0).await;
    let binary = [("Content-Type", BINARY)];
    let place = r#"{"topic":"t","partition":0,"offset":1}"#;
    let seek = format!(r#"{{"offsets":[{place}]}}"#);
    let other = r#"{"offsets":[{"topic":"t","partition":1,"offset":1}]}"#;
    let none = "/consumers/g/instances/none";
    let seek_none = format!("{none}/positions");
    let existing = "/consumers/g/instances/i/positions";
    let record = r#"{"records":[{"value":"YQ=="}]}"#;
    let table = [
        ("POST", "/topics/u/partitions/0", record, 40_401),
        ("POST", "/topics/t/partitions/1", record, 40_402),
        ("POST", "/topics/t/partitions/0", "{", 400),
        ("POST", "/topics/t/partitions/0", r#"{"rows":[]}"#, 422),
        (
            "POST",
            "/topics/t/partitions/0",
            r#"{"records":[{"value":"*"}]}"#,
            422,
        ),
        ("GET", "/topics/u/partitions/0/offsets", "", 40_401),
        ("GET", "/topics/t/partitions/1/offsets", "", 40_402),
        ("POST", "/consumers/g", r#"{"name":"i"}"#, 40_902),
        ("POST", &seek_none, &seek, 40_403),
        ("POST", existing, other, 40_903),
        ("DELETE", none, "", 40_403),
    ];
    for (method, path, body, code) in table {
        let outcome = caller.send(method, path, &binary, body.into()).await;
        let Outcome::Response(status, response) = outcome else {
            panic!("{method} {path}: {outcome:?}");
        };
        assert_eq!(response["error_code"], code, "{method} {path}");
        let expected = if code > 1_000 { code / 100 } else { code };
        assert_eq!(u64::from(status), expected, "{method} {path}");
    }
    let mismatch = records(&caller, JSON, "timeout=0").await;
    assert_eq!(mismatch.status(), 406);
    let unknown = append(&caller, "text/plain", json!({})).await;
    assert_eq!(unknown.status(), 415);
}

#[actix_web::test]
async fn append_table_of_faults() {
    let lost = |loss| Faults {
        lose_next: 1,
        loss,
        ..Default::default()
    };
    // Faults, outcome for the client, stored records.
    let table = [
        (lost(Loss::Close), Outcome::Closed, 1),
        (lost(Loss::Silent), Outcome::TimedOut, 1),
        (
            Faults {
                append_delay_ms: 1_000,
                ..Default::default()
            },
            Outcome::TimedOut,
            1,
        ),
        (
            Faults {
                answer_delay_ms: 1_000,
                ..Default::default()
            },
            Outcome::TimedOut,
            1,
        ),
        (
            Faults {
                lose_probability: 1.0,
                ..Default::default()
            },
            Outcome::Closed,
            1,
        ),
    ];
    for (faults, expected, stored) in table {
        let (server, _) = start(Config::default());
        server.set_faults(faults.clone());
        let outcome = append_one(&Caller::for_outcome(server.address(), &expected)).await;
        assert_eq!(outcome, expected, "{faults:?}");
        common::wait_until(|| server.records("t", 0).len() == stored).await;
        assert_eq!(server.stats().records, stored as u64, "{faults:?}");
    }
    let table = [
        (lost(Loss::Error), 500, 1),
        (
            Faults {
                fail_next: 1,
                ..Default::default()
            },
            500,
            0,
        ),
        (
            Faults {
                appends_per_second: Some(0),
                ..Default::default()
            },
            429,
            0,
        ),
    ];
    for (faults, status, stored) in table {
        let (server, caller) = start(Config::default());
        server.set_faults(faults.clone());
        let outcome = append_one(&caller).await;
        assert_eq!(outcome.status(), status, "{faults:?}");
        assert_eq!(server.records("t", 0).len(), stored, "{faults:?}");
        server.set_faults(Faults::default());
        assert_eq!(append_one(&caller).await.status(), 200, "after {faults:?}");
    }
}

#[actix_web::test]
async fn append_over_the_rate() {
    let (server, caller) = start(Config {
        appends_per_second: Some(5),
        ..Default::default()
    });
    let mut accepted = 0;
    for _ in 0..100 {
        accepted += u64::from(append_one(&caller).await.status() == 200);
    }
    let stats = server.stats();
    assert_eq!((stats.appends, stats.limited), (accepted, 100 - accepted));
    // The bucket holds one append and refills slowly.
    assert!((1..100).contains(&accepted), "{accepted}");
    server.set_faults(Faults {
        foreign_appends_per_second: 5,
        ..Default::default()
    });
    assert_eq!(append_one(&caller).await.status(), 429);
}

#[actix_web::test]
async fn records_wait_for_an_append() {
    let (server, caller) = start(Config::default());
    create_consumer(&caller, json!({"format": "binary"}), 0).await;
    let started = std::time::Instant::now();
    let (read, ()) = futures_util::future::join(records(&caller, BINARY, "timeout=2500"), async {
        time::sleep(Duration::from_millis(50)).await;
        server.append("t", 0, vec![b"a".to_vec()]);
    })
    .await;
    assert_eq!(offsets(read), [0]);
    assert!(started.elapsed() < Duration::from_secs(2));
    let read = records(&caller, BINARY, "timeout=30").await;
    assert_eq!(read.body(), json!([]));
}

#[actix_web::test]
async fn records_respect_max_bytes() {
    let (server, caller) = start(Config::default());
    server.append("t", 0, vec![vec![7; 100]; 5]);
    create_consumer(&caller, json!({"format": "binary"}), 0).await;
    for expected in [vec![0, 1], vec![2, 3], vec![4]] {
        let read = records(&caller, BINARY, "timeout=100&max_bytes=250").await;
        assert_eq!(offsets(read), expected);
    }
    // A record above the limit is returned alone, so that the reader makes progress.
    let body = json!({"offsets": [{"topic": "t", "partition": 0, "offset": 3}]});
    caller
        .post("/consumers/g/instances/i/positions", body)
        .await;
    let read = records(&caller, BINARY, "timeout=100&max_bytes=10").await;
    assert_eq!(offsets(read), [3]);
}

#[actix_web::test]
async fn records_of_several_partitions() {
    let (server, caller) = start(Config {
        partitions: 3,
        ..Default::default()
    });
    caller
        .post("/consumers/g", json!({"name": "i"}))
        .await
        .body();
    let places = [0, 2].map(|partition| json!({"topic": "t", "partition": partition}));
    let body = json!({"partitions": places});
    let base = "/consumers/g/instances/i";
    let assign = format!("{base}/assignments");
    assert_eq!(caller.post(&assign, body.clone()).await.status(), 204);
    let begin = format!("{base}/positions/beginning");
    assert_eq!(caller.post(&begin, body).await.status(), 204);
    for partition in 0..3 {
        server.append("t", partition, vec![vec![7; 100]; 2]);
    }
    // A busy partition must not starve the others when reads are small.
    let mut order = Vec::new();
    for _ in 0..4 {
        let read = records(&caller, BINARY, "timeout=100&max_bytes=100")
            .await
            .body();
        order.push((read[0]["partition"].clone(), read[0]["offset"].clone()));
    }
    let expected = [(0, 0), (2, 0), (0, 1), (2, 1)];
    let expected = expected.map(|(partition, offset)| (json!(partition), json!(offset)));
    assert_eq!(order, expected);
}

#[actix_web::test]
async fn records_out_of_range() {
    // Reset policy, position, offsets read or error status.
    let table = [
        ("earliest", 0, Ok(vec![2, 3])),
        ("earliest", 3, Ok(vec![3])),
        ("earliest", 9, Ok(vec![2, 3])),
        ("latest", 0, Ok(vec![])),
        ("none", 0, Err(500)),
        ("none", 4, Ok(vec![])),
    ];
    for (reset, offset, expected) in table {
        let (server, caller) = start(Config::default());
        server.append("t", 0, vec![b"a".to_vec(); 4]);
        server.trim("t", 0, 2);
        let settings = json!({"format": "binary", "auto.offset.reset": reset});
        create_consumer(&caller, settings, offset).await;
        let outcome = records(&caller, BINARY, "timeout=20").await;
        match expected {
            Ok(expected) => assert_eq!(offsets(outcome), expected, "{reset} {offset}"),
            Err(status) => assert_eq!(outcome.status(), status, "{reset} {offset}"),
        }
    }
}

#[actix_web::test]
async fn retention_by_count_and_age() {
    let (server, caller) = start(Config {
        retention: Retention {
            count: Some(3),
            age_ms: None,
        },
        ..Default::default()
    });
    server.append("t", 0, vec![b"a".to_vec(); 5]);
    let bounds = caller.get("/topics/t/partitions/0/offsets").await.body();
    assert_eq!(bounds, json!({"beginning_offset": 2, "end_offset": 5}));
    server.set_faults(Faults {
        retention: Some(Retention {
            count: None,
            age_ms: Some(50),
        }),
        ..Default::default()
    });
    common::wait_until(|| server.records("t", 0).is_empty()).await;
    let bounds = caller.get("/topics/t/partitions/0/offsets").await.body();
    assert_eq!(bounds, json!({"beginning_offset": 5, "end_offset": 5}));
}

#[actix_web::test]
async fn consumer_expires_when_idle() {
    let (server, caller) = start(Config {
        instance_timeout_ms: 500,
        ..Default::default()
    });
    create_consumer(&caller, json!({"format": "binary"}), 0).await;
    common::wait_until(|| server.stats().consumers.expired == 1).await;
    let Outcome::Response(404, body) = records(&caller, BINARY, "timeout=10").await else {
        panic!("consumer instance has not expired");
    };
    assert_eq!(body["error_code"], 40_403);
}
