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
use futures_util::{
    future::join,
    stream::{
        FuturesUnordered,
        StreamExt as _, //
    }, //
};
use rand::RngExt as _;
use tokio::{
    sync::Notify,
    time::{
        sleep,
        timeout, //
    }, //
};

use super::{
    account::{
        Program,
        Turn, //
    },
    evidence::Journal,
    latency::Latency,
    outage::{
        Outage,
        Probe, //
    },
    owner::{
        Request,
        Response, //
    },
    peers::{
        Peers,
        Transport,
        HELP_TIMEOUT, //
    },
};
use crate::{
    clock::Time,
    log::{
        Batch,
        Failure,
        Log, //
    },
    peer::Mesh,
};

/// Minimum time between tests of a failing direct path; also how long a success proves that it
/// works.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a determined extent of an outage is not probed again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(800);

/// Validity of a total outage: one recheck interval and the duration of the recheck. An owner that
/// becomes isolated during an outage must not grant turns for longer.
const TOTAL_OUTAGE_TTL: Duration = Duration::from_millis(2_000);

/// Time until the balancer moves callers to other instances: it checks once a second and moves them
/// after two failed checks, as the platform documents.
const BALANCER_FAILOVER: Duration = Duration::from_secs(2);

/// Time after which callers retry at another instance of the availability zone.
const FAILOVER_DELAY: Duration = Duration::from_millis(20);

/// Time after the recovery of the log for which only an instance that owned the partition before
/// grants turns. Others append the grants that they hold in this time: their next retry starts
/// within 1 s, takes at most 0.5 s, and is followed by an append within 0.25 s.
const SETTLE_TIME: Duration = Duration::from_millis(2_500);

/// Range of the time without an answer after which an append is repeated. The longest one is within
/// the timeout of the call.
const REPEAT_DELAY: [Duration; 2] = [Duration::from_millis(15), Duration::from_millis(400)];

/// Maximum appends of the same records.
const MAX_APPENDS: usize = 3;

/// Topic of the log, which other instances have to know to execute calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Topic {
    /// Token accounts.
    Accounts,
    /// Kept turns.
    Turns,
}

impl Topic {
    /// Returns the request that another instance appends records.
    fn append(self, partition: u32, records: Vec<Bytes>) -> Request {
        match self {
            Self::Accounts => Request::Append { partition, records },
            Self::Turns => Request::AppendTurns { partition, records },
        }
    }

    /// Returns the request that another instance reads records.
    fn read(self, partition: u32, from: u64) -> Request {
        match self {
            Self::Accounts => Request::Read { partition, from },
            Self::Turns => Request::ReadTurns { partition, from },
        }
    }
}

/// The path to the log.
pub struct Path<L, T = Mesh> {
    direct: L,
    topic: Topic,
    peers: RefCell<Option<Peers<T>>>,
    /// Whether the latest call over the direct path failed.
    failing: Cell<bool>,
    outage: Cell<(Time, Outage)>,
    /// Time at which this instance became isolated; meaningless unless it is.
    isolated_since: Cell<Time>,
    /// Whether a probe of the extent of an outage is in flight.
    probing: Cell<bool>,
    /// Number of the choice of helpers; changes when none of them could help.
    helper_round: Cell<u64>,
    /// Latest success over the direct path.
    last_success: Cell<Time>,
    /// Whether the latest read over the direct path failed; a lost append alone is no outage.
    unreachable: Cell<bool>,
    /// Latest time at which the log was unreachable for this instance or for a peer that said so.
    unreachable_at: Cell<Option<Time>>,
    /// Outages of the log.
    journal: Journal,
    /// Notified of each failed call to any topic of the store.
    failure_alert: Notify,
    /// How long appends over the direct path take.
    append_latency: Latency,
}

impl<L: Log, T: Transport> Path<L, T> {
    /// Returns a path without peers.
    pub fn new(direct: L) -> Self {
        Self::to_topic(direct, Topic::Accounts)
    }

