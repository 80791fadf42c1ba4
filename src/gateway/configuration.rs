//! The configuration as it was published, for instances that can't read it from the store, and
//! whether it was read again since the latest pause of this process.
//!
//! A paused process misses versions that revoke keys, and the read that was under way may never end.
//! The first request that needs a key afterwards waits for a new read, which a short query of other
//! instances replaces if the store does not answer.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    fmt,
    future::Future,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use futures_util::future::join_all;
use rand::seq::IteratorRandom as _;
use serde::{
    Deserialize,
    Serialize, //
};
use tokio::sync::watch;

use super::{
    peers::Peers,
    route::Table,
    state::Gateway, //
};
use crate::{
    clock::Time,
    log::Log,
    member::Snapshot,
    name::Instance,
    peer::wire::Body, //
};

/// Maximum length of a configuration that instances send each other.
pub const MAX_DOCUMENT_BYTES: usize = 1 << 20;

/// Timeout of a query of another instance. A configuration of the maximum length takes 0.42 s on the
/// slowest link, of 21 Mbit/s.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time without a completed read at a store that answers: reads wait 1.5 s for changes, and
/// their timeout is 0.5 s.
const MAX_READ_INTERVAL: Duration = Duration::from_millis(2_500);

/// Longest time between two checks for a pause, which are due each 0.25 s, of a process that was not
/// paused.
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Bytes of a configuration. They contain keys, so they are not printed.
#[derive(Clone, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct Document(pub Bytes);

impl fmt::Debug for Document {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Document({} bytes)", self.0.len())
    }
}

/// A configuration and the bytes from which it was decoded.
#[derive(Clone, Debug)]
pub struct Published {
    /// The configuration.
    pub table: Table,
    /// Its bytes.
    pub document: Document,
}

/// What an instance knows about the configuration beside its content.
pub struct Configurations {
    /// The newest configuration and its version.
    newest: RefCell<Option<(u64, Document)>>,
    peers: RefCell<Option<Peers>>,
    /// Time of the latest read that succeeded, or of the start.
    read_at: Cell<Time>,
    /// Whether the latest read failed.
    failing: Cell<bool>,
    /// Time of the latest check for a pause, on the boot clock.
    checked_at: Cell<Time>,
    /// Number of pauses of the process.
    pauses: watch::Sender<u64>,
    /// Number of pauses after which the configuration was confirmed.
    confirmed: watch::Sender<u64>,
}

impl Default for Configurations {
    fn default() -> Self {
        Self {
            newest: RefCell::default(),
            peers: RefCell::default(),
            read_at: Cell::new(Time::monotonic()),
            failing: Cell::new(false),
            checked_at: Cell::new(Time::boot()),
            pauses: watch::Sender::new(0),
            confirmed: watch::Sender::new(0),
        }
    }
}

impl Configurations {
    /// Adds the links to other instances.
    pub fn connect(&self, peers: Peers) {
        self.peers.replace(Some(peers));
    }

    /// Retains the bytes of the configuration in effect.
    pub fn retain(&self, version: u64, document: Document) {
        self.newest.replace(Some((version, document)));
    }

    /// Returns the configuration for an instance that has a version, or none, if it is newer and not
    /// too long to be sent. Returns `None` without an answer: in the time after a pause in which this
    /// instance may have missed versions itself.
    pub fn answer(&self, now: Time, version: Option<u64>) -> Option<Option<Document>> {
        self.check_pause(now);
        if !self.is_confirmed() {
            return None;
        }
        let newest = self.newest.borrow();
        let newer = newest.as_ref().filter(|(newest, document)| {
            document.0.len() <= MAX_DOCUMENT_BYTES
                && version.is_none_or(|version| *newest > version)
        });
        Some(newer.map(|(_, document)| document.clone()))
    }

    /// Records a read that succeeded, and began after this number of pauses.
    pub fn record_read(&self, now: Time, pauses: u64) {
        self.read_at.set(now);
        self.failing.set(false);
        self.confirm(pauses);
    }

    /// Records a read that failed.
    pub fn record_failure(&self) {
        self.failing.set(true);
    }

