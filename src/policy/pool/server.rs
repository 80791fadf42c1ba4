//! One upstream of a pool.

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

/// Windows and counts of one upstream.
#[derive(Debug)]
pub struct Server<W, F> {
    window: W,
    foreign: F,
    running: u32,
    /// Whether the upstream gets no new calls.
    pub leaving: bool,
}

impl<W: Control, F: Estimate> Server<W, F> {
    /// Makes an upstream that has `running` calls of ours.
    pub fn new(settings: &Settings, limits: Limits, running: u32) -> Self {
        Self {
            window: W::new(settings, limits),
            foreign: F::default(),
            running,
            leaving: false,
        }
    }

    /// Changes the limits.
    pub fn limit(&mut self, limits: Limits) {
        self.window.limit(limits);
    }

    /// Returns our calls in flight.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the window, requests that are not ours included.
    pub fn window(&self) -> u32 {
        self.window.size()
    }

    /// Returns the requests that are not ours.
    pub fn foreign(&self) -> u32 {
        self.foreign.count()
    }

    /// Returns our calls that the upstream may have at a time, at least 1.
    pub fn room(&self) -> u32 {
        self.window().saturating_sub(self.foreign()).max(1)
    }

    /// Notes a call that was granted.
    pub fn sent(&mut self, now: Time) {
        self.running += 1;
        self.foreign.ours(now, self.running);
    }

    /// Notes a call that ended.
    pub fn ended(&mut self, now: Time) {
        self.running = self.running.saturating_sub(1);
        self.foreign.ours(now, self.running);
    }

    /// Learns from a finished call that is still counted as running.
    pub fn learn(&mut self, now: Time, pace: Option<f64>, failed: bool) {
        let limited = self.running * 8 >= self.room() * 7;
        let sample = Sample {
            pace,
            limited,
            failed,
        };
        self.window.done(now, sample);
    }

    /// Takes a load report.
    pub fn load(&mut self, now: Time, load: &Load) {
        self.foreign.report(now, load);
        self.window.load(now, load);
    }
}
