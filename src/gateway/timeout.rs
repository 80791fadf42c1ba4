//! Timeouts of reads whose duration depends on their size and on the load of the store.
//!
//! Answers the load pattern of many instances that read the same large state at once, as after a
//! restart of all of them: the store answers them one after the other, and a read that is given up
//! is asked again while the store still works on the first answer. With a fixed timeout shorter
//! than the time for all answers, no instance ever completes its read.

use std::{
    cell::Cell,
    time::Duration, //
};

/// Timeout that doubles each time it expires, and returns to its minimum after a success.
///
/// The rate of abandoned reads so falls until the store can answer all of them.
#[derive(Clone, Debug)]
pub struct Timeout {
    min: Cell<Duration>,
    max: Duration,
    /// Times that it expired since the latest success.
    expired: Cell<u32>,
}

/// Maximum times that a timeout doubles.
const MAX_DOUBLINGS: u32 = 8;

impl Timeout {
    /// Returns a timeout that grows from `min` to `max`.
    pub fn growing(min: Duration, max: Duration) -> Self {
        Self {
            min: Cell::new(min),
            max,
            expired: Cell::new(0),
        }
    }

    /// Returns a timeout that never changes.
    pub fn fixed(timeout: Duration) -> Self {
        Self::growing(timeout, timeout)
    }

    /// Sets the minimum to the expected time of a read. A larger one than the maximum may double
    /// once, as what is expected may be too little.
    pub fn set_min(&self, min: Duration) {
        self.min.set(min);
    }

    /// Returns the time without progress after which the next read is given up.
    pub fn get(&self) -> Duration {
        let min = self.min.get();
        let max = match min > self.max {
            true => min * 2,
            false => self.max,
        };
        (min * (1 << self.expired.get())).min(max)
    }

    /// Records that a read was given up.
    pub fn expired(&self) {
        self.expired
            .set((self.expired.get() + 1).min(MAX_DOUBLINGS));
    }

    /// Records that a read was answered.
    pub fn reset(&self) {
        self.expired.set(0);
    }
}
