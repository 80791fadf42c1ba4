//! State of a gateway instance, shared by all requests of its thread.

use std::{
    cell::{
        Cell,
        OnceCell,
        RefCell, //
    },
    future::Future,
    marker::PhantomData,
    rc::Rc, //
};

use tokio::sync::watch;

use super::{
    configuration::Configurations, dial::Dialer, dispatcher::Placer, fleet::Fleet,
    history::client::Histories, metrics::Metrics, operate::Refusals, origin::Directory,
    owner::Client, permit::Limiter, reports::Reports, route::Table, settings::Settings,
    shape::Shapes, tenant::credit::Quotas, throttle::Throttle,
};
use crate::log::Log;

/// State of an instance.
pub struct Gateway<D, L> {
    /// Settings.
    pub settings: Settings,
    /// Configuration in effect.
    table: RefCell<Option<Rc<Table>>>,
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
            self.quotas.configure(&table);
            *current = Some(table);
        }
        drop(current);
        let retains = self.table().is_some_and(|table| table.retains_turns());
        if let Some(histories) = self.histories.get().filter(|_| newer && retains) {
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
        let (fleet, limiter) = (placer.fleet().clone(), placer.limiter().clone());
        Self {
            settings,
            table: RefCell::default(),
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
            closing: watch::Sender::new(false),
            busy: Cell::new(0),
            dialect: PhantomData,
        }
    }

    /// Returns the configuration in effect.
    pub fn table(&self) -> Option<Rc<Table>> {
        self.table.borrow().clone()
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

    /// Drops what is known of upstreams that are gone, and closes expired idle connections.
    pub fn sweep(&self) {
        let registry = self.fleet.registry.borrow();
        self.dialer.sweep(|address| registry.has_address(address));
        drop(registry);
        self.dialer.test_paths();
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
