//! State of a gateway instance, shared by all requests of its thread.

use std::{
    cell::{
        Cell,
        OnceCell,
        RefCell, //
    },
    collections::VecDeque,
    future::Future,
    marker::PhantomData,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use tokio::sync::watch;

use super::{
    callers::{
        self,
        budget::Bounds, //
    },
    configuration::Configurations,
    dial::Dialer,
    dispatcher::Placer,
    fleet::Fleet,
    grace::Grace,
    history::{
        bounds,
        client::Histories, //
    },
    metrics::Metrics,
    operate::Refusals,
    origin::Directory,
    owner::Client,
    permit::Limiter,
    reports::Reports,
    route::{
        Route,
        Table, //
    },
    settings::Settings,
    shape::Shapes,
    tenant::credit::Quotas,
    throttle::Throttle,
};
use crate::{
    clock::Time,
    log::Log, //
};

/// Time for which configurations are remembered that led streams to other services; callers take
/// streams up within seconds, through instances that may know the new configuration later or earlier.
const MOVE_RETENTION: Duration = Duration::from_secs(30);

/// Maximum configurations that are remembered.
const MAX_MOVES: usize = 16;

/// Configuration that led streams to other services than the one after it.
struct Moved {
    table: Rc<Table>,
    /// When it was replaced.
    since: Time,
}

/// State of an instance.
pub struct Gateway<D, L> {
    /// Settings.
    pub settings: Settings,
    /// Configuration in effect.
    table: RefCell<Option<Rc<Table>>>,
    /// Earlier configurations; at most [`MAX_MOVES`], the latest last.
    moved: RefCell<VecDeque<Moved>>,
    /// Connections of callers.
    pub callers: Rc<callers::Connections>,
    /// Bytes of the configuration, and whether it is the newest.
    pub configurations: Rc<Configurations>,
    /// Upstreams that exist, and their load.
    pub fleet: Rc<Fleet>,
    /// Requests of placements from the dispatcher of the availability zone.
    pub placer: Rc<Placer>,
    /// Permits for upstreams with a limit.
    pub limiter: Rc<Limiter>,
    /// Connections to upstreams.
    pub dialer: Rc<Dialer>,
    /// Token accounts of programs.
    pub accounts: Rc<Client<L>>,
    /// Origins of streams.
    pub origins: Directory<L>,
    /// What whole streams have in common.
    pub shapes: Shapes,
    /// Requests that crash upstreams.
    pub reports: Rc<Reports>,
    /// Quotas of tenants.
    pub quotas: Rc<Quotas>,
    /// Kept turns.
    pub histories: OnceCell<Rc<Histories<L>>>,
    /// Metrics.
    pub metrics: Metrics,
    /// The latest refusals, for operators.
    pub refusals: Refusals,
    /// Rate limit of log lines about requests.
    pub log_throttle: Throttle,
    stopping: Cell<bool>,
    /// End of a planned stop.
    pub grace: Grace,
    /// Set once idle connections of callers have to be closed.
    closing: watch::Sender<bool>,
    /// Number of requests being answered.
    busy: Cell<usize>,
    dialect: PhantomData<D>,
}

impl<D, L: Log + 'static> Gateway<D, L> {
    /// Returns whether the balancer may send callers here.
    ///
    /// An instance isolated from the accounts refuses turns that other instances can serve.
    pub fn ready(&self) -> bool {
        !self.stopping.get()
            && self.fleet.registered.get()
            && self.table.borrow().is_some()
            && !self.accounts.isolated()
    }

    /// Puts a configuration into effect unless the current one is as new; returns whether it did.
    pub fn configure(&self, table: Table) -> bool {
        let mut current = self.table.borrow_mut();
        let newer = current
            .as_ref()
            .is_none_or(|current| table.version() > current.version());
        if newer {
            let table = Rc::new(table);
            self.callers.configure(table.limits());
            self.quotas.configure(&table);
            self.grace.retain(|route| table.has_route(route));
            if let Some(old) = current.replace(table.clone()) {
                self.record_move(old, &table);
            }
        }
        drop(current);
        let retains = self.table().is_some_and(|table| table.retains_turns());
        if let Some(histories) = self.histories.get().filter(|_| newer && retains) {
            histories.restrict(&bounds::Bounds::from(self.settings.machine));
            histories.start();
        }
        newer
    }
}

