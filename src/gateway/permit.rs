//! Permits for requests to upstreams that limit them.
//!
//! Answers the load pattern of many senders that each send an overloaded upstream little, and far too
//! much together: instances of all availability zones, dispatchers, and streams that go on after a
//! break. For each service one instance issues the permits of all senders, as slots at the pace of
//! the limit. For senders that get no answer of the issuer, the dispatcher of their zone issues a share
//! of the limit.
//!
//! An upstream takes one and a half times its limit for some seconds. Two issuers that know different
//! members, as around a restart or a pause of one of them, stay below that: the one that has
//! just begun to issue keeps to a part of the limit until the other has certainly ended.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use serde::{
    Deserialize,
    Serialize, //
};
use tokio::time::sleep;

use super::{
    fleet::Fleet,
    limit::{
        Change,
        Message,
        Notice, //
    },
    peers::Peers,
    registry::Server,
    slots::{
        Slots,
        REDUCED, //
    },
};
use crate::{
    clock::Time,
    hash::Map,
    member::Snapshot,
    name::Instance,
    peer::wire::Body, //
};

/// Time after its slot for which a permit may be used. A sender that was paused in between needs
/// another one.
const PERMIT_TTL: Duration = Duration::from_millis(300);

/// Timeout of a request for a permit: several round trips between zones, and less than a dispatcher
/// has to place a turn.
const ISSUE_TIMEOUT: Duration = Duration::from_millis(15);

/// Time for which an issuer that did not answer is not asked.
const AVOID_TIME: Duration = Duration::from_millis(300);

/// Time after a failed attempt to learn the limits of a service from others until the next one.
const LIST_RETRY_TIME: Duration = Duration::from_millis(100);

/// Longest time between two sweeps, which are due each second, of a process that was not paused.
const MAX_SWEEP_INTERVAL: Duration = Duration::from_millis(2_500);

/// Time for which notices are collected before they are sent to other instances: an overloaded upstream
/// is rarely the only one.
const BATCH_DELAY: Duration = Duration::from_millis(20);

/// Wait for a slot beyond which another upstream may be the better choice, unless the wait was
/// expected when the upstream was chosen.
const WAIT_TOLERANCE: Duration = Duration::from_millis(20);

/// Maximum denials after which a request takes the next slot, even if another upstream were better.
const MAX_DENIALS: u32 = 4;

/// Request for a permit.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Request {
    /// Limit of the upstream, as the requester knows it.
    #[serde(rename = "n")]
    notice: Message,
    /// Longest time that the request may wait for its slot.
    #[serde(rename = "w")]
    max_wait_us: u64,
    /// Whether the issuer did not answer, so that the share of the zone is requested.
    #[serde(rename = "z", default, skip_serializing_if = "std::ops::Not::not")]
    share: bool,
}

/// Response to a request for a permit.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Response {
    /// The request may be sent after a wait.
    #[serde(rename = "g")]
    Granted {
        /// Time until the slot.
        #[serde(rename = "w")]
        wait_us: u64,
        /// Later notice of the upstream than the requester has.
        #[serde(rename = "n", default, skip_serializing_if = "Option::is_none")]
        notice: Option<Message>,
    },
    /// The next slot is too late.
    #[serde(rename = "d")]
    Denied {
        /// Time until the slot.
        #[serde(rename = "w")]
        wait_us: u64,
    },
    /// The instance does not issue permits of the service.
    #[serde(rename = "r")]
    Refused,
}

/// Permission to send one request to an upstream.
#[derive(Debug)]
pub struct Permit {
    /// Slot on the boot clock; `None` if the upstream has no limit.
    slot: Option<Time>,
    /// Who issued it, as the label of a metric.
    pub by: &'static str,
}

impl Permit {
    /// Returns the permission to send to an upstream without a limit.
    fn unlimited() -> Self {
        Self {
            slot: None,
            by: "upstream",
        }
    }

    /// Returns the permission to use the slot after a wait.
    pub fn new(wait: Duration, by: &'static str) -> Self {
        Self {
            slot: Some(Time::boot() + wait),
            by,
        }
    }

    /// Waits for the slot; returns whether the permit may still be used.
    pub async fn wait(&self) -> bool {
        let Some(slot) = self.slot else {
            return true;
        };
        sleep(slot.since(Time::boot())).await;
        self.usable()
    }

