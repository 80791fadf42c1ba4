//! Engine: a process that answers requests with event streams.

use std::{
    io::{
        self,
        BufRead as _,
        Write as _, //
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
    },
    thread,
    time::Duration,
};

use anyhow::{
    bail,
    Context as _, //
};
use rand::RngExt as _;
use serde_json::json;

use crate::{
    check::Content,
    flags,
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

fn defect(name: &str) -> anyhow::Result<Defect> {
    Ok(match name {
        "skip" => Defect::Skip,
        "repeat" => Defect::Repeat,
        "early-end" => Defect::EarlyEnd,
        "foreign" => Defect::Foreign,
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

    fn connection(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
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
            if head.header("expect-instance") != Some(&self.id) {
                self.refuse(
                    &mut writer,
                    &head,
                    "421 Misdirected Request",
                    "Not-Run: 1\r\n",
                )?;
                continue;
            }
            if self.running.load(Ordering::SeqCst) >= SLOTS {
                let headers = "Not-Run: 1\r\nRetry-After: 0.1\r\n";
                self.refuse(&mut writer, &head, "503 Service Unavailable", headers)?;
                continue;
            }
            self.running.fetch_add(1, Ordering::SeqCst);
            let streamed = self.stream(&mut writer, &head, &body);
            self.running.fetch_sub(1, Ordering::SeqCst);
            if streamed? == Framing::Close {
                return writer.shutdown(Shutdown::Both);
            }
        }
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
        format!("Request-Id: {request}\r\nInstance-Id: {id}\r\nServer-Load: {running},0,{SLOTS}\r\n{leaving}")
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
        writer: &mut TcpStream,
        head: &Head,
        status: &str,
        headers: &str,
    ) -> io::Result<()> {
        let common = self.headers(head);
        let text = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n{common}{headers}\r\n");
        writer.write_all(text.as_bytes())
    }

    /// Returns the events of an answer.
    fn events(&self, head: &Head, body: &str, run: &str) -> Vec<String> {
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
        let mut events: Vec<_> = numbers.map(|number| content.event(number, run)).collect();
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
    fn stream(&self, writer: &mut TcpStream, head: &Head, body: &str) -> io::Result<Framing> {
        let mut rng = rand::rng();
        let framing = self
            .framing
            .unwrap_or_else(|| match rng.random_range(0..3) {
                0 => Framing::Length,
                1 => Framing::Chunks,
                _ => Framing::Close,
            });
        let number = self.runs.fetch_add(1, Ordering::SeqCst);
        let (id, version, process) = (&self.id, &self.version, process::id());
        let run = format!("{id}/{version}/{process}/{number}/{framing:?}");
        let events = self.events(head, body, &run);
        let marks = match framing {
            Framing::Length => {
                let length: usize = events.iter().map(String::len).sum();
                format!("Content-Length: {length}\r\n")
            }
            Framing::Chunks => "Transfer-Encoding: chunked\r\n".to_owned(),
            Framing::Close => "Connection: close\r\n".to_owned(),
        };
        let common = self.headers(head);
        let text = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nServer-Seal: {run}\r\n{common}{marks}\r\n"
        );
        writer.write_all(text.as_bytes())?;
        let gap = body.split(' ').find_map(|word| word.strip_prefix("gap="));
        let gap = Duration::from_millis(gap.and_then(|gap| gap.parse().ok()).unwrap_or(0));
        let groups = events.chunks(rng.random_range(1..3));
        for group in groups {
            thread::sleep(gap);
            let mut text = group.concat().into_bytes();
            let rest = text.split_off(match rng.random_bool(0.1) {
                true => text.len() / 2,
                false => text.len(),
            });
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

fn write(writer: &mut TcpStream, framing: Framing, part: &[u8]) -> io::Result<()> {
    if framing != Framing::Chunks {
        return writer.write_all(part);
    }
    let mut chunk = format!("{:x}\r\n", part.len()).into_bytes();
    chunk.extend_from_slice(part);
    chunk.extend_from_slice(b"\r\n");
    writer.write_all(&chunk)
}
