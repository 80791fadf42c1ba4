//! Handle for committing records, reading the state and reading histories.

use std::{
    sync::{
        Arc,
        RwLockReadGuard, //
    },
    time::Duration,
};

use thiserror::Error;
use tokio::{
    sync::{
        oneshot,
        watch, //
    },
    task::spawn_local,
    time::{
        sleep,
        timeout, //
    },
};
use uuid::Uuid;

use crate::{
    clock::Time,
    ledger::{
        account::Last,
        codec,
        follower::Follower,
        history::{
            self,
            Fetch,
            Job,
            Location,
            Reader,
            Turns, //
        },
        queue::Entry,
        record::{
            Body,
            Record,
            Turn, //
        },
        settings::Settings,
        shared::{
            Partition,
            Shared, //
        },
        state::{
            partition,
            Mismatch,
            State, //
        },
        writer::Writer,
        Outcome,
    },
    log::Log,
    money::Money,
    name::{
        Customer,
        Program, //
    },
};

/// Reason why a commit has no outcome.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Error)]
pub enum Refusal {
    /// The record is certainly not in the log and will not be appended.
    #[error("log is not available")]
    NotApplied {
        /// Delay before a retry.
        retry_after: Duration,
    },
    /// The record may be in the log, or may still be appended.
    #[error("outcome of the record is unknown")]
    Unknown {
        /// Delay before a retry.
        retry_after: Duration,
    },
    /// Too many records wait for an append; the record is not in the log.
    #[error("too many records wait for an append")]
    Full {
        /// Delay before a retry.
        retry_after: Duration,
    },
    /// The record, of this size in bytes, exceeds the limit of an append.
    #[error("record of {0} bytes exceeds the limit of an append")]
    TooLarge(usize),
}

/// Handle of the ledger; clones share its state.
#[derive(Clone, Debug)]
pub struct Ledger {
    shared: Arc<Shared>,
}

