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
use listener::Holder;
use serde::{
    de::DeserializeOwned,
    Serialize, //
};
use tokio::sync::{
    oneshot,
    watch, //
};

pub use connection::Link;
pub use network::{
    Network,
    Outage,
    Wire, //
};

/// Loopback address with port 0, which picks a free port.
pub const FREE: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// A stand-in for an outside system that a [`Server`] serves over HTTP.
pub trait Standin: Send + Sync + Sized + 'static {
    /// Faults that tests can set; unknown fields are rejected.
    type Faults: Clone + Serialize + DeserializeOwned + Send;
    /// Statistics of the stand-in, returned by `GET /control/books`.
    type Books: Serialize;

    /// Adds the routes. Handlers receive the stand-in as `web::Data<Self>`.
    fn configure(app: &mut ServiceConfig);

    /// Spawns background tasks on the server's thread; none by default.
    fn run(self: &Arc<Self>) {}

    /// Returns the active faults.
    fn faults(&self) -> Self::Faults;

    /// Replaces all faults, except those of the network, which [`Server::set_faults`] applies.
    fn set_faults(&self, faults: Self::Faults);

    /// Returns the network faults among `faults`.
    fn network(faults: &Self::Faults) -> &Network;

    /// Returns a snapshot of the statistics.
    fn books(&self) -> Self::Books;
}

/// Handle of a running stand-in, which stops when the handle is dropped.
pub struct Server<S> {
    state: Arc<S>,
    wire: Arc<Wire>,
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
        let wire = Arc::new(Wire::new(S::network(&state.faults()).clone()));
        let holder = Holder::reserve(listen)?;
        let side = Holder::reserve(control)?;
        let (address, control) = (holder.address(), side.address());
        let (stop, stopping) = watch::channel(false);
        let (done, stopped) = oneshot::channel();
        let (ready, started) = mpsc::channel();
        let (shared, gate) = (Arc::clone(&state), Arc::clone(&wire));
        thread::Builder::new()
            .name(format!("standin-{}", address.port()))
            .spawn(move || {
                let runtime = match Runtime::new() {
                    Ok(runtime) => runtime,
                    Err(error) => return drop(ready.send(Err(error))),
                };
                runtime.block_on(serve(shared, gate, [holder, side], stopping, ready));
                drop(runtime);
                let _ = done.send(());
            })?;
        started.recv().map_err(io::Error::other)??;
        Ok(Self {
            state,
            wire,
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
    /// takes more than a second to follow.
    pub fn set_faults(&self, faults: S::Faults) {
        control::apply(&*self.state, &self.wire, faults);
        self.wire.settle();
    }

    /// Returns the active faults.
    pub fn faults(&self) -> S::Faults {
        self.state.faults()
    }

    /// Returns a snapshot of the statistics.
    pub fn books(&self) -> S::Books {
        self.state.books()
    }

    /// Blocks all established connections for the rest of their lifetime; new ones work.
    pub fn mute_connections(&self) {
        self.wire.mute_all();
    }

    /// Closes all established connections; new ones work.
    pub fn close_connections(&self) {
        self.wire.close_all();
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
    wire: Arc<Wire>,
    [main, side]: [Holder; 2],
    stopping: watch::Receiver<bool>,
    ready: mpsc::Sender<io::Result<()>>,
) {
    let (first, second) = match (main.listen(), side.listen()) {
        (Ok(first), Ok(second)) => (first, second),
        (Err(error), _) | (_, Err(error)) => return drop(ready.send(Err(error))),
    };
    let _ = ready.send(Ok(()));
    state.run();
    let open = Arc::new(Wire::new(Network::default()));
    let service = connection::factory(&state, &wire);
    let control = connection::factory(&state, &wire);
    future::join(
        listener::accept(main, first, &wire, service, stopping.clone()),
        listener::accept(side, second, &open, control, stopping),
    )
    .await;
}

impl<S> Deref for Server<S> {
    type Target = S;

    fn deref(&self) -> &S {
        &self.state
    }
}
