//! Client of a log that speaks the Kafka REST Proxy API v2.

use std::{
    cell::RefCell,
    io,
    time::Duration, //
};

use awc::{
    error::{
        ConnectError,
        SendRequestError, //
    },
    http::{
        Method,
        StatusCode, //
    },
    Connector,
};
use base64::{
    engine::general_purpose::STANDARD,
    Engine, //
};
use bytes::Bytes;
use serde::{
    de::DeserializeOwned,
    Deserialize,
    Serialize, //
};
use tokio::time::timeout;

use super::{
    Batch,
    Bounds,
    Failure,
    Log, //
};
use crate::{
    hash::Map,
    name::{
        Instance,
        Zone, //
    },
};

const JSON: &str = "application/vnd.kafka.v2+json";
const BINARY: &str = "application/vnd.kafka.binary.v2+json";

/// Maximum size of a response; base64 makes records larger by a third.
const MAX_RESPONSE_BYTES: usize = 32 << 20;

/// Pooled consumers per partition: one follows the end, the other reads older records.
const MAX_CONSUMERS: usize = 2;

/// Address and limits of the log.
#[derive(Clone, Debug)]
pub struct Settings {
    /// URL of the REST proxy, without a trailing slash.
    pub url: String,
    /// Topic that holds the system's records.
    pub topic: String,
    /// Local instance; its name is part of the consumer group's name.
    pub instance: Instance,
    /// Availability zone of the local instance, sent as `X-Zone`.
    pub zone: Zone,
    /// Connect timeout.
    pub connect_timeout: Duration,
    /// Timeout of an operation, excluding the wait of a long poll.
    pub operation_timeout: Duration,
    /// Maximum bytes of records that one read requests.
    pub max_read_bytes: u64,
}

/// Client of the REST proxy; it stays on the thread that created it.
pub struct Client {
    http: awc::Client,
    settings: Settings,
    consumers: RefCell<Map<u32, Vec<Consumer>>>,
}

/// A consumer instance on the proxy, assigned to one partition.
#[derive(Debug)]
struct Consumer {
    uri: String,
    next: u64,
}

/// Error of one HTTP exchange.
enum Error {
    /// The request did not leave this process, or the proxy refused it.
    Refused(String),
    /// The request may have taken effect.
    Unknown(String),
}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        match error {
            Error::Refused(text) => Self::NotApplied(text),
            Error::Unknown(text) => Self::Unknown(text),
        }
    }
}

#[derive(Serialize)]
struct Produce {
    records: Vec<Value>,
}

#[derive(Serialize)]
struct Value {
    value: String,
}

#[derive(Deserialize)]
struct Produced {
    offsets: Vec<Ack>,
}

#[derive(Deserialize)]
struct Ack {
    offset: Option<u64>,
    error_code: Option<i64>,
    error: Option<String>,
}

#[derive(Deserialize)]
struct Offsets {
    beginning_offset: u64,
    end_offset: u64,
}

#[derive(Serialize)]
struct Subscribe {
    format: &'static str,
    #[serde(rename = "auto.offset.reset")]
    reset: &'static str,
    #[serde(rename = "auto.commit.enable")]
    commit: &'static str,
}

#[derive(Deserialize)]
struct Subscribed {
    base_uri: String,
}

#[derive(Serialize)]
struct Position<'a> {
    topic: &'a str,
    partition: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    offset: Option<u64>,
}

#[derive(Serialize)]
struct Assignment<'a> {
    partitions: [Position<'a>; 1],
}

#[derive(Serialize)]
struct Positions<'a> {
    offsets: [Position<'a>; 1],
}

#[derive(Deserialize)]
struct Consumed {
    value: Option<String>,
    partition: u32,
    offset: u64,
}

impl Client {
    /// Creates a client without connecting.
    pub fn new(settings: Settings) -> Self {
        let connector = Connector::new().timeout(settings.connect_timeout);
        let http = awc::Client::builder()
            .connector(connector)
            .disable_redirects()
            .add_default_header(("X-Zone", settings.zone.as_str()))
            .finish();
        Self {
            http,
            settings,
            consumers: RefCell::default(),
        }
    }

    fn partition_url(&self, partition: u32, suffix: &str) -> String {
        let Settings { url, topic, .. } = &self.settings;
        format!("{url}/topics/{topic}/partitions/{partition}{suffix}")
    }

