//! One HTTP/1.1 connection to an upstream.
//!
//! The client `awc` gives no access to its connections, which is needed here to skip an answer that
//! belongs to an earlier request, to accept an answer that arrives before the body was written, and
//! to know that a request of which no byte was sent has not run.

use std::{
    io,
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    },
};

use actix_http::{
    body::BodySize,
    h1::{
        ClientCodec,
        ClientPayloadCodec,
        Message, //
    },
    header,
    Method,
    RequestHead,
    RequestHeadType,
    ResponseHead,
    ServiceConfig,
    StatusCode,
    Version, //
};
use bytes::{
    Buf as _,
    Bytes,
    BytesMut, //
};
use socket2::{
    SockRef,
    TcpKeepalive, //
};
use thiserror::Error;
use tokio::{
    io::{
        AsyncRead,
        AsyncReadExt as _,
        AsyncWriteExt as _, //
    },
    net::TcpStream,
    time::timeout,
};
use tokio_util::codec::{
    Decoder as _,
    Encoder as _, //
};

use super::{
    frames,
    identity::Identity, //
};
use crate::{
    clock::Time,
    hash,
    name::Instance, //
};

/// Longest body that is copied behind its head, so that both are written at once.
const MAX_COPIED_BYTES: usize = 64 << 10;

/// Timeout of a connection attempt: many round trips between zones, far less than a deadline.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time without a TCP acknowledgement after which a connection is closed, also if it is idle and
/// keepalive probes are not answered. Sound upstreams are silent for a second at times.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Idle time before a TCP keepalive probe; the shortest that the kernel supports.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Buffer space of one read.
const READ_BYTES: usize = 16 << 10;

/// Maximum answers to earlier requests that are skipped before the connection is given up.
const MAX_SKIPPED: usize = 2;

/// Maximum bytes of bodies of skipped answers.
const MAX_SKIPPED_BYTES: usize = 1 << 20;

/// Maximum refused requests that a connection records before it is not used again.
const MAX_REFUSED: usize = 64;

/// Maximum bytes received that are no content: heads, interim answers, sizes of chunks and trailers.
const MAX_OVERHEAD_BYTES: usize = 256 << 10;

/// Bytes without content that each byte of content makes up for: the size line and the end of a
/// chunk of one byte.
const OVERHEAD_PER_BYTE: usize = 8;

/// Reason why an exchange failed.
#[derive(Debug)]
#[derive(Error)]
pub enum Fault {
    /// The connection could not be established; nothing was sent.
    #[error("connection failed: {0}")]
    Connect(io::Error),
    /// The connection broke before the first byte of the request was sent.
    #[error("connection broke before the request was sent: {0}")]
    Unsent(io::Error),
    /// The connection broke after at least a part of the request was sent.
    #[error("connection broke: {0}")]
    Broken(io::Error),
    /// The connection was closed before the answer was complete.
    #[error("answer was cut off")]
    Truncated,
    /// The bytes received are not an answer to the request.
    #[error("answer is invalid: {0}")]
    Invalid(String),
}

enum Codec {
    Head(ClientCodec),
    /// The body ends after as many further bytes.
    Sized(u64),
    Chunked(ClientPayloadCodec),
    /// The body ends with the connection.
    UntilClose,
    /// No further answer can follow on the connection.
    Exhausted,
}

/// A connection.
pub struct Connection {
    stream: TcpStream,
    /// Instance through which the connection leads; `None` if it is direct.
    helper: Option<Instance>,
    /// Takes the upstream's bytes out of the helper's frames; `None` if the connection is direct.
    frames: Option<frames::Decoder>,
    codec: Codec,
    buffer: BytesMut,
    /// Bytes received, less what their content makes up for; at most [`MAX_OVERHEAD_BYTES`].
    overhead: usize,
    /// Whether the request asks for an answer without a body.
    bodiless: bool,
    /// Whether the body of the answer ends with the connection.
    until_close: bool,
    /// Whether an answer with success began before the request was written. The end of its connection
    /// may be that of an upstream that gave up.
    early: bool,
    /// Whether the upstream keeps the connection open after this answer.
    keep_alive: bool,
    /// Idle time after which the upstream closes the connection; `None` if it stated none.
    keep_alive_timeout: Option<Duration>,
    /// When the latest answer was complete.
    idle_since: Instant,
    /// Hashes of the identifiers of requests that the upstream refused on this connection. It may
    /// write the refusals once more, which would answer another send of these requests.
    refused: Vec<u64>,
    /// When the connection was opened, on the monotonic clock. A helper opened its part before; what
    /// answers later lived at this time all the same.
    opened: Time,
    /// What the process at the other end stated of itself; it stays the same process.
    identity: Option<Identity>,
}

