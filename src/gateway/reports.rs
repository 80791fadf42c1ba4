//! Exchange of reports about requests that crash upstreams.
//!
//! An instance tells the dispatchers of all availability zones what it finds out about a request, and
//! they tell the instances of their zones, so that all count the same crashes. Holds are also
//! published to the platform's store, for instances that start, wake, or reach no other instance.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    future::Future,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use tokio::{
    sync::{
        mpsc,
        watch, //
    },
    time::{
        sleep,
        timeout, //
    },
};

use super::{
    fingerprint::{
        Fingerprint,
        Key, //
    },
    metrics::Metrics,
    peers::Peers,
    quarantine::{
        Change,
        Crash,
        Event,
        Quarantine,
        Report,
        MAX_HOLD,
        MAX_REPORTS, //
    },
    registry::Server,
};
use crate::{
    clock::Time,
    hash::{
        self,
        Map, //
    },
    name::Instance,
    peer::wire::Body, //
};

/// Time for which reports are collected before they are passed on: a crash breaks many requests.
const BATCH_DELAY: Duration = Duration::from_millis(20);

/// Timeout of a query of one other instance for what it knows.
const LIST_TIMEOUT: Duration = Duration::from_millis(60);

/// Instances that are queried before an instance relies on the store alone.
const MAX_QUERIES: usize = 3;

/// Time for which the first requests after a start or a pause wait until it is known which ones are
/// held back.
const SYNC_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest time between two sweeps, which are due each second, of a process that was not paused.
const MAX_SWEEP_INTERVAL: Duration = Duration::from_millis(2_500);

/// Holds that wait to be published.
const MAX_UNPUBLISHED: usize = 256;

/// Attempts to publish a hold; they cover an outage of the store of some seconds.
const MAX_PUBLISH_ATTEMPTS: u32 = 40;

/// Time between attempts to publish a hold.
const PUBLISH_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// A hold as the store keeps it, for all instances and over restarts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Key of the request.
    pub key: Key,
    /// The hold; `None` if it was lifted.
    pub hold: Option<Hold>,
}

/// Content of a [`Record`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Hold {
    /// Service that runs the request.
    pub service: Arc<str>,
    /// End in microseconds since the Unix epoch.
    pub until: Time,
    /// How often the request was held back; at least 1.
    pub holds: u32,
}

/// Keeps holds where instances that start can read them.
///
/// The futures are not `Send`, because the HTTP client is not.
#[allow(async_fn_in_trait)]
pub trait Archive {
    /// Publishes a record; the latest one of a key counts.
    async fn publish(&self, record: &Record) -> anyhow::Result<()>;
}

/// What this instance knows about requests that crash upstreams, and its exchange with others.
pub struct Reports {
    state: RefCell<Quarantine>,
    peers: RefCell<Option<Peers>>,
    metrics: Metrics,
    /// Reports that were not passed on yet, and whether this instance made them.
    unsent: RefCell<Vec<(Report, bool)>>,
    /// Signals each change of the holds.
    changed: watch::Sender<()>,
    /// Whether the holds of the others are known since the start or the latest pause.
    synced: watch::Sender<bool>,
    /// Whether another instance is being queried.
    querying: Cell<bool>,
    /// Time of the latest sweep, on the boot clock.
    swept_at: Cell<Time>,
    unpublished: mpsc::Sender<Record>,
}

impl Reports {
    /// Returns a state without reports, and the queue of the holds to publish.
    pub fn new(metrics: Metrics) -> (Rc<Self>, mpsc::Receiver<Record>) {
        let (unpublished, queue) = mpsc::channel(MAX_UNPUBLISHED);
        let reports = Self {
            state: RefCell::default(),
            peers: RefCell::default(),
            metrics,
            unsent: RefCell::default(),
            changed: watch::Sender::new(()),
            synced: watch::Sender::new(false),
            querying: Cell::new(false),
            swept_at: Cell::new(Time::boot()),
            unpublished,
        };
        (Rc::new(reports), queue)
    }

    /// Adds the links to other instances.
    pub fn connect(&self, peers: Peers) {
        self.peers.replace(Some(peers));
    }

    /// Returns the time for which a request is held back.
    pub fn held(&self, request: &Fingerprint) -> Option<Duration> {
        self.state.borrow().held(Time::boot(), request)
    }

