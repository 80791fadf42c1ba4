//! Client of the platform's metadata store.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use awc::{
    http::{
        header,
        StatusCode, //
    },
    ClientRequest, //
};
use bytes::{
    Buf as _,
    BufMut as _,
    Bytes,
    BytesMut, //
};
use futures_util::StreamExt as _;
use percent_encoding::{
    utf8_percent_encode,
    NON_ALPHANUMERIC, //
};
use tokio::time::{
    error::Elapsed,
    timeout, //
};

use super::{
    newest::Pages,
    wire, //
};
use crate::{
    gateway::{
        metrics::Metrics,
        settings,
        timeout::Timeout, //
    },
    log::{
        Batch,
        Bounds,
        Failure,
        Log, //
    },
    upstream::http, //
};

/// Time without a byte of the answer after which a call fails, in addition to the time that the
/// store is requested to wait; the store answers in 4 ms, and takes 60 times as long when it is slow.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Range of the timeout of a read of the complete state of a topic. Nothing is known before it, so
/// there is nothing else to do while the answers to other instances are in front of it.
const SNAPSHOT_TIMEOUT: [Duration; 2] = [Duration::from_secs(4), Duration::from_secs(8)];

/// Maximum timeout of reads of large records, unless more is expected: a read that hangs when an
/// outage ends delays a change of the configuration by this.
const MAX_BULK_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum length of an answer, larger than a read of [`MAX_READ_KIB`].
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Maximum data that one read returns: it takes 0.1 s on the slowest link, of 21 Mbit/s.
const MAX_READ_KIB: usize = 256;

/// Connections to the store.
pub struct Store {
    address: RefCell<SocketAddr>,
    client: RefCell<awc::Client>,
    metrics: Metrics,
    /// Bytes per second that the reads of all instances share.
    read_bytes_per_s: f64,
    /// Instances that read the same records, this one included.
    readers: Cell<usize>,
}

fn client() -> awc::Client {
    http::client(&http::Settings {
        connect: CONNECT_TIMEOUT,
        ..http::Settings::default()
    })
}

fn unknown(error: impl ToString) -> Failure {
    Failure::Unknown(error.to_string())
}

impl Store {
    /// Returns a client, which connects on its first call.
    pub fn new(settings: &settings::Store, metrics: Metrics) -> Self {
        Self {
            address: RefCell::new(settings.address),
            client: RefCell::new(client()),
            metrics,
            read_bytes_per_s: settings.read_mb_per_s * 1e6,
            readers: Cell::new(1),
        }
    }

    /// Sets the number of instances that read the same records.
    pub fn set_readers(&self, readers: usize) {
        self.readers.set(readers.max(1));
    }

    /// Returns the time that the store takes to send an answer of this length to each instance.
    fn broadcast_time(&self, bytes: usize) -> Duration {
        let total_bytes = bytes as f64 * self.readers.get() as f64;
        Duration::from_secs_f64(total_bytes / self.read_bytes_per_s)
    }

    /// Changes the address, and drops the connections to the previous one.
    pub fn set_address(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.client.replace(client());
        }
    }

    fn url(&self, call: &str) -> String {
        format!("http://{}/v1/{call}", self.address.borrow())
    }

    fn get(&self, call: &str) -> ClientRequest {
        let url = self.url(call);
        self.client.borrow().get(url)
    }

    fn post(&self, call: &str) -> ClientRequest {
        let url = self.url(call);
        self.client.borrow().post(url)
    }

    /// Sends a request and reads the complete answer; `name` is the call in logs and metrics.
    ///
    /// The timeout limits the time without progress, and not the time of the whole transfer, which
    /// depends on the length of the answer and on what else uses the link.
    async fn call(
        &self,
        name: &'static str,
        request: ClientRequest,
        body: Bytes,
        wait: Duration,
        limit: &Timeout,
    ) -> Result<(StatusCode, Bytes), Failure> {
        let start = Instant::now();
        let received = Cell::new(0);
        let exchange = async {
            let head = timeout(wait + limit.get(), request.send_body(body)).await?;
            let mut response = match head {
                Ok(response) => response,
                Err(error) => return Ok(Err(unknown(error))),
            };
            let mut bytes = BytesMut::new();
            while let Some(chunk) = timeout(limit.get(), response.next()).await? {
                match chunk {
                    Ok(chunk) => bytes.extend_from_slice(&chunk),
                    Err(error) => return Ok(Err(unknown(error))),
                }
                received.set(bytes.len());
                if bytes.len() > MAX_ANSWER_BYTES {
                    return Ok(Err(unknown("the answer exceeds the maximum length")));
                }
            }
            // The client takes the end of the connection for that of the body.
            let length = response.headers().get(header::CONTENT_LENGTH);
            let length = length.and_then(|length| length.to_str().ok()?.parse().ok());
            if length.is_some_and(|length: usize| bytes.len() < length) {
                return Ok(Err(unknown("the answer was cut off")));
            }
            Ok::<_, Elapsed>(Ok((response.status(), bytes.freeze())))
        };
        let result = match exchange.await {
            Ok(result) => {
                if result.is_ok() {
                    limit.reset();
                }
                result
            }
            Err(_) => {
                limit.expired();
                // The other connections may be unresponsive as well, so all are dropped.
                self.client.replace(client());
                Err(unknown(format!(
                    "{name} made no progress within the time limit: given up after {} ms, {} bytes received",
                    start.elapsed().as_millis(),
                    received.get()
                )))
            }
        };
        let outcome = match &result {
            Ok((status, _)) if status.is_success() => "answered",
            Ok(_) => "refused",
            Err(_) => "lost",
        };
        self.metrics
            .record_store_call(name, outcome, start.elapsed(), received.get());
        result
    }
}

