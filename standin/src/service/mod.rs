//! Tool services and plain services: JSON over HTTP.

mod faults;
mod routes;
mod stats;

use std::{
    io,
    net::SocketAddr,
    sync::{
        Mutex,
        MutexGuard, //
    },
    time::Duration,
};

use actix_web::web::ServiceConfig;
use rand::{
    rngs::SmallRng,
    RngExt,
    SeedableRng, //
};
use serde::Deserialize;
use tokio::sync::{
    watch,
    Semaphore, //
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    engine::{
        History,
        Load, //
    },
    lock, now,
    server::{
        Network,
        Server,
        Standin,
        LOOPBACK_ANY_PORT, //
    },
    Map,
};

pub use faults::{
    Fault,
    Faults,
    Kind, //
};
pub use stats::{
    Call,
    Stats, //
};

/// Settings of the service.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Address to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Address of the control routes, which network faults don't affect.
    pub control: SocketAddr,
    /// Default duration of a call, in microseconds.
    pub latency_us: u64,
    /// Duration of a call by path, in microseconds.
    pub path_latency_us: Map<String, u64>,
    /// Maximum number of concurrent calls; further ones wait in the order of arrival.
    pub workers: usize,
    /// Age of the load report, in milliseconds.
    pub load_lag_ms: u64,
    /// Interval between load reports, in milliseconds.
    pub load_interval_ms: u64,
    /// Maximum number of calls listed in the statistics.
    pub calls_kept: usize,
    /// Seed of random faults.
    pub seed: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: LOOPBACK_ANY_PORT,
            control: LOOPBACK_ANY_PORT,
            latency_us: 2_000,
            path_latency_us: Map::default(),
            workers: 10_000,
            load_lag_ms: 300,
            load_interval_ms: 50,
            calls_kept: 100_000,
            seed: 0,
        }
    }
}

/// A stand-in for a tool service or a plain service.
pub struct Service {
    inner: Mutex<Inner>,
    workers: Semaphore,
    fault_changes: watch::Sender<u64>,
}

/// Starts a service; fails if an address can't be bound.
pub fn start(config: Config) -> io::Result<Server<Service>> {
    let (listen, control) = (config.listen, config.control);
    Server::start(Service::new(config), listen, control)
}

/// Returns the response body for a request with `body` on `path`.
pub fn answer(path: &str, key: Option<&str>, body: &serde_json::Value) -> serde_json::Value {
    let digest = xxh3_64(format!("{path}\n{body}").as_bytes());
    serde_json::json!({
        "path": path,
        "idempotency_key": key,
        "digest": format!("{digest:016x}"),
        "echo": body,
    })
}

impl Service {
    fn new(config: Config) -> Self {
        Self {
            workers: Semaphore::new(config.workers.min(Semaphore::MAX_PERMITS)),
            inner: Mutex::new(Inner::new(config)),
            fault_changes: watch::Sender::new(0),
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }

    /// Returns the load report that is published now.
    pub fn load(&self) -> Load {
        self.inner().load_history.published(now())
    }

    /// Returns the listed calls on `path`.
    pub fn calls(&self, path: &str) -> Vec<Call> {
        let inner = self.inner();
        let calls = inner.stats.calls.iter().filter(|call| call.path == path);
        calls.cloned().collect()
    }
}

struct Inner {
    config: Config,
    faults: Faults,
    stats: Stats,
    load_history: History,
    rng: SmallRng,
    running: u32,
    waiting: u32,
}

impl Inner {
    fn new(config: Config) -> Self {
        Self {
            faults: Faults::default(),
            stats: Stats::default(),
            load_history: History::new(config.load_lag_ms, config.load_interval_ms),
            rng: SmallRng::seed_from_u64(config.seed),
            running: 0,
            waiting: 0,
            config,
        }
    }

    fn record_load(&mut self) {
        self.load_history.record(Load {
            running: self.running,
            waiting: self.waiting,
            cache_used: 0.0,
            at: now(),
            leaving: self.faults.leaving,
        });
    }

    fn latency(&self, path: &str) -> Duration {
        let of_path = self.config.path_latency_us.get(path).copied();
        Duration::from_micros(of_path.unwrap_or(self.config.latency_us))
    }

    /// Returns the fault of a call and counts it.
    fn fault(&mut self, path: &str) -> Option<Fault> {
        let chance = self.rng.random::<f64>();
        self.faults.pick(path, chance)
    }
}

impl Standin for Service {
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
        inner.stats.leaving.set(faults.leaving);
        inner.faults = faults;
        inner.record_load();
        drop(inner);
        self.fault_changes.send_modify(|count| *count += 1);
    }

    fn network(faults: &Faults) -> &Network {
        &faults.network
    }

    fn stats(&self) -> Stats {
        self.inner().stats.clone()
    }
}