    /// Returns the time until the slot; `None` if the upstream has no limit.
    pub fn slot(&self) -> Option<Duration> {
        self.slot.map(|slot| slot.since(Time::boot()))
    }

    /// Returns whether the permit may still be used.
    pub fn usable(&self) -> bool {
        self.slot
            .is_none_or(|slot| Time::boot().since(slot) < PERMIT_TTL)
    }
}

/// Search for an upstream that takes a request in time.
#[derive(Debug)]
pub struct Search {
    excluded: Vec<SocketAddr>,
    max_wait: Duration,
    denials: u32,
    /// Shortest time until a slot that was too late.
    limited: Option<Duration>,
}

impl Search {
    /// Begins a search among all upstreams but the `excluded` ones; the request may wait for
    /// `max_wait`.
    pub fn new(excluded: Vec<SocketAddr>, max_wait: Duration) -> Self {
        Self {
            excluded,
            max_wait,
            denials: 0,
            limited: None,
        }
    }

    /// Returns the upstreams that can't take the request.
    pub fn excluded(&self) -> &[SocketAddr] {
        &self.excluded
    }

    /// Excludes an upstream.
    pub fn exclude(&mut self, upstream: SocketAddr) {
        self.excluded.push(upstream);
    }

    /// Changes how long the request may wait.
    pub fn set_max_wait(&mut self, max_wait: Duration) {
        self.max_wait = max_wait;
    }

    /// Returns how long the request may wait for a slot.
    pub fn max_wait(&self) -> Wait {
        Wait {
            max: self.max_wait,
            expected_only: self.denials < MAX_DENIALS,
        }
    }

    /// Records that the next slot of an upstream is too late, or later than expected.
    ///
    /// Without an issuer, a wait that is short enough can be the time until it is asked again.
    pub fn deny(&mut self, upstream: SocketAddr, wait: Duration) {
        self.denials += 1;
        if wait > self.max_wait || self.denials > MAX_DENIALS {
            self.exclude(upstream);
            self.limit(wait);
        }
    }

    /// Records that the next slot is too late at all upstreams that were considered.
    pub fn limit(&mut self, wait: Duration) {
        self.limited = Some(self.limited.map_or(wait, |limited| limited.min(wait)));
    }

    /// Returns the shortest time until a slot, if limits are the reason that no upstream is left.
    pub fn limited(&self) -> Option<Duration> {
        self.limited
    }
}

/// How long a request may wait for its slot.
#[derive(Clone, Copy, Debug)]
pub struct Wait {
    /// Longest time.
    pub max: Duration,
    /// Whether the time is to be no longer than expected from earlier slots.
    pub expected_only: bool,
}

/// Who issues permits.
enum Issuer {
    /// This instance.
    Local,
    /// Another instance.
    Remote(Peers, Instance),
}

/// Requests permits for the senders of this instance, and issues those of the services that this
/// instance is responsible for.
pub struct Limiter {
    fleet: Rc<Fleet>,
    peers: RefCell<Option<Peers>>,
    /// Slots that this instance issues to all.
    issued: RefCell<Slots>,
    /// Slots of the zone's share, for when the issuer does not answer.
    shares: RefCell<Slots>,
    /// Time until which the issuer is not asked.
    avoid_until: Cell<Time>,
    /// Notices that other instances have to learn.
    unsent: RefCell<Vec<Notice>>,
    /// Services whose limits were learned from others since the start or the latest pause, or the time
    /// of the next attempt.
    learned: RefCell<Map<Arc<str>, Learned>>,
    /// Time of the latest sweep, on the boot clock.
    swept_at: Cell<Time>,
}

/// Whether the limits of a service were learned from another instance.
#[derive(Clone, Copy, Debug)]
enum Learned {
    /// They were; from then on it tells of changes.
    Done,
    /// Nobody answered; the next attempt is due then.
    RetryAt(Time),
}

impl Limiter {
    /// Returns a limiter of an instance without links to others, which issues all permits itself.
    pub fn new(fleet: Rc<Fleet>) -> Self {
        Self {
            fleet,
            peers: RefCell::default(),
            issued: RefCell::new(Slots::for_all()),
            shares: RefCell::new(Slots::share()),
            avoid_until: Cell::default(),
            unsent: RefCell::default(),
            learned: RefCell::default(),
            swept_at: Cell::new(Time::boot()),
        }
    }

