//! The weight store: files over HTTP GET with ranges.

mod range;
mod routes;

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{
        Mutex,
        MutexGuard, //
    },
};

use actix_web::web::ServiceConfig;
use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    lock,
    rate::Bucket,
    server::{
        Network,
        Server,
        Standin,
        LOOPBACK_ANY_PORT, //
    },
};

/// Settings of the weight store.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Address to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Address of the control routes, which network faults don't affect.
    pub control: SocketAddr,
    /// Sizes of the files in bytes, by path, for example `/models/saddle`.
    pub files: BTreeMap<String, u64>,
    /// Limit of bytes per second; requests beyond it are refused with status 503.
    pub bytes_per_second: Option<u64>,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: LOOPBACK_ANY_PORT,
            control: LOOPBACK_ANY_PORT,
            files: BTreeMap::new(),
            bytes_per_second: None,
        }
    }
}

/// Injectable faults of the weight store.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Faults of the network in front of the store.
    pub network: Network,
    /// Replaces the configured limit.
    pub bytes_per_second: Option<u64>,
    /// Number of requests to refuse with status 503; counts down.
    pub refuse_next: u32,
    /// The connection is closed after this many bytes of a response.
    pub break_after: Option<u64>,
}

/// Statistics of the weight store.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct Stats {
    /// Requests by path, including refused ones.
    pub requests: BTreeMap<String, u64>,
    /// Requests refused with status 503.
    pub refused: u64,
    /// Bytes sent.
    pub bytes: u64,
}

/// A stand-in for the weight store.
pub struct Store {
    inner: Mutex<Inner>,
}

struct Inner {
    config: Config,
    faults: Faults,
    bucket: Bucket,
    stats: Stats,
}

/// Starts a weight store; fails if an address can't be bound.
pub fn start(config: Config) -> io::Result<Server<Store>> {
    let (listen, control) = (config.listen, config.control);
    let store = Store {
        inner: Mutex::new(Inner {
            bucket: Bucket::new(config.bytes_per_second.map(|rate| rate as f64)),
            faults: Faults::default(),
            stats: Stats::default(),
            config,
        }),
    };
    Server::start(store, listen, control)
}

/// Returns `length` bytes of a file from `offset` on. The path determines the content.
pub fn content(path: &str, offset: u64, length: usize) -> Vec<u8> {
    let seed = xxh3_64_with_seed(path.as_bytes(), 0);
    let word = |index: u64| xxh3_64_with_seed(&index.to_le_bytes(), seed).to_le_bytes();
    let words = (offset / 8..).flat_map(word);
    words.skip((offset % 8) as usize).take(length).collect()
}

impl Store {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
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
        let mut inner = self.inner();
        let rate = faults.bytes_per_second.or(inner.config.bytes_per_second);
        inner.bucket.set_rate(rate.map(|rate| rate as f64));
        inner.faults = faults;
    }

    fn network(faults: &Faults) -> &Network {
        &faults.network
    }

    fn stats(&self) -> Stats {
        self.inner().stats.clone()
    }
}
