//! Faults of the network in front of a stand-in.

use std::{
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Arc,
        Mutex,
        MutexGuard, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use actix_web::rt::time;
use serde::{
    Deserialize,
    Serialize, //
};
use tokio::sync::watch;

use super::Connection;
use crate::{
    lock,
    Map, //
};

/// Maximum wait for the listening socket to be opened or closed.
const MAX_APPLY_WAIT: Duration = Duration::from_secs(1);

/// Behaviour of a system that can't be reached.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// New connections are refused and established ones are closed.
    Refuse,
    /// Connections are accepted, but nothing is read or written. Data sent meanwhile is read
    /// after the outage, like a delayed packet.
    Silent,
}

/// Network faults, common to all stand-ins.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Network {
    /// Outage for all clients.
    pub outage: Option<Outage>,
    /// Zones whose clients are isolated; the header `X-Zone` gives the zone of a client.
    pub cut_zones: Vec<String>,
    /// Outage that isolated zones see; `silent` by default.
    pub cut: Option<Outage>,
    /// Delay of every request before it is handled, in milliseconds.
    pub latency_ms: u64,
}

impl Network {
    /// Returns the outage for a client of `zone`.
    pub fn outage_for(&self, zone: Option<&str>) -> Option<Outage> {
        let isolated = zone.is_some_and(|zone| self.cut_zones.iter().any(|name| name == zone));
        self.outage
            .or_else(|| isolated.then(|| self.cut.unwrap_or(Outage::Silent)))
    }

    /// Returns the delay of every request.
    pub fn latency(&self) -> Duration {
        Duration::from_millis(self.latency_ms)
    }
}

/// Network faults and open connections of one address.
pub struct Endpoint {
    faults: watch::Sender<Network>,
    listening: watch::Sender<bool>,
    connections: Mutex<Map<u64, Arc<Connection>>>,
    next_id: AtomicU64,
}

impl Endpoint {
    /// Creates an endpoint with the given faults and no connections.
    pub fn new(faults: Network) -> Self {
        Self {
            listening: watch::Sender::new(faults.outage != Some(Outage::Refuse)),
            faults: watch::Sender::new(faults),
            connections: Mutex::default(),
            next_id: AtomicU64::new(0),
        }
    }

    /// Returns the active faults.
    pub fn faults(&self) -> watch::Ref<'_, Network> {
        self.faults.borrow()
    }

    /// Returns a receiver that is notified of every change of the faults.
    pub fn subscribe(&self) -> watch::Receiver<Network> {
        self.faults.subscribe()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Network) {
        let refuse = faults.outage == Some(Outage::Refuse);
        self.faults.send_replace(faults);
        if refuse {
            self.close_all();
        }
        self.connections()
            .values()
            .for_each(|connection| connection.wake());
    }

    /// Records whether the listening socket is open.
    pub(super) fn set_listening(&self, open: bool) {
        self.listening.send_replace(open);
    }

    /// Waits until the listening socket is in the state that the faults require. Doesn't block:
    /// the listener may be a task on the same thread.
    pub(super) async fn wait_applied(&self) {
        let open = self.faults.borrow().outage != Some(Outage::Refuse);
        let mut listening = self.listening.subscribe();
        let reached = listening.wait_for(|now| *now == open);
        let _ = time::timeout(MAX_APPLY_WAIT, reached).await;
    }

    /// Blocks until the listening socket is in the state that the faults require.
    pub(super) fn block_until_applied(&self) {
        let open = self.faults.borrow().outage != Some(Outage::Refuse);
        let start = Instant::now();
        while *self.listening.borrow() != open && start.elapsed() < MAX_APPLY_WAIT {
            thread::sleep(Duration::from_micros(200));
        }
    }

    /// Returns whether reads and writes are blocked.
    pub fn is_blocked(&self) -> bool {
        self.faults.borrow().outage == Some(Outage::Silent)
    }

    /// Blocks all established connections for the rest of their lifetime.
    pub fn mute_all(&self) {
        self.connections()
            .values()
            .for_each(|connection| connection.mute());
    }

    /// Closes all established connections.
    pub fn close_all(&self) {
        self.connections()
            .values()
            .for_each(|connection| connection.close());
    }

    /// Adds a connection and returns its identifier and handle.
    pub(super) fn add_connection(&self) -> (u64, Arc<Connection>) {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let connection = Arc::new(Connection::default());
        self.connections().insert(id, Arc::clone(&connection));
        (id, connection)
    }

    /// Removes a connection that has ended.
    pub(super) fn remove_connection(&self, id: u64) {
        self.connections().remove(&id);
    }

    fn connections(&self) -> MutexGuard<'_, Map<u64, Arc<Connection>>> {
        lock(&self.connections)
    }
}
