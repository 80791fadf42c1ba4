//! Guards against network faults that have no effect, or that persist after they are cleared:
//! failure tests would then pass without a failure.

mod common;

use std::time::Duration;

use common::{
    Caller,
    Seen, //
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

fn cut(cut: Option<Outage>) -> Network {
    Network {
        cut_zones: vec!["a".to_owned()],
        cut,
        ..Default::default()
    }
}

#[actix_web::test]
async fn set_faults_table_of_network_faults() {
    let ok = Seen::Answer(200, service::answer("/x", None, &json!({})));
    // Fault, outcomes for clients of zones `a` and `b`, calls that took effect meanwhile.
    let table = [
        (outage(Outage::Refuse), Seen::Refused, Seen::Refused, 0),
        (outage(Outage::Silent), Seen::Silent, Seen::Silent, 0),
        (cut(None), Seen::Silent, ok.clone(), 1),
        (cut(Some(Outage::Refuse)), Seen::Broken, ok.clone(), 1),
        (cut(Some(Outage::Silent)), Seen::Silent, ok.clone(), 1),
    ];
    for (network, of_a, of_b, effects) in table {
        let server = start();
        server.set_faults(faults(network.clone()));
        for (zone, expected) in [("a", &of_a), ("b", &of_b)] {
            let caller = Caller::expecting(server.address(), expected);
            let headers = [("X-Zone", zone)];
            let seen = caller.send("POST", "/x", &headers, b"{}".to_vec()).await;
            assert_eq!(&seen, expected, "{network:?} in zone {zone}");
        }
        assert_eq!(server.books().effects, effects, "{network:?}");
        server.set_faults(Default::default());
        let caller = Caller::new(server.address());
        let headers = [("X-Zone", "a")];
        let seen = caller.send("POST", "/x", &headers, b"{}".to_vec()).await;
        assert_eq!(seen, ok, "after {network:?}");
    }
}

#[actix_web::test]
async fn set_faults_silent_delivers_late() {
    let server = start();
    server.set_faults(faults(outage(Outage::Silent)));
    let caller = Caller::hasty(server.address());
    assert_eq!(caller.post("/x", json!({})).await, Seen::Silent);
    assert_eq!(server.books().received, 0);
    server.set_faults(Default::default());
    common::until(|| server.books().effects == 1).await;
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
    old.limit = Duration::from_millis(150);
    assert_eq!(old.post("/x", json!({})).await, Seen::Silent);
    let new = Caller::new(server.address());
    assert_eq!(new.post("/x", json!({})).await.status(), 200);
    assert_eq!(server.books().effects, 2);
}

#[actix_web::test]
async fn control_works_during_an_outage() {
    let server = start();
    let control = Caller::new(server.control());
    let body = json!({"network": {"outage": "refuse"}});
    assert_eq!(control.post("/control/faults", body).await.status(), 204);
    let caller = Caller::new(server.address());
    assert_eq!(caller.get("/control/books").await, Seen::Refused);
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
        let seen = control.post("/control/faults", body.clone()).await;
        assert_eq!(seen.status(), 400, "{body}");
    }
}

#[actix_web::test]
async fn stop_frees_the_port() {
    let first = log::start(Default::default()).expect("start");
    let address = first.address();
    let again = || {
        log::start(log::Config {
            listen: address,
            ..Default::default()
        })
    };
    assert!(again().is_err(), "two stand-ins share a port");
    first.stop().await;
    assert_eq!(Caller::new(address).get("/topics").await, Seen::Refused);
    let second = again().expect("start again");
    assert_eq!(
        Caller::new(second.address()).get("/topics").await.status(),
        200
    );
}
