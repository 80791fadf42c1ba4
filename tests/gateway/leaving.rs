//! Guards against requests to an upstream that has said in an answer that it leaves.

use std::{
    thread,
    time::Duration, //
};

use serde_json::json;
use standin::store::Faults;

use crate::support::{
    answer,
    events,
    request,
    Action,
    Deployment,
    Message,
    Upstream, //
};

/// Time after which an upstream that said that it leaves must get no requests.
const DRAIN: Duration = Duration::from_secs(2);

const REQUESTS: usize = 10;

fn reply(request: &Message) -> Vec<u8> {
    match request.start_line.contains("/stream/") {
        true => events(request, 1..=3, true),
        false => answer(request, "200 OK", "answer"),
    }
}

fn staying() -> Upstream {
    Upstream::start(|_, request| Action::Answer(reply(request)))
}

fn leaving() -> Upstream {
    Upstream::start(|_, request| {
        let text = String::from_utf8(reply(request)).unwrap();
        let seal = "Server-Seal: s\r\n";
        Action::Answer(
            text.replacen(seal, &format!("{seal}Server-Leaving: 1\r\n"), 1)
                .into(),
        )
    })
}

/// Sends requests until the upstream that leaves has answered one, and further ones after the time
/// to drain; returns how many of the latter it got.
fn requests_after_notice(deployment: &Deployment, leaving: &Upstream, path: &str) -> usize {
    let send = || {
        let headers = "Token-Count: 50,40\r\n";
        let answer = deployment.request(&request("POST", path, headers, ""));
        assert_eq!(answer.status(), 200);
    };
    while leaving.requests().is_empty() {
        send();
    }
    thread::sleep(DRAIN);
    let before = leaving.requests().len();
    (0..REQUESTS).for_each(|_| send());
    leaving.requests().len() - before
}

/// The registry still lists the upstream as ready, as for one that never reports that it drains.
#[test]
fn upstream_that_leaves_by_its_answer_gets_no_later_calls() {
    let (staying, leaving) = (staying(), leaving());
    let deployment = Deployment::start(&[&staying, &leaving]);
    assert_eq!(requests_after_notice(&deployment, &leaving, "/once/x"), 0);
}

#[test]
fn upstream_that_leaves_by_its_answer_gets_no_later_streams() {
    let (staying, leaving) = (staying(), leaving());
    let deployment = Deployment::start(&[&staying, &leaving]);
    assert_eq!(requests_after_notice(&deployment, &leaving, "/stream/x"), 0);
}

/// The rule holds in an outage of the store too, and for reports that were sent before the notice.
#[test]
fn upstream_that_leaves_by_its_answer_stays_so_through_an_outage() {
    let (staying, leaving) = (staying(), leaving());
    let deployment = Deployment::start(&[&staying, &leaving]);
    deployment.store.set_faults(Faults {
        busy: true,
        ..Faults::default()
    });
    assert_eq!(requests_after_notice(&deployment, &leaving, "/once/x"), 0);
    deployment.store.set_faults(Faults::default());
    deployment.store.remove("keyed.servers", "i-1");
    deployment.register("i-1", &leaving, "ready");
    assert_eq!(requests_after_notice(&deployment, &leaving, "/once/x"), 0);
}

/// A later start of the upstream is not the one that said that it leaves.
#[test]
fn upstream_that_starts_again_after_leaving_gets_requests() {
    let (staying, leaving) = (staying(), leaving());
    let deployment = Deployment::start(&[&staying, &leaving]);
    requests_after_notice(&deployment, &leaving, "/once/x");
    let entry = json!({
        "service": "s", "address": leaving.address, "zone": "a", "version": "v1",
        "slots": 4, "state": "ready", "coldLeftMs": 0, "sequence": 1, "born": 2,
    });
    let entry = entry.to_string();
    deployment
        .store
        .put("keyed.servers", "i-1", entry.as_bytes());
    deployment.store.remove("keyed.servers", "i-0");
    thread::sleep(DRAIN);
    let before = leaving.requests().len();
    let answer = deployment.request(&request("POST", "/once/x", "", ""));
    assert_eq!(answer.status(), 200);
    assert_eq!(leaving.requests().len(), before + 1);
}