/// Returns a decoder of the next answer.
fn codec() -> ClientCodec {
    thread_local! {
        // Each of them runs a task with a timer, which is freed some time after its last codec.
        static CONFIG: ServiceConfig = ServiceConfig::default();
    }
    CONFIG.with(|config| ClientCodec::new(config.clone()))
}

fn invalid(error: impl ToString) -> Fault {
    Fault::Invalid(error.to_string())
}

/// Returns the keep-alive timeout that an answer states.
fn keep_alive_timeout(head: &ResponseHead) -> Option<Duration> {
    let text = head.headers().get("keep-alive")?.to_str().ok()?;
    let seconds = text
        .split(',')
        .find_map(|item| item.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

fn closes(head: &ResponseHead) -> bool {
    let value = head.headers().get(header::CONNECTION);
    value
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value.to_ascii_lowercase().contains("close"))
}

/// Reserves space for a read unless enough is left.
fn make_room(buffer: &mut BytesMut) {
    if buffer.capacity() - buffer.len() < READ_BYTES / 4 {
        buffer.reserve(READ_BYTES);
    }
}

/// How the end of a body is marked.
enum Framing {
    /// There is no body.
    Empty,
    /// By its length.
    Sized(u64),
    /// By the last chunk.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// Returns the framing of an answer's body (RFC 9112, section 6.3); `bodiless` states that the request
/// asks for no body.
///
/// A head that states two lengths, or a transfer coding other than chunks, doesn't show where the body
/// ends, so that a part of it could count as the whole.
fn framing(head: &ResponseHead, bodiless: bool) -> Result<Framing, Fault> {
    let headers = head.headers();
    let coding = headers.get(header::TRANSFER_ENCODING);
    let length = headers.get(header::CONTENT_LENGTH);
    let empty = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED];
    match (coding, length) {
        _ if bodiless || empty.contains(&head.status) => Ok(Framing::Empty),
        (Some(_), Some(_)) => Err(invalid("it has both a length and chunks")),
        (Some(_), None) if head.version < Version::HTTP_11 => {
            Err(invalid("it has chunks in a version without them"))
        }
        (Some(coding), None) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
            Ok(Framing::Chunked)
        }
        (Some(_), None) => Err(invalid("its transfer coding is not known")),
        (None, Some(length)) => {
            let length = length.to_str().ok().and_then(|length| length.parse().ok());
            match length.ok_or_else(|| invalid("its length is not a number"))? {
                0 => Ok(Framing::Empty),
                length => Ok(Framing::Sized(length)),
            }
        }
        (None, None) => Ok(Framing::UntilClose),
    }
}

