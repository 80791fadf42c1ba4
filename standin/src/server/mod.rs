//! HTTP server of all stand-ins: connections, network faults and control routes.

mod connection;
mod control;
mod listener;
mod network;

use std::{
    io,
    net::{
        IpAddr,
        Ipv4Addr,
        SocketAddr, //
    },
    ops::Deref,
    sync::{
        mpsc,
        Arc, //
    },
    thread,
};

use actix_web::{
    rt::Runtime,
    web::ServiceConfig, //
};
use futures_util::future;
use listener::Reservation;
use serde::{
    de::DeserializeOwned,
    Serialize, //
};
use tokio::sync::{
    oneshot,
    watch, //
};

pub use connection::Connection;
pub use network::{
    Endpoint,
    Network,
    Outage, //
};

/// Loopback address with port 0, which picks a free port.
pub const LOOPBACK_ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// A stand-in for an outside system that a [`Server`] serves over HTTP.
pub trait Standin: Send + Sync + Sized + 'static {
    /// Faults that tests can set; unknown fields are rejected.
    type Faults: Clone + Serialize + DeserializeOwned + Send;
    /// Statistics of the stand-in, returned by `GET /control/books`.
    type Stats: Serialize;

    /// Adds the routes. Handlers receive the stand-in as `web::Data<Self>`.
    fn configure(app: &mut ServiceConfig);

    /// Spawns background tasks on the server's thread; none by default.
    fn spawn_tasks(self: &Arc<Self>) {}

    /// Returns the active faults.
    fn faults(&self) -> Self::Faults;

    /// Replaces all faults. Those of the network take effect only through
    /// [`Server::set_faults`] or the control route.
    fn set_faults(&self, faults: Self::Faults);

    /// Returns the network faults among `faults`.
    fn network(faults: &Self::Faults) -> &Network;

    /// Returns a snapshot of the statistics.
    fn stats(&self) -> Self::Stats;
}

/// Handle of a running stand-in, which stops when the handle is dropped.
pub struct Server<S> {
    state: Arc<S>,
    endpoint: Arc<Endpoint>,
    address: SocketAddr,
    control: SocketAddr,
    stop: Option<watch::Sender<bool>>,
    stopped: oneshot::Receiver<()>,
}

impl<S: Standin> Server<S> {
    /// Starts `state` on `listen`, with a second address for control; port 0 picks a
    /// free port. Fails if an address can't be bound.
    pub fn start(state: S, listen: SocketAddr, control: SocketAddr) -> io::Result<Self> {
        let state = Arc::new(state);
        let endpoint = Arc::new(Endpoint::new(S::network(&state.faults()).clone()));
        let reservation = Reservation::reserve(listen)?;
        let control_reservation = Reservation::reserve(control)?;
        let (address, control) = (reservation.address(), control_reservation.address());
        let (stop, stopping) = watch::channel(false);
        let (done, stopped) = oneshot::channel();
        let (ready, started) = mpsc::channel();
        let (shared_state, shared_endpoint) = (Arc::clone(&state), Arc::clone(&endpoint));
        thread::Builder::new()
            .name(format!("standin-{}", address.port()))
            .spawn(move || {
                let runtime = match Runtime::new() {
                    Ok(runtime) => runtime,
                    Err(error) => return drop(ready.send(Err(error))),
                };
                runtime.block_on(serve(
                    shared_state,
                    shared_endpoint,
                    [reservation, control_reservation],
                    stopping,
                    ready,
                ));
                drop(runtime);
                let _ = done.send(());
            })?;
        started.recv().map_err(io::Error::other)??;
        Ok(Self {
            state,
            endpoint,
            address,
            control,
            stop: Some(stop),
            stopped,
        })
    }

    /// Returns the address of the service.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address for control, which network faults don't affect.
    pub fn control(&self) -> SocketAddr {
        self.control
    }

    /// Replaces all faults. They are in effect when this returns, unless the listening socket
    /// takes too long to open or close.
    pub fn set_faults(&self, faults: S::Faults) {
        control::apply_faults(&*self.state, &self.endpoint, faults);
        self.endpoint.block_until_applied();
    }

    /// Returns the active faults.
    pub fn faults(&self) -> S::Faults {
        self.state.faults()
    }

    /// Returns a snapshot of the statistics.
    pub fn stats(&self) -> S::Stats {
        self.state.stats()
    }

    /// Blocks all established connections for the rest of their lifetime; new ones work.
    pub fn mute_connections(&self) {
        self.endpoint.mute_all();
    }

    /// Closes all established connections; new ones work.
    pub fn close_connections(&self) {
        self.endpoint.close_all();
    }

    /// Returns the stand-in, which outlives the server.
    pub fn state(&self) -> Arc<S> {
        Arc::clone(&self.state)
    }

    /// Stops without completing open calls, like a killed process, and waits for the end.
    pub async fn stop(mut self) {
        self.stop = None;
        let _ = (&mut self.stopped).await;
    }
}

/// Serves both addresses until `stopping` changes.
async fn serve<S: Standin>(
    state: Arc<S>,
    endpoint: Arc<Endpoint>,
    [service_port, control_port]: [Reservation; 2],
    stopping: watch::Receiver<bool>,
    ready: mpsc::Sender<io::Result<()>>,
) {
    let (first, second) = match (service_port.listen(), control_port.listen()) {
        (Ok(first), Ok(second)) => (first, second),
        (Err(error), _) | (_, Err(error)) => return drop(ready.send(Err(error))),
    };
    let _ = ready.send(Ok(()));
    state.spawn_tasks();
    let fault_free = Arc::new(Endpoint::new(Network::default()));
    let service = connection::factory(&state, &endpoint);
    let control = connection::factory(&state, &endpoint);
    future::join(
        listener::accept(service_port, first, &endpoint, service, stopping.clone()),
        listener::accept(control_port, second, &fault_free, control, stopping),
    )
    .await;
}

impl<S> Deref for Server<S> {
    type Target = S;

    fn deref(&self) -> &S {
        &self.state
    }
}