impl<D, L> Gateway<D, L> {
    /// Returns the state of an instance without a configuration or upstreams.
    pub fn new(
        settings: Settings,
        accounts: Rc<Client<L>>,
        origins: Directory<L>,
        placer: Rc<Placer>,
        dialer: Rc<Dialer>,
        reports: Rc<Reports>,
        metrics: Metrics,
    ) -> Self {
        let callers = callers::Connections::new(Bounds::from(settings.machine), metrics.clone());
        let (fleet, limiter) = (placer.fleet().clone(), placer.limiter().clone());
        Self {
            settings,
            table: RefCell::default(),
            moved: RefCell::default(),
            callers: Rc::new(callers),
            configurations: Rc::default(),
            fleet,
            limiter,
            placer,
            dialer,
            accounts,
            origins,
            shapes: Shapes::default(),
            reports,
            quotas: Rc::new(Quotas::new(metrics.clone())),
            histories: OnceCell::new(),
            metrics,
            refusals: Refusals::default(),
            log_throttle: Throttle::default(),
            stopping: Cell::new(false),
            grace: Grace::default(),
            closing: watch::Sender::new(false),
            busy: Cell::new(0),
            dialect: PhantomData,
        }
    }

    /// Returns the configuration in effect.
    pub fn table(&self) -> Option<Rc<Table>> {
        self.table.borrow().clone()
    }

    /// Remembers a configuration if streams lead to other services after it.
    fn record_move(&self, old: Rc<Table>, new: &Table) {
        if !old.moves_streams(new) {
            return;
        }
        let mut moved = self.moved.borrow_mut();
        if moved.len() >= MAX_MOVES {
            moved.pop_front();
        }
        let since = Time::monotonic();
        moved.push_back(Moved { table: old, since });
    }

    /// Returns whether requests to a path of a route have led to the same services lately.
    pub fn kept_services(&self, route: &Route, path: &str) -> bool {
        let now = Time::monotonic();
        let moved = self.moved.borrow();
        let mut recent = moved
            .iter()
            .filter(|moved| now.since(moved.since) < MOVE_RETENTION);
        recent.all(|moved| {
            let old = moved.table.route(&route.host, path);
            old.is_none_or(|old| old.shares == route.shares)
        })
    }

    /// Makes the readiness check fail, so that the balancer sends callers to other instances;
    /// requests are still served, as far as they can be answered by `end`.
    pub fn stop(&self, end: Instant) {
        self.stopping.set(true);
        self.grace.begin(end);
    }

    /// Closes the idle connections of callers, and each other connection after its answer.
    ///
    /// A request on a connection that stayed idle until now would arrive too late to be answered
    /// before the process ends.
    pub fn close(&self) {
        self.closing
            .send_if_modified(|closing| !std::mem::replace(closing, true));
    }

    /// Waits until idle connections of callers have to be closed.
    pub fn closed(&self) -> impl Future<Output = ()> + 'static {
        let mut closing = self.closing.subscribe();
        async move {
            // The sender exists for as long as the process serves.
            let _ = closing.wait_for(|closing| *closing).await;
        }
    }

    /// Returns the number of requests being answered.
    pub fn busy(&self) -> usize {
        self.busy.get()
    }

    /// Drops what is known of upstreams that are gone, and closes expired idle connections.
    pub fn sweep(&self) {
        let registry = self.fleet.registry.borrow();
        self.dialer.sweep(|address| registry.has_address(address));
        drop(registry);
        self.dialer.test_paths();
        self.callers.sweep();
        self.fleet.sweep();
        self.placer.sweep();
        self.reports.sweep();
    }
}

/// Guard that counts a request as being answered until it is dropped.
pub struct Busy<D, L>(Rc<Gateway<D, L>>);

impl<D, L> Busy<D, L> {
    /// Counts a request.
    pub fn new(gateway: &Rc<Gateway<D, L>>) -> Self {
        gateway.busy.set(gateway.busy.get() + 1);
        Self(gateway.clone())
    }
}

impl<D, L> Drop for Busy<D, L> {
    fn drop(&mut self) {
        self.0.busy.set(self.0.busy.get() - 1);
    }
}