    /// Adds the links to other instances.
    pub fn connect(&self, peers: Peers) {
        self.peers.replace(Some(peers));
    }

    fn issuer(&self, service: &str) -> Issuer {
        self.find(|snapshot| snapshot.issuer(service))
    }

    /// Returns who issues the share of the zone.
    fn share_issuer(&self, service: &str) -> Issuer {
        self.find(|snapshot| snapshot.placer(&snapshot.local().zone, service))
    }

    fn find(&self, find: impl Fn(&Snapshot) -> Option<&Instance>) -> Issuer {
        let Some(peers) = self.peers.borrow().clone() else {
            return Issuer::Local;
        };
        let snapshot = peers.roster.snapshot();
        match find(&snapshot) {
            Some(issuer) if *issuer != snapshot.local().instance => {
                Issuer::Remote(peers.clone(), issuer.clone())
            }
            // Without any live instance, this one is the last and is leaving.
            Some(_) | None => Issuer::Local,
        }
    }

    /// Requests a permit for an upstream; returns the time until the next slot if that is too long.
    pub async fn request(self: &Rc<Self>, server: &Server, wait: Wait) -> Result<Permit, Duration> {
        self.learn_all(&server.service).await;
        let now = Time::monotonic();
        let Some(notice) = self.limit(server) else {
            return Ok(Permit::unlimited());
        };
        // Slots only get later, so that a known one that is too late need not be asked for again.
        let known = self
            .fleet
            .load(server.address, |load| load.permit_wait(now));
        if known > wait.max {
            return Err(known);
        }
        let max_wait = match wait.expected_only {
            true => wait.max.min(known + WAIT_TOLERANCE),
            false => wait.max,
        };
        let issued = match self.issuer(&server.service) {
            Issuer::Local => Some(self.issue(&notice, max_wait)),
            Issuer::Remote(peers, issuer) if now >= self.avoid_until.get() => {
                let answer = self.ask(&peers, &issuer, &notice, max_wait, false).await;
                if answer.is_none() {
                    self.avoid_until.set(Time::monotonic() + AVOID_TIME);
                }
                answer
            }
            Issuer::Remote(..) => None,
        };
        let result = match issued {
            Some(Ok(wait)) => Ok(Permit::new(wait, "issuer")),
            Some(Err(wait)) => Err(wait),
            None => match self.request_share(&notice, max_wait).await {
                Some(Ok(wait)) => Ok(Permit::new(wait, "share")),
                // By then the issuer is asked again.
                Some(Err(wait)) => Err(wait.min(AVOID_TIME)),
                None => Err(AVOID_TIME),
            },
        };
        let wait = match &result {
            Ok(permit) => permit.slot().unwrap_or_default(),
            Err(wait) => *wait,
        };
        let next = Time::monotonic() + wait;
        self.fleet
            .load(server.address, |load| load.set_next_permit(next));
        result
    }

    /// Learns the limits of a service from another instance, unless that was done since the start of
    /// this one, or since it was paused.
    async fn learn_all(self: &Rc<Self>, service: &Arc<str>) {
        let now = Time::boot();
        if now.since(self.swept_at.get()) > MAX_SWEEP_INTERVAL {
            self.swept_at.set(now);
            self.learned.borrow_mut().clear();
        }
        match self.learned.borrow().get(service) {
            Some(Learned::Done) => return,
            Some(Learned::RetryAt(at)) if now < *at => return,
            Some(Learned::RetryAt(_)) | None => {}
        }
        let Some(peers) = self.peers.borrow().clone() else {
            return;
        };
        let snapshot = peers.roster.snapshot();
        let local = &snapshot.local().instance;
        let issuer = snapshot.issuer(service).into_iter();
        let mut others = issuer
            .chain(snapshot.placers(service))
            .filter(|name| *name != local);
        let Some(other) = others.next() else {
            return;
        };
        let retry = Learned::RetryAt(now + LIST_RETRY_TIME);
        self.learned.borrow_mut().insert(service.clone(), retry);
        let body = Body::ListLimits(service.clone());
        match peers.mesh.request(other, body, ISSUE_TIMEOUT).await {
            Ok(Body::Limits(messages)) => {
                self.learn(messages);
                let mut learned = self.learned.borrow_mut();
                learned.insert(service.clone(), Learned::Done);
            }
            Ok(_) => {}
            Err(error) => log::debug!(
                peer = other.as_str(), error:%;
                "permit: limits of a service can't be learned from a peer; retrying shortly"
            ),
        }
    }

