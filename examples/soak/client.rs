//! Clients: they play streams, take up those that break, and check what they receive.

use std::{
    io::{
        ErrorKind,
        Write as _, //
    },
    net::TcpStream,
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Arc,
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use rand::{
    rngs::SmallRng,
    RngExt as _,
    SeedableRng as _, //
};
use socket2::SockRef;

use crate::{
    check::{
        self,
        Checker,
        Kind, //
    },
    deployment::{
        unix_time,
        Deployment,
        SERVICES, //
    },
    record::{
        Finding,
        Record, //
    },
    runs::Asked,
    wire::{
        Framing,
        Reader, //
    },
};

/// Time without a byte after which a client gives up an answer.
const READ_TIMEOUT: Duration = Duration::from_secs(6);

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Requests for one stream, the first included.
const MAX_ATTEMPTS: u32 = 8;

/// Time for which a client waits for a stream.
const DEADLINE: Duration = Duration::from_secs(12);

/// Longest time that a route lets a request wait.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(8_060);

/// Time beyond a deadline for which a client waits for an answer.
const OVERTIME: Duration = Duration::from_secs(3);

/// Share of the requests that are plain calls, which may run once.
const CALL_SHARE: f64 = 0.3;

/// Share of the calls whose engine works longer than the client waits.
const LONG_SHARE: f64 = 0.05;

/// Receive buffer of a client that reads slowly, in bytes.
const SLOW_BUFFER: usize = 4 << 10;

/// Share of the resumable streams that a client leaves and takes up elsewhere.
const LEAVE_SHARE: f64 = 0.08;

/// What clients share.
pub struct Clients {
    deployment: Arc<Deployment>,
    record: Arc<Record>,
    seed: u64,
    /// Share of the resumptions that don't name the request that they resume.
    unnamed: f64,
    number: AtomicU64,
}

/// A stream that a client wants.
struct Stream {
    service: &'static str,
    route: &'static str,
    /// Time for which the client waits.
    deadline: Duration,
    resumable: bool,
    body: String,
    /// Headers of all its requests.
    headers: String,
    program: bool,
    /// Pause before each read.
    slow: Option<Duration>,
    /// Event after which the client leaves the answer.
    leave_after: Option<u64>,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    Complete,
    /// The answer is visibly incomplete.
    Broken,
    /// There was no answer.
    Silent,
    /// There was an answer of another status than success.
    Refused(u16),
    /// The client left.
    Left,
    /// The answer breaks a rule.
    Wrong(Kind),
}

/// A kept connection to an instance.
struct Connection {
    instance: usize,
    reader: Reader,
}

/// What a request is for.
struct Attempt {
    id: String,
    instance: usize,
    stream: Arc<Stream>,
}

/// An answer of which the head was read.
struct Answer {
    framing: Framing,
    /// What findings state of it.
    details: String,
    /// Bytes that are no whole event yet.
    rest: Vec<u8>,
}

impl Clients {
    /// Returns clients of a deployment.
    pub fn new(deployment: Arc<Deployment>, record: Arc<Record>, seed: u64, unnamed: f64) -> Self {
        Self {
            deployment,
            record,
            seed,
            unnamed,
            number: AtomicU64::new(0),
        }
    }

    /// Plays one stream after the other until the deployment ends.
    pub fn run(self: &Arc<Self>, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut kept = None;
        while !self.deployment.stopped.load(Ordering::SeqCst) {
            if rng.random_bool(CALL_SHARE) {
                let call = Arc::new(self.call(&mut rng));
                self.play(&call, &mut kept, &mut rng);
                continue;
            }
            let turns = match rng.random_bool(0.25) {
                true => rng.random_range(2..5),
                false => 0,
            };
            let program = (turns > 0).then(|| rng.random::<u32>());
            for turn in 0..turns.max(1) {
                let stream = Arc::new(self.stream(program, turn, &mut rng));
                self.play(&stream, &mut kept, &mut rng);
            }
        }
    }

    fn next(&self) -> u64 {
        self.number.fetch_add(1, Ordering::SeqCst)
    }

    /// Returns a call, whose answer has the content of a stream.
    fn call(&self, rng: &mut SmallRng) -> Stream {
        let (seed, number) = (self.seed, self.next());
        let work = match rng.random_bool(LONG_SHARE) {
            true => 4_000,
            false => rng.random_range(0..300),
        };
        Stream {
            service: SERVICES[rng.random_range(0..SERVICES.len())],
            route: "call",
            deadline: Duration::from_millis(rng.random_range(1_000..3_000)),
            resumable: false,
            body: format!("call {seed}-{number} work={work}"),
            headers: String::new(),
            program: false,
            slow: None,
            leave_after: None,
        }
    }

    fn stream(&self, program: Option<u32>, turn: u32, rng: &mut SmallRng) -> Stream {
        let padding = match rng.random_bool(0.15) {
            true => rng.random_range(1_000..12_000),
            false => rng.random_range(0..200),
        };
        let slow = rng.random_bool(0.15);
        let gap = match slow {
            true => 0,
            false => rng.random_range(0..60),
        };
        let (seed, number) = (self.seed, self.next());
        let resumable = rng.random_bool(0.75);
        let mut headers = "Token-Count: 50,400\r\n".to_owned();
        if let Some(id) = program {
            headers.push_str(&format!(
                "Program-Id: p{seed}-{id}\r\nSession-Id: s{id}\r\nFinish-Ms: {}\r\nToken-Budget: 100000\r\n",
                60_000 - turn * 1_000
            ));
        }
        Stream {
            service: SERVICES[rng.random_range(0..SERVICES.len())],
            route: if resumable { "resumable" } else { "once" },
            deadline: DEADLINE,
            resumable,
            body: format!("prompt {seed}-{number} gap={gap} padding={padding}"),
            headers,
            program: program.is_some(),
            slow: slow.then(|| Duration::from_millis(rng.random_range(5..120))),
            leave_after: (resumable && rng.random_bool(LEAVE_SHARE))
                .then(|| rng.random_range(1..8)),
        }
    }

    /// Plays a stream to its end, over as many requests as that takes.
    fn play(
        self: &Arc<Self>,
        stream: &Arc<Stream>,
        idle: &mut Option<Connection>,
        rng: &mut SmallRng,
    ) {
        let noun = match stream.route {
            "call" => "calls",
            _ => "streams",
        };
        self.record.count(noun);
        let until = Instant::now() + stream.deadline;
        let mut checker = Checker::new(stream.service, &stream.body, stream.resumable);
        // Request that brought the first event.
        let mut first: Option<String> = None;
        for attempt in 0..MAX_ATTEMPTS {
            let left = until.saturating_duration_since(Instant::now());
            if left < Duration::from_millis(200) {
                break;
            }
            let id = format!("r{}-{}", self.seed, self.next());
            let mut headers = stream.headers.clone();
            headers.push_str(&format!("Deadline-Ms: {}\r\n", left.as_millis()));
            if checker.last() > 0 {
                self.record.count("resumptions by clients");
                headers.push_str(&format!("Last-Event-Id: {}\r\n", checker.last()));
                let name = first.as_ref().filter(|_| !rng.random_bool(self.unnamed));
                checker.resume(name.is_some());
                if let Some(name) = name {
                    headers.push_str(&format!("Resumes: {name}\r\n"));
                }
            }
            let kept = idle.take().filter(|_| attempt == 0);
            let fresh = kept.is_none();
            let connection = match kept {
                Some(connection) => connection,
                None => match self.connect(stream, rng) {
                    Some(connection) => connection,
                    None => {
                        pause(rng);
                        continue;
                    }
                },
            };
            let (instance, mut reader) = (connection.instance, connection.reader);
            let this = Attempt {
                id: id.clone(),
                instance,
                stream: stream.clone(),
            };
            self.record.count("requests");
            let mut asked = Asked {
                once: !stream.resumable,
                sent: unix_time().as_secs_f64(),
                deadline: left.min(ROUTE_TIMEOUT).as_secs_f64(),
                ..Asked::default()
            };
            self.record.asked(&id, asked.clone());
            let begun = match this.send(&mut reader, &headers) {
                Ok(()) => self.begin(&this, &mut reader, &checker, &mut asked),
                Err(_) => Err(End::Silent),
            };
            // A kept connection may have ended before the request.
            asked.calm = (fresh || asked.status.is_some())
                && self
                    .record
                    .calm(&instance.to_string(), asked.sent, unix_time().as_secs_f64());
            self.record.asked(&id, asked);
            let (end, answer) = match begun {
                Ok(mut answer) => {
                    let may_leave = attempt == 0;
                    let end = self.follow(&this, &mut reader, &mut answer, &mut checker, may_leave);
                    (end, Some(answer))
                }
                Err(end) => (end, None),
            };
            if checker.last() > 0 && first.is_none() {
                first = Some(id.clone());
            }
            match end {
                End::Complete => {
                    self.record.count(format!("{noun} complete"));
                    let after_end = reader.pending();
                    if after_end {
                        self.wrong(&this, Kind::Foreign, &checker, "bytes after the end");
                    } else if stream.slow.is_none() && rng.random_bool(0.9) {
                        *idle = Some(Connection { instance, reader });
                    }
                    return;
                }
                End::Wrong(_) => return,
                End::Refused(status) => {
                    let promise = matches!(status, 408 | 421 | 429 | 503);
                    if status == 402 || !(promise || stream.resumable) {
                        break;
                    }
                }
                End::Broken | End::Left | End::Silent if !stream.resumable => {
                    self.record.count(format!("{noun} broken, not resumable"));
                    return;
                }
                End::Broken | End::Left | End::Silent => {
                    self.record.count(format!("answers ended: {end:?}"));
                    // A turn is sent again from its start, while the earlier stream may be open.
                    if stream.program && rng.random_bool(0.6) {
                        self.record.count("turns sent again");
                        let fresh = Checker::new(stream.service, &stream.body, stream.resumable);
                        let earlier = std::mem::replace(&mut checker, fresh);
                        if let Some(answer) = answer.filter(|_| end == End::Left) {
                            self.read_on(this, reader, answer, earlier);
                        }
                        first = None;
                    }
                }
            }
            pause(rng);
        }
        self.record.count(format!("{noun} given up"));
    }

    /// Reads and checks the rest of an answer beside the next request.
    fn read_on(
        self: &Arc<Self>,
        attempt: Attempt,
        mut reader: Reader,
        mut answer: Answer,
        mut checker: Checker,
    ) {
        let this = self.clone();
        thread::spawn(move || {
            let end = this.follow(&attempt, &mut reader, &mut answer, &mut checker, false);
            this.record
                .count(format!("earlier streams of turns: {end:?}"));
        });
    }

    fn connect(&self, stream: &Stream, rng: &mut SmallRng) -> Option<Connection> {
        let rotation = self.deployment.rotation();
        let instance = rotation[rng.random_range(0..rotation.len())];
        let address = self.deployment.instances[instance].callers;
        let connection = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
        connection.set_nodelay(true).ok()?;
        connection.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
        if stream.slow.is_some() {
            let socket = SockRef::from(&connection);
            socket.set_recv_buffer_size(SLOW_BUFFER).ok()?;
        }
        let reader = Reader::new(connection);
        Some(Connection { instance, reader })
    }

    /// Reads the head of an answer.
    fn begin(
        &self,
        attempt: &Attempt,
        reader: &mut Reader,
        checker: &Checker,
        asked: &mut Asked,
    ) -> Result<Answer, End> {
        let start = Instant::now();
        let wait = Duration::from_secs_f64(asked.deadline) + OVERTIME;
        let set = |reader: &Reader, wait| reader.stream.set_read_timeout(Some(wait));
        set(reader, wait).map_err(|_| End::Silent)?;
        let head = reader.head();
        if !matches!(&head, Err(error) if error.kind() == ErrorKind::WouldBlock) {
            asked.took = Some(start.elapsed().as_secs_f64());
        }
        let head = head.map_err(|_| End::Silent)?;
        set(reader, READ_TIMEOUT).map_err(|_| End::Silent)?;
        let status = head.word(1).parse().unwrap_or(0);
        asked.status = Some(status);
        let mut framing = head.framing();
        let marks = format!("{framing:?}");
        if !(200..300).contains(&status) {
            let mut reason = Vec::new();
            while let Ok(Some(part)) = reader.part(&mut framing) {
                reason.extend_from_slice(&part);
            }
            let reason = String::from_utf8_lossy(&reason);
            self.record
                .count(format!("answers with status {status}, {reason}"));
            return Err(End::Refused(status));
        }
        let seal = head.header("server-seal");
        let named = head.header("request-id");
        if let Err(kind) = check::head(&attempt.id, named, seal.is_some()) {
            return Err(self.wrong(attempt, kind, checker, &format!("{head:?}")));
        }
        let seal = seal.unwrap_or_default();
        let details = format!("{marks} after event {}, sealed by {seal}", checker.last());
        Ok(Answer {
            framing,
            details,
            rest: Vec::new(),
        })
    }

    /// Reads the events of an answer and checks them.
    fn follow(
        &self,
        attempt: &Attempt,
        reader: &mut Reader,
        answer: &mut Answer,
        checker: &mut Checker,
        may_leave: bool,
    ) -> End {
        let stream = &attempt.stream;
        loop {
            if let Some(slow) = stream.slow {
                thread::sleep(slow);
            }
            let part = match reader.part(&mut answer.framing) {
                Ok(Some(part)) => part,
                Ok(None) => {
                    let details = format!("{}, at its end", answer.details);
                    return match checker.end(&answer.rest) {
                        Ok(()) => End::Complete,
                        Err(kind) => self.wrong(attempt, kind, checker, &details),
                    };
                }
                Err(_) => return End::Broken,
            };
            answer.rest.extend_from_slice(&part);
            while let Some(end) = check::event_end(&answer.rest) {
                let event: Vec<u8> = answer.rest.drain(..end).collect();
                let event = String::from_utf8_lossy(&event);
                if let Err(kind) = checker.event(&event) {
                    let start: String = event.chars().take(80).collect();
                    let run = event.rsplit(' ').next().unwrap_or_default().trim_end();
                    let details = format!("{}, at event {start:?} {run}", answer.details);
                    return self.wrong(attempt, kind, checker, &details);
                }
                if may_leave && stream.leave_after == Some(checker.last()) && !checker.complete() {
                    return End::Left;
                }
            }
        }
    }

    fn wrong(&self, attempt: &Attempt, kind: Kind, checker: &Checker, details: &str) -> End {
        let Stream {
            service,
            resumable,
            body,
            program,
            slow,
            ..
        } = &*attempt.stream;
        self.record.finding(&Finding {
            kind,
            request: &attempt.id,
            instance: &self.deployment.instances[attempt.instance].name,
            runs: checker.runs(),
            details: format!(
                "{details}, last event {}, service {service}, resumable: {resumable}, program: {program}, slow: {slow:?}, body: {body}",
                checker.last()
            ),
        });
        End::Wrong(kind)
    }
}

impl Attempt {
    fn send(&self, reader: &mut Reader, headers: &str) -> std::io::Result<()> {
        let Stream {
            service,
            route,
            body,
            ..
        } = &*self.stream;
        let text = format!(
            "POST /{service}/{route}/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {}\r\nContent-Length: {}\r\n{headers}\r\n{body}",
            self.id,
            body.len()
        );
        reader.stream.write_all(text.as_bytes())
    }
}

fn pause(rng: &mut SmallRng) {
    thread::sleep(Duration::from_millis(rng.random_range(20..300)));
}
