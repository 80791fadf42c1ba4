//! Guards streams against going on at a process that their instance takes for another: the entry or the
//! address of an engine stands for a process only until it starts again.

use std::{
    io::{
        Read as _,
        Write as _, //
    },
    net::{
        SocketAddr,
        TcpStream, //
    },
    sync::{
        atomic::{
            AtomicBool,
            Ordering, //
        },
        mpsc, //
    },
    thread,
    time::{
        Duration,
        Instant, //
        SystemTime,
        UNIX_EPOCH, //
    },
};

use serde_json::json;
use standin::{
    server::{
        Network,
        Outage,
        Server, //
    },
    store::{
        self,
        Faults,
        Store, //
    },
};

use crate::{
    stranded::{
        refusing,
        Fleet, //
    },
    support::{
        configure,
        get,
        request,
        Action,
        Deployment,
        Instance,
        Message,
        Upstream, //
    },
};

/// Streams of a test.
const STREAMS: usize = 8;

/// Events of a stream.
const EVENTS: u64 = 5;

/// Time for which an engine stalls after the first events of a stream.
const STALL: Duration = Duration::from_secs(4);

/// Time for which the report of a new start does not reach the store.
const UNREPORTED: Duration = Duration::from_secs(1);

/// Time in which instances read a change of the registry.
const READ: Duration = Duration::from_millis(1_500);

/// Time in which instances learn of each other.
const SPREAD: Duration = Duration::from_millis(2_500);

const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// A start of an engine.
#[derive(Clone, Copy, Debug)]
struct Start {
    version: &'static str,
    born: u64,
    /// Whether the engine reports its start.
    reports: bool,
}

impl Start {
    const fn new(version: &'static str, born: u64) -> Self {
        Self {
            version,
            born,
            reports: true,
        }
    }

    const fn without_report(self) -> Self {
        Self {
            reports: false,
            ..self
        }
    }

    /// Starts the engine, which follows a script.
    fn run(
        self,
        address: SocketAddr,
        script: impl Fn(&Message) -> Action + Send + Sync + 'static,
    ) -> Upstream {
        let script = move |_: usize, request: &Message| script(request);
        match self.reports {
            true => Upstream::start_born(address, self.born, script),
            false => Upstream::start_at(address, script),
        }
    }

    /// Starts the engine, which sends two events of a new stream and stalls, and the rest of others.
    fn run_stalling(self, address: SocketAddr) -> Upstream {
        self.run(address, move |request| match after(request) {
            Some(after) => Action::Answer(events(request, self.version, after + 1..=EVENTS)),
            None => Action::Pause(events(request, self.version, 1..=2), STALL, Vec::new()),
        })
    }

    fn register(self, store: &Server<Store>, id: &str, address: SocketAddr) {
        self.register_for("s", store, id, address);
    }

    fn register_for(self, service: &str, store: &Server<Store>, id: &str, address: SocketAddr) {
        let entry = json!({
            "service": service, "address": address, "zone": "a", "version": self.version,
            "slots": 4, "state": "ready", "coldLeftMs": 0, "sequence": 1, "born": self.born,
        });
        store.put("keyed.servers", id, entry.to_string().as_bytes());
    }
}

const V1: Start = Start::new("v1", 1);
const V2: Start = Start::new("v2", 2);

fn after(request: &Message) -> Option<u64> {
    let after = request.header("last-event-id");
    after.and_then(|id| id.parse().ok())
}

/// Returns the text of events that name the software version of their engine.
fn event_text(version: &str, ids: std::ops::RangeInclusive<u64>) -> String {
    ids.map(|id| format!("id: {id}\ndata: {version}\n\n"))
        .collect()
}

/// Returns an answer in chunks, which ends with the last event.
fn events(request: &Message, version: &str, ids: std::ops::RangeInclusive<u64>) -> Vec<u8> {
    let id = request.header("request-id").unwrap_or("");
    let ended = *ids.end() == EVENTS;
    let mut text = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    for id in ids {
        let event = event_text(version, id..=id);
        text.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
    }
    if ended {
        text.push_str("0\r\n\r\n");
    }
    text.into_bytes()
}

