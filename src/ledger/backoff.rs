//! Delays between tries.

use std::time::Duration;

/// Exponential delays with jitter.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Backoff {
    least: Duration,
    most: Duration,
    next: Duration,
}

impl Backoff {
    pub(crate) fn new(least: Duration, most: Duration) -> Self {
        Self {
            least,
            most,
            next: least,
        }
    }

    /// Returns the next delay, between half and all of the nominal one.
    ///
    /// The jitter keeps the instances from returning to the log at the same moment.
    pub(crate) fn delay(&mut self) -> Duration {
        let nominal = self.next;
        self.next = (nominal * 2).min(self.most);
        nominal.mul_f64(rand::random_range(0.5..=1.0))
    }

    pub(crate) fn reset(&mut self) {
        self.next = self.least;
    }
}
