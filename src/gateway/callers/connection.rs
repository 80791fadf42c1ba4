//! One connection of a caller, and what it holds.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    rc::Rc,
    task::Waker,
    time::Instant,
};

use socket2::SockRef;
use tokio::{
    net::TcpStream,
    sync::Notify, //
};

use super::{
    body::Buffer,
    budget::{
        Holding,
        Stage, //
    },
    connections::Connections,
};
use crate::gateway::{
    proof::Sends,
    route::Limits, //
};

/// Memory of an idle connection: its task, and the buffers of the HTTP library.
const CONNECTION_BYTES: usize = 24 << 10;

/// Memory of a request beside its head and body.
const REQUEST_BYTES: usize = 8 << 10;

/// Copies of a head: one as it was read, one as it is passed on.
const HEAD_COPIES: usize = 2;

/// Bytes of further requests that are read while a request waits for its answer.
const MAX_AHEAD_BYTES: usize = 4 << 10;

/// Factor by which a buffer of the HTTP library may exceed its content.
const BUFFER_GROWTH: usize = 2;

/// Bytes of a body that are read before others get their turn and before the HTTP library takes them.
const MAX_ROUND_BYTES: usize = 16 << 10;

/// The same where a body may begin, or consist of short chunks, of which the HTTP library keeps 32 bytes
/// each.
const MAX_SHORT_ROUND_BYTES: usize = 4 << 10;

/// Memory of the chunks of a body that the HTTP library keeps at a time, if the rounds were short from
/// the first, and if they were not.
const CHUNK_QUEUE_BYTES: usize = 32 << 10;
const LONG_CHUNK_QUEUE_BYTES: usize = 192 << 10;

/// Number of short chunks in a round after which rounds are short; a body may end with one.
const MAX_SHORT_CHUNKS: usize = 32;

/// Length of a chunk that takes less memory than what the HTTP library adds.
const SHORT_CHUNK_BYTES: usize = 64;

/// Bytes that count as progress, so that a body that trickles makes none.
const PROGRESS_BYTES: usize = 16 << 10;

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Closing {
    /// Too much memory is held.
    Memory,
    /// Answers that arrive hold too much memory.
    Answers,
    /// There are too many connections.
    Descriptors,
    /// It was idle for longer than the configuration allows.
    Idle,
    /// The head of a request took longer than the configuration allows.
    HeadTimeout,
    /// The head of a request is longer than the configuration allows.
    HeadTooLong,
}

impl Closing {
    /// Returns the reason code.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Memory => "memory_limit",
            Self::Answers => "answer_memory_limit",
            Self::Descriptors => "connection_limit",
            Self::Idle => "idle",
            Self::HeadTimeout => "head_timeout",
            Self::HeadTooLong => "head_too_long",
        }
    }

    /// Returns the answer to a request whose head is not whole; it has not run.
    fn answer(self) -> &'static [u8] {
        match self {
            Self::HeadTimeout => {
                b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
            }
            Self::HeadTooLong => {
                b"HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
            }
            Self::Memory | Self::Answers | Self::Descriptors => {
                b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.3\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
            }
            Self::Idle => b"",
        }
    }
}

/// A connection of a caller.
pub struct Connection {
    pub(super) id: u64,
    all: Rc<Connections>,
    pub(super) socket: Rc<RefCell<TcpStream>>,
    stage: Cell<Stage>,
    /// When the connection last made progress.
    since: Cell<Instant>,
    /// Bytes received since then.
    progress: Cell<usize>,
    /// Bytes of requests that have not begun.
    ahead: Cell<usize>,
    /// Bytes read in the current round.
    round: Cell<usize>,
    /// Most bytes that the HTTP library had to hold at a time; it keeps such a buffer.
    buffer: Cell<usize>,
    /// Memory of the current request, its body and its answer.
    charged: Cell<usize>,
    /// The part of it for the answer while that arrives.
    answer: Cell<usize>,
    /// Receive buffer that may be full, as the process does not read.
    unread: Cell<usize>,
    /// Whether the latest request was answered before its body was whole, so that the rest may follow.
    drains: Cell<bool>,
    /// Whether the current body may consist of short chunks.
    short_rounds: Cell<bool>,
    /// Short chunks in the current round.
    short_chunks: Cell<usize>,
    /// Memory of the chunks that the HTTP library keeps.
    queue: Cell<usize>,
    /// Whether bytes wait until the caller reads.
    blocked: Cell<bool>,
    sends: RefCell<Option<Sends>>,
    closing: Cell<Option<Closing>>,
    /// What the connection held when it began to be closed.
    pub(super) freeing: Cell<usize>,
    /// The part of it for the answer.
    pub(super) freeing_answer: Cell<usize>,
    /// Wakes the handler of the current request once the connection is to be closed.
    refused: Notify,
    task: RefCell<Option<Waker>>,
}

