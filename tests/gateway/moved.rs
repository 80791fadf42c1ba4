//! Guards streams against going on at another service than the one that began them.

use std::{
    thread,
    time::Duration, //
};

use serde_json::{
    json,
    Value, //
};

use crate::support::{
    events,
    request,
    Action,
    Deployment,
    Message,
    Upstream, //
};

/// Time in which an instance learns of a change of the configuration.
const NOTICE: Duration = Duration::from_millis(1_200);

/// Resumptions of a test; a hash sends all to one of two services once in a thousand runs.
const STREAMS: usize = 10;

fn engine() -> Upstream {
    Upstream::start(|_, request| {
        let after = request.header("last-event-id");
        let after: u64 = after.and_then(|id| id.parse().ok()).unwrap_or(0);
        Action::Answer(events(request, after + 1..=5, true))
    })
}

/// Publishes a configuration whose streams lead to these services.
fn configure(deployment: &Deployment, version: u64, target: (&str, Value)) {
    let (key, value) = target;
    let engine = json!({ "tokensPerEvent": 10 });
    let service = |name| json!({ "name": name, "maxConns": 10, "engine": engine });
    let services = ["s", "t"].map(service);
    let config = json!({
        "version": version,
        "routes": [{
            "name": "stream", "host": "h.example", "pathPrefix": "/stream/", "kind": "streaming",
            "timeoutMs": 3000, "targetLatencyMs": 200, "priority": 0, key: value,
            "maxAttempts": 1, "resumable": true,
        }],
        "services": services,
        "limits": { "maxBodyBytes": 1000 },
    });
    let config = config.to_string();
    deployment
        .store
        .put("keyed.op", "config", config.as_bytes());
    thread::sleep(NOTICE);
}

/// Starts a gateway whose streams lead to these services, with an engine of each of `s` and `t`.
fn start(target: (&str, Value)) -> (Deployment, [Upstream; 2]) {
    let engines = [engine(), engine()];
    let deployment = Deployment::start_unconfigured();
    configure(&deployment, 1, target);
    for (service, engine) in ["s", "t"].iter().zip(&engines) {
        let entry = json!({
            "service": service, "address": engine.address, "zone": "a", "version": "v1",
            "slots": 4, "state": "ready", "coldLeftMs": 0, "sequence": 1, "born": 1,
        });
        let entry = entry.to_string();
        let id = format!("i-{service}");
        deployment.store.put("keyed.servers", &id, entry.as_bytes());
    }
    deployment.wait_ready();
    thread::sleep(NOTICE);
    (deployment, engines)
}

fn take_up(deployment: &Deployment, number: usize, headers: &str) -> Message {
    let headers = format!("Last-Event-Id: 2\r\nToken-Count: 50,40\r\n{headers}");
    let text = request("POST", "/stream/x", &headers, "");
    deployment.request(&text.replace("Request-Id: r1", &format!("Request-Id: r{number}")))
}

/// A stream that the caller took up went on at the service to which its route had moved.
#[test]
fn stream_is_not_taken_up_at_a_service_to_which_its_route_moved() {
    let (deployment, [_, moved]) = start(("service", json!("s")));
    let answer = take_up(&deployment, 1, "");
    assert_eq!(answer.status(), 200, "{}", answer.text());
    configure(&deployment, 2, ("service", json!("t")));
    let answer = take_up(&deployment, 2, "");
    assert_eq!(answer.status(), 503, "{}", answer.text());
    assert_eq!(moved.requests().len(), 0);
}

/// On a split route, the identifier of the request that takes a stream up selected another service
/// than that of the one which began it.
#[test]
fn stream_of_a_split_route_is_taken_up_at_the_service_of_its_session_only() {
    let split = json!([{ "service": "s", "weight": 1 }, { "service": "t", "weight": 1 }]);
    let (deployment, engines) = start(("split", split));
    for number in 0..STREAMS {
        let answer = take_up(&deployment, number, "");
        assert_eq!(answer.status(), 503, "{}", answer.text());
    }
    for number in 0..STREAMS {
        let session = "Program-Id: p\r\nSession-Id: one\r\n";
        let answer = take_up(&deployment, number, session);
        assert_eq!(answer.status(), 200, "{}", answer.text());
    }
    let mut sends = engines.map(|engine| engine.requests().len());
    sends.sort_unstable();
    assert_eq!(sends, [0, STREAMS]);
}
