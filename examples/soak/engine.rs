//! Engine: a process that answers requests with event streams.

use std::{
    fs::File,
    io::{
        self,
        BufRead as _,
        ErrorKind,
        Write, //
    },
    net::{
        Shutdown,
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    process,
    sync::{
        atomic::{
            AtomicBool,
            AtomicU64,
            AtomicUsize,
            Ordering, //
        },
        Arc,
        Mutex,
        PoisonError, //
    },
    thread,
    time::Duration,
};

use anyhow::{
    bail,
    Context as _, //
};
use rand::{
    rngs::ThreadRng,
    RngExt as _, //
};
use serde_json::json;
use socket2::SockRef;

use crate::{
    check::{
        Content,
        Form, //
    },
    deployment::unix_time,
    flags,
    runs::Run,
    wire::{
        Head,
        Reader, //
    },
};

/// Requests that run at the same time.
pub const SLOTS: usize = 16;

/// Time for which an engine that leaves waits for its streams to end.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(4);

/// Share of the answers that have the defect.
const DEFECT_SHARE: f64 = 0.05;

/// Framing of answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Framing {
    Length,
    Chunks,
    Close,
}

/// A defect of the engine, which the soak has to find.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Defect {
    /// An event is left out.
    Skip,
    /// An event comes twice, with a new identifier.
    Repeat,
    /// The stream ends in due form before its last event.
    EarlyEnd,
    /// The stream is the answer to another body.
    Foreign,
    /// A request runs although the engine says that it does not.
    Refused,
}

/// What an engine does to some of its answers and connections, as real ones do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Flaw {
    /// An answer stops at any byte. One that ends with its connection is reset, as its end in due form
    /// can't be told from a whole answer while the engine lives on.
    Cut,
    /// The answer comes once more, at once or later.
    Second,
    /// The answer is that of another request.
    Other,
    /// The answer is an error, or no answer in the protocol.
    Error,
    /// The connection is closed in place of an answer, or after one without notice.
    Fin,
    /// The engine names a limit for some seconds, and refuses requests beyond it.
    Limit,
    /// Events have comments, other line ends, several lines of data and parts of any length.
    Forms,
}

/// Flaws, with the names that the command line has for them.
const FLAWS: [(&str, Flaw); 7] = [
    ("cut", Flaw::Cut),
    ("second", Flaw::Second),
    ("other", Flaw::Other),
    ("error", Flaw::Error),
    ("fin", Flaw::Fin),
    ("limit", Flaw::Limit),
    ("forms", Flaw::Forms),
];

/// Share of the answers that have a flaw, for each that the engine has.
const FLAW_SHARE: f64 = 0.03;

/// Requests per second that an engine with a limit takes.
const LIMIT: u64 = 8;

/// Seconds for which an engine has a limit, and for which it then has none.
const LIMIT_S: u64 = 3;

/// A connection that may break off after some bytes.
struct Writer {
    stream: TcpStream,
    /// Bytes until the connection breaks off; `None` if it doesn't.
    left: Option<usize>,
    /// Whether it is reset then.
    reset: bool,
}

impl Write for Writer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let length = self.left.map_or(bytes.len(), |left| left.min(bytes.len()));
        if length == 0 && !bytes.is_empty() {
            if self.reset {
                SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))?;
            }
            return Err(ErrorKind::BrokenPipe.into());
        }
        let written = self.stream.write(&bytes[..length])?;
        self.left = self.left.map(|left| left - written);
        Ok(written)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A request that was read.
#[derive(Clone)]
struct Request {
    head: Head,
    body: String,
}

/// What a process is started with.
struct Engine {
    id: String,
    service: String,
    version: String,
    /// Start in Unix milliseconds.
    born: u64,
    framing: Option<Framing>,
    defect: Option<Defect>,
    flaws: Vec<Flaw>,
    /// File that has a line for each run.
    log: File,
    /// Request that was answered last.
    last: Mutex<Option<Request>>,
    /// Second in Unix time, and the number of requests in it.
    second: Mutex<(u64, u64)>,
    running: AtomicUsize,
    runs: AtomicU64,
    leaving: AtomicBool,
}

fn framing(name: &str) -> anyhow::Result<Option<Framing>> {
    Ok(match name {
        "mixed" => None,
        "length" => Some(Framing::Length),
        "chunks" => Some(Framing::Chunks),
        "close" => Some(Framing::Close),
        _ => bail!("unknown framing {name}"),
    })
}

