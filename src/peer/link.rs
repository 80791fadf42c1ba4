//! A connection to another instance.

use std::{
    sync::{
        atomic::{
            AtomicBool,
            Ordering::Relaxed, //
        },
        Arc, Mutex, MutexGuard, OnceLock,
    },
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
use futures_util::{
    stream::{
        SplitSink,
        SplitStream, //
    },
    SinkExt, StreamExt,
};
use tokio::{
    sync::{
        mpsc,
        OwnedSemaphorePermit,
        Semaphore, //
    },
    time::{
        sleep,
        timeout,
        timeout_at, //
    },
};
use tokio_tungstenite::{
    tungstenite::{
        protocol::{
            frame::coding::CloseCode,
            CloseFrame, //
        },
        Message,
    },
    WebSocketStream,
};

use super::{
    meter::{
        Activity,
        Meter,
        Metered, //
    },
    reply::{
        Inbound,
        Reply,
        Responder, //
    },
    settings::Settings,
    wire::{
        Body,
        Frame, //
    },
    Error, Handler, Unreachable,
};
use crate::{
    hash::Map,
    name::Instance, //
};

/// Maximum number of open requests of one peer.
const MAX_OPEN_REQUESTS: usize = 8_192;

/// Time for which a retired link stays open, so that frames in flight arrive.
const RETIRE_GRACE: Duration = Duration::from_millis(200);

/// Unit in which the bytes of a send queue are counted.
const QUEUE_UNIT_BYTES: usize = 1_024;

pub(super) type Socket = WebSocketStream<Metered>;

/// A request that waits for replies.
#[derive(Debug)]
pub(super) struct Pending {
    pub(super) replies: mpsc::Sender<Reply>,
    pub(super) link: Arc<OnceLock<Arc<Link>>>,
    /// Whether the frame may have been written to the connection.
    pub(super) written: bool,
}

impl Pending {
    /// Ends the request without a reply.
    pub(super) fn fail(self, error: Error) {
        // If the channel is full, the requester infers from its end that the link was lost.
        let _ = self.replies.try_send(Reply {
            body: Err(error),
            last: true,
        });
    }
}

/// An encoded frame and its share of the send queue.
#[derive(Debug)]
struct Outgoing {
    id: Option<u64>,
    bytes: Bytes,
    _permit: Option<OwnedSemaphorePermit>,
}

/// Reason why a link ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum End {
    /// The link was idle, or the peer closed it in an orderly way.
    Idle,
    /// The connection was lost.
    Lost,
    /// Nothing was received within the inactivity timeout.
    Unresponsive,
    /// The peer sent an invalid frame.
    Malformed,
    /// The peer is stopping.
    Away,
    /// This instance is stopping.
    Stopped,
}

/// The sending half of a connection and its open requests.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) peer: Instance,
    queue: mpsc::UnboundedSender<Outgoing>,
    /// Bounds the bytes in the send queue, in units of [`QUEUE_UNIT_BYTES`].
    queue_space: Arc<Semaphore>,
    capacity_units: u32,
    frame_bytes: usize,
    pending: Mutex<Map<u64, Pending>>,
    inbound_requests: Mutex<Map<u64, Arc<Inbound>>>,
    closed: AtomicBool,
    /// Whether no more requests are sent, as one side found the link idle.
    retired: AtomicBool,
    /// Whether the peer retired the link and waits for this side to close it.
    peer_retired: AtomicBool,
    /// Whether nothing was received for half of the inactivity timeout, which is longer than the
    /// interval of a healthy peer's keep-alives.
    suspect: AtomicBool,
    last_used: Mutex<Instant>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|error| error.into_inner())
}

/// The receiving half of a connection.
pub(super) struct Runner {
    pub(super) link: Arc<Link>,
    outgoing: mpsc::UnboundedReceiver<Outgoing>,
    socket: Socket,
    activity: Activity,
    meter: Arc<Meter>,
    ping: Duration,
    inactivity_timeout: Duration,
    idle: Duration,
}

