//! Connections to upstreams that this instance opens for another one, which can't reach them.
//!
//! The other instance requests a tunnel over its link, which both have authenticated, and gets a
//! random number. It connects to the tunnel port and sends the number, and bytes pass in both
//! directions from then on, those of the upstream in [`frames`]. A tunnel leads only to an upstream of
//! the registry.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    io::{
        self,
        ErrorKind, //
    },
    net::SocketAddr,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use futures_util::future::select_ok;
use rand::seq::IndexedRandom as _;
use serde::{
    Deserialize,
    Serialize, //
};
use tokio::{
    io::{
        AsyncReadExt as _,
        AsyncWriteExt as _, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    time::{
        sleep,
        timeout, //
    },
};

use super::{
    connection,
    fleet::Fleet,
    frames,
    front,
    metrics::Metrics,
    registry::Server,
    settings, //
};
use crate::{
    clock::Time,
    hash::Map, //
};

/// Maximum tunnels that an instance carries at a time.
const MAX_TUNNELS: usize = 256;

/// Maximum connections that have not sent their number. Any host may open some.
const MAX_PICKUPS: usize = 128;

/// Timeout of a connection for another instance, which waits for it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(80);

/// Time within which the other instance connects to the tunnel port.
const PICKUP_TIMEOUT: Duration = Duration::from_secs(1);

/// Buffer of each direction of a tunnel, in bytes.
const BUFFER_BYTES: usize = 8 << 10;

/// Time without bytes after which an answer that began is presumed to be complete; streams pause for
/// less.
const QUIET_TIME: Duration = Duration::from_secs(3);

/// Other upstreams that are tried at once to tell a refusal of an upstream from one of the paths;
/// some may have ended too.
const MAX_WITNESSES: usize = 3;

/// Number that opens a tunnel, once.
pub type Token = u64;

/// Reply to a request for a tunnel.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Response {
    /// The upstream is reached.
    #[serde(rename = "o")]
    Open {
        /// Address of the tunnel port.
        #[serde(rename = "a")]
        address: SocketAddr,
        /// Number to send there.
        #[serde(rename = "t")]
        token: Token,
    },
    /// The upstream can't be reached from here, but others can.
    #[serde(rename = "u")]
    Unreachable,
    /// The upstream refuses connections, and another one was reached just now. Older builds reply
    /// `Unreachable` instead.
    #[serde(rename = "e")]
    Ended {
        /// Start of the upstream that refuses; the requester may know another one.
        #[serde(rename = "b")]
        started: u64,
    },
    /// No upstream can be reached from here, or the instance carries no more tunnels.
    #[serde(rename = "r")]
    Refused,
}

/// Opens a listener on the first free port of a range.
pub fn listen(settings: settings::Tunnels) -> std::io::Result<TcpListener> {
    let [first, last] = settings.ports;
    let mut result = Err(ErrorKind::AddrInUse.into());
    for port in first..=last {
        result = front::listen((settings.ip, port).into());
        if result.is_ok() {
            break;
        }
    }
    result
}

/// Tunnels that this instance carries for others.
pub struct Tunnels {
    fleet: Rc<Fleet>,
    metrics: Metrics,
    /// Address of the tunnel port; `None` if this instance carries no tunnels.
    address: Cell<Option<SocketAddr>>,
    /// Connections to upstreams that wait to be picked up.
    waiting: RefCell<Map<Token, TcpStream>>,
    /// Tunnels that wait to be picked up or are in use.
    open: Cell<usize>,
    /// Connections that have not sent their number.
    pickups: Cell<usize>,
    /// Tunnels in use.
    active: RefCell<Map<Token, Rc<Activity>>>,
    /// Whether this instance has lost its own paths.
    lost: Cell<bool>,
}

impl Tunnels {
    /// Returns a state without a tunnel port.
    pub fn new(fleet: Rc<Fleet>, metrics: Metrics) -> Self {
        Self {
            fleet,
            metrics,
            address: Cell::default(),
            waiting: RefCell::default(),
            open: Cell::new(0),
            pickups: Cell::new(0),
            active: RefCell::default(),
            lost: Cell::new(false),
        }
    }

    /// Returns the number of tunnels on which an answer is awaited or being passed.
    pub fn busy(&self) -> usize {
        let active = self.active.borrow();
        active.values().filter(|activity| activity.busy()).count()
    }

    /// Sets whether this instance has lost its own paths, and so refuses to carry tunnels.
    pub fn set_lost(&self, lost: bool) {
        self.lost.set(lost);
    }

    /// Opens a connection to an upstream for another instance.
    pub async fn open(self: &Rc<Self>, upstream: &str) -> Response {
        let Some(address) = self.address.get() else {
            return Response::Refused;
        };
        let server = self.fleet.registry.borrow().get(upstream).cloned();
        let Some(server) = server else {
            return Response::Unreachable;
        };
        if self.open.get() >= MAX_TUNNELS || self.lost.get() {
            return Response::Refused;
        }
        self.open.set(self.open.get() + 1);
        let connected = timeout(CONNECT_TIMEOUT, async {
            match connection::dial(server.address).await {
                Err(error) if self.confirm_refusal(&server, &error).await => Err(Response::Ended {
                    started: server.started,
                }),
                connected => connected.map_err(|_| Response::Unreachable),
            }
        });
        let stream = match connected.await.unwrap_or(Err(Response::Unreachable)) {
            Ok(stream) => stream,
            Err(response) => {
                self.open.set(self.open.get() - 1);
                return response;
            }
        };
        let token = rand::random();
        self.waiting.borrow_mut().insert(token, stream);
        let tunnels = self.clone();
        actix_web::rt::spawn(async move {
            sleep(PICKUP_TIMEOUT).await;
            if tunnels.waiting.borrow_mut().remove(&token).is_some() {
                tunnels.open.set(tunnels.open.get() - 1);
            }
        });
        Response::Open { address, token }
    }

