//! Guards against a list that shows changes before their lag has passed, or whose JSON
//! differs from the Consul API.

mod common;

use std::{
    net::SocketAddr,
    time::Instant, //
};

use common::Caller;
use serde_json::json;
use standin::list::{
    self,
    Config,
    Entry,
    Faults,
    State, //
};

const PATH: &str = "/v1/health/service/gypsumlever";

fn entry(id: &str) -> Entry {
    let address = SocketAddr::from(([127, 0, 0, 1], 7_000));
    Entry::new("gypsumlever", id, "cairo-a", address)
}

#[actix_web::test]
async fn health_shows_changes_after_the_lag() {
    let server = list::start(Config {
        lag_ms: 500,
        ..Default::default()
    })
    .expect("start");
    let caller = Caller::new(server.address());
    server.put_now(entry("i1"));
    let body = caller.get(PATH).await.body();
    assert_eq!(body[0]["Service"]["ID"], "i1");
    assert_eq!(body[0]["Service"]["Address"], "127.0.0.1");
    assert_eq!(body[0]["Service"]["Port"], 7_000);
    let meta = json!({"zone": "cairo-a", "state": "live"});
    assert_eq!(body[0]["Service"]["Meta"], meta);
    assert_eq!(body[0]["Checks"][0]["Status"], "passing");

    let started = Instant::now();
    server.put(Entry {
        state: State::Leaving,
        passing: false,
        ..entry("i1")
    });
    server.remove("gypsumlever", "i1");
    server.put(entry("i2"));
    assert_eq!(caller.get(PATH).await.body(), body, "shown before the lag");
    let wait = format!("{PATH}?index=2&wait=3s");
    let body = caller.get(&wait).await.body();
    assert!(started.elapsed().as_millis() >= 500);
    assert_eq!(body.as_array().map(Vec::len), Some(1));
    assert_eq!(body[0]["Service"]["ID"], "i2");
    let other = caller.get("/v1/health/service/other").await.body();
    assert_eq!(other, json!([]));
}

#[actix_web::test]
async fn health_table_of_faults() {
    let table = [
        (json!({"error": true}), 500, None),
        (json!({"empty": true}), 200, Some(0)),
        (json!({"frozen": true}), 200, Some(1)),
        (json!({}), 200, Some(2)),
    ];
    for (faults, status, entries) in table {
        let server = list::start(Config {
            lag_ms: 0,
            ..Default::default()
        })
        .expect("start");
        let caller = Caller::new(server.address());
        server.put_now(entry("i1"));
        let faults: Faults = serde_json::from_value(faults).expect("faults");
        server.set_faults(faults.clone());
        server.put(entry("i2"));
        let outcome = caller.get(PATH).await;
        assert_eq!(outcome.status(), status, "{faults:?}");
        if let Some(entries) = entries {
            let shown = outcome.body().as_array().map(Vec::len);
            assert_eq!(shown, Some(entries), "{faults:?}");
        }
    }
}

#[actix_web::test]
async fn health_only_passing() {
    let server = list::start(Config::default()).expect("start");
    let caller = Caller::new(server.address());
    server.put_now(entry("i1"));
    server.put_now(Entry {
        passing: false,
        ..entry("i2")
    });
    for (query, expected) in [("", 2), ("?passing", 1), ("?passing=false", 2)] {
        let body = caller.get(&format!("{PATH}{query}")).await.body();
        assert_eq!(body.as_array().map(Vec::len), Some(expected), "{query}");
    }
}
