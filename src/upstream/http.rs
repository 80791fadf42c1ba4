//! HTTP client for upstreams: connections, time limits and classification of failures.
//!
//! With redirects disabled, `awc` never resends a request by itself. It reports a connection that
//! was closed after the request was sent as a failure to connect, and a connection that was closed
//! in mid-body as the end of the body; both are corrected here.

use std::{
    cell::RefCell,
    fmt::Display,
    rc::Rc,
    task::{
        Context,
        Poll, //
    },
    time::{
        Duration,
        SystemTime, //
    },
};

use actix_tls::connect::{
    ConnectError as DialError,
    ConnectInfo,
    Connection,
    Connector as Dial,
    ConnectorService,
    Resolver, //
};
use actix_web::dev::Service;
use awc::{
    error::{
        ConnectError,
        SendRequestError, //
    },
    http::{
        header::{
            self,
            HttpDate, //
        },
        StatusCode,
        Uri, //
    },
    ClientRequest,
    ClientResponse,
    Connector, //
};
use bytes::{
    Bytes,
    BytesMut, //
};
use futures_util::{
    future::LocalBoxFuture,
    FutureExt as _,
    StreamExt as _, //
};
use tokio::{
    net::TcpStream,
    time::{
        timeout_at,
        Instant, //
    }, //
};

use crate::{
    config,
    hash::Map, //
};

use super::{
    Failure,
    Limits, //
};

/// Longest response body that is read completely, in bytes.
pub const MAX_BODY_BYTES: usize = 4 << 20;

/// Maximum number of bytes of an error response's body that the error message contains.
const MAX_MESSAGE_BYTES: usize = 512;

/// Upper limit applied to `Retry-After`.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3_600);

/// Longest wait for the end of a body after its last event, so that the connection can be reused.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of bytes read while waiting for the end of a body.
const MAX_DRAIN_BYTES: usize = 64 << 10;

/// Time without requests to an address after which its connections are dropped.
const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_secs(300);

/// Settings of upstream connections.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Timeout for opening a connection.
    pub connect: Duration,
    /// Idle timeout of a connection; shorter than the upstreams' own, so that a call rarely meets a
    /// connection that the upstream is closing.
    pub idle: Duration,
    /// Maximum age at which a connection is reused.
    pub max_age: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(1),
            idle: Duration::from_secs(4),
            max_age: Duration::from_secs(300),
        }
    }
}

impl From<&config::Timings> for Settings {
    fn from(timings: &config::Timings) -> Self {
        Self {
            connect: timings.connect,
            idle: timings.idle,
            ..Self::default()
        }
    }
}

/// Connection pool of one thread.
#[derive(Clone)]
pub(super) struct Pool(Rc<Inner>);

struct Inner {
    settings: Settings,
    clients: RefCell<Map<String, Entry>>,
    /// Client whose connections are never reused.
    unpooled: awc::Client,
}

struct Entry {
    client: awc::Client,
    last_used: Instant,
}

/// Opens connections with `TCP_NODELAY`.
///
/// Otherwise the last segment of a prompt may wait for the acknowledgement of the previous segment.
#[derive(Clone)]
struct Dialer(ConnectorService);

impl Service<ConnectInfo<Uri>> for Dialer {
    type Response = Connection<Uri, TcpStream>;
    type Error = DialError;
    type Future = LocalBoxFuture<'static, Result<Self::Response, DialError>>;

    fn poll_ready(&self, context: &mut Context<'_>) -> Poll<Result<(), DialError>> {
        Service::<ConnectInfo<Uri>>::poll_ready(&self.0, context)
    }

    fn call(&self, info: ConnectInfo<Uri>) -> Self::Future {
        let dial = self.0.call(info);
        Box::pin(async move {
            let connection = dial.await?;
            connection.set_nodelay(true).map_err(DialError::Io)?;
            Ok(connection)
        })
    }
}

