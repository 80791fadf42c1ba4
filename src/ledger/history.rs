//! Reads texts of programs' turns from the log.

use std::sync::Arc;

use thiserror::Error;
use tokio::{
    sync::{
        mpsc,
        oneshot, //
    },
    time::sleep,
};

use crate::{
    ledger::{
        backoff::Backoff,
        codec,
        record::{
            Body,
            Turn, //
        },
        shared::Shared,
        writer::with_timeout,
        Entity, //
    },
    log::{
        Failure,
        Log, //
    },
    name::Program,
};

/// Maximum number of attempts of one read before the history counts as unavailable.
const MAX_READ_ATTEMPTS: u32 = 4;

/// Reason why a history can't be returned.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Error)]
pub enum Error {
    /// The program is not active.
    #[error("program is not active")]
    NotActive,
    /// Some of the history has to be read from the log, and the read failed.
    #[error("history is not available: {0}")]
    Unavailable(String),
}

/// A turn whose text has to be read, and the offset of its record.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Location {
    pub(crate) index: u32,
    pub(crate) offset: u64,
}

/// Turns with their numbers.
pub(crate) type Turns = Vec<(u32, Arc<Turn>)>;

/// Request for the texts of some turns of a program.
#[derive(Debug)]
pub(crate) struct Fetch {
    pub(crate) program: Program,
    pub(crate) locations: Vec<Location>,
    pub(crate) reply: oneshot::Sender<Result<Turns, Failure>>,
}

/// Work for a [`Reader`].
#[derive(Debug)]
pub(crate) enum Job {
    Fetch(Fetch),
    /// Returns the offset after the last record that the log holds now.
    End(oneshot::Sender<Result<u64, Failure>>),
}

/// Reads older records of one partition.
pub(crate) struct Reader<L> {
    log: Arc<L>,
    shared: Arc<Shared>,
    partition: u32,
    jobs: mpsc::Receiver<Job>,
}

impl<L: Log> Reader<L> {
    pub(crate) fn new(
        log: Arc<L>,
        shared: Arc<Shared>,
        partition: u32,
        jobs: mpsc::Receiver<Job>,
    ) -> Self {
        Self {
            log,
            shared,
            partition,
            jobs,
        }
    }

    pub(crate) async fn run(mut self) {
        while let Some(job) = self.jobs.recv().await {
            // The requester may have been cancelled.
            match job {
                Job::Fetch(fetch) if !fetch.reply.is_closed() => {
                    let found = self.fetch(&fetch.program, fetch.locations).await;
                    let _ = fetch.reply.send(found);
                }
                Job::End(reply) if !reply.is_closed() => {
                    let limit = self.shared.settings.operation_timeout;
                    let bounds = with_timeout(limit, self.log.bounds(self.partition)).await;
                    let _ = reply.send(bounds.map(|bounds| bounds.end));
                }
                Job::Fetch(_) | Job::End(_) => {}
            }
        }
    }

    async fn fetch(
        &self,
        program: &Program,
        mut locations: Vec<Location>,
    ) -> Result<Turns, Failure> {
        locations.sort_by_key(|location| location.offset);
        let mut found = Vec::with_capacity(locations.len());
        let mut remaining = locations.as_slice();
        while let Some(first) = remaining.first() {
            let batch = self.read(first.offset).await?;
            for (offset, bytes) in &batch.records {
                let count = remaining
                    .iter()
                    .take_while(|location| location.offset == *offset)
                    .count();
                let (matching, after) = remaining.split_at(count);
                remaining = after;
                if !matching.is_empty() {
                    extract(bytes, program, matching, &mut found)?;
                }
            }
        }
        Ok(found)
    }

    /// Reads a batch that begins with the record at `from`.
    async fn read(&self, from: u64) -> Result<crate::log::Batch, Failure> {
        let settings = &self.shared.settings;
        let mut backoff = Backoff::new(settings.min_backoff, settings.max_backoff);
        let mut failure = Failure::Unknown("no record at the requested offset".into());
        for _ in 0..MAX_READ_ATTEMPTS {
            let read = self.log.read(self.partition, from, settings.poll_timeout);
            match with_timeout(settings.operation_timeout + settings.poll_timeout, read).await {
                Ok(batch) if batch.records.first().is_some_and(|(at, _)| *at == from) => {
                    return Ok(batch);
                }
                Ok(_) => {}
                Err(expired @ Failure::Expired { .. }) => return Err(expired),
                Err(other) => failure = other,
            }
            sleep(backoff.delay()).await;
        }
        Err(failure)
    }
}

/// Extracts the requested turns from a record.
fn extract(
    bytes: &[u8],
    program: &Program,
    locations: &[Location],
    found: &mut Turns,
) -> Result<(), Failure> {
    let invalid = || Failure::Unknown("record does not contain the requested turn".into());
    let record = codec::decode(bytes).map_err(|_| invalid())?;
    for Location { index, .. } in locations {
        let turn = find_turn(&record.body, program, *index).ok_or_else(invalid)?;
        found.push((*index, turn));
    }
    Ok(())
}

fn find_turn(body: &Body, name: &Program, number: u32) -> Option<Arc<Turn>> {
    match body {
        Body::Turn {
            program,
            index,
            turn,
        } => (program == name && *index == number).then(|| turn.clone()),
        Body::Snapshot { entity, .. } => match &**entity {
            Entity::Texts {
                program,
                first,
                turns,
            } if program == name => {
                let position = number.checked_sub(*first)?;
                turns.get(position as usize).map(|(_, turn)| turn.clone())
            }
            _ => None,
        },
        _ => None,
    }
}
