//! Opens connections to upstreams, directly or through another instance.
//!
//! Answers the load pattern of instances that lose their paths to all upstreams, while callers, the
//! store and the other instances still reach them: they serve their callers through instances that
//! reach the upstreams, and test their own paths meanwhile.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    io::ErrorKind,
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::Duration,
};

use futures_util::future::{
    select,
    Either, //
};
use rand::seq::{
    IteratorRandom as _,
    SliceRandom as _, //
};
use tokio::{
    io::AsyncWriteExt as _,
    time::{
        sleep,
        timeout, //
    },
};

use super::{
    connection::{
        self,
        Connection,
        Fault, //
    },
    metrics::Metrics,
    peers::Peers,
    pool::Pool,
    proof::{
        Ended,
        Findings, //
    },
    registry::Server,
    tunnel::{
        Response,
        Tunnels, //
    },
};
use crate::{
    clock::Time,
    hash::{
        Map,
        Set, //
    },
    name::Instance,
    peer::wire::Body, //
};

/// Timeout of a request for a tunnel: the time that the other instance has to connect, and many round
/// trips.
const TUNNEL_TIMEOUT: Duration = Duration::from_millis(120);

/// Time without a direct connection after which a tunnel is requested too; many round trips.
const HEDGE_DELAY: Duration = Duration::from_millis(40);

/// Maximum instances that are asked for a tunnel; half of a fleet may have lost its paths.
const MAX_ASKED: usize = 8;

/// Instances that reach other upstreams but not this one, after which the upstream counts as down.
const MIN_UNREACHABLE: usize = 2;

/// Time for which an upstream that is down is tried directly only.
const DOWN_TIME: Duration = Duration::from_millis(700);

/// Time for which a connection has to last to show that an upstream lives: a process that ends closes
/// its sockets one after the other.
const PROBE_TIME: Duration = Duration::from_millis(5);

/// Connections opened to find an upstream alive.
const MAX_PROBES: usize = 2;

/// Timeout of finding an upstream alive through other instances.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Upstreams that this instance can't reach while others can, from which on it presumes that it has
/// lost its paths to all.
const MIN_LOST: usize = 2;

/// State of the path to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Path {
    /// This instance can't reach the upstream, and another one can.
    Lost,
    /// No instance that was asked can reach the upstream, as of a time on the monotonic clock.
    Down(Time),
}

/// Paths to the upstreams, as far as they are not as usual.
#[derive(Debug, Default)]
pub struct Paths {
    paths: Map<SocketAddr, Path>,
    /// Upstreams that others reached while this instance did not, and that it has not reached since.
    unreached: Set<SocketAddr>,
    /// Whether all paths are presumed to be lost: several are, and none worked since.
    all_lost: bool,
}

impl Paths {
    /// Records that this instance reached an upstream.
    pub fn reached(&mut self, upstream: SocketAddr) {
        self.paths.remove(&upstream);
        self.unreached.remove(&upstream);
        self.all_lost = false;
    }

    /// Records that another instance reached an upstream that this one could not; returns whether all
    /// paths are presumed to be lost from now on.
    pub fn lost(&mut self, upstream: SocketAddr) -> bool {
        self.paths.insert(upstream, Path::Lost);
        self.unreached.insert(upstream);
        let lost = self.paths.values().filter(|path| **path == Path::Lost);
        let all_lost = lost.count() >= MIN_LOST;
        all_lost && !std::mem::replace(&mut self.all_lost, true)
    }

    /// Records that neither this instance nor others reached an upstream.
    pub fn down(&mut self, now: Time, upstream: SocketAddr) {
        self.paths.insert(upstream, Path::Down(now));
    }

    /// Returns whether to connect through another instance at once.
    pub fn is_lost(&self, upstream: SocketAddr) -> bool {
        self.paths.get(&upstream) == Some(&Path::Lost)
    }

    /// Returns whether the path to an upstream was lost and has not worked since, also if others no
    /// longer reach the upstream either.
    pub fn was_lost(&self, upstream: SocketAddr) -> bool {
        self.unreached.contains(&upstream)
    }

    /// Returns whether asking other instances for a tunnel is of no use.
    pub fn is_down(&self, now: Time, upstream: SocketAddr) -> bool {
        let path = self.paths.get(&upstream);
        matches!(path, Some(Path::Down(at)) if now.since(*at) < DOWN_TIME)
    }

    /// Returns whether all paths are presumed to be lost.
    pub fn all_lost(&self) -> bool {
        self.all_lost
    }