/// Returns a client that uses `TCP_NODELAY` and never resends a request.
pub fn client(settings: &Settings) -> awc::Client {
    let connector = Connector::new()
        .connector(Dialer(Dial::new(Resolver::default()).service()))
        .timeout(settings.connect)
        .conn_keep_alive(settings.idle)
        .conn_lifetime(settings.max_age)
        .limit(0);
    awc::Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .finish()
}

impl Pool {
    pub(super) fn new(settings: Settings) -> Self {
        Self(Rc::new(Inner {
            clients: RefCell::default(),
            unpooled: client(&settings),
            settings,
        }))
    }

    /// Returns the client of an address.
    ///
    /// Each address has its own client, so that all its connections can be dropped together.
    fn client(&self, address: &str) -> awc::Client {
        let now = Instant::now();
        let mut clients = self.0.clients.borrow_mut();
        if let Some(entry) = clients.get_mut(address) {
            entry.last_used = now;
            return entry.client.clone();
        }
        clients.retain(|_, entry| now - entry.last_used < CLIENT_IDLE_TIMEOUT);
        let client = client(&self.0.settings);
        let entry = Entry {
            client: client.clone(),
            last_used: now,
        };
        clients.insert(address.to_owned(), entry);
        client
    }

    pub(super) fn get(&self, address: &str, path: &str) -> ClientRequest {
        self.client(address).get(url(address, path))
    }

    pub(super) fn post(&self, address: &str, path: &str) -> ClientRequest {
        self.client(address).post(url(address, path))
    }

    /// Returns a request that is sent on a new connection, which is closed afterwards.
    pub(super) fn post_unpooled(&self, address: &str, path: &str) -> ClientRequest {
        self.0.unpooled.post(url(address, path)).force_close()
    }

    /// Drops the idle connections to an address: if one is unresponsive, the others may be too.
    fn discard(&self, address: &str) {
        self.0.clients.borrow_mut().remove(address);
    }

    /// Sends a request and waits for the response head; fails unless the call was accepted.
    pub(super) async fn send(
        &self,
        address: &str,
        request: ClientRequest,
        body: Bytes,
        limits: Limits,
    ) -> Result<Body, Failure> {
        let now = Instant::now();
        let total = now + limits.total;
        let first = total.min(now + limits.first);
        let sent = timeout_at(first, request.send_body(body)).await;
        let response = match sent {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => return Err(classify(&error)),
            Err(_) => {
                self.discard(address);
                return Err(Failure::Unknown("no answer in time".into()));
            }
        };
        let body = Body {
            pool: self.clone(),
            address: address.to_owned(),
            expected: content_length(&response),
            received: 0,
            response,
            first: Some(first),
            progress: limits.progress,
            total,
        };
        body.accepted().await
    }
}

fn url(address: &str, path: &str) -> String {
    format!("http://{address}{path}")
}

/// Converts an error of `awc` into a failure.
fn classify(error: &SendRequestError) -> Failure {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => {
            Failure::Unknown("connection closed before the answer".into())
        }
        SendRequestError::Url(_) | SendRequestError::Http(_) | SendRequestError::Connect(_) => {
            Failure::NotSent(error.to_string())
        }
        _ => unknown(error),
    }
}

pub(super) fn unknown(error: impl Display) -> Failure {
    Failure::Unknown(error.to_string())
}

