//! Choice of an upstream for a call.

mod affine;
mod cycle;

use std::time::Duration;

use rand::Rng;
use serde::{
    Deserialize,
    Serialize, //
};

pub use self::{
    affine::Router,
    cycle::Cycle, //
};
use crate::{
    clock::Time,
    name::Upstream,
    policy::call::Call, //
};

/// An upstream as the choice sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Place {
    /// Name of the upstream.
    pub upstream: Upstream,
    /// Our calls in flight on it.
    pub running: u32,
    /// Our calls that it may have at a time, load that is not ours already subtracted.
    pub window: u32,
    /// Observed slowness against the rest of the pool; 1 is normal.
    pub slowness: f64,
}

impl Place {
    /// Part of the window in use, counting one more call.
    pub fn load(&self) -> f64 {
        f64::from(self.running + 1) / f64::from(self.window.max(1))
    }
}

/// Result of a choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Choice {
    /// The call goes to the place with this index.
    Send {
        /// Index of the place.
        index: usize,
        /// Why this place.
        why: &'static str,
        /// Whether the call leaves a healthy upstream that holds its prefix.
        moves: bool,
    },
    /// The call waits for a better place, until the time given at most.
    Wait {
        /// When to choose again at the latest.
        until: Time,
    },
    /// No place is open for this call.
    None,
}

/// A rule that chooses a place.
pub trait Route {
    /// Makes the rule.
    fn new(settings: &Settings) -> Self;

    /// Chooses among the places; `open` tells which of them may get this call now.
    fn choose(
        &mut self,
        now: Time,
        call: &Call,
        since: Time,
        places: &[Place],
        open: impl Fn(&Place) -> bool,
        rng: &mut impl Rng,
    ) -> Choice;

    /// Notes that a call was granted.
    fn sent(&mut self, now: Time, call: &Call, upstream: &Upstream);
}

/// Settings of the choice.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Load at which a call leaves the upstream with its prefix, as a multiple of the mean load.
    pub bound: f64,
    /// Time that a call waits for that upstream, in microseconds per token of prefix.
    pub wait_us: u64,
    /// Longest such wait, in milliseconds.
    pub wait_ms: u64,
    /// Slowness from which an upstream is avoided.
    pub slow: f64,
    /// Programs whose upstream is remembered.
    pub programs: usize,
}

impl Settings {
    /// Time that recomputing `prefix` tokens is worth waiting for.
    pub fn wait(&self, prefix: u64) -> Duration {
        Duration::from_micros((self.wait_us * prefix).min(self.wait_ms * 1_000))
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            bound: 1.5,
            wait_us: 200,
            wait_ms: 4_000,
            slow: 3.0,
            programs: 100_000,
        }
    }
}
