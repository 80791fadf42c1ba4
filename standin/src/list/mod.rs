//! The platform's list of instances: Consul health API.

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
        FREE, //
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
    /// Address of the control routes that no fault of the network affects.
    pub control: SocketAddr,
    /// Time in milliseconds after which a change becomes visible.
    pub lag_ms: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: FREE,
            control: FREE,
            lag_ms: 1_000,
        }
    }
}

/// Faults of the list.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Faults of the network in front of the list.
    pub network: Network,
    /// Replaces the configured lag, in milliseconds, for changes made from now on.
    pub lag_ms: Option<u64>,
    /// Changes don't become visible while this is set.
    pub frozen: bool,
    /// Every request is answered with status 500.
    pub error: bool,
    /// Every answer is an empty list.
    pub empty: bool,
}

/// What the list received and did.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct Books {
    /// Requests for a service.
    pub requests: u64,
    /// Changes that were made.
    pub changes: u64,
    /// Changes that aren't visible yet.
    pub pending: u64,
    /// Entries of all services that clients see now.
    pub visible: Vec<Entry>,
}

/// A stand-in for the platform's list of instances.
pub struct List {
    inner: Mutex<Catalog>,
}

/// Starts a list.
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

    /// Adds or replaces an entry; clients see it after the lag.
    pub fn put(&self, entry: Entry) {
        self.inner().put(entry);
    }

    /// Adds or replaces an entry that clients see at once.
    pub fn put_now(&self, entry: Entry) {
        self.inner().put_now(entry);
    }

    /// Removes an entry; clients see it until the lag is over.
    pub fn remove(&self, service: &str, id: &str) {
        self.inner().remove(service, id);
    }
}

impl Standin for List {
    type Faults = Faults;
    type Books = Books;

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

    fn books(&self) -> Books {
        self.inner().books()
    }
}
