//! Estimate of the load that other clients put on an upstream.
//!
//! Calls granted by the same dispatcher count as local, whichever instance sends them.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use crate::{
    clock::Time,
    upstream, //
};

/// Retention of local in-flight counts; load reports older than this are ignored.
const HISTORY_RETENTION: Duration = Duration::from_secs(10);

/// Maximum time difference between a local count and the upstream's report, due to network delay
/// and clock skew.
const MAX_SKEW: Duration = Duration::from_millis(50);

/// Estimator of load from other clients.
pub trait Estimate: Default {
    /// Records the number of local calls in flight after a change.
    fn record_local(&mut self, now: Time, running: u32);

    /// Updates the estimate from a load report of the upstream.
    fn report(&mut self, now: Time, load: &upstream::Load);

    /// Returns the estimated number of requests from other clients.
    fn count(&self) -> u32;
}

/// Smoothed difference between reported requests and local calls at the time of the report.
#[derive(Debug, Default)]
pub struct Load {
    local: VecDeque<(Time, u32)>,
    latest: Time,
    smoothed: f64,
}

impl Load {
    /// Returns the maximum number of local calls that a report of time `at` may have counted.
    fn max_local_at(&self, at: Time) -> u32 {
        let mut peak = 0;
        for (since, running) in self.local.iter().rev() {
            if *since <= at + MAX_SKEW {
                peak = peak.max(*running);
            }
            if *since <= at - MAX_SKEW {
                break;
            }
        }
        peak
    }
}

impl Estimate for Load {
    fn record_local(&mut self, now: Time, running: u32) {
        self.local.push_back((now, running));
        while self.local.len() > 1 && self.local[1].0 < now - HISTORY_RETENTION {
            self.local.pop_front();
        }
    }

    fn report(&mut self, now: Time, load: &upstream::Load) {
        let at = Time(load.at);
        if at <= self.latest || at < now - HISTORY_RETENTION {
            return;
        }
        self.latest = at;
        let total = load.running + load.waiting;
        let foreign = f64::from(total.saturating_sub(self.max_local_at(at)));
        self.smoothed += 0.5 * (foreign - self.smoothed);
    }

    fn count(&self) -> u32 {
        self.smoothed.round() as u32
    }
}

/// Assumes that there are no other clients.
#[derive(Debug, Default)]
pub struct Ignore;

impl Estimate for Ignore {
    fn record_local(&mut self, _: Time, _: u32) {}

    fn report(&mut self, _: Time, _: &upstream::Load) {}

    fn count(&self) -> u32 {
        0
    }
}
