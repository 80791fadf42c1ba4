//! Guards streams that go on after a break against answers that don't continue them.

use std::{
    thread,
    time::Duration, //
};

use serde_json::json;

use crate::support::{
    get,
    request,
    Action,
    Deployment,
    Message,
    Upstream, //
};

const HEADERS: &str = "Token-Count: 50,40\r\nDeadline-Ms: 1500\r\n";

/// Text that must not reach a caller in the middle of a stream.
const OTHER: &str = "<html>not a stream</html>";

/// How an answer states its end.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunks,
    /// By the end of its connection.
    Neither,
}

const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunks, Framing::Neither];

/// Returns an answer to a request, with further headers.
fn message(request: &Message, status: &str, headers: &str, framing: Framing, body: &str) -> Action {
    let id = request.header("request-id").unwrap_or("");
    let head = format!("HTTP/1.1 {status}\r\nRequest-Id: {id}\r\nServer-Seal: s\r\n{headers}");
    let length = body.len();
    match framing {
        Framing::Length => {
            let text = format!("{head}Content-Length: {length}\r\n\r\n{body}");
            Action::Answer(text.into_bytes())
        }
        Framing::Chunks => {
            let chunk = match length {
                0 => String::new(),
                length => format!("{length:x}\r\n{body}\r\n"),
            };
            let text = format!("{head}Transfer-Encoding: chunked\r\n\r\n{chunk}0\r\n\r\n");
            Action::Answer(text.into_bytes())
        }
        Framing::Neither => Action::Close(format!("{head}\r\n{body}").into_bytes()),
    }
}

const STREAM: &str = "Content-Type: text/event-stream\r\n";

fn stream_events(ids: impl IntoIterator<Item = u64>) -> String {
    let event = |id| format!("id: {id}\ndata: e{id}\n\n");
    ids.into_iter().map(event).collect()
}

/// Returns the start of a stream up to an event, after which its connection breaks.
fn broken(request: &Message, last: u64) -> Action {
    let id = request.header("request-id").unwrap_or("");
    let events = stream_events(1..=last);
    let length = events.len();
    let text = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: s\r\n{STREAM}Transfer-Encoding: chunked\r\n\r\n{length:x}\r\n{events}\r\n"
    );
    Action::Close(text.into_bytes())
}

