//! Upstreams as one instance knows them: which exist, and the load of each.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use super::{
    balance::{
        self,
        Choice, //
    },
    limit::{
        Change,
        Notice,
        Notices, //
    },
    load::{
        Load,
        Report, //
    },
    origin::Beginning,
    refresh::Refresh,
    registry::{
        Registry,
        Server, //
    },
};
use crate::{
    clock::Time,
    hash::Map, //
};

/// Time for which it is remembered when an upstream stated its start.
const ALIVE_RETENTION: Duration = Duration::from_secs(60);

/// The upstreams of all services.
#[derive(Default)]
pub struct Fleet {
    settings: balance::Settings,
    /// Upstreams that exist.
    pub registry: RefCell<Registry>,
    /// Reads of the registry on demand.
    pub refresh: Refresh,
    /// Whether the registry has been read since the start.
    pub registered: Cell<bool>,
    loads: RefCell<Map<SocketAddr, Load>>,
    /// Limits that upstreams named.
    pub limits: RefCell<Notices>,
    /// Whether the upstreams of a service describe themselves.
    descriptions: RefCell<Map<Arc<str>, bool>>,
    /// Start that an upstream stated latest, and when.
    alive: RefCell<Map<Arc<str>, (u64, Time)>>,
}

impl Fleet {
    /// Returns a fleet without upstreams.
    pub fn new(settings: balance::Settings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Picks the upstream of a request.
    pub fn pick(&self, service: &str, request: &balance::Request<'_>) -> Option<Choice> {
        let registry = self.registry.borrow();
        balance::pick(
            &self.settings,
            request,
            registry.usable(request.now, service),
            &self.loads.borrow(),
            &mut rand::rng(),
        )
    }

    /// Reads or updates the load of an upstream, which is created if it is unknown.
    pub fn load<R>(&self, upstream: SocketAddr, change: impl FnOnce(&mut Load) -> R) -> R {
        change(self.loads.borrow_mut().entry(upstream).or_default())
    }

    /// Records a load report of an upstream.
    pub fn report(&self, now: Time, upstream: SocketAddr, report: Report) {
        self.load(upstream, |load| load.report(now, report));
    }

    /// Records that an answer of an upstream was lost.
    pub fn failed(&self, now: Time, upstream: SocketAddr) {
        self.load(upstream, |load| load.failed(now));
    }

    /// Records that an upstream could not be reached.
    pub fn unreachable(&self, now: Time, upstream: SocketAddr) {
        self.load(upstream, |load| load.unreachable(now));
    }

    /// Reads the registry; returns whether a read that began from now on succeeded. While the store
    /// fails, no entry changes, although upstreams do.
    pub async fn refresh(&self) -> bool {
        let failing = self.registry.borrow().is_failing();
        let read = !failing && self.refresh.read().await;
        if !read {
            log::info!("registry: entries can't be read; it can't be told which upstreams answer");
        }
        read
    }

    /// Returns whether the registry, read from now on, shows that an upstream has the software version
    /// of its entry.
    pub async fn confirm_version(&self, server: &Server) -> bool {
        self.refresh().await && !self.registry.borrow().is_replaced(server)
    }

    /// As [`Self::confirm_version`], for the upstream at which a stream began.
    pub async fn confirm_origin(&self, beginning: &Beginning) -> bool {
        if !self.refresh().await {
            return false;
        }
        let Beginning {
            origin,
            upstream,
            started,
            ..
        } = beginning;
        let registry = self.registry.borrow();
        !registry.is_superseded(upstream, *started, &origin.service, &origin.version)
    }

    /// Records whether the upstreams of a service describe themselves. A service that does so keeps
    /// doing it: an odd answer of one upstream must not end the proofs of all.
    pub fn record_description(&self, service: &Arc<str>, describes: bool) {
        let mut descriptions = self.descriptions.borrow_mut();
        let known = descriptions.get(service).copied();
        if known.is_none() || (describes && known == Some(false)) {
            descriptions.insert(service.clone(), describes);
        }
    }

    /// Records that a start of an upstream answered; `now` is not after it did.
    pub fn record_alive(&self, now: Time, server: &Server) {
        let mut alive = self.alive.borrow_mut();
        alive.insert(server.id.clone(), (server.started, now));
    }

    /// Returns whether a start of an upstream answered at a moment or later.
    pub fn was_alive(&self, id: &str, started: u64, at: Time) -> bool {
        let alive = self.alive.borrow();
        let known = alive.get(id);
        known.is_some_and(|(answered, last)| *answered == started && *last >= at)
    }

    /// Returns whether the upstreams of a service describe themselves, if one was asked.
    pub fn describes(&self, service: &str) -> Option<bool> {
        self.descriptions.borrow().get(service).copied()
    }

    /// Records that an upstream said in an answer that it leaves.
    pub fn leave(&self, now: Time, server: &Server) {
        if self.registry.borrow_mut().leave(now, server) {
            log::info!(
                upstream = &*server.id;
                "registry: upstream says that it leaves; it gets no new requests"
            );
        }
    }

    /// Records what an upstream said about its limit.
    pub fn note_limit(&self, notice: Notice) -> Change {
        let (upstream, rate) = (notice.upstream.clone(), notice.rate);
        let change = self.limits.borrow_mut().record(notice);
        let address = match change {
            Change::None => None,
            Change::Named | Change::Ended => {
                let registry = self.registry.borrow();
                registry.get(&upstream).map(|server| server.address)
            }
        };
        if let Some(address) = address {
            self.load(address, |load| load.set_next_permit(Time::default()));
        }
        match change {
            Change::None => {}
            Change::Named => {
                log::info!(upstream = &*upstream, rate; "limit: upstream limits its requests")
            }
            Change::Ended => {
                log::info!(upstream = &*upstream; "limit: upstream has no limit any more")
            }
        }
        change
    }

    /// Returns the requests per second that an upstream takes from all instances together, if it
    /// named a limit.
    pub fn limit(&self, server: &Server) -> Option<f64> {
        self.limits.borrow().rate(server)
    }

    /// Drops the load and the limits of upstreams that are gone.
    pub fn sweep(&self) {
        let registry = self.registry.borrow();
        self.limits
            .borrow_mut()
            .retain(|upstream| registry.get(upstream).is_some());
        let now = Time::monotonic();
        // Streams end, and are taken up, well within this time.
        self.alive
            .borrow_mut()
            .retain(|_, (_, last)| now.since(*last) < ALIVE_RETENTION);
        self.loads
            .borrow_mut()
            .retain(|address, load| load.running(now) >= 1.0 || registry.has_address(*address));
    }
}

/// Guard that counts a send as load of its upstream until it is dropped.
pub struct Flight {
    fleet: Rc<Fleet>,
    upstream: SocketAddr,
    /// Prompt tokens that the upstream still has to process.
    unread: u64,
}

impl Flight {
    /// Counts a send.
    pub fn new(fleet: &Rc<Fleet>, upstream: SocketAddr, unread: u64) -> Self {
        fleet.load(upstream, |load| load.sent(unread));
        Self {
            fleet: fleet.clone(),
            upstream,
            unread,
        }
    }

    /// Returns the upstream.
    pub fn upstream(&self) -> SocketAddr {
        self.upstream
    }

    /// Records that the upstream has processed the prompt.
    pub fn prefilled(&mut self) {
        let unread = std::mem::take(&mut self.unread);
        self.fleet
            .load(self.upstream, |load| load.prefilled(unread));
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.prefilled();
        self.fleet.load(self.upstream, Load::ended);
    }
}