/// A topic of the store.
#[derive(Clone)]
pub struct Topic {
    store: Rc<Store>,
    name: Arc<str>,
    /// Longest answer so far, if records of the topic are large; otherwise 0.
    longest_answer: Cell<usize>,
    large_records: bool,
    /// Timeout of reads of records.
    read_timeout: Timeout,
    /// Timeout of reads of the complete state.
    snapshot_timeout: Timeout,
}

impl Topic {
    /// Returns a topic, which the store creates on its first use.
    pub fn new(store: Rc<Store>, name: &str) -> Self {
        let [min, max] = SNAPSHOT_TIMEOUT;
        Self {
            store,
            name: name.into(),
            longest_answer: Cell::new(0),
            large_records: false,
            read_timeout: Timeout::fixed(CALL_TIMEOUT),
            snapshot_timeout: Timeout::growing(min, max),
        }
    }

    /// Returns a topic with records so large that reading one may take long.
    pub fn with_large_records(store: Rc<Store>, name: &str) -> Self {
        Self {
            large_records: true,
            read_timeout: Timeout::growing(CALL_TIMEOUT, MAX_BULK_TIMEOUT),
            ..Self::new(store, name)
        }
    }

    /// Records the length of an answer, from which the time of the next large one is expected.
    fn record_length(&self, bytes: usize) {
        if self.large_records {
            let longest = self.longest_answer.get().max(bytes);
            self.longest_answer.set(longest);
        }
    }

    /// Returns the name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the newest record of each key of a keyed topic, and the offset of the next read.
    pub async fn newest(&self) -> Result<(Vec<(String, Bytes)>, u64), Failure> {
        let (store, topic) = (&self.store, &self.name);
        let mut pages = Pages::default();
        let mut next = None;
        loop {
            let mut call = format!("log-newest?topic={topic}&part=0");
            if let Some(key) = pages.after() {
                let key = utf8_percent_encode(key, NON_ALPHANUMERIC);
                call.push_str(&format!("&after={key}"));
            }
            let request = store.get(&call);
            let (status, body) = store
                .call(
                    "newest",
                    request,
                    Bytes::new(),
                    Duration::ZERO,
                    &self.snapshot_timeout,
                )
                .await?;
            if status != StatusCode::OK {
                return Err(Failure::NotApplied(format!("status {status}")));
            }
            self.record_length(body.len());
            let text = String::from_utf8_lossy(&body);
            let page: wire::Newest<'_> = serde_json::from_str(&text).map_err(unknown)?;
            // The pages are not a consistent snapshot: reading on from the end of the first page
            // repeats the changes that later pages may have missed.
            next.get_or_insert(page.end);
            let more = page.more && !page.items.is_empty();
            pages.push(page.items);
            if !more {
                return Ok((pages.records, next.unwrap_or(page.end)));
            }
            if !pages.advance() {
                let text = "pages of the newest records do not advance";
                return Err(Failure::NotApplied(text.into()));
            }
        }
    }
}