fn turn(id: &str, headers: &str) -> String {
    let headers = format!("{headers}Token-Count: 50,40\r\n");
    let text = request("POST", "/stream/x", &headers, "");
    text.replace("Request-Id: r1", &format!("Request-Id: {id}"))
}

/// Begins a stream and reads its first two events.
fn begin(instance: &Instance, number: usize) -> Stream {
    begin_with(instance, &turn(&format!("r{number}"), ""))
}

fn begin_with(instance: &Instance, text: &str) -> Stream {
    let mut connection = instance.connect();
    connection.write_all(text.as_bytes()).unwrap();
    let mut stream = Stream {
        connection,
        text: String::new(),
    };
    while !stream.text.contains("id: 2\n") {
        assert!(stream.read(), "the stream ended early: {}", stream.text);
    }
    stream
}

fn begin_all(instance: &Instance) -> Vec<Stream> {
    thread::scope(|scope| {
        let begin = |number| scope.spawn(move || begin(instance, number));
        let streams: Vec<_> = (0..STREAMS).map(begin).collect();
        let streams = streams.into_iter().map(|stream| stream.join().unwrap());
        streams.collect()
    })
}

/// A stream as its caller reads it.
struct Stream {
    connection: TcpStream,
    /// Bytes read so far.
    text: String,
}

impl Stream {
    /// Reads further bytes; returns whether there were any.
    fn read(&mut self) -> bool {
        let mut buffer = [0; 1_024];
        // The connection may be reset.
        let length = self.connection.read(&mut buffer).unwrap_or(0);
        let text = String::from_utf8_lossy(&buffer[..length]);
        self.text.push_str(&text);
        length > 0
    }

    /// Reads the rest; returns whether the stream was complete, and its text.
    fn finish(mut self) -> (bool, String) {
        while !self.text.ends_with("0\r\n\r\n") && self.read() {}
        (self.text.ends_with("0\r\n\r\n"), self.text)
    }
}

/// Takes the streams up after their second event, all at once.
fn take_up_all(instance: &Instance, first: usize) -> Vec<Message> {
    let take_up = |number: usize| {
        let headers = format!("Last-Event-Id: 2\r\nResumes: r{number}\r\n");
        instance.request(&turn(&format!("s{}", first + number), &headers))
    };
    thread::scope(|scope| {
        let answers: Vec<_> = (0..STREAMS)
            .map(|number| scope.spawn(move || take_up(number)))
            .collect();
        let answers = answers.into_iter().map(|answer| answer.join().unwrap());
        answers.collect()
    })
}

/// Returns whether an answer asks its caller to retry later.
fn is_refused(answer: &Message) -> bool {
    answer.status() == 503 && answer.header("retry-after").is_some()
}

/// Ends an engine whose successor is at its address before its connections end, so that none is
/// refused in between.
fn replace(old: &Upstream, start: impl FnOnce(SocketAddr) -> Upstream) -> Upstream {
    old.stop();
    let new = start(old.address);
    old.end_connections();
    new
}

/// Returns the text of an answer that ends with its connection.
fn unframed(request: &Message, body: &str) -> Vec<u8> {
    let id = request.header("request-id").unwrap_or("");
    let head = format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: s\r\n\r\n");
    (head + body).into_bytes()
}

/// Why an instance does not know of a new start.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    /// The store refuses connections.
    Refusing,
    /// The store is silent.
    Silent,
    /// The store is slow, and the report is late.
    Slow,
    /// The report is late.
    Late,
}

const TROUBLES: [Trouble; 4] = [
    Trouble::Refusing,
    Trouble::Silent,
    Trouble::Slow,
    Trouble::Late,
];

/// Troubles in which nothing tells whether an engine without a report started again.
const OUTAGES: [Trouble; 2] = [Trouble::Refusing, Trouble::Silent];

impl Trouble {
    fn begin(self, store: &Server<Store>) {
        let network = match self {
            Self::Refusing => Network {
                outage: Some(Outage::Refuse),
                ..Network::default()
            },
            Self::Silent => Network {
                outage: Some(Outage::Silent),
                ..Network::default()
            },
            Self::Slow => Network {
                latency_ms: 600,
                ..Network::default()
            },
            Self::Late => Network::default(),
        };
        store.set_faults(Faults {
            network,
            ..Faults::default()
        });
    }
}