    /// Waits until a request is held back.
    pub fn wait_held(self: &Rc<Self>, request: Fingerprint) -> impl Future<Output = ()> + 'static {
        let (reports, mut changed) = (self.clone(), self.changed.subscribe());
        async move {
            while reports.held(&request).is_none() {
                // The sender exists for as long as the process serves.
                let _ = changed.changed().await;
            }
        }
    }

    /// Records that an upstream crashed when it began to run a request.
    pub fn record_crash(self: &Rc<Self>, request: &Fingerprint, server: &Server) {
        let crash = Crash {
            upstream: server.id.clone(),
            started: server.started,
        };
        for key in request.keys() {
            let event = Event::Crashed {
                crash: crash.clone(),
                age_ms: 0,
            };
            self.record(server, key, event);
        }
    }

    /// Records that an upstream completed an answer.
    pub fn record_completed(self: &Rc<Self>, request: &Fingerprint, server: &Server) {
        for key in request.keys() {
            self.record(server, key, Event::Completed);
        }
    }

    fn record(self: &Rc<Self>, server: &Server, key: Key, event: Event) {
        let report = Report {
            service: server.service.clone(),
            key,
            event,
        };
        self.apply(report, true);
    }

    /// Applies what other instances reported.
    pub fn learn(self: &Rc<Self>, reports: Vec<Report>) {
        for report in reports.into_iter().take(MAX_REPORTS) {
            self.apply(report, false);
        }
    }

    /// Applies a record of the store.
    pub fn learn_record(self: &Rc<Self>, record: Record) {
        let event = match &record.hold {
            None => Event::Completed,
            Some(hold) => Event::Held {
                left_ms: hold.until.since(Time::now()).as_millis() as u64,
                holds: hold.holds,
            },
        };
        let service = record.hold.map_or_else(|| "".into(), |hold| hold.service);
        let report = Report {
            service,
            key: record.key,
            event,
        };
        self.enact(&report);
    }

    /// Applies all records of the store, and removes those that ended long ago.
    pub fn replace_records(self: &Rc<Self>, records: Vec<Record>) {
        let now = Time::now();
        for record in records {
            let key = record.key;
            let forgotten = |hold: &Hold| now.since(hold.until) > MAX_HOLD;
            if record.hold.as_ref().is_some_and(forgotten) {
                if self.publishes(key) {
                    self.enqueue(Record { key, hold: None });
                }
                continue;
            }
            self.learn_record(record);
        }
        self.synced.send_replace(true);
    }

    /// Returns what is known, for another instance.
    pub fn list(&self) -> Vec<Report> {
        self.state.borrow().list(Time::boot())
    }

    fn enact(&self, report: &Report) -> Change {
        let change = self.state.borrow_mut().apply(Time::boot(), report);
        let key = report.key;
        match change {
            Change::None => {}
            Change::Suspected => {
                log::debug!(key:% = format_args!("{key:016x}"); "quarantine: upstream crashed under a request")
            }
            Change::Held => {
                self.metrics.quarantined("held");
                log::warn!(
                    key:% = format_args!("{key:016x}"), service = &*report.service;
                    "quarantine: request crashes upstreams; holding it back"
                );
                self.changed.send_replace(());
            }
            Change::Cleared => {
                self.metrics.quarantined("cleared");
                log::debug!(key:% = format_args!("{key:016x}"); "quarantine: request was completed; it is not held back");
            }
        }
        change
    }

    fn apply(self: &Rc<Self>, report: Report, local: bool) {
        let was_held = self.state.borrow().was_held(report.key);
        let change = self.enact(&report);
        if change == Change::None {
            return;
        }
        let key = report.key;
        let lifted = change == Change::Cleared && was_held;
        if (change == Change::Held || lifted) && (local || self.publishes(key)) {
            self.publish(&report.service, key, lifted);
        }
        self.pass_on(report, local);
    }

    /// Returns whether this instance publishes what several found out at the same time.
    fn publishes(&self, key: Key) -> bool {
        let Some(peers) = self.peers.borrow().clone() else {
            return true;
        };
        let snapshot = peers.roster.snapshot();
        let publisher = hash::rendezvous(&key.to_be_bytes(), snapshot.usable());
        publisher.is_none_or(|name| *name == snapshot.local().instance)
    }

    fn publish(&self, service: &Arc<str>, key: Key, lifted: bool) {
        let now = Time::boot();
        let hold = self.state.borrow().hold_of(now, key).filter(|_| !lifted);
        let hold = hold.map(|(left, holds)| Hold {
            service: service.clone(),
            until: Time::now() + left,
            holds,
        });
        self.enqueue(Record { key, hold });
    }

    fn enqueue(&self, record: Record) {
        if self.unpublished.try_send(record).is_err() {
            log::warn!("quarantine: too many holds wait to be published; dropping one");
        }
    }

    /// Passes a report on, together with others that follow shortly.
    fn pass_on(self: &Rc<Self>, report: Report, local: bool) {
        let mut unsent = self.unsent.borrow_mut();
        unsent.push((report, local));
        if unsent.len() > 1 {
            return;
        }
        let reports = self.clone();
        actix_web::rt::spawn(async move {
            sleep(BATCH_DELAY).await;
            reports.flush();
        });
    }

    fn flush(&self) {
        let unsent = self.unsent.take();
        let Some(peers) = self.peers.borrow().clone() else {
            return;
        };
        let snapshot = peers.roster.snapshot();
        let local = snapshot.local();
        let mut messages: Map<&Instance, Vec<Report>> = Map::default();
        for (report, own) in unsent {
            let mut receivers = Vec::new();
            if own {
                receivers.extend(snapshot.placers(&report.service));
            }
            if snapshot.placer(&local.zone, &report.service) == Some(&local.instance) {
                receivers.extend(snapshot.live(&local.zone));
            }
            receivers.sort_unstable();
            receivers.dedup();
            receivers.retain(|receiver| **receiver != local.instance);
            for receiver in receivers {
                messages.entry(receiver).or_default().push(report.clone());
            }
        }
        for (receiver, mut reports) in messages {
            reports.truncate(MAX_REPORTS);
            if let Err(error) = peers.mesh.send(receiver, Body::Reports(reports)) {
                log::debug!(
                    peer = receiver.as_str(), error:%;
                    "quarantine: peer can't be told of crashes; it learns of holds from the store"
                );
            }
        }
    }

    /// Notices a pause of the process, in which reports of others were missed.
    fn notice_pause(&self) {
        let now = Time::boot();
        if now.since(self.swept_at.get()) > MAX_SWEEP_INTERVAL {
            self.swept_at.set(now);
            self.synced.send_replace(false);
        }
    }

    /// Waits until a pause of the process is noticed.
    pub fn wait_pause(&self) -> impl Future<Output = ()> + 'static {
        let mut synced = self.synced.subscribe();
        async move {
            // The sender exists for as long as the process serves.
            let _ = synced.wait_for(|synced| *synced).await;
            let _ = synced.wait_for(|synced| !*synced).await;
        }
    }

    /// Waits for a short time until it is known which requests other instances hold back.
    pub async fn sync(self: &Rc<Self>) {
        self.notice_pause();
        if *self.synced.borrow() {
            return;
        }
        if !self.querying.replace(true) {
            let reports = self.clone();
            actix_web::rt::spawn(async move {
                reports.query().await;
                reports.querying.set(false);
            });
        }
        let mut synced = self.synced.subscribe();
        let known = synced.wait_for(|synced| *synced);
        if timeout(SYNC_TIMEOUT, known).await.is_err() {
            log::warn!("quarantine: neither a peer nor the store says which requests are held back; serving without");
        }
    }

    /// Learns from another instance what it knows.
    async fn query(self: &Rc<Self>) {
        let Some(peers) = self.peers.borrow().clone() else {
            return;
        };
        let snapshot = peers.roster.snapshot();
        let local = &snapshot.local().instance;
        let zone = snapshot.live(&snapshot.local().zone).iter();
        let others = zone.chain(snapshot.usable()).filter(|name| *name != local);
        for other in others.take(MAX_QUERIES) {
            let answer = peers.mesh.request(other, Body::ListReports, LIST_TIMEOUT);
            if let Ok(Body::Reports(reports)) = answer.await {
                for report in reports {
                    self.enact(&report);
                }
                self.synced.send_replace(true);
                return;
            }
        }
    }

    /// Forgets what is old; due each second.
    pub fn sweep(&self) {
        self.notice_pause();
        let now = Time::boot();
        self.swept_at.set(now);
        self.state.borrow_mut().sweep(now);
    }
}

/// Publishes holds; never returns while the queue exists.
pub async fn publish(archive: impl Archive, mut queue: mpsc::Receiver<Record>) {
    while let Some(record) = queue.recv().await {
        for attempt in 1..=MAX_PUBLISH_ATTEMPTS {
            let Err(error) = archive.publish(&record).await else {
                break;
            };
            log::warn!(attempt; "quarantine: hold can't be published to the store: {error:#}");
            sleep(PUBLISH_RETRY_INTERVAL).await;
        }
    }
}
