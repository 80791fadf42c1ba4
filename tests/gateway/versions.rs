//! Guards streams against going on at another software version than the one that began them.

use std::{
    io::{
        Read as _,
        Write as _, //
    },
    net::TcpStream,
    thread,
    time::{
        Duration,
        Instant, //
    },
};

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
    events,
    read,
    register,
    request,
    Action,
    Deployment,
    Instance,
    Message,
    Upstream, //
};

/// Streams of a test; a choice among two engines at random keeps one version once in a thousand runs.
const STREAMS: usize = 10;

/// Time in which instances learn of each other and of a change of the registry.
const SPREAD: Duration = Duration::from_millis(2_500);

/// Returns an engine that sends the events after the requested one.
fn engine() -> Upstream {
    Upstream::start(|_, request| {
        let after = request.header("last-event-id");
        let after: u64 = after.and_then(|id| id.parse().ok()).unwrap_or(0);
        Action::Answer(events(request, after + 1..=5, true))
    })
}

/// Returns an engine that sends two events, and nothing more unless the caller resumes the stream.
fn stalling_engine() -> Upstream {
    Upstream::start(|_, request| {
        let by_caller = request.header("resumes").is_some();
        let resumed = request.header("last-event-id").is_some();
        match (resumed, by_caller) {
            (true, true) => Action::Answer(events(request, 3..=5, true)),
            (true, false) => Action::Silent,
            (false, _) => {
                let first = events(request, 1..=2, false);
                Action::Pause(first, Duration::from_secs(8), Vec::new())
            }
        }
    })
}

fn turn(id: &str, headers: &str) -> String {
    let headers = format!("{headers}Token-Count: 50,40\r\n");
    let text = request("POST", "/stream/x", &headers, "");
    text.replace("Request-Id: r1", &format!("Request-Id: {id}"))
}

/// Returns a request that takes a stream up after its second event.
fn resumption(id: &str, resumes: &str) -> String {
    turn(id, &format!("Last-Event-Id: 2\r\nResumes: {resumes}\r\n"))
}

fn count(engine: &Upstream, header: &str) -> usize {
    let requests = engine.requests();
    let has_header = |request: &&Message| request.header(header).is_some();
    requests.iter().filter(has_header).count()
}

/// Returns the number of requests that resume a stream.
fn resumed(engine: &Upstream) -> usize {
    count(engine, "last-event-id")
}

