//! Ownership of partitions: each has one owner, to which all instances send their requests.
//!
//! The order of the log decides. The owner saves reads, because it appends nearly all records of
//! its partitions itself, and it can continue during an outage of the log, because all turns of
//! its partitions are decided by it.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    pin::pin,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};
use tokio::{
    sync::oneshot,
    time::timeout, //
};

use super::{
    account::{
        Entry,
        Program,
        Reservation,
        Turn, //
    },
    evidence::{
        Evidence,
        Testimony, //
    },
    origin::{
        self,
        Beginning, //
    },
    outage::Outage,
    peers::{
        name_hash,
        Peers,
        Transport, //
    },
    replica::{
        self,
        Pending,
        Replica, //
    },
    reserve::{
        self,
        Payer, //
    },
};
use crate::{
    clock::Time,
    hash::{
        self,
        Map, //
    },
    log::Log,
    name::Instance,
    peer::Mesh,
    policy::recent::Recent,
};

/// Time without an answer of the owner after which the log is used as well; a slow store takes
/// 240 ms.
const HEDGE_DELAY: Duration = Duration::from_millis(400);

/// Response time of the owner from which on turns start before the decision. An owner answers in
/// about 10 ms, and in 300 ms while the store is slow; a refused run costs more than a short wait.
const SLOW_DECISION: Duration = Duration::from_millis(40);

/// Time without a decision after which a turn is granted from the reserve of its program.
const RESERVE_DELAY: Duration = Duration::from_millis(60);

/// Time after the last use of a reserve after which reserves are renewed.
const RENEW_DELAY: Duration = Duration::from_secs(1);

/// Timeout of a request to the owner, which may have to determine the extent of an outage first.
const OWNER_TIMEOUT: Duration = Duration::from_millis(1_700);

/// Timeout of the confirmation of the end of a turn; an instance that receives it confirms it at once.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which an owner that did not answer gets no requests; after it, all instances have
/// learned that a dead owner is gone.
const AVOID_TIME: Duration = Duration::from_secs(3);

/// Instances that decide through the log, one after the other, if an owner can't.
const MAX_STANDBYS: usize = 2;

/// Maximum programs whose charge is cached; a program lasts for seconds.
const MAX_CHARGES: usize = 4_096;

/// Request of another instance.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Request {
    /// Decide whether a turn may run.
    #[serde(rename = "o")]
    Open(Reservation),
    /// Append the record of a turn that ended or was granted without the recipient.
    #[serde(rename = "h")]
    Hold(Entry),
    /// Register the sender as a writer of a partition.
    #[serde(rename = "rw")]
    Register {
        /// Partition.
        #[serde(rename = "p")]
        partition: u32,
        /// Number of the registration.
        #[serde(rename = "g")]
        generation: u64,
        /// Whether `Testified` is expected in place of `Registered`.
        #[serde(rename = "t", default, skip_serializing_if = "std::ops::Not::not")]
        testify: bool,
    },
    /// Tell which grants of a partition the recipient knows as a witness.
    #[serde(rename = "tw")]
    Testify {
        /// Partition.
        #[serde(rename = "p")]
        partition: u32,
    },
    /// Give the registration as a writer of a partition up.
    #[serde(rename = "yw")]
    Yield {
        /// Partition.
        #[serde(rename = "p")]
        partition: u32,
    },
    /// Hold the grant of a turn that the sender makes as the owner without the log.
    #[serde(rename = "hg")]
    HoldGrant {
        /// Record of the turn.
        #[serde(rename = "e")]
        entry: Entry,
        /// Microseconds since the sender last read the partition to its end.
        #[serde(rename = "a")]
        read_age_us: u64,
        /// Writers that yielded, with the numbers of their registrations.
        #[serde(rename = "y")]
        yielded: Vec<(Instance, u64)>,
    },
    /// Drop held grants that are in the log.
    #[serde(rename = "rg")]
    ReleaseGrants {
        /// Partition.
        #[serde(rename = "p")]
        partition: u32,
        /// The turns.
        #[serde(rename = "t")]
        turns: Vec<Turn>,
    },
    /// Keep where a stream began.
    #[serde(rename = "k")]
    KeepOrigin(origin::Stream, Beginning),
    /// Report where a stream began.
    #[serde(rename = "w")]
    FindOrigin(origin::Stream),
    /// Learn that a requested reserve is charged.
    #[serde(rename = "gc")]
    ConfirmReserve {
        /// Program.
        #[serde(rename = "p")]
        program: Program,
        /// The reserve.
        #[serde(rename = "r")]
        reserve: reserve::Request,
    },
    /// Give a reserve back that the recipient holds.
    #[serde(rename = "g")]
    Reclaim {
        /// Program.
        #[serde(rename = "p")]
        program: Program,
        /// Number of the reserve.
        #[serde(rename = "i")]
        id: Turn,
    },
    /// Confirm that the recipient is reachable.
    #[serde(rename = "e")]
    Ping,
    /// Report whether the recipient reaches the log over its direct path.
    #[serde(rename = "q")]
    LogStatus,
    /// Append records over the recipient's direct path to the log.
    #[serde(rename = "a")]
    Append {
        /// Partition.
        #[serde(rename = "p")]
        partition: u32,
        /// The records.
        #[serde(rename = "r")]
        records: Vec<Bytes>,
    },
    /// Read records over the recipient's direct path to the log.
    #[serde(rename = "r")]
    Read {
        /// Partition.
        #[serde(rename = "p")]
        partition: u32,
        /// First offset.
        #[serde(rename = "f")]
        from: u64,
    },
    /// Append records of kept turns over the recipient's direct path to the log.
    #[serde(rename = "ta")]
    AppendTurns {
        /// Partition.
        #[serde(rename = "p")]
        partition: u32,
        /// The records.
        #[serde(rename = "r")]
        records: Vec<Bytes>,
    },
    /// Read records of kept turns over the recipient's direct path to the log.
    #[serde(rename = "tr")]
    ReadTurns {
        /// Partition.
        #[serde(rename = "p")]
        partition: u32,
        /// First offset.
        #[serde(rename = "f")]
        from: u64,
    },
}

