//! Path of an instance to the log: direct, or through another instance.
//!
//! The store may refuse single instances. Such an instance has others append and read for it.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    time::Duration,
};

use bytes::Bytes;
use futures_util::future::join;
use rand::RngExt as _;
use tokio::{
    sync::Notify,
    time::sleep, //
};

use super::{
    account::Entry,
    outage::{
        Outage,
        Probe, //
    },
    owner::{
        Answer,
        Question, //
    },
    peers::Peers,
};
use crate::{
    clock::Time,
    log::{
        Batch,
        Failure,
        Log, //
    },
};

/// Minimum time between tests of a failing direct path; also how long a success proves that it
/// works.
const TRY: Duration = Duration::from_millis(500);

/// Time for which a determined extent of an outage is not probed again.
const RECHECK: Duration = Duration::from_millis(800);

/// Validity of a total outage: one recheck interval and the duration of the recheck. An owner that
/// becomes isolated during an outage must not grant turns for longer.
const BELIEVED: Duration = Duration::from_millis(2_000);

/// Time until the balancer moves callers to other instances: it checks once a second and moves them
/// after two failed checks, as the platform documents.
const MOVED: Duration = Duration::from_secs(2);

/// Time after which callers retry at another instance of the availability zone.
const ELSEWHERE: Duration = Duration::from_millis(20);

/// Time after the recovery of the log for which only an instance that owned the partition before
/// grants turns. Others append the grants that they hold in this time: their next retry starts
/// within 1 s, takes at most 0.5 s, and is followed by an append within 0.25 s.
const SETTLE: Duration = Duration::from_millis(2_500);

/// The path to the log.
pub struct Path<L> {
    direct: L,
    peers: RefCell<Option<Peers>>,
    /// Whether the latest call over the direct path failed.
    broken: Cell<bool>,
    outage: Cell<(Time, Outage)>,
    /// Time at which this instance became isolated; meaningless unless it is.
    cut_since: Cell<Time>,
    /// Whether a probe of the extent of an outage is in flight.
    probing: Cell<bool>,
    /// Latest success over the direct path.
    reached: Cell<Time>,
    /// Whether the latest read over the direct path failed; a lost append alone is no outage.
    unreachable: Cell<bool>,
    /// Latest time at which the log was unreachable for this instance or for a peer that said so.
    trouble: Cell<Option<Time>>,
    /// Notified of each failed call to any topic of the store.
    alarm: Notify,
}

impl<L: Log> Path<L> {
    /// Returns a path without peers.
    pub fn new(direct: L) -> Self {
        Self {
            direct,
            peers: RefCell::new(None),
            broken: Cell::new(false),
            outage: Cell::new((Time::default(), Outage::None)),
            cut_since: Cell::default(),
            probing: Cell::new(false),
            reached: Cell::new(Time::default()),
            unreachable: Cell::new(false),
            trouble: Cell::new(None),
            alarm: Notify::new(),
        }
    }

    /// Adds the paths through other instances.
    pub fn connect(&self, peers: Peers) {
        self.peers.replace(Some(peers));
    }

    /// Returns the known extent of an outage.
    pub fn outage(&self) -> Outage {
        match self.outage.get() {
            (at, Outage::Total) if Time::monotonic().since(at) >= BELIEVED => Outage::None,
            (_, outage) => outage,
        }
    }

    /// Returns the time after which callers are served by other instances; `None` unless this one
    /// is isolated.
    pub fn elsewhere(&self) -> Option<Duration> {
        let since = Time::monotonic().since(self.cut_since.get());
        match self.outage() {
            Outage::None | Outage::Total => None,
            Outage::Alone => Some(ELSEWHERE),
            Outage::Zone => Some(MOVED.saturating_sub(since).max(ELSEWHERE)),
        }
    }

    /// Returns the direct path; `None` while it is failing.
    fn direct(&self) -> Option<&L> {
        (!self.broken.get()).then_some(&self.direct)
    }

    /// Records the result of a call over the direct path.
    fn note<T>(&self, result: &Result<T, Failure>) {
        let now = Time::monotonic();
        match result {
            Ok(_) | Err(Failure::Expired { .. }) => {
                self.broken.set(false);
                self.reached.set(now);
                self.learn(Outage::None);
                if self.unreachable.replace(false) {
                    self.trouble.set(Some(now));
                }
            }
            Err(_) => {
                self.broken.set(true);
                self.alarm.notify_one();
            }
        }
    }

    /// Records the result of a read over the direct path.
    fn note_read<T>(&self, result: &Result<T, Failure>) {
        self.note(result);
        if matches!(result, Err(failure) if !matches!(failure, Failure::Expired { .. })) {
            self.unreachable.set(true);
            self.trouble.set(Some(Time::monotonic()));
        }
    }

    /// Appends records over the direct path only; `None` while it is failing.
    pub async fn append_directly(
        &self,
        partition: u32,
        records: &[Bytes],
    ) -> Option<Result<u64, Failure>> {
        let result = self.direct()?.append(partition, records).await;
        self.note(&result);
        Some(result)
    }

    /// Reads records over the direct path only; `None` while it is failing.
    pub async fn read_directly(&self, partition: u32, from: u64) -> Option<Result<Batch, Failure>> {
        let result = self.direct()?.read(partition, from, Duration::ZERO).await;
        self.note_read(&result);
        Some(result)
    }

    /// Reports that a call to another topic of the store failed; the log itself may be unaffected.
    pub fn suspect(&self) {
        self.alarm.notify_one();
    }

