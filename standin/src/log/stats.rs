//! Statistics of the log.

use std::collections::BTreeMap;

use serde::Serialize;

/// Statistics of the log.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Serialize)]
pub struct Stats {
    /// Append requests that took effect.
    pub appends: u64,
    /// Appended records.
    pub records: u64,
    /// Append requests refused because of the rate limit.
    pub limited: u64,
    /// Append requests failed by a fault, without effect.
    pub failed: u64,
    /// Appends that took effect and whose response was lost.
    pub lost: u64,
    /// Answered reads.
    pub reads: u64,
    /// Records returned by reads.
    pub read_records: u64,
    /// Append requests by the value of the header `X-Zone`.
    pub zones: BTreeMap<String, u64>,
    /// Consumer instances.
    pub consumers: Consumers,
    /// Offsets of the topics in use.
    pub topics: BTreeMap<String, Topic>,
}

/// Number of consumer instances.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Serialize)]
pub struct Consumers {
    /// Existing instances.
    pub live: u64,
    /// Created instances.
    pub created: u64,
    /// Instances deleted by clients.
    pub deleted: u64,
    /// Instances removed because they were idle.
    pub expired: u64,
}

/// Offsets of a topic.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Serialize)]
pub struct Topic {
    /// First retained offset and end offset of each partition.
    pub partitions: Vec<(u64, u64)>,
}
