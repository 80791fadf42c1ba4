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
        Meter,
        Metered,
        Pulse, //
    },
    reply::{
        Inlet,
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
    _room: Option<OwnedSemaphorePermit>,
}

/// Reason why a link ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum End {
    /// The link was idle, or the peer closed it in an orderly way.
    Idle,
    /// The connection was lost.
    Lost,
    /// Nothing was received within the inactivity timeout.
    Silent,
    /// The peer sent something that is not a frame.
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
    room: Arc<Semaphore>,
    units: u32,
    frame_bytes: usize,
    pending: Mutex<Map<u64, Pending>>,
    inlets: Mutex<Map<u64, Arc<Inlet>>>,
    closed: AtomicBool,
    /// Whether no more requests are sent, as one side found the link idle.
    retired: AtomicBool,
    /// Whether the peer retired the link and waits for this side to close it.
    dismissed: AtomicBool,
    /// Whether nothing was received for half of the inactivity timeout.
    doubted: AtomicBool,
    used: Mutex<Instant>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|error| error.into_inner())
}

/// The receiving half of a connection.
pub(super) struct Runner {
    pub(super) link: Arc<Link>,
    outgoing: mpsc::UnboundedReceiver<Outgoing>,
    socket: Socket,
    pulse: Pulse,
    meter: Arc<Meter>,
    ping: Duration,
    silence: Duration,
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
        let units = (settings.queue_bytes / QUEUE_UNIT_BYTES).max(1);
        let link = Self {
            peer,
            queue,
            room: Arc::new(Semaphore::new(units)),
            units: units as u32,
            frame_bytes: settings.frame_bytes,
            pending: Mutex::default(),
            inlets: Mutex::default(),
            closed: AtomicBool::new(false),
            retired: AtomicBool::new(false),
            dismissed: AtomicBool::new(false),
            doubted: AtomicBool::new(false),
            used: Mutex::new(Instant::now()),
        };
        Runner {
            link: Arc::new(link),
            outgoing,
            pulse: socket.get_ref().pulse(),
            socket,
            meter,
            ping: settings.ping,
            silence: settings.silence,
            idle: settings.idle,
        }
    }

    pub(super) fn is_closed(&self) -> bool {
        self.closed.load(Relaxed)
    }

    /// Returns whether the peer is expected to reply on this link.
    pub(super) fn is_healthy(&self) -> bool {
        self.is_open() && !self.doubted.load(Relaxed)
    }

    /// Returns whether requests may be sent on this link.
    pub(super) fn is_open(&self) -> bool {
        !self.is_closed() && !self.retired.load(Relaxed)
    }

    /// Stops sending requests, and requests that the peer closes the link once it is unused.
    ///
    /// A request in flight while the link closes would have an unknown outcome.
    fn retire(&self) {
        self.retired.store(true, Relaxed);
        let _ = self.push_now(&Frame {
            id: 0,
            reply: false,
            last: false,
            body: Body::Retire,
        });
    }

    fn units(&self, bytes: &[u8]) -> u32 {
        (bytes.len().div_ceil(QUEUE_UNIT_BYTES) as u32).clamp(1, self.units)
    }

    fn enqueue(
        &self,
        id: Option<u64>,
        bytes: Vec<u8>,
        room: Option<OwnedSemaphorePermit>,
    ) -> Result<(), Unreachable> {
        let frame = Outgoing {
            id,
            bytes: bytes.into(),
            _room: room,
        };
        self.queue.send(frame).map_err(|_| Unreachable::Down)
    }

    /// Sends a frame; waits for space in the send queue.
    pub(super) async fn push(&self, frame: &Frame) -> Result<(), Unreachable> {
        let bytes = frame.encode();
        if bytes.len() > self.frame_bytes {
            return Err(Unreachable::Large);
        }
        let units = self.units(&bytes);
        let room = self.room.clone().acquire_many_owned(units).await;
        let room = room.map_err(|_| Unreachable::Down)?;
        self.enqueue(None, bytes, Some(room))
    }

    /// Sends a frame regardless of the space in the send queue. It is for kinds of frames of which
    /// each open request sends a bounded number.
    pub(super) fn push_now(&self, frame: &Frame) -> Result<(), Unreachable> {
        let bytes = frame.encode();
        if bytes.len() > self.frame_bytes {
            return Err(Unreachable::Large);
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
        let Ok(room) = self.room.clone().try_acquire_many_owned(self.units(&bytes)) else {
            let reason = if self.is_closed() {
                Unreachable::Down
            } else {
                Unreachable::Full
            };
            return Err((reason, pending));
        };
        *lock(&self.used) = Instant::now();
        let Some(pending) = pending else {
            return self.enqueue(None, bytes, Some(room)).map_err(|e| (e, None));
        };
        let _ = pending.link.set(self.clone());
        lock(&self.pending).insert(id, pending);
        let queued = self.enqueue(Some(id), bytes, Some(room));
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
    pub(super) fn forget(&self, id: u64) {
        lock(&self.inlets).remove(&id);
    }

    fn busy(&self) -> bool {
        !lock(&self.pending).is_empty() || !lock(&self.inlets).is_empty()
    }

    /// Marks a request as written; returns whether it is still pending.
    fn mark(&self, id: Option<u64>) -> bool {
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
    fn close(&self) {
        self.closed.store(true, Relaxed);
        self.room.close();
        for (_, inlet) in lock(&self.inlets).drain() {
            inlet.close();
        }
        let pending: Vec<_> = lock(&self.pending).drain().collect();
        for (_, pending) in pending {
            let error = if pending.written {
                Error::Lost
            } else {
                Error::Unsent(Unreachable::Down)
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
        let overrun = waiting.replies.try_send(reply).is_err();
        if frame.last || overrun {
            pending.remove(&frame.id);
        }
    }

    /// Opens a request of the peer; `None` if too many are open.
    fn admit(&self, id: u64) -> Option<Arc<Inlet>> {
        let inlet = Arc::new(Inlet::new());
        if id == 0 {
            return Some(inlet);
        }
        let mut inlets = lock(&self.inlets);
        if inlets.len() >= MAX_OPEN_REQUESTS {
            return None;
        }
        inlets.insert(id, inlet.clone());
        Some(inlet)
    }

    fn inlet(&self, id: u64) -> Option<Arc<Inlet>> {
        lock(&self.inlets).get(&id).cloned()
    }

    /// Processes a frame from the peer.
    fn take<H: Handler>(self: &Arc<Self>, frame: Frame, meter: &Meter, handler: &H) {
        if frame.reply {
            return self.deliver(frame);
        }
        match frame.body {
            Body::Cancel => {
                if let Some(inlet) = lock(&self.inlets).remove(&frame.id) {
                    inlet.close();
                }
            }
            Body::Credit(credit) => {
                if let Some(inlet) = self.inlet(frame.id) {
                    inlet.add(credit);
                }
            }
            Body::Retire => {
                self.retired.store(true, Relaxed);
                self.dismissed.store(true, Relaxed);
            }
            Body::Unknown => {
                meter.unsupported.one();
                self.refuse(frame.id);
            }
            body => {
                *lock(&self.used) = Instant::now();
                let Some(inlet) = self.admit(frame.id) else {
                    return self.refuse(frame.id);
                };
                let responder = Responder::new(frame.id, self.clone(), inlet);
                handler.handle(self.peer.clone(), body, responder);
            }
        }
    }

    /// Replies that the request was ignored.
    fn refuse(&self, id: u64) {
        if id != 0 {
            let frame = Frame {
                id,
                reply: true,
                last: true,
                body: Body::Unsupported,
            };
            let _ = self.push_now(&frame);
        }
    }
}

impl Runner {
    /// Runs the connection until it ends.
    ///
    /// `doubt` is called when nothing was received for half of the inactivity timeout.
    pub(super) async fn run<H, F>(self, handler: &H, doubt: F, stop: &Semaphore) -> End
    where
        H: Handler,
        F: Fn(),
    {
        let Self {
            link,
            mut outgoing,
            socket,
            pulse,
            meter,
            ping,
            silence,
            idle,
        } = self;
        let (mut sink, stream) = socket.split();
        let end = tokio::select! {
            end = read(&link, stream, &meter, handler) => end,
            end = write(&link, &mut sink, &mut outgoing, &meter, ping) => end,
            () = watch(&link, &pulse, silence, doubt) => End::Silent,
            () = rest(&link, idle) => End::Idle,
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
    use tokio_tungstenite::tungstenite::Error as Failure;
    loop {
        match stream.next().await {
            Some(Ok(Message::Binary(bytes))) => {
                meter.frames_in.one();
                match Frame::decode(&bytes) {
                    Ok(frame) => link.take(frame, meter, handler),
                    Err(_) => return End::Malformed,
                }
            }
            Some(Ok(Message::Ping(_) | Message::Pong(_))) => {}
            Some(Ok(Message::Text(_) | Message::Frame(_))) => return End::Malformed,
            Some(Ok(Message::Close(frame))) => {
                let away = frame.is_some_and(|frame| frame.code == CloseCode::Away);
                return if away { End::Away } else { End::Idle };
            }
            Some(Err(Failure::Capacity(_) | Failure::Utf8(_))) => return End::Malformed,
            Some(Err(Failure::Protocol(error))) => {
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
            if link.mark(frame.id) {
                meter.frames_out.one();
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

/// Returns when nothing was received for `silence`.
///
/// Time during which this process was paused does not count, as the frames that the peer sent in
/// that time have yet to be read.
async fn watch<F: Fn()>(link: &Link, pulse: &Pulse, silence: Duration, doubt: F) {
    let step = silence / 12;
    let mut quiet = Duration::ZERO;
    let mut last = pulse.last();
    while quiet < silence {
        sleep(step).await;
        quiet += step;
        let latest = pulse.last();
        if latest != last {
            last = latest;
            quiet = Duration::ZERO;
        }
        let doubted = quiet >= silence / 2;
        let before = link.doubted.swap(doubted, Relaxed);
        if doubted && !before {
            doubt();
        }
    }
}

/// Returns when the link is no longer needed.
///
/// A link that is unused for `idle` is retired, and the peer closes it. If the peer does not, it is
/// closed after another `idle`.
async fn rest(link: &Link, idle: Duration) {
    let grace = (idle / 8).min(RETIRE_GRACE);
    let mut limit = idle;
    loop {
        let unused = lock(&link.used).elapsed();
        let dismissed = link.dismissed.load(Relaxed);
        if dismissed {
            limit = grace;
        }
        if unused >= limit && !link.busy() {
            if dismissed || link.retired.load(Relaxed) {
                return;
            }
            link.retire();
            limit = idle * 2;
        }
        sleep(grace).await;
    }
}