/// Runs each case at the same time; fails if one of them counts streams.
fn assert_none<C: Copy + Send + Sync + std::fmt::Debug>(
    cases: &[C],
    count: impl Fn(C) -> Vec<String> + Sync,
) {
    let found: Vec<_> = thread::scope(|scope| {
        let count = &count;
        let runs: Vec<_> = cases
            .iter()
            .map(|case| (case, scope.spawn(move || count(*case))))
            .collect();
        let found = runs
            .into_iter()
            .map(|(case, run)| (case, run.join().unwrap()));
        found.collect()
    });
    for (case, wrong) in &found {
        let first = wrong.first();
        println!("{case:?}: {} streams of {STREAMS}: {first:?}", wrong.len());
    }
    assert!(found.iter().all(|(_, wrong)| wrong.is_empty()));
}

/// An upstream of these tests that said the start of another process would hide each of the faults.
#[test]
fn report_names_the_start_of_its_own_process() {
    let old = Upstream::start_born(ANY, 1, |_, _| Action::Silent);
    let report = get(old.address, "/v1/report");
    assert!(report.text().contains(r#""born":1,"#), "{}", report.text());
    old.crash();
    let new = Upstream::start_born(old.address, 2, |_, _| Action::Silent);
    let report = get(old.address, "/v1/report");
    assert!(report.text().contains(r#""born":2,"#), "{}", report.text());
    assert_eq!((old.reports(), new.reports()), (1, 1));
    let unnamed = Upstream::start(|_, _| Action::Silent);
    assert_eq!(get(unnamed.address, "/v1/report").status(), 404);
    assert_eq!(unnamed.requests().len() + new.requests().len(), 0);
}

/// Replaces the engine of streams in the middle; returns those that went on at the new one.
fn replace_in_streams(old: Start, new: Start, trouble: Trouble) -> Vec<String> {
    let engine = old.run_stalling(ANY);
    let deployment = Deployment::start(&[&engine]);
    trouble.begin(&deployment.store);
    let streams = begin_all(&deployment);
    let _new = replace(&engine, |address| new.run_stalling(address));
    thread::sleep(UNREPORTED);
    new.register(&deployment.store, "i-0", engine.address);
    let answers = streams.into_iter().map(Stream::finish);
    let wrong = answers.filter(|(complete, text)| *complete || text.contains(new.version));
    wrong.map(|(_, text)| text).collect()
}

/// Streams went on at another version of their engine, as its new entry had not been read: the store
/// failed or was slow, or the report came late.
#[test]
fn streams_do_not_go_on_at_a_process_that_says_another_start() {
    assert_none(&TROUBLES, |trouble| replace_in_streams(V1, V2, trouble));
}

/// As above; nothing confirms an engine that says nothing while the store fails.
#[test]
fn streams_do_not_go_on_at_a_silent_process_while_the_store_fails() {
    let [old, new] = [V1, V2].map(Start::without_report);
    assert_none(&OUTAGES, |trouble| replace_in_streams(old, new, trouble));
}

/// Replaces the engine of streams whose callers left, and who take them up; returns the answers that
/// are not as `expected`.
fn replace_before_resumption(
    old: Start,
    new: Start,
    trouble: Trouble,
    expected: impl Fn(&Message) -> bool,
) -> Vec<String> {
    let engine = old.run_stalling(ANY);
    let deployment = Deployment::start(&[&engine]);
    trouble.begin(&deployment.store);
    drop(begin_all(&deployment));
    let _new = replace(&engine, |address| new.run_stalling(address));
    let answers = take_up_all(&deployment, 0);
    let wrong = answers
        .iter()
        .filter(|answer| answer.text().contains(new.version) || !expected(answer));
    wrong
        .map(|answer| answer.start_line.clone() + &answer.text())
        .collect()
}

/// Callers took their streams up at another version of their engine, whose new entry had not been
/// read.
#[test]
fn streams_are_not_taken_up_at_a_process_that_says_another_start() {
    assert_none(&TROUBLES, |trouble| {
        replace_before_resumption(V1, V2, trouble, is_refused)
    });
}

/// As above; nothing confirms an engine that says nothing while the store fails.
#[test]
fn streams_are_not_taken_up_at_a_silent_process_while_the_store_fails() {
    let [old, new] = [V1, V2].map(Start::without_report);
    assert_none(&OUTAGES, |trouble| {
        // An engine that was asked may have run the request.
        replace_before_resumption(old, new, trouble, |answer| answer.status() >= 500)
    });
}

/// Instances on a store with one engine.
struct Pair {
    store: Server<Store>,
    instances: [Instance; 2],
}

impl Pair {
    /// Starts instances that know of an engine, and of each other.
    fn start(start: Start, engine: SocketAddr) -> Self {
        let store = store::start(store::Config::default()).unwrap();
        configure(&store, 1, 0);
        start.register(&store, "i-0", engine);
        let instances = ["entry-0", "entry-1"].map(|name| Instance::start(name, store.address()));
        instances.iter().for_each(Instance::wait_ready);
        thread::sleep(SPREAD);
        Self { store, instances }
    }
}

/// Begins streams at a start whose entry still names the one before; returns what goes on at the
/// version of that entry after an instance, or the one that began the streams, was asked for the rest.
fn take_up_streams_of_unreported_start(start: fn(Start) -> Start, at: usize) -> Vec<String> {
    let [old, new] = [V1, V2].map(start);
    let ended = old.run_stalling(ANY);
    let pair = Pair::start(old, ended.address);
    ended.crash();
    let engine = new.run_stalling(ended.address);
    drop(begin_all(&pair.instances[0]));
    let other = old.run_stalling(ANY);
    new.register(&pair.store, "i-0", engine.address);
    old.register(&pair.store, "i-1", other.address);
    thread::sleep(READ);
    let answers = take_up_all(&pair.instances[at], 0);
    let rest = event_text(new.version, 3..=EVENTS);
    let wrong = answers
        .iter()
        .filter(|answer| answer.status() != 503 && answer.text() != rest);
    wrong
        .map(|answer| answer.start_line.clone() + &answer.text())
        .collect()
}

/// Streams that began at an engine before its new entry was read counted as those of the version
/// before, and their callers were sent to an engine of that version.
#[test]
fn streams_of_an_unreported_start_are_not_taken_up_at_the_version_before() {
    let cases = [
        ("same instance", 0, false),
        ("other instance", 1, false),
        ("same instance, no report", 0, true),
        ("other instance, no report", 1, true),
    ];
    assert_none(&cases, |(_, at, silent)| match silent {
        true => take_up_streams_of_unreported_start(Start::without_report, at),
        false => take_up_streams_of_unreported_start(|start| start, at),
    });
}

/// As above, for streams whose engine ends before its callers leave.
#[test]
fn streams_of_an_unreported_start_do_not_go_on_at_the_version_before() {
    assert_none(&[true, false], |reports| {
        let [old, new] = [V1, V2].map(|start| Start { reports, ..start });
        let ended = old.run_stalling(ANY);
        let deployment = Deployment::start(&[&ended]);
        ended.crash();
        let engine = new.run_stalling(ended.address);
        let streams = begin_all(&deployment);
        let other = old.run_stalling(ANY);
        new.register(&deployment.store, "i-0", engine.address);
        old.register(&deployment.store, "i-1", other.address);
        // Less than the time after which an instance resumes a stream that stalls.
        thread::sleep(Duration::from_millis(1_100));
        engine.crash();
        let answers = streams.into_iter().map(Stream::finish);
        let wrong = answers.filter(|(complete, text)| *complete || text.contains(old.version));
        wrong.map(|(_, text)| text).collect()
    });
}

/// Sends two events of a new stream, and two of the rest of others in an answer that would end with
/// its connection.
fn run_unframed(start: Start, address: SocketAddr, begun: fn(Vec<u8>) -> Action) -> Upstream {
    start.run(address, move |request| match after(request) {
        Some(_) => {
            let first = unframed(request, &event_text(start.version, 3..=4));
            Action::Pause(first, STALL, Vec::new())
        }
        None => begun(events(request, start.version, 1..=2)),
    })
}

/// Starts an engine again in the middle of its answers, which the instance has not yet confirmed as
/// its store is slow.
fn restart_in_resumptions(engine: &Upstream, start: Start) -> Upstream {
    // Some may be refused without being sent.
    let until = Instant::now() + Duration::from_secs(1);
    while engine.requests().len() < 2 * STREAMS && Instant::now() < until {
        thread::sleep(Duration::from_millis(1));
    }
    thread::sleep(Duration::from_millis(50));
    let again = Start { born: 3, ..start };
    replace(engine, |address| {
        again.run(address, move |request| {
            let after = after(request).unwrap_or(0);
            Action::Close(unframed(
                request,
                &event_text(start.version, after + 1..=EVENTS),
            ))
        })
    })
}

const REPORTING: [Start; 2] = [V1, V1.without_report()];

/// The end of a process in the middle of what a caller took up counted as the end of the stream, as
/// the next process was at its address before the answer was confirmed.
#[test]
fn streams_that_are_taken_up_do_not_end_with_their_process() {
    assert_none(&REPORTING, |start| {
        let engine = run_unframed(start, ANY, |first| Action::Pause(first, STALL, Vec::new()));
        let deployment = Deployment::start(&[&engine]);
        drop(begin_all(&deployment));
        Trouble::Slow.begin(&deployment.store);
        let (_again, answers) = thread::scope(|scope| {
            let answers = scope.spawn(|| take_up_all(&deployment, 0));
            let again = restart_in_resumptions(&engine, start);
            (again, answers.join().unwrap())
        });
        let rest = event_text(start.version, 3..=EVENTS);
        let wrong = answers
            .iter()
            .filter(|answer| answer.status() == 200 && answer.complete && answer.text() != rest);
        wrong
            .map(|answer| answer.start_line.clone() + &answer.text())
            .collect()
    });
}

/// As above, for streams that the instance itself takes up.
#[test]
fn streams_that_go_on_do_not_end_with_their_process() {
    assert_none(&REPORTING, |start| {
        let engine = run_unframed(start, ANY, Action::Close);
        let deployment = Deployment::start(&[&engine]);
        Trouble::Slow.begin(&deployment.store);
        let streams = begin_all(&deployment);
        let _again = restart_in_resumptions(&engine, start);
        let last = event_text(start.version, EVENTS..=EVENTS);
        let answers = streams.into_iter().map(Stream::finish);
        let wrong = answers.filter(|(complete, text)| *complete && !text.contains(&last));
        wrong.map(|(_, text)| text).collect()
    });
}

/// Publishes a configuration with a streaming route to each of the services `s0` to `s7`.
fn configure_services(store: &Server<Store>) {
    let route = |number: usize| {
        json!({
            "name": format!("stream-{number}"), "host": "h.example",
            "pathPrefix": format!("/stream-{number}/"), "kind": "streaming", "timeoutMs": 3000,
            "targetLatencyMs": 200, "priority": 0, "service": format!("s{number}"),
            "maxAttempts": 1, "resumable": true,
        })
    };
    let service = |number: usize| {
        json!({
            "name": format!("s{number}"), "maxConns": 10, "engine": { "tokensPerEvent": 10 },
        })
    };
    let config = json!({
        "version": 1,
        "routes": (0..STREAMS).map(route).collect::<Vec<_>>(),
        "services": (0..STREAMS).map(service).collect::<Vec<_>>(),
        "limits": { "maxBodyBytes": 1000 },
    });
    store.put("keyed.op", "config", config.to_string().as_bytes());
}

/// Lets a report arrive every few milliseconds, as those of many engines do, so that reads of the
/// registry don't wait for one.
fn report_continuously(store: &Server<Store>, ended: &AtomicBool) {
    let until = Instant::now() + Duration::from_secs(60);
    while !ended.load(Ordering::SeqCst) && Instant::now() < until {
        V1.register_for("other", store, "i-other", ANY);
        thread::sleep(Duration::from_millis(20));
    }
}

/// Starts an engine that takes no new streams, but the rest of others.
fn run_full(start: Start) -> Upstream {
    start.run(ANY, move |request| match after(request) {
        Some(after) => Action::Answer(events(request, start.version, after + 1..=EVENTS)),
        None => {
            let id = request.header("request-id").unwrap_or("");
            let head = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nNot-Run: 1";
            Action::Answer(format!("{head}\r\nRequest-Id: {id}\r\n\r\n").into_bytes())
        }
    })
}

fn path(number: usize) -> String {
    format!("/stream-{number}/")
}

/// Callers that don't name the request which they resume were sent to the only version that an
/// instance had read of, while their streams had begun at the first engine of a new one.
#[test]
fn streams_without_a_name_are_not_taken_up_before_their_version_is_read() {
    let store = store::start(store::Config::default()).unwrap();
    configure_services(&store);
    let old: Vec<_> = (0..STREAMS)
        .map(|number| {
            let engine = run_full(V1);
            V1.register_for(
                &format!("s{number}"),
                &store,
                &format!("old-{number}"),
                engine.address,
            );
            engine
        })
        .collect();
    // Those that start together read the registry together.
    let instances = ["entry-0", "entry-1", "entry-2"].map(|name| {
        thread::sleep(Duration::from_millis(200));
        Instance::start(name, store.address())
    });
    instances.iter().for_each(Instance::wait_ready);
    thread::sleep(SPREAD);
    let ended = AtomicBool::new(false);
    let take_up = |number: usize| {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let start = Start {
            born: since_epoch.as_millis() as u64,
            ..V2
        };
        let engine = start.run_stalling(ANY);
        let (service, id) = (format!("s{number}"), format!("new-{number}"));
        start.register_for(&service, &store, &id, engine.address);
        let (sender, begun) = mpsc::channel();
        let answers = thread::scope(|scope| {
            for (at, instance) in instances.iter().enumerate() {
                let text = turn(&format!("r{number}-{at}"), "");
                let text = text.replace("/stream/", &path(number));
                let sender = sender.clone();
                scope.spawn(move || {
                    let stream = begin_with(instance, &text);
                    // The first one is enough.
                    let _ = sender.send((at, stream));
                });
            }
            let (first, stream) = begun.recv().unwrap();
            assert!(stream.text.contains(start.version), "{}", stream.text);
            drop(stream);
            let others = (0..instances.len()).filter(|at| *at != first);
            let text = turn(&format!("s{number}"), "Last-Event-Id: 2\r\n");
            let text = text.replace("/stream/", &path(number));
            let answers: Vec<_> = others.map(|at| instances[at].request(&text)).collect();
            answers
        });
        // The next try meets the reads at another time.
        thread::sleep(Duration::from_millis(700 + 90 * number as u64));
        let wrong = answers
            .iter()
            .find(|answer| answer.text().contains(V1.version));
        wrong.map(|answer| answer.start_line.clone() + &answer.text())
    };
    let wrong: Vec<_> = thread::scope(|scope| {
        scope.spawn(|| report_continuously(&store, &ended));
        let wrong = (0..STREAMS).filter_map(take_up).collect();
        ended.store(true, Ordering::SeqCst);
        wrong
    });
    assert_eq!(old.len(), STREAMS);
    assert!(
        wrong.is_empty(),
        "{} streams of {STREAMS}: {:?}",
        wrong.len(),
        wrong[0]
    );
}

/// Breaks streams of an engine that lives on, or lets their callers take them up; returns those that
/// are not complete.
fn go_on(start: Start, trouble: Trouble, by_caller: bool, framed: bool) -> Vec<String> {
    let engine = start.run(ANY, move |request| match after(request) {
        Some(after) if framed => Action::Answer(events(request, start.version, after + 1..=EVENTS)),
        Some(after) => {
            let rest = event_text(start.version, after + 1..=EVENTS);
            Action::Close(unframed(request, &rest))
        }
        None => Action::Pause(events(request, start.version, 1..=2), STALL, Vec::new()),
    });
    let deployment = Deployment::start(&[&engine]);
    trouble.begin(&deployment.store);
    let streams = begin_all(&deployment);
    if by_caller {
        drop(streams);
        let rest = event_text(start.version, 3..=EVENTS);
        let answers = take_up_all(&deployment, 0);
        let wrong = answers
            .iter()
            .filter(|answer| !answer.complete || answer.text() != rest);
        return wrong
            .map(|answer| answer.start_line.clone() + &answer.text())
            .collect();
    }
    engine.end_connections();
    let last = event_text(start.version, EVENTS..=EVENTS);
    let answers = streams.into_iter().map(Stream::finish);
    let wrong = answers.filter(|(complete, text)| !complete || !text.contains(&last));
    wrong.map(|(_, text)| text).collect()
}

/// Streams go on at the process that began them, which says so, while the store fails.
#[test]
fn streams_go_on_at_the_same_process_while_the_store_fails() {
    let troubles = [Trouble::Refusing, Trouble::Silent, Trouble::Slow];
    let cases = troubles.map(|trouble| [(trouble, true), (trouble, false)]);
    assert_none(cases.as_flattened(), |(trouble, by_caller)| {
        go_on(V1, trouble, by_caller, true)
    });
}

/// As above, where the end of the connection marks the end of the rest.
#[test]
fn streams_without_a_length_go_on_at_the_same_process_while_the_store_fails() {
    let troubles = [Trouble::Refusing, Trouble::Silent, Trouble::Slow];
    let cases = troubles.map(|trouble| [(trouble, true), (trouble, false)]);
    assert_none(cases.as_flattened(), |(trouble, by_caller)| {
        go_on(V1, trouble, by_caller, false)
    });
}

/// Streams go on at an engine that reports nothing, as the entries confirm it.
#[test]
fn streams_go_on_at_a_silent_process_while_the_store_is_sound() {
    let cases = [(true, true), (true, false), (false, true), (false, false)];
    assert_none(&cases, |(by_caller, framed)| {
        go_on(V1.without_report(), Trouble::Late, by_caller, framed)
    });
}

/// Where the next start of an engine listens.
#[derive(Clone, Copy, Debug)]
enum Place {
    Same,
    Other,
}

/// Replaces an engine that an instance reaches through another one only; the store of the first one
/// fails, so that each means another start by the same identifier. Returns the streams that went on
/// at the new start.
fn replace_behind_a_tunnel(place: Place, by_caller: bool) -> Vec<String> {
    let engine = V1.run_stalling(ANY);
    let fleet = Fleet::start(1, &[(engine.address, refusing())]);
    let streams = begin_all(&fleet.stranded);
    Trouble::Refusing.begin(&fleet.store);
    let (streams, left) = match by_caller {
        true => (Vec::new(), streams),
        false => (streams, Vec::new()),
    };
    drop(left);
    let _new = match place {
        Place::Same => {
            V2.register(&fleet.helpers_store, "i-0", engine.address);
            // The other instance reads the entry, and streams that stall are not yet resumed.
            thread::sleep(Duration::from_millis(1_100));
            replace(&engine, |address| V2.run_stalling(address))
        }
        Place::Other => {
            let new = V2.run_stalling(ANY);
            V2.register(&fleet.helpers_store, "i-0", new.address);
            thread::sleep(Duration::from_millis(1_100));
            engine.crash();
            new
        }
    };
    let answers: Vec<_> = match by_caller {
        true => {
            let answers = take_up_all(&fleet.stranded, 0);
            let texts = answers
                .iter()
                .map(|answer| answer.start_line.clone() + &answer.text());
            texts.collect()
        }
        false => {
            let answers = streams.into_iter().map(Stream::finish);
            answers.map(|(_, text)| text).collect()
        }
    };
    let wrong = answers.into_iter().filter(|text| text.contains(V2.version));
    wrong.collect()
}

/// A tunnel leads to whichever start of an engine the other instance knows, and streams went on there.
#[test]
fn streams_do_not_go_on_at_another_start_behind_a_tunnel() {
    let cases = [
        (Place::Same, true),
        (Place::Same, false),
        (Place::Other, true),
        (Place::Other, false),
    ];
    assert_none(&cases, |(place, by_caller)| {
        replace_behind_a_tunnel(place, by_caller)
    });
}