/// An answer in place of the rest of a stream.
type Other = (&'static str, &'static str, &'static str, String);

fn others() -> Vec<Other> {
    let html = "Content-Type: text/html\r\n";
    let rest = || stream_events(4..=5);
    vec![
        ("html", "200 OK", html, OTHER.into()),
        ("empty html", "200 OK", html, String::new()),
        ("no type", "200 OK", "", OTHER.into()),
        ("events as html", "200 OK", html, rest()),
        ("events without a type", "200 OK", "", rest()),
        (
            "encoded",
            "200 OK",
            "Content-Type: text/event-stream\r\nContent-Encoding: gzip\r\n",
            rest(),
        ),
        ("other text", "200 OK", STREAM, OTHER.into()),
        ("other success", "206 Partial Content", STREAM, rest()),
        ("own error", "500 Error", html, OTHER.into()),
        ("not found", "404 Not Found", html, OTHER.into()),
        ("error as a stream", "500 Error", STREAM, rest()),
        ("from the start", "200 OK", STREAM, stream_events(1..=5)),
        ("repeated event", "200 OK", STREAM, stream_events(3..=5)),
        ("missing event", "200 OK", STREAM, stream_events(5..=6)),
    ]
}

/// The text of another answer was in the middle of a stream, which ended as if it were complete.
#[test]
fn answer_that_continues_no_stream_breaks_it_off() {
    for (name, status, headers, body) in others() {
        for framing in FRAMINGS {
            let text = body.clone();
            let upstream = Upstream::start(move |number, request| match number {
                0 => broken(request, 3),
                _ => message(request, status, headers, framing, &text),
            });
            let deployment = Deployment::start(&[&upstream]);
            let answer = deployment.request(&request("POST", "/stream/x", HEADERS, ""));
            let context = format!("{name}, {framing:?}: {}", answer.text());
            assert!(!answer.complete, "{context}");
            assert_eq!(answer.text(), stream_events(1..=3), "{context}");
            assert!(upstream.requests().len() > 1, "{context}");
        }
    }
}

/// One other answer is a failed attempt, and no reason to give the stream up.
#[test]
fn stream_goes_on_after_an_answer_that_does_not_continue_it() {
    for (name, status, headers, body) in others() {
        let upstream = Upstream::start(move |number, request| match number {
            0 => broken(request, 3),
            1 => message(request, status, headers, Framing::Length, &body),
            _ => message(
                request,
                "200 OK",
                "Content-Type: text/event-stream; charset=utf-8\r\n",
                Framing::Neither,
                &stream_events(4..=5),
            ),
        });
        let deployment = Deployment::start(&[&upstream]);
        let headers = "Token-Count: 50,40\r\nDeadline-Ms: 3000\r\n";
        let answer = deployment.request(&request("POST", "/stream/x", headers, ""));
        assert!(answer.complete, "{name}: {}", answer.text());
        assert_eq!(answer.text(), stream_events(1..=5), "{name}");
    }
}

/// Identifiers increase and need not follow each other: a stream whose identifiers have gaps goes on
/// after a break.
#[test]
fn stream_with_gaps_goes_on_after_a_break() {
    let upstream = Upstream::start(|number, request| match number {
        0 => {
            let id = request.header("request-id").unwrap_or("");
            let events = stream_events([2, 3, 7]);
            let text = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: s\r\n{STREAM}Content-Length: 900\r\n\r\n{events}"
            );
            Action::Close(text.into_bytes())
        }
        _ => message(
            request,
            "200 OK",
            STREAM,
            Framing::Chunks,
            &stream_events([9, 12]),
        ),
    });
    let deployment = Deployment::start(&[&upstream]);
    let answer = deployment.request(&request("POST", "/stream/x", HEADERS, ""));
    assert!(answer.complete, "{}", answer.text());
    assert_eq!(answer.text(), stream_events([2, 3, 7, 9, 12]));
}

/// A stream without a length that ends inside an event has been broken off: it goes on elsewhere, or
/// does not end as a whole one.
#[test]
fn stream_without_a_length_that_ends_inside_an_event_is_resumed() {
    let upstream = Upstream::start(|number, request| {
        let body = match number {
            0 => stream_events(1..=3) + "id: 4\ndata: e",
            _ => stream_events(4..=5),
        };
        message(request, "200 OK", STREAM, Framing::Neither, &body)
    });
    let deployment = Deployment::start(&[&upstream]);
    let answer = deployment.request(&request("POST", "/stream/x", HEADERS, ""));
    assert!(answer.complete, "{}", answer.text());
    assert_eq!(answer.text(), stream_events(1..=5));
    assert_eq!(upstream.requests().len(), 2);
}

/// Publishes a route whose streams may run once.
fn configure_once(deployment: &Deployment) {
    let config = json!({
        "version": 2,
        "routes": [{
            "name": "once", "host": "h.example", "pathPrefix": "/once-stream/", "kind": "streaming",
            "timeoutMs": 3000, "targetLatencyMs": 200, "priority": 0, "service": "s", "maxAttempts": 2,
        }],
        "services": [{ "name": "s", "maxConns": 10, "engine": { "tokensPerEvent": 10 } }],
        "limits": { "maxBodyBytes": 1000 },
    });
    let config = config.to_string();
    deployment
        .store
        .put("keyed.op", "config", config.as_bytes());
    thread::sleep(Duration::from_millis(1_200));
}

