//! Guards callers that recognize the end of an answer in other ways than by chunks on a kept connection.

use std::{
    io::{
        Read as _,
        Write as _, //
    },
    thread,
    time::Duration, //
};

use crate::support::{
    events,
    read,
    request,
    Action,
    Deployment,
    Upstream, //
};

const HEADERS: &str = "Token-Count: 50,40\r\n";

/// Text of the events that a sound upstream sends.
const EVENTS: &str = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n";

/// Pause of an upstream in the middle of a stream.
const PAUSE: Duration = Duration::from_millis(400);

fn old_request() -> String {
    request("POST", "/stream/x", HEADERS, "").replacen("HTTP/1.1", "HTTP/1.0", 1)
}

/// Sends a request of an HTTP/1.0 caller; returns all bytes until the end of its connection, or `None`
/// if it is reset, and what `act` returns, which runs once an upstream has the request.
fn read_to_end<T>(
    deployment: &Deployment,
    upstream: &Upstream,
    act: impl FnOnce() -> T,
) -> (Option<String>, T) {
    let mut caller = deployment.connect();
    caller.write_all(old_request().as_bytes()).unwrap();
    while upstream.requests().is_empty() {
        thread::sleep(Duration::from_millis(5));
    }
    let acted = act();
    let mut bytes = Vec::new();
    let read = caller.read_to_end(&mut bytes);
    let text = String::from_utf8_lossy(&bytes).into_owned();
    (read.is_ok().then_some(text), acted)
}

/// Returns whether an HTTP/1.0 caller takes an answer for a whole success: it knows no chunks.
fn looks_complete(answer: &str) -> bool {
    let Some((head, body)) = answer.split_once("\r\n\r\n") else {
        return false;
    };
    let head = head.to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let length = length.map(|length| length.parse::<usize>().unwrap());
    head.split(' ').nth(1) == Some("200") && length.is_none_or(|length| body.len() == length)
}

/// A caller of HTTP/1.0 got the sizes of chunks as a part of the body.
#[test]
fn http_1_0_caller_gets_a_stream_without_chunks() {
    let upstream = Upstream::start(|_, request| Action::Answer(events(request, 1..=3, true)));
    let deployment = Deployment::start(&[&upstream]);
    let (answer, ()) = read_to_end(&deployment, &upstream, || ());
    let answer = answer.unwrap();
    assert!(looks_complete(&answer), "{answer:?}");
    let (head, body) = answer.split_once("\r\n\r\n").unwrap();
    assert!(head.contains("server-seal: s"), "{head}");
    assert!(!head.contains("transfer-encoding"), "{head}");
    assert_eq!(body, EVENTS);
}

/// A stream that breaks off ended for a caller of HTTP/1.0 as a whole one does.
#[test]
fn http_1_0_caller_gets_no_success_for_a_stream_that_breaks_off() {
    let upstream = Upstream::start(|number, request| match number {
        0 => Action::Close(events(request, 1..=2, false)),
        _ => Action::Close(Vec::new()),
    });
    let deployment = Deployment::start(&[&upstream]);
    let (answer, ()) = read_to_end(&deployment, &upstream, || ());
    let answer = answer.unwrap_or_default();
    assert!(!looks_complete(&answer), "{answer:?}");
}

/// As above, if the process of the gateway is killed or stopped in the middle of the stream.
#[test]
fn http_1_0_caller_gets_no_success_if_the_gateway_ends() {
    for signal in ["KILL", "TERM"] {
        let upstream = Upstream::start(|_, request| {
            let silence = Duration::from_secs(12);
            Action::Pause(events(request, 1..=2, false), silence, Vec::new())
        });
        let deployment = Deployment::start(&[&upstream]);
        let (answer, ()) = read_to_end(&deployment, &upstream, || {
            thread::sleep(PAUSE);
            deployment.signal(signal);
        });
        let answer = answer.unwrap_or_default();
        assert!(!looks_complete(&answer), "{signal}: {answer:?}");
    }
}

/// The end of a connection that the caller asked to close must not be the only mark of the end.
#[test]
fn stream_on_a_connection_that_closes_is_chunked() {
    let upstream = Upstream::start(|number, request| match number {
        0 => Action::Answer(events(request, 1..=3, true)),
        1 => Action::Close(events(request, 1..=2, false)),
        _ => Action::Close(Vec::new()),
    });
    let deployment = Deployment::start(&[&upstream]);
    let headers = format!("{HEADERS}Connection: close\r\n");
    for complete in [true, false] {
        let mut caller = deployment.connect();
        let text = request("POST", "/stream/x", &headers, "");
        caller.write_all(text.as_bytes()).unwrap();
        let answer = read(&mut caller).unwrap();
        assert_eq!(answer.header("transfer-encoding"), Some("chunked"));
        assert_eq!(answer.complete, complete, "{}", answer.text());
        assert!(EVENTS.starts_with(&answer.text()));
        // The end of the connection, or a reset, follows.
        assert!(!matches!(caller.read(&mut [0]), Ok(1)));
    }
}