    /// Returns a path to a topic, without peers.
    pub fn to_topic(direct: L, topic: Topic) -> Self {
        Self {
            direct,
            topic,
            peers: RefCell::new(None),
            failing: Cell::new(false),
            outage: Cell::new((Time::default(), Outage::None)),
            isolated_since: Cell::default(),
            probing: Cell::new(false),
            helper_round: Cell::new(0),
            last_success: Cell::new(Time::default()),
            unreachable: Cell::new(false),
            unreachable_at: Cell::new(None),
            journal: Journal::new(),
            failure_alert: Notify::new(),
            append_latency: Latency::default(),
        }
    }

    /// Adds the paths through other instances.
    pub fn connect(&self, peers: Peers<T>) {
        self.peers.replace(Some(peers));
    }

    /// Returns the known extent of an outage.
    pub fn outage(&self) -> Outage {
        match self.outage.get() {
            (at, Outage::Total) if Time::monotonic().since(at) >= TOTAL_OUTAGE_TTL => Outage::None,
            (_, outage) => outage,
        }
    }

    /// Returns the time after which callers are served by other instances; `None` unless this one
    /// is isolated.
    pub fn failover_delay(&self) -> Option<Duration> {
        let since = Time::monotonic().since(self.isolated_since.get());
        match self.outage() {
            Outage::None | Outage::Total => None,
            Outage::Alone => Some(FAILOVER_DELAY),
            Outage::Zone => Some(BALANCER_FAILOVER.saturating_sub(since).max(FAILOVER_DELAY)),
        }
    }

    /// Returns whether the direct path is failing.
    pub fn is_failing(&self) -> bool {
        self.failing.get()
    }

    /// Returns the direct path; `None` while it is failing.
    fn direct(&self) -> Option<&L> {
        (!self.failing.get()).then_some(&self.direct)
    }

    /// Records the result of a call over the direct path.
    fn record<R>(&self, result: &Result<R, Failure>) {
        let now = Time::monotonic();
        match result {
            Ok(_) | Err(Failure::Expired { .. }) => {
                self.failing.set(false);
                self.last_success.set(now);
                self.set_outage(Outage::None);
                if self.unreachable.replace(false) {
                    self.unreachable_at.set(Some(now));
                }
            }
            Err(_) => {
                self.failing.set(true);
                self.failure_alert.notify_one();
            }
        }
    }

    /// Records the result of a read over the direct path.
    fn record_read<R>(&self, result: &Result<R, Failure>) {
        self.record(result);
        if matches!(result, Err(failure) if !matches!(failure, Failure::Expired { .. })) {
            self.unreachable.set(true);
            self.unreachable_at.set(Some(Time::monotonic()));
            self.journal.record();
        }
    }

    /// Appends records over the direct path only; `None` while it is failing.
    pub async fn append_directly(
        &self,
        partition: u32,
        records: &[Bytes],
    ) -> Option<Result<u64, Failure>> {
        let result = self.append_repeatedly(partition, records).await?;
        self.record(&result);
        Some(result)
    }

    /// Appends records, and again while no answer comes; records that are appended twice change
    /// nothing.
    async fn append_repeatedly(
        &self,
        partition: u32,
        records: &[Bytes],
    ) -> Option<Result<u64, Failure>> {
        let direct = self.direct()?;
        let start = Time::monotonic();
        let mut appends = FuturesUnordered::new();
        appends.push(direct.append(partition, records));
        let mut repeats_left = match self.topic {
            Topic::Accounts => MAX_APPENDS - 1,
            Topic::Turns => 0,
        };
        loop {
            let delay = match repeats_left {
                0 => Duration::MAX,
                _ => self.append_latency.limit(REPEAT_DELAY),
            };
            match timeout(delay, appends.next()).await {
                Ok(Some(Ok(offset))) => {
                    self.append_latency.record(Time::monotonic().since(start));
                    return Some(Ok(offset));
                }
                Ok(Some(failure)) if appends.is_empty() => return Some(failure),
                Ok(_) => {}
                Err(_) => {
                    repeats_left -= 1;
                    appends.push(direct.append(partition, records));
                }
            }
        }
    }

