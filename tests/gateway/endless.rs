//! Guards against upstreams that send bytes without end, at full speed or one now and then.

use std::{
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
    time::{
        Duration,
        Instant, //
    },
};

use crate::support::{
    answer,
    events,
    read,
    register,
    request,
    Action,
    Deployment,
    Message,
    Upstream, //
};

/// Time after which the answer to a caller is due; the timeout of the routes is 3 s.
const MAX_TIME: Duration = Duration::from_millis(3_500);

/// Bytes that an upstream may send before its connection is closed: the longest answer, what the
/// sockets of both sides buffer, and some.
const MAX_SENT: usize = 24 << 20;

/// Memory that a gateway may use; it needs about 10 MiB at rest.
const MAX_MEMORY_KIB: usize = 48 << 10;

/// How a connection on which an upstream sends without end has ended.
#[derive(Clone, Copy, Debug)]
struct End {
    sent: usize,
    after: Duration,
}

/// An upstream that answers each request with a first part, and then repeats another part until the
/// connection is closed.
struct Flood {
    address: SocketAddr,
    ends: Arc<Mutex<Vec<End>>>,
}

impl Flood {
    fn start(first: impl Fn(&Message) -> Vec<u8> + Send + 'static, repeated: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let ends: Arc<Mutex<Vec<End>>> = Arc::default();
        let block = repeated.repeat(1 + (64 << 10) / repeated.len());
        let seen = ends.clone();
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let Some(request) = read(&mut stream) else {
                    continue;
                };
                let first = first(&request);
                let (block, seen) = (block.clone(), seen.clone());
                thread::spawn(move || {
                    let end = flood(&mut stream, &first, block.as_bytes());
                    seen.lock().unwrap().push(end);
                });
            }
        });
        Self { address, ends }
    }
}

fn flood(stream: &mut TcpStream, first: &[u8], block: &[u8]) -> End {
    let start = Instant::now();
    let limit = Some(MAX_TIME * 2);
    stream.set_write_timeout(limit).unwrap();
    let mut sent = first.len();
    let mut written = stream.write_all(first);
    while written.is_ok() && start.elapsed() < MAX_TIME * 2 {
        written = stream.write_all(block);
        sent += block.len();
    }
    let after = start.elapsed();
    End { sent, after }
}

/// Returns the memory that a process uses.
fn memory_kib(deployment: &Deployment) -> usize {
    let path = format!("/proc/{}/status", deployment.pid());
    let status = std::fs::read_to_string(path).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let value = line.unwrap().trim().trim_end_matches(" kB");
    value.parse().unwrap()
}

/// Sends a request to the upstream, and checks that its bytes end within the bounds and that the
/// gateway serves on.
fn check(path: &str, flood: &Flood) -> Message {
    let sound = Upstream::start(|_, request| Action::Answer(answer(request, "200 OK", "sound")));
    let deployment = Deployment::start(&[]);
    let entry = |address: SocketAddr| {
        serde_json::json!({
            "service": "s", "address": address, "zone": "a", "version": "v1", "slots": 4,
            "state": "ready", "coldLeftMs": 0, "sequence": 1, "born": 1,
        })
    };
    let text = entry(flood.address).to_string();
    deployment
        .store
        .put("keyed.servers", "i-0", text.as_bytes());
    thread::sleep(Duration::from_secs(1));
    deployment.wait_registry();
    let start = Instant::now();
    let headers = "Token-Count: 50,40\r\nDeadline-Ms: 3000\r\n";
    let message = deployment.request(&request("POST", path, headers, ""));
    let took = start.elapsed();
    assert!(took < MAX_TIME, "{path}: {took:?}");
    // The connection is closed at the latest when the answer is given up.
    thread::sleep(Duration::from_millis(300));
    let ends = flood.ends.lock().unwrap().clone();
    assert!(!ends.is_empty(), "{path}: the upstream still sends");
    for end in ends {
        assert!(
            end.sent <= MAX_SENT && end.after < MAX_TIME,
            "{path}: {end:?}"
        );
    }
    let memory = memory_kib(&deployment);
    assert!(memory < MAX_MEMORY_KIB, "{path}: {memory} KiB");
    deployment.store.remove("keyed.servers", "i-0");
    register(&deployment.store, "i-1", &sound, "ready", "v1");
    thread::sleep(Duration::from_secs(1));
    deployment.wait_registry();
    let answer = deployment.request(&request("POST", "/once/x", "", ""));
    assert_eq!(answer.text(), "sound", "{path}");
    message
}

const PATHS: [&str; 3] = ["/safe/x", "/once/x", "/stream/x"];

fn id(request: &Message) -> String {
    request.header("request-id").unwrap_or("").to_owned()
}

#[test]
fn head_without_end_is_given_up() {
    for repeated in ["X-Filler: aaaaaaaaaaaaaaaaaaaa\r\n", "a"] {
        for path in PATHS {
            let first = |_: &Message| b"HTTP/1.1 200 OK\r\nX-First: ".to_vec();
            let message = check(path, &Flood::start(first, repeated));
            assert!(matches!(message.status(), 502 | 504), "{message:?}");
        }
    }
}

#[test]
fn interim_answers_without_end_are_given_up() {
    for path in PATHS {
        let flood = Flood::start(|_| Vec::new(), "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n");
        let message = check(path, &flood);
        assert!(matches!(message.status(), 502 | 504), "{message:?}");
    }
}