/// Returns the flaws of a list with commas; all of them for `all`, and none for `none`.
fn flaws(list: &str) -> anyhow::Result<Vec<Flaw>> {
    match list {
        "all" => return Ok(FLAWS.iter().map(|(_, flaw)| *flaw).collect()),
        "none" => return Ok(Vec::new()),
        _ => {}
    }
    let flaws = list.split(',').map(|name| {
        let found = FLAWS.iter().find(|(known, _)| *known == name);
        let (_, flaw) = found.with_context(|| format!("unknown flaw {name}"))?;
        Ok(*flaw)
    });
    flaws.collect()
}

fn defect(name: &str) -> anyhow::Result<Defect> {
    Ok(match name {
        "skip" => Defect::Skip,
        "repeat" => Defect::Repeat,
        "early-end" => Defect::EarlyEnd,
        "foreign" => Defect::Foreign,
        "refused" => Defect::Refused,
        _ => bail!("unknown defect {name}"),
    })
}

/// Runs an engine until its standard input ends, or has a line and its streams have ended.
pub fn run(flags: &flags::Engine) -> anyhow::Result<()> {
    let address: SocketAddr = flags.address.parse().context("address")?;
    let engine = Arc::new(Engine {
        id: flags.id.clone(),
        service: flags.service.clone(),
        version: flags.version.clone(),
        born: flags.born,
        framing: framing(flags.framing.as_deref().unwrap_or("mixed"))?,
        defect: flags.defect.as_deref().map(defect).transpose()?,
        flaws: flaws(flags.flaws.as_deref().unwrap_or("none"))?,
        log: File::options()
            .create(true)
            .append(true)
            .open(&flags.runs)
            .context("runs")?,
        last: Mutex::default(),
        second: Mutex::default(),
        running: AtomicUsize::new(0),
        runs: AtomicU64::new(0),
        leaving: AtomicBool::new(false),
    });
    let listener = TcpListener::bind(address).context("listen")?;
    let this = engine.clone();
    thread::spawn(move || {
        let mut line = String::new();
        if io::stdin().lock().read_line(&mut line).unwrap_or(0) > 0 {
            this.leave();
        }
        process::exit(0);
    });
    for stream in listener.incoming().flatten() {
        let engine = engine.clone();
        // The connection ends with a failure of the caller, which sees it.
        thread::spawn(move || engine.connection(stream).unwrap_or_default());
    }
    Ok(())
}

