//! Rate limits.

use std::time::{
    Duration,
    Instant, //
};

/// Time in which an empty bucket fills up; it limits the size of a burst.
const BURST: Duration = Duration::from_millis(200);

/// A token bucket.
#[derive(Debug)]
pub struct Bucket {
    rate: Option<f64>,
    tokens: f64,
    refilled_at: Instant,
}

impl Bucket {
    /// Creates a full bucket with a rate in tokens per second; without a rate it never limits.
    pub fn new(rate: Option<f64>) -> Self {
        let mut bucket = Self {
            rate,
            tokens: 0.0,
            refilled_at: Instant::now(),
        };
        bucket.tokens = bucket.capacity();
        bucket
    }

    /// Replaces the rate. A changed rate starts with a full bucket.
    pub fn set_rate(&mut self, rate: Option<f64>) {
        if rate != self.rate {
            *self = Self::new(rate);
        }
    }

    /// Takes `tokens` if the bucket holds at least one, and returns whether it did. Taking more
    /// than it holds leaves a debt.
    pub fn take(&mut self, tokens: f64) -> bool {
        let Some(rate) = self.rate else { return true };
        let gained = self.refilled_at.elapsed().as_secs_f64() * rate;
        self.refilled_at = Instant::now();
        self.tokens = (self.tokens + gained).min(self.capacity());
        let enough = self.tokens >= tokens.min(1.0);
        if enough {
            self.tokens -= tokens;
        }
        enough
    }

    /// Returns the time until the bucket has a token; zero if the rate is zero or unlimited.
    pub fn retry_delay(&self) -> Duration {
        match self.rate {
            Some(rate) if rate > 0.0 && self.tokens < 1.0 => {
                Duration::from_secs_f64((1.0 - self.tokens) / rate)
            }
            _ => Duration::ZERO,
        }
    }

    fn capacity(&self) -> f64 {
        self.rate.map_or(0.0, |rate| {
            if rate > 0.0 {
                (rate * BURST.as_secs_f64()).max(1.0)
            } else {
                0.0
            }
        })
    }
}