#[test]
fn body_without_end_is_given_up() {
    for path in PATHS {
        let first = |request: &Message| {
            let id = id(request);
            let head = "HTTP/1.1 200 OK\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n";
            format!("{head}Request-Id: {id}\r\n\r\n").into_bytes()
        };
        let message = check(path, &Flood::start(first, "5\r\naaaaa\r\n"));
        assert!(matches!(message.status(), 502 | 504), "{message:?}");
    }
}

/// The answer has neither a length nor chunks.
#[test]
fn body_without_length_and_end_is_given_up() {
    for path in PATHS {
        let first = |request: &Message| {
            let id = id(request);
            format!("HTTP/1.1 200 OK\r\nServer-Seal: s\r\nRequest-Id: {id}\r\n\r\n").into_bytes()
        };
        let message = check(path, &Flood::start(first, "aaaaaaaa"));
        assert!(matches!(message.status(), 502 | 504), "{message:?}");
    }
}

#[test]
fn chunk_size_without_end_is_given_up() {
    for path in PATHS {
        let first = |request: &Message| {
            let id = id(request);
            let head = "HTTP/1.1 200 OK\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n";
            format!("{head}Request-Id: {id}\r\n\r\n5;x=").into_bytes()
        };
        let message = check(path, &Flood::start(first, "a"));
        assert!(matches!(message.status(), 502 | 504), "{message:?}");
    }
}

/// The answer to an earlier request, which is skipped, has no end.
#[test]
fn skipped_answer_without_end_is_given_up() {
    for head in [
        "Transfer-Encoding: chunked\r\n",
        "Content-Length: 99999999999\r\n",
    ] {
        for path in PATHS {
            let first = move |_: &Message| {
                format!("HTTP/1.1 200 OK\r\nRequest-Id: other\r\n{head}\r\n").into_bytes()
            };
            let message = check(path, &Flood::start(first, "5\r\naaaaa\r\n"));
            assert!(matches!(message.status(), 502 | 504), "{message:?}");
        }
    }
}

/// The request has not run, as the head states; a caller must not be kept until the body has ended.
#[test]
fn refusal_with_a_body_without_end_is_passed_on_as_one() {
    for path in PATHS {
        let first = |request: &Message| {
            let id = id(request);
            let head = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nTransfer-Encoding: chunked\r\n";
            format!("{head}Request-Id: {id}\r\n\r\n").into_bytes()
        };
        let message = check(path, &Flood::start(first, "5\r\naaaaa\r\n"));
        assert_eq!(message.status(), 503, "{message:?}");
    }
}

/// Sends one byte of an event now and then, which is never complete.
fn trickle(stream: &mut TcpStream) {
    let start = Instant::now();
    while start.elapsed() < MAX_TIME && stream.write_all(b"1\r\na\r\n").is_ok() {
        thread::sleep(Duration::from_millis(100));
    }
}

/// Returns an engine that sends the events after `before`, and then a byte now and then; a stream
/// that goes on after them gets the rest.
fn trickling(before: u64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for (number, mut stream) in listener.incoming().flatten().enumerate() {
            thread::spawn(move || {
                let request = read(&mut stream).unwrap();
                let text = match number {
                    0 => events(&request, 1..=before, false),
                    _ => events(&request, before + 1..=5, true),
                };
                stream.write_all(&text).unwrap();
                if number == 0 {
                    trickle(&mut stream);
                }
            });
        }
    });
    address
}

/// A stalled stream that sends a byte now and then goes on elsewhere, like one that sends nothing.
#[test]
fn stream_that_trickles_is_resumed() {
    for before in [0, 2] {
        let deployment = Deployment::start(&[]);
        let entry = serde_json::json!({
            "service": "s", "address": trickling(before), "zone": "a", "version": "v1", "slots": 4,
            "state": "ready", "coldLeftMs": 0, "sequence": 1, "born": 1,
        });
        let text = entry.to_string();
        deployment
            .store
            .put("keyed.servers", "i-0", text.as_bytes());
        thread::sleep(Duration::from_secs(1));
        let start = Instant::now();
        let headers = "Token-Count: 50,40\r\nDeadline-Ms: 3000\r\n";
        let answer = deployment.request(&request("POST", "/stream/x", headers, ""));
        assert_eq!((answer.status(), answer.complete), (200, true), "{before}");
        assert!(answer.text().contains("id: 5\n"), "{}", answer.text());
        assert!(
            start.elapsed() < Duration::from_secs(2),
            "{:?}",
            start.elapsed()
        );
    }
}

/// A sound stream whose events arrive slowly, in parts, is not cut.
#[test]
fn stream_of_slow_parts_is_not_cut() {
    let parts = |request: &Message| {
        let text = String::from_utf8(events(request, 1..=1, true)).unwrap();
        let at = text.find("data").unwrap();
        (
            text.as_bytes()[..at].to_vec(),
            text.as_bytes()[at..].to_vec(),
        )
    };
    let slow = Upstream::start(move |_, request| {
        let (first, rest) = parts(request);
        Action::Pause(first, Duration::from_millis(600), rest)
    });
    let deployment = Deployment::start(&[&slow]);
    let headers = "Token-Count: 50,40\r\nDeadline-Ms: 3000\r\n";
    let answer = deployment.request(&request("POST", "/stream/x", headers, ""));
    assert_eq!((answer.status(), answer.complete), (200, true));
    assert_eq!(slow.requests().len(), 1);
}
