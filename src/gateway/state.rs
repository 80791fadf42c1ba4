//! State of a gateway instance, shared by all requests of its thread.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    future::Future,
    marker::PhantomData,
    net::SocketAddr,
    rc::Rc, //
};

use tokio::sync::watch;

use super::{
    balance::{
        self,
        Choice, //
    },
    load::{
        Load,
        Report, //
    },
    metrics::Metrics,
    owner::Client,
    pool::Pool,
    registry::Registry,
    route::Table,
    settings::Settings,
    throttle::Throttle,
};
use crate::{
    clock::Time,
    hash::Map,
    log::Log, //
};

/// State of an instance.
pub struct Gateway<D, L> {
    /// Settings.
    pub settings: Settings,
    /// Configuration in effect.
    table: RefCell<Option<Rc<Table>>>,
    /// Upstreams that exist.
    pub registry: RefCell<Registry>,
    /// Whether the registry has been read since the start.
    pub registered: Cell<bool>,
    loads: RefCell<Map<SocketAddr, Load>>,
    /// Idle connections to upstreams.
    pub pool: Pool,
    /// Token accounts of programs.
    pub accounts: Rc<Client<L>>,
    /// Metrics.
    pub metrics: Metrics,
    /// Rate limit of log lines about requests.
    pub log_throttle: Throttle,
    stopping: Cell<bool>,
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
            && self.registered.get()
            && self.table.borrow().is_some()
            && !self.accounts.isolated()
    }
}

impl<D, L> Gateway<D, L> {
    /// Returns the state of an instance without a configuration or upstreams.
    pub fn new(settings: Settings, accounts: Rc<Client<L>>, metrics: Metrics) -> Self {
        Self {
            settings,
            table: RefCell::default(),
            registry: RefCell::default(),
            registered: Cell::new(false),
            loads: RefCell::default(),
            pool: Pool::default(),
            accounts,
            metrics,
            log_throttle: Throttle::default(),
            stopping: Cell::new(false),
            closing: watch::Sender::new(false),
            busy: Cell::new(0),
            dialect: PhantomData,
        }
    }

    /// Returns the configuration in effect.
    pub fn table(&self) -> Option<Rc<Table>> {
        self.table.borrow().clone()
    }

    /// Puts a configuration into effect unless the current one is as new; returns whether it did.
    pub fn configure(&self, table: Table) -> bool {
        let mut current = self.table.borrow_mut();
        let newer = current
            .as_ref()
            .is_none_or(|current| table.version() > current.version());
        if newer {
            *current = Some(Rc::new(table));
        }
        newer
    }

    /// Makes the readiness check fail, so that the balancer sends callers to other instances;
    /// requests are still served.
    pub fn stop(&self) {
        self.stopping.set(true);
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

    /// Picks the upstream of a request.
    pub fn pick(&self, service: &str, request: &balance::Request<'_>) -> Option<Choice> {
        let registry = self.registry.borrow();
        balance::pick(
            &self.settings.balance,
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
    pub fn report(&self, upstream: SocketAddr, report: Report) {
        let now = Time::monotonic();
        self.load(upstream, |load| load.report(now, report));
    }

    /// Drops the load of upstreams that are gone, and closes expired idle connections.
    pub fn sweep(&self) {
        self.pool.sweep();
        let registry = self.registry.borrow();
        let now = Time::monotonic();
        self.loads
            .borrow_mut()
            .retain(|address, load| load.running(now) >= 1.0 || registry.has_address(*address));
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

/// Guard that counts a send as load of its upstream until it is dropped.
pub struct Flight<D, L> {
    gateway: Rc<Gateway<D, L>>,
    upstream: SocketAddr,
    /// Prompt tokens that the upstream still has to process.
    unread: u64,
}

impl<D, L> Flight<D, L> {
    /// Counts a send.
    pub fn new(gateway: &Rc<Gateway<D, L>>, upstream: SocketAddr, unread: u64) -> Self {
        gateway.load(upstream, |load| load.sent(unread));
        Self {
            gateway: gateway.clone(),
            upstream,
            unread,
        }
    }

    /// Records that the upstream has processed the prompt.
    pub fn prefilled(&mut self) {
        let unread = std::mem::take(&mut self.unread);
        self.gateway
            .load(self.upstream, |load| load.prefilled(unread));
    }
}

impl<D, L> Drop for Flight<D, L> {
    fn drop(&mut self) {
        self.prefilled();
        self.gateway.load(self.upstream, Load::ended);
    }
}
