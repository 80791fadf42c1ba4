//! Load reports, published with a lag and at an interval.

use std::collections::VecDeque;

use serde::Serialize;

/// A load report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct Load {
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// Fraction of the memory in use, from 0 to 1.
    pub cache_used: f64,
    /// Time at which the load was sampled, in microseconds since the Unix epoch.
    pub at: u64,
    /// Whether the upstream is leaving.
    pub leaving: bool,
}

/// Recent changes of the load, from which the published report is taken.
#[derive(Debug)]
pub struct History {
    lag_us: u64,
    interval_us: u64,
    changes: VecDeque<Load>,
}

impl History {
    /// Creates an empty history with a lag and an interval in milliseconds.
    pub fn new(lag_ms: u64, interval_ms: u64) -> Self {
        Self {
            lag_us: lag_ms * 1_000,
            interval_us: (interval_ms * 1_000).max(1),
            changes: VecDeque::new(),
        }
    }

    /// Records the load; `load.at` must not decrease.
    pub fn record(&mut self, load: Load) {
        let sample_time = self.sample_time(load.at);
        while self
            .changes
            .get(1)
            .is_some_and(|next| next.at <= sample_time)
        {
            self.changes.pop_front();
        }
        self.changes.push_back(load);
    }

    /// Returns the newest load that is published at `now`, in microseconds since the Unix epoch.
    pub fn published(&self, now: u64) -> Load {
        let sample_time = self.sample_time(now);
        let published = self
            .changes
            .iter()
            .take_while(|load| load.at <= sample_time);
        Load {
            at: sample_time,
            ..published.last().copied().unwrap_or_default()
        }
    }

    fn sample_time(&self, now: u64) -> u64 {
        let late = now.saturating_sub(self.lag_us);
        late - late % self.interval_us
    }
}
