//! Routing policies: the choice of an upstream for a call.

mod affinity;
mod cycle;

use std::time::Duration;

use rand::Rng;
use serde::{
    Deserialize,
    Serialize, //
};

pub use self::{
    affinity::Router,
    cycle::Cycle, //
};
use crate::{
    clock::Time,
    name::Upstream,
    policy::call::Call, //
};

/// State of an upstream that a routing decision depends on.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Name of the upstream.
    pub upstream: Upstream,
    /// Local calls in flight on the upstream.
    pub running: u32,
    /// Maximum number of concurrent local calls, with load from other clients already subtracted.
    pub window: u32,
    /// Observed slowness relative to the rest of the pool; 1 is normal.
    pub slowness: f64,
}

impl Candidate {
    /// Returns the utilization of the window after one more call.
    pub fn load(&self) -> f64 {
        f64::from(self.running + 1) / f64::from(self.window.max(1))
    }
}

/// Routing decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Choice {
    /// The call goes to the upstream with this index.
    Send {
        /// Index in the list of candidates.
        index: usize,
        /// Reason of the choice, as counted in the pool's statistics.
        reason: &'static str,
        /// Whether the call leaves a healthy upstream that holds its prefix.
        moves: bool,
    },
    /// The call stays queued for the upstream with its prefix.
    Wait {
        /// Latest time of the next decision.
        until: Time,
    },
    /// No upstream is available for this call.
    None,
}

/// Routing policy.
pub trait Route {
    /// Creates the policy.
    fn new(settings: &Settings) -> Self;

    /// Chooses among the candidates; `available` returns whether a candidate may get this call now.
    fn choose(
        &mut self,
        now: Time,
        call: &Call,
        queued_at: Time,
        candidates: &[Candidate],
        available: impl Fn(&Candidate) -> bool,
        rng: &mut impl Rng,
    ) -> Choice;

    /// Records that a call was sent to an upstream.
    fn record_sent(&mut self, now: Time, call: &Call, upstream: &Upstream);
}

/// Settings of the routing policy.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Load above which a call leaves the upstream with its prefix, as a multiple of the mean load.
    pub bound: f64,
    /// Maximum wait for the upstream with the prefix, in microseconds per token of the prefix.
    pub wait_us: u64,
    /// Upper limit of that wait, in milliseconds.
    pub wait_ms: u64,
    /// Slowness from which an upstream is avoided.
    pub slow: f64,
    /// Maximum number of programs whose upstream is tracked.
    pub programs: usize,
}

impl Settings {
    /// Returns the maximum wait that avoids recomputing `prefix` tokens.
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
