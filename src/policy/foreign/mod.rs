//! Load on an upstream that is not ours.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use crate::{
    clock::Time,
    upstream, //
};

/// Time that counts of our calls are kept; reports older than this are ignored.
const HISTORY: Duration = Duration::from_secs(10);

/// Largest difference between our count and the upstream's, by the way of a call and clock skew.
const SKEW: Duration = Duration::from_millis(50);

/// A rule that infers load that is not ours.
pub trait Estimate: Default {
    /// Notes the number of our calls in flight after a change.
    fn ours(&mut self, now: Time, running: u32);

    /// Takes a load report.
    fn report(&mut self, now: Time, load: &upstream::Load);

    /// Returns the requests of others.
    fn count(&self) -> u32;
}

/// Reported requests minus our own at the time of the report.
#[derive(Debug, Default)]
pub struct Load {
    ours: VecDeque<(Time, u32)>,
    latest: Time,
    smoothed: f64,
}

impl Load {
    /// Most calls of ours that the upstream may have counted in a report of `at`.
    fn ours_at(&self, at: Time) -> u32 {
        let mut most = 0;
        for (since, running) in self.ours.iter().rev() {
            if *since <= at + SKEW {
                most = most.max(*running);
            }
            if *since <= at - SKEW {
                break;
            }
        }
        most
    }
}

impl Estimate for Load {
    fn ours(&mut self, now: Time, running: u32) {
        self.ours.push_back((now, running));
        while self.ours.len() > 1 && self.ours[1].0 < now - HISTORY {
            self.ours.pop_front();
        }
    }

    fn report(&mut self, now: Time, load: &upstream::Load) {
        let at = Time(load.at);
        if at <= self.latest || at < now - HISTORY {
            return;
        }
        self.latest = at;
        let total = load.running + load.waiting;
        let foreign = f64::from(total.saturating_sub(self.ours_at(at)));
        self.smoothed += 0.5 * (foreign - self.smoothed);
    }

    fn count(&self) -> u32 {
        self.smoothed.round() as u32
    }
}

/// Assumes that all load is ours.
#[derive(Debug, Default)]
pub struct Ignore;

impl Estimate for Ignore {
    fn ours(&mut self, _: Time, _: u32) {}

    fn report(&mut self, _: Time, _: &upstream::Load) {}

    fn count(&self) -> u32 {
        0
    }
}
