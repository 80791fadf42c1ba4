//! Replica of the token accounts of programs, built from the records of the log.

mod grant;
mod partition;

use std::{
    cell::Cell,
    mem,
    pin::pin,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use futures_util::future::pending;
use serde::{
    Deserialize,
    Serialize, //
};
use tokio::{
    sync::oneshot,
    time::{
        sleep,
        timeout, //
    }, //
};

use super::{
    account::{
        Entry,
        Program,
        Reservation,
        Turn,
        Verdict, //
    },
    allowance::Unlogged,
    outage::Outage,
    owner::{
        Request,
        Response, //
    },
    path::Path,
    peers::Transport,
    reserve::{
        self,
        Reserves, //
    },
    witness::{
        Grant,
        REGISTRATION_TTL, //
    },
};
use crate::{
    clock::Time,
    hash,
    log::{
        Batch,
        Failure,
        Log, //
    },
    name::Instance,
    peer::Mesh,
    process::task,
};
use partition::{
    Partition,
    Waiter, //
};

/// Time between retries while the log is unreachable; bounds how late a recovered store is noticed.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Time after a failure for which turns are decided without calling the log.
const OFFLINE_TIME: Duration = Duration::from_millis(1_000);

/// Range of the time without an answer of the log after which turns are granted before it answers.
/// It follows the store's usual answers; its end is a part of a turn that callers hardly notice.
const EARLY_DELAY: [Duration; 2] = [Duration::from_millis(30), Duration::from_millis(60)];

/// Maximum records of one append; keeps it far below the log's limit of 2 MiB.
const MAX_BATCH_RECORDS: usize = 2_000;

/// Time between attempts of a witness to learn which earlier grants are in the log.
const CATCH_UP_INTERVAL: Duration = Duration::from_secs(5);

/// Time between sweeps of expired programs.
const SWEEP_INTERVAL: Duration = Duration::from_secs(20);

/// Decision about a turn that requested to run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Decision {
    /// The turn may run.
    Granted,
    /// The rest of the budget is too small for the turn.
    Spent,
    /// No decision is possible: the log is unreachable, or may lack grants of a recent outage.
    Unavailable,
}

/// A turn whose decision is pending.
pub struct Pending {
    /// Decision, valid for all instances.
    pub decision: oneshot::Receiver<Decision>,
    /// Whether enough of the budget is left that the turn may start before the decision. No token
    /// may be sent to the caller before it.
    pub likely: bool,
}

/// Token accounts of programs in all partitions.
pub struct Replica<L, T = Mesh> {
    log: Rc<Path<L, T>>,
    partitions: Vec<Rc<Partition>>,
    /// Hash of the instances from which the witnesses were determined.
    known_hash: Cell<Option<u64>>,
    /// Reserves that this instance holds.
    pub reserves: Reserves,
}

/// Returns the identifier of a program in the log.
pub fn identify(program: &str) -> Program {
    hash::stable(program.as_bytes())
}

fn encode(entry: &Entry) -> Bytes {
    let mut bytes = Vec::with_capacity(48);
    ciborium::into_writer(entry, &mut bytes).expect("an entry is always serialisable to memory");
    bytes.into()
}