impl Link {
    /// Creates a link and its runner.
    pub(super) fn open(
        peer: Instance,
        socket: Socket,
        settings: &Settings,
        meter: Arc<Meter>,
    ) -> Runner {
        let (queue, outgoing) = mpsc::unbounded_channel();
        let capacity_units = (settings.queue_bytes / QUEUE_UNIT_BYTES).max(1);
        let link = Self {
            peer,
            queue,
            queue_space: Arc::new(Semaphore::new(capacity_units)),
            capacity_units: capacity_units as u32,
            frame_bytes: settings.frame_bytes,
            pending: Mutex::default(),
            inbound_requests: Mutex::default(),
            closed: AtomicBool::new(false),
            retired: AtomicBool::new(false),
            peer_retired: AtomicBool::new(false),
            suspect: AtomicBool::new(false),
            last_used: Mutex::new(Instant::now()),
        };
        Runner {
            link: Arc::new(link),
            outgoing,
            activity: socket.get_ref().activity(),
            socket,
            meter,
            ping: settings.ping,
            inactivity_timeout: settings.silence,
            idle: settings.idle,
        }
    }

    pub(super) fn is_closed(&self) -> bool {
        self.closed.load(Relaxed)
    }

    /// Returns whether the peer is expected to reply on this link.
    pub(super) fn is_healthy(&self) -> bool {
        self.is_open() && !self.suspect.load(Relaxed)
    }

    /// Returns whether requests may be sent on this link.
    pub(super) fn is_open(&self) -> bool {
        !self.is_closed() && !self.retired.load(Relaxed)
    }

    /// Stops sending requests, and has the peer close the link once it is unused.
    ///
    /// A request in flight while the link closes would have an unknown outcome.
    fn retire(&self) {
        self.retired.store(true, Relaxed);
        let _ = self.push_unbounded(&Frame {
            id: 0,
            reply: false,
            last: false,
            body: Body::Retire,
        });
    }

    fn queue_units(&self, bytes: &[u8]) -> u32 {
        (bytes.len().div_ceil(QUEUE_UNIT_BYTES) as u32).clamp(1, self.capacity_units)
    }

    fn enqueue(
        &self,
        id: Option<u64>,
        bytes: Vec<u8>,
        permit: Option<OwnedSemaphorePermit>,
    ) -> Result<(), Unreachable> {
        let frame = Outgoing {
            id,
            bytes: bytes.into(),
            _permit: permit,
        };
        self.queue.send(frame).map_err(|_| Unreachable::Down)
    }

    /// Sends a frame; waits for space in the send queue.
    pub(super) async fn push(&self, frame: &Frame) -> Result<(), Unreachable> {
        let bytes = frame.encode();
        if bytes.len() > self.frame_bytes {
            return Err(Unreachable::TooLarge);
        }
        let units = self.queue_units(&bytes);
        let permit = self.queue_space.clone().acquire_many_owned(units).await;
        let permit = permit.map_err(|_| Unreachable::Down)?;
        self.enqueue(None, bytes, Some(permit))
    }

    /// Sends a frame regardless of the space in the send queue. It is for kinds of frames of which
    /// each open request sends a bounded number.
    pub(super) fn push_unbounded(&self, frame: &Frame) -> Result<(), Unreachable> {
        let bytes = frame.encode();
        if bytes.len() > self.frame_bytes {
            return Err(Unreachable::TooLarge);
        }
        self.enqueue(None, bytes, None)
    }

    /// Sends an encoded frame if the send queue has space; `pending` receives the replies.
    ///
    /// On failure the request is returned, so that another link can be tried.
    pub(super) fn post(
        self: &Arc<Self>,
        id: u64,
        bytes: Vec<u8>,
        pending: Option<Pending>,
    ) -> Result<(), (Unreachable, Option<Pending>)> {
        let Ok(permit) = self
            .queue_space
            .clone()
            .try_acquire_many_owned(self.queue_units(&bytes))
        else {
            let reason = if self.is_closed() {
                Unreachable::Down
            } else {
                Unreachable::QueueFull
            };
            return Err((reason, pending));
        };
        *lock(&self.last_used) = Instant::now();
        let Some(pending) = pending else {
            return self
                .enqueue(None, bytes, Some(permit))
                .map_err(|e| (e, None));
        };
        let _ = pending.link.set(self.clone());
        lock(&self.pending).insert(id, pending);
        let queued = self.enqueue(Some(id), bytes, Some(permit));
        // A concurrent close may have run before the entry was inserted.
        if queued.is_err() || self.is_closed() {
            if let Some(pending) = lock(&self.pending).remove(&id) {
                return Err((Unreachable::Down, Some(pending)));
            }
        }
        Ok(())
    }

    /// Discards the replies to a request that the requester abandoned.
    pub(super) fn abandon(&self, id: u64) {
        lock(&self.pending).remove(&id);
    }

