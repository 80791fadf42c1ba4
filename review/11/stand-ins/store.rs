//! Stand-in for the platform's store: topics of records, plain or keyed.

use std::{
    collections::{BTreeMap, HashMap},
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Condvar, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::http::{self, Message};

/// Time of an answer of the store, by the sheets.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Most items of a page of the newest records.
const PAGE_ITEMS: usize = 500;

#[derive(Default)]
struct Partition {
    first: u64,
    records: Vec<Vec<u8>>,
    /// Newest value of each key, and its offset.
    newest: BTreeMap<String, (Vec<u8>, u64)>,
}

impl Partition {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn append(&mut self, keyed: bool, record: Vec<u8>) {
        let offset = self.end();
        if keyed && !record.is_empty() {
            let length = 1 + usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..length]).into_owned();
            match &record[length..] {
                [] => drop(self.newest.remove(&key)),
                value => drop(self.newest.insert(key, (value.to_vec(), offset))),
            }
        }
        self.records.push(record);
    }
}

/// The store.
pub struct Store {
    /// Its address.
    pub address: SocketAddr,
    /// Whether each call is answered with status 503 and has no effect.
    busy: AtomicBool,
    partitions: Mutex<HashMap<(String, u32), Partition>>,
    appended: Condvar,
}

impl Store {
    /// Starts a store on a free port.
    pub fn start(ip: &str) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Arc::new(Self {
            address: listener.local_addr()?,
            busy: AtomicBool::new(false),
            partitions: Mutex::default(),
            appended: Condvar::new(),
        });
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                // A caller may leave at any time.
                thread::spawn(move || drop(store.serve(stream)));
            }
        });
        Ok(store)
    }

    /// Begins or ends an outage, in which each call gets status 503.
    pub fn set_busy(&self, busy: bool) {
        self.busy.store(busy, Ordering::SeqCst);
        self.appended.notify_all();
    }

    /// Returns whether an outage is under way.
    pub fn is_busy(&self) -> bool {
        self.busy.load(Ordering::SeqCst)
    }

    /// Writes the value of a key, as the operator or an engine does.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        self.append(topic, 0, vec![record]);
    }

    fn append(&self, topic: &str, part: u32, records: Vec<Vec<u8>>) -> (u64, u64) {
        let mut partitions = self.partitions.lock().unwrap();
        let partition = partitions.entry((topic.to_owned(), part)).or_default();
        let offset = partition.end();
        for record in records {
            partition.append(topic.starts_with("keyed."), record);
        }
        let end = partition.end();
        drop(partitions);
        self.appended.notify_all();
        (offset, end)
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        loop {
            let request = http::read(&mut stream)?;
            thread::sleep(ANSWER_TIME);
            if self.is_busy() {
                http::answer(&mut stream, "503 Service Unavailable", "", b"")?;
                continue;
            }
            let (status, body) = self.handle(&request);
            http::answer(&mut stream, status, "", &body)?;
        }
    }

    fn handle(&self, request: &Message) -> (&'static str, Vec<u8>) {
        const OK: &str = "200 OK";
        let (_, target) = request.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(key, _)| *key == name)
                .map(|(_, value)| value.to_owned())
        };
        let number = |name: &str| field(name).and_then(|value| value.parse::<u64>().ok());
        let topic = field("topic").unwrap_or_default();
        let part = number("part").unwrap_or(0) as u32;
        match path {
            "/v1/log-append" => {
                let (offset, end) = self.append(&topic, part, split(&request.body));
                (
                    OK,
                    format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes(),
                )
            }
            "/v1/log-read" => {
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
                let bytes = number("maxKb").unwrap_or(1_024) as usize * 1_024;
                self.read((topic, part), number("from").unwrap_or(0), wait, bytes)
            }
            "/v1/log-newest" => (OK, self.newest((topic, part), field("after").as_deref())),
            "/v1/log-trim" => {
                let text = request.text();
                let topic = json_field(&text, "topic");
                let number = |name| json_field(&text, name).parse().unwrap_or(0);
                self.trim((topic, number("part") as u32), number("before"));
                (OK, b"{}".to_vec())
            }
            _ => ("404 Not Found", Vec::new()),
        }
    }

    fn read(
        &self,
        key: (String, u32),
        from: u64,
        wait: Duration,
        most: usize,
    ) -> (&'static str, Vec<u8>) {
        let until = Instant::now() + wait;
        let mut partitions = self.partitions.lock().unwrap();
        loop {
            let partition = partitions.entry(key.clone()).or_default();
            if from < partition.first {
                let text = format!("{{\"first\":{}}}", partition.first);
                return ("410 Gone", text.into_bytes());
            }
            let left = until.saturating_duration_since(Instant::now());
            if from < partition.end() || left.is_zero() || self.is_busy() {
                break;
            }
            partitions = self.appended.wait_timeout(partitions, left).unwrap().0;
        }
        if self.is_busy() {
            return ("503 Service Unavailable", Vec::new());
        }
        let partition = &partitions[&key];
        let mut body = partition.end().to_be_bytes().to_vec();
        body.extend_from_slice(&partition.first.to_be_bytes());
        let skipped = (from - partition.first) as usize;
        for record in partition.records.iter().skip(skipped) {
            if body.len() > 16 && body.len() + record.len() > most {
                break;
            }
            body.extend_from_slice(&(record.len() as u32).to_be_bytes());
            body.extend_from_slice(record);
        }
        ("200 OK", body)
    }

    fn newest(&self, key: (String, u32), after: Option<&str>) -> Vec<u8> {
        let mut partitions = self.partitions.lock().unwrap();
        let partition = partitions.entry(key).or_default();
        let mut rest = partition.newest.iter();
        let mut rest = rest
            .by_ref()
            .filter(|(key, _)| after.is_none_or(|after| key.as_str() > after));
        let items = rest
            .by_ref()
            .take(PAGE_ITEMS)
            .map(|(key, (value, offset))| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            });
        let items: Vec<_> = items.collect();
        let (more, end) = (rest.next().is_some(), partition.end());
        let items = items.join(",");
        format!("{{\"items\":[{items}],\"more\":{more},\"end\":{end}}}").into_bytes()
    }

    fn trim(&self, key: (String, u32), before: u64) {
        let mut partitions = self.partitions.lock().unwrap();
        let partition = partitions.entry(key).or_default();
        let before = before.clamp(partition.first, partition.end());
        partition
            .records
            .drain(..(before - partition.first) as usize);
        partition.first = before;
    }
}

/// Splits a body into records, each behind its length.
fn split(mut bytes: &[u8]) -> Vec<Vec<u8>> {
    let mut records = Vec::new();
    while let Some((length, rest)) = bytes.split_first_chunk::<4>() {
        let length = (u32::from_be_bytes(*length) as usize).min(rest.len());
        records.push(rest[..length].to_vec());
        bytes = &rest[length..];
    }
    records
}

/// Returns a field of a flat JSON object as text.
fn json_field(text: &str, name: &str) -> String {
    let rest = text
        .split_once(&format!("\"{name}\":"))
        .map_or("", |(_, rest)| rest);
    let value = rest.split([',', '}']).next().unwrap_or("");
    value.trim().trim_matches('"').to_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(*group.get(index).unwrap_or(&0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            match index <= group.len() {
                true => text.push(char::from(DIGITS[(bits >> (18 - 6 * index) & 63) as usize])),
                false => text.push('='),
            }
        }
    }
    text
}
