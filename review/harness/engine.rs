//! Stand-in of an engine, for plain calls and for streams.

use std::{
    io::Write,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

use crate::{
    path::Origins,
    record::Record,
    wire::{write_answer, Head, Reader},
};

/// How the engine answers from now on.
#[derive(Clone, Debug)]
pub struct Manner {
    /// Each answer with a multiple of this number has no length and ends with its connection; 0 for
    /// none.
    pub unframed_each: usize,
    /// Bytes of the body of a plain answer.
    pub bytes: usize,
    /// Pause in the middle of the body of a plain answer without a length.
    pub pause: Duration,
    /// Events of a stream.
    pub events: u64,
    /// Time before each event.
    pub gap: Duration,
    /// Time from the first token until the first event, which holds several tokens.
    pub first: Duration,
}

impl Default for Manner {
    fn default() -> Self {
        Self {
            unframed_each: 0,
            bytes: 200,
            pause: Duration::ZERO,
            events: 6,
            gap: Duration::from_millis(30),
            first: Duration::ZERO,
        }
    }
}

/// A request that the engine ran.
#[derive(Clone, Debug, Default)]
pub struct Run {
    pub id: String,
    pub engine: String,
    /// Machine over whose path the request came.
    pub machine: usize,
    /// Whether the answer has no length.
    pub unframed: bool,
    /// The whole body of a plain answer.
    pub whole: Vec<u8>,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    pub manner: Arc<Mutex<Manner>>,
    /// Connections, while the engine lives.
    open: Arc<Mutex<Option<Vec<TcpStream>>>>,
    answers: Arc<AtomicUsize>,
    runs: Runs,
    origins: Origins,
    record: Record,
}

impl Engine {
    pub fn start(
        id: &str,
        address: SocketAddr,
        runs: Runs,
        origins: Origins,
        record: Record,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let engine = Self {
            id: id.to_owned(),
            address,
            manner: Arc::default(),
            open: Arc::new(Mutex::new(Some(Vec::new()))),
            answers: Arc::default(),
            runs,
            origins,
            record,
        };
        let this = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = this.clone();
                match (&mut *engine.open.lock().unwrap(), stream.try_clone()) {
                    (Some(open), Ok(copy)) => open.push(copy),
                    _ => return,
                }
                thread::spawn(move || {
                    let copy = stream.try_clone();
                    let _ = engine.connection(stream);
                    // The list of open connections has a copy, which would keep it open.
                    let _ = copy.map(|stream| stream.shutdown(Shutdown::Both));
                });
            }
        });
        Ok(engine)
    }

    /// Ends the engine: all its connections end, as those of a process that is killed.
    pub fn crash(&self) {
        let open = self.open.lock().unwrap().take();
        for stream in open.into_iter().flatten() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.record.note(&self.id, "crashes: its process is gone");
    }

    pub fn lives(&self) -> bool {
        self.open.lock().unwrap().is_some()
    }

    fn connection(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let peer = stream.peer_addr()?;
        let writer = stream.try_clone()?;
        let mut reader = Reader::new(stream);
        loop {
            let head = reader.head()?;
            let _ = reader.body(&head, false);
            let machine = self
                .origins
                .lock()
                .unwrap()
                .get(&peer)
                .copied()
                .unwrap_or(0);
            if head.target() == "/health" {
                let headers = format!("Instance-Id: {}\r\nServer-Load: 0,0,8\r\n", self.id);
                write_answer(&writer, "200 OK", &headers, b"")?;
                continue;
            }
            let id = head.header("request-id").unwrap_or("").to_owned();
            if head.header("expect-instance") != Some(&*self.id) {
                let headers = format!("Request-Id: {id}\r\nInstance-Id: {}\r\n", self.id);
                write_answer(&writer, "421 Misdirected Request", &headers, b"")?;
                continue;
            }
            let manner = self.manner.lock().unwrap().clone();
            let number = self.answers.fetch_add(1, Ordering::SeqCst) + 1;
            let unframed = manner.unframed_each > 0 && number % manner.unframed_each == 0;
            self.record.note(
                &self.id,
                &format!(
                    "runs {id} ({} {}), sent by machine {machine}",
                    head.method(),
                    head.target()
                ),
            );
            let run = Run {
                id: id.clone(),
                engine: self.id.clone(),
                machine,
                unframed,
                ..Run::default()
            };
            let index = {
                let mut runs = self.runs.lock().unwrap();
                runs.push(run);
                runs.len() - 1
            };
            let ended = match head.target().contains("/chat/") {
                true => self.stream(&writer, &head, &id, (&manner, unframed)),
                false => self.plain(&writer, &id, index, (&manner, unframed)),
            };
            if let Err(error) = ended {
                if self.lives() {
                    let text = format!("{id}: the machine's connection ended: {error}");
                    self.record.note(&self.id, &text);
                }
                return Ok(());
            }
            if unframed {
                self.record
                    .note(&self.id, &format!("{id}: whole answer is written"));
                return Ok(());
            }
        }
    }

    fn head(&self, id: &str, framing: &str) -> String {
        format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: seal-{}-{id}\r\nServer-Load: 1,0,8\r\n{framing}\r\n",
            self.id
        )
    }

    fn plain(
        &self,
        mut writer: &TcpStream,
        id: &str,
        index: usize,
        (manner, unframed): (&Manner, bool),
    ) -> std::io::Result<()> {
        let unit = format!("{id};");
        let body: Vec<u8> = unit.bytes().cycle().take(manner.bytes).collect();
        self.runs.lock().unwrap()[index].whole = body.clone();
        let framing = match unframed {
            true => "Connection: close\r\n".to_owned(),
            false => format!("Content-Length: {}\r\n", body.len()),
        };
        writer.write_all(self.head(id, &framing).as_bytes())?;
        let (first, rest) = body.split_at(body.len() / 2);
        writer.write_all(first)?;
        if unframed {
            thread::sleep(manner.pause);
        }
        writer.write_all(rest)
    }

    fn stream(
        &self,
        mut writer: &TcpStream,
        head: &Head,
        id: &str,
        (manner, unframed): (&Manner, bool),
    ) -> std::io::Result<()> {
        let after = head.header("last-event-id").and_then(|id| id.parse().ok());
        let after: u64 = after.unwrap_or(0);
        let framing = match unframed {
            true => "Content-Type: text/event-stream\r\nConnection: close\r\n",
            false => "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
        };
        writer.write_all(self.head(id, framing).as_bytes())?;
        self.record
            .note(&self.id, &format!("{id}: the first token is made"));
        thread::sleep(manner.first);
        if !self.lives() {
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        for event in after + 1..=manner.events {
            thread::sleep(manner.gap);
            let text = format!("id: {event}\ndata: word {event} of {id}\n\n");
            match unframed {
                true => writer.write_all(text.as_bytes())?,
                false => {
                    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
                    writer.write_all(chunk.as_bytes())?;
                }
            }
        }
        match unframed {
            true => Ok(()),
            false => writer.write_all(b"0\r\n\r\n"),
        }
    }
}
