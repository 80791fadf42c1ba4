//! Rate limit of log lines about single requests.

use std::cell::Cell;

use crate::clock::Time;

/// Maximum log lines in a second; an instance with half a core answers about 100 requests in it.
const MAX_LINES_PER_SECOND: u32 = 100;

/// One second in microseconds.
const SECOND_US: u64 = 1_000_000;

/// Rate limiter with windows of one second.
#[derive(Debug, Default)]
pub struct Throttle {
    second: Cell<u64>,
    written: Cell<u32>,
    dropped: Cell<u64>,
}

impl Throttle {
    /// Returns whether a line may be written.
    pub fn allow(&self, now: Time) -> bool {
        let second = now.0 / SECOND_US;
        if self.second.replace(second) != second {
            self.written.set(0);
            let dropped = self.dropped.replace(0);
            if dropped > 0 {
                log::warn!(dropped; "logs: lines about requests were dropped by the rate limit");
            }
        }
        let allowed = self.written.get() < MAX_LINES_PER_SECOND;
        match allowed {
            true => self.written.set(self.written.get() + 1),
            false => self.dropped.set(self.dropped.get() + 1),
        }
        allowed
    }

    /// Returns the number of lines dropped in the current second.
    pub fn dropped(&self) -> u64 {
        self.dropped.get()
    }
}