/// Answer to another instance.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Response {
    /// Whether the turn may run, and the tokens charged to the program now.
    #[serde(rename = "o")]
    Decided(replica::Decision, u64),
    /// Whether the turn may run, and whether the requested reserve is granted.
    #[serde(rename = "d")]
    DecidedWithReserve {
        /// Whether the turn may run.
        #[serde(rename = "d")]
        decision: replica::Decision,
        /// Tokens charged to the program now.
        #[serde(rename = "c")]
        charged: u64,
        /// Whether the reserve is charged to the program.
        #[serde(rename = "r")]
        reserved: bool,
    },
    /// Where a stream began.
    #[serde(rename = "w")]
    Origin(Beginning),
    /// Tokens that were used, or may still be, of a reserve that is given back.
    #[serde(rename = "g")]
    Returned(u64),
    /// Offset of the first appended record.
    #[serde(rename = "a")]
    Appended(u64),
    /// Records that were read.
    #[serde(rename = "r")]
    Records {
        /// Records with their offsets.
        #[serde(rename = "r")]
        records: Vec<(u64, Bytes)>,
        /// Offset to read from next.
        #[serde(rename = "n")]
        next: u64,
    },
    /// The sender is registered as a writer.
    #[serde(rename = "rw")]
    Registered,
    /// Which grants the witness knows; the recipient is registered as a writer if it asked for that.
    #[serde(rename = "tw")]
    Testified(Testimony),
    /// The registration is given up.
    #[serde(rename = "yw")]
    Yielded {
        /// Number of the registration.
        #[serde(rename = "g")]
        generation: u64,
        /// Offset after the last record with which the writer granted a turn.
        #[serde(rename = "e")]
        end: u64,
    },
    /// These writers may have written what the owner has not applied.
    #[serde(rename = "b")]
    Blocked(Vec<Instance>),
    /// The record was queued for the log.
    #[serde(rename = "h")]
    Held,
    /// This instance received the request.
    #[serde(rename = "e")]
    Pong {
        /// Whether all grants of the latest outage are in the log, as far as this instance knows.
        #[serde(rename = "s")]
        settled: bool,
        /// Whether no grants can have been lost.
        #[serde(rename = "c", default)]
        complete: bool,
        /// What this instance knows of outages.
        #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
        evidence: Option<Evidence>,
    },
    /// This instance reaches the log.
    #[serde(rename = "q")]
    LogReachable,
    /// This instance can't reach the log over its direct path, or does not know the answer.
    #[serde(rename = "x")]
    Refused,
}

