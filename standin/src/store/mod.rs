//! The platform's metadata store: topics of records, plain or keyed.

mod routes;
mod topic;

use std::{
    io,
    net::SocketAddr,
    sync::{
        Mutex,
        MutexGuard, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use actix_web::web::ServiceConfig;
use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};
use tokio::sync::Notify;

use crate::{
    lock,
    server::{
        Network,
        Server,
        Standin,
        LOOPBACK_ANY_PORT, //
    },
    Map,
};

use topic::Partition;

/// Settings of the store.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Address to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Address of the control routes, which network faults don't affect.
    pub control: SocketAddr,
    /// Maximum records of a page of the newest ones.
    pub page_items: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: LOOPBACK_ANY_PORT,
            control: LOOPBACK_ANY_PORT,
            page_items: 500,
        }
    }
}

/// Injectable faults of the store.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Faults of the network in front of the store.
    pub network: Network,
    /// Every call is answered with status 503 and has no effect.
    pub busy: bool,
    /// Number of appends that take effect but are answered with status 500; counts down.
    pub lose_answers: u32,
    /// Bytes per second that all reads share, in order of arrival; unlimited if 0. An answer takes
    /// its share even if the caller stops waiting for it.
    pub read_bytes_per_s: u64,
}

/// Statistics of the store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Serialize)]
pub struct Stats {
    /// Calls that append records.
    pub appends: u64,
    /// Calls that read records.
    pub reads: u64,
    /// Calls that read the newest record of each key.
    pub newest: u64,
    /// Calls that drop records.
    pub trims: u64,
}

#[derive(Default)]
struct Inner {
    faults: Faults,
    stats: Stats,
    partitions: Map<(String, u32), Partition>,
    /// Highest offset from which each topic was read.
    positions: Map<String, u64>,
    /// Time at which the answers to all reads so far are transferred.
    reads_done: Option<Instant>,
}

/// A stand-in for the platform's metadata store.
#[derive(Default)]
pub struct Store {
    page_items: usize,
    inner: Mutex<Inner>,
    /// Wakes waiting reads on an append.
    appended: Notify,
}

/// Starts a store; fails if an address can't be bound.
pub fn start(config: Config) -> io::Result<Server<Store>> {
    let store = Store {
        page_items: config.page_items,
        ..Store::default()
    };
    Server::start(store, config.listen, config.control)
}

impl Store {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }

    /// Sets the value of a key in a keyed topic, as an operator or a server does.
    pub fn put(&self, topic: &str, key: impl AsRef<[u8]>, value: &[u8]) {
        let key = key.as_ref();
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key);
        record.extend_from_slice(value);
        self.append(topic, 0, vec![record.into()]);
    }

    /// Appends records to a partition of a plain topic, as instances did before.
    pub fn extend(&self, topic: &str, partition: u32, records: Vec<Bytes>) {
        self.append(topic, partition, records);
    }

    /// Removes a key from a keyed topic.
    pub fn remove(&self, topic: &str, key: &str) {
        self.put(topic, key, &[]);
    }

    /// Drops all records of a partition; the newest value of each key stays.
    pub fn truncate(&self, topic: &str, partition: u32) {
        let mut inner = self.inner();
        let key = (topic.to_owned(), partition);
        inner.partitions.entry(key).or_default().truncate();
    }

    /// Returns the topics with records that are not keyed.
    pub fn plain_topics(&self) -> Vec<String> {
        let inner = self.inner();
        let topics = inner.partitions.keys().map(|(topic, _)| topic.clone());
        let plain = topics.filter(|topic| !topic.starts_with("keyed."));
        plain.collect()
    }

    /// Returns the number of retained records of a topic.
    pub fn retained(&self, topic: &str) -> u64 {
        let inner = self.inner();
        let partitions = inner.partitions.iter();
        let of_topic = partitions.filter(|((name, _), _)| name == topic);
        of_topic
            .map(|(_, partition)| partition.end() - partition.first())
            .sum()
    }

    /// Returns whether a reader has applied all records of a keyed topic, as it reads from the end on.
    pub fn is_read(&self, topic: &str) -> bool {
        let inner = self.inner();
        let partition = inner.partitions.get(&(topic.to_owned(), 0));
        let position = inner.positions.get(topic);
        partition
            .is_none_or(|partition| position.is_some_and(|position| *position >= partition.end()))
    }

    /// Reserves the share of an answer to a read; returns when it is transferred.
    fn reserve_read(&self, bytes: usize) -> Instant {
        let mut inner = self.inner();
        let now = Instant::now();
        let rate = inner.faults.read_bytes_per_s;
        if rate == 0 {
            return now;
        }
        let start = inner.reads_done.map_or(now, |done| done.max(now));
        let done = start + Duration::from_secs_f64(bytes as f64 / rate as f64);
        inner.reads_done = Some(done);
        done
    }

    fn append(&self, topic: &str, partition: u32, records: Vec<Bytes>) -> (u64, u64) {
        let mut inner = self.inner();
        let key = (topic.to_owned(), partition);
        let partition = inner.partitions.entry(key).or_default();
        let range = partition.append(topic.starts_with("keyed."), records);
        drop(inner);
        self.appended.notify_waiters();
        range
    }
}

impl Standin for Store {
    type Faults = Faults;
    type Stats = Stats;

    fn configure(app: &mut ServiceConfig) {
        routes::configure(app);
    }

    fn faults(&self) -> Faults {
        self.inner().faults.clone()
    }

    fn set_faults(&self, faults: Faults) {
        self.inner().faults = faults;
    }

    fn network(faults: &Faults) -> &Network {
        &faults.network
    }

    fn stats(&self) -> Stats {
        self.inner().stats.clone()
    }
}
