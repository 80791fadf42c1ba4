//! State of one upstream of a pool.

use crate::{
    clock::Time,
    policy::{
        foreign::Estimate,
        window::{
            Control,
            Limits,
            Sample,
            Settings, //
        },
    },
    upstream::Load,
};

/// Window and in-flight counts of one upstream.
#[derive(Debug)]
pub struct Server<W, F> {
    window: W,
    foreign: F,
    running: u32,
    /// Whether the upstream gets no new calls.
    pub leaving: bool,
}

impl<W: Control, F: Estimate> Server<W, F> {
    /// Creates the state of an upstream that has `running` local calls in flight.
    pub fn new(settings: &Settings, limits: Limits, running: u32) -> Self {
        Self {
            window: W::new(settings, limits),
            foreign: F::default(),
            running,
            leaving: false,
        }
    }

    /// Changes the limits of the window.
    pub fn set_limits(&mut self, limits: Limits) {
        self.window.set_limits(limits);
    }

    /// Returns the number of local calls in flight.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the window, which requests of other clients also use.
    pub fn window(&self) -> u32 {
        self.window.size()
    }

    /// Returns the estimated number of requests of other clients.
    pub fn foreign(&self) -> u32 {
        self.foreign.count()
    }

    /// Returns the maximum number of concurrent local calls, at least 1.
    pub fn capacity(&self) -> u32 {
        self.window().saturating_sub(self.foreign()).max(1)
    }

    /// Counts a call that was granted.
    pub fn record_sent(&mut self, now: Time) {
        self.running += 1;
        self.foreign.record_local(now, self.running);
    }

    /// Stops counting a call that ended.
    pub fn record_ended(&mut self, now: Time) {
        self.running = self.running.saturating_sub(1);
        self.foreign.record_local(now, self.running);
    }

    /// Updates the window from a finished call; must precede the decrement of the running count.
    pub fn record_result(&mut self, now: Time, pace: Option<f64>, failed: bool) {
        let limited = self.running * 8 >= self.capacity() * 7;
        let sample = Sample {
            pace,
            limited,
            failed,
        };
        self.window.record_result(now, sample);
    }

    /// Updates the window and the estimate of other clients' load from a load report.
    pub fn record_load(&mut self, now: Time, load: &Load) {
        self.foreign.report(now, load);
        self.window.record_load(now, load);
    }
}
