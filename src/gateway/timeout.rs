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
    min: Duration,
    max: Duration,
    /// Between `min` and `max`.
    current: Cell<Duration>,
}

impl Timeout {
    /// Returns a timeout that grows from `min` to `max`.
    pub fn growing(min: Duration, max: Duration) -> Self {
        Self {
            min,
            max: max.max(min),
            current: Cell::new(min),
        }
    }

    /// Returns a timeout that never changes.
    pub fn fixed(timeout: Duration) -> Self {
        Self::growing(timeout, timeout)
    }

    /// Returns the time without progress after which the next read is given up.
    pub fn get(&self) -> Duration {
        self.current.get()
    }

    /// Records that a read was given up.
    pub fn expired(&self) {
        self.current.set((self.get() * 2).min(self.max));
    }

    /// Records that a read was answered.
    pub fn reset(&self) {
        self.current.set(self.min);
    }
}
