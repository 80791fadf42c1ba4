//! All connections of callers.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use tokio::net::TcpStream;

use super::{
    budget::{
        select,
        Bounds,
        Holding,
        Shortage, //
    },
    connection::{
        Closing,
        Connection, //
    },
};
use crate::{
    gateway::{
        metrics::Metrics,
        route::Limits, //
    },
    hash::Map,
};

/// Longest time between two sweeps, which are due each second, of a process that was not paused.
const MAX_SWEEP_INTERVAL: Duration = Duration::from_millis(2_500);

/// Connections of callers at all listeners, and what they hold.
pub struct Connections {
    bounds: Bounds,
    metrics: Metrics,
    /// Limits on heads and idle connections, by the configuration in effect.
    limits: Cell<Limits>,
    open: RefCell<Map<u64, Rc<Connection>>>,
    /// Number of open connections that are being closed.
    closing: Cell<usize>,
    next: Cell<u64>,
    /// Memory that is held: by open connections, and by requests whose connection has ended.
    held: Cell<usize>,
    /// Memory of open connections that are being closed.
    freeing: Cell<usize>,
    /// Memory of answers that arrive.
    answers: Cell<usize>,
    /// Memory of answers that arrive for open connections that are being closed.
    freeing_answers: Cell<usize>,
    /// Receive buffer of each connection.
    window: Cell<usize>,
    /// Time of the latest sweep.
    swept: Cell<Instant>,
}

impl Connections {
    /// Returns an account without connections.
    pub fn new(bounds: Bounds, metrics: Metrics) -> Self {
        Self {
            bounds,
            metrics,
            limits: Cell::default(),
            open: RefCell::default(),
            closing: Cell::new(0),
            next: Cell::new(0),
            held: Cell::new(0),
            freeing: Cell::new(0),
            answers: Cell::new(0),
            freeing_answers: Cell::new(0),
            window: Cell::new(bounds.window(0)),
            swept: Cell::new(Instant::now()),
        }
    }

    /// Puts limits into effect.
    pub fn configure(&self, limits: Limits) {
        self.limits.set(limits);
    }

    /// Returns the limits in effect.
    pub fn limits(&self) -> Limits {
        self.limits.get()
    }

    /// Returns the receive buffer of a connection, in bytes.
    pub fn window(&self) -> usize {
        self.window.get()
    }

    /// Returns the receive buffer of a connection that is not accepted yet, in bytes, if this many may
    /// wait.
    pub fn first_window(&self, waiting: usize) -> usize {
        self.bounds.first_window(waiting)
    }

    /// Adds a connection; closes others if there are too many.
    pub(super) fn open(self: &Rc<Self>, socket: &Rc<RefCell<TcpStream>>) -> Rc<Connection> {
        let id = self.next.get();
        self.next.set(id + 1);
        let connection = Rc::new(Connection::new(id, self.clone(), socket.clone()));
        self.open.borrow_mut().insert(id, connection.clone());
        self.resize_windows();
        connection.resize_window(self.window.get());
        while self.lasting() > self.bounds.connections && self.relieve(Shortage::Descriptors) {}
        self.check_memory();
        connection
    }

    /// Removes a connection that has ended.
    pub(super) fn remove(&self, connection: &Connection) {
        self.open.borrow_mut().remove(&connection.id);
        if connection.closing().is_some() {
            self.uncount(connection);
        }
        self.resize_windows();
    }

    /// Adds to the memory that is held, or subtracts from it.
    pub(super) fn adjust(&self, before: usize, after: usize) {
        self.held.set(self.held.get() + after - before);
    }

    /// Adds to the memory of answers that arrive, or subtracts from it.
    pub(super) fn adjust_answers(&self, before: usize, after: usize) {
        self.answers.set(self.answers.get() + after - before);
    }

    /// Closes connections while too much memory is held.
    pub(super) fn check_memory(&self) {
        while self
            .answers
            .get()
            .saturating_sub(self.freeing_answers.get())
            > self.bounds.answers
            && self.relieve(Shortage::Answers)
        {}
        while self.held.get().saturating_sub(self.freeing.get()) > self.bounds.memory
            && self.relieve(Shortage::Memory)
        {}
    }

    /// Closes connections whose head is late, or that are idle for too long.
    pub fn sweep(&self) {
        let (now, limits) = (Instant::now(), self.limits.get());
        // What arrived while the process was paused is read first.
        let paused = now.duration_since(self.swept.replace(now)) > MAX_SWEEP_INTERVAL;
        if paused {
            return;
        }
        let open: Vec<_> = self.open.borrow().values().cloned().collect();
        for connection in open {
            connection.check_time(now, &limits);
        }
        self.metrics.record_callers(
            self.open.borrow().len() as u64,
            self.held.get() as u64,
            self.answers.get() as u64,
        );
    }

    /// Counts a connection that is closed.
    pub(super) fn count(&self, connection: &Connection, closing: Closing) {
        self.metrics.closed_caller(closing.reason());
        self.closing.set(self.closing.get() + 1);
        let bytes = connection.bytes();
        connection.freeing.set(bytes);
        self.freeing.set(self.freeing.get() + bytes);
        let answer = connection.answer_bytes();
        connection.freeing_answer.set(answer);
        self.freeing_answers
            .set(self.freeing_answers.get() + answer);
    }

    /// Forgets that a connection is being closed.
    pub(super) fn uncount(&self, connection: &Connection) {
        self.closing.set(self.closing.get() - 1);
        self.freeing
            .set(self.freeing.get() - connection.freeing.get());
        self.freeing_answers
            .set(self.freeing_answers.get() - connection.freeing_answer.get());
    }

    /// Returns whether there are too many connections, or too much memory is held, until some have ended
    /// that are being closed.
    pub fn is_full(&self) -> bool {
        let exceeds = self.open.borrow().len() > self.bounds.connections
            || self.held.get() > self.bounds.memory;
        self.closing.get() > 0 && exceeds
    }

    /// Returns the number of connections that are not being closed.
    fn lasting(&self) -> usize {
        self.open.borrow().len() - self.closing.get()
    }

    /// Closes the connection that suffers a shortage first; returns whether there is one.
    fn relieve(&self, shortage: Shortage) -> bool {
        let open = self.open.borrow();
        let lasting = open
            .values()
            .filter(|connection| connection.closing().is_none());
        let holdings: Vec<Holding> = lasting.map(|connection| connection.holding()).collect();
        let first = select(&holdings, shortage).and_then(|id| open.get(&id).cloned());
        drop(open);
        let Some(connection) = first else {
            return false;
        };
        connection.close(match shortage {
            Shortage::Memory => Closing::Memory,
            Shortage::Answers => Closing::Answers,
            Shortage::Descriptors => Closing::Descriptors,
        });
        true
    }

    /// Sets the receive buffers of all connections as their number changes by a factor of two.
    fn resize_windows(&self) {
        let open = self.open.borrow();
        let window = self.bounds.window(open.len());
        // Grown windows serve new connections only, so that a number that goes up and down costs little.
        if window < self.window.replace(window) {
            for connection in open.values() {
                connection.resize_window(window);
            }
        }
    }
}