impl Engine {
    /// Waits until no stream runs.
    fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
        let pause = Duration::from_millis(20);
        for _ in 0..LEAVE_TIMEOUT.as_millis() / pause.as_millis() {
            if self.running.load(Ordering::SeqCst) == 0 {
                break;
            }
            thread::sleep(pause);
        }
        // The last bytes of the streams are on their way.
        thread::sleep(pause);
    }

    /// Returns whether a flaw is to show now.
    fn shows(&self, flaw: Flaw) -> bool {
        self.flaws.contains(&flaw) && rand::rng().random_bool(FLAW_SHARE)
    }

    fn connection(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = Writer {
            stream: stream.try_clone()?,
            left: None,
            reset: false,
        };
        let mut reader = Reader::new(stream);
        loop {
            let head = reader.head()?;
            let body = reader.body(&head)?;
            if head.word(1) == "/health" {
                self.refuse(&mut writer, &head, "200 OK", "")?;
                continue;
            }
            if head.word(1) == "/v1/report" {
                writer.write_all(self.report().as_bytes())?;
                continue;
            }
            if let Some((status, headers)) = self.refusal(&head) {
                self.refuse(&mut writer, &head, status, headers)?;
                continue;
            }
            if self.shows(Flaw::Fin) && rand::rng().random_bool(0.5) {
                return writer.stream.shutdown(Shutdown::Both);
            }
            let request = Request { head, body };
            self.running.fetch_add(1, Ordering::SeqCst);
            let answered = self.answer(&mut writer, &request);
            self.running.fetch_sub(1, Ordering::SeqCst);
            let framing = answered?;
            if framing == Framing::Close || self.shows(Flaw::Fin) {
                return writer.stream.shutdown(Shutdown::Both);
            }
            if self.shows(Flaw::Second) {
                thread::sleep(Duration::from_millis(rand::rng().random_range(0..40)));
                self.stream(&mut writer, &request, Some(framing))?;
            }
        }
    }

    /// Returns the status and headers with which a request is refused, if it is.
    fn refusal(&self, head: &Head) -> Option<(&'static str, &'static str)> {
        if head.header("expect-instance") != Some(&self.id) {
            return Some(("421 Misdirected Request", "Not-Run: 1\r\n"));
        }
        if self.running.load(Ordering::SeqCst) >= SLOTS {
            let headers = "Not-Run: 1\r\nRetry-After: 0.1\r\n";
            return Some(("503 Service Unavailable", headers));
        }
        if self.is_limited() {
            let now = unix_time().as_secs();
            let mut second = self.second.lock().unwrap_or_else(PoisonError::into_inner);
            if second.0 != now {
                *second = (now, 0);
            }
            second.1 += 1;
            if second.1 > LIMIT {
                let headers = "Not-Run: 1\r\nRetry-After: 0.3\r\n";
                return Some(("429 Too Many Requests", headers));
            }
        }
        None
    }

    /// Returns whether the engine names a limit now.
    fn is_limited(&self) -> bool {
        self.flaws.contains(&Flaw::Limit)
            && (unix_time().as_secs() / LIMIT_S + self.born).is_multiple_of(2)
    }

    /// Answers a request, in due form or with a flaw; returns the framing of the answer.
    fn answer(&self, writer: &mut Writer, request: &Request) -> io::Result<Framing> {
        let mut rng = rand::rng();
        let id = request.head.header("request-id").unwrap_or("");
        let mut error = self.shows(Flaw::Error).then(|| rng.random_range(0..3));
        let defect = self.defect == Some(Defect::Refused) && rng.random_bool(DEFECT_SHARE);
        if defect || error != Some(1) {
            let deadline = request.head.header("deadline-ms");
            let deadline = deadline.and_then(|deadline| deadline.parse::<f64>().ok());
            let run = Run {
                at: unix_time().as_secs_f64(),
                request: id.to_owned(),
                engine: self.id.clone(),
                deadline: deadline.map(|deadline| deadline / 1_000.0),
            };
            // One call, so that a kill leaves a whole line.
            (&self.log).write_all(run.line().as_bytes())?;
        }
        if defect {
            error = Some(1);
        }
        if let Some(error) = error {
            let (status, headers) = match error {
                0 => {
                    writer.write_all(b"\0\xff HTTP/1.1 200 OK\r\n\r\nid: 1\n")?;
                    return Ok(Framing::Close);
                }
                1 => ("503 Service Unavailable", "Not-Run: 1\r\n".to_owned()),
                _ => (
                    "500 Internal Server Error",
                    format!("Server-Seal: error/{id}\r\n"),
                ),
            };
            self.refuse(writer, &request.head, status, &headers)?;
            return Ok(Framing::Length);
        }
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        let other = last.replace(request.clone());
        drop(last);
        if let Some(other) = other.filter(|_| self.shows(Flaw::Other)) {
            return self.stream(writer, &other, None);
        }
        if !self.shows(Flaw::Cut) {
            return self.stream(writer, request, None);
        }
        let framing = self.framing(&mut rng);
        writer.left = Some(rng.random_range(0..4_000));
        writer.reset = framing == Framing::Close || rng.random_bool(0.5);
        let answered = self.stream(writer, request, Some(framing));
        writer.left = None;
        answered
    }

    fn framing(&self, rng: &mut ThreadRng) -> Framing {
        let any = [Framing::Length, Framing::Chunks, Framing::Close];
        self.framing.unwrap_or_else(|| any[rng.random_range(0..3)])
    }

    /// Returns the headers that all answers have.
    fn headers(&self, head: &Head) -> String {
        let Self { id, running, .. } = self;
        let request = head.header("request-id").unwrap_or("");
        let running = running.load(Ordering::SeqCst);
        let leaving = match self.leaving.load(Ordering::SeqCst) {
            true => "Server-Leaving: 1\r\n",
            false => "",
        };
        let limit = match self.is_limited() {
            true => format!("Server-Limit: {LIMIT}\r\n"),
            false => String::new(),
        };
        format!("Request-Id: {request}\r\nInstance-Id: {id}\r\nServer-Load: {running},0,{SLOTS}\r\n{leaving}{limit}")
    }

    /// Returns the answer in which the engine describes itself.
    fn report(&self) -> String {
        let running = self.running.load(Ordering::SeqCst);
        let report = json!({
            "stage": "both", "models": [], "busy": false, "sequence": 0, "waiting": 0,
            "running": running, "kvUsed": 0, "kvTotal": 0, "handles": 0, "born": self.born,
        });
        let report = report.to_string();
        let length = report.len();
        format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{report}"
        )
    }

    fn refuse(
        &self,
        writer: &mut Writer,
        head: &Head,
        status: &str,
        headers: &str,
    ) -> io::Result<()> {
        let common = self.headers(head);
        let text = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n{common}{headers}\r\n");
        writer.write_all(text.as_bytes())
    }

    /// Returns the events of an answer.
    fn events(&self, request: &Request, form: Form, run: &str) -> Vec<String> {
        let Request { head, body } = request;
        let mut rng = rand::rng();
        let defect = self.defect.filter(|_| rng.random_bool(DEFECT_SHARE));
        let content = match defect {
            Some(Defect::Foreign) => {
                Content::new(&self.service, &self.version, &format!("x{body}"))
            }
            _ => Content::new(&self.service, &self.version, body),
        };
        let after = head.header("last-event-id");
        let after: u64 = after.and_then(|id| id.parse().ok()).unwrap_or(0);
        let numbers = after + 1..=content.total;
        let events = numbers.map(|number| content.event_in(form, number, run));
        let mut events: Vec<_> = events.collect();
        match defect {
            Some(Defect::Skip) if events.len() > 1 => {
                events.remove(events.len() / 2);
            }
            Some(Defect::Repeat) if events.len() > 1 => {
                let at = events.len() - 1;
                let (id, _) = events[at].split_once('\n').unwrap_or_default();
                let (_, data) = events[at - 1].split_once('\n').unwrap_or_default();
                events[at] = format!("{id}\n{data}");
            }
            Some(Defect::EarlyEnd) => events.truncate(events.len() / 2),
            _ => {}
        }
        events
    }

    /// Answers a request with a stream.
    fn stream(
        &self,
        writer: &mut Writer,
        request: &Request,
        framing: Option<Framing>,
    ) -> io::Result<Framing> {
        let mut rng = rand::rng();
        let framing = framing.unwrap_or_else(|| self.framing(&mut rng));
        let forms = [Form::Plain, Form::Crlf, Form::Comments, Form::Lines];
        let varied = self.flaws.contains(&Flaw::Forms);
        let form = forms[if varied { rng.random_range(0..4) } else { 0 }];
        let number = self.runs.fetch_add(1, Ordering::SeqCst);
        let (id, version, process) = (&self.id, &self.version, process::id());
        let run = format!("{id}/{version}/{process}/{number}/{framing:?}/{form:?}");
        let events = self.events(request, form, &run);
        let marks = match framing {
            Framing::Length => {
                let length: usize = events.iter().map(String::len).sum();
                format!("Content-Length: {length}\r\n")
            }
            Framing::Chunks => "Transfer-Encoding: chunked\r\n".to_owned(),
            Framing::Close => "Connection: close\r\n".to_owned(),
        };
        let common = self.headers(&request.head);
        let field = |name: &str| {
            let value = request
                .body
                .split(' ')
                .find_map(|word| word.strip_prefix(name));
            Duration::from_millis(value.and_then(|value| value.parse().ok()).unwrap_or(0))
        };
        thread::sleep(field("work="));
        let text = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nServer-Seal: {run}\r\n{common}{marks}\r\n"
        );
        writer.write_all(text.as_bytes())?;
        let gap = field("gap=");
        let groups = events.chunks(rng.random_range(1..3));
        for group in groups {
            thread::sleep(gap);
            let mut text = group.concat().into_bytes();
            let rest = text.split_off(match rng.random_bool(if varied { 0.5 } else { 0.1 }) {
                true => rng.random_range(0..text.len()),
                false => text.len(),
            });
            if text.is_empty() {
                write(writer, framing, &rest)?;
                continue;
            }
            write(writer, framing, &text)?;
            if !rest.is_empty() {
                thread::sleep(gap);
                write(writer, framing, &rest)?;
            }
        }
        if framing == Framing::Chunks {
            writer.write_all(b"0\r\n\r\n")?;
        }
        Ok(framing)
    }
}

fn write(writer: &mut Writer, framing: Framing, part: &[u8]) -> io::Result<()> {
    if framing != Framing::Chunks {
        return writer.write_all(part);
    }
    let mut chunk = format!("{:x}\r\n", part.len()).into_bytes();
    chunk.extend_from_slice(part);
    chunk.extend_from_slice(b"\r\n");
    writer.write_all(&chunk)
}
