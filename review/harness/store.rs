//! Stand-in of the platform's store: topics of records, plain or keyed.
//!
//! Each machine has its own way to the store, on which the addresses of engines are those of the
//! machine's own paths.

use std::{
    collections::{BTreeMap, HashMap},
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    link,
    wire::{write_answer, Head, Reader},
};

/// How the store answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    #[default]
    Up,
    /// Every call gets 503 and does nothing.
    Busy,
}

#[derive(Default)]
struct Partition {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (Vec<u8>, u64)>,
    first: u64,
}

impl Partition {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

#[derive(Default)]
struct Inner {
    mode: Mode,
    /// Machines that are cut off from the store.
    cut: Vec<usize>,
    partitions: HashMap<(String, u32), Partition>,
    appends: u64,
}

#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<Inner>, Condvar)>);

/// Mark in the entry of an engine for the address of the reader's path to it.
pub fn address_mark(engine: usize) -> String {
    format!("@path-{engine}@")
}

impl Store {
    pub fn set_mode(&self, mode: Mode) {
        self.0 .0.lock().unwrap().mode = mode;
        self.0 .1.notify_all();
    }

    /// Cuts machines off: their connections are closed without an answer.
    pub fn set_cut(&self, machines: Vec<usize>) {
        self.0 .0.lock().unwrap().cut = machines;
        self.0 .1.notify_all();
    }

    /// Writes a key, as the operator and the engines do.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        self.append(topic, 0, vec![record]);
    }

    fn append(&self, topic: &str, part: u32, records: Vec<Vec<u8>>) -> (u64, u64) {
        let mut inner = self.0 .0.lock().unwrap();
        let partition = inner
            .partitions
            .entry((topic.to_owned(), part))
            .or_default();
        let offset = partition.end();
        for record in records {
            if topic.starts_with("keyed.") && !record.is_empty() {
                let length = usize::from(record[0]).min(record.len() - 1);
                let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
                let value = record[length + 1..].to_vec();
                let end = partition.end();
                match value.is_empty() {
                    true => partition.newest.remove(&key),
                    false => partition.newest.insert(key, (value, end)),
                };
            }
            partition.records.push(record);
        }
        let end = partition.end();
        inner.appends += 1;
        self.0 .1.notify_all();
        (offset, end)
    }