    /// Queries other instances for an outage that ended before this instance started.
    ///
    /// If all instances start together, no instance holds a grant that is not in the log.
    pub async fn inherit(&self) {
        let Some(peers) = self.peers.borrow().clone() else {
            return;
        };
        if peers.hear().await.unsettled {
            log::info!("account: another instance reports a recent outage of the log; waiting for grants to be appended");
            self.trouble.set(Some(Time::monotonic()));
        }
    }

    /// Returns whether all turns granted during the latest outage are in the log by now.
    pub fn settled(&self) -> bool {
        let trouble = self.trouble.get();
        !self.unreachable.get() && trouble.is_none_or(|at| Time::monotonic().since(at) >= SETTLE)
    }

    /// Returns whether a call over the direct path succeeded just now.
    pub fn reached(&self) -> bool {
        Time::monotonic().since(self.reached.get()) < TRY
    }

    /// Has another instance execute a call.
    async fn help(&self, question: Question, assisted: bool) -> Option<Answer> {
        let peers = self.peers.borrow().clone().filter(|_| assisted)?;
        let helpers = peers.helpers();
        let probe = async {
            // One probe at a time, so that an outage does not multiply the traffic.
            if self.checked() || self.probing.replace(true) {
                return None;
            }
            let probed = peers.probe(&helpers).await;
            self.probing.set(false);
            Some(probed)
        };
        let (helped, probed) = join(peers.first(&helpers, &question), probe).await;
        if let Some(answer) = helped {
            self.learn(Outage::None);
            return Some(answer);
        }
        let (probe, reaching) = probed?;
        if let Some(answer) = peers.first(&reaching, &question).await {
            self.learn(Outage::None);
            return Some(answer);
        }
        self.conclude(&probe);
        None
    }

    /// Infers the extent of an outage from a probe. Instances that reported the log as reachable
    /// but failed to execute the call have only just lost it; the next probe is more accurate.
    fn conclude(&self, probe: &Probe) {
        if probe.reaching > 0 {
            return;
        }
        let outage = probe.outage();
        if outage == Outage::Alone && self.outage() == Outage::Zone {
            return;
        }
        log::warn!(
            refusals = probe.refusals, asked = probe.asked, live = probe.live,
            known = probe.known, outage:? = outage;
            "account: no instance that was asked reaches the log"
        );
        self.learn(outage);
    }

    /// Returns whether the extent of an outage was determined just now.
    fn checked(&self) -> bool {
        let (at, outage) = self.outage.get();
        outage != Outage::None && Time::monotonic().since(at) < RECHECK
    }

    /// Determines after failures of the store whether this instance is isolated, and tests the
    /// direct path until it works, so that no turn has to; never returns.
    pub async fn watch(&self) {
        loop {
            if !self.broken.get() && !self.outage().cut_off() {
                self.alarm.notified().await;
            }
            join(self.test(), self.check(Time::monotonic())).await;
            // Jitter: instances that were refused together must not retry together.
            sleep(TRY.mul_f64(rand::rng().random_range(1.0..2.0))).await;
        }
    }

    /// Tests the direct path.
    async fn test(&self) {
        let result = self.direct.bounds(0).await;
        self.note_read(&result);
    }

    /// Determines whether this instance is isolated, unless a call succeeds after `start`.
    async fn check(&self, start: Time) {
        let Some(peers) = self.peers.borrow().clone() else {
            return;
        };
        let hearing = peers.hear().await;
        if self.reached.get() >= start {
            return;
        }
        if let Some(outage) = hearing.cut() {
            if self.outage() != outage {
                log::warn!(
                    near = hearing.near, outage:? = outage;
                    "account: no instance of another availability zone answers"
                );
            }
            return self.learn(outage);
        }
        if !self.outage().cut_off() || self.probing.replace(true) {
            return;
        }
        let (probe, _) = peers.probe(&[]).await;
        self.probing.set(false);
        match probe.reaching {
            // Other instances can execute the calls.
            1.. => self.learn(Outage::None),
            0 => self.conclude(&probe),
        }
    }

    fn learn(&self, outage: Outage) {
        let now = Time::monotonic();
        if outage.cut_off() && !self.outage().cut_off() {
            self.cut_since.set(now);
        }
        self.outage.set((now, outage));
    }

    /// Has another instance hold a turn granted without the log; returns whether one does.
    pub async fn hold(&self, entry: Entry) -> bool {
        let peers = self.peers.borrow().clone();
        match peers {
            Some(peers) => peers.hold(entry).await,
            None => false,
        }
    }

    /// Appends records; if `assisted`, through other instances while the direct path is failing.
    pub async fn append(
        &self,
        partition: u32,
        records: &[Bytes],
        assisted: bool,
    ) -> Result<u64, Failure> {
        let mut failure = broken();
        match self.append_directly(partition, records).await {
            Some(Ok(offset)) => return Ok(offset),
            Some(Err(error)) => failure = error,
            None => {}
        }
        let records = records.to_vec();
        let question = Question::Append { partition, records };
        match self.help(question, assisted).await {
            Some(Answer::Appended(offset)) => Ok(offset),
            _ => Err(failure),
        }
    }

    /// Reads records; if `assisted`, through other instances while the direct path is failing.
    pub async fn read(&self, partition: u32, from: u64, assisted: bool) -> Result<Batch, Failure> {
        let mut failure = broken();
        match self.read_directly(partition, from).await {
            Some(Err(error)) if !matches!(error, Failure::Expired { .. }) => failure = error,
            Some(result) => return result,
            None => {}
        }
        match self
            .help(Question::Read { partition, from }, assisted)
            .await
        {
            Some(Answer::Records { records, next }) => Ok(Batch { records, next }),
            _ => Err(failure),
        }
    }
}

fn broken() -> Failure {
    Failure::NotApplied("the direct path to the log is failing".into())
}
