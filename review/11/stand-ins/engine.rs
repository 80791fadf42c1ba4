//! Stand-in for engines, which register themselves in the store.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Message},
    record::Record,
    store::Store,
};

/// Time between two reports to the store, by the settings of the platform.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time for which an engine has run when the gateway starts.
const AGE: Duration = Duration::from_secs(3_600);

/// Requests that an engine runs at once.
const SLOTS: u32 = 48;

/// What an engine does with a request.
pub type Script = dyn Fn(&Message, &mut TcpStream) -> io::Result<()> + Send + Sync;

/// A request that ran.
#[derive(Clone)]
pub struct Run {
    /// Identifier of the request.
    pub id: String,
    /// Its body.
    pub body: String,
}

/// An engine.
pub struct Engine {
    id: String,
    service: String,
    zone: String,
    address: SocketAddr,
    born: u128,
    runs: Mutex<Vec<Run>>,
    script: Box<Script>,
}

impl Engine {
    /// Starts an engine on a free port.
    pub fn start(
        (ip, id, service, zone): (&str, &str, &str, &str),
        store: Arc<Store>,
        script: Box<Script>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind((ip, 0))?;
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let engine = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr()?,
            born: since.map_or(0, |since| (since - AGE).as_millis()),
            runs: Mutex::default(),
            script,
        });
        let serving = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = serving.clone();
                // A caller may leave at any time.
                thread::spawn(move || drop(engine.serve(stream)));
            }
        });
        let reporting = engine.clone();
        thread::spawn(move || {
            for sequence in 1.. {
                // Nothing can be written in an outage.
                if !store.is_busy() {
                    store.put("keyed.servers", &reporting.id, &reporting.report(sequence));
                }
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(engine)
    }

    /// Returns the requests that ran.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    fn report(&self, sequence: u64) -> String {
        let Self {
            service,
            address,
            zone,
            born,
            ..
        } = self;
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":{SLOTS},\"state\":\"ready\",\"coldLeftMs\":0,\
             \"sequence\":{sequence},\"born\":{born}}}"
        )
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        loop {
            let request = http::read(&mut stream)?;
            if !request.complete {
                return Ok(());
            }
            let (_, path) = request.target();
            if path == "/v1/report" {
                let body = format!(
                    "{{\"stage\":\"both\",\"models\":[],\"busy\":false,\"sequence\":0,\"waiting\":0,\
                     \"running\":0,\"kvUsed\":0,\"kvTotal\":90000,\"handles\":0,\"born\":{}}}",
                    self.born
                );
                http::answer(&mut stream, "200 OK", "", body.as_bytes())?;
                continue;
            }
            let id = request.header("request-id").unwrap_or("").to_owned();
            let expected = request.header("expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                let headers = format!("Request-Id: {id}\r\nInstance-Id: {}\r\n", self.id);
                http::answer(&mut stream, "421 Misdirected Request", &headers, b"")?;
                continue;
            }
            self.runs.lock().unwrap().push(Run {
                id,
                body: request.text(),
            });
            (self.script)(&request, &mut stream)?;
        }
    }
}

/// Records the requests that ran, in their order at each engine.
pub fn record_runs(record: &Record, engines: &[Arc<Engine>]) {
    for engine in engines {
        let ids: Vec<_> = engine.runs().into_iter().map(|run| run.id).collect();
        record.line(format!("{} ran {}", engine.id, ids.join(" ")));
    }
}

/// Returns the headers of an answer that ran.
pub fn seal(request: &Message) -> String {
    let id = request.header("request-id").unwrap_or("");
    format!("Request-Id: {id}\r\nServer-Seal: 3e1b.07.5a2.600.0.{id}\r\n")
}

/// Answers with a stream of events, each after a pause; with those that follow if the stream is taken
/// up.
pub fn stream_events(
    request: &Message,
    stream: &mut TcpStream,
    (count, pause): (u64, Duration),
) -> io::Result<()> {
    let head = seal(request);
    let head = format!(
        "HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let after = request.header("last-event-id");
    let after: u64 = after.and_then(|id| id.parse().ok()).unwrap_or(0);
    for number in after + 1..=count {
        thread::sleep(pause);
        let event = format!("id: {number}\ndata: e{number}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        stream.write_all(chunk.as_bytes())?;
    }
    stream.write_all(b"0\r\n\r\n")
}