    /// Removes a request of the peer.
    pub(super) fn remove_inbound(&self, id: u64) {
        lock(&self.inbound_requests).remove(&id);
    }

    fn has_open_requests(&self) -> bool {
        !lock(&self.pending).is_empty() || !lock(&self.inbound_requests).is_empty()
    }

    /// Marks a request as written; returns whether it is still pending.
    fn mark_written(&self, id: Option<u64>) -> bool {
        let Some(id) = id else {
            return true;
        };
        match lock(&self.pending).get_mut(&id) {
            Some(pending) => {
                pending.written = true;
                true
            }
            None => false,
        }
    }

    /// Ends all requests in both directions.
    pub(super) fn close(&self) {
        self.closed.store(true, Relaxed);
        self.queue_space.close();
        for (_, inbound) in lock(&self.inbound_requests).drain() {
            inbound.close();
        }
        let pending: Vec<_> = lock(&self.pending).drain().collect();
        for (_, pending) in pending {
            let error = if pending.written {
                Error::Lost
            } else {
                Error::NotSent(Unreachable::Down)
            };
            pending.fail(error);
        }
    }

    /// Passes a reply to its requester.
    fn deliver(&self, frame: Frame) {
        let mut pending = lock(&self.pending);
        let Some(waiting) = pending.get(&frame.id) else {
            return;
        };
        let reply = Reply {
            body: Ok(Box::new(frame.body)),
            last: frame.last,
        };
        // If the peer exceeds the window, only the request fails, not the link.
        let overflow = waiting.replies.try_send(reply).is_err();
        if frame.last || overflow {
            pending.remove(&frame.id);
        }
    }

    /// Opens a request of the peer; `None` if too many are open.
    fn open_inbound(&self, id: u64) -> Option<Arc<Inbound>> {
        let inbound = Arc::new(Inbound::new());
        if id == 0 {
            return Some(inbound);
        }
        let mut requests = lock(&self.inbound_requests);
        if requests.len() >= MAX_OPEN_REQUESTS {
            return None;
        }
        requests.insert(id, inbound.clone());
        Some(inbound)
    }

    fn find_inbound(&self, id: u64) -> Option<Arc<Inbound>> {
        lock(&self.inbound_requests).get(&id).cloned()
    }

    /// Processes a frame from the peer.
    fn receive<H: Handler>(self: &Arc<Self>, frame: Frame, meter: &Meter, handler: &H) {
        if frame.reply {
            return self.deliver(frame);
        }
        match frame.body {
            Body::Cancel => {
                if let Some(inbound) = lock(&self.inbound_requests).remove(&frame.id) {
                    inbound.close();
                }
            }
            Body::Credit(credit) => {
                if let Some(inbound) = self.find_inbound(frame.id) {
                    inbound.add_credit(credit);
                }
            }
            Body::Retire => {
                self.retired.store(true, Relaxed);
                self.peer_retired.store(true, Relaxed);
            }
            Body::Unknown => {
                meter.unsupported.increment();
                self.reply_unsupported(frame.id);
            }
            body => {
                *lock(&self.last_used) = Instant::now();
                let Some(inbound) = self.open_inbound(frame.id) else {
                    return self.reply_unsupported(frame.id);
                };
                let responder = Responder::new(frame.id, self.clone(), inbound);
                handler.handle(self.peer.clone(), body, responder);
            }
        }
    }

    /// Replies that the request was ignored.
    fn reply_unsupported(&self, id: u64) {
        if id != 0 {
            let frame = Frame {
                id,
                reply: true,
                last: true,
                body: Body::Unsupported,
            };
            let _ = self.push_unbounded(&frame);
        }
    }
}

impl Runner {
    /// Runs the connection until it ends.
    ///
    /// `on_suspect` is called when nothing was received for half of the inactivity timeout.
    pub(super) async fn run<H, F>(self, handler: &H, on_suspect: F, stop: &Semaphore) -> End
    where
        H: Handler,
        F: Fn(),
    {
        let Self {
            link,
            mut outgoing,
            socket,
            activity,
            meter,
            ping,
            inactivity_timeout,
            idle,
        } = self;
        let (mut sink, stream) = socket.split();
        let end = tokio::select! {
            end = read(&link, stream, &meter, handler) => end,
            end = write(&link, &mut sink, &mut outgoing, &meter, ping) => end,
            () = watch_activity(&link, &activity, inactivity_timeout, on_suspect) => {
                End::Unresponsive
            }
            () = wait_unused(&link, idle) => End::Idle,
            _ = stop.acquire() => End::Stopped,
        };
        link.close();
        let code = match end {
            End::Idle => CloseCode::Normal,
            End::Stopped => CloseCode::Away,
            _ => return end,
        };
        let frame = CloseFrame {
            code,
            reason: "".into(),
        };
        // A peer that no longer reads must not delay the end.
        let _ = timeout(ping, sink.send(Message::Close(Some(frame)))).await;
        end
    }
}

