//! Appends queued records in batches.

use std::{
    future::Future,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
use tokio::time::{
    sleep,
    timeout, //
};

use crate::{
    ledger::{
        backoff::Backoff,
        health::Task,
        queue::Entry,
        shared::Shared, //
    },
    log::{
        Failure,
        Log, //
    },
};

/// Writer of one partition; it has at most one append in flight.
pub(crate) struct Writer<L> {
    log: Arc<L>,
    shared: Arc<Shared>,
    partition: u32,
    backoff: Backoff,
    last_append: Option<Instant>,
}

impl<L: Log> Writer<L> {
    pub(crate) fn new(log: Arc<L>, shared: Arc<Shared>, partition: u32) -> Self {
        let backoff = Backoff::new(shared.settings.min_backoff, shared.settings.max_backoff);
        Self {
            log,
            shared,
            partition,
            backoff,
            last_append: None,
        }
    }

    pub(crate) async fn run(mut self) {
        let shared = self.shared.clone();
        let partition = shared.partition(self.partition);
        let settings = &shared.settings;
        loop {
            partition.queue.wait_nonempty().await;
            self.wait_interval().await;
            let batch = partition
                .queue
                .take(settings.batch_records, settings.batch_bytes);
            if !batch.is_empty() {
                self.write(batch).await;
            }
            partition.queue.finish_batch();
        }
    }

    /// Waits until the interval since the last append has passed.
    async fn wait_interval(&mut self) {
        if let Some(last_append) = self.last_append {
            sleep(self.shared.interval().saturating_sub(last_append.elapsed())).await;
        }
        self.last_append = Some(Instant::now());
    }

    /// Appends a batch, with retries until each of its records is in the log or abandoned.
    async fn write(&mut self, mut batch: Vec<Entry>) {
        let shared = self.shared.clone();
        let partition = shared.partition(self.partition);
        loop {
            let start = Instant::now();
            let Err(failure) = self.append(&batch).await else {
                partition.health.succeeded(Task::Writer);
                self.backoff.reset();
                for entry in &batch {
                    partition.queue.stored(entry);
                }
                return;
            };
            let unknown = !matches!(failure, Failure::NotApplied(_));
            for entry in &mut batch {
                entry.failed(unknown);
            }
            self.back_off(&failure, start).await;
            if unknown {
                self.wait_for_follower().await;
            }
            batch.retain(|entry| self.needs_append(entry));
            if batch.is_empty() {
                return self.probe().await;
            }
            self.wait_interval().await;
        }
    }

    async fn append(&self, batch: &[Entry]) -> Result<u64, Failure> {
        let records: Vec<Bytes> = batch.iter().map(|entry| entry.bytes.clone()).collect();
        let append = self.log.append(self.partition, &records);
        with_timeout(self.shared.settings.operation_timeout, append).await
    }

    /// Returns whether a record has to be appended again; if so, marks it as sent.
    fn needs_append(&self, entry: &Entry) -> bool {
        let queue = &self.shared.partition(self.partition).queue;
        if entry.deferred && !queue.is_open(&entry.id) {
            queue.stored(entry);
            return false;
        }
        entry.deferred || (queue.is_open(&entry.id) && entry.mark_sent())
    }

    /// Records a failure and waits for the backoff delay.
    async fn back_off(&mut self, failure: &Failure, start: Instant) {
        let partition = self.partition;
        let health = &self.shared.partition(partition).health;
        health.failed(Task::Writer, start);
        log::warn!(
            "ledger: append to or probe of partition {partition} failed: {failure}; \
             waiting before the next attempt"
        );
        sleep(self.backoff.delay()).await;
    }

    /// Waits until the follower has read up to the current end of the log, which resolves the
    /// records of an append with an unknown outcome that took effect.
    async fn wait_for_follower(&self) {
        let limit = self.shared.settings.operation_timeout;
        let Ok(bounds) = with_timeout(limit, self.log.bounds(self.partition)).await else {
            return;
        };
        let mut applied = self.shared.applied.subscribe();
        let partition = self.partition as usize;
        let read = applied.wait_for(|applied| applied[partition] >= bounds.end);
        // Retrying with the same id is safe, so that the wait for a slow follower is bounded.
        let _ = timeout(limit, read).await;
    }

    /// Probes the log after a failure until it responds or a record is queued.
    async fn probe(&mut self) {
        let shared = self.shared.clone();
        let partition = shared.partition(self.partition);
        loop {
            let start = Instant::now();
            let bounds = self.log.bounds(self.partition);
            match with_timeout(self.shared.settings.operation_timeout, bounds).await {
                Ok(_) => break,
                Err(failure) => self.back_off(&failure, start).await,
            }
            if !partition.queue.is_empty() {
                return;
            }
        }
        partition.health.succeeded(Task::Writer);
        self.backoff.reset();
    }
}

/// Runs an operation on the log with a timeout.
pub(crate) async fn with_timeout<T>(
    max: Duration,
    operation: impl Future<Output = Result<T, Failure>>,
) -> Result<T, Failure> {
    match timeout(max, operation).await {
        Ok(result) => result,
        Err(_) => Err(Failure::Unknown("no response within the timeout".into())),
    }
}
