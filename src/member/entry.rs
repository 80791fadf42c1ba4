//! What instances tell each other about instances and upstreams.

use std::sync::Arc;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::name::{
    Instance,
    Pool,
    Upstream,
    Zone, //
};

/// State of an instance, in the order in which a later one overrides an earlier one.
///
/// [`State::Gone`] is decided by each instance on its own and is never sent: a suspicion that
/// spreads gives an instance that is alive the time to refute it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub enum State {
    /// It serves.
    #[serde(rename = "l")]
    Live,
    /// An instance could not reach it.
    #[serde(rename = "s")]
    Suspected,
    /// It takes no new work and is about to stop.
    #[serde(rename = "v")]
    Leaving,
    /// It did not refute a suspicion in time, or it stopped after it was leaving.
    #[serde(rename = "g")]
    Gone,
}

/// What is known about an instance.
///
/// Entries are ordered by incarnation, then state; the greater one wins.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct Entry {
    /// Name of the instance.
    #[serde(rename = "n")]
    pub instance: Instance,
    /// Start time in seconds, raised by the instance itself to refute a suspicion; 0 if only the
    /// platform's list names the instance.
    #[serde(rename = "i", default)]
    pub incarnation: u64,
    /// State of that incarnation.
    #[serde(rename = "s")]
    pub state: State,
    /// Availability zone.
    #[serde(rename = "z")]
    pub zone: Zone,
    /// Address of the peer port.
    #[serde(rename = "a")]
    pub address: Arc<str>,
}

impl Entry {
    /// Returns the entry as other instances are told it.
    pub fn told(&self) -> Self {
        let state = match self.state {
            State::Gone => State::Suspected,
            state => state,
        };
        Self {
            state,
            ..self.clone()
        }
    }
}

/// Whether an upstream is leaving.
///
/// Entries of one upstream are ordered by version, then leaving; the greater one wins.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct Departure {
    /// Pool of the upstream.
    #[serde(rename = "p")]
    pub pool: Pool,
    /// Name of the upstream.
    #[serde(rename = "u")]
    pub upstream: Upstream,
    /// Time of the upstream's own report in microseconds, so that reports seen by different
    /// instances are ordered by one clock.
    #[serde(rename = "v")]
    pub version: u64,
    /// Whether it is leaving.
    #[serde(rename = "l")]
    pub leaving: bool,
}