impl<L: Log + 'static, T: Transport> Replica<L, T> {
    /// Returns a replica of the accounts in the partitions of a log; nothing is read yet.
    pub fn new(log: L, partitions: u32) -> Self {
        Self {
            log: Rc::new(Path::new(log)),
            partitions: (0..partitions.max(1) as usize)
                .map(|index| Rc::new(Partition::new(index)))
                .collect(),
            known_hash: Cell::default(),
            reserves: Reserves::default(),
        }
    }

    /// Returns the path to the log.
    pub fn path(&self) -> &Path<L, T> {
        &self.log
    }

    /// Returns the number of partitions.
    pub fn partitions(&self) -> usize {
        self.partitions.len()
    }

    /// Returns the partition of a program.
    pub fn partition_of(&self, program: Program) -> usize {
        (program % self.partitions.len() as u64) as usize
    }

    fn partition(&self, program: Program) -> &Rc<Partition> {
        &self.partitions[self.partition_of(program)]
    }

    /// Records whether this instance owns a partition.
    pub fn set_owned(&self, partition: usize, owned: bool) {
        let partition = &self.partitions[partition];
        if partition.owned.replace(owned) != owned {
            partition.caught_up.set(false);
            partition.wake.notify_one();
        }
    }

    /// Returns whether this instance owns a partition.
    pub fn owns(&self, partition: usize) -> bool {
        self.partitions[partition].owned.get()
    }

    /// Returns whether a partition has been read to its end since the start.
    pub fn has_read(&self, partition: usize) -> bool {
        self.partitions[partition].loaded.get()
    }

    /// Returns the tokens charged to a program.
    pub fn charged(&self, program: Program) -> u64 {
        self.partition(program).charged(program)
    }

    /// Returns whether a reserve is charged to a program.
    pub fn has_reserve(&self, program: Program, id: Turn) -> bool {
        let accounts = self.partition(program).accounts.borrow();
        accounts
            .reserves(program)
            .iter()
            .any(|(open, _)| *open == id)
    }

    /// Appends records for another instance over the direct path only.
    pub async fn append_for_peer(&self, partition: u32, records: &[Bytes]) -> Option<u64> {
        self.log.append_directly(partition, records).await?.ok()
    }

    /// Reads records for another instance over the direct path only.
    pub async fn read_for_peer(&self, partition: u32, from: u64) -> Option<Batch> {
        match self.log.read_directly(partition, from).await? {
            Ok(batch) => Some(batch),
            Err(Failure::Expired { begin }) => Some(Batch {
                records: Vec::new(),
                next: begin,
            }),
            Err(_) => None,
        }
    }

    /// Registers this instance as a writer of a partition, unless it is; returns whether it may
    /// write. A registration that ends soon is renewed meanwhile.
    async fn ensure_registered(&self, partition: &Rc<Partition>) -> bool {
        let (now, end) = (Time::monotonic(), partition.registered_until.get());
        if now >= end {
            return partition.register(&self.log).await;
        }
        if now + REGISTRATION_TTL / 2 >= end && !partition.renewing.replace(true) {
            let (partition, log) = (partition.clone(), self.log.clone());
            actix_web::rt::spawn(async move {
                partition.register(&log).await;
                partition.renewing.set(false);
            });
        }
        true
    }

    /// Answers the request of another instance; `None` if the request is not about accounts.
    pub async fn answer(&self, from: &Instance, request: Request) -> Option<Response> {
        let answer = match request {
            Request::Open(reservation) => {
                let decision = self.open(reservation).decision.await;
                self.decided(&reservation, decision.unwrap_or(Decision::Unavailable))
            }
            Request::Hold(entry) => {
                self.hold(entry);
                Response::Held
            }
            Request::Register {
                partition,
                generation,
                testify,
            } => {
                let partition = self.partitions.get(partition as usize)?;
                match partition.admit_writer(Time::monotonic(), from, generation) {
                    Response::Registered if testify => partition.testify(&self.log),
                    answer => answer,
                }
            }
            Request::Testify { partition } => {
                let partition = self.partitions.get(partition as usize)?;
                partition.testify(&self.log)
            }
            Request::Yield { partition } => {
                let partition = self.partitions.get(partition as usize)?;
                let (generation, end) = partition.give_up_registration();
                Response::Yielded { generation, end }
            }
            Request::HoldGrant {
                entry,
                read_age_us,
                yielded,
            } => {
                let partition = self.partition(entry.program());
                let now = Time::monotonic();
                let grant = Grant {
                    owner: from,
                    read_at: now - Duration::from_micros(read_age_us),
                    yielded: &yielded,
                };
                let answer = partition.admit_grant(now, grant);
                if answer == Response::Held {
                    partition.hold_for_owner(entry);
                }
                answer
            }
            Request::ReleaseGrants { partition, turns } => {
                let partition = self.partitions.get(partition as usize)?;
                let mut held = partition.held.borrow_mut();
                held.retain(|entry| !turns.contains(&entry.turn()));
                Response::Held
            }
            Request::ConfirmReserve { program, reserve } => {
                self.reserves.granted(program, &reserve);
                Response::Held
            }
            Request::Reclaim { program, id } => {
                let used = self.reserves.reclaim(program, id);
                used.map_or(Response::Refused, Response::Returned)
            }
            Request::Ping => {
                let evidence = self.log.journal().evidence();
                Response::Pong {
                    settled: self.log.settled(),
                    complete: evidence.horizon().is_zero(),
                    evidence: Some(evidence),
                }
            }
            Request::LogStatus => match self.reaches_log().await {
                true => Response::LogReachable,
                false => Response::Refused,
            },
            Request::Append { partition, records } => {
                let offset = self.append_for_peer(partition, &records).await;
                offset.map_or(Response::Refused, Response::Appended)
            }
            Request::Read { partition, from } => match self.read_for_peer(partition, from).await {
                Some(Batch { records, next }) => Response::Records { records, next },
                None => Response::Refused,
            },
            Request::KeepOrigin(..)
            | Request::FindOrigin(_)
            | Request::AppendTurns { .. }
            | Request::ReadTurns { .. } => return None,
        };
        Some(answer)
    }

    /// Returns the response about a turn that was decided.
    fn decided(&self, reservation: &Reservation, decision: Decision) -> Response {
        let charged = self.charged(reservation.program);
        match reservation.reserve {
            Some(reserve) => Response::DecidedWithReserve {
                decision,
                charged,
                reserved: self.has_reserve(reservation.program, reserve.id),
            },
            None => Response::Decided(decision, charged),
        }
    }

    /// Returns whether all partitions have been read to their end since the start.
    pub fn loaded(&self) -> bool {
        self.partitions
            .iter()
            .all(|partition| partition.loaded.get())
    }

    /// Requests a decision on whether a turn may run.
    pub fn open(&self, reservation: Reservation) -> Pending {
        let partition = self.partition(reservation.program);
        let (reply, decision) = oneshot::channel();
        let waiter = Waiter {
            reservation,
            reclaimed: false,
            reply,
        };
        let likely = partition.loaded.get()
            && !partition.log_failing.get()
            && reservation.has_headroom(self.charged(reservation.program));
        if Time::monotonic() < partition.offline_until.get() {
            self.decide_offline(partition, waiter);
        } else if let Err(waiter) = self.decide_early(partition, waiter, None) {
            partition.waiters.borrow_mut().push(waiter);
        }
        partition.wake.notify_one();
        Pending { decision, likely }
    }

    /// Records the end of a turn that may have run and sent `used` tokens to the caller.
    pub fn close(&self, program: Program, turn: Turn, used: u64) {
        self.hold(Entry::Close {
            program,
            turn,
            used,
        });
    }

    /// Returns whether records are waiting to be appended.
    pub fn pending(&self) -> bool {
        let waits = |partition: &Rc<Partition>| {
            !partition.backlog.borrow().is_empty() || !partition.waiters.borrow().is_empty()
        };
        self.partitions.iter().any(waits)
    }

    /// Appends and applies the records of all partitions; never returns.
    pub async fn run(self: Rc<Self>) {
        for index in 0..self.partitions.len() {
            let replica = self.clone();
            task::supervise("account-partition", move || {
                let replica = replica.clone();
                async move { replica.run_partition(index).await }
            });
        }
        let log = self.log.clone();
        task::supervise("account-log", move || {
            let log = log.clone();
            async move { log.watch().await }
        });
        let replica = self.clone();
        task::supervise("account-witness", move || {
            let replica = replica.clone();
            async move {
                loop {
                    sleep(CATCH_UP_INTERVAL).await;
                    replica.catch_up_witnessed().await;
                }
            }
        });
        task::supervise("account-sweep", move || self.clone().sweep());
        pending().await
    }

    async fn sweep(self: Rc<Self>) {
        loop {
            sleep(SWEEP_INTERVAL).await;
            let now = Time::monotonic();
            for partition in &self.partitions {
                partition.accounts.borrow_mut().expire(now);
            }
        }
    }

    /// Redetermines of which partitions this instance is a witness.
    pub fn update_witnessed(&self) {
        let Some(peers) = self.log.peers() else {
            return;
        };
        let known = peers.known_hash();
        if self.known_hash.replace(Some(known)) == Some(known) {
            return;
        }
        let witnessed = peers.witnessed(self.partitions.len());
        for (partition, witnessed) in self.partitions.iter().zip(witnessed) {
            partition.set_witnessed(witnessed);
        }
    }

    /// Learns which grants from before this instance became a witness are in the log.
    pub async fn catch_up_witnessed(&self) {
        for partition in &self.partitions {
            if partition.must_learn_grants(self.log.journal()) {
                partition.inquire(&self.log).await;
            }
        }
    }

    async fn run_partition(self: &Rc<Self>, index: usize) {
        let partition = &self.partitions[index];
        loop {
            partition.wait_for_work().await;
            // Turns granted during an outage may not be in the log yet; only the previous owner
            // knows them.
            let settling = !partition.caught_up.get() && !self.log.settled();
            if settling {
                partition.refuse_waiters();
            }
            let blind = partition.appends_blindly();
            let unread = !partition.loaded.get() && !blind;
            let stale = partition.needs_catch_up() || partition.must_reread();
            if unread || (stale && !settling) {
                if let Err(failure) = self.load(index).await {
                    log::warn!(
                        partition = index, failure:%;
                        "account: partition can't be read from the log; retrying"
                    );
                    self.go_offline(partition);
                    sleep(RETRY_INTERVAL).await;
                    continue;
                }
                partition.loaded.set(true);
                partition.record_read(partition.owned.get() && !settling);
                // Waiting turns have the witnesses asked when they register this instance.
                if partition.caught_up.get() && partition.waiters.borrow().is_empty() {
                    partition.inquire(&self.log).await;
                }
            }
            let opens = !partition.waiters.borrow().is_empty();
            if opens && !self.ensure_registered(partition).await {
                log::debug!(
                    partition = index;
                    "account: another owner grants turns without the log"
                );
                partition.refuse_waiters();
            }
            if partition.may_lack_grants(self.log.journal()) && !settling {
                partition.presume_unlogged();
            }
            let full = partition.backlog.borrow().len() > MAX_BATCH_RECORDS;
            // The records of the backlog come before turns whose decision may presume them.
            let waiters = match settling || full {
                true => Vec::new(),
                false => mem::take(&mut *partition.waiters.borrow_mut()),
            };
            let (reclaiming, mut waiters): (Vec<_>, Vec<_>) = waiters
                .into_iter()
                .partition(|waiter| partition.must_reclaim(waiter));
            for waiter in reclaiming {
                let replica = self.clone();
                actix_web::rt::spawn(async move { replica.reclaim(index, waiter).await });
            }
            let count = partition.backlog.borrow().len().min(MAX_BATCH_RECORDS);
            let entries: Vec<_> = {
                let backlog = partition.backlog.borrow();
                let closes = backlog.iter().take(count).copied();
                let turns = waiters.iter().map(|waiter| waiter.reservation);
                // Turns come before reserves, which only get what is left.
                closes
                    .chain(turns.clone().map(|turn| turn.entry(false)))
                    .chain(turns.filter_map(|turn| turn.reserve_entry(false)))
                    .collect()
            };
            if entries.is_empty() {
                if settling {
                    sleep(RETRY_INTERVAL).await;
                }
                continue;
            }
            partition.appending.set(count);
            let committed = match blind {
                true => self.append(index, &entries).await.map(|_| ()),
                false => {
                    self.commit_or_decide_early(index, &entries, &mut waiters)
                        .await
                }
            };
            partition.appending.set(0);
            match committed {
                Ok(()) => {
                    partition.backlog.borrow_mut().drain(..count);
                    self.record_logged(partition, &entries);
                    partition.offline_until.set(Time::default());
                    if partition.log_failing.replace(false) {
                        log::info!(partition = index; "account: log is reachable again");
                    }
                    waiters
                        .into_iter()
                        .chain(partition.take_logged(&entries))
                        .for_each(|waiter| partition.answer(waiter));
                }
                Err(failure) => {
                    if !partition.log_failing.replace(true) {
                        log::warn!(
                            partition = index, failure:%;
                            "account: log can't be reached; retrying"
                        );
                    }
                    partition.waiters.borrow_mut().splice(0..0, waiters);
                    self.go_offline(partition);
                    sleep(RETRY_INTERVAL).await;
                }
            }
        }
    }

    /// Applies all records up to the current end of the log.
    async fn load(&self, index: usize) -> Result<(), Failure> {
        let (start, first) = (Time::monotonic(), self.partitions[index].applied.get());
        loop {
            let before = self.partitions[index].applied.get();
            self.follow(index).await?;
            if self.partitions[index].applied.get() == before {
                self.partitions[index].read_at.set(start);
                let took_ms = Time::monotonic().since(start).as_millis() as u64;
                log::info!(
                    partition = index, records = before - first, took_ms;
                    "account: partition was read to its end"
                );
                return Ok(());
            }
        }
    }

    /// Reads once and applies the records returned.
    async fn follow(&self, index: usize) -> Result<(), Failure> {
        let partition = &self.partitions[index];
        let from = partition.applied.get();
        match self
            .log
            .read(index as u32, from, partition.owned.get())
            .await
        {
            Ok(batch) => {
                let now = Time::monotonic();
                let mut accounts = partition.accounts.borrow_mut();
                for (offset, record) in &batch.records {
                    match ciborium::from_reader::<Entry, _>(&record[..]) {
                        Ok(entry) => accounts.apply(now, &entry),
                        Err(error) => {
                            log::error!(
                                partition = index, offset, error:%;
                                "account: record can't be decoded and is skipped"
                            );
                        }
                    }
                }
                partition.applied.set(batch.next);
                Ok(())
            }
            Err(Failure::Expired { begin }) => {
                partition.applied.set(begin.max(from));
                Ok(())
            }
            Err(failure) => Err(failure),
        }
    }

    /// Appends records; returns the offset of the first one.
    async fn append(&self, index: usize, entries: &[Entry]) -> Result<u64, Failure> {
        // Other writers are refused while a witness holds a grant that is not in the log.
        let is_open = |entry: &Entry| matches!(entry, Entry::Open { .. });
        let use_peers = self.partitions[index].owned.get() || entries.iter().any(is_open);
        let records: Vec<_> = entries.iter().map(encode).collect();
        self.log.append(index as u32, &records, use_peers).await
    }

    /// Appends records, then applies all records up to and including them.
    async fn commit(&self, index: usize, entries: &[Entry]) -> Result<(), Failure> {
        let partition = &self.partitions[index];
        let start = Time::monotonic();
        let offset = self.append(index, entries).await?;
        let end = offset + entries.len() as u64;
        if partition.applied.get() == offset {
            let now = Time::monotonic();
            let mut accounts = partition.accounts.borrow_mut();
            entries.iter().for_each(|entry| accounts.apply(now, entry));
            partition.applied.set(end);
        }
        while partition.applied.get() < end {
            self.follow(index).await?;
        }
        partition.read_at.set(start);
        Ok(())
    }

    /// Appends records as [`Self::commit`] does; grants the turns among them earlier if the log takes
    /// long.
    async fn commit_or_decide_early(
        &self,
        index: usize,
        entries: &[Entry],
        waiters: &mut Vec<Waiter>,
    ) -> Result<(), Failure> {
        let partition = &self.partitions[index];
        let mut commit = pin!(self.commit(index, entries));
        let start = Time::monotonic();
        let limit = self.log.append_limit(EARLY_DELAY);
        let first = timeout(limit, &mut commit).await;
        if let Ok(committed) = first {
            if partition.late.replace(false) {
                log::info!(partition = index; "account: log answers in time again");
            }
            return committed;
        }
        if partition.owned.get() && !partition.late.replace(true) {
            log::warn!(
                partition = index, limit_ms = limit.as_millis() as u64;
                "account: log is late; granting turns with the witnesses"
            );
        }
        // Turns that are in the append precede all records that were queued since.
        let decide = |waiter| self.decide_early(partition, waiter, Some(entries)).err();
        *waiters = mem::take(waiters).into_iter().filter_map(decide).collect();
        let queued = mem::take(&mut *partition.waiters.borrow_mut());
        let decide = |waiter| self.decide_early(partition, waiter, None).err();
        let queued: Vec<_> = queued.into_iter().filter_map(decide).collect();
        partition.waiters.borrow_mut().extend(queued);
        let committed = commit.await;
        log::debug!(
            partition = index, took_ms = Time::monotonic().since(start).as_millis() as u64,
            failed = committed.is_err();
            "account: log answered late"
        );
        committed
    }

    /// Grants a turn before the log answers, if this instance is the owner, and the log is late and
    /// lacks no turn of the program, or most instances can't reach the log and the turns that it
    /// lacks are within the allowance; returns the turn otherwise.
    ///
    /// A majority of the witnesses holds the grant, so that it survives the loss of the owner, and
    /// ensures that the account here is complete. Only the loss of a majority of them can lose it; no
    /// turn is granted without the log after that, as two losses may exceed the allowance.
    /// `preceding` are the records before the turn in the log, if it is being appended.
    fn decide_early(
        &self,
        partition: &Rc<Partition>,
        waiter: Waiter,
        preceding: Option<&[Entry]>,
    ) -> Result<(), Waiter> {
        let known = partition.owned.get() && partition.caught_up.get();
        let reservation = waiter.reservation;
        let Reservation { program, turn, .. } = reservation;
        let connected = !self.log.outage().isolated() && self.log.peers().is_some();
        let complete = !partition.may_lack_grants(self.log.journal());
        if !known || !partition.late.get() || !connected || !complete {
            return Err(waiter);
        }
        let outage = self.log.outage() == Outage::Total;
        let unlogged = partition.unlogged.borrow();
        let admits = |unlogged: &Unlogged| outage && unlogged.admits();
        let admitted = unlogged.get(&program).is_none_or(admits);
        drop(unlogged);
        if !admitted || partition.must_reclaim(&waiter) {
            return Err(waiter);
        }
        if partition.predict(&reservation, preceding) == Verdict::Spent {
            return Err(waiter);
        }
        let entry = reservation.entry(true);
        let charged = self.charged(program);
        partition
            .unlogged
            .borrow_mut()
            .entry(program)
            .or_insert_with(|| Unlogged::new(reservation.budget, charged))
            .open(turn, reservation.max_tokens);
        partition.hold(entry);
        // Turns that follow in an outage would be charged beside a reserve that precedes them.
        let reserve = reservation.reserve_entry(false).filter(|_| !outage);
        if let (Some(request), Some(reserve)) = (reservation.reserve, reserve) {
            let mut unconfirmed = partition.unconfirmed.borrow_mut();
            unconfirmed.insert(request.id, (program, request));
            // It is charged in the order of the log, as it need not be granted.
            partition.backlog.borrow_mut().push_back(reserve);
        }
        let (partition, log) = (partition.clone(), self.log.clone());
        actix_web::rt::spawn(async move {
            if partition.grant(&log, entry).await {
                return waiter.reply(Decision::Granted);
            }
            partition.drop_grant(entry);
            if Time::monotonic() < partition.offline_until.get() {
                return waiter.reply(Decision::Unavailable);
            }
            partition.waiters.borrow_mut().push(waiter);
            partition.wake.notify_one();
        });
        Ok(())
    }

    /// Records that entries are in the log and applied.
    fn record_logged(&self, partition: &Partition, entries: &[Entry]) {
        let granted = entries.iter().filter_map(|entry| match entry {
            Entry::Open { turn, forced, .. } => forced.then_some(*turn),
            Entry::Close { .. } => None,
        });
        let turns: Vec<_> = granted.collect();
        if let Some(peers) = self.log.peers().filter(|_| !turns.is_empty()) {
            let partition = partition.index as u32;
            let request = Request::ReleaseGrants { partition, turns };
            peers.notify_witnesses(partition as usize, &request);
        }
        for entry in entries {
            let Entry::Open { turn, .. } = *entry else {
                continue;
            };
            partition.record_logged(*entry);
            let unconfirmed = partition.unconfirmed.borrow_mut().remove(&turn);
            if let Some((program, request)) = unconfirmed {
                if self.has_reserve(program, request.id) {
                    self.confirm_reserve(program, request);
                }
            }
        }
    }

    /// Tells the instance that requested a reserve that it is charged.
    fn confirm_reserve(&self, program: Program, request: reserve::Request) {
        if self.reserves.is_holder(request.holder) {
            return self.reserves.granted(program, &request);
        }
        let Some(peers) = self.log.peers() else {
            return;
        };
        if let Err(error) = peers.confirm_reserve(program, request) {
            log::debug!(program, error:%; "account: holder of a reserve can't be notified");
        }
    }

    /// Decides about a turn while the log is unreachable.
    ///
    /// Only the owner does, and only if most instances can't reach the log.
    fn decide_offline(&self, partition: &Rc<Partition>, waiter: Waiter) {
        let waiter = match self.decide_early(partition, waiter, None) {
            Ok(()) => return,
            Err(waiter) => waiter,
        };
        let known = partition.owned.get() && partition.caught_up.get();
        if !known || self.log.outage() != Outage::Total {
            return waiter.reply(Decision::Unavailable);
        }
        let decision = match partition.predict(&waiter.reservation, None) {
            Verdict::Spent => partition.spent(&waiter.reservation),
            Verdict::Granted => Decision::Unavailable,
        };
        waiter.reply(decision);
    }

    /// Reclaims the reserves of a program whose budget does not cover a turn otherwise, and decides
    /// about the turn again.
    async fn reclaim(&self, index: usize, mut waiter: Waiter) {
        let partition = &self.partitions[index];
        let program = waiter.reservation.program;
        let reserves = partition.accounts.borrow().reserves(program);
        for (id, holder) in reserves {
            let used = match self.reserves.is_holder(holder) {
                true => self.reserves.reclaim(program, id),
                false => self.log.reclaim(holder, program, id).await,
            };
            if let Some(used) = used {
                partition.hold(Entry::Close {
                    program,
                    turn: id,
                    used,
                });
            }
        }
        waiter.reclaimed = true;
        partition.waiters.borrow_mut().push(waiter);
        partition.wake.notify_one();
    }

    /// Marks the log as unreachable for a while and decides the waiting turns without it.
    fn go_offline(&self, partition: &Rc<Partition>) {
        partition
            .offline_until
            .set(Time::monotonic() + OFFLINE_TIME);
        partition.late.set(true);
        let waiters = mem::take(&mut *partition.waiters.borrow_mut());
        waiters
            .into_iter()
            .for_each(|waiter| self.decide_offline(partition, waiter));
    }

    /// Queues a record for which no caller waits for the log.
    pub fn hold(&self, entry: Entry) {
        self.partition(entry.program()).hold(entry);
    }

    /// Returns whether the direct path to the log works; tests it unless it succeeded just now.
    pub async fn reaches_log(&self) -> bool {
        if self.log.recently_reached() {
            return true;
        }
        let applied = self.partitions[0].applied.get();
        self.read_for_peer(0, applied).await.is_some()
    }
}
