//! What operators see of a pool.

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::name::{
    Customer,
    Upstream, //
};

/// State of a pool.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Stats {
    /// Calls that wait, by customer.
    pub queues: BTreeMap<Customer, usize>,
    /// Upstreams by name.
    pub upstreams: BTreeMap<Upstream, Member>,
    /// Number of decisions by reason.
    pub decisions: BTreeMap<String, u64>,
}

/// State of an upstream.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Member {
    /// Calls in flight.
    pub running: u32,
    /// Requests that the upstream gets at a time now, those that are not ours included.
    pub window: u32,
    /// Requests that are not ours, as inferred from reports.
    pub foreign: u32,
    /// Observed slowness against the rest of the pool; 1 is normal.
    pub slowness: f64,
    /// Whether the upstream gets no new calls because it is leaving.
    pub leaving: bool,
}