    /// Returns an upstream whose path is lost, to test it.
    pub fn any_lost(&self) -> Option<SocketAddr> {
        let lost =
            |(address, path): (&SocketAddr, &Path)| (*path == Path::Lost).then_some(*address);
        self.paths.iter().filter_map(lost).choose(&mut rand::rng())
    }

    /// Forgets all upstreams except those for which `listed` returns `true`.
    pub fn retain(&mut self, listed: impl Fn(SocketAddr) -> bool) {
        self.paths.retain(|upstream, _| listed(*upstream));
        self.unreached.retain(|upstream| listed(*upstream));
    }
}

/// State of an upstream that broke off a request.
pub enum Found {
    /// A new connection was opened.
    Alive(Box<Connection>),
    /// The upstream has ended.
    Ended(Ended),
    /// No connection could be opened, and the reason may be the paths.
    Unknown,
}

/// Connection that is opened while an upstream answers on another one. All connections of a process
/// end with it, and one that is opened afterwards may lead to the next process at the address.
#[derive(Clone, Default)]
pub struct Probe(Rc<RefCell<Option<Connection>>>);

impl Probe {
    /// Closes the connection if the upstream ended it before its answer.
    pub fn check(&self) {
        let mut connection = self.0.borrow_mut();
        connection.take_if(|connection| !connection.healthy());
    }
}

/// Replies of other instances that opened no tunnel to an upstream.
#[derive(Default)]
struct Refusals {
    /// Instances that reach other upstreams, but not this one.
    unreachable: usize,
    /// Whether one attests that this start of the upstream has ended.
    attested: bool,
}

/// Opens connections to upstreams.
pub struct Dialer {
    /// Idle connections.
    pub pool: Pool,
    tunnels: Rc<Tunnels>,
    metrics: Metrics,
    peers: RefCell<Option<Peers>>,
    paths: RefCell<Paths>,
    /// Instance that opened the latest tunnel.
    helper: RefCell<Option<Instance>>,
    testing: Cell<bool>,
}

impl Dialer {
    /// Returns a dialer without links to other instances, which connects directly only.
    pub fn new(tunnels: Rc<Tunnels>, metrics: Metrics) -> Self {
        Self {
            pool: Pool::default(),
            tunnels,
            metrics,
            peers: RefCell::default(),
            paths: RefCell::default(),
            helper: RefCell::default(),
            testing: Cell::new(false),
        }
    }

    /// Adds the links to other instances.
    pub fn connect(&self, peers: Peers) {
        self.peers.replace(Some(peers));
    }

    /// Returns the tunnels that this instance carries for others.
    pub fn tunnels(&self) -> &Rc<Tunnels> {
        &self.tunnels
    }

    /// Returns an idle connection to an upstream for a request, or opens one; if `once`, only a
    /// recently used one.
    pub async fn take(
        &self,
        server: &Server,
        request: &str,
        once: bool,
    ) -> Result<Connection, Fault> {
        while let Some(connection) = self.pool.take(server.address, request, once) {
            let lost = self.paths.borrow().is_lost(server.address);
            let usable = |helper| lost && self.is_live(helper);
            if connection.helper().is_none_or(usable) {
                return Ok(connection);
            }
        }
        self.open(server).await
    }

    /// Opens a connection to an upstream.
    pub async fn open(&self, server: &Server) -> Result<Connection, Fault> {
        let address = server.address;
        if self.paths.borrow().is_lost(address) {
            if let Ok(connection) = self.open_tunnel(server).await {
                return Ok(connection);
            }
            return self.open_direct(address).await;
        }
        let mut direct = pin!(self.open_direct(address));
        if self.paths.borrow().is_down(Time::monotonic(), address) {
            return direct.await;
        }
        let refused = match timeout(HEDGE_DELAY, &mut direct).await {
            Ok(Ok(connection)) => return Ok(connection),
            Ok(Err(fault)) => Some(fault),
            Err(_) => None,
        };
        let tunnel = pin!(self.open_tunnel(server));
        let (tunnel, fault) = match refused {
            Some(fault) => (tunnel.await, Some(fault)),
            None => match select(direct, tunnel).await {
                Either::Left((Ok(connection), _)) => return Ok(connection),
                Either::Left((Err(fault), tunnel)) => (tunnel.await, Some(fault)),
                Either::Right((Err(_), direct)) => return direct.await,
                Either::Right((tunnel, _)) => (tunnel, None),
            },
        };
        match tunnel {
            Ok(connection) => {
                self.record_lost(server, &connection);
                Ok(connection)
            }
            Err(_) => Err(fault.unwrap_or_else(|| Fault::Connect(ErrorKind::TimedOut.into()))),
        }
    }