fn content_length(response: &ClientResponse) -> Option<u64> {
    let value = response.headers().get(header::CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}

fn retry_after(response: &ClientResponse) -> Option<Duration> {
    let text = response.headers().get(header::RETRY_AFTER)?.to_str().ok()?;
    let wait = match text.trim().parse() {
        Ok(seconds) => Duration::from_secs(seconds),
        Err(_) => {
            let date = SystemTime::from(text.parse::<HttpDate>().ok()?);
            date.duration_since(SystemTime::now()).unwrap_or_default()
        }
    };
    Some(wait.min(MAX_RETRY_AFTER))
}

/// Response body, read within the time limits of its call.
pub(super) struct Body {
    pool: Pool,
    address: String,
    response: ClientResponse,
    expected: Option<u64>,
    received: u64,
    /// Time limit of the first chunk; `None` once it has arrived.
    first: Option<Instant>,
    progress: Duration,
    total: Instant,
}

impl Body {
    /// Returns the body if the status indicates that the call was accepted.
    async fn accepted(self) -> Result<Self, Failure> {
        let status = self.response.status();
        if status.is_success() {
            return Ok(self);
        }
        match status {
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                let refused = Failure::Refused {
                    status: status.as_u16(),
                    retry_after: retry_after(&self.response),
                };
                // Keeps the connection: an overloaded upstream should not have to accept a new one.
                self.finish();
                Err(refused)
            }
            // A gateway's error does not show whether the upstream ran the call.
            StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => {
                Err(unknown(format_args!("status {status}")))
            }
            // `awc` treats an informational response as the final one.
            _ if status.is_informational() => Err(unknown(format_args!("status {status}"))),
            _ => Err(Failure::Failed {
                status: status.as_u16(),
                message: self.message().await?,
            }),
        }
    }

    /// Returns whether the upstream declared an empty body.
    pub(super) fn declared_empty(&self) -> bool {
        self.response.status() == StatusCode::NO_CONTENT || self.expected == Some(0)
    }

    /// Returns whether the end of the body can be distinguished from a broken connection.
    pub(super) fn has_length(&self) -> bool {
        self.expected.is_some()
    }

    /// Returns the next chunk, or `None` at the end of the body.
    pub(super) async fn next_chunk(&mut self) -> Result<Option<Bytes>, Failure> {
        let limit = self.first.unwrap_or_else(|| Instant::now() + self.progress);
        let Ok(chunk) = timeout_at(limit.min(self.total), self.response.next()).await else {
            if limit <= self.total {
                self.pool.discard(&self.address);
            }
            return Err(Failure::Unknown("answer exceeded its time limit".into()));
        };
        match chunk {
            Some(Ok(bytes)) => {
                self.first = None;
                self.received += bytes.len() as u64;
                Ok(Some(bytes))
            }
            Some(Err(error)) => Err(unknown(error)),
            None if self.expected.is_some_and(|length| length != self.received) => {
                Err(Failure::Unknown("connection closed in mid-answer".into()))
            }
            None => Ok(None),
        }
    }

    /// Reads the complete body, of at most `limit` bytes.
    pub(super) async fn read_all(&mut self, limit: usize) -> Result<Bytes, Failure> {
        let mut body = BytesMut::new();
        while let Some(chunk) = self.next_chunk().await? {
            if body.len() + chunk.len() > limit {
                return Err(unknown(format_args!("answer is longer than {limit} bytes")));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    }

    /// Reads and discards the body.
    pub(super) async fn discard(mut self) -> Result<(), Failure> {
        self.read_all(MAX_BODY_BYTES).await.map(drop)
    }

    /// Returns the beginning of an error response's body.
    async fn message(mut self) -> Result<String, Failure> {
        let mut message = Vec::new();
        while message.len() < MAX_MESSAGE_BYTES {
            match self.next_chunk().await? {
                Some(chunk) => message.extend_from_slice(&chunk),
                None => break,
            }
        }
        message.truncate(MAX_MESSAGE_BYTES);
        Ok(String::from_utf8_lossy(&message).into_owned())
    }

    /// Reads the rest of the body in the background, so that the connection can be reused.
    pub(super) fn finish(mut self) {
        let mut drain = Box::pin(async move {
            let rest = timeout_at(
                Instant::now() + DRAIN_TIMEOUT,
                self.read_all(MAX_DRAIN_BYTES),
            );
            let _ = rest.await;
        });
        if drain.as_mut().now_or_never().is_none() {
            drop(actix::spawn(drain));
        }
    }
}
