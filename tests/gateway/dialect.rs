//! Guards the decoding of headers against invalid input, and reserved headers against callers.

use std::time::Duration;

use actix_http::header::{
    HeaderMap,
    HeaderName,
    HeaderValue, //
};
use gypsumlever::{
    gateway::dialect::{
        Dialect as _,
        Dispatch, //
    },
    platform::Dialect,
};
use proptest::prelude::*;

fn headers(pairs: &[(&'static str, &str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        let value = HeaderValue::from_str(value).unwrap();
        headers.append(HeaderName::from_static(name), value);
    }
    headers
}

#[test]
fn call_decodes_a_turn() {
    let call = Dialect::call(&headers(&[
        ("request-id", "9c41"),
        ("deadline-ms", "4000"),
        ("program-id", "p"),
        ("session-id", "s"),
        ("finish-ms", "5200"),
        ("token-budget", "4704"),
        ("token-count", "1460,80"),
        ("prompt-prefix", "5c1e07a2:800,91bd3f06:410"),
        ("last-event-id", "12"),
    ]))
    .unwrap();
    assert_eq!(call.timeout, Some(Duration::from_secs(4)));
    assert_eq!(call.after, Some(12));
    let program = call.program.unwrap();
    assert_eq!(program.budget, Some(4704));
    assert_eq!(program.finish, Some(Duration::from_millis(5200)));
    let prompt = call.prompt.unwrap();
    assert_eq!((prompt.tokens, prompt.max_tokens), (1460, 80));
    let prefixes = prompt.prefixes();
    assert_eq!(prefixes[0].tokens, 800);
    assert_eq!(prefixes[1].tokens, 1210);
}

#[test]
fn call_names_the_invalid_header() {
    let cases = [
        (vec![], "request-id"),
        (
            vec![("request-id", "1"), ("deadline-ms", "soon")],
            "deadline-ms",
        ),
        (
            vec![("request-id", "1"), ("token-count", "5")],
            "token-count",
        ),
        (
            vec![
                ("request-id", "1"),
                ("token-count", "5,6"),
                ("prompt-prefix", "zz:1"),
            ],
            "prompt-prefix",
        ),
        (
            vec![("request-id", "1"), ("last-event-id", "-1")],
            "last-event-id",
        ),
    ];
    for (pairs, name) in cases {
        let invalid = Dialect::call(&headers(&pairs)).unwrap_err();
        assert_eq!(invalid.0, name);
    }
}

#[test]
fn dispatch_replaces_headers_that_callers_must_not_set() {
    let mut map = headers(&[
        ("request-id", "1"),
        ("deadline-ms", "4000"),
        ("expect-instance", "i-evil"),
        ("hold", "1"),
        ("pin-ms", "1"),
        ("kv-backup", "10.0.0.1:1"),
        ("kv-from", "10.0.0.1:1/2"),
        ("model", "m"),
    ]);
    let dispatch = Dispatch {
        upstream: "i-1",
        remaining: Duration::from_millis(1_500),
        tenant: None,
        after: Some(7),
    };
    Dialect::dispatch(&mut map, &dispatch);
    assert_eq!(map.get("expect-instance").unwrap(), "i-1");
    assert_eq!(map.get("deadline-ms").unwrap(), "1500");
    assert_eq!(map.get("last-event-id").unwrap(), "7");
    assert_eq!(map.get("model").unwrap(), "m");
    for name in ["hold", "pin-ms", "kv-backup", "kv-from"] {
        assert!(!map.contains_key(name), "{name}");
    }
}

#[test]
fn reply_reads_the_load() {
    let map = headers(&[
        ("request-id", "1"),
        ("server-load", "3,1,8,250"),
        ("not-run", "1"),
    ]);
    let reply = Dialect::reply(&map);
    assert!(reply.not_run && !reply.signed);
    let load = reply.load.unwrap();
    assert_eq!((load.running, load.waiting, load.slots), (3, 1, 8));
    assert!((load.pace - 2.5).abs() < 1e-9);
    assert!(Dialect::reply(&headers(&[("server-load", "3,x")]))
        .load
        .is_none());
}

#[test]
fn reply_reads_the_limit() {
    let limit = |text: &str| Dialect::reply(&headers(&[("server-limit", text)])).limit;
    assert_eq!(limit("4.4"), Some(4.4));
    assert_eq!(limit(" 0 "), Some(0.0));
    for invalid in ["", "x", "-1", "NaN", "inf", "1,2"] {
        assert_eq!(limit(invalid), None, "{invalid}");
    }
    assert_eq!(Dialect::reply(&headers(&[])).limit, None);
}

proptest! {
    /// No header text makes the decoder panic.
    #[test]
    fn call_and_reply_accept_any_text(text in "[ -~]{0,40}") {
        for name in ["deadline-ms", "token-count", "prompt-prefix", "finish-ms", "server-load", "server-limit"] {
            let map = headers(&[("request-id", "1"), ("token-count", "1,2"), (name, &text)]);
            let _ = Dialect::call(&map);
            let _ = Dialect::reply(&map);
        }
    }
}