    /// Returns the time that an append rarely exceeds, within a range.
    pub fn append_limit(&self, range: [Duration; 2]) -> Duration {
        self.append_latency.limit(range)
    }

    /// Reads records over the direct path only; `None` while it is failing.
    pub async fn read_directly(&self, partition: u32, from: u64) -> Option<Result<Batch, Failure>> {
        let result = self.direct()?.read(partition, from, Duration::ZERO).await;
        self.record_read(&result);
        Some(result)
    }

    /// Drops the records before an offset, over the direct path only.
    pub async fn trim_directly(&self, partition: u32, before: u64) -> Option<Result<(), Failure>> {
        Some(self.direct()?.trim(partition, before).await)
    }

    /// Reports that a call to another topic of the store failed; the log itself may be unaffected.
    pub fn report_failure(&self) {
        self.failure_alert.notify_one();
    }

    /// Records that the deployment starts for the first time with this instance.
    pub fn set_first_start(&self) {
        self.journal.set_first_start();
    }

    /// Returns the outages of the log that are known here.
    pub fn journal(&self) -> &Journal {
        &self.journal
    }

    /// Queries other instances for outages before this instance started.
    ///
    /// If all instances start together, none holds a grant that is not in the log, but instances
    /// that were killed may have held some.
    pub async fn learn_past_outage(&self) {
        let Some(peers) = self.peers.borrow().clone() else {
            return;
        };
        let reachability = peers.reachability().await;
        self.journal.learn(reachability.evidence);
        if reachability.unsettled {
            log::info!(
                "account: a peer reports a recent outage of the log; waiting until its grants are appended"
            );
            self.unreachable_at.set(Some(Time::monotonic()));
        }
    }

    /// Returns whether all turns granted during the latest outage are in the log by now.
    pub fn settled(&self) -> bool {
        let unreachable_at = self.unreachable_at.get();
        !self.unreachable.get()
            && unreachable_at.is_none_or(|at| Time::monotonic().since(at) >= SETTLE_TIME)
    }

    /// Returns whether a call over the direct path succeeded just now.
    pub fn recently_reached(&self) -> bool {
        Time::monotonic().since(self.last_success.get()) < RETRY_INTERVAL
    }

    /// Has another instance execute a call.
    async fn delegate(&self, request: Request, use_peers: bool) -> Option<Response> {
        let peers = self.peers.borrow().clone().filter(|_| use_peers)?;
        let helpers = peers.helpers(self.helper_round.get());
        let probe = async {
            // One probe at a time, so that an outage does not multiply the traffic.
            if self.recently_probed() || self.probing.replace(true) {
                return None;
            }
            let probed = peers.probe(&helpers).await;
            self.probing.set(false);
            Some(probed)
        };
        let delegated = peers.request_any(&helpers, &request, HELP_TIMEOUT);
        let (delegated, probed) = join(delegated, probe).await;
        if let Some(answer) = delegated.filter(executed) {
            self.set_outage(Outage::None);
            return Some(answer);
        }
        self.helper_round.set(self.helper_round.get() + 1);
        let (probe, reaching) = probed?;
        let delegated = peers.request_any(&reaching, &request, HELP_TIMEOUT).await;
        if let Some(answer) = delegated.filter(executed) {
            self.set_outage(Outage::None);
            return Some(answer);
        }
        self.infer_outage(&probe);
        None
    }

    /// Infers the extent of an outage from a probe. Instances that reported the log as reachable
    /// but failed to execute the call have only just lost it; the next probe is more accurate.
    fn infer_outage(&self, probe: &Probe) {
        if probe.reaching > 0 {
            return;
        }
        let outage = probe.outage();
        if outage == Outage::Alone && self.outage() == Outage::Zone {
            return;
        }
        log::warn!(
            refusals = probe.refusals, asked = probe.probed, live = probe.live,
            known = probe.known, outage:? = outage;
            "account: no probed instance reaches the log; assuming an outage"
        );
        self.set_outage(outage);
    }

