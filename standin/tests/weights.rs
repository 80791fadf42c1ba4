//! Guards against a weight store that returns other bytes than requested or never refuses.

mod common;

use common::{
    Caller,
    Outcome, //
};
use serde_json::Value;
use standin::weights::{
    self,
    Config,
    Faults,
    Store, //
};

fn start(rate: Option<u64>) -> (standin::server::Server<Store>, Caller) {
    let server = weights::start(Config {
        files: [("/w".to_owned(), 1_000)].into(),
        bytes_per_second: rate,
        ..Default::default()
    })
    .expect("start");
    let caller = Caller::new(server.address());
    (server, caller)
}

async fn get(caller: &Caller, range: &str) -> Outcome {
    caller
        .send("GET", "/w", &[("Range", range)], Vec::new())
        .await
}

#[actix_web::test]
async fn get_table_of_ranges() {
    let (server, caller) = start(None);
    let table = [
        ("bytes=10-19", 206, 10..20),
        ("bytes=990-2000", 206, 990..1_000),
        ("bytes=995-", 206, 995..1_000),
        ("bytes=-3", 206, 997..1_000),
        ("bytes=1000-", 416, 0..0),
        ("bytes=9-3", 200, 0..1_000),
        ("bytes=0-1,5-6", 200, 0..1_000),
        ("lines=1-2", 200, 0..1_000),
    ];
    let file = weights::content("/w", 0, 1_000);
    for (range, status, bytes) in table {
        let Outcome::Response(code, body) = get(&caller, range).await else {
            panic!("no response to {range}");
        };
        assert_eq!(code, status, "{range}");
        let expected = String::from_utf8_lossy(&file[bytes]).into_owned();
        assert_eq!(body, Value::String(expected), "{range}");
    }
    assert_eq!(caller.get("/none").await.status(), 404);
    assert_eq!(server.stats().requests["/w"], 8);
    assert_eq!(weights::content("/w", 13, 20), file[13..33]);
}

#[actix_web::test]
async fn get_over_the_rate() {
    let (server, caller) = start(Some(100));
    assert_eq!(get(&caller, "bytes=0-499").await.status(), 206);
    assert_eq!(get(&caller, "bytes=500-").await.status(), 503);
    let stats = server.stats();
    assert_eq!((stats.bytes, stats.refused), (500, 1));
}

#[actix_web::test]
async fn get_table_of_faults() {
    let refuse = Faults {
        refuse_next: 1,
        ..Default::default()
    };
    let broken = Faults {
        break_after: Some(100),
        ..Default::default()
    };
    for (faults, expected) in [(refuse, Some(503)), (broken, None)] {
        let (server, caller) = start(None);
        server.set_faults(faults);
        match get(&caller, "bytes=0-").await {
            Outcome::Response(status, _) => assert_eq!(Some(status), expected),
            outcome => assert_eq!((outcome, expected), (Outcome::Closed, None)),
        }
        server.set_faults(Faults::default());
        assert_eq!(get(&caller, "bytes=0-").await.status(), 206);
    }
}
