//! Delays between retries.

use std::time::Duration;

/// Exponential delays with jitter.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Backoff {
    min: Duration,
    max: Duration,
    next: Duration,
}

impl Backoff {
    pub(crate) fn new(min: Duration, max: Duration) -> Self {
        Self {
            min,
            max,
            next: min,
        }
    }

    /// Returns the next delay, between half of the nominal delay and all of it.
    ///
    /// The jitter prevents all instances from retrying at the same time.
    pub(crate) fn delay(&mut self) -> Duration {
        let nominal = self.next;
        self.next = (nominal * 2).min(self.max);
        nominal.mul_f64(rand::random_range(0.5..=1.0))
    }

    pub(crate) fn reset(&mut self) {
        self.next = self.min;
    }
}
