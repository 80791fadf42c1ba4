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

use super::Link;
use crate::{
    lock,
    Map, //
};

/// Maximum wait for the listening socket to be opened or closed.
const SETTLE: Duration = Duration::from_secs(1);

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
    pub fn outage_of(&self, zone: Option<&str>) -> Option<Outage> {
        let cut = zone.is_some_and(|zone| self.cut_zones.iter().any(|name| name == zone));
        self.outage
            .or_else(|| cut.then(|| self.cut.unwrap_or(Outage::Silent)))
    }

    /// Returns the delay of every request.
    pub fn latency(&self) -> Duration {
        Duration::from_millis(self.latency_ms)
    }
}

/// Network faults and open connections of one address.
pub struct Wire {
    faults: watch::Sender<Network>,
    listening: watch::Sender<bool>,
    links: Mutex<Map<u64, Arc<Link>>>,
    next: AtomicU64,
}

impl Wire {
    /// Creates an endpoint with the given faults and no connections.
    pub fn new(faults: Network) -> Self {
        Self {
            listening: watch::Sender::new(faults.outage != Some(Outage::Refuse)),
            faults: watch::Sender::new(faults),
            links: Mutex::default(),
            next: AtomicU64::new(0),
        }
    }

    /// Returns the active faults.
    pub fn faults(&self) -> watch::Ref<'_, Network> {
        self.faults.borrow()
    }

    /// Returns a receiver that is notified of every change of the faults.
    pub fn watch(&self) -> watch::Receiver<Network> {
        self.faults.subscribe()
    }

    /// Replaces the faults.
    pub fn set(&self, faults: Network) {
        let refuse = faults.outage == Some(Outage::Refuse);
        self.faults.send_replace(faults);
        if refuse {
            self.close_all();
        }
        self.links().values().for_each(|link| link.wake());
    }

    /// Records whether the listening socket is open.
    pub(super) fn set_listening(&self, open: bool) {
        self.listening.send_replace(open);
    }

    /// Waits until the listening socket is in the state that the faults require. Doesn't block:
    /// the listener may be a task on the same thread.
    pub(super) async fn settled(&self) {
        let open = self.faults.borrow().outage != Some(Outage::Refuse);
        let mut listening = self.listening.subscribe();
        let reached = listening.wait_for(|now| *now == open);
        let _ = time::timeout(SETTLE, reached).await;
    }

    /// Blocks until the listening socket is in the state that the faults require.
    pub(super) fn settle(&self) {
        let open = self.faults.borrow().outage != Some(Outage::Refuse);
        let begin = Instant::now();
        while *self.listening.borrow() != open && begin.elapsed() < SETTLE {
            thread::sleep(Duration::from_micros(200));
        }
    }

    /// Returns whether reads and writes are blocked.
    pub fn is_silent(&self) -> bool {
        self.faults.borrow().outage == Some(Outage::Silent)
    }

    /// Blocks all established connections for the rest of their lifetime.
    pub fn mute_all(&self) {
        self.links().values().for_each(|link| link.mute());
    }

    /// Closes all established connections.
    pub fn close_all(&self) {
        self.links().values().for_each(|link| link.close());
    }

    /// Adds a connection and returns its identifier and handle.
    pub(super) fn open(&self) -> (u64, Arc<Link>) {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let link = Arc::new(Link::default());
        self.links().insert(id, Arc::clone(&link));
        (id, link)
    }

    /// Removes a connection that has ended.
    pub(super) fn end(&self, id: u64) {
        self.links().remove(&id);
    }

    fn links(&self) -> MutexGuard<'_, Map<u64, Arc<Link>>> {
        lock(&self.links)
    }
}
