//! What the log received and did.

use std::collections::BTreeMap;

use serde::Serialize;

/// Books of the log.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Serialize)]
pub struct Books {
    /// Append requests that took effect.
    pub appends: u64,
    /// Records that were appended.
    pub records: u64,
    /// Append requests that were refused over the rate.
    pub limited: u64,
    /// Append requests that were failed without effect.
    pub failed: u64,
    /// Appends whose answer was lost after the effect.
    pub lost: u64,
    /// Reads that were answered.
    pub reads: u64,
    /// Records that were handed out.
    pub read_records: u64,
    /// Append requests by header `X-Zone`.
    pub zones: BTreeMap<String, u64>,
    /// Consumer instances.
    pub consumers: Consumers,
    /// Topics that were used.
    pub topics: BTreeMap<String, Topic>,
}

/// Counts of consumer instances.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Serialize)]
pub struct Consumers {
    /// Instances that exist.
    pub live: u64,
    /// Instances that were made.
    pub created: u64,
    /// Instances that clients deleted.
    pub deleted: u64,
    /// Instances that were removed because they were idle.
    pub expired: u64,
}

/// Offsets of a topic.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Serialize)]
pub struct Topic {
    /// First kept offset and end offset of each partition.
    pub partitions: Vec<(u64, u64)>,
}