/// Reads bytes of the upstream; returns their number, or 0 once the upstream ended its connection.
///
/// The end of a connection to a helper is not that of the upstream's. No bytes are lost if the future
/// is dropped.
async fn receive(
    reader: &mut (impl AsyncRead + Unpin),
    frames: &mut Option<frames::Decoder>,
    buffer: &mut BytesMut,
) -> io::Result<usize> {
    let Some(frames) = frames else {
        return reader.read_buf(buffer).await;
    };
    let before = buffer.len();
    loop {
        frames.decode(buffer);
        if buffer.len() > before || frames.ended() {
            return Ok(buffer.len() - before);
        }
        make_room(&mut frames.buffer);
        if reader.read_buf(&mut frames.buffer).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

/// Opens a TCP connection that notices within a short time if its path is lost.
pub async fn dial(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| io::ErrorKind::TimedOut)??;
    let socket = SockRef::from(&stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(1);
    socket
        .set_tcp_nodelay(true)
        .and_then(|()| socket.set_tcp_keepalive(&keepalive))
        .and_then(|()| socket.set_tcp_user_timeout(Some(USER_TIMEOUT)))?;
    Ok(stream)
}

impl Connection {
    /// Connects to an upstream.
    pub async fn open(address: SocketAddr) -> Result<Self, Fault> {
        let stream = dial(address).await.map_err(Fault::Connect)?;
        Ok(Self::new(stream, None))
    }

    /// Returns a connection on which nothing was sent; `helper` is the instance through which it leads.
    pub fn new(stream: TcpStream, helper: Option<Instance>) -> Self {
        Self {
            stream,
            frames: helper.as_ref().map(|_| frames::Decoder::default()),
            helper,
            codec: Codec::Head(codec()),
            buffer: BytesMut::new(),
            overhead: 0,
            bodiless: false,
            until_close: false,
            early: false,
            keep_alive: true,
            keep_alive_timeout: None,
            idle_since: Instant::now(),
            refused: Vec::new(),
            opened: Time::monotonic(),
            identity: None,
        }
    }

    /// Returns when the connection was opened, on the monotonic clock.
    pub fn opened(&self) -> Time {
        self.opened
    }

    /// Returns what the process at the other end stated of itself, if it was asked.
    pub fn identity(&self) -> Option<Identity> {
        self.identity
    }

    /// Forgets what the process at the other end stated of itself, so that it is asked again.
    pub fn forget_identity(&mut self) {
        self.identity = None;
    }

    /// Records what the process at the other end stated of itself.
    pub fn identify(&mut self, identity: Identity) {
        self.identity = Some(identity);
    }

    /// Records that the upstream refused a request.
    pub fn record_refusal(&mut self, request: &str) {
        self.refused.push(hash::stable(request.as_bytes()));
    }

    /// Returns whether the upstream refused a request here, so that another send of it needs another
    /// connection.
    pub fn has_refused(&self, request: &str) -> bool {
        !self.refused.is_empty() && self.refused.contains(&hash::stable(request.as_bytes()))
    }

    /// Returns the instance through which the connection leads, unless it is direct.
    pub fn helper(&self) -> Option<&Instance> {
        self.helper.as_ref()
    }

    /// Sends a request and waits for the head of an answer that `accepts` matches.
    ///
    /// The body is written while the answer is awaited, because an upstream may answer before it
    /// has read the body; such a connection is not reused.
    pub async fn send(
        &mut self,
        head: RequestHead,
        body: &Bytes,
        accepts: impl Fn(&ResponseHead) -> bool,
    ) -> Result<ResponseHead, Fault> {
        let Codec::Head(codec) = &mut self.codec else {
            return Err(invalid("the connection is in use"));
        };
        let length = match body.len() {
            0 => BodySize::None,
            length => BodySize::Sized(length as u64),
        };
        self.bodiless = head.method == Method::HEAD;
        // A long body is not copied, as it is held for as long as its answer is awaited.
        let copied = match body.len() {
            length @ ..=MAX_COPIED_BYTES => length,
            _ => 0,
        };
        let mut first = BytesMut::with_capacity(1_024 + copied);
        let head = Message::Item((RequestHeadType::Owned(head), length));
        codec.encode(head, &mut first).map_err(Fault::Unsent)?;
        first.extend_from_slice(&body[..copied]);
        let mut out = first.freeze().chain(body.slice(copied..));
        let total = out.remaining();
        self.keep_alive = false;
        self.overhead = 0;
        let (mut skipped, mut skipped_bytes) = (0, 0);
        loop {
            let Codec::Head(codec) = &mut self.codec else {
                return Err(invalid("the connection is in use"));
            };
            if let Some(head) = codec.decode(&mut self.buffer).map_err(invalid)? {
                let interim = head.status.is_informational();
                if head.status == StatusCode::SWITCHING_PROTOCOLS {
                    break Err(invalid("it switches the protocol"));
                }
                if interim {
                    // The library expects the body of an interim answer that states a length.
                    self.codec = Codec::Head(self::codec());
                }
                if !interim && accepts(&head) {
                    self.keep_alive = !out.has_remaining();
                    self.early = out.has_remaining() && head.status.is_success();
                    break self.start_body(&head).map(|()| head);
                }
                if !interim {
                    skipped += 1;
                    self.start_body(&head)?;
                    while let Some(chunk) = self.chunk().await? {
                        skipped_bytes += chunk.len();
                        if skipped_bytes > MAX_SKIPPED_BYTES {
                            return Err(invalid("an answer to another request is too long"));
                        }
                    }
                }
                if skipped > MAX_SKIPPED || !matches!(self.codec, Codec::Head(_)) {
                    break Err(invalid("the answers received belong to other requests"));
                }
                continue;
            }
            make_room(&mut self.buffer);
            let (mut reader, mut writer) = self.stream.split();
            tokio::select! {
                written = writer.write_buf(&mut out), if out.has_remaining() => match written {
                    Err(error) if out.remaining() == total => break Err(Fault::Unsent(error)),
                    Err(error) => break Err(Fault::Broken(error)),
                    Ok(_) => {}
                },
                read = receive(&mut reader, &mut self.frames, &mut self.buffer) => match read {
                    Ok(0) if out.remaining() == total => {
                        break Err(Fault::Unsent(io::ErrorKind::ConnectionAborted.into()));
                    }
                    Ok(0) => break Err(Fault::Truncated),
                    Ok(length) => self.count(length)?,
                    Err(error) if out.remaining() == total => break Err(Fault::Unsent(error)),
                    Err(error) => break Err(Fault::Broken(error)),
                },
            }
        }
    }

    /// Determines the framing of the body from the head of an answer.
    fn start_body(&mut self, head: &ResponseHead) -> Result<(), Fault> {
        if let Some(keep_alive_timeout) = keep_alive_timeout(head) {
            self.keep_alive_timeout = Some(keep_alive_timeout);
        }
        let Codec::Head(codec) = std::mem::replace(&mut self.codec, Codec::Exhausted) else {
            return Err(invalid("the connection is in use"));
        };
        let framing = framing(head, self.bodiless)?;
        self.until_close = matches!(framing, Framing::UntilClose);
        self.keep_alive &= !self.until_close && !closes(head) && head.version >= Version::HTTP_11;
        self.codec = match framing {
            // The library expects a body in some of these answers.
            Framing::Empty => Codec::Head(self::codec()),
            Framing::Sized(length) => Codec::Sized(length),
            Framing::Chunked => Codec::Chunked(codec.into_payload_codec()),
            Framing::UntilClose => Codec::UntilClose,
        };
        self.idle_since = Instant::now();
        Ok(())
    }

    /// Returns the next chunk of the body, or `None` at its end.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, Fault> {
        loop {
            match &mut self.codec {
                Codec::Sized(0) => {
                    self.finish();
                    return Ok(None);
                }
                Codec::Sized(left) if !self.buffer.is_empty() => {
                    self.overhead = 0;
                    let length = (self.buffer.len() as u64).min(*left);
                    *left -= length;
                    return Ok(Some(self.buffer.split_to(length as usize).freeze()));
                }
                Codec::Sized(_) => {}
                Codec::Chunked(codec) => match codec.decode(&mut self.buffer).map_err(invalid)? {
                    Some(Some(chunk)) if chunk.is_empty() => continue,
                    Some(Some(chunk)) => {
                        let content = chunk.len().saturating_mul(OVERHEAD_PER_BYTE);
                        self.overhead = self.overhead.saturating_sub(content);
                        return Ok(Some(chunk));
                    }
                    Some(None) => {
                        self.finish();
                        return Ok(None);
                    }
                    None => {}
                },
                Codec::UntilClose if !self.buffer.is_empty() => {
                    self.overhead = 0;
                    return Ok(Some(self.buffer.split().freeze()));
                }
                Codec::UntilClose => {}
                Codec::Head(_) | Codec::Exhausted => return Ok(None),
            }
            make_room(&mut self.buffer);
            match receive(&mut self.stream, &mut self.frames, &mut self.buffer).await {
                Ok(0) if self.until_close && !self.early => {
                    self.codec = Codec::Exhausted;
                    return Ok(None);
                }
                Ok(0) => return Err(Fault::Truncated),
                Ok(length) => self.count(length)?,
                Err(error) => return Err(Fault::Broken(error)),
            }
        }
    }

    /// Counts bytes received; fails if they are too many for the content so far.
    fn count(&mut self, length: usize) -> Result<(), Fault> {
        self.overhead += length;
        match self.overhead > MAX_OVERHEAD_BYTES {
            true => Err(invalid("too many bytes without content")),
            false => Ok(()),
        }
    }

    fn finish(&mut self) {
        self.idle_since = Instant::now();
        self.codec = Codec::Head(codec());
    }

    /// Returns whether another request may follow the latest answer.
    ///
    /// Bytes received after an answer belong to no request; such a connection is not reused.
    pub fn reusable(&self) -> bool {
        let extra =
            !self.buffer.is_empty() || self.frames.as_ref().is_some_and(frames::Decoder::pending);
        let refused = self.refused.len() >= MAX_REFUSED;
        self.keep_alive && !refused && !extra && matches!(self.codec, Codec::Head(_))
    }

    /// Returns whether the body of the latest answer ended with the connection, and not by its framing.
    pub fn ended_with_body(&self) -> bool {
        self.until_close
    }

    /// Returns how long the connection has been idle.
    pub fn idle(&self) -> Duration {
        self.idle_since.elapsed()
    }

    /// Returns the keep-alive timeout of the upstream, if it stated one.
    pub fn keep_alive_timeout(&self) -> Option<Duration> {
        self.keep_alive_timeout
    }

    /// Returns whether the upstream has neither closed the idle connection nor sent anything.
    pub fn healthy(&self) -> bool {
        let mut byte = [0];
        match self.stream.try_read(&mut byte) {
            Err(error) => error.kind() == io::ErrorKind::WouldBlock,
            Ok(_) => false,
        }
    }
}