async fn read<H: Handler>(
    link: &Arc<Link>,
    mut stream: SplitStream<Socket>,
    meter: &Meter,
    handler: &H,
) -> End {
    use tokio_tungstenite::tungstenite::Error as SocketError;
    loop {
        match stream.next().await {
            Some(Ok(Message::Binary(bytes))) => {
                meter.frames_in.increment();
                match Frame::decode(&bytes) {
                    Ok(frame) => link.receive(frame, meter, handler),
                    Err(_) => return End::Malformed,
                }
            }
            Some(Ok(Message::Ping(_) | Message::Pong(_))) => {}
            Some(Ok(Message::Text(_) | Message::Frame(_))) => return End::Malformed,
            Some(Ok(Message::Close(frame))) => {
                let away = frame.is_some_and(|frame| frame.code == CloseCode::Away);
                return if away { End::Away } else { End::Idle };
            }
            Some(Err(SocketError::Capacity(_) | SocketError::Utf8(_))) => return End::Malformed,
            Some(Err(SocketError::Protocol(error))) => {
                use tokio_tungstenite::tungstenite::error::ProtocolError;
                return match error {
                    ProtocolError::ResetWithoutClosingHandshake => End::Lost,
                    _ => End::Malformed,
                };
            }
            Some(Err(_)) | None => return End::Lost,
        }
    }
}

async fn write(
    link: &Link,
    sink: &mut SplitSink<Socket, Message>,
    outgoing: &mut mpsc::UnboundedReceiver<Outgoing>,
    meter: &Meter,
    ping: Duration,
) -> End {
    loop {
        let due = tokio::time::Instant::now() + ping;
        let Ok(frame) = timeout_at(due, outgoing.recv()).await else {
            // An unsolicited pong needs no reply, so it costs half as much as a ping.
            if sink.send(Message::Pong(Bytes::new())).await.is_err() {
                return End::Lost;
            }
            continue;
        };
        let Some(mut frame) = frame else {
            return End::Stopped;
        };
        loop {
            if link.mark_written(frame.id) {
                meter.frames_out.increment();
                let message = Message::Binary(std::mem::take(&mut frame.bytes));
                if sink.feed(message).await.is_err() {
                    return End::Lost;
                }
            }
            match outgoing.try_recv() {
                Ok(next) => frame = next,
                Err(_) => break,
            }
        }
        if sink.flush().await.is_err() {
            return End::Lost;
        }
    }
}

/// Returns when nothing was received for `inactivity_timeout`.
///
/// Time during which this process was paused does not count, as the frames that the peer sent in
/// that time have yet to be read.
async fn watch_activity<F: Fn()>(
    link: &Link,
    activity: &Activity,
    inactivity_timeout: Duration,
    on_suspect: F,
) {
    let step = inactivity_timeout / 12;
    let mut inactive = Duration::ZERO;
    let mut last = activity.last();
    while inactive < inactivity_timeout {
        sleep(step).await;
        inactive += step;
        let latest = activity.last();
        if latest != last {
            last = latest;
            inactive = Duration::ZERO;
        }
        let suspect = inactive >= inactivity_timeout / 2;
        let before = link.suspect.swap(suspect, Relaxed);
        if suspect && !before {
            on_suspect();
        }
    }
}

/// Returns when the link is no longer needed.
///
/// A link that is unused for `idle` is retired, and the peer closes it. If the peer does not, it is
/// closed after another `idle`.
async fn wait_unused(link: &Link, idle: Duration) {
    let grace = (idle / 8).min(RETIRE_GRACE);
    let mut limit = idle;
    loop {
        let unused = lock(&link.last_used).elapsed();
        let peer_retired = link.peer_retired.load(Relaxed);
        if peer_retired {
            limit = grace;
        }
        if unused >= limit && !link.has_open_requests() {
            if peer_retired || link.retired.load(Relaxed) {
                return;
            }
            link.retire();
            limit = idle * 2;
        }
        sleep(grace).await;
    }
}
