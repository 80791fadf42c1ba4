//! Adaptive concurrency limits of upstreams.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    clock::Time,
    upstream::Load, //
};

/// Bounds of the concurrency limit of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Number of concurrent calls before the upstream has given any sample.
    pub initial: u32,
    /// Maximum number of concurrent calls.
    pub most: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            initial: 16,
            most: 256,
        }
    }
}

/// Result of a finished call as input of the window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// Time per unit of work, as a multiple of the usual time of the class.
    pub pace: Option<f64>,
    /// Whether the window was nearly full when the call ended, so that growth would be used.
    pub limited: bool,
    /// Whether the upstream refused or failed the call.
    pub failed: bool,
}

/// Concurrency control; the window includes the requests of other clients.
pub trait Control {
    /// Creates a window with the limits of an upstream.
    fn new(settings: &Settings, limits: Limits) -> Self;

    /// Changes the limits of the window.
    fn set_limits(&mut self, limits: Limits);

    /// Returns the window, at least 1.
    fn size(&self) -> u32;

    /// Adjusts the window after a finished call.
    fn record_result(&mut self, now: Time, sample: Sample);

    /// Adjusts the window after a load report.
    fn record_load(&mut self, now: Time, load: &Load);
}

/// Settings of the window.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Pace, as a multiple of the best observed pace, above which the window shrinks.
    pub tolerance: f64,
    /// Factor that a reduction multiplies the window by.
    pub shrink: f64,
    /// Minimum time between two reductions, in milliseconds; covers the lag of the signals.
    pub pause_ms: u64,
    /// Part of the window that only interactive calls may use.
    pub reserve: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            tolerance: 5.0,
            shrink: 0.85,
            pause_ms: 1_000,
            reserve: 0.125,
        }
    }
}

/// A window that grows while the pace of calls is stable and shrinks when calls slow down.
#[derive(Debug)]
pub struct Window {
    settings: Settings,
    limits: Limits,
    size: f64,
    /// Smoothed pace.
    pace: Option<f64>,
    /// Lowest smoothed pace, rising slowly so that old minima expire.
    best: f64,
    reduced_at: Time,
}

impl Window {
    fn reduce(&mut self, now: Time, target: f64) {
        if now.since(self.reduced_at) >= Duration::from_millis(self.settings.pause_ms) {
            self.size = target.clamp(1.0, f64::from(self.limits.most.max(1)));
            self.reduced_at = now;
        }
    }

    fn smooth(&mut self, pace: f64) -> f64 {
        let smoothed = self.pace.map_or(pace, |old| old + 0.1 * (pace - old));
        self.pace = Some(smoothed);
        self.best = (self.best * 1.0005).min(smoothed);
        smoothed
    }
}

impl Control for Window {
    fn new(settings: &Settings, limits: Limits) -> Self {
        Self {
            settings: settings.clone(),
            limits,
            size: f64::from(limits.initial.min(limits.most).max(1)),
            pace: None,
            best: f64::INFINITY,
            reduced_at: Time::default(),
        }
    }

    fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        self.size = self.size.clamp(1.0, f64::from(limits.most.max(1)));
    }

    fn size(&self) -> u32 {
        self.size as u32
    }

    fn record_result(&mut self, now: Time, sample: Sample) {
        if sample.failed {
            self.reduce(now, self.size * self.settings.shrink);
            return;
        }
        let Some(pace) = sample.pace else {
            return;
        };
        if self.smooth(pace) > self.best * self.settings.tolerance {
            self.reduce(now, self.size * self.settings.shrink);
        } else if sample.limited {
            let max = f64::from(self.limits.most.max(1));
            self.size = (self.size + 1.0 / self.size).min(max);
        }
    }

    fn record_load(&mut self, now: Time, load: &Load) {
        // Requests that wait in the upstream can no longer be reordered here.
        if load.waiting > 0 {
            let target = f64::from(load.running).max(self.size * self.settings.shrink);
            self.reduce(now, target.min(self.size));
        }
    }
}

/// A window of constant size.
#[derive(Debug)]
pub struct Fixed {
    limits: Limits,
}

impl Control for Fixed {
    fn new(_: &Settings, limits: Limits) -> Self {
        Self { limits }
    }

    fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    fn size(&self) -> u32 {
        self.limits.initial.max(1)
    }

    fn record_result(&mut self, _: Time, _: Sample) {}

    fn record_load(&mut self, _: Time, _: &Load) {}
}
