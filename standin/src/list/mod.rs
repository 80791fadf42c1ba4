//! The platform's list of instances, with the Consul health API.

mod catalog;
mod entry;
mod routes;

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
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    lock,
    server::{
        Network,
        Server,
        Standin,
        LOOPBACK_ANY_PORT, //
    },
};

use catalog::Catalog;
pub use entry::{
    Entry,
    State, //
};

/// Settings of the list.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Address to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Address of the control routes, which network faults don't affect.
    pub control: SocketAddr,
    /// Delay before a change becomes visible, in milliseconds.
    pub lag_ms: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: LOOPBACK_ANY_PORT,
            control: LOOPBACK_ANY_PORT,
            lag_ms: 1_000,
        }
    }
}

/// Injectable faults of the list.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Faults of the network in front of the list.
    pub network: Network,
    /// Replaces the configured lag for later changes, in milliseconds.
    pub lag_ms: Option<u64>,
    /// No change becomes visible while this is set.
    pub frozen: bool,
    /// Every request is answered with status 500.
    pub error: bool,
    /// Every response is an empty list.
    pub empty: bool,
}

/// Statistics and content of the list.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct Stats {
    /// Requests for a service.
    pub requests: u64,
    /// Changes made with a lag.
    pub changes: u64,
    /// Changes that aren't visible yet.
    pub pending: u64,
    /// Entries of all services that are visible now.
    pub visible: Vec<Entry>,
}

/// A stand-in for the platform's list of instances.
pub struct List {
    inner: Mutex<Catalog>,
}

/// Starts a list; fails if an address can't be bound.
pub fn start(config: Config) -> io::Result<Server<List>> {
    let list = List {
        inner: Mutex::new(Catalog::new(Duration::from_millis(config.lag_ms))),
    };
    Server::start(list, config.listen, config.control)
}

impl List {
    fn inner(&self) -> MutexGuard<'_, Catalog> {
        lock(&self.inner)
    }

    /// Adds or replaces an entry, visible after the lag.
    pub fn put(&self, entry: Entry) {
        self.inner().put(entry);
    }

    /// Adds or replaces an entry, visible immediately.
    pub fn put_now(&self, entry: Entry) {
        self.inner().put_now(entry);
    }

    /// Removes an entry, which stays visible until the lag has passed.
    pub fn remove(&self, service: &str, id: &str) {
        self.inner().remove(service, id);
    }
}

impl Standin for List {
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
        self.inner().stats()
    }
}
