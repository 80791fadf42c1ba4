//! The platform's log: Kafka REST Proxy API v2.

mod books;
mod consumer;
mod faults;
mod format;
mod partition;
mod problem;
mod routes;
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
    FREE, //
};

pub use books::{
    Books,
    Consumers,
    Topic, //
};
pub use faults::{
    Faults,
    Loss,
    Retention, //
};
pub use partition::Entry;
pub use store::Log;

/// Settings of the log.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Address to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Address of the control routes that no fault of the network affects.
    pub control: SocketAddr,
    /// Topics that exist; if empty, every topic exists.
    pub topics: Vec<String>,
    /// Partitions of each topic.
    pub partitions: u32,
    /// How long records are kept.
    pub retention: Retention,
    /// Appends per second over which appends are refused, for all clients together.
    pub appends_per_second: Option<u32>,
    /// Idle time in milliseconds after which a consumer instance is removed.
    pub instance_timeout_ms: u64,
    /// Value of `fetch.min.bytes` for consumers that don't set it.
    pub fetch_min_bytes: i64,
    /// Time in milliseconds that a waiting read lets pass after an append. With many
    /// readers and appends it saves answers that carry one record each.
    pub linger_ms: u64,
    /// Seed of the random faults.
    pub seed: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: FREE,
            control: FREE,
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

/// Starts a log.
pub fn start(config: Config) -> io::Result<Server<Log>> {
    let (listen, control) = (config.listen, config.control);
    Server::start(Log::new(config), listen, control)
}

impl Standin for Log {
    type Faults = Faults;
    type Books = Books;

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

    fn books(&self) -> Books {
        self.inner().books()
    }
}
