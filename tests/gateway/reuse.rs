//! Guards against taking a process for the one that had its address or identifier before: what an
//! upstream did, knew or answered ends with its process.

use std::{
    io::{
        Read as _,
        Write as _, //
    },
    net::{
        SocketAddr,
        TcpStream, //
    },
    rc::Rc,
    thread,
    time::Duration, //
};

use gypsumlever::{
    clock::Time,
    gateway::{
        balance::Settings,
        call::{
            Part,
            Prompt, //
        },
        fleet::Fleet,
        registry::{
            Change,
            Registry,
            Server as Entry, //
        },
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

use crate::{
    stranded::refusing,
    support::{
        configure,
        read,
        request,
        Action,
        Deployment,
        Instance,
        Message,
        Upstream, //
    },
};

const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Time that an upstream takes to answer, in which the instance is paused.
const WORK_TIME: Duration = Duration::from_millis(300);

/// Time in which instances learn of each other.
const SPREAD: Duration = Duration::from_millis(2_500);

/// Time in which an instance reads a change of the registry.
const READ: Duration = Duration::from_millis(1_000);

const HEADERS: &str = "Token-Count: 50,40\r\nDeadline-Ms: 3000\r\n";

fn text(request_id: &str, path: &str, headers: &str) -> String {
    let text = request("POST", path, headers, "");
    text.replace("Request-Id: r1", &format!("Request-Id: {request_id}"))
}

/// Returns the head of an answer that ends with its connection.
fn unframed(request: &Message, body: &str) -> Vec<u8> {
    let id = request.header("request-id").unwrap_or("");
    let head = format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: s\r\n\r\n");
    (head + body).into_bytes()
}

/// Returns events in chunks that name the software version of their engine.
fn events(request: &Message, version: &str, ids: std::ops::RangeInclusive<u64>) -> Vec<u8> {
    let id = request.header("request-id").unwrap_or("");
    let ended = *ids.end() == 5;
    let mut text = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    for id in ids {
        let event = format!("id: {id}\ndata: {version}\n\n");
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

fn publish(store: &Server<Store>, id: &str, address: SocketAddr, version: &str, born: u64) {
    let entry = json!({
        "service": "s", "address": address, "zone": "a", "version": version,
        "slots": 4, "state": "ready", "coldLeftMs": 0, "sequence": 1, "born": born,
    });
    store.put("keyed.servers", id, entry.to_string().as_bytes());
}

fn read_two_events(stream: &mut TcpStream) {
    let mut text = String::new();
    let mut buffer = [0; 1_024];
    while !text.contains("id: 2\n") {
        let length = stream.read(&mut buffer).unwrap();
        assert!(length > 0, "the stream ended early: {text}");
        text.push_str(&String::from_utf8_lossy(&buffer[..length]));
    }
}

/// Pauses an instance while an upstream sends half of an answer, ends, and starts again at its
/// address; returns what the caller gets.
fn restart_in_pause(path: &str, half: &'static str) -> Message {
    let old = Upstream::start(move |_, request| {
        thread::sleep(WORK_TIME);
        Action::Pause(unframed(request, half), Duration::from_secs(6), Vec::new())
    });
    let deployment = Deployment::start(&[&old]);
    let mut caller = deployment.connect();
    let text = text("r0", path, HEADERS);
    caller.write_all(text.as_bytes()).unwrap();
    while old.requests().is_empty() {
        thread::sleep(Duration::from_millis(5));
    }
    deployment.signal("STOP");
    thread::sleep(WORK_TIME * 2);
    old.crash();
    let _new = Upstream::start_at(old.address, |_, _| Action::Silent);
    deployment.signal("CONT");
    read(&mut caller).unwrap_or_default()
}

/// Half of an answer without a length passed for the whole one: the connection that shows whether its
/// upstream lives on was opened to the next process at the address.
#[test]
fn half_an_answer_is_not_whole_after_its_upstream_started_again() {
    for _ in 0..3 {
        let answer = restart_in_pause("/once/x", "half");
        assert_ne!(answer.status(), 200, "{}", answer.text());
    }
}

/// As above; the events that came before must not end as a whole stream.
#[test]
fn stream_is_not_complete_after_its_upstream_started_again() {
    for _ in 0..3 {
        let answer = restart_in_pause("/stream/x", "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n");
        assert!(!answer.complete, "{}", answer.text());
    }
}

/// An instance that lost its paths and reads no entries asked a helper for an identifier, and its
/// stream went on at another version, of a later start that the helper knew.
#[test]
fn stream_behind_a_tunnel_does_not_go_on_at_a_later_start() {
    let [helper_store, store] = [(); 2].map(|()| store::start(store::Config::default()).unwrap());
    configure(&helper_store, 1, 0);
    configure(&store, 1, 0);
    let old = engine(ANY, "v1");
    publish(&helper_store, "i-0", old.address, "v1", 1);
    publish(&store, "i-0", refusing(), "v1", 1);
    let helper = Instance::start("helper-0", helper_store.address());
    helper.wait_ready();
    let entry = json!({ "zone": "a", "address": helper.peers.to_string() });
    store.put("keyed.instances", "helper-0", entry.to_string().as_bytes());
    let stranded = Instance::start("stranded", store.address());
    stranded.wait_ready();
    thread::sleep(SPREAD);
    let mut stream = stranded.connect();
    stream
        .write_all(text("r0", "/stream/x", HEADERS).as_bytes())
        .unwrap();
    read_two_events(&mut stream);
    store.set_faults(Faults {
        busy: true,
        ..Faults::default()
    });
    let new = engine(ANY, "v2");
    publish(&helper_store, "i-0", new.address, "v2", 2);
    thread::sleep(Duration::from_millis(1_200));
    old.crash();
    let mut rest = String::new();
    // The connection may be reset.
    let _ = stream.read_to_string(&mut rest);
    assert!(!rest.contains("v2"), "{rest}");
}

/// Replaces the engine of streams on a route with one attempt by one of another version, which starts
/// at the same address or at any, while another engine has their version; returns what follows the
/// second events.
fn replace_beside_another(same_address: bool) -> Vec<String> {
    let (old, other) = (engine(ANY, "v1"), engine(ANY, "v1"));
    let deployment = Deployment::start(&[&old, &other]);
    let mut streams: Vec<_> = (0..8).map(|_| deployment.connect()).collect();
    for (number, stream) in streams.iter_mut().enumerate() {
        let text = text(&format!("r{number}"), "/stream/x", HEADERS);
        stream.write_all(text.as_bytes()).unwrap();
    }
    streams.iter_mut().for_each(read_two_events);
    assert_ne!(old.requests().len(), 0);
    old.stop();
    let new = engine(if same_address { old.address } else { ANY }, "v2");
    publish(&deployment.store, "i-0", new.address, "v2", 2);
    thread::sleep(READ);
    old.end_connections();
    let read_rest = |stream: &mut TcpStream| {
        let mut rest = String::new();
        let mut buffer = [0; 1_024];
        while !rest.contains("id: 5\n") {
            match stream.read(&mut buffer) {
                Ok(0) | Err(_) => break,
                Ok(length) => rest.push_str(&String::from_utf8_lossy(&buffer[..length])),
            }
        }
        rest
    };
    streams.iter_mut().map(read_rest).collect()
}

fn assert_go_on(rests: &[String]) {
    for rest in rests {
        assert!(!rest.contains("v2"), "{rest}");
        assert!(rest.contains("id: 5\n"), "the stream ended early: {rest}");
    }
}

/// A stream on a route with one attempt broke although another engine of its version ran: the next
/// process at the address of its engine passed for one that still ran it.
#[test]
fn stream_goes_on_elsewhere_after_another_process_took_the_address() {
    assert_go_on(&replace_beside_another(true));
}

/// As above; nothing listens at the address.
#[test]
fn stream_goes_on_elsewhere_after_its_upstream_moved() {
    assert_go_on(&replace_beside_another(false));
}

fn entry(id: &str, started: u64) -> Entry {
    Entry {
        id: id.into(),
        service: "s".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "a".into(),
        version: "v1".into(),
        slots: 4,
        draining: false,
        started,
        report: 1,
    }
}

/// An engine that started again was presumed to hold the prompts of its predecessor, and got turns
/// that others had in memory.
#[test]
fn memory_of_an_upstream_ends_with_its_process() {
    let prompt = Prompt {
        tokens: 1_000,
        max_tokens: 100,
        parts: vec![Part {
            id: 1,
            tokens: 1_000,
        }],
    };
    let prefixes = prompt.prefixes();
    for (id, started) in [("i-0", 2), ("i-1", 2)] {
        let fleet = Rc::new(Fleet::new(Settings::default()));
        let apply = |change| fleet.registry.borrow_mut().apply(Time::monotonic(), change);
        apply(Change::Present(entry("i-0", 1)));
        let address = entry("i-0", 1).address;
        fleet.load(address, |load| load.record_cached(&prefixes, 10_000));
        if id != "i-0" {
            apply(Change::Absent("i-0".into()));
        }
        apply(Change::Present(entry(id, started)));
        fleet.sweep();
        let cached = fleet.load(address, |load| load.cached_tokens(&prefixes));
        assert_eq!(cached, 0, "{id}");
    }
}

/// The entry of an engine that crashed stays for some heartbeats; the next one at its address counted
/// as gone for as long.
#[test]
fn upstream_is_not_gone_while_the_entry_of_its_predecessor_stays() {
    let now = Time(10_000_000_000);
    let mut registry = Registry::default();
    registry.apply(now, Change::Present(entry("i-0", 1)));
    registry.apply(now, Change::Present(entry("i-1", 2)));
    registry.record_read(now);
    assert!(registry.is_gone(now, &entry("i-0", 1)));
    assert!(!registry.is_gone(now, &entry("i-1", 2)));
}
