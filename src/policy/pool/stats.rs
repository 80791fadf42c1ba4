//! State of a pool as shown to operators.

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
    /// Number of waiting calls by customer.
    pub queues: BTreeMap<Customer, usize>,
    /// State of the upstreams by name.
    pub upstreams: BTreeMap<Upstream, Member>,
    /// Number of decisions by reason.
    pub decisions: BTreeMap<String, u64>,
}

/// State of an upstream.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Member {
    /// Local calls in flight.
    pub running: u32,
    /// Concurrency limit of the upstream, requests of other clients included.
    pub window: u32,
    /// Requests of other clients, as estimated from load reports.
    pub foreign: u32,
    /// Observed slowness relative to the rest of the pool; 1 is normal.
    pub slowness: f64,
    /// Whether the upstream is leaving and gets no new calls.
    pub leaving: bool,
}