impl Connection {
    pub(super) fn new(id: u64, all: Rc<Connections>, socket: Rc<RefCell<TcpStream>>) -> Self {
        all.adjust(0, CONNECTION_BYTES);
        Self {
            id,
            all,
            socket,
            stage: Cell::new(Stage::Idle),
            since: Cell::new(Instant::now()),
            progress: Cell::new(0),
            ahead: Cell::new(0),
            round: Cell::new(0),
            buffer: Cell::new(0),
            charged: Cell::new(0),
            answer: Cell::new(0),
            unread: Cell::new(0),
            drains: Cell::new(false),
            short_rounds: Cell::new(false),
            short_chunks: Cell::new(0),
            queue: Cell::new(0),
            blocked: Cell::new(false),
            sends: RefCell::default(),
            closing: Cell::new(None),
            freeing: Cell::new(0),
            freeing_answer: Cell::new(0),
            refused: Notify::new(),
            task: RefCell::default(),
        }
    }

    /// Sets the receive buffer.
    pub(super) fn resize_window(&self, bytes: usize) {
        // The kernel keeps the buffer that it has otherwise.
        let _ = SockRef::from(&*self.socket.borrow()).set_recv_buffer_size(bytes);
    }

    /// Returns the memory that the connection holds.
    pub(super) fn bytes(&self) -> usize {
        let buffers = self.buffer.get() + self.queue.get() + self.unread.get();
        CONNECTION_BYTES + buffers + self.charged.get()
    }

    /// Returns the memory of its answer while that arrives.
    pub(super) fn answer_bytes(&self) -> usize {
        self.answer.get()
    }

    /// Returns what the connection holds, and for what.
    pub(super) fn holding(&self) -> Holding {
        let sends = self.sends.borrow();
        Holding {
            id: self.id,
            stage: self.stage.get(),
            sent: sends
                .as_ref()
                .is_some_and(|sends| sends.not_run().is_none()),
            bytes: self.bytes(),
            answer_bytes: self.answer_bytes(),
            since: self.since.get(),
        }
    }

    fn set(&self, part: &Cell<usize>, bytes: usize) {
        let before = part.replace(bytes);
        self.all.adjust(before, bytes);
    }

    /// Adds to the memory of the answer that arrives, or subtracts from it.
    fn adjust_answer(&self, before: usize, after: usize) {
        self.answer.set(self.answer.get() + after - before);
        self.all.adjust_answers(before, after);
    }

    fn enter(&self, stage: Stage) {
        self.stage.set(stage);
        self.since.set(Instant::now());
        self.progress.set(0);
    }

    /// Records bytes of a body that were received.
    fn advance(&self, bytes: usize) {
        let progress = self.progress.get() + bytes;
        if progress >= PROGRESS_BYTES {
            self.since.set(Instant::now());
            self.progress.set(0);
        } else {
            self.progress.set(progress);
        }
    }

    /// Begins a round, in which the task of the connection reads, serves and writes.
    pub(super) fn begin_round(&self, task: &Waker) {
        self.round.set(0);
        self.short_chunks.set(0);
        let mut known = self.task.borrow_mut();
        if !known.as_ref().is_some_and(|known| known.will_wake(task)) {
            known.replace(task.clone());
        }
    }

    /// Ends a round.
    pub(super) fn end_round(&self) {
        let head = self.stage.get() == Stage::Head;
        if head && self.ahead.get() > self.all.limits().head {
            self.close(Closing::HeadTooLong);
        }
    }

