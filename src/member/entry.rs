//! Entries about instances and upstreams that instances exchange.

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
/// Each instance decides [`State::Gone`] locally and never sends it: a suspicion that spreads
/// gives an instance that is alive the time to refute it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub enum State {
    /// The instance serves requests.
    #[serde(rename = "l")]
    Live,
    /// At least one other instance failed to reach it.
    #[serde(rename = "s")]
    Suspected,
    /// It accepts no new work and is about to stop.
    #[serde(rename = "v")]
    Leaving,
    /// It did not refute a suspicion in time, or it stopped after leaving.
    #[serde(rename = "g")]
    Gone,
}

/// State of an instance, as instances exchange it.
///
/// Entries are ordered by incarnation, then state; the greater one wins.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct Entry {
    /// Name of the instance.
    #[serde(rename = "n")]
    pub instance: Instance,
    /// Start time in Unix seconds, raised by the instance itself to refute a suspicion; 0 if the
    /// instance is known only from the platform's list.
    #[serde(rename = "i", default)]
    pub incarnation: u64,
    /// State of this incarnation.
    #[serde(rename = "s")]
    pub state: State,
    /// Availability zone.
    #[serde(rename = "z")]
    pub zone: Zone,
    /// Address of the peer port.
    #[serde(rename = "a")]
    pub address: Arc<str>,
    /// Processor capacity in thousandths of a core; 0 if unknown.
    #[serde(rename = "c", default, skip_serializing_if = "is_default")]
    pub capacity: u32,
    /// Start of the process in Unix milliseconds; 0 if unknown. Unlike the incarnation, it only
    /// changes with a restart.
    #[serde(rename = "b", default, skip_serializing_if = "is_default")]
    pub started: u64,
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

impl Entry {
    /// Returns the entry as it is sent to other instances: gone is sent as suspected.
    pub fn for_peers(&self) -> Self {
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
    /// Time of the report by the upstream's clock in Unix microseconds, so that reports seen by
    /// different instances are ordered by one clock.
    #[serde(rename = "v")]
    pub version: u64,
    /// Whether the upstream is leaving.
    #[serde(rename = "l")]
    pub leaving: bool,
}
