//! Guards against network faults that have no effect, or that persist after they are cleared:
//! failure tests would then pass without a failure.

mod common;

use std::time::Duration;

use common::{
    Caller,
    Outcome, //
};
use serde_json::json;
use standin::{
    log,
    server::{
        Network,
        Outage,
        Server, //
    },
    service, //
};

fn start() -> Server<service::Service> {
    let config = service::Config {
        latency_us: 0,
        ..Default::default()
    };
    service::start(config).expect("start")
}

fn faults(network: Network) -> service::Faults {
    service::Faults {
        network,
        ..Default::default()
    }
}

fn outage(outage: Outage) -> Network {
    Network {
        outage: Some(outage),
        ..Default::default()
    }
}

fn isolated(cut: Option<Outage>) -> Network {
    Network {
        cut_zones: vec!["a".to_owned()],
        cut,
        ..Default::default()
    }
}

#[actix_web::test]
async fn set_faults_table_of_network_faults() {
    let ok = Outcome::Response(200, service::answer("/x", None, &json!({})));
    // Fault, outcomes for clients of zones `a` and `b`, calls that took effect meanwhile.
    let table = [
        (
            outage(Outage::Refuse),
            Outcome::Refused,
            Outcome::Refused,
            0,
        ),
        (
            outage(Outage::Silent),
            Outcome::TimedOut,
            Outcome::TimedOut,
            0,
        ),
        (isolated(None), Outcome::TimedOut, ok.clone(), 1),
        (
            isolated(Some(Outage::Refuse)),
            Outcome::Closed,
            ok.clone(),
            1,
        ),
        (
            isolated(Some(Outage::Silent)),
            Outcome::TimedOut,
            ok.clone(),
            1,
        ),
    ];
    for (network, from_a, from_b, effects) in table {
        let server = start();
        server.set_faults(faults(network.clone()));
        for (zone, expected) in [("a", &from_a), ("b", &from_b)] {
            let caller = Caller::for_outcome(server.address(), expected);
            let headers = [("X-Zone", zone)];
            let outcome = caller.send("POST", "/x", &headers, b"{}".to_vec()).await;
            assert_eq!(&outcome, expected, "{network:?} in zone {zone}");
        }
        assert_eq!(server.stats().effects, effects, "{network:?}");
        server.set_faults(Default::default());
        let caller = Caller::new(server.address());
        let headers = [("X-Zone", "a")];
        let outcome = caller.send("POST", "/x", &headers, b"{}".to_vec()).await;
        assert_eq!(outcome, ok, "after {network:?}");
    }
}

#[actix_web::test]
async fn set_faults_silent_delivers_late() {
    let server = start();
    server.set_faults(faults(outage(Outage::Silent)));
    let caller = Caller::with_short_timeout(server.address());
    assert_eq!(caller.post("/x", json!({})).await, Outcome::TimedOut);
    assert_eq!(server.stats().received, 0);
    server.set_faults(Default::default());
    common::wait_until(|| server.stats().effects == 1).await;
}

#[actix_web::test]
async fn mute_connections_leaves_new_ones() {
    let server = start();
    let mut old = Caller::new(server.address());
    assert_eq!(old.post("/x", json!({})).await.status(), 200);
    let control = Caller::new(server.control());
    let action = json!({"action": "mute"});
    assert_eq!(
        control.post("/control/connections", action).await.status(),
        204
    );
    old.timeout = Duration::from_millis(150);
    assert_eq!(old.post("/x", json!({})).await, Outcome::TimedOut);
    let new = Caller::new(server.address());
    assert_eq!(new.post("/x", json!({})).await.status(), 200);
    assert_eq!(server.stats().effects, 2);
}

#[actix_web::test]
async fn control_works_during_an_outage() {
    let server = start();
    let control = Caller::new(server.control());
    let body = json!({"network": {"outage": "refuse"}});
    assert_eq!(control.post("/control/faults", body).await.status(), 204);
    let caller = Caller::new(server.address());
    assert_eq!(caller.get("/control/books").await, Outcome::Refused);
    assert_eq!(control.get("/control/books").await.body()["received"], 0);
    assert_eq!(
        control.post("/control/faults", json!({})).await.status(),
        204
    );
    assert_eq!(caller.get("/control/books").await.status(), 200);
}

#[actix_web::test]
async fn control_rejects_unknown_faults() {
    let server = start();
    let control = Caller::new(server.control());
    for body in [json!({"slwo": 1}), json!({"network": {"outage": "broken"}})] {
        let outcome = control.post("/control/faults", body.clone()).await;
        assert_eq!(outcome.status(), 400, "{body}");
    }
}

#[actix_web::test]
async fn stop_frees_the_port() {
    let first = log::start(Default::default()).expect("start");
    let address = first.address();
    let restart = || {
        log::start(log::Config {
            listen: address,
            ..Default::default()
        })
    };
    assert!(restart().is_err(), "two stand-ins share a port");
    first.stop().await;
    assert_eq!(Caller::new(address).get("/topics").await, Outcome::Refused);
    let second = restart().expect("start again");
    assert_eq!(
        Caller::new(second.address()).get("/topics").await.status(),
        200
    );
}
