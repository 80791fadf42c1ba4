//! In-process log with fault injection, for tests.

use std::{
    collections::VecDeque,
    sync::{
        Arc,
        Mutex,
        MutexGuard, //
    },
    time::Duration,
};

use bytes::Bytes;
use tokio::{
    sync::Notify,
    time::{
        sleep,
        timeout, //
    },
};

use super::{
    Batch,
    Bounds,
    Failure,
    Log, //
};

/// Maximum number of records that one read returns.
const MAX_READ_RECORDS: usize = 1_000;

/// Fault of one append.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The append is refused.
    NotApplied,
    /// The append takes effect, and the response is lost.
    ResponseLost,
    /// The response is lost, and the append takes effect after the next one.
    Late,
    /// The request is lost.
    RequestLost,
}

/// State of the connection between a handle and the log.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Service {
    /// The log responds.
    #[default]
    Up,
    /// The log refuses every operation.
    Refusing,
    /// No operation gets a response, and none takes effect.
    Unresponsive,
}

#[derive(Debug, Default)]
struct Partition {
    begin: u64,
    records: VecDeque<Bytes>,
    late: Vec<Bytes>,
}

impl Partition {
    fn end(&self) -> u64 {
        self.begin + self.records.len() as u64
    }
}

#[derive(Debug, Default)]
struct Store {
    partitions: Mutex<Vec<Partition>>,
    appended: Notify,
}

#[derive(Debug, Default)]
struct Conditions {
    faults: VecDeque<Fault>,
    service: Service,
    latency: Duration,
    appends: u64,
}

/// A handle to an in-process log.
///
/// A clone shares the faults of the original; [`Memory::share`] returns a handle with separate
/// faults.
#[derive(Clone, Debug)]
pub struct Memory {
    store: Arc<Store>,
    conditions: Arc<Mutex<Conditions>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

impl Memory {
    /// Creates an empty log.
    pub fn new(partitions: u32) -> Self {
        let store = Store::default();
        lock(&store.partitions).resize_with(partitions as usize, Partition::default);
        Self {
            store: Arc::new(store),
            conditions: Arc::default(),
        }
    }

    /// Returns another handle to the same log, with separate faults.
    pub fn share(&self) -> Self {
        Self {
            store: self.store.clone(),
            conditions: Arc::default(),
        }
    }

    /// Makes the next appends through this handle fail with these faults, in this order.
    pub fn fail(&self, faults: impl IntoIterator<Item = Fault>) {
        lock(&self.conditions).faults.extend(faults);
    }

    /// Sets the state of the connection between this handle and the log.
    pub fn set_service(&self, service: Service) {
        lock(&self.conditions).service = service;
    }

    /// Sets the delay of each operation through this handle.
    pub fn set_latency(&self, latency: Duration) {
        lock(&self.conditions).latency = latency;
    }

    /// Returns the number of attempted appends through this handle.
    pub fn appends(&self) -> u64 {
        lock(&self.conditions).appends
    }

    /// Drops the records before `begin`, as a log does when their retention has passed.
    pub fn expire(&self, partition: u32, begin: u64) {
        let mut partitions = lock(&self.store.partitions);
        let Some(stored) = partitions.get_mut(partition as usize) else {
            return;
        };
        while stored.begin < begin && stored.records.pop_front().is_some() {
            stored.begin += 1;
        }
    }

    /// Appends one record without any fault; returns its offset.
    pub fn push(&self, partition: u32, record: Bytes) -> Option<u64> {
        self.apply(partition, &[record], false).ok()
    }

    /// Returns the retained records of a partition, with their offsets.
    pub fn records(&self, partition: u32) -> Vec<(u64, Bytes)> {
        let partitions = lock(&self.store.partitions);
        let Some(stored) = partitions.get(partition as usize) else {
            return Vec::new();
        };
        (stored.begin..)
            .zip(stored.records.iter().cloned())
            .collect()
    }

    /// Waits for the latency and returns the failure caused by the state of the connection, if any.
    async fn check_service(&self) -> Result<(), Failure> {
        let latency = lock(&self.conditions).latency;
        if !latency.is_zero() {
            sleep(latency).await;
        }
        let service = lock(&self.conditions).service;
        match service {
            Service::Up => Ok(()),
            Service::Refusing => Err(Failure::NotApplied("log is down".into())),
            Service::Unresponsive => Err(Failure::Unknown("no response".into())),
        }
    }

    fn apply(&self, partition: u32, records: &[Bytes], late: bool) -> Result<u64, Failure> {
        let mut partitions = lock(&self.store.partitions);
        let Some(stored) = partitions.get_mut(partition as usize) else {
            return Err(missing(partition));
        };
        let offset = stored.end();
        if late {
            stored.late.extend_from_slice(records);
        } else {
            stored.records.extend(records.iter().cloned());
            let late = std::mem::take(&mut stored.late);
            stored.records.extend(late);
        }
        self.store.appended.notify_waiters();
        Ok(offset)
    }

    fn batch(&self, partition: u32, from: u64) -> Result<Batch, Failure> {
        let partitions = lock(&self.store.partitions);
        let stored = partitions
            .get(partition as usize)
            .ok_or_else(|| missing(partition))?;
        if from < stored.begin {
            return Err(Failure::Expired {
                begin: stored.begin,
            });
        }
        let skipped = (from - stored.begin) as usize;
        let records = stored
            .records
            .iter()
            .skip(skipped)
            .take(MAX_READ_RECORDS)
            .cloned();
        let records: Vec<_> = (from..).zip(records).collect();
        let next = records.last().map_or(from, |(offset, _)| offset + 1);
        Ok(Batch { records, next })
    }
}

fn missing(partition: u32) -> Failure {
    Failure::NotApplied(format!("partition {partition} does not exist"))
}

impl Log for Memory {
    async fn append(&self, partition: u32, records: &[Bytes]) -> Result<u64, Failure> {
        lock(&self.conditions).appends += 1;
        self.check_service().await?;
        let lost = || Failure::Unknown("response lost".into());
        let fault = lock(&self.conditions).faults.pop_front();
        match fault {
            None => self.apply(partition, records, false),
            Some(Fault::NotApplied) => Err(Failure::NotApplied("refused".into())),
            Some(Fault::ResponseLost) => {
                self.apply(partition, records, false)?;
                Err(lost())
            }
            Some(Fault::Late) => {
                self.apply(partition, records, true)?;
                Err(lost())
            }
            Some(Fault::RequestLost) => Err(lost()),
        }
    }

    async fn read(&self, partition: u32, from: u64, wait: Duration) -> Result<Batch, Failure> {
        self.check_service().await?;
        let appended = self.store.appended.notified();
        let batch = self.batch(partition, from)?;
        if !batch.records.is_empty() || wait.is_zero() {
            return Ok(batch);
        }
        // An append to another partition ends the wait early, which the trait allows.
        let _ = timeout(wait, appended).await;
        self.batch(partition, from)
    }

    async fn trim(&self, partition: u32, before: u64) -> Result<(), Failure> {
        self.check_service().await?;
        self.expire(partition, before);
        Ok(())
    }

    async fn bounds(&self, partition: u32) -> Result<Bounds, Failure> {
        self.check_service().await?;
        let partitions = lock(&self.store.partitions);
        let stored = partitions
            .get(partition as usize)
            .ok_or_else(|| missing(partition))?;
        Ok(Bounds {
            begin: stored.begin,
            end: stored.end(),
        })
    }
}