/// Routes the account requests of this instance to the owners of the partitions.
pub struct Client<L, T = Mesh> {
    replica: Rc<Replica<L, T>>,
    peers: RefCell<Option<Rc<Peers<T>>>>,
    /// Charges that owners reported recently.
    charges: RefCell<Recent<Program, u64>>,
    /// Owners that did not answer, and the time until which they get no requests.
    avoided: RefCell<Map<Instance, Time>>,
    /// Time of the latest decision by an owner.
    last_decision: Cell<Time>,
    /// Whether owners answer slowly, so that turns should start before the decision.
    slow: Cell<bool>,
    /// Latest time at which a turn was granted from a reserve.
    last_spent: Cell<Time>,
    /// Whether the other instances are known, so that all instances determine the same owners.
    joined: Cell<bool>,
    /// Ends of turns that other instances have not confirmed yet.
    unconfirmed: Rc<Cell<usize>>,
    /// Revision of the membership view from which the owned partitions were determined.
    ownership_revision: Cell<Option<u64>>,
}

impl<L: Log + 'static, T: Transport> Client<L, T> {
    /// Returns a client that knows no other instances; all partitions are local.
    pub fn new(replica: Rc<Replica<L, T>>) -> Self {
        Self {
            replica,
            peers: RefCell::default(),
            charges: RefCell::new(Recent::new(MAX_CHARGES)),
            avoided: RefCell::default(),
            last_decision: Cell::default(),
            slow: Cell::new(false),
            last_spent: Cell::default(),
            joined: Cell::new(true),
            unconfirmed: Rc::default(),
            ownership_revision: Cell::new(None),
        }
    }

    /// Adds the links to other instances; which instances exist is not known yet.
    pub fn connect(&self, peers: Peers<T>) {
        let holder = name_hash(&peers.roster.snapshot().local().instance);
        self.replica.reserves.set_holder(holder);
        self.peers.replace(Some(Rc::new(peers)));
        self.joined.set(false);
        for partition in 0..self.replica.partitions() {
            self.replica.set_owned(partition, false);
        }
    }

    /// Starts to own partitions, once the other instances are known.
    ///
    /// No partition is read before: instances that restart together would each read all of them.
    pub async fn join(&self) {
        self.replica.path().learn_past_outage().await;
        self.joined.set(true);
        self.update_ownership();
        self.replica.catch_up_witnessed().await;
    }

    /// Returns the owner of a partition, or `None` if it is this instance.
    fn remote_owner(&self, partition: usize) -> Option<(Rc<Peers<T>>, Instance)> {
        let peers = self.peers.borrow().clone()?;
        let snapshot = peers.roster.snapshot();
        let local = &snapshot.local().instance;
        let key = (partition as u64).to_be_bytes();
        // A leaving instance no longer owns partitions for the others, and must not own any for
        // itself, unless it knows no other instance.
        let owner = hash::rendezvous(&key, snapshot.usable()).unwrap_or(local);
        (owner != local).then(|| (peers.clone(), owner.clone()))
    }

    /// Returns up to `count` other instances that own partitions, in an order given by `key`; `None`
    /// if the other instances are not known yet.
    pub fn owners(&self, key: u64, count: usize) -> Option<(Rc<Peers<T>>, Vec<Instance>)> {
        let peers = self.peers.borrow().clone().filter(|_| self.joined.get())?;
        let partitions = self.replica.partitions();
        let mut owners = Vec::new();
        for partition in (0..partitions).map(|offset| (key as usize).wrapping_add(offset)) {
            match self.remote_owner(partition % partitions) {
                Some((_, owner)) if !owners.contains(&owner) => owners.push(owner),
                _ => {}
            }
            if owners.len() == count {
                break;
            }
        }
        Some((peers, owners))
    }

    /// Returns whether the other instances are known.
    pub fn joined(&self) -> bool {
        self.joined.get()
    }

    /// Returns whether no outage of the store is known that is under way or ended just now.
    pub fn settled(&self) -> bool {
        self.replica.path().settled()
    }

    /// Returns whether this instance is isolated from the log while others may reach it.
    pub fn isolated(&self) -> bool {
        self.replica.path().outage().isolated()
    }

    /// Returns the time after which callers are served by other instances; `None` unless this one
    /// is isolated.
    pub fn failover_delay(&self) -> Option<Duration> {
        self.replica.path().failover_delay()
    }

    /// Reports that a call to another topic of the store failed.
    pub fn report_failure(&self) {
        self.replica.path().report_failure();
    }

    /// Redetermines which partitions this instance owns. New ones are read at once, so that their
    /// accounts are known during an outage.
    pub fn update_ownership(&self) {
        let Some(peers) = self.peers.borrow().clone().filter(|_| self.joined.get()) else {
            return;
        };
        let revision = peers.roster.read(crate::member::View::revision);
        if self.ownership_revision.replace(Some(revision)) == Some(revision) {
            return;
        }
        for partition in 0..self.replica.partitions() {
            self.replica
                .set_owned(partition, self.remote_owner(partition).is_none());
        }
        self.replica.update_witnessed();
    }

    /// Requests a decision on whether a turn may run.
    pub fn open(
        self: &Rc<Self>,
        program: &str,
        turn: Turn,
        max_tokens: u64,
        budget: u64,
    ) -> Pending {
        let program = replica::identify(program);
        self.renew_reserve(program);
        let reserves = &self.replica.reserves;
        let reserve = reserves.request(Time::monotonic(), program, max_tokens, budget);
        let reservation = Reservation {
            program,
            turn,
            max_tokens,
            budget,
            reserve,
        };
        let pending = self.request_decision(reservation);
        if reserve.is_none() && !reserves.covers(program, max_tokens) {
            return pending;
        }
        let (reply, decision) = oneshot::channel();
        let this = self.clone();
        actix_web::rt::spawn(async move {
            let answer = this.decide_or_spend(reservation, pending.decision).await;
            // The caller may have left.
            let _ = reply.send(answer);
        });
        Pending {
            decision,
            likely: pending.likely,
        }
    }

    /// Waits for the decision of the account; spends the reserve of the program if it takes long
    /// or is impossible.
    async fn decide_or_spend(
        &self,
        reservation: Reservation,
        mut by_account: oneshot::Receiver<replica::Decision>,
    ) -> replica::Decision {
        let unavailable = replica::Decision::Unavailable;
        let delay = match self.impaired() {
            true => Duration::ZERO,
            false => RESERVE_DELAY,
        };
        let decided = timeout(delay, &mut by_account).await;
        let answer = decided.map(|answer| answer.unwrap_or(unavailable));
        match answer {
            Ok(answer) if answer != unavailable => {
                self.confirm_reserve(&reservation);
                return answer;
            }
            _ => {}
        }
        let Reservation {
            program,
            turn,
            max_tokens,
            ..
        } = reservation;
        if self.replica.reserves.spend(program, turn, max_tokens) {
            self.last_spent.set(Time::monotonic());
            log::info!(program, turn, late = answer.is_err(); "account: turn is granted from the reserve of its program");
            // The account may grant the turn later, and must not charge it as well.
            self.close_in_account(program, turn, 0);
            return replica::Decision::Granted;
        }
        match answer {
            Ok(answer) => answer,
            Err(_) => {
                let answer = by_account.await.unwrap_or(unavailable);
                self.confirm_reserve(&reservation);
                answer
            }
        }
    }

    /// Returns whether decisions of accounts are known to be slow or impossible.
    fn impaired(&self) -> bool {
        let outage = self.replica.path().outage();
        !self.joined.get() || self.slow.get() || outage != Outage::None
    }

    /// Records a reserve that is charged in the account here.
    fn confirm_reserve(&self, reservation: &Reservation) {
        let program = reservation.program;
        if let Some(request) = reservation.reserve {
            if self.replica.has_reserve(program, request.id) {
                self.replica.reserves.granted(program, &request);
            }
        }
    }

    /// Gives a reserve that was used in part back once decisions are fast again, so that the
    /// program gets a full one.
    fn renew_reserve(&self, program: Program) {
        let recently_spent = Time::monotonic().since(self.last_spent.get()) < RENEW_DELAY;
        if recently_spent || self.impaired() {
            return;
        }
        if let Some((id, used)) = self.replica.reserves.renew(program) {
            self.close_in_account(program, id, used);
        }
    }

    /// Gives the reserves back of which no turn runs, as this instance stops: nobody can ask it for them
    /// afterwards. While accounts can't decide, they serve the callers that still come.
    pub fn return_reserves(&self, callers_come: bool) {
        // An isolated instance would wait for the log until its grace period ends.
        if self.isolated() || (callers_come && self.impaired()) {
            return;
        }
        for (program, id, used) in self.replica.reserves.give_back(Time::monotonic()) {
            self.close_in_account(program, id, used);
        }
    }

    /// Requests a decision of the account on whether a turn may run.
    fn request_decision(self: &Rc<Self>, reservation: Reservation) -> Pending {
        if !self.joined.get() || self.isolated() {
            let (reply, decision) = oneshot::channel();
            // Can't fail, because the receiver still exists.
            let _ = reply.send(replica::Decision::Unavailable);
            return Pending {
                decision,
                likely: false,
            };
        }
        let Some((peers, owner)) =
            self.remote_owner(self.replica.partition_of(reservation.program))
        else {
            let pending = self.replica.open(reservation);
            return Pending {
                likely: pending.likely && self.slow.get(),
                ..pending
            };
        };
        let charged = self
            .charges
            .borrow()
            .get(&reservation.program)
            .copied()
            .unwrap_or(0);
        // During an outage the decision may take long or be a refusal, and the run would be wasted.
        let reachable = self.replica.path().outage() == Outage::None;
        let likely = reachable && self.slow.get() && reservation.has_headroom(charged);
        let (reply, decision) = oneshot::channel();
        let this = self.clone();
        actix_web::rt::spawn(async move {
            let answer = match this.avoids(&owner) {
                true => this.decide_by_standby(&peers, &owner, reservation).await,
                false => this.decide(&peers, owner, reservation).await,
            };
            // The caller may have left.
            let _ = reply.send(answer);
        });
        Pending { decision, likely }
    }

    /// Requests a decision of the owner; falls back to its standbys if the owner is slow or can't
    /// decide.
    async fn decide(
        &self,
        peers: &Peers<T>,
        owner: Instance,
        reservation: Reservation,
    ) -> replica::Decision {
        let mut by_owner = pin!(self.decide_by_owner(peers, &owner, reservation));
        let first = timeout(HEDGE_DELAY, &mut by_owner).await;
        match first {
            Ok(Some(answer)) if answer != replica::Decision::Unavailable => return answer,
            Ok(Some(_)) => {}
            Ok(None) => self.avoid(&owner),
            // Owners no longer answer: turns may be refused, so they must not start before the
            // decision.
            Err(_) if Time::monotonic().since(self.last_decision.get()) >= HEDGE_DELAY => {
                self.slow.set(false);
            }
            Err(_) => {}
        }
        let late = first.is_err();
        log::debug!(
            home = owner.as_str(), late;
            "account: partition owner has not decided; using a standby"
        );
        let by_log = self.decide_by_standby(peers, &owner, reservation).await;
        if by_log != replica::Decision::Unavailable && late {
            // The log answered before the owner did.
            self.avoid(&owner);
        }
        if by_log != replica::Decision::Unavailable || !late {
            return by_log;
        }
        let answer = by_owner.await;
        if answer.is_none() {
            self.avoid(&owner);
        }
        answer.unwrap_or(by_log)
    }

    /// Has the log decide without the owner, and notifies the owner, which has to charge the turn if
    /// it continues without the log.
    ///
    /// All instances use the same standbys. If each used the log by itself, it would have to read
    /// the whole partition first, and hundreds of them would keep the store busy for seconds.
    async fn decide_by_standby(
        &self,
        peers: &Peers<T>,
        owner: &Instance,
        reservation: Reservation,
    ) -> replica::Decision {
        let mut answer = replica::Decision::Unavailable;
        for standby in self.standbys(peers, owner, reservation.program) {
            answer = match standby {
                Some(standby) => self.decide_by_peer(peers, &standby, reservation).await,
                None => self.decide_by_log(reservation).await,
            };
            if answer != replica::Decision::Unavailable {
                break;
            }
        }
        if answer == replica::Decision::Granted {
            let reserve = reservation.reserve_entry(true).filter(|reserve| {
                let reserves = &self.replica.reserves;
                reserves.holds(reservation.program, reserve.turn())
            });
            for entry in [Some(reservation.entry(true)), reserve]
                .into_iter()
                .flatten()
            {
                if let Err(error) = peers.notify(owner, Request::Hold(entry)) {
                    log::debug!(
                        home = owner.as_str(), error:%;
                        "account: partition owner can't be notified of a granted turn"
                    );
                }
            }
        }
        answer
    }

    /// Returns the instances that decide about a program through the log if its owner can't; `None`
    /// stands for this instance.
    fn standbys(
        &self,
        peers: &Peers<T>,
        owner: &Instance,
        program: Program,
    ) -> Vec<Option<Instance>> {
        let snapshot = peers.roster.snapshot();
        let local = &snapshot.local().instance;
        let key = (self.replica.partition_of(program) as u64).to_be_bytes();
        let ranked = hash::ranking(&key, snapshot.usable());
        let usable = ranked
            .into_iter()
            .filter(|name| *name != owner && !self.avoids(name));
        let mut standbys: Vec<_> = usable
            .take(MAX_STANDBYS)
            .map(|name| (name != local).then(|| name.clone()))
            .collect();
        if standbys.is_empty() {
            standbys.push(None);
        }
        standbys
    }

    async fn decide_by_log(&self, reservation: Reservation) -> replica::Decision {
        let answer = self.replica.open(reservation).decision.await;
        self.confirm_reserve(&reservation);
        answer.unwrap_or(replica::Decision::Unavailable)
    }

    async fn decide_by_peer(
        &self,
        peers: &Peers<T>,
        name: &Instance,
        reservation: Reservation,
    ) -> replica::Decision {
        let answer = self.decide_by_owner(peers, name, reservation).await;
        if answer.is_none() {
            self.avoid(name);
        }
        answer.unwrap_or(replica::Decision::Unavailable)
    }

    async fn decide_by_owner(
        &self,
        peers: &Peers<T>,
        owner: &Instance,
        reservation: Reservation,
    ) -> Option<replica::Decision> {
        let sent = Time::monotonic();
        let response = peers
            .request(owner, Request::Open(reservation), OWNER_TIMEOUT)
            .await;
        if let Some(Response::DecidedWithReserve { reserved: true, .. }) = response {
            let reserves = &self.replica.reserves;
            reservation
                .reserve
                .inspect(|request| reserves.granted(reservation.program, request));
        }
        match response {
            Some(
                Response::Decided(answer, charged)
                | Response::DecidedWithReserve {
                    decision: answer,
                    charged,
                    ..
                },
            ) => {
                self.charges
                    .borrow_mut()
                    .insert(reservation.program, charged);
                if answer != replica::Decision::Unavailable {
                    let now = Time::monotonic();
                    self.last_decision.set(now);
                    self.slow.set(now.since(sent) >= SLOW_DECISION);
                }
                Some(answer)
            }
            _ => None,
        }
    }

    /// Records the end of a turn that may have run and sent `used` tokens to the caller.
    pub fn close(&self, program: &str, turn: Turn, used: u64) {
        let program = replica::identify(program);
        match self.replica.reserves.close(program, turn, used) {
            Payer::Account => self.close_in_account(program, turn, used),
            Payer::Held => {}
            // The account charges the turn's maximum since the reserve was returned.
            Payer::Returned { id, used } => self.close_in_account(program, id, used),
        }
    }

    /// Records the end of a turn, or of a reserve, in the account: with its owner or, if that does not
    /// confirm it, through the log.
    fn close_in_account(&self, program: Program, turn: Turn, used: u64) {
        let entry = Entry::Close {
            program,
            turn,
            used,
        };
        let owner = self.remote_owner(self.replica.partition_of(program));
        let recipient = owner
            .filter(|_| !self.isolated())
            .and_then(|(peers, owner)| {
                let recipient = match self.avoids(&owner) {
                    true => self.standbys(&peers, &owner, program).swap_remove(0)?,
                    false => owner,
                };
                Some((peers, recipient))
            });
        let Some((peers, recipient)) = recipient else {
            return self.replica.hold(entry);
        };
        let (replica, unconfirmed) = (self.replica.clone(), self.unconfirmed.clone());
        unconfirmed.set(unconfirmed.get() + 1);
        actix_web::rt::spawn(async move {
            let request = Request::Hold(entry);
            if peers.request(&recipient, request, CLOSE_TIMEOUT).await != Some(Response::Held) {
                replica.hold(entry);
            }
            unconfirmed.set(unconfirmed.get() - 1);
        });
    }

    /// Returns whether ends of turns wait for a confirmation, or for the log.
    pub fn pending(&self) -> bool {
        self.unconfirmed.get() > 0 || self.replica.pending()
    }

    fn avoids(&self, owner: &Instance) -> bool {
        let until = self.avoided.borrow().get(owner).copied();
        until.is_some_and(|until| Time::monotonic() < until)
    }

    fn avoid(&self, owner: &Instance) {
        log::warn!(
            home = owner.as_str();
            "account: partition owner did not answer in time; asking its standbys for a while"
        );
        let until = Time::monotonic() + AVOID_TIME;
        self.avoided.borrow_mut().insert(owner.clone(), until);
    }
}