    /// Determines whether an upstream that broke off a request has ended, or only the path to it.
    pub async fn examine(&self, server: &Server) -> Found {
        let address = server.address;
        let mut findings = Findings {
            path_lost: self.paths.borrow().was_lost(address),
            ..Findings::default()
        };
        // A lost path may hang until the connection times out.
        let mut asked = false;
        if findings.path_lost {
            match self.open_tunnel(server).await {
                Ok(connection) => return self.found_through(server, connection),
                Err(refusals) => findings.attested = refusals.attested,
            }
            asked = true;
        }
        match self.open_direct(address).await {
            Ok(connection) => return Found::Alive(Box::new(connection)),
            Err(Fault::Connect(error)) if !findings.path_lost => {
                findings.refused = self.tunnels.confirm_refusal(server, &error).await;
            }
            Err(_) => {}
        }
        if !asked && !findings.refused {
            match self.open_tunnel(server).await {
                Ok(connection) => return self.found_through(server, connection),
                Err(refusals) => findings.attested = refusals.attested,
            }
        }
        findings.unlisted = self.tunnels.is_gone(server);
        let ended = findings.ended();
        log::info!(
            upstream = &*server.id, started = server.started, ended = ended.is_some(),
            findings:?;
            "dial: upstream that broke off a request accepts no connection"
        );
        ended.map_or(Found::Unknown, Found::Ended)
    }

    /// Opens a connection in the background that shows whether an upstream lives on after its answer.
    pub fn probe(self: &Rc<Self>, server: &Rc<Server>) -> Probe {
        let probe = Probe::default();
        let (dialer, server, opened) = (self.clone(), server.clone(), probe.clone());
        actix_web::rt::spawn(async move {
            let Ok(connection) = dialer.open(&server).await else {
                return;
            };
            sleep(PROBE_TIME).await;
            if connection.healthy() {
                opened.0.replace(Some(connection));
            }
        });
        probe
    }