    /// Serves a machine.
    pub fn serve(&self, address: SocketAddr, view: View) -> std::io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, view) = (store.clone(), view.clone());
                thread::spawn(move || store.connection(stream, &view));
            }
        });
        Ok(())
    }

    fn connection(&self, stream: TcpStream, view: &View) {
        let _ = stream.set_nodelay(true);
        let Ok(writer) = stream.try_clone() else {
            return;
        };
        let mut reader = Reader::new(stream);
        while let Ok(head) = reader.head() {
            let (body, _) = reader.body(&head, false);
            thread::sleep(Duration::from_millis(2));
            if self.answer(&writer, &head, &body, view).is_err() {
                return;
            }
        }
    }

    fn is_cut(&self, view: &View) -> bool {
        self.0 .0.lock().unwrap().cut.contains(&view.machine)
    }

    fn answer(
        &self,
        writer: &TcpStream,
        head: &Head,
        body: &[u8],
        view: &View,
    ) -> std::io::Result<()> {
        let (call, query) = head.target().split_once('?').unwrap_or((head.target(), ""));
        let query: HashMap<_, _> = query
            .split('&')
            .filter_map(|item| item.split_once('='))
            .collect();
        let number = |name: &str| {
            query
                .get(name)
                .and_then(|value| value.parse().ok())
                .unwrap_or(0)
        };
        let topic = query.get("topic").copied().unwrap_or("");
        let part = number("part") as u32;
        if self.is_cut(view) {
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        if self.0 .0.lock().unwrap().mode == Mode::Busy {
            return write_answer(writer, "503 Service Unavailable", "", b"");
        }
        let localise = |value: &[u8]| view.localise(value);
        match call {
            "/v1/log-append" => {
                if ["keyed.op", "keyed.servers"].contains(&topic) {
                    return write_answer(writer, "403 Forbidden", "", b"");
                }
                let (mut rest, mut records) = (body, Vec::new());
                while rest.len() >= 4 {
                    let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                    let Some(record) = rest.get(4..4 + length) else {
                        return write_answer(writer, "400 Bad Request", "", b"");
                    };
                    records.push(record.to_vec());
                    rest = &rest[4 + length..];
                }
                let (offset, end) = self.append(topic, part, records);
                let text = format!("{{\"offset\":{offset},\"end\":{end}}}");
                json(writer, "200 OK", &text)
            }
            "/v1/log-read" => {
                let wait = Duration::from_millis(number("waitMs").min(30_000));
                let from = number("from");
                let until = Instant::now() + wait;
                let mut inner = self.0 .0.lock().unwrap();
                loop {
                    if inner.cut.contains(&view.machine) {
                        return Err(std::io::ErrorKind::ConnectionAborted.into());
                    }
                    if inner.mode == Mode::Busy {
                        drop(inner);
                        return write_answer(writer, "503 Service Unavailable", "", b"");
                    }
                    let key = (topic.to_owned(), part);
                    let left = until.saturating_duration_since(Instant::now());
                    let partition = inner.partitions.entry(key).or_default();
                    if from < partition.first {
                        let text = format!("{{\"first\":{}}}", partition.first);
                        drop(inner);
                        return json(writer, "410 Gone", &text);
                    }
                    let skip = (from - partition.first) as usize;
                    if skip < partition.records.len() || left.is_zero() {
                        let mut out = partition.end().to_be_bytes().to_vec();
                        out.extend_from_slice(&partition.first.to_be_bytes());
                        for record in partition.records.iter().skip(skip) {
                            let record = localise(record);
                            out.extend_from_slice(&(record.len() as u32).to_be_bytes());
                            out.extend_from_slice(&record);
                        }
                        drop(inner);
                        return write_answer(writer, "200 OK", "", &out);
                    }
                    inner = self.0 .1.wait_timeout(inner, left).unwrap().0;
                }
            }
            "/v1/log-newest" => {
                let inner = self.0 .0.lock().unwrap();
                let empty = Partition::default();
                let key = (topic.to_owned(), part);
                let partition = inner.partitions.get(&key).unwrap_or(&empty);
                let items = partition.newest.iter().map(|(key, (value, offset))| {
                    let value = base64(&localise(value));
                    format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
                });
                let items: Vec<_> = items.collect();
                let text = format!(
                    "{{\"items\":[{}],\"more\":false,\"end\":{}}}",
                    items.join(","),
                    partition.end()
                );
                drop(inner);
                json(writer, "200 OK", &text)
            }
            "/v1/log-trim" => json(writer, "200 OK", "{}"),
            _ => write_answer(writer, "404 Not Found", "", b""),
        }
    }
}

fn json(writer: &TcpStream, status: &str, text: &str) -> std::io::Result<()> {
    write_answer(
        writer,
        status,
        "Content-Type: application/json\r\n",
        text.as_bytes(),
    )?;
    let mut writer = writer;
    writer.flush()
}

/// What a machine reads instead of the addresses of engines and of other machines.
#[derive(Clone, Default)]
pub struct View {
    /// The machine, from 1.
    pub machine: usize,
    /// Paths of the machine to the engines.
    pub paths: Vec<SocketAddr>,
    /// Machine, port of the links and number of machines, if the machine uses links that can be cut.
    pub links: Option<(usize, u16, usize)>,
}

impl View {
    /// Puts the addresses that the machine uses into a record.
    fn localise(&self, value: &[u8]) -> Vec<u8> {
        let value = match self.links {
            Some((machine, port, machines)) => link::localise(value, machine, port, machines),
            None => value.to_vec(),
        };
        match std::str::from_utf8(&value) {
            Ok(text) if text.contains("@path-") => {
                let mut text = text.to_owned();
                for (engine, address) in self.paths.iter().enumerate() {
                    text = text.replace(&address_mark(engine), &address.to_string());
                }
                text.into_bytes()
            }
            _ => value,
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            let digit = (bits >> (18 - 6 * index)) & 63;
            text.push(match index <= group.len() {
                true => DIGITS[digit as usize] as char,
                false => '=',
            });
        }
    }
    text
}