    /// Returns whether the extent of an outage was determined just now.
    fn recently_probed(&self) -> bool {
        let (at, outage) = self.outage.get();
        outage != Outage::None && Time::monotonic().since(at) < RECHECK_INTERVAL
    }

    /// Determines after failures of the store whether this instance is isolated, and tests the
    /// direct path until it works, so that no turn has to; never returns.
    pub async fn watch(&self) {
        loop {
            if !self.failing.get() && !self.outage().isolated() {
                self.failure_alert.notified().await;
            }
            join(self.test_direct(), self.check_isolation(Time::monotonic())).await;
            // Jitter: instances that were refused together must not retry together.
            let jitter = match self.peers() {
                Some(peers) => peers.mesh.rng().random_range(1.0..2.0),
                None => 1.0,
            };
            sleep(RETRY_INTERVAL.mul_f64(jitter)).await;
        }
    }

    async fn test_direct(&self) {
        let result = self.direct.bounds(0).await;
        self.record_read(&result);
    }

    /// Determines whether this instance is isolated, unless a call succeeds after `start`.
    async fn check_isolation(&self, start: Time) {
        let Some(peers) = self.peers.borrow().clone() else {
            return;
        };
        let reachability = peers.reachability().await;
        if self.last_success.get() >= start {
            return;
        }
        if let Some(outage) = reachability.isolation() {
            if self.outage() != outage {
                log::warn!(
                    near = reachability.local, outage:? = outage;
                    "account: no instance of another availability zone answers; refusing turns with a token budget"
                );
            }
            return self.set_outage(outage);
        }
        if !self.outage().isolated() || self.probing.replace(true) {
            return;
        }
        let (probe, _) = peers.probe(&[]).await;
        self.probing.set(false);
        match probe.reaching {
            // Other instances can execute the calls.
            1.. => self.set_outage(Outage::None),
            0 => self.infer_outage(&probe),
        }
    }

    fn set_outage(&self, outage: Outage) {
        let now = Time::monotonic();
        if outage.isolated() && !self.outage().isolated() {
            self.isolated_since.set(now);
        }
        self.outage.set((now, outage));
    }

    /// Returns the links to other instances; `None` before they are connected.
    pub fn peers(&self) -> Option<Peers<T>> {
        self.peers.borrow().clone()
    }

    /// Has the holder of a reserve give it back; returns the tokens used of it if it does.
    pub async fn reclaim(&self, holder: u64, program: Program, id: Turn) -> Option<u64> {
        let peers = self.peers.borrow().clone()?;
        peers.reclaim(holder, program, id).await
    }

    /// Appends records; if `use_peers`, through other instances while the direct path is failing.
    pub async fn append(
        &self,
        partition: u32,
        records: &[Bytes],
        use_peers: bool,
    ) -> Result<u64, Failure> {
        let mut failure = direct_failing();
        match self.append_directly(partition, records).await {
            Some(Ok(offset)) => return Ok(offset),
            Some(Err(error)) => failure = error,
            None => {}
        }
        let request = self.topic.append(partition, records.to_vec());
        match self.delegate(request, use_peers).await {
            Some(Response::Appended(offset)) => Ok(offset),
            _ => Err(failure),
        }
    }

    /// Reads records; if `use_peers`, through other instances while the direct path is failing.
    pub async fn read(&self, partition: u32, from: u64, use_peers: bool) -> Result<Batch, Failure> {
        let mut failure = direct_failing();
        match self.read_directly(partition, from).await {
            Some(Err(error)) if !matches!(error, Failure::Expired { .. }) => failure = error,
            Some(result) => return result,
            None => {}
        }
        match self
            .delegate(self.topic.read(partition, from), use_peers)
            .await
        {
            Some(Response::Records { records, next }) => Ok(Batch { records, next }),
            _ => Err(failure),
        }
    }
}

/// Returns whether another instance executed a call.
fn executed(answer: &Response) -> bool {
    *answer != Response::Refused
}

fn direct_failing() -> Failure {
    Failure::NotApplied("the direct path to the log is failing".into())
}