    /// Sends one request and returns the body of a successful response.
    ///
    /// `content_type` is the media type of the request's body.
    async fn exchange(
        &self,
        method: Method,
        url: &str,
        content_type: &str,
        accept: &str,
        body: Option<Vec<u8>>,
        limit: Duration,
    ) -> Result<Bytes, Error> {
        let request = self
            .http
            .request(method, url)
            .timeout(limit)
            .insert_header(("Accept", accept))
            .insert_header(("Content-Type", content_type));
        let sent = match body {
            Some(body) => request.send_body(body).await,
            None => request.send().await,
        };
        let mut response = sent.map_err(classify)?;
        let status = response.status();
        let read = timeout(limit, response.body().limit(MAX_RESPONSE_BYTES)).await;
        if !status.is_success() {
            let text = read.ok().and_then(Result::ok).unwrap_or_default();
            return Err(status_error(status, &text));
        }
        match read {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(error)) => Err(Error::Unknown(format!("response is incomplete: {error}"))),
            Err(_) => Err(Error::Unknown(
                "no complete response within the timeout".into(),
            )),
        }
    }

    async fn post(&self, url: &str, body: &impl Serialize) -> Result<Bytes, Error> {
        let body = encode(body)?;
        let limit = self.settings.operation_timeout;
        self.exchange(Method::POST, url, JSON, JSON, Some(body), limit)
            .await
    }

    /// Creates a consumer instance that is assigned to one partition.
    async fn subscribe(&self, partition: u32) -> Result<Consumer, Error> {
        let Settings { url, instance, .. } = &self.settings;
        let subscribe = Subscribe {
            format: "binary",
            reset: "earliest",
            commit: "false",
        };
        let group = format!("{url}/consumers/gypsumlever-{instance}");
        let response = self.post(&group, &subscribe).await?;
        let Subscribed { base_uri: uri } = parse(&response)?;
        let assignment = Assignment {
            partitions: [self.position(partition, None)],
        };
        self.post(&format!("{uri}/assignments"), &assignment)
            .await?;
        let next = u64::MAX;
        Ok(Consumer { uri, next })
    }

    fn position(&self, partition: u32, offset: Option<u64>) -> Position<'_> {
        Position {
            topic: &self.settings.topic,
            partition,
            offset,
        }
    }

    /// Takes a consumer from the pool, preferably one at the offset `from`.
    ///
    /// Returns `None` if there is none at that offset and the pool is not full.
    fn acquire(&self, partition: u32, from: u64) -> Option<Consumer> {
        let mut consumers = self.consumers.borrow_mut();
        let idle = consumers.entry(partition).or_default();
        match idle.iter().position(|consumer| consumer.next == from) {
            Some(index) => Some(idle.swap_remove(index)),
            None if idle.len() >= MAX_CONSUMERS => idle.pop(),
            None => None,
        }
    }

    async fn release(&self, partition: u32, consumer: Consumer) {
        let excess = {
            let mut consumers = self.consumers.borrow_mut();
            let idle = consumers.entry(partition).or_default();
            idle.insert(0, consumer);
            match idle.len() > MAX_CONSUMERS {
                true => idle.pop(),
                false => None,
            }
        };
        if let Some(consumer) = excess {
            let limit = self.settings.operation_timeout;
            let deleted = self.exchange(Method::DELETE, &consumer.uri, JSON, JSON, None, limit);
            // If the request fails, the proxy expires the unused consumer.
            let _ = deleted.await;
        }
    }

    /// Moves a consumer to an offset, after a check that its record is retained.
    async fn seek(&self, consumer: &mut Consumer, partition: u32, to: u64) -> Result<(), Failure> {
        self.check_retained(partition, to).await?;
        let positions = Positions {
            offsets: [self.position(partition, Some(to))],
        };
        let url = format!("{}/positions", consumer.uri);
        self.post(&url, &positions).await?;
        consumer.next = to;
        Ok(())
    }

    async fn check_retained(&self, partition: u32, from: u64) -> Result<(), Failure> {
        let Bounds { begin, .. } = self.bounds(partition).await?;
        match from < begin {
            true => Err(Failure::Expired { begin }),
            false => Ok(()),
        }
    }

    async fn poll(&self, consumer: &Consumer, wait: Duration) -> Result<Vec<Consumed>, Error> {
        let url = format!(
            "{}/records?timeout={}&max_bytes={}",
            consumer.uri,
            wait.as_millis(),
            self.settings.max_read_bytes
        );
        let limit = self.settings.operation_timeout + wait;
        let response = self
            .exchange(Method::GET, &url, JSON, BINARY, None, limit)
            .await?;
        parse(&response)
    }

    async fn consume(
        &self,
        mut consumer: Consumer,
        partition: u32,
        from: u64,
        wait: Duration,
    ) -> Result<Batch, Failure> {
        if consumer.next != from {
            self.seek(&mut consumer, partition, from).await?;
        }
        let consumed = self.poll(&consumer, wait).await?;
        let mut records = Vec::with_capacity(consumed.len());
        for record in consumed {
            // The consumer is assigned to one partition; a response may still contain records from
            // before its assignment or seek.
            if record.partition != partition || record.offset < from {
                continue;
            }
            let value = record.value.unwrap_or_default();
            let value = STANDARD.decode(value);
            let value = value.map_err(|error| {
                Failure::Unknown(format!("record value is not base64: {error}"))
            })?;
            records.push((record.offset, Bytes::from(value)));
        }
        if records.first().is_some_and(|(offset, _)| *offset > from) {
            // Either the offsets have a gap, or the proxy continued at the oldest retained record.
            self.check_retained(partition, from).await?;
        }
        let next = records.last().map_or(from, |(offset, _)| offset + 1);
        consumer.next = next;
        self.release(partition, consumer).await;
        Ok(Batch { records, next })
    }
}