    /// Returns the limits of a service for another instance.
    pub fn list(&self, service: &str) -> Vec<Message> {
        let now = Time::monotonic();
        let limits = self.fleet.limits.borrow();
        let messages = limits
            .limited(service)
            .map(|notice| Message::new(now, notice));
        messages.collect()
    }

    fn limit(&self, server: &Server) -> Option<Notice> {
        let limits = self.fleet.limits.borrow();
        let notice = limits.get(server)?;
        notice.rate.is_some().then(|| notice.clone())
    }

    /// Issues a permit, according to the latest notice of all senders.
    fn issue(&self, notice: &Notice, max_wait: Duration) -> Result<Duration, Duration> {
        let Some(rate) = notice.rate else {
            return Ok(Duration::ZERO);
        };
        let upstream = (&notice.upstream, notice.started);
        let mut issued = self.issued.borrow_mut();
        issued.take(Time::boot(), upstream, rate, max_wait)
    }

    /// Issues a permit of the share of the zone.
    fn take_share(&self, notice: &Notice, max_wait: Duration) -> Result<Duration, Duration> {
        let Some(rate) = notice.rate else {
            return Ok(Duration::ZERO);
        };
        let (index, zones) = self.zone_rank();
        let share = rate * REDUCED / zones as f64;
        let upstream = (&notice.upstream, notice.started);
        let mut shares = self.shares.borrow_mut();
        shares.set_zone(index, zones);
        shares.take(Time::boot(), upstream, share, max_wait)
    }

    /// Returns the position of the zone of this instance among all zones, and their number.
    fn zone_rank(&self) -> (usize, usize) {
        let Some(peers) = self.peers.borrow().clone() else {
            return (0, 1);
        };
        let snapshot = peers.roster.snapshot();
        let zone = &snapshot.local().zone;
        let index = snapshot.zones().position(|other| other == zone);
        (index.unwrap_or(0), snapshot.zones().count().max(1))
    }

    /// Requests a permit of the share of the zone; `None` if nobody issues it.
    async fn request_share(
        self: &Rc<Self>,
        notice: &Notice,
        max_wait: Duration,
    ) -> Option<Result<Duration, Duration>> {
        match self.share_issuer(&notice.service) {
            Issuer::Local => Some(self.take_share(notice, max_wait)),
            Issuer::Remote(peers, issuer) => {
                self.ask(&peers, &issuer, notice, max_wait, true).await
            }
        }
    }

    /// Requests a permit from another instance; `None` if it issues none.
    async fn ask(
        self: &Rc<Self>,
        peers: &Peers,
        issuer: &Instance,
        notice: &Notice,
        max_wait: Duration,
        share: bool,
    ) -> Option<Result<Duration, Duration>> {
        let request = Request {
            notice: Message::new(Time::monotonic(), notice),
            max_wait_us: max_wait.as_micros() as u64,
            share,
        };
        let body = Body::Permit(request);
        match peers.mesh.request(issuer, body, ISSUE_TIMEOUT).await {
            Ok(Body::Permitted(Response::Granted { wait_us, notice })) => {
                if let Some(notice) = notice {
                    self.learn(vec![notice]);
                }
                Some(Ok(Duration::from_micros(wait_us)))
            }
            Ok(Body::Permitted(Response::Denied { wait_us })) => {
                Some(Err(Duration::from_micros(wait_us)))
            }
            Ok(_) => None,
            Err(error) => {
                log::debug!(
                    issuer = issuer.as_str(), share, error:%;
                    "permit: issuer did not answer in time"
                );
                None
            }
        }
    }

