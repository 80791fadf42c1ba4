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
    pub queue: usize,
    /// Maximum bytes per partition of records for which no commit waits.
    pub later_bytes: usize,
    /// Timeout of an operation on the log, excluding the wait of a long poll.
    pub step: Duration,
    /// Duration of consecutive failures after which the log counts as down.
    pub detection: Duration,
    /// Maximum time that a commit waits for its outcome.
    pub patience: Duration,
    /// Maximum time that a read waits for new records.
    pub poll: Duration,
    /// Minimum delay between retries while the log fails; it doubles up to `backoff_most`.
    pub backoff: Duration,
    /// Maximum delay between retries while the log fails.
    pub backoff_most: Duration,
    /// Log time for which ended programs and settled tranches are retained; it must exceed the
    /// maximum lifetime of a program.
    pub memory: Duration,
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
            queue: 10_000,
            later_bytes: 16 << 20,
            step: Duration::from_secs(2),
            detection: Duration::from_millis(500),
            patience: Duration::from_secs(5),
            poll: Duration::from_secs(1),
            backoff: Duration::from_millis(50),
            backoff_most: Duration::from_secs(2),
            memory: Duration::from_secs(2 * 3_600),
            cache_bytes: 64 << 20,
            retention: Duration::from_secs(24 * 3_600),
        }
    }
}