    /// Returns whether a refused connection to an upstream shows that the upstream has ended, and
    /// not that the paths of this instance are lost.
    ///
    /// Another upstream has to be reached between two refusals, as the paths may return after the
    /// first one.
    pub async fn confirm_refusal(&self, server: &Server, error: &io::Error) -> bool {
        if !refused(error) {
            return false;
        }
        let neighbours = self.fleet.registry.borrow().neighbours(server);
        let witnesses = neighbours.sample(&mut rand::rng(), MAX_WITNESSES);
        let dials = witnesses.map(|witness| Box::pin(connection::dial(witness.address)));
        let dials: Vec<_> = dials.collect();
        if dials.is_empty() || select_ok(dials).await.is_err() {
            return false;
        }
        let again = connection::dial(server.address).await;
        again.is_err_and(|error| refused(&error))
    }

    /// Returns whether the registry shows that this start of an upstream is gone.
    pub fn is_gone(&self, server: &Server) -> bool {
        let registry = self.fleet.registry.borrow();
        registry.is_gone(Time::monotonic(), server)
    }

    /// Accepts the connections of other instances; never returns.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        self.address.set(listener.local_addr().ok());
        loop {
            if self.pickups.get() >= MAX_PICKUPS {
                // Numbers that have arrived are read first.
                tokio::task::yield_now().await;
            }
            match listener.accept().await {
                // The peer loses one path of several if it was its connection.
                Ok(_) if self.pickups.get() >= MAX_PICKUPS => {
                    self.metrics.refused_tunnel();
                }
                Ok((stream, _)) => {
                    self.pickups.set(self.pickups.get() + 1);
                    actix_web::rt::spawn(self.clone().carry(stream));
                }
                Err(error) => {
                    log::warn!(error:%; "tunnel: connection of a peer can't be accepted; retrying after a pause");
                    sleep(Duration::from_millis(10)).await;
                }
            }
        }
    }

    async fn carry(self: Rc<Self>, mut peer: TcpStream) {
        let token = timeout(PICKUP_TIMEOUT, peer.read_u64()).await;
        self.pickups.set(self.pickups.get() - 1);
        let Ok(Ok(token)) = token else {
            return;
        };
        let Some(upstream) = self.waiting.borrow_mut().remove(&token) else {
            log::warn!("tunnel: peer sent an unknown number; closing its connection");
            return;
        };
        // Without these a tunnel only is slower.
        let _ = peer.set_nodelay(true);
        let activity = Rc::<Activity>::default();
        self.active.borrow_mut().insert(token, activity.clone());
        splice(peer, upstream, &activity).await;
        self.active.borrow_mut().remove(&token);
        self.open.set(self.open.get() - 1);
    }
}

fn refused(error: &io::Error) -> bool {
    error.kind() == ErrorKind::ConnectionRefused
}

/// Passes bytes until one side closes its connection or breaks.
///
/// The directions don't wait for each other: an upstream may answer before it reads the request.
async fn splice(mut peer: TcpStream, mut upstream: TcpStream, activity: &Activity) {
    let (mut peer_reader, mut peer_writer) = peer.split();
    let (mut upstream_reader, mut upstream_writer) = upstream.split();
    // Whether a part of a request waits to be written.
    let unwritten = Cell::new(false);
    let requests = async {
        let mut buffer = [0; BUFFER_BYTES];
        loop {
            // A peer that closes its connection gave the request up; the upstream must notice.
            let read = peer_reader.read(&mut buffer).await;
            let Some(length) = read.ok().filter(|length| *length > 0) else {
                return;
            };
            activity.waiting.set(true);
            unwritten.set(true);
            if upstream_writer.write_all(&buffer[..length]).await.is_err() {
                return;
            }
            unwritten.set(false);
        }
    };
    let answers = async {
        let mut buffer = [0; frames::HEADER_BYTES + BUFFER_BYTES];
        // Without the end frame, an answer without a length counts as broken at the peer. One that ends
        // before its request was written may be that of an upstream that gave up.
        while let Ok(length) = upstream_reader
            .read(&mut buffer[frames::HEADER_BYTES..])
            .await
        {
            if length == 0 && unwritten.get() {
                return;
            }
            activity.waiting.set(false);
            activity.answered.set(Some(Instant::now()));
            buffer[..frames::HEADER_BYTES].copy_from_slice(&frames::header(length as u32));
            let frame = &buffer[..frames::HEADER_BYTES + length];
            if peer_writer.write_all(frame).await.is_err() || length == 0 {
                return;
            }
        }
    };
    tokio::select! {
        () = requests => {}
        () = answers => {}
    }
}

/// When bytes passed on a tunnel.
#[derive(Default)]
struct Activity {
    /// Whether a request was passed after the latest bytes of an answer.
    waiting: Cell<bool>,
    /// Time of the latest bytes of an answer.
    answered: Cell<Option<Instant>>,
}

impl Activity {
    /// Returns whether an answer is awaited or may be incomplete.
    fn busy(&self) -> bool {
        let recent = |at: Instant| at.elapsed() < QUIET_TIME;
        self.waiting.get() || self.answered.get().is_some_and(recent)
    }
}
