//! Guards callers against upstreams whose process ends in the middle of an answer without a length: the
//! system closes its connections in the way that marks the end of such an answer.

use std::{
    io::Write as _,
    net::TcpListener,
    thread,
    time::Duration, //
};

use serde_json::json;
use socket2::SockRef;

use crate::support::{
    events,
    read,
    request,
    Action,
    Deployment,
    Message,
    Upstream, //
};

const HEADERS: &str = "Token-Count: 50,40\r\nDeadline-Ms: 3000\r\n";

/// Answers that the upstream is writing when it ends.
const ANSWERS: usize = 12;

/// Time after which another upstream is known.
const NOTICE: Duration = Duration::from_millis(900);

/// Time for which the upstream would pause before the rest of an answer.
const PAUSE: Duration = Duration::from_secs(6);

fn stream_events(ids: impl IntoIterator<Item = u64>) -> String {
    let event = |id| format!("id: {id}\ndata: e{id}\n\n");
    ids.into_iter().map(event).collect()
}

/// Returns an answer that ends with its connection.
fn unframed(request: &Message, body: &str) -> Vec<u8> {
    let id = request.header("request-id").unwrap_or("");
    let head = format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: s\r\n\r\n");
    (head + body).into_bytes()
}

/// Ends an upstream in the middle of its answers, while another one would give the whole or the rest;
/// returns what the callers get, and the upstreams.
fn end_in_answers(
    path: &'static str,
    half: &'static str,
    other: impl Fn(&Message) -> String + Send + Sync + 'static,
) -> (Vec<Message>, [Upstream; 2]) {
    let ending = Upstream::start(move |_, request| {
        Action::Pause(unframed(request, half), PAUSE, Vec::new())
    });
    let sound =
        Upstream::start(move |_, request| Action::Close(unframed(request, &other(request))));
    let deployment = Deployment::start(&[&ending]);
    configure(&deployment);
    let answers = thread::scope(|scope| {
        let call = || deployment.request(&request("POST", path, HEADERS, ""));
        let callers: Vec<_> = (0..ANSWERS).map(|_| scope.spawn(call)).collect();
        while ending.requests().len() < ANSWERS {
            thread::sleep(Duration::from_millis(5));
        }
        deployment.register("i-sound", &sound, "ready");
        thread::sleep(NOTICE);
        ending.crash();
        callers
            .into_iter()
            .map(|caller| caller.join().unwrap())
            .collect()
    });
    (answers, [ending, sound])
}

/// Publishes routes of each kind; calls are not sent again for as long as their upstream is silent.
fn configure(deployment: &Deployment) {
    let route = |prefix: &str, kind: &str, attempts: u32, resumable: bool| {
        json!({
            "name": prefix, "host": "h.example", "pathPrefix": prefix, "kind": kind,
            "timeoutMs": 3000, "targetLatencyMs": 200, "priority": 0, "service": "s",
            "maxAttempts": attempts, "resumable": resumable,
        })
    };
    let config = json!({
        "version": 2,
        "routes": [
            route("/once/", "unsafe", 2, false),
            route("/stream/", "streaming", 1, true),
            route("/once-stream/", "streaming", 2, false),
        ],
        "services": [{ "name": "s", "maxConns": 50, "engine": { "tokensPerEvent": 10 } }],
        "limits": { "maxBodyBytes": 1000 },
    });
    let config = config.to_string();
    deployment
        .store
        .put("keyed.op", "config", config.as_bytes());
    thread::sleep(Duration::from_millis(1_200));
}

const HALF: &str = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n";

fn rest(request: &Message) -> String {
    let after = request.header("last-event-id");
    let after = after.and_then(|id| id.parse().ok()).unwrap_or(0);
    stream_events(after + 1..=6)
}

/// All streams of an upstream whose process ended counted as complete, each in the middle.
#[test]
fn streams_without_a_length_go_on_after_their_upstream_ended() {
    let (answers, [ending, sound]) = end_in_answers("/stream/x", HALF, rest);
    for answer in answers {
        assert!(answer.complete, "{}", answer.text());
        assert_eq!(answer.text(), stream_events(1..=6));
    }
    assert_eq!(ending.requests().len(), ANSWERS);
    assert_eq!(sound.requests().len(), ANSWERS);
}

