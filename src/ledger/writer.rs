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
        health::Part,
        queue::Entry, //
        shared::Shared,
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
    last: Option<Instant>,
}

impl<L: Log> Writer<L> {
    pub(crate) fn new(log: Arc<L>, shared: Arc<Shared>, partition: u32) -> Self {
        let backoff = Backoff::new(shared.settings.backoff, shared.settings.backoff_most);
        Self {
            log,
            shared,
            partition,
            backoff,
            last: None,
        }
    }

    pub(crate) async fn run(mut self) {
        let shared = self.shared.clone();
        let lane = shared.lane(self.partition);
        let settings = &shared.settings;
        loop {
            lane.queue.filled().await;
            self.pace().await;
            let batch = lane
                .queue
                .take(settings.batch_records, settings.batch_bytes);
            if !batch.is_empty() {
                self.write(batch).await;
            }
            lane.queue.done();
        }
    }

    /// Waits until the interval since the last append has passed.
    async fn pace(&mut self) {
        if let Some(last) = self.last {
            sleep(self.shared.interval().saturating_sub(last.elapsed())).await;
        }
        self.last = Some(Instant::now());
    }

    /// Appends a batch, with retries until each of its records is in the log or abandoned.
    async fn write(&mut self, mut batch: Vec<Entry>) {
        let shared = self.shared.clone();
        let lane = shared.lane(self.partition);
        loop {
            let start = Instant::now();
            let Err(failure) = self.append(&batch).await else {
                lane.health.succeeded(Part::Writer);
                self.backoff.reset();
                for entry in &batch {
                    lane.queue.stored(entry);
                }
                return;
            };
            let unknown = !matches!(failure, Failure::NotApplied(_));
            for entry in &mut batch {
                entry.failed(unknown);
            }
            self.fail(&failure, start).await;
            if unknown {
                self.settle().await;
            }
            batch.retain(|entry| self.is_wanted(entry));
            if batch.is_empty() {
                return self.probe().await;
            }
            self.pace().await;
        }
    }

    async fn append(&self, batch: &[Entry]) -> Result<u64, Failure> {
        let records: Vec<Bytes> = batch.iter().map(|entry| entry.bytes.clone()).collect();
        let append = self.log.append(self.partition, &records);
        limit(self.shared.settings.step, append).await
    }

    /// Returns whether a record has to be appended again; if so, marks it as sent.
    fn is_wanted(&self, entry: &Entry) -> bool {
        let queue = &self.shared.lane(self.partition).queue;
        if entry.later && !queue.is_open(&entry.id) {
            queue.stored(entry);
            return false;
        }
        entry.later || (queue.is_open(&entry.id) && entry.send())
    }

    /// Records a failure and waits for the backoff delay.
    async fn fail(&mut self, failure: &Failure, start: Instant) {
        let partition = self.partition;
        let health = &self.shared.lane(partition).health;
        health.failed(Part::Writer, start);
        log::warn!(
            "ledger: append to partition {partition} failed: {failure}; \
             waiting before the next attempt"
        );
        sleep(self.backoff.delay()).await;
    }

    /// Waits until the follower has read up to the current end of the log, which resolves the
    /// records of an append with an unknown outcome that took effect.
    async fn settle(&self) {
        let step = self.shared.settings.step;
        let Ok(bounds) = limit(step, self.log.bounds(self.partition)).await else {
            return;
        };
        let mut applied = self.shared.applied.subscribe();
        let partition = self.partition as usize;
        let read = applied.wait_for(|applied| applied[partition] >= bounds.end);
        // Retrying with the same id is safe, so that the wait for a slow follower is bounded.
        let _ = timeout(step, read).await;
    }

    /// Waits until the log responds again after a failure, while the queue is empty.
    async fn probe(&mut self) {
        let lane = self.shared.clone();
        let lane = lane.lane(self.partition);
        loop {
            let start = Instant::now();
            let bounds = self.log.bounds(self.partition);
            match limit(self.shared.settings.step, bounds).await {
                Ok(_) => break,
                Err(failure) => self.fail(&failure, start).await,
            }
            if !lane.queue.is_empty() {
                return;
            }
        }
        lane.health.succeeded(Part::Writer);
        self.backoff.reset();
    }
}

/// Runs an operation on the log with a timeout.
pub(crate) async fn limit<T>(
    most: Duration,
    operation: impl Future<Output = Result<T, Failure>>,
) -> Result<T, Failure> {
    match timeout(most, operation).await {
        Ok(result) => result,
        Err(_) => Err(Failure::Unknown("no response within the timeout".into())),
    }
}