    /// Returns whether reads fail, or hang.
    pub fn is_behind(&self, now: Time) -> bool {
        self.failing.get() || now.since(self.read_at.get()) > MAX_READ_INTERVAL
    }

    /// Checks for a pause of the process; due each 0.25 s, and before a key is accepted.
    pub fn check_pause(&self, now: Time) {
        if now.since(self.checked_at.replace(now)) > MAX_CHECK_INTERVAL {
            self.pauses.send_modify(|pauses| *pauses += 1);
        }
    }

    /// Returns the number of pauses of the process.
    pub fn pauses(&self) -> u64 {
        *self.pauses.borrow()
    }

    /// Waits until there have been more pauses of the process.
    pub fn wait_pause(&self, known: u64) -> impl Future<Output = ()> + 'static {
        let mut pauses = self.pauses.subscribe();
        async move {
            // The sender exists for as long as the process serves.
            let _ = pauses.wait_for(|pauses| *pauses > known).await;
        }
    }

    /// Returns whether the configuration was confirmed since the latest pause.
    pub fn is_confirmed(&self) -> bool {
        *self.confirmed.borrow() >= self.pauses()
    }

    /// Records that the configuration counts as the newest after this number of pauses.
    pub fn confirm(&self, pauses: u64) {
        self.confirmed.send_if_modified(|confirmed| {
            let later = pauses > *confirmed;
            *confirmed = pauses.max(*confirmed);
            later
        });
    }

    /// Waits until the configuration is confirmed after this number of pauses.
    pub fn wait_confirmed(&self, pauses: u64) -> impl Future<Output = ()> + 'static {
        let mut confirmed = self.confirmed.subscribe();
        async move {
            // The sender exists for as long as the process serves.
            let _ = confirmed.wait_for(|confirmed| *confirmed >= pauses).await;
        }
    }

    /// Asks two other instances for a configuration newer than a version; returns an item for each
    /// that answers.
    pub async fn query(&self, version: Option<u64>) -> Vec<Option<Document>> {
        let Some(peers) = self.peers.borrow().clone() else {
            return Vec::new();
        };
        let names = sample(&peers.roster.snapshot());
        let answers = names.iter().map(|name| async {
            let request = Body::FindConfiguration(version);
            match peers.mesh.request(name, request, QUERY_TIMEOUT).await {
                Ok(Body::Configuration(document)) => Some(document),
                Ok(_) => None,
                Err(error) => {
                    log::debug!(peer = name.as_str(), error:%; "config: peer did not answer a request");
                    None
                }
            }
        });
        join_all(answers).await.into_iter().flatten().collect()
    }
}

/// Picks two other live instances at random, one of them in another zone if there is one.
fn sample(snapshot: &Snapshot) -> Vec<Instance> {
    let local = snapshot.local();
    let nearby = snapshot.live(&local.zone);
    let others = || snapshot.usable().filter(|name| **name != local.instance);
    let remote = others().filter(|name| !nearby.contains(name));
    let mut names: Vec<_> = remote.choose(&mut rand::rng()).into_iter().collect();
    let rest = others().filter(|name| !names.contains(name));
    let rest = rest.sample(&mut rand::rng(), 2 - names.len());
    names.extend(rest);
    names.into_iter().cloned().collect()
}

impl<D, L> Gateway<D, L> {
    /// Returns the configuration in effect, for a request that needs a key.
    ///
    /// After a pause of the process it waits until the configuration was read again, 0.8 s at most.
    pub async fn fresh_table(&self) -> Option<Rc<Table>> {
        let state = &self.configurations;
        state.check_pause(Time::boot());
        while !state.is_confirmed() {
            state.wait_confirmed(state.pauses()).await;
            state.check_pause(Time::boot());
        }
        self.table()
    }
}

impl<D, L: Log + 'static> Gateway<D, L> {
    /// Puts a configuration into effect unless the current one is as new, and retains its bytes for
    /// other instances. `source` says where it comes from.
    pub fn adopt(&self, published: Published, source: &'static str) {
        let version = published.table.version();
        if self.configure(published.table) {
            self.configurations.retain(version, published.document);
            log::info!(version, source; "config: configuration is in force");
        } else {
            log::debug!(version, source; "config: older configuration is ignored");
        }
    }
}
