//! Guards against a service whose statistics miss a call or report an effect that didn't
//! happen: other tests use them to check that a non-idempotent call ran at most once.

mod common;

use common::{
    Caller,
    Outcome, //
};
use serde_json::json;
use standin::service::{
    self,
    Config,
    Fault,
    Faults,
    Kind, //
};

fn config() -> Config {
    Config {
        latency_us: 1_000,
        load_lag_ms: 0,
        load_interval_ms: 1,
        ..Default::default()
    }
}

#[actix_web::test]
async fn call_table_of_faults() {
    let ok = Outcome::Response(
        200,
        service::answer("/cut", Some("k"), &json!({"order": 7})),
    );
    let unavailable = Outcome::Response(503, json!({"error": "unavailable"}));
    let error = Outcome::Response(500, json!({"error": "internal error"}));
    // Fault, outcome for the client, whether the call took effect.
    let table = [
        (Kind::Hang, Outcome::TimedOut, false),
        (Kind::HangAfter, Outcome::TimedOut, true),
        (Kind::BreakBefore, Outcome::Closed, false),
        (Kind::BreakAfter, Outcome::Closed, true),
        (Kind::BreakAnswer, Outcome::Closed, true),
        (Kind::Unavailable(2), unavailable, false),
        (Kind::Error, error.clone(), false),
        (Kind::ErrorAfter, error, true),
        (Kind::Slow(1_000.0), Outcome::TimedOut, true),
        (Kind::Slow(3.0), ok.clone(), true),
        (Kind::Silent, Outcome::TimedOut, true),
    ];
    for (kind, expected, effect) in table {
        let server = service::start(config()).expect("start");
        server.set_faults(Faults {
            paths: [("/cut".to_owned(), Fault::next(kind, 1))].into(),
            ..Default::default()
        });
        let headers = [("Idempotency-Key", "k")];
        let body = br#"{"order": 7}"#.to_vec();
        let caller = Caller::for_outcome(server.address(), &expected);
        let outcome = caller.send("POST", "/cut", &headers, body.clone()).await;
        assert_eq!(outcome, expected, "{kind:?}");
        // A suspended call continues when the faults change.
        server.set_faults(Faults::default());
        let effects = usize::from(effect);
        common::wait_until(|| server.stats().effects_of("k") == effects).await;
        let call = server.calls("/cut").remove(0);
        assert_eq!(call.fault, Some(kind));
        assert_eq!((call.effect, call.body), (effect, json!({"order": 7})));
        let caller = Caller::new(server.address());
        let outcome = caller.send("POST", "/cut", &headers, body).await;
        assert_eq!(outcome, ok, "after {kind:?}");
        assert_eq!(server.stats().effects_of("k"), effects + 1);
        assert_eq!(server.stats().received, 2);
    }
}

#[actix_web::test]
async fn call_faults_by_path_and_chance() {
    let server = service::start(config()).expect("start");
    let caller = Caller::new(server.address());
    let half = Fault {
        probability: Some(0.5),
        ..Kind::Error.into()
    };
    server.set_faults(Faults {
        all: Some(half),
        paths: [("/a".to_owned(), Kind::Unavailable(1).into())].into(),
        ..Default::default()
    });
    let mut failed = 0;
    for _ in 0..40 {
        assert_eq!(caller.post("/a", json!({})).await.status(), 503);
        failed += usize::from(caller.post("/b", json!({})).await.status() == 500);
    }
    assert!((1..40).contains(&failed), "{failed}");
    let calls = server.calls("/b");
    let effects = calls.iter().filter(|call| call.effect).count();
    assert_eq!(effects, 40 - failed);
}

#[actix_web::test]
async fn call_waits_for_a_worker() {
    let server = service::start(Config {
        workers: 1,
        latency_us: 30_000,
        ..config()
    })
    .expect("start");
    let caller = Caller::new(server.address());
    let calls = (0..3).map(|_| caller.post("/x", json!({})));
    let queued = common::wait_until(|| {
        let load = server.load();
        (load.running, load.waiting) == (1, 2)
    });
    let (responses, ()) =
        futures_util::future::join(futures_util::future::join_all(calls), queued).await;
    assert!(responses.iter().all(|response| response.status() == 200));
    let load = caller.get("/load").await.body();
    assert_eq!(load["leaving"], false);
    common::wait_until(|| server.load().running == 0).await;
}

#[actix_web::test]
async fn call_rejects_other_bodies() {
    let server = service::start(config()).expect("start");
    let caller = Caller::new(server.address());
    let outcome = caller.send("POST", "/x", &[], b"no JSON".to_vec()).await;
    assert_eq!(outcome.status(), 400);
    assert_eq!(server.stats().received, 0);
}
