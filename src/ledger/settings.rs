//! Settings of the ledger.

use std::time::Duration;

use crate::name::Instance;

/// Settings of the ledger.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Local instance, the author of its records.
    pub instance: Instance,
    /// Number of partitions of the topic.
    pub partitions: u32,
    /// Initial minimum interval between two appends to a partition; see
    /// [`super::Ledger::set_interval`].
    pub interval: Duration,
    /// Maximum number of records of one append.
    pub batch_records: usize,
    /// Maximum bytes of one append, and therefore of one record.
    pub batch_bytes: usize,
    /// Maximum number of records per partition that wait for an append.
    pub max_queued_records: usize,
    /// Maximum bytes per partition of records for which no commit waits.
    pub deferred_bytes: usize,
    /// Timeout of an operation on the log, excluding the wait of a long poll.
    pub operation_timeout: Duration,
    /// Duration of consecutive failures after which the log counts as down.
    pub failure_detection: Duration,
    /// Maximum time that a commit waits for its outcome.
    pub commit_timeout: Duration,
    /// Maximum time that a read waits for new records.
    pub poll_timeout: Duration,
    /// Minimum delay between retries while the log fails; it doubles up to `max_backoff`.
    pub min_backoff: Duration,
    /// Maximum delay between retries while the log fails.
    pub max_backoff: Duration,
    /// Log time for which ended programs and settled tranches are retained; it must exceed the
    /// maximum lifetime of a program.
    pub tombstone_retention: Duration,
    /// Maximum bytes of turns' texts that are cached in memory.
    pub cache_bytes: usize,
    /// Retention of the log's records.
    pub retention: Duration,
}

impl Settings {
    /// Returns the defaults for an instance.
    pub fn new(instance: Instance) -> Self {
        Self {
            instance,
            partitions: 1,
            interval: Duration::from_millis(77),
            batch_records: 500,
            batch_bytes: 512 << 10,
            max_queued_records: 10_000,
            deferred_bytes: 16 << 20,
            operation_timeout: Duration::from_secs(2),
            failure_detection: Duration::from_millis(500),
            commit_timeout: Duration::from_secs(5),
            poll_timeout: Duration::from_secs(1),
            min_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(2),
            tombstone_retention: Duration::from_secs(2 * 3_600),
            cache_bytes: 64 << 20,
            retention: Duration::from_secs(24 * 3_600),
        }
    }
}
