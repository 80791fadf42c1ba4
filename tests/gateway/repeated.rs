//! Guards callers against upstreams that write an answer once more on a connection that is kept: a
//! refusal proves only that the send which it answered was not run.

use std::{
    collections::BTreeMap,
    io::Write as _,
    net::{
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    sync::{
        Arc,
        Mutex, //
    },
    thread,
    time::Duration,
};

use serde_json::json;

use crate::support::{
    answer,
    events,
    read,
    request,
    Deployment,
    Message, //
};

/// When an upstream writes its latest refusal once more.
#[derive(Clone, Copy, Debug)]
enum Repeat {
    Never,
    /// After it has read the next request, and before the answer to it.
    BeforeAnswer,
    /// In the middle of the run of the next request.
    InRun,
    /// While the connection is idle.
    Idle,
}

/// Times that each request was run.
type Runs = Arc<Mutex<BTreeMap<String, usize>>>;

/// Serves a connection of an upstream that refuses each request at first.
fn serve(mut stream: TcpStream, repeat: Repeat, refusal: &str, runs: &Runs) {
    let mut last = None;
    while let Some(request) = read(&mut stream) {
        let id = request.header("request-id").unwrap_or("").to_owned();
        let known = runs.lock().unwrap().contains_key(&id);
        let mut bytes = Vec::new();
        if !known {
            runs.lock().unwrap().insert(id.clone(), 0);
            bytes = refusal.replace("{id}", &id).into_bytes();
            last = Some(bytes.clone());
        } else {
            *runs.lock().unwrap().get_mut(&id).unwrap() += 1;
            let earlier = last.clone().unwrap_or_default();
            match repeat {
                Repeat::BeforeAnswer => bytes = earlier,
                Repeat::InRun => {
                    thread::sleep(Duration::from_millis(30));
                    let _ = stream.write_all(&earlier);
                    thread::sleep(Duration::from_millis(30));
                }
                Repeat::Never | Repeat::Idle => {}
            }
            bytes.extend(complete(&request));
        }
        if stream.write_all(&bytes).is_err() {
            return;
        }
        if let (Repeat::Idle, false) = (repeat, known) {
            thread::sleep(Duration::from_millis(5));
            let _ = stream.write_all(&bytes);
        }
    }
}

fn complete(request: &Message) -> Vec<u8> {
    match request.start_line.contains("/stream/") {
        true => events(request, 1..=3, true),
        false => answer(request, "200 OK", "answer"),
    }
}

fn start(repeat: Repeat, refusal: &'static str) -> (SocketAddr, Runs) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let runs = Runs::default();
    let shared = runs.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let runs = shared.clone();
            thread::spawn(move || serve(stream, repeat, refusal, &runs));
        }
    });
    (address, runs)
}

/// A request was run, and once more after the refusal of its first send was written again.
#[test]
fn refusal_that_is_repeated_is_no_proof_for_the_next_send() {
    let refusals = [
        "HTTP/1.1 503 Full\r\nRequest-Id: {id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 429 Full\r\nRequest-Id: {id}\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull",
        "HTTP/1.1 421 Other\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 503 Full\r\nRequest-Id: {id}\r\nNot-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    ];
    for repeat in [
        Repeat::Never,
        Repeat::BeforeAnswer,
        Repeat::InRun,
        Repeat::Idle,
    ] {
        for refusal in refusals {
            check(repeat, refusal);
        }
    }
}

fn check(repeat: Repeat, refusal: &'static str) {
    let (address, runs) = start(repeat, refusal);
    let deployment = Deployment::start(&[]);
    let entry = json!({
        "service": "s", "address": address, "zone": "a", "version": "v1", "slots": 4,
        "state": "ready", "coldLeftMs": 0, "sequence": 1, "born": 1,
    });
    let entry = entry.to_string();
    deployment
        .store
        .put("keyed.servers", "i-0", entry.as_bytes());
    thread::sleep(Duration::from_millis(1_200));
    for number in 0..6 {
        let path = ["/once/x", "/stream/x"][number % 2];
        let id = format!("r-{number}");
        let text = request("POST", path, "Token-Count: 50,40\r\n", "");
        let text = text.replace("Request-Id: r1", &format!("Request-Id: {id}"));
        let answer = deployment.request(&text);
        let context = format!("{repeat:?} {refusal:?} {path}");
        assert_eq!(answer.status(), 200, "{context}: {}", answer.text());
        assert!(answer.complete, "{context}");
        assert_eq!(runs.lock().unwrap()[&id], 1, "{context}");
    }
}

/// An answer that names no request may be one to an earlier request, also if it is a refusal.
#[test]
fn refusal_without_an_identifier_is_no_proof() {
    let refusal = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
    let (address, runs) = start(Repeat::Never, refusal);
    let deployment = Deployment::start(&[]);
    let entry = json!({
        "service": "s", "address": address, "zone": "a", "version": "v1", "slots": 4,
        "state": "ready", "coldLeftMs": 0, "sequence": 1, "born": 1,
    });
    let entry = entry.to_string();
    deployment
        .store
        .put("keyed.servers", "i-0", entry.as_bytes());
    thread::sleep(Duration::from_millis(1_200));
    let answer = deployment.request(&request("POST", "/once/x", "", ""));
    assert_eq!(answer.status(), 502, "{}", answer.text());
    assert_eq!(runs.lock().unwrap()["r1"], 0);
}