/// A stream that may run once was sent to a second engine when the first one had ended its answer
/// before the first event.
#[test]
fn stream_that_ends_before_its_first_event_is_sent_once() {
    for (framing, expected) in [
        (Framing::Length, 200),
        (Framing::Chunks, 200),
        // An engine that crashes ends its connections as well, so that this one may have run in part.
        (Framing::Neither, 502),
    ] {
        let engine = move || {
            Upstream::start(move |_, request| message(request, "200 OK", STREAM, framing, ""))
        };
        let engines = [engine(), engine()];
        let deployment = Deployment::start(&[&engines[0], &engines[1]]);
        configure_once(&deployment);
        let answer = deployment.request(&request("POST", "/once-stream/x", HEADERS, ""));
        assert_eq!(answer.status(), expected, "{framing:?}: {}", answer.text());
        assert!(!answer.text().contains("data"), "{framing:?}");
        let sends: usize = engines.iter().map(|engine| engine.requests().len()).sum();
        assert_eq!(sends, 1, "{framing:?}");
    }
}

/// An end of a stream that only its connection marked could not be told from a framed one.
#[test]
fn ends_of_streams_are_counted_by_their_mark() {
    for (framing, mark) in [
        (Framing::Length, "framing"),
        (Framing::Chunks, "framing"),
        (Framing::Neither, "connection"),
    ] {
        let upstream = Upstream::start(move |_, request| {
            message(request, "200 OK", STREAM, framing, &stream_events(1..=3))
        });
        let deployment = Deployment::start(&[&upstream]);
        let answer = deployment.request(&request("POST", "/stream/x", HEADERS, ""));
        assert!(answer.complete, "{framing:?}: {}", answer.text());
        let metrics = get(deployment.metrics, "/metrics").text();
        let count = |line: &&str| line.starts_with("gypsumlever_gateway_stream_ends_total{");
        let count = metrics.lines().find(count).unwrap_or("no count");
        assert!(
            count.contains(&format!("mark=\"{mark}\"")),
            "{framing:?}: {count}"
        );
        assert!(count.contains("path=\"direct\""), "{framing:?}: {count}");
        assert!(count.ends_with(" 1"), "{framing:?}: {count}");
    }
}

/// Returns a request that takes a stream up after an event.
fn taken_up(after: u64) -> String {
    let headers = format!("{HEADERS}Last-Event-Id: {after}\r\nResumes: lost\r\n");
    request("POST", "/stream/x", &headers, "")
}

/// A caller that took its stream up got another text as the rest of it, with the engine's signature.
#[test]
fn caller_gets_no_other_text_as_the_rest_of_its_stream() {
    let html = "Content-Type: text/html\r\n";
    for body in [OTHER.to_owned(), String::new(), stream_events(3..=5)] {
        for framing in FRAMINGS {
            let text = body.clone();
            let upstream =
                Upstream::start(move |_, request| message(request, "200 OK", html, framing, &text));
            let deployment = Deployment::start(&[&upstream]);
            let answer = deployment.request(&taken_up(2));
            let context = format!("{body:?}, {framing:?}: {}", answer.text());
            assert_eq!(answer.status(), 502, "{context}");
            assert!(!upstream.requests().is_empty(), "{context}");
        }
    }
}

/// Only another text is no rest of a stream: one without a type is, and so is the error of an engine.
#[test]
fn caller_gets_the_rest_of_its_stream_and_errors_of_engines() {
    let cases = [
        ("200 OK", "", 200),
        ("200 OK", STREAM, 200),
        (
            "200 OK",
            "Content-Type: Text/Event-Stream; charset=utf-8\r\n",
            200,
        ),
        ("500 Error", "Content-Type: text/html\r\n", 500),
    ];
    for (status, headers, expected) in cases {
        let upstream = Upstream::start(move |_, request| {
            message(
                request,
                status,
                headers,
                Framing::Length,
                &stream_events(3..=5),
            )
        });
        let deployment = Deployment::start(&[&upstream]);
        let answer = deployment.request(&taken_up(2));
        assert_eq!(answer.status(), expected, "{headers}: {}", answer.text());
        assert_eq!(answer.text(), stream_events(3..=5), "{headers}");
    }
}

/// Whole streams after which an instance knows how a service numbers events.
const WHOLE_STREAMS: usize = 8;

/// Returns whether a request is for a stream that is sent as a whole.
fn is_whole(request: &Message) -> bool {
    request.start_line.contains("/stream/whole")
}