/// Starts instances on a store with an engine of version v1, and waits until they are ready.
fn instances(count: usize, engine: &Upstream) -> (Server<Store>, Vec<Instance>) {
    let store = store::start(store::Config::default()).unwrap();
    configure(&store, 1, 0);
    register(&store, "i-0", engine, "ready", "v1");
    let instances: Vec<_> = (0..count)
        .map(|number| Instance::start(&format!("entry-{number}"), store.address()))
        .collect();
    instances.iter().for_each(Instance::wait_ready);
    thread::sleep(SPREAD);
    (store, instances)
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

/// The engine of some streams crashes. The gateway must resume them at an engine of its version,
/// and not at any other that is free.
#[test]
fn streams_of_a_crashed_engine_go_on_at_its_version() {
    // The second event and the crash come well before the time after which the gateway starts a
    // stream without an event again, or resumes one that stalls.
    let crashing = Upstream::start(|_, request| {
        let first = events(request, 1..=1, false);
        let both = events(request, 1..=2, false);
        let second = both[first.len()..].to_vec();
        Action::Parts(vec![first, second], Duration::from_millis(450))
    });
    let deployment = Deployment::start(&[&crashing]);
    let mut streams: Vec<_> = (0..STREAMS).map(|_| deployment.connect()).collect();
    for (number, stream) in streams.iter_mut().enumerate() {
        let text = turn(&format!("r{number}"), "");
        stream.write_all(text.as_bytes()).unwrap();
    }
    while crashing.requests().len() < STREAMS {
        thread::sleep(Duration::from_millis(5));
    }
    crashing.stop();
    let (same, other) = (engine(), engine());
    register(&deployment.store, "i-1", &same, "ready", "v1");
    register(&deployment.store, "i-2", &other, "ready", "v2");
    for stream in &mut streams {
        let answer = read(stream).unwrap();
        assert!(answer.complete, "{}", answer.text());
    }
    assert_eq!(resumed(&other), 0, "streams went on at another version");
    assert_eq!(
        resumed(&same),
        STREAMS,
        "of {} requests",
        same.requests().len()
    );
}

/// The engine of a stream crashes and no other has its version. The stream must end unfinished.
#[test]
fn stream_without_an_engine_of_its_version_ends() {
    let crashing = Upstream::start(|_, request| {
        thread::sleep(Duration::from_millis(900));
        Action::Close(events(request, 1..=2, false))
    });
    let deployment = Deployment::start(&[&crashing]);
    let mut stream = deployment.connect();
    stream.write_all(turn("r1", "").as_bytes()).unwrap();
    while crashing.requests().is_empty() {
        thread::sleep(Duration::from_millis(5));
    }
    crashing.stop();
    let other = engine();
    register(&deployment.store, "i-1", &other, "ready", "v2");
    let answer = read(&mut stream).unwrap();
    assert_eq!(answer.status(), 200);
    assert!(!answer.complete);
    assert_eq!(resumed(&other), 0, "the stream went on at another version");
}

/// An instance is killed, and its callers take their streams up through others, which have to learn
/// where the streams began.
#[test]
fn streams_of_a_killed_instance_go_on_at_their_version() {
    let began = stalling_engine();
    let (store, instances) = instances(5, &began);
    let mut streams: Vec<_> = (0..STREAMS).map(|_| instances[0].connect()).collect();
    for (number, stream) in streams.iter_mut().enumerate() {
        let text = turn(&format!("r{number}"), "");
        stream.write_all(text.as_bytes()).unwrap();
        read_two_events(stream);
    }
    let other = engine();
    register(&store, "i-1", &other, "ready", "v2");
    thread::sleep(Duration::from_millis(1_500));
    instances[0].signal("KILL");
    for number in 0..STREAMS {
        let text = resumption(&format!("s{number}"), &format!("r{number}"));
        let answer = instances[1 + number % 4].request(&text);
        assert_eq!(answer.status(), 200, "{}", answer.text());
        assert!(answer.complete, "{}", answer.text());
    }
    assert_eq!(resumed(&other), 0, "streams went on at another version");
    assert_eq!(count(&began, "resumes"), STREAMS);
}

/// Nobody knows where a stream began, and two versions serve. It must not go on, and the refusal
/// comes at once and names no time to retry, which would bring nothing.
#[test]
fn stream_of_unknown_origin_is_refused_while_two_versions_serve() {
    let (first, second) = (engine(), engine());
    let deployment = Deployment::start(&[&first]);
    register(&deployment.store, "i-1", &second, "ready", "v2");
    thread::sleep(Duration::from_millis(1_500));
    let start = Instant::now();
    let answer = deployment.request(&resumption("s1", "lost"));
    assert_eq!(answer.status(), 503, "{}", answer.text());
    assert_eq!(answer.header("retry-after"), None);
    assert!(start.elapsed() < Duration::from_millis(500));
    assert_eq!(resumed(&first) + resumed(&second), 0);
}

/// The instances that know where a stream began don't answer. The caller may find another instance
/// that reaches them, so the refusal names a time to retry.
#[test]
fn stream_whose_keepers_do_not_answer_may_be_retried() {
    let (first, second) = (engine(), engine());
    let (store, instances) = instances(2, &first);
    register(&store, "i-1", &second, "ready", "v2");
    thread::sleep(Duration::from_millis(1_500));
    instances[0].signal("STOP");
    let start = Instant::now();
    let answer = instances[1].request(&resumption("s1", "lost"));
    assert_eq!(answer.status(), 503, "{}", answer.text());
    assert!(answer.header("retry-after").is_some());
    assert!(start.elapsed() < Duration::from_millis(500));
    assert_eq!(resumed(&first) + resumed(&second), 0);
}

/// Where a stream began is known if there is one version only.
#[test]
fn stream_of_unknown_origin_goes_on_while_one_version_serves() {
    let upstream = engine();
    let deployment = Deployment::start(&[&upstream]);
    let answer = deployment.request(&resumption("s1", "lost"));
    assert_eq!(answer.status(), 200);
    assert!(answer.complete);
    assert!(answer.text().starts_with("id: 3\n"));
}

/// An instance that can't read the registry does not know which versions serve by now.
#[test]
fn stream_of_unknown_origin_is_refused_while_the_registry_is_stale() {
    let upstream = engine();
    let deployment = Deployment::start(&[&upstream]);
    deployment.store.set_faults(Faults {
        busy: true,
        ..Faults::default()
    });
    thread::sleep(Duration::from_millis(3_500));
    let answer = deployment.request(&resumption("s1", "lost"));
    assert_eq!(answer.status(), 503, "{}", answer.text());
    assert_eq!(resumed(&upstream), 0);
}

/// The version that began a stream serves no more when the caller takes it up.
#[test]
fn stream_of_a_version_that_is_gone_is_refused() {
    let (began, other) = (stalling_engine(), engine());
    let deployment = Deployment::start(&[&began]);
    let mut stream = deployment.connect();
    stream.write_all(turn("r1", "").as_bytes()).unwrap();
    read_two_events(&mut stream);
    register(&deployment.store, "i-1", &other, "ready", "v2");
    deployment.store.remove("keyed.servers", "i-0");
    thread::sleep(Duration::from_millis(1_500));
    let answer = deployment.request(&resumption("s1", "r1"));
    assert_eq!(answer.status(), 503, "{}", answer.text());
    assert_eq!(resumed(&other), 0, "the stream went on at another version");
}
