//! Guards streams against engines that start again under their identifier and address with another
//! software version, while the registry still shows the old one.

use std::{
    io::{
        Read as _,
        Write as _, //
    },
    net::{
        SocketAddr,
        TcpStream, //
    },
    thread,
    time::{
        Duration,
        SystemTime,
        UNIX_EPOCH, //
    },
};

use serde_json::json;
use standin::{
    server::Server,
    store::{
        self,
        Faults,
        Store, //
    },
};

use crate::support::{
    configure,
    read,
    register,
    request,
    Action,
    Deployment,
    Instance,
    Message,
    Upstream, //
};

/// Streams of a test.
const STREAMS: usize = 8;

/// Time in which instances read a change of the registry.
const READ: Duration = Duration::from_millis(1_500);

/// Returns an answer with events that name the software version of their engine.
fn events(request: &Message, version: &str, ids: std::ops::RangeInclusive<u64>) -> Vec<u8> {
    let id = request.header("request-id").unwrap_or("");
    let ended = *ids.end() == 5;
    let mut text = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    for id in ids {
        let event = format!("weight-versions: {id}\nid: {id}\ndata: {version}\n\n");
        text.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
    }
    if ended {
        text.push_str("0\r\n\r\n");
    }
    text.into_bytes()
}

/// Returns an engine that sends two events of a new stream and stalls, and the rest of others.
fn engine(address: SocketAddr, version: &'static str) -> Upstream {
    Upstream::start_at(address, move |_, request| {
        let after = request.header("last-event-id");
        match after.and_then(|id| id.parse::<u64>().ok()) {
            Some(after) => Action::Answer(events(request, version, after + 1..=5)),
            None => {
                let first = events(request, version, 1..=2);
                Action::Pause(first, Duration::from_secs(4), Vec::new())
            }
        }
    })
}

const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Publishes the entry of a start of an engine.
fn register_start(store: &Server<Store>, engine: &Upstream, version: &str, born: u64) {
    let entry = json!({
        "service": "s", "address": engine.address, "zone": "a", "version": version,
        "slots": 4, "state": "ready", "coldLeftMs": 0, "sequence": 1, "born": born,
    });
    store.put("keyed.servers", "i-0", entry.to_string().as_bytes());
}

fn turn(id: &str, headers: &str) -> String {
    let headers = format!("{headers}Token-Count: 50,40\r\n");
    let text = request("POST", "/stream/x", &headers, "");
    text.replace("Request-Id: r1", &format!("Request-Id: {id}"))
}

/// Reads an answer up to its second event.
fn read_two_events(stream: &mut TcpStream) {
    let mut text = String::new();
    let mut buffer = [0; 1_024];
    while !text.contains("id: 2\n") {
        let length = stream.read(&mut buffer).unwrap();
        assert!(length > 0, "the stream ended early: {text}");
        text.push_str(&String::from_utf8_lossy(&buffer[..length]));
    }
}

fn begin(instance: &Instance, count: usize) -> Vec<TcpStream> {
    let mut streams: Vec<_> = (0..count).map(|_| instance.connect()).collect();
    for (number, stream) in streams.iter_mut().enumerate() {
        let text = turn(&format!("r{number}"), "");
        stream.write_all(text.as_bytes()).unwrap();
    }
    streams
}

/// How an engine starts again, and what its entry says when.
#[derive(Clone, Copy, Debug)]
struct Restart {
    version: &'static str,
    /// Time between the end and the new start.
    down: Duration,
    /// Time from the new start until its report is in the store.
    unreported: Duration,
}