    /// Returns the number of bytes to read now; 0 if the connection should not be read.
    pub(super) fn allowance(&self) -> usize {
        let answering = matches!(self.stage.get(), Stage::Waiting | Stage::Answer);
        if answering && self.ahead.get() >= MAX_AHEAD_BYTES {
            self.set(&self.unread, 2 * self.all.window());
            self.all.check_memory();
            return 0;
        }
        let body = self.stage.get() == Stage::Body;
        let limit = match body && !self.short_rounds.get() {
            true => MAX_ROUND_BYTES,
            false => MAX_SHORT_ROUND_BYTES,
        };
        let left = limit.saturating_sub(self.round.get());
        if left == 0 {
            self.wake();
        }
        left
    }

    /// Records bytes that were read.
    pub(super) fn received(&self, bytes: usize) {
        if bytes == 0 {
            return;
        }
        self.set(&self.unread, 0);
        self.round.set(self.round.get() + bytes);
        match self.stage.get() {
            Stage::Idle => {
                self.enter(Stage::Head);
                self.ahead.set(self.ahead.get() + bytes);
            }
            Stage::Body => self.advance(bytes),
            Stage::Head | Stage::Waiting | Stage::Answer => {
                self.ahead.set(self.ahead.get() + bytes);
            }
        }
        let buffer = BUFFER_GROWTH * self.ahead.get().max(self.round.get());
        if buffer > self.buffer.get() {
            self.set(&self.buffer, buffer);
            self.all.check_memory();
        }
    }

    /// Records bytes that were written, or that the caller has yet to read others.
    pub(super) fn written(&self, bytes: Option<usize>) {
        self.blocked.set(bytes.is_none());
        if bytes.is_some() && self.stage.get() == Stage::Answer {
            self.since.set(Instant::now());
        }
    }