/// Starts a deployment that has relayed whole streams, the last one with other identifiers; other
/// requests are answered by `answer`.
fn after_whole_streams(
    ids: &'static [u64],
    last_ids: &'static [u64],
    answer: impl Fn(&Message) -> Action + Send + Sync + 'static,
) -> (Upstream, Deployment) {
    let upstream = Upstream::start(move |number, request| match is_whole(request) {
        true => {
            let last = number + 1 == WHOLE_STREAMS;
            let ids = if last { last_ids } else { ids };
            let events = stream_events(ids.iter().copied());
            message(request, "200 OK", STREAM, Framing::Chunks, &events)
        }
        false => answer(request),
    });
    let deployment = Deployment::start(&[&upstream]);
    for _ in 0..WHOLE_STREAMS {
        let whole = deployment.request(&request("POST", "/stream/whole", HEADERS, ""));
        assert!(whole.complete, "{}", whole.text());
    }
    (upstream, deployment)
}

/// A stream that broke off after one or two events went on without the next one.
#[test]
fn missing_event_after_one_or_two_breaks_a_stream_off() {
    for before in [1, 2] {
        for (next, complete) in [(before + 1, true), (before + 2, false)] {
            let ids = &[1, 2, 3, 4, 5];
            let (_upstream, deployment) =
                after_whole_streams(ids, ids, move |request| {
                    match request.header("last-event-id") {
                        None => broken(request, before),
                        Some(_) => {
                            let events = stream_events(next..=6);
                            message(request, "200 OK", STREAM, Framing::Chunks, &events)
                        }
                    }
                });
            let answer = deployment.request(&request("POST", "/stream/x", HEADERS, ""));
            let context = format!("{next} after {before}: {}", answer.text());
            assert_eq!(answer.complete, complete, "{context}");
            let last = if complete { 6 } else { before };
            assert_eq!(answer.text(), stream_events(1..=last), "{context}");
        }
    }
}

/// A caller that took its stream up after an event got it without the next one. A service whose
/// streams leave out identifiers, even one of them, must not be hindered.
#[test]
fn caller_gets_its_stream_from_the_next_event_on() {
    let consecutive: &[u64] = &[1, 2, 3, 4, 5];
    let tens: &[u64] = &[0, 10, 20, 30];
    let other_start: &[u64] = &[2, 3, 4];
    let gaps: &[u64] = &[1, 2, 4, 5];
    let single: &[u64] = &[1];
    let cases = [
        (consecutive, consecutive, 2, 3, true),
        (consecutive, consecutive, 2, 4, false),
        (consecutive, consecutive, 0, 1, true),
        (consecutive, consecutive, 0, 2, false),
        (tens, tens, 0, 10, true),
        (tens, tens, 0, 20, false),
        // Not an identifier of the service.
        (tens, tens, 5, 30, true),
        (consecutive, gaps, 2, 4, true),
        (consecutive, tens, 2, 4, true),
        (consecutive, other_start, 2, 4, true),
        (gaps, gaps, 2, 4, true),
        // Too few.
        (consecutive, single, 2, 4, true),
    ];
    for (ids, last_ids, after, next, served) in cases {
        let (_upstream, deployment) = after_whole_streams(ids, last_ids, move |request| {
            let events = stream_events([next, next + 1]);
            message(request, "200 OK", STREAM, Framing::Chunks, &events)
        });
        let answer = deployment.request(&taken_up(after));
        let context = format!("{ids:?}, {next} after {after}: {}", answer.text());
        assert_eq!(answer.status(), if served { 200 } else { 502 }, "{context}");
    }
}

/// A caller got events without a type as the rest of a stream of a service that states the type.
#[test]
fn caller_gets_no_answer_without_a_type_if_whole_streams_have_one() {
    let ids = &[1, 2, 3, 4, 5];
    let (_upstream, deployment) = after_whole_streams(ids, ids, |request| {
        message(
            request,
            "200 OK",
            "",
            Framing::Length,
            &stream_events(3..=5),
        )
    });
    let answer = deployment.request(&taken_up(2));
    assert_eq!(answer.status(), 502, "{}", answer.text());
}