/// Lets an engine start again in the middle of streams; returns their answers.
fn restart_in_streams(restart: Restart) -> Vec<Message> {
    let old = engine(ANY, "v1");
    let deployment = Deployment::start(&[&old]);
    let mut streams = begin(&deployment, STREAMS);
    while old.requests().len() < STREAMS {
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(Duration::from_millis(200));
    old.crash();
    thread::sleep(restart.down);
    let new = engine(old.address, restart.version);
    thread::sleep(restart.unreported);
    register_start(&deployment.store, &new, restart.version, 2);
    streams
        .iter_mut()
        .map(|stream| read(stream).unwrap())
        .collect()
}

const RESTARTS: [(u64, u64); 3] = [(50, 0), (300, 0), (300, 300)];

/// The streams of an engine that started again with another version went on there, as its new report
/// had not been read.
#[test]
fn streams_do_not_go_on_at_a_new_version_of_their_engine() {
    for (down, unreported) in RESTARTS {
        let restart = Restart {
            version: "v2",
            down: Duration::from_millis(down),
            unreported: Duration::from_millis(unreported),
        };
        let answers = restart_in_streams(restart);
        let of = |text: &str| {
            let has = |answer: &&Message| answer.text().contains(text);
            answers.iter().filter(has).count()
        };
        assert_eq!(of("v1"), STREAMS, "{restart:?}");
        assert_eq!(of("v2"), 0, "{restart:?}");
        assert!(answers.iter().all(|answer| !answer.complete));
    }
}

/// Streams go on at an engine that started again with the same version.
#[test]
fn streams_go_on_at_a_new_start_of_the_same_version() {
    for (down, unreported) in RESTARTS {
        let restart = Restart {
            version: "v1",
            down: Duration::from_millis(down),
            unreported: Duration::from_millis(unreported),
        };
        for answer in restart_in_streams(restart) {
            assert!(answer.complete, "{restart:?}: {}", answer.text());
        }
    }
}

/// As above, while the store fails, so that the new start can't be reported.
#[test]
fn streams_do_not_go_on_at_a_new_version_while_the_store_fails() {
    let old = engine(ANY, "v1");
    let deployment = Deployment::start(&[&old]);
    deployment.store.set_faults(Faults {
        busy: true,
        ..Faults::default()
    });
    let mut streams = begin(&deployment, STREAMS);
    streams.iter_mut().for_each(read_two_events);
    old.crash();
    thread::sleep(Duration::from_millis(300));
    let new = engine(old.address, "v2");
    for stream in &mut streams {
        let mut text = String::new();
        // The connection may be reset.
        let _ = stream.read_to_string(&mut text);
        assert!(!text.contains("v2"), "{text}");
    }
    assert_eq!(new.requests().len(), 0);
}

/// Lets an engine start again while the caller of a stream takes it up; returns the answer.
fn take_up_after_restart(headers: &str) -> Message {
    let old = engine(ANY, "v1");
    let deployment = Deployment::start(&[&old]);
    let mut streams = begin(&deployment, 1);
    read_two_events(&mut streams[0]);
    drop(streams);
    old.crash();
    let new = engine(old.address, "v2");
    register_start(&deployment.store, &new, "v2", 2);
    deployment.request(&turn("s1", &format!("Last-Event-Id: 2\r\n{headers}")))
}

/// A stream that its caller took up went on at the new version of its engine, whose report had not
/// been read.
#[test]
fn stream_is_not_taken_up_at_a_new_version_of_its_engine() {
    for headers in ["Resumes: r0\r\n", ""] {
        for _ in 0..3 {
            let answer = take_up_after_restart(headers);
            assert!(!answer.text().contains("v2"), "{headers}{}", answer.text());
            assert_ne!(answer.status(), 200, "{headers}");
        }
    }
}

/// A caller that does not name the request that it resumes must not get another version.
#[test]
fn stream_without_a_name_is_not_taken_up_while_two_versions_serve() {
    let old = engine(ANY, "v1");
    let deployment = Deployment::start(&[&old]);
    let other = engine(ANY, "v2");
    register(&deployment.store, "i-1", &other, "ready", "v2");
    thread::sleep(READ);
    let answer = deployment.request(&turn("s1", "Last-Event-Id: 2\r\n"));
    assert_eq!(answer.status(), 503, "{}", answer.text());
    deployment.store.remove("keyed.servers", "i-0");
    thread::sleep(READ);
    let answer = deployment.request(&turn("s2", "Last-Event-Id: 2\r\n"));
    assert_eq!(answer.status(), 503, "{}", answer.text());
}

/// All instances start again just after the last engine of a version is gone; none of them has seen
/// that version.
#[test]
fn stream_is_not_taken_up_at_instances_that_never_saw_its_version() {
    let store = store::start(store::Config::default()).unwrap();
    configure(&store, 1, 0);
    let old = engine(ANY, "v1");
    register(&store, "i-0", &old, "ready", "v1");
    let first = Instance::start("entry-1", store.address());
    first.wait_ready();
    thread::sleep(READ);
    let mut streams = begin(&first, 1);
    read_two_events(&mut streams[0]);
    let new = engine(ANY, "v2");
    let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    register_start(&store, &new, "v2", born.as_millis() as u64);
    drop(first);
    let again = Instance::start_again("a", "entry-1", store.address());
    again.wait_ready();
    for headers in ["Resumes: r0\r\n", ""] {
        let answer = again.request(&turn("s1", &format!("Last-Event-Id: 2\r\n{headers}")));
        assert!(!answer.text().contains("v2"), "{headers}{}", answer.text());
        assert_eq!(answer.status(), 503, "{headers}{}", answer.text());
    }
}