    /// Handles the request of another instance for a permit.
    pub fn handle(self: &Rc<Self>, request: Request) -> Response {
        let now = Time::monotonic();
        let Some(notice) = request.notice.notice(now) else {
            return Response::Refused;
        };
        let issuer = match request.share {
            false => self.issuer(&notice.service),
            true => self.share_issuer(&notice.service),
        };
        if !matches!(issuer, Issuer::Local) {
            return Response::Refused;
        }
        self.record(notice.clone());
        let limits = self.fleet.limits.borrow();
        let latest = limits.latest(&notice.upstream).unwrap_or(&notice);
        let max_wait = Duration::from_micros(request.max_wait_us);
        let issued = match request.share {
            false => self.issue(latest, max_wait),
            true => self.take_share(latest, max_wait),
        };
        match issued {
            Ok(wait) => Response::Granted {
                wait_us: wait.as_micros() as u64,
                notice: (latest.at > notice.at).then(|| Message::new(now, latest)),
            },
            Err(wait) => Response::Denied {
                wait_us: wait.as_micros() as u64,
            },
        }
    }

    /// Records what an answer to this instance said, and tells the issuer what is new.
    pub fn record_answer(self: &Rc<Self>, notice: Notice) {
        if self.fleet.note_limit(notice.clone()) == Change::None {
            return;
        }
        match self.issuer(&notice.service) {
            Issuer::Local => self.spread(notice),
            Issuer::Remote(peers, issuer) => {
                let message = Message::new(Time::monotonic(), &notice);
                send(&peers, &issuer, vec![message]);
            }
        }
    }

    /// Records what other instances were told.
    pub fn learn(self: &Rc<Self>, messages: Vec<Message>) {
        let now = Time::monotonic();
        let notices = messages
            .into_iter()
            .filter_map(|message| message.notice(now));
        notices.for_each(|notice| self.record(notice));
    }

    fn record(self: &Rc<Self>, notice: Notice) {
        if self.fleet.note_limit(notice.clone()) != Change::None {
            self.spread(notice);
        }
    }

    /// Passes a notice on, together with others that follow shortly: as the issuer to the dispatchers
    /// of all zones, and as a dispatcher to all instances of its zone.
    fn spread(self: &Rc<Self>, notice: Notice) {
        let mut unsent = self.unsent.borrow_mut();
        unsent.push(notice);
        if unsent.len() > 1 {
            return;
        }
        let limiter = self.clone();
        actix_web::rt::spawn(async move {
            sleep(BATCH_DELAY).await;
            limiter.flush();
        });
    }

    fn flush(&self) {
        let notices = self.unsent.take();
        let Some(peers) = self.peers.borrow().clone() else {
            return;
        };
        let snapshot = peers.roster.snapshot();
        let local = snapshot.local();
        let mut messages: Map<&Instance, Vec<Message>> = Map::default();
        let now = Time::monotonic();
        for notice in &notices {
            let message = Message::new(now, notice);
            let mut receivers = Vec::new();
            if snapshot.issuer(&notice.service) == Some(&local.instance) {
                receivers.extend(snapshot.placers(&notice.service));
            }
            if snapshot.placer(&local.zone, &notice.service) == Some(&local.instance) {
                receivers.extend(snapshot.live(&local.zone));
            }
            receivers.sort_unstable();
            receivers.dedup();
            receivers.retain(|receiver| **receiver != local.instance);
            for receiver in receivers {
                messages.entry(receiver).or_default().push(message.clone());
            }
        }
        for (receiver, messages) in messages {
            send(&peers, receiver, messages);
        }
    }

    /// Drops the slots of upstreams that have no limit any more; due each second.
    pub fn sweep(&self) {
        let now = Time::boot();
        if now.since(self.swept_at.replace(now)) > MAX_SWEEP_INTERVAL {
            self.learned.borrow_mut().clear();
        }
        let limits = self.fleet.limits.borrow();
        let limited = |upstream: &str| {
            let latest = limits.latest(upstream);
            latest.is_some_and(|notice| notice.rate.is_some())
        };
        self.issued.borrow_mut().retain(limited);
        self.shares.borrow_mut().retain(limited);
    }
}

fn send(peers: &Peers, to: &Instance, messages: Vec<Message>) {
    if let Err(error) = peers.mesh.send(to, Body::Limits(messages)) {
        log::debug!(
            peer = to.as_str(), error:%;
            "permit: peer can't be told of limits; it learns of them with its next answer or permit"
        );
    }
}