    /// Returns the answer to send before the connection is closed: to a request whose head is not
    /// whole, unless half an answer or the rest of a body is before it.
    pub(super) fn last_answer(&self, closing: Closing) -> &'static [u8] {
        let before = self.blocked.get() || self.drains.get();
        match self.stage.get() == Stage::Head && !before {
            true => closing.answer(),
            false => b"",
        }
    }

    /// Begins a request whose head has this length, and whose body may have chunks.
    pub fn begin(self: &Rc<Self>, head_bytes: usize, chunked: bool) -> Open {
        self.enter(Stage::Body);
        self.ahead.set(0);
        self.drains.set(false);
        self.short_rounds.set(chunked);
        if chunked {
            self.set(&self.queue, CHUNK_QUEUE_BYTES);
        }
        Open {
            _request: self.charge(REQUEST_BYTES + HEAD_COPIES * head_bytes),
            connection: self.clone(),
        }
    }

    /// Records a chunk of a body.
    pub fn receive_chunk(&self, bytes: usize) {
        if bytes >= SHORT_CHUNK_BYTES {
            self.short_rounds.set(false);
            return;
        }
        self.short_chunks.set(self.short_chunks.get() + 1);
        if self.short_chunks.get() > MAX_SHORT_CHUNKS && !self.short_rounds.replace(true) {
            self.set(&self.queue, LONG_CHUNK_QUEUE_BYTES);
            self.all.check_memory();
        }
    }

    /// Records that the body of the current request is whole, or isn't needed.
    pub fn finish_body(&self, sends: &Sends) {
        self.sends.replace(Some(sends.clone()));
        self.enter(Stage::Waiting);
        self.short_rounds.set(false);
        self.set(&self.queue, 0);
    }

    /// Records that the answer to the current request is written.
    fn answer(&self) {
        if self.stage.get() != Stage::Answer {
            self.enter(Stage::Answer);
        }
    }

    /// Ends the current request.
    fn end(&self) {
        self.sends.replace(None);
        self.short_rounds.set(false);
        self.set(&self.queue, 0);
        let cut = self.stage.get() == Stage::Body || self.closing.get().is_some();
        self.drains.set(cut);
        // What was read ahead is part of a head, or of a request that begins at once.
        self.enter(match self.ahead.get() {
            0 => Stage::Idle,
            _ => Stage::Head,
        });
        if self.unread.get() > 0 {
            // The connection is read again.
            self.wake();
        }
    }

    /// Charges memory to the connection until the guard is dropped.
    pub fn charge(self: &Rc<Self>, bytes: usize) -> Charge {
        let mut charge = Charge {
            connection: self.clone(),
            bytes: 0,
            answer: false,
        };
        charge.resize(bytes);
        charge
    }

    /// Closes the connection, unless it is being closed.
    pub(super) fn close(&self, closing: Closing) {
        if self.closing.get().is_some() {
            return;
        }
        self.all.count(self, closing);
        self.closing.set(Some(closing));
        self.refused.notify_waiters();
        self.wake();
    }

    /// Keeps the connection open, which was to be closed.
    pub(super) fn spare(&self) {
        self.all.uncount(self);
        self.closing.set(None);
    }

    /// Returns whether no request has begun.
    pub(super) fn is_idle(&self) -> bool {
        self.stage.get() == Stage::Idle
    }

    /// Closes the connection if its head is late, or if it is idle for too long.
    pub(super) fn check_time(&self, now: Instant, limits: &Limits) {
        let time = now.duration_since(self.since.get());
        match self.stage.get() {
            Stage::Idle if time > limits.idle => self.close(Closing::Idle),
            Stage::Head if time > limits.head_time => self.close(Closing::HeadTimeout),
            _ => {}
        }
    }

    /// Returns why the connection is closed, if it is.
    pub fn closing(&self) -> Option<Closing> {
        self.closing.get()
    }

    /// Returns whether the connection is to be closed, and no handler answers a request before.
    pub(super) fn is_over(&self) -> bool {
        let handled = matches!(self.stage.get(), Stage::Body | Stage::Waiting);
        self.closing.get().is_some() && !handled
    }

    /// Waits until the connection is to be closed.
    pub async fn wait_closing(&self) -> Closing {
        loop {
            let refused = self.refused.notified();
            if let Some(closing) = self.closing.get() {
                return closing;
            }
            refused.await;
        }
    }

    fn wake(&self) {
        if let Some(task) = &*self.task.borrow() {
            task.wake_by_ref();
        }
    }

    /// Removes the connection; its charges last for as long as their guards.
    pub(super) fn remove(&self) {
        self.all.remove(self);
        for part in [&self.buffer, &self.queue, &self.unread] {
            self.set(part, 0);
        }
        self.all.adjust(CONNECTION_BYTES, 0);
    }
}

/// Guard of the memory that a request holds.
pub struct Charge {
    connection: Rc<Connection>,
    bytes: usize,
    /// Whether the memory is for an answer that arrives.
    answer: bool,
}

impl Charge {
    /// Returns an empty buffer for an answer, which is charged to the same connection.
    pub fn answer_buffer(&self) -> Buffer {
        Buffer::new(self.for_answer())
    }

    /// Returns a guard of memory for an answer that arrives, which is charged to the same connection.
    pub fn for_answer(&self) -> Self {
        Self {
            connection: self.connection.clone(),
            bytes: 0,
            answer: true,
        }
    }

    /// Changes the memory that is charged.
    pub fn resize(&mut self, bytes: usize) {
        let connection = &self.connection;
        let charged = connection.charged.get() - self.bytes + bytes;
        connection.set(&connection.charged, charged);
        if self.answer {
            connection.adjust_answer(self.bytes, bytes);
        }
        let grows = bytes > self.bytes;
        self.bytes = bytes;
        if grows {
            connection.all.check_memory();
        }
    }

    /// Records that an answer no longer arrives, as it is whole; its memory is still charged.
    pub(super) fn complete(&mut self) {
        if std::mem::take(&mut self.answer) {
            self.connection.adjust_answer(self.bytes, 0);
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.resize(0);
    }
}

/// Guard of a request, which lasts until its answer is written.
pub struct Open {
    connection: Rc<Connection>,
    _request: Charge,
}

impl Open {
    /// Records that the answer is written.
    pub(super) fn answer(&self) {
        self.connection.answer();
    }

    /// Charges the connection for an answer.
    pub(super) fn charge(&self, bytes: usize) -> Charge {
        self.connection.charge(bytes)
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.connection.end();
    }
}
