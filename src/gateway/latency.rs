//! Estimate of how long calls to a service take, from their durations.

use std::{
    cell::Cell,
    time::Duration, //
};

/// Weight of a new duration in the mean, and in the deviation; as for retransmissions in RFC 6298.
const WEIGHTS: [f64; 2] = [1.0 / 8.0, 1.0 / 4.0];

/// Deviations above the mean that a call rarely exceeds.
const DEVIATIONS: f64 = 4.0;

/// Smoothed duration of calls and its deviation.
#[derive(Clone, Debug, Default)]
pub struct Latency {
    /// Seconds; `None` before the first call.
    estimate: Cell<Option<(f64, f64)>>,
}

impl Latency {
    /// Records the duration of a call.
    pub fn record(&self, took: Duration) {
        let took = took.as_secs_f64();
        let estimate = match self.estimate.get() {
            Some((mean, deviation)) => (
                mean + WEIGHTS[0] * (took - mean),
                deviation + WEIGHTS[1] * ((took - mean).abs() - deviation),
            ),
            None => (took, took / 2.0),
        };
        self.estimate.set(Some(estimate));
    }

    /// Returns the time that a call rarely exceeds, within a range; its end before the first call.
    pub fn limit(&self, [min, max]: [Duration; 2]) -> Duration {
        match self.estimate.get() {
            Some((mean, deviation)) => {
                Duration::from_secs_f64(mean + DEVIATIONS * deviation).clamp(min, max)
            }
            None => max,
        }
    }
}