/// As above; streams that may run once must not end as whole ones.
#[test]
fn streams_without_a_length_break_off_when_their_upstream_ends() {
    let (answers, [ending, sound]) = end_in_answers("/once-stream/x", HALF, rest);
    for answer in answers {
        assert!(!answer.complete, "{}", answer.text());
        assert_eq!(answer.text(), HALF);
    }
    assert_eq!(ending.requests().len(), ANSWERS);
    assert_eq!(sound.requests().len(), 0);
}

/// Half of an answer passed for the whole one.
#[test]
fn answer_without_a_length_is_not_complete_when_its_upstream_ends() {
    let whole = |_: &Message| "the whole answer".to_owned();
    let (answers, [ending, sound]) = end_in_answers("/once/x", "the whole", whole);
    for answer in answers {
        assert_eq!(answer.status(), 502, "{}", answer.text());
    }
    assert_eq!(ending.requests().len(), ANSWERS);
    assert_eq!(sound.requests().len(), 0);
}

/// An upstream that has as many connections as it takes resets further ones, and a sound answer
/// without a length counted as cut.
#[test]
fn answer_without_a_length_is_complete_at_the_limit_of_connections() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let request = match number {
                0 => read(&mut &stream),
                _ => None,
            };
            if let Some(request) = request {
                (&stream).write_all(&unframed(&request, "whole")).unwrap();
                continue;
            }
            let linger = Some(Duration::ZERO);
            SockRef::from(&stream).set_linger(linger).unwrap();
        }
    });
    let deployment = Deployment::start(&[]);
    let entry = json!({
        "service": "s", "address": address, "zone": "a", "version": "v1", "slots": 4,
        "state": "ready", "coldLeftMs": 0, "sequence": 1, "born": 1,
    });
    let entry = entry.to_string();
    let store = &deployment.store;
    store.put("keyed.servers", "i-0", entry.as_bytes());
    thread::sleep(NOTICE);
    let answer = deployment.request(&request("POST", "/once/x", HEADERS, ""));
    assert_eq!((answer.status(), answer.text()), (200, "whole".into()));
}

/// A stream that broke after its last event was broken off, as the answer without further events ended
/// with its connection.
#[test]
fn stream_without_further_events_ends_after_its_resumption() {
    let upstream = Upstream::start(|number, request| match number {
        0 => Action::Close(events(request, 1..=3, false)),
        _ => Action::Close(unframed(request, "")),
    });
    let deployment = Deployment::start(&[&upstream]);
    let answer = deployment.request(&request("POST", "/stream/x", HEADERS, ""));
    assert!(answer.complete, "{}", answer.text());
    assert_eq!(answer.text(), stream_events(1..=3));
    assert_eq!(upstream.requests().len(), 2);
}

/// The upstream starts again at its address before its connections have ended: a connection that is
/// opened then reaches the new process.
#[test]
fn streams_without_a_length_go_on_after_their_upstream_started_again() {
    let ending =
        Upstream::start(|_, request| Action::Pause(unframed(request, HALF), PAUSE, Vec::new()));
    let deployment = Deployment::start(&[&ending]);
    let (again, answers) = thread::scope(|scope| {
        let call = || deployment.request(&request("POST", "/stream/x", HEADERS, ""));
        let callers: Vec<_> = (0..ANSWERS).map(|_| scope.spawn(call)).collect();
        while ending.requests().len() < ANSWERS {
            thread::sleep(Duration::from_millis(5));
        }
        thread::sleep(Duration::from_millis(200));
        ending.stop();
        let again = Upstream::start_at(ending.address, |_, request| {
            Action::Close(unframed(request, &rest(request)))
        });
        ending.end_connections();
        let answers = callers.into_iter().map(|caller| caller.join().unwrap());
        (again, answers.collect::<Vec<_>>())
    });
    for answer in answers {
        assert!(answer.complete, "{}", answer.text());
        assert_eq!(answer.text(), stream_events(1..=6));
    }
    assert_eq!(again.requests().len(), ANSWERS);
}