    /// Returns whether an upstream lives on after it closed a connection.
    pub async fn survives(&self, server: &Server, closed: &Connection, probe: &Probe) -> bool {
        let opened = probe.0.take();
        if let Some(connection) = opened {
            sleep(PROBE_TIME).await;
            let alive = connection.healthy();
            if alive {
                self.pool.put(server.address, connection);
            }
            return alive;
        }
        if closed.helper().is_some() {
            let found = timeout(PROBE_TIMEOUT, self.examine(server)).await;
            return matches!(found, Ok(Found::Alive(_)));
        }
        for _ in 0..MAX_PROBES {
            match self.open_direct(server.address).await {
                Ok(connection) => {
                    sleep(PROBE_TIME).await;
                    if connection.healthy() {
                        self.pool.put(server.address, connection);
                        return true;
                    }
                }
                Err(Fault::Connect(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                    return false;
                }
                // A process that ended would refuse.
                Err(_) => return !self.tunnels.is_gone(server),
            }
        }
        // One that has as many connections as it takes resets further ones.
        true
    }

    /// Returns the state of an upstream that another instance reaches.
    fn found_through(&self, server: &Server, connection: Connection) -> Found {
        if !self.paths.borrow().is_lost(server.address) {
            self.record_lost(server, &connection);
        }
        Found::Alive(Box::new(connection))
    }

    fn record_lost(&self, server: &Server, connection: &Connection) {
        log::warn!(
            upstream = &*server.id, helper = connection.helper().map_or("", Instance::as_str);
            "dial: upstream can't be reached from here; connecting through another instance"
        );
        if self.paths.borrow_mut().lost(server.address) {
            log::warn!("dial: paths to upstreams are lost; dropping idle connections");
            // They may be silent.
            self.pool.clear();
        }
        self.tunnels.set_lost(self.paths.borrow().all_lost());
    }

    async fn open_direct(&self, address: SocketAddr) -> Result<Connection, Fault> {
        match connection::dial(address).await {
            Ok(stream) => {
                self.metrics.connected("direct");
                self.paths.borrow_mut().reached(address);
                self.tunnels.set_lost(false);
                Ok(Connection::new(stream, None))
            }
            Err(error) => {
                self.metrics.connected("failed");
                Err(Fault::Connect(error))
            }
        }
    }

    fn is_live(&self, helper: &Instance) -> bool {
        let peers = self.peers.borrow().clone();
        peers.is_some_and(|peers| peers.roster.snapshot().usable().any(|name| name == helper))
    }

    /// Connects to an upstream through another instance; fails if none that was asked reaches it.
    async fn open_tunnel(&self, server: &Server) -> Result<Connection, Refusals> {
        let mut refusals = Refusals::default();
        let Some(peers) = self.peers.borrow().clone() else {
            return Err(refusals);
        };
        let others = self.candidates(&peers);
        let helper = self.helper.take().filter(|name| others.contains(name));
        let rest = others.iter().filter(|name| Some(*name) != helper.as_ref());
        let asked = helper.iter().chain(rest).take(MAX_ASKED);
        for name in asked {
            match self.request(&peers, name, server).await {
                Some(Ok(connection)) => {
                    self.metrics.connected("tunnel");
                    self.helper.replace(Some(name.clone()));
                    return Ok(connection);
                }
                Some(Err(attested)) => {
                    refusals.unreachable += 1;
                    refusals.attested |= attested;
                }
                None => {}
            }
            if refusals.unreachable >= MIN_UNREACHABLE {
                break;
            }
        }
        if refusals.unreachable > 0 {
            let mut paths = self.paths.borrow_mut();
            paths.down(Time::monotonic(), server.address);
        }
        Err(refusals)
    }

    /// Returns the other instances in random order, alternately of this zone and of others: all of a
    /// zone may be cut off together.
    fn candidates(&self, peers: &Peers) -> Vec<Instance> {
        let snapshot = peers.roster.snapshot();
        let local = snapshot.local();
        let others = snapshot.usable().filter(|name| **name != local.instance);
        let mut others: Vec<_> = others.cloned().collect();
        others.shuffle(&mut rand::rng());
        let in_zone = snapshot.live(&local.zone);
        let (near, far): (Vec<_>, Vec<_>) =
            others.into_iter().partition(|name| in_zone.contains(name));
        let (mut near, mut far) = (near.into_iter(), far.into_iter());
        let mut mixed = Vec::new();
        loop {
            let pair = [near.next(), far.next()];
            if pair.iter().all(Option::is_none) {
                return mixed;
            }
            mixed.extend(pair.into_iter().flatten());
        }
    }

    /// Requests a tunnel; `Some(Err(_))` if the other instance reaches upstreams, but not this one,
    /// with whether it attests that this start of it has ended, and `None` if it did not answer or
    /// reaches none.
    async fn request(
        &self,
        peers: &Peers,
        name: &Instance,
        server: &Server,
    ) -> Option<Result<Connection, bool>> {
        let body = Body::OpenTunnel(server.id.clone());
        let answer = peers.mesh.request(name, body, TUNNEL_TIMEOUT).await;
        let (address, token) = match answer {
            Ok(Body::Tunnel(Response::Open { address, token })) => (address, token),
            Ok(Body::Tunnel(Response::Unreachable)) => return Some(Err(false)),
            Ok(Body::Tunnel(Response::Ended { started })) => {
                return Some(Err(started == server.started));
            }
            Ok(_) => return None,
            Err(error) => {
                log::debug!(peer = name.as_str(), error:%; "dial: peer opens no tunnel");
                return None;
            }
        };
        let opened = async {
            let mut stream = connection::dial(address).await?;
            stream.write_u64(token).await?;
            std::io::Result::Ok(stream)
        };
        match timeout(TUNNEL_TIMEOUT, opened).await {
            Ok(Ok(stream)) => Some(Ok(Connection::new(stream, Some(name.clone())))),
            Ok(Err(_)) | Err(_) => None,
        }
    }

    /// Determines in the background whether an upstream that was silent can be reached.
    pub fn test(self: &Rc<Self>, server: &Rc<Server>) {
        if self.testing.replace(true) {
            return;
        }
        let (dialer, server) = (self.clone(), server.clone());
        actix_web::rt::spawn(async move {
            if let Ok(connection) = dialer.open(&server).await {
                dialer.pool.put(server.address, connection);
            }
            dialer.testing.set(false);
        });
    }

    /// Tests a path that is lost; due each second.
    pub fn test_paths(self: &Rc<Self>) {
        let Some(address) = self.paths.borrow().any_lost() else {
            return;
        };
        if self.testing.replace(true) {
            return;
        }
        let dialer = self.clone();
        actix_web::rt::spawn(async move {
            if let Ok(connection) = dialer.open_direct(address).await {
                log::info!("dial: upstream can be reached from here again");
                dialer.pool.put(address, connection);
            }
            dialer.testing.set(false);
        });
    }

    /// Forgets upstreams that are gone, and closes expired idle connections.
    pub fn sweep(&self, listed: impl Fn(SocketAddr) -> bool) {
        self.pool.sweep();
        self.paths.borrow_mut().retain(listed);
    }
}
