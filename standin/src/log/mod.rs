//! The platform's log, with the Kafka REST Proxy API v2.

mod consumer;
mod faults;
mod format;
mod partition;
mod problem;
mod routes;
mod stats;
mod store;

use std::{
    io,
    net::SocketAddr, //
};

use actix_web::web::ServiceConfig;
use serde::Deserialize;

use crate::server::{
    Network,
    Server,
    Standin,
    LOOPBACK_ANY_PORT, //
};

pub use faults::{
    Faults,
    Loss,
    Retention, //
};
pub use partition::Entry;
pub use stats::{
    Consumers,
    Stats,
    Topic, //
};
pub use store::Log;

/// Settings of the log.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Address to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Address of the control routes, which network faults don't affect.
    pub control: SocketAddr,
    /// Existing topics; if empty, every topic exists.
    pub topics: Vec<String>,
    /// Number of partitions per topic.
    pub partitions: u32,
    /// Retention of the records.
    pub retention: Retention,
    /// Limit of appends per second over all clients; further appends are refused.
    pub appends_per_second: Option<u32>,
    /// Idle time after which a consumer instance is removed, in milliseconds.
    pub instance_timeout_ms: u64,
    /// Default of `fetch.min.bytes`.
    pub fetch_min_bytes: i64,
    /// Time that a waiting read lingers after an append, in milliseconds. With many readers
    /// and appends this avoids responses that carry one record each.
    pub linger_ms: u64,
    /// Seed of random faults.
    pub seed: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: LOOPBACK_ANY_PORT,
            control: LOOPBACK_ANY_PORT,
            topics: Vec::new(),
            partitions: 1,
            retention: Retention::default(),
            appends_per_second: None,
            instance_timeout_ms: 300_000,
            fetch_min_bytes: 1,
            linger_ms: 0,
            seed: 0,
        }
    }
}

/// Starts a log; fails if an address can't be bound.
pub fn start(config: Config) -> io::Result<Server<Log>> {
    let (listen, control) = (config.listen, config.control);
    Server::start(Log::new(config), listen, control)
}

impl Standin for Log {
    type Faults = Faults;
    type Stats = Stats;

    fn configure(app: &mut ServiceConfig) {
        routes::configure(app);
    }

    fn faults(&self) -> Faults {
        self.inner().faults.clone()
    }

    fn set_faults(&self, faults: Faults) {
        self.inner().set_faults(faults);
    }

    fn network(faults: &Faults) -> &Network {
        &faults.network
    }

    fn stats(&self) -> Stats {
        self.inner().stats()
    }
}
