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
        health::Part,
        record::{
            Body,
            Record, //
        },
        shared::Shared,
        writer::limit,
        Outcome, //
    },
    log::{
        Batch,
        Failure,
        Log, //
    },
};

/// Maximum number of records applied under one lock, which bounds how long readers of the state wait.
const CHUNK: usize = 128;

/// Consecutive reads without records after which the end counts as reached although the log's end
/// offset is higher; offsets may have gaps.
const EMPTY_READS: u32 = 3;

/// Follower of one partition.
pub(crate) struct Follower<L> {
    log: Arc<L>,
    shared: Arc<Shared>,
    partition: u32,
    backoff: Backoff,
    /// Offset up to which the partition has to be read before the state counts as caught up.
    target: Option<u64>,
    empty: u32,
}

impl<L: Log> Follower<L> {
    pub(crate) fn new(log: Arc<L>, shared: Arc<Shared>, partition: u32) -> Self {
        let backoff = Backoff::new(shared.settings.backoff, shared.settings.backoff_most);
        Self {
            log,
            shared,
            partition,
            backoff,
            target: None,
            empty: 0,
        }
    }

    pub(crate) async fn run(mut self) {
        let shared = self.shared.clone();
        let health = &shared.lane(self.partition).health;
        loop {
            match self.step().await {
                Ok(()) => {
                    health.succeeded(Part::Follower);
                    self.backoff.reset();
                }
                Err(Failure::Expired { begin }) => self.lapse(begin),
                Err(failure) => {
                    health.failed(Part::Follower, Instant::now());
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
            let bounds = limit(settings.step, self.log.bounds(self.partition)).await?;
            self.target = Some(bounds.end);
        }
        let from = self.shared.state().applied(self.partition);
        let read = self.log.read(self.partition, from, settings.poll);
        let batch = limit(settings.step + settings.poll, read).await?;
        self.empty = match batch.records.is_empty() {
            true => self.empty + 1,
            false => 0,
        };
        self.apply(batch);
        let applied = self.shared.state().applied(self.partition);
        let reached = self.target.is_some_and(|target| applied >= target);
        if reached || self.empty >= EMPTY_READS {
            self.shared.set_caught_up(self.partition, true);
        }
        Ok(())
    }

    /// Continues at the first retained record after earlier ones expired before they were read.
    fn lapse(&mut self, begin: u64) {
        let partition = self.partition;
        if self.shared.state().applied(partition) >= begin {
            // An import advanced the state during the read.
            return;
        }
        log::warn!(
            "ledger: records of partition {partition} before offset {begin} expired before they \
             were read; continuing at that offset, and accounts wait for their snapshots"
        );
        self.shared.state_mut().lapse(partition, begin);
        self.shared.set_caught_up(partition, false);
        self.target = None;
    }

    fn apply(&self, batch: Batch) {
        for chunk in batch.records.chunks(CHUNK) {
            let decoded: Vec<_> = chunk.iter().map(decode).collect();
            self.apply_chunk(decoded);
        }
        self.shared.publish_applied();
    }

    fn apply_chunk(&self, chunk: Vec<(u64, Option<Record>)>) {
        let mut decided = Vec::with_capacity(chunk.len());
        {
            let mut state = self.shared.state_mut();
            for (offset, record) in chunk {
                // An import may have advanced the state beyond the read.
                if offset < state.applied(self.partition) {
                    continue;
                }
                match state.apply_at(self.partition, offset, record.as_ref()) {
                    Some(outcome) => decided.extend(record.map(|record| (record, outcome))),
                    None => log::error!(
                        "ledger: record at offset {offset} is malformed or of another partition; \
                         skipped"
                    ),
                }
            }
        }
        for (record, outcome) in decided {
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
        let queue = &self.shared.lane(self.partition).queue;
        queue.resolve(&record.id, outcome);
    }
}

fn decode((offset, bytes): &(u64, Bytes)) -> (u64, Option<Record>) {
    (*offset, codec::decode(bytes).ok())
}
