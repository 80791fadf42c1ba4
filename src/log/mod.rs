//! Interface of the platform's append-only log, the only source of agreement and durability.

pub mod kafka;
pub mod memory;

use std::time::Duration;

use bytes::Bytes;
use thiserror::Error;

/// Consecutive records of one partition.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Batch {
    /// Records with their offsets, in ascending order; offsets may have gaps.
    pub records: Vec<(u64, Bytes)>,
    /// Offset to read from next.
    pub next: u64,
}

/// Current range of offsets of a partition.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bounds {
    /// Offset of the oldest retained record.
    pub begin: u64,
    /// Offset that the next record will get.
    pub end: u64,
}

/// Reason why an operation on the log failed.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Error)]
pub enum Failure {
    /// The log did not apply the operation.
    #[error("log did not apply the operation: {0}")]
    NotApplied(String),
    /// The operation may or may not have taken effect.
    #[error("outcome of the operation on the log is unknown: {0}")]
    Unknown(String),
    /// The record at the requested offset is no longer retained.
    #[error("records before offset {begin} have expired")]
    Expired {
        /// Offset of the oldest retained record.
        begin: u64,
    },
}

/// An append-only log with partitions and offsets.
///
/// Futures stay on the thread that created them, because the HTTP client is not `Send`.
#[allow(async_fn_in_trait)]
pub trait Log {
    /// Appends records in the given order; returns the offset of the first one.
    async fn append(&self, partition: u32, records: &[Bytes]) -> Result<u64, Failure>;

    /// Reads records from offset `from` on, and waits up to `wait` for the first one; it may return
    /// an empty batch earlier.
    async fn read(&self, partition: u32, from: u64, wait: Duration) -> Result<Batch, Failure>;

    /// Returns the range of offsets of a partition.
    async fn bounds(&self, partition: u32) -> Result<Bounds, Failure>;

    /// Drops the records before an offset; a log that can't drop them keeps them until they expire.
    async fn trim(&self, _partition: u32, _before: u64) -> Result<(), Failure> {
        Ok(())
    }
}
