//! Bound on the log lines about single requests.

use std::cell::Cell;

use crate::clock::Time;

/// Lines about requests in one second; an instance of half a core answers about 100 requests in it.
const LINES: u32 = 100;

/// Microseconds of a second.
const SECOND: u64 = 1_000_000;

/// Lines that may still be written in the current second.
#[derive(Debug, Default)]
pub struct Lines {
    second: Cell<u64>,
    written: Cell<u32>,
    dropped: Cell<u64>,
}

impl Lines {
    /// Returns whether a line may be written.
    pub fn allow(&self, now: Time) -> bool {
        let second = now.0 / SECOND;
        if self.second.replace(second) != second {
            self.written.set(0);
            let dropped = self.dropped.replace(0);
            if dropped > 0 {
                log::warn!(dropped; "logs: lines about requests were dropped");
            }
        }
        let allowed = self.written.get() < LINES;
        match allowed {
            true => self.written.set(self.written.get() + 1),
            false => self.dropped.set(self.dropped.get() + 1),
        }
        allowed
    }

    /// Returns the lines that were dropped in the current second.
    pub fn dropped(&self) -> u64 {
        self.dropped.get()
    }
}