impl Ledger {
    /// Starts a reader, a writer and a follower per partition on the calling thread, which must run
    /// a `LocalSet`, as an actix arbiter does.
    pub fn start<L: Log + 'static>(log: L, settings: Settings) -> Self {
        let (shared, receivers) = Shared::new(settings);
        let shared = Arc::new(shared);
        // The log's futures stay on this thread, so that the `Arc` is never sent to another one.
        #[allow(clippy::arc_with_non_send_sync)]
        let log = Arc::new(log);
        for (partition, jobs) in (0..).zip(receivers) {
            spawn_local(Reader::new(log.clone(), shared.clone(), partition, jobs).run());
            spawn_local(Writer::new(log.clone(), shared.clone(), partition).run());
            spawn_local(Follower::new(log.clone(), shared.clone(), partition).run());
        }
        Self { shared }
    }

    /// Returns the settings.
    pub fn settings(&self) -> &Settings {
        &self.shared.settings
    }

    /// Returns the state after the records applied so far.
    ///
    /// The guard blocks the follower and must not be held across an await.
    pub fn state(&self) -> RwLockReadGuard<'_, State> {
        self.shared.state()
    }

    /// Creates a record of this instance with a new identifier.
    pub fn record(&self, customer: &Customer, body: Body) -> Record {
        Record {
            id: Uuid::now_v7(),
            customer: customer.clone(),
            author: self.shared.settings.instance.clone(),
            at: Time::now(),
            body,
        }
    }

    /// Appends a record and waits until it is applied in log order.
    ///
    /// Dropping the future does not withdraw the record; the caller of a claim or a reservation has
    /// to wait for the outcome, and to [`Self::withdraw`] the record if that is unknown.
    pub async fn commit(&self, record: Record) -> Result<Outcome, Refusal> {
        let partition = self.partition(&record.customer);
        let retry_after = self.shared.settings.max_backoff;
        if partition.health.is_down() {
            return Err(Refusal::NotApplied { retry_after });
        }
        let id = record.id;
        let entry = Entry::new(id, self.encode(&record)?, false);
        let progress = entry.progress.clone();
        let Some(mut outcome) = partition
            .queue
            .push(entry, self.shared.settings.max_queued_records)
        else {
            return Err(Refusal::Full { retry_after });
        };
        let down = async {
            let commit_timeout = self.shared.settings.commit_timeout;
            let _ = timeout(commit_timeout, partition.health.wait_down()).await;
        };
        tokio::select! {
            biased;
            Ok(outcome) = &mut outcome => return Ok(outcome),
            () = down => {}
        }
        let sent = progress.abandon();
        partition.queue.abandon(&id);
        match (outcome.try_recv(), sent) {
            (Ok(outcome), _) => Ok(outcome),
            (Err(_), true) => Err(Refusal::Unknown { retry_after }),
            (Err(_), false) => Err(Refusal::NotApplied { retry_after }),
        }
    }

    /// Appends a record when the log is available, in order with the other records of its
    /// partition; the record is held in memory until then.
    pub fn commit_later(&self, record: Record) -> Result<(), Refusal> {
        let partition = self.partition(&record.customer);
        let entry = Entry::new(record.id, self.encode(&record)?, true);
        let retry_after = self.shared.settings.max_backoff;
        match partition
            .queue
            .push_deferred(entry, self.shared.settings.deferred_bytes)
        {
            true => Ok(()),
            false => Err(Refusal::Full { retry_after }),
        }
    }

    /// Withdraws an unused claim or reservation whose commit had an unknown outcome.
    ///
    /// The record is appended again before its withdrawal, so that a late copy is a duplicate of
    /// it; a copy that arrived after the withdrawal alone would take effect.
    pub fn withdraw(&self, record: Record) -> Result<(), Refusal> {
        let id = record.id;
        let withdrawal = match &record.body {
            Body::Claim { program, index, .. } => Body::Void {
                program: program.clone(),
                index: *index,
                claim: id,
            },
            Body::Reserve { .. } => Body::Settle {
                tranche: id,
                spent: Money(0),
            },
            // Records of other kinds can't be withdrawn.
            _ => return Ok(()),
        };
        let withdrawal = self.record(&record.customer, withdrawal);
        self.commit_later(record)?;
        self.commit_later(withdrawal)
    }

    /// Returns the turns of an active program, in order.
    pub async fn history(&self, program: &Program) -> Result<Vec<Arc<Turn>>, history::Error> {
        let (customer, turns) = {
            let state = self.state();
            let known = state.program(program).ok_or(history::Error::NotActive)?;
            (known.customer().clone(), known.turns().to_vec())
        };
        let mut history = self.shared.cache().get(program, turns.len() as u32);
        let missing = |(index, turn): (usize, &Option<_>)| {
            turn.is_none().then(|| Location {
                index: index as u32,
                offset: turns[index].offset(),
            })
        };
        let locations: Vec<_> = history.iter().enumerate().filter_map(missing).collect();
        if !locations.is_empty() {
            for (index, turn) in self.fetch(&customer, program, locations).await? {
                self.shared.cache().insert(program, index, &turn);
                history[index as usize] = Some(turn);
            }
        }
        let complete: Option<Vec<_>> = history.into_iter().collect();
        complete
            .ok_or_else(|| history::Error::Unavailable("a turn of the history is missing".into()))
    }

    /// Returns the last turn of an ended program, with its number, until the program's tombstone
    /// expires.
    pub async fn last_turn(
        &self,
        customer: &Customer,
        program: &Program,
    ) -> Result<Option<(u32, Arc<Turn>)>, history::Error> {
        let account = |state: &State| state.account(customer).map(|a| a.last_turn(program));
        let Some(Last { index, offset }) = account(&self.state()).flatten() else {
            return Ok(None);
        };
        let cached = self.shared.cache().find(program, index);
        if let Some(turn) = cached {
            return Ok(Some((index, turn)));
        }
        let locations = vec![Location { index, offset }];
        Ok(self.fetch(customer, program, locations).await?.pop())
    }

    async fn fetch(
        &self,
        customer: &Customer,
        program: &Program,
        locations: Vec<Location>,
    ) -> Result<Turns, history::Error> {
        let (reply, found) = oneshot::channel();
        let fetch = Fetch {
            program: program.clone(),
            locations,
            reply,
        };
        let sent = self.partition(customer).jobs.try_send(Job::Fetch(fetch));
        sent.map_err(|error| history::Error::Unavailable(error.to_string()))?;
        match found.await {
            Ok(Ok(found)) => Ok(found),
            Ok(Err(failure)) => Err(history::Error::Unavailable(failure.to_string())),
            Err(_) => Err(history::Error::Unavailable("reader has stopped".into())),
        }
    }

    /// Waits up to `limit` until the state contains what the log holds now of a customer; returns
    /// whether it does.
    pub async fn catch_up(&self, customer: &Customer, limit: Duration) -> bool {
        let partitions = self.shared.partitions.len() as u32;
        let index = partition(customer, partitions);
        let mut applied = self.shared.applied.subscribe();
        let (reply, end) = oneshot::channel();
        let reached = async {
            let sent = self.shared.partition(index).jobs.try_send(Job::End(reply));
            let Ok(Ok(end)) = end.await else {
                return false;
            };
            let reached = applied.wait_for(|applied| applied[index as usize] >= end);
            sent.is_ok() && reached.await.is_ok()
        };
        timeout(limit, reached).await.unwrap_or(false)
    }

    /// Encodes the state of a partition for a starting instance.
    pub fn export(&self, partition: u32) -> Option<bytes::Bytes> {
        self.state().export(partition)
    }

    /// Replaces the state of a partition by that of a peer if it is newer.
    ///
    /// The partition counts as caught up afterwards; the caller has to check first that no
    /// reachable peer has a newer state.
    pub fn import(&self, partition: u32, bytes: bytes::Bytes) -> Result<(), Mismatch> {
        self.shared.state_mut().import(partition, &bytes)?;
        self.shared.publish_applied();
        self.shared.set_caught_up(partition, true);
        Ok(())
    }

    /// Waits up to `limit` until no record waits for an append; returns false on a timeout.
    pub async fn flush(&self, limit: Duration) -> bool {
        let idle = async {
            while !self
                .shared
                .partitions
                .iter()
                .all(|partition| partition.queue.is_idle())
            {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(limit, idle).await.is_ok()
    }

    /// Sets the minimum interval between two appends to a partition.
    ///
    /// It is `partitions * live instances / append limit`.
    pub fn set_interval(&self, interval: Duration) {
        self.shared.set_interval(interval);
    }

    /// Returns whether the log responds for every partition.
    pub fn available(&self) -> bool {
        !self
            .shared
            .partitions
            .iter()
            .any(|partition| partition.health.is_down())
    }

    /// Returns whether the log responds for the partition of a customer.
    pub fn available_for(&self, customer: &Customer) -> bool {
        !self.partition(customer).health.is_down()
    }

    /// Returns the offset of the next record of each partition.
    pub fn applied(&self) -> Vec<u64> {
        self.shared.applied.borrow().clone()
    }

    /// Returns a receiver of [`Self::applied`], notified after each batch of applied records.
    pub fn watch(&self) -> watch::Receiver<Vec<u64>> {
        self.shared.applied.subscribe()
    }

    /// Returns whether the state contains all records that the log had when the ledger started.
    pub fn caught_up(&self) -> bool {
        self.shared.caught_up.borrow().iter().all(|caught| *caught)
    }

    /// Waits until [`Self::caught_up`] is true.
    pub async fn wait_caught_up(&self) {
        let mut caught_up = self.shared.caught_up.subscribe();
        // The sender lives as long as `self`.
        let _ = caught_up.wait_for(|all| all.iter().all(|c| *c)).await;
    }

    fn partition(&self, customer: &Customer) -> &Partition {
        let partitions = self.shared.partitions.len() as u32;
        self.shared.partition(partition(customer, partitions))
    }

    fn encode(&self, record: &Record) -> Result<bytes::Bytes, Refusal> {
        let bytes = codec::encode(record);
        match bytes.len() > self.shared.settings.batch_bytes {
            true => Err(Refusal::TooLarge(bytes.len())),
            false => Ok(bytes),
        }
    }
}