/// Decodes the answer of a read: the end offset, the oldest retained offset, and records, each
/// preceded by its length. Returns `None` if a length is invalid.
fn records(mut body: Bytes, from: u64) -> Option<(Bounds, Batch)> {
    if body.len() < 16 {
        return None;
    }
    let bounds = Bounds {
        end: body.get_u64(),
        begin: body.get_u64(),
    };
    let mut batch = Batch {
        records: Vec::new(),
        next: from,
    };
    while body.len() >= 4 {
        let length = body.get_u32() as usize;
        if body.len() < length {
            return None;
        }
        batch.records.push((batch.next, body.split_to(length)));
        batch.next += 1;
    }
    body.is_empty().then_some((bounds, batch))
}

impl Topic {
    /// Reads records as [`Log::read`] does, and returns the range of offsets with them: a read returns
    /// a part of the records if they are long.
    pub async fn read_with_bounds(
        &self,
        partition: u32,
        from: u64,
        wait: Duration,
    ) -> Result<(Bounds, Batch), Failure> {
        self.fetch(partition, from, wait, MAX_READ_KIB).await
    }

    /// Reads at most `max_kib` KiB of records from an offset on; waits up to `wait` for the first
    /// record.
    async fn fetch(
        &self,
        partition: u32,
        from: u64,
        wait: Duration,
        max_kib: usize,
    ) -> Result<(Bounds, Batch), Failure> {
        let name = &self.name;
        let wait_ms = wait.as_millis();
        let call = format!(
            "log-read?topic={name}&part={partition}&from={from}&maxKb={max_kib}&waitMs={wait_ms}"
        );
        let store = &self.store;
        let longest = self.longest_answer.get();
        self.read_timeout
            .set_min(CALL_TIMEOUT + store.broadcast_time(longest));
        let (status, body) = store
            .call(
                "read",
                store.get(&call),
                Bytes::new(),
                wait,
                &self.read_timeout,
            )
            .await?;
        self.record_length(body.len());
        match status {
            StatusCode::OK => {
                records(body, from).ok_or_else(|| unknown("records have invalid lengths"))
            }
            StatusCode::GONE => {
                let expired: wire::Expired = serde_json::from_slice(&body).map_err(unknown)?;
                Err(Failure::Expired {
                    begin: expired.first,
                })
            }
            _ => Err(Failure::NotApplied(format!("status {status}"))),
        }
    }
}

impl Log for Topic {
    async fn append(&self, partition: u32, records: &[Bytes]) -> Result<u64, Failure> {
        let mut body = BytesMut::new();
        for record in records {
            body.put_u32(record.len() as u32);
            body.put_slice(record);
        }
        let call = format!("log-append?topic={}&part={partition}", self.name);
        let store = &self.store;
        let request = store.post(&call);
        let (status, body) = store
            .call(
                "append",
                request,
                body.freeze(),
                Duration::ZERO,
                &Timeout::fixed(CALL_TIMEOUT),
            )
            .await?;
        if status != StatusCode::OK {
            return Err(Failure::NotApplied(format!("status {status}")));
        }
        let appended: wire::Appended = serde_json::from_slice(&body).map_err(unknown)?;
        Ok(appended.offset)
    }

    async fn read(&self, partition: u32, from: u64, wait: Duration) -> Result<Batch, Failure> {
        self.read_with_bounds(partition, from, wait)
            .await
            .map(|(_, batch)| batch)
    }

    async fn trim(&self, partition: u32, before: u64) -> Result<(), Failure> {
        let (store, topic) = (&self.store, &self.name);
        let trim = wire::Trim {
            topic,
            part: partition,
            before,
        };
        let body = serde_json::to_vec(&trim).map_err(unknown)?;
        let request = store.post("log-trim");
        let request = request.insert_header((header::CONTENT_TYPE, "application/json"));
        let (status, _) = store
            .call(
                "trim",
                request,
                body.into(),
                Duration::ZERO,
                &Timeout::fixed(CALL_TIMEOUT),
            )
            .await?;
        match status.is_success() {
            true => Ok(()),
            false => Err(Failure::NotApplied(format!("status {status}"))),
        }
    }

    async fn bounds(&self, partition: u32) -> Result<Bounds, Failure> {
        match self.fetch(partition, 0, Duration::ZERO, 1).await {
            Ok((bounds, _)) => Ok(bounds),
            Err(Failure::Expired { begin }) => {
                let (bounds, _) = self.fetch(partition, begin, Duration::ZERO, 1).await?;
                Ok(bounds)
            }
            Err(failure) => Err(failure),
        }
    }
}
