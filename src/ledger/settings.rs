//! Settings of the ledger.

use std::time::Duration;

use crate::name::Instance;

/// How the ledger uses the log.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This instance, the author of its records.
    pub instance: Instance,
    /// Number of partitions of the topic.
    pub partitions: u32,
    /// Shortest time between two appends to a partition at the start; see [`super::Ledger::set_interval`].
    pub interval: Duration,
    /// Most records of one append.
    pub batch_records: usize,
    /// Most bytes of one append, and so of one record.
    pub batch_bytes: usize,
    /// Most records per partition that wait for an append.
    pub queue: usize,
    /// Most bytes per partition of records for which nobody waits.
    pub later_bytes: usize,
    /// Longest time that an operation on the log may take, long polls' waiting excluded.
    pub step: Duration,
    /// Time of failures in a row after which the log counts as down.
    pub detection: Duration,
    /// Longest time that a commit waits for its outcome.
    pub patience: Duration,
    /// Longest time that a read waits for new records.
    pub poll: Duration,
    /// Shortest delay between tries while the log fails; it doubles up to `backoff_most`.
    pub backoff: Duration,
    /// Longest delay between tries while the log fails.
    pub backoff_most: Duration,
    /// Log time for which ended programs and settled tranches are remembered; it must exceed the
    /// longest life of a program.
    pub memory: Duration,
    /// Most bytes of turns' texts that are kept in memory.
    pub cache_bytes: usize,
    /// Time for which the log keeps records.
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
