//! State shared by the handles and the tasks of a ledger.

use std::{
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Mutex,
        MutexGuard,
        RwLock,
        RwLockReadGuard,
        RwLockWriteGuard, //
    },
    time::Duration,
};

use tokio::sync::{
    mpsc,
    watch, //
};

use crate::ledger::{
    cache::Cache,
    health::Health,
    history::Job,
    queue::Queue,
    settings::Settings,
    state::{
        Horizon,
        State, //
    },
};

/// Maximum number of requests for texts per partition that wait for the reader.
const MAX_QUEUED_JOBS: usize = 256;

/// Shared state of one partition.
#[derive(Debug)]
pub(crate) struct Partition {
    pub(crate) queue: Queue,
    pub(crate) health: Health,
    pub(crate) jobs: mpsc::Sender<Job>,
}

/// State shared by the handles and the tasks of a ledger.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    state: RwLock<State>,
    cache: Mutex<Cache>,
    pub(crate) partitions: Vec<Partition>,
    /// Minimum interval between two appends to a partition, in microseconds.
    interval: AtomicU64,
    /// Offset of the next record of each partition.
    pub(crate) applied: watch::Sender<Vec<u64>>,
    /// Whether each partition has all records that the log had when the ledger started.
    pub(crate) caught_up: watch::Sender<Vec<bool>>,
}

impl Shared {
    /// Also returns the receivers of requests for texts, one per partition.
    pub(crate) fn new(settings: Settings) -> (Self, Vec<mpsc::Receiver<Job>>) {
        let count = settings.partitions.max(1);
        let partition = |_| {
            let (jobs, receiver) = mpsc::channel(MAX_QUEUED_JOBS);
            let partition = Partition {
                queue: Queue::default(),
                health: Health::new(settings.failure_detection),
                jobs,
            };
            (partition, receiver)
        };
        let (partitions, receivers) = (0..count).map(partition).unzip();
        let horizon = Horizon {
            tombstone_retention: settings.tombstone_retention,
            retention: settings.retention,
        };
        let shared = Self {
            state: RwLock::new(State::new(count, horizon)),
            cache: Mutex::new(Cache::new(settings.cache_bytes)),
            partitions,
            interval: AtomicU64::new(settings.interval.as_micros() as u64),
            applied: watch::Sender::new(vec![0; count as usize]),
            caught_up: watch::Sender::new(vec![false; count as usize]),
            settings,
        };
        (shared, receivers)
    }

    pub(crate) fn state(&self) -> RwLockReadGuard<'_, State> {
        self.state.read().unwrap_or_else(|p| p.into_inner())
    }

    pub(crate) fn state_mut(&self) -> RwLockWriteGuard<'_, State> {
        self.state.write().unwrap_or_else(|p| p.into_inner())
    }

    pub(crate) fn cache(&self) -> MutexGuard<'_, Cache> {
        self.cache.lock().unwrap_or_else(|p| p.into_inner())
    }

    pub(crate) fn partition(&self, partition: u32) -> &Partition {
        &self.partitions[partition as usize]
    }

    pub(crate) fn interval(&self) -> Duration {
        Duration::from_micros(self.interval.load(Ordering::Relaxed))
    }

    pub(crate) fn set_interval(&self, interval: Duration) {
        let micros = interval.as_micros() as u64;
        self.interval.store(micros, Ordering::Relaxed);
    }

    /// Publishes the offsets up to which the state has been applied.
    pub(crate) fn publish_applied(&self) {
        let state = self.state();
        let offsets = (0..state.partitions()).map(|partition| state.applied(partition));
        let offsets: Vec<_> = offsets.collect();
        drop(state);
        self.applied.send_if_modified(|applied| {
            let changed = *applied != offsets;
            *applied = offsets;
            changed
        });
    }

    pub(crate) fn set_caught_up(&self, partition: u32, value: bool) {
        self.caught_up.send_if_modified(|caught_up| {
            let caught_up = &mut caught_up[partition as usize];
            let changed = *caught_up != value;
            *caught_up = value;
            changed
        });
    }
}
