//! Refusal of turns that would wait too long.

use std::time::Duration;

use super::queue::Entry;
use crate::clock::Time;

/// Range of the time after which a refused caller may retry. A caller ignores one beyond a third of
/// the time that it has left.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(60), Duration::from_millis(1_200));

/// Estimate of a turn's wait.
#[derive(Clone, Copy, Debug)]
pub struct Outlook {
    /// Turns that wait ahead of it.
    pub ahead: usize,
    /// Turns that wait.
    pub waiting: usize,
    /// Turns that end in a millisecond while all slots are in use.
    pub rate_per_ms: f64,
}

impl Outlook {
    fn time(&self, turns: usize) -> Duration {
        let ms = turns as f64 / self.rate_per_ms.max(1e-6);
        Duration::from_secs_f64((ms / 1_000.0).min(60.0))
    }

    /// Returns the expected wait of the turn.
    pub fn wait(&self) -> Duration {
        self.time(self.ahead + 1)
    }

    /// Returns the time after which the caller of a turn may retry that is refused; `None` if it may
    /// wait. `spread` in [0, 1) keeps refused callers from returning together.
    pub fn refuse(&self, now: Time, entry: &Entry, spread: f64) -> Option<Duration> {
        let start = now + self.wait();
        let useless = start > entry.expiry;
        // A program in progress would lose what it used so far.
        let hopeless = !entry.begun && entry.latest_start.is_none_or(|latest| start > latest);
        if !useless && !hopeless {
            return None;
        }
        let drained = self.time(self.waiting + 1);
        let retry = drained.mul_f64(0.5 + spread);
        Some(retry.clamp(RETRY_AFTER.0, RETRY_AFTER.1))
    }
}
