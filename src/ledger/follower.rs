//! Applies the records of a partition in log order.

use std::{
    sync::Arc,
    time::Instant, //
};

use bytes::Bytes;
use tokio::time::sleep;

use crate::{
    ledger::{
        backoff::Backoff,
        codec,
        health::Task,
        record::{
            Body,
            Record, //
        },
        shared::Shared,
        writer::with_timeout,
        Outcome, //
    },
    log::{
        Batch,
        Failure,
        Log, //
    },
};

/// Maximum number of records applied under one lock; bounds how long readers of the state wait.
const CHUNK_RECORDS: usize = 128;

/// Consecutive reads without records after which the end counts as reached although the log's end
/// offset is higher; offsets may have gaps.
const MAX_EMPTY_READS: u32 = 3;

/// Follower of one partition.
pub(crate) struct Follower<L> {
    log: Arc<L>,
    shared: Arc<Shared>,
    partition: u32,
    backoff: Backoff,
    /// Offset up to which the partition has to be read before the state counts as caught up.
    target: Option<u64>,
    empty_reads: u32,
}

impl<L: Log> Follower<L> {
    pub(crate) fn new(log: Arc<L>, shared: Arc<Shared>, partition: u32) -> Self {
        let backoff = Backoff::new(shared.settings.min_backoff, shared.settings.max_backoff);
        Self {
            log,
            shared,
            partition,
            backoff,
            target: None,
            empty_reads: 0,
        }
    }

    pub(crate) async fn run(mut self) {
        let shared = self.shared.clone();
        let health = &shared.partition(self.partition).health;
        loop {
            match self.step().await {
                Ok(()) => {
                    health.succeeded(Task::Follower);
                    self.backoff.reset();
                }
                Err(Failure::Expired { begin }) => self.skip_expired(begin),
                Err(failure) => {
                    health.failed(Task::Follower, Instant::now());
                    let partition = self.partition;
                    log::warn!("ledger: read of partition {partition} failed: {failure}; retrying");
                    sleep(self.backoff.delay()).await;
                }
            }
        }
    }

    async fn step(&mut self) -> Result<(), Failure> {
        let settings = &self.shared.settings;
        if self.target.is_none() {
            let bounds =
                with_timeout(settings.operation_timeout, self.log.bounds(self.partition)).await?;
            self.target = Some(bounds.end);
        }
        let from = self.shared.state().applied(self.partition);
        let read = self.log.read(self.partition, from, settings.poll_timeout);
        let batch = with_timeout(settings.operation_timeout + settings.poll_timeout, read).await?;
        self.empty_reads = match batch.records.is_empty() {
            true => self.empty_reads + 1,
            false => 0,
        };
        self.apply(batch);
        let applied = self.shared.state().applied(self.partition);
        let reached = self.target.is_some_and(|target| applied >= target);
        if reached || self.empty_reads >= MAX_EMPTY_READS {
            self.shared.set_caught_up(self.partition, true);
        }
        Ok(())
    }

    /// Continues at the first retained record after earlier ones expired before they were read.
    fn skip_expired(&mut self, begin: u64) {
        let partition = self.partition;
        if self.shared.state().applied(partition) >= begin {
            // An import advanced the state during the read.
            return;
        }
        log::warn!(
            "ledger: records of partition {partition} before offset {begin} expired before they \
             were read; continuing at that offset, and accounts wait for their snapshots"
        );
        self.shared.state_mut().skip_to(partition, begin);
        self.shared.set_caught_up(partition, false);
        self.target = None;
    }

    fn apply(&self, batch: Batch) {
        for chunk in batch.records.chunks(CHUNK_RECORDS) {
            let decoded: Vec<_> = chunk.iter().map(decode).collect();
            self.apply_chunk(decoded);
        }
        self.shared.publish_applied();
    }

    fn apply_chunk(&self, chunk: Vec<(u64, Option<Record>)>) {
        let mut applied = Vec::with_capacity(chunk.len());
        {
            let mut state = self.shared.state_mut();
            for (offset, record) in chunk {
                // An import may have advanced the state beyond the read.
                if offset < state.applied(self.partition) {
                    continue;
                }
                match state.apply_at(self.partition, offset, record.as_ref()) {
                    Some(outcome) => applied.extend(record.map(|record| (record, outcome))),
                    None => log::error!(
                        "ledger: record at offset {offset} is malformed or of another partition; \
                         skipped"
                    ),
                }
            }
        }
        for (record, outcome) in applied {
            self.resolve(&record, outcome);
        }
    }

    fn resolve(&self, record: &Record, outcome: Outcome) {
        if let (
            Outcome::Accepted,
            Body::Turn {
                program,
                index,
                turn,
            },
        ) = (&outcome, &record.body)
        {
            self.shared.cache().insert(program, *index, turn);
        }
        let queue = &self.shared.partition(self.partition).queue;
        queue.resolve(&record.id, outcome);
    }
}

fn decode((offset, bytes): &(u64, Bytes)) -> (u64, Option<Record>) {
    (*offset, codec::decode(bytes).ok())
}
