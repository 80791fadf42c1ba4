//! Replica of the token accounts of programs, built from the records of the log.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::VecDeque,
    mem,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};
use tokio::{
    sync::{
        oneshot,
        Notify, //
    },
    time::{
        sleep,
        timeout, //
    }, //
};

use super::{
    account::{
        Accounts,
        Entry,
        Program,
        Reservation,
        Turn,
        Verdict, //
    },
    outage::Outage,
    owner::{
        Request,
        Response, //
    },
    path::Path,
    peers::{
        Transport,
        HOLD_TIMEOUT, //
    },
    reserve::Reserves,
    witness::{
        Witness,
        MESSAGE_MARGIN,
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
};

/// Maximum time for which records of ended turns wait for a new turn, to share its append.
const GATHER_TIME: Duration = Duration::from_millis(300);

/// Time between retries while the log is unreachable; bounds how late a recovered store is noticed.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Time after a failure for which turns are decided without calling the log.
const OFFLINE_TIME: Duration = Duration::from_millis(1_000);

/// Maximum records of one append; keeps it far below the log's limit of 2 MiB.
const MAX_BATCH_RECORDS: usize = 2_000;

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

struct Waiter {
    reservation: Reservation,
    /// Whether the reserves of the program were reclaimed for this turn.
    reclaimed: bool,
    reply: oneshot::Sender<Decision>,
}

struct Partition {
    index: usize,
    /// Start of this instance.
    started: Time,
    accounts: RefCell<Accounts>,
    waiters: RefCell<Vec<Waiter>>,
    /// Records still to be appended, for which no caller waits.
    backlog: RefCell<VecDeque<Entry>>,
    wake: Notify,
    /// Offset of the next record to apply.
    applied: Cell<u64>,
    /// Whether the log has been read to its end at least once since the start.
    loaded: Cell<bool>,
    /// Time until which the log counts as unreachable after a failure.
    offline_until: Cell<Time>,
    /// Whether the latest append, or the read that follows it, failed.
    log_failing: Cell<bool>,
    /// Whether this instance owns the partition.
    owned: Cell<bool>,
    /// Whether all records from before this instance became the owner have been applied.
    caught_up: Cell<bool>,
    /// Time at which the partition was to be read once more after this instance became the owner:
    /// an earlier writer may have appended until its registration ended.
    reread_at: Cell<Option<Time>>,
    /// Time before which all records that had been appended are applied.
    read_at: Cell<Time>,
    /// End of the registration of this instance as a writer.
    registered_until: Cell<Time>,
    /// What this instance knows as a witness of the partition.
    witness: RefCell<Witness>,
}

/// Token accounts of programs in all partitions.
pub struct Replica<L, T = Mesh> {
    log: Rc<Path<L, T>>,
    partitions: Vec<Rc<Partition>>,
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
        let partition = |index| {
            Rc::new(Partition {
                index,
                started: Time::monotonic(),
                accounts: RefCell::default(),
                waiters: RefCell::default(),
                backlog: RefCell::default(),
                wake: Notify::new(),
                applied: Cell::new(0),
                loaded: Cell::new(false),
                offline_until: Cell::new(Time::default()),
                log_failing: Cell::new(false),
                owned: Cell::new(true),
                caught_up: Cell::new(false),
                reread_at: Cell::new(None),
                read_at: Cell::default(),
                registered_until: Cell::default(),
                witness: RefCell::default(),
            })
        };
        Self {
            log: Rc::new(Path::new(log)),
            partitions: (0..partitions.max(1) as usize).map(partition).collect(),
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
        self.partition(program).accounts.borrow().charged(program)
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
            Request::Register { partition } => {
                let partition = self.partitions.get(partition as usize)?;
                match partition.admit_writer(Time::monotonic(), from) {
                    true => Response::Registered,
                    false => Response::Refused,
                }
            }
            Request::HoldGrant { entry, read_age_us } => {
                let partition = self.partition(entry.program());
                let now = Time::monotonic();
                let read_at = now - Duration::from_micros(read_age_us);
                match partition.admit_grant(now, from, read_at) {
                    true => {
                        partition.hold(entry);
                        Response::Held
                    }
                    false => Response::Refused,
                }
            }
            Request::Reclaim { program, id } => {
                let used = self.reserves.reclaim(program, id);
                used.map_or(Response::Refused, Response::Returned)
            }
            Request::Ping => {
                let settled = self.log.settled();
                Response::Pong { settled }
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
        } else {
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
            actix_web::rt::spawn(async move { replica.run_partition(index).await });
        }
        let log = self.log.clone();
        actix_web::rt::spawn(async move { log.watch().await });
        loop {
            sleep(SWEEP_INTERVAL).await;
            let now = Time::monotonic();
            for partition in &self.partitions {
                partition.accounts.borrow_mut().expire(now);
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
            }
            let opens = !partition.waiters.borrow().is_empty();
            if opens && !partition.register(&self.log).await {
                log::debug!(
                    partition = index;
                    "account: another owner grants turns without the log"
                );
                partition.refuse_waiters();
            }
            let full = partition.backlog.borrow().len() > MAX_BATCH_RECORDS;
            // The records of the backlog come before turns whose decision may presume them.
            let waiters = match settling || full {
                true => Vec::new(),
                false => mem::take(&mut *partition.waiters.borrow_mut()),
            };
            let (reclaiming, waiters): (Vec<_>, _) = waiters
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
            let committed = match blind {
                true => self.append(index, &entries).await.map(|_| ()),
                false => self.commit(index, &entries).await,
            };
            match committed {
                Ok(()) => {
                    partition.backlog.borrow_mut().drain(..count);
                    partition.offline_until.set(Time::default());
                    if partition.log_failing.replace(false) {
                        log::info!(partition = index; "account: log is reachable again");
                    }
                    waiters
                        .into_iter()
                        .for_each(|waiter| partition.answer(waiter));
                }
                Err(failure) => {
                    if !partition.log_failing.replace(true) {
                        log::warn!(
                            partition = index, failure:%;
                            "account: log can't be reached; retrying"
                        );
                    }
                    for waiter in waiters {
                        self.decide_offline(partition, waiter);
                    }
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
        let owned = self.partitions[index].owned.get();
        let records: Vec<_> = entries.iter().map(encode).collect();
        self.log.append(index as u32, &records, owned).await
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

    /// Decides about a turn while the log is unreachable.
    ///
    /// Only the owner grants turns then, and only if most instances can't reach the log. A majority
    /// of the witnesses holds each grant, so that it survives the loss of the owner, and ensures that
    /// the account here is complete.
    fn decide_offline(&self, partition: &Rc<Partition>, waiter: Waiter) {
        let known = partition.owned.get() && partition.caught_up.get();
        if !known || self.log.outage() != Outage::Total {
            return waiter.reply(Decision::Unavailable);
        }
        partition.apply_backlog();
        let verdict = partition.accounts.borrow().predict(&waiter.reservation);
        if verdict == Verdict::Spent {
            let decision = partition.spent(waiter.reservation.program);
            return waiter.reply(decision);
        }
        let entry = waiter.reservation.entry(true);
        partition.hold(entry);
        let partition = partition.clone();
        let log = self.log.clone();
        actix_web::rt::spawn(async move {
            if !partition.grant(&log, entry).await {
                return waiter.reply(Decision::Unavailable);
            }
            partition.reserve_offline(&log, &waiter.reservation).await;
            waiter.reply(Decision::Granted);
        });
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
        let waiters = mem::take(&mut *partition.waiters.borrow_mut());
        waiters
            .into_iter()
            .for_each(|waiter| self.decide_offline(partition, waiter));
    }

    /// Applies a record for which no caller waits, and queues it for the log.
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

impl Waiter {
    fn reply(self, decision: Decision) {
        // The caller may have left.
        let _ = self.reply.send(decision);
    }
}

impl Partition {
    /// Queues a record for which no caller waits for the log.
    ///
    /// The end of a turn is applied when it is in the log: it must not free tokens for turns that
    /// precede it there, as other instances would not charge these. The start of a turn is applied
    /// at once, which only refuses more.
    fn hold(&self, entry: Entry) {
        if matches!(entry, Entry::Open { .. }) {
            self.accounts.borrow_mut().apply(Time::monotonic(), &entry);
        }
        self.backlog.borrow_mut().push_back(entry);
        self.wake.notify_one();
    }

    /// Returns whether grants are held here that are still to be appended.
    fn holds_grants(&self) -> bool {
        let backlog = self.backlog.borrow();
        backlog.iter().any(|entry| matches!(entry, Entry::Open { .. }))
    }

    /// Registers a writer here, as a witness; returns whether it may write.
    fn admit_writer(&self, now: Time, writer: &Instance) -> bool {
        let pending = self.holds_grants();
        self.witness.borrow_mut().register(now, writer, pending)
    }

    /// Returns whether a grant without the log is complete, as far as is known here as a witness.
    fn admit_grant(&self, now: Time, owner: &Instance, read_at: Time) -> bool {
        let pending = self.holds_grants();
        let mut witness = self.witness.borrow_mut();
        witness.accept(now, self.started, owner, read_at, pending)
    }

    /// Registers this instance as a writer, unless its registration lasts for some time; returns
    /// whether it may write.
    ///
    /// It may also write if too few witnesses answer, as then no owner gets a majority either.
    async fn register<L: Log, T: Transport>(&self, log: &Path<L, T>) -> bool {
        let now = Time::monotonic();
        let Some(peers) = log.peers() else {
            self.registered_until.set(now + REGISTRATION_TTL);
            return true;
        };
        if now + REGISTRATION_TTL / 2 < self.registered_until.get() {
            return true;
        }
        let request = Request::Register {
            partition: self.index as u32,
        };
        let snapshot = peers.roster.snapshot();
        let admit = || self.admit_writer(now, &snapshot.local().instance);
        let vote = peers.ask_witnesses(self.index, &request, HOLD_TIMEOUT, admit);
        let registered = vote.await.unopposed();
        if registered {
            self.registered_until.set(now + REGISTRATION_TTL);
        }
        registered
    }

    /// Has a majority of the witnesses hold a grant that is made without the log.
    async fn grant<L: Log, T: Transport>(&self, log: &Path<L, T>, entry: Entry) -> bool {
        let Some(peers) = log.peers() else {
            return false;
        };
        let (now, read_at) = (Time::monotonic(), self.read_at.get());
        let request = Request::HoldGrant {
            entry,
            read_age_us: now.since(read_at).as_micros() as u64,
        };
        let snapshot = peers.roster.snapshot();
        let admit = || self.admit_grant(now, &snapshot.local().instance, read_at);
        let vote = peers.ask_witnesses(self.index, &request, HOLD_TIMEOUT, admit);
        vote.await.accepted()
    }

    /// Records that the partition was read to its end.
    fn record_read(&self, caught_up: bool) {
        if caught_up && !self.caught_up.get() {
            let settled = Time::monotonic() + REGISTRATION_TTL + MESSAGE_MARGIN * 2;
            self.reread_at.set(Some(settled));
        }
        self.caught_up.set(caught_up);
    }

    /// Returns whether the owner has to read the partition once more.
    fn must_reread(&self) -> bool {
        let due = |at: Time| at <= Time::monotonic() && self.read_at.get() < at;
        self.owned.get() && self.reread_at.get().is_some_and(due)
    }

    /// Answers the waiting turns that no decision is possible.
    fn refuse_waiters(&self) {
        let waiters = mem::take(&mut *self.waiters.borrow_mut());
        waiters
            .into_iter()
            .for_each(|waiter| waiter.reply(Decision::Unavailable));
    }

    /// Applies the records that are not in the log yet, to decide without it.
    fn apply_backlog(&self) {
        let now = Time::monotonic();
        let mut accounts = self.accounts.borrow_mut();
        for entry in &*self.backlog.borrow() {
            accounts.apply(now, entry);
        }
    }

    /// Grants the reserve that is requested with a turn, if it leaves enough of the budget and
    /// another instance holds a copy of the grant.
    async fn reserve_offline<L: Log, T: Transport>(
        &self,
        log: &Path<L, T>,
        reservation: &Reservation,
    ) {
        let Some(entry) = reservation.reserve_entry(true) else {
            return;
        };
        let tokens = reservation.reserve.map_or(0, |reserve| reserve.tokens);
        let (program, turn) = (reservation.program, entry.turn());
        if self.accounts.borrow().charged(program) + tokens > reservation.budget {
            return;
        }
        self.hold(entry);
        if !self.grant(log, entry).await {
            let used = 0;
            self.hold(Entry::Close {
                program,
                turn,
                used,
            });
            // The requester must not be told that it has the reserve.
            self.apply_backlog();
        }
    }

    /// Returns whether the budget covers a turn only once its reserves are reclaimed.
    fn must_reclaim(&self, waiter: &Waiter) -> bool {
        let accounts = self.accounts.borrow();
        let spent = |pending: &[Entry]| {
            let verdict = accounts.predict_after(&waiter.reservation, pending);
            verdict == Verdict::Spent
        };
        // The backlog is only read if it matters, as it may be long.
        !waiter.reclaimed
            && spent(&[])
            && !accounts.reserves(waiter.reservation.program).is_empty()
            && spent(self.backlog.borrow_mut().make_contiguous())
    }

    /// Returns the decision on a turn that the account does not cover: the budget is not spent
    /// while a reserve of it could not be reclaimed.
    fn spent(&self, program: Program) -> Decision {
        match self.accounts.borrow().reserves(program).is_empty() {
            true => Decision::Spent,
            false => Decision::Unavailable,
        }
    }

    /// Returns whether records from before this instance became the owner are still to be read.
    fn needs_catch_up(&self) -> bool {
        self.owned.get() && !self.caught_up.get()
    }

    /// Returns whether records are appended without reading the partition: this instance neither
    /// owns it nor decides about a turn.
    fn appends_blindly(&self) -> bool {
        !self.loaded.get() && !self.owned.get() && self.waiters.borrow().is_empty()
    }

    /// Waits for turns, records to append or a change of ownership.
    async fn wait_for_work(&self) {
        while self.waiters.borrow().is_empty()
            && self.backlog.borrow().is_empty()
            && !self.needs_catch_up()
            && !self.must_reread()
        {
            let now = Time::monotonic();
            match self.reread_at.get().filter(|at| *at > now) {
                Some(at) => drop(timeout(at.since(now), self.wake.notified()).await),
                None => self.wake.notified().await,
            }
        }
        let opened = async {
            while self.waiters.borrow().is_empty()
                && !self.needs_catch_up()
                && !self.must_reread()
            {
                self.wake.notified().await;
            }
        };
        // If no turn opens in time, the records of ended turns are appended alone.
        let _ = timeout(GATHER_TIME, opened).await;
    }

    fn answer(&self, waiter: Waiter) {
        let verdict = self
            .accounts
            .borrow()
            .verdict(waiter.reservation.program, waiter.reservation.turn);
        let decision = match verdict {
            // Another owner may have granted turns since.
            Some(Verdict::Granted) if self.registered_until.get() < Time::monotonic() => {
                Decision::Unavailable
            }
            Some(Verdict::Granted) => Decision::Granted,
            Some(Verdict::Spent) => self.spent(waiter.reservation.program),
            None => Decision::Unavailable,
        };
        waiter.reply(decision);
    }
}