impl Log for Client {
    async fn append(&self, partition: u32, records: &[Bytes]) -> Result<u64, Failure> {
        let value = |record: &Bytes| Value {
            value: STANDARD.encode(record),
        };
        let produce = Produce {
            records: records.iter().map(value).collect(),
        };
        let url = self.partition_url(partition, "");
        let body = encode(&produce)?;
        let limit = self.settings.operation_timeout;
        let response = self
            .exchange(Method::POST, &url, BINARY, JSON, Some(body), limit)
            .await?;
        let Produced { offsets } = parse(&response)?;
        let failed = offsets.iter().find(|ack| ack.error_code.is_some());
        if let Some(Ack { error, .. }) = failed {
            // Other records of the batch may have been appended, and after a retriable error such
            // as a timeout it is unknown whether this one was.
            let error = error.clone().unwrap_or_default();
            return Err(Failure::Unknown(format!(
                "append of a record failed: {error}"
            )));
        }
        match offsets.first().and_then(|ack| ack.offset) {
            Some(offset) if offsets.len() == records.len() => Ok(offset),
            _ => Err(Failure::Unknown("response lacks offsets".into())),
        }
    }

    async fn read(&self, partition: u32, from: u64, wait: Duration) -> Result<Batch, Failure> {
        if let Some(consumer) = self.acquire(partition, from) {
            // A consumer whose read failed is dropped. The proxy refuses reads of an expired
            // consumer, so that a refused read is retried with a new one.
            match self.consume(consumer, partition, from, wait).await {
                Err(Failure::NotApplied(_)) => {}
                other => return other,
            }
        }
        let consumer = self.subscribe(partition).await?;
        self.consume(consumer, partition, from, wait).await
    }

    async fn bounds(&self, partition: u32) -> Result<Bounds, Failure> {
        let url = self.partition_url(partition, "/offsets");
        let limit = self.settings.operation_timeout;
        let response = self
            .exchange(Method::GET, &url, JSON, JSON, None, limit)
            .await?;
        let Offsets {
            beginning_offset: begin,
            end_offset: end,
        } = parse(&response)?;
        Ok(Bounds { begin, end })
    }
}

/// Distinguishes errors before the request was sent from all others.
fn classify(error: SendRequestError) -> Error {
    let not_sent = match &error {
        SendRequestError::Url(_) => true,
        SendRequestError::Connect(error) => match error {
            // `Disconnected` is also reported when a sent request gets no response.
            ConnectError::Timeout | ConnectError::Resolver(_) | ConnectError::NoRecords => true,
            ConnectError::Io(error) => error.kind() == io::ErrorKind::ConnectionRefused,
            _ => false,
        },
        _ => false,
    };
    let text = error.to_string();
    match not_sent {
        true => Error::Refused(text),
        false => Error::Unknown(text),
    }
}

/// Distinguishes a status that rules out an effect from one that doesn't.
fn status_error(status: StatusCode, body: &[u8]) -> Error {
    let text = String::from_utf8_lossy(&body[..body.len().min(200)]);
    let text = format!("status {status}: {text}");
    // A gateway may send 408 while the request is still in flight.
    match status.is_client_error() && status != StatusCode::REQUEST_TIMEOUT {
        true => Error::Refused(text),
        false => Error::Unknown(text),
    }
}

fn encode(body: &impl Serialize) -> Result<Vec<u8>, Error> {
    serde_json::to_vec(body).map_err(|error| Error::Refused(error.to_string()))
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(body)
        .map_err(|error| Error::Unknown(format!("malformed response: {error}")))
}
