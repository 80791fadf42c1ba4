//! Manages the links to other instances.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::VecDeque,
    fmt,
    net::SocketAddr,
    rc::Rc,
    sync::{
        atomic::{
            AtomicU64,
            Ordering::Relaxed, //
        },
        Arc, Mutex, MutexGuard, OnceLock,
    },
    time::{
        Duration,
        Instant, //
    },
};

use rand::RngExt;
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::{
        mpsc,
        Mutex as AsyncMutex,
        Semaphore, //
    },
    time::{
        sleep,
        timeout, //
    },
};

use super::{
    handshake,
    link::{
        End,
        Link,
        Pending,
        Runner,
        Socket, //
    },
    meter::{
        Meter,
        Stats, //
    },
    reply::{
        Replies,
        WINDOW_REPLIES, //
    },
    settings::Settings,
    wire::{
        Body,
        Frame, //
    },
    Error, Handler, Responder, Unreachable,
};
use crate::{
    clock::Time,
    hash::Map,
    member::{
        Entry,
        Gossip,
        Roster,
        View, //
    },
    name::Instance,
    process::{
        listen,
        task, //
    },
};

/// Maximum number of frames that wait for a connection to one instance.
const MAX_WAITING_FRAMES: usize = 256;

/// Maximum number of concurrent handshakes of accepted connections.
const MAX_HANDSHAKES: usize = 128;

/// Connections that wait to be accepted. What they send counts as memory of the process, and nobody has
/// checked their secret.
const BACKLOG: i32 = 128;

/// Maximum number of warnings per second that other hosts can cause.
const MAX_WARNINGS_PER_SECOND: u32 = 5;

/// Time for which changes are collected before they are sent.
const BATCH_DELAY: Duration = Duration::from_millis(20);

/// Handle to the links of this instance; it can be cloned and used on any thread.
#[derive(Clone)]
pub struct Mesh {
    shared: Arc<Shared>,
}

impl fmt::Debug for Mesh {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Mesh")
            .field("instance", &self.shared.settings.instance)
            .finish()
    }
}

struct Shared {
    settings: Settings,
    roster: Roster,
    meter: Arc<Meter>,
    peers: Mutex<Map<Instance, Peer>>,
    /// Queue of instances to connect to, for the thread that runs the links.
    dial_queue: mpsc::UnboundedSender<Instance>,
    /// Never has a permit; closed to stop the links.
    stop: Semaphore,
    next_id: AtomicU64,
}

/// State of the links to one instance.
#[derive(Default)]
struct Peer {
    /// Links, oldest first. There are two if both sides connected at the same time; both stay
    /// open, as frames may be in flight on either.
    links: Vec<Arc<Link>>,
    dialing: bool,
    waiting: VecDeque<Waiting>,
    failures: u32,
    /// Time before which no attempt to connect is made.
    retry_at: Option<Instant>,
}

/// A frame that waits for a connection.
struct Waiting {
    id: u64,
    bytes: Vec<u8>,
    pending: Option<Pending>,
}

impl Waiting {
    fn fail(self, reason: Unreachable) {
        if let Some(pending) = self.pending {
            pending.fail(Error::NotSent(reason));
        }
    }

    /// Returns whether the requester abandoned the request.
    fn abandoned(&self) -> bool {
        let pending = self.pending.as_ref();
        pending.is_some_and(|pending| pending.replies.is_closed())
    }
}

/// Opens the listener for links.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::from_std(listen::bind(address, BACKLOG)?)
}

impl Mesh {
    /// Runs the links on the current actix thread.
    ///
    /// Membership frames are handled here; all others go to `handler`.
    pub fn run<H>(settings: Settings, listener: TcpListener, handler: H, roster: Roster) -> Self
    where
        H: Handler + 'static,
    {
        let (dial_queue, dial_requests) = mpsc::unbounded_channel();
        let shared = Arc::new(Shared {
            settings,
            roster,
            meter: Arc::default(),
            peers: Mutex::default(),
            dial_queue,
            stop: Semaphore::new(0),
            // Numbers start at a random value, so that a late reply to an earlier run of this
            // instance does not match.
            next_id: AtomicU64::new(u64::from(rand::rng().random::<u16>()) + 1),
        });
        let mesh = Self { shared };
        let driver = Rc::new(Driver {
            mesh: mesh.clone(),
            gossip: RefCell::new(Gossip::default()),
            handler,
            handshakes: Cell::new(0),
            warned: Cell::default(),
        });
        let (accepting, listener) = (driver.clone(), Rc::new(listener));
        task::supervise_until_end("peer-listen", move || {
            accepting.clone().listen(listener.clone())
        });
        let (dialing, requests) = (driver.clone(), Rc::new(AsyncMutex::new(dial_requests)));
        task::supervise_until_end("peer-connect", move || {
            dialing.clone().connect(requests.clone())
        });
        let spreading = driver.clone();
        task::supervise_until_end("peer-spread", move || spreading.clone().run_spread());
        task::supervise_until_end("peer-rounds", move || driver.clone().run_rounds());
        mesh
    }

    /// Sends a frame that expects no reply.
    pub fn send(&self, to: &Instance, body: Body) -> Result<(), Unreachable> {
        self.post(to, 0, body, None)
    }

    /// Sends a request and returns its first reply; fails if none arrives within `limit`.
    pub async fn request(&self, to: &Instance, body: Body, limit: Duration) -> Result<Body, Error> {
        let mut replies = self.open(to, body)?;
        match timeout(limit, replies.next()).await {
            Ok(Some(reply)) => reply,
            Ok(None) => Err(Error::NoReply),
            Err(_) => Err(Error::Timeout(limit)),
        }
    }

    /// Sends a request and returns the stream of its replies.
    pub fn open(&self, to: &Instance, body: Body) -> Result<Replies, Unreachable> {
        let id = self.shared.next_id.fetch_add(1, Relaxed);
        // One slot more than the window, for the last reply.
        let (replies, queue) = mpsc::channel(WINDOW_REPLIES + 1);
        let link = Arc::new(OnceLock::new());
        let pending = Pending {
            replies,
            link: link.clone(),
            written: false,
        };
        self.post(to, id, body, Some(pending))?;
        Ok(Replies::new(id, queue, link))
    }

    /// Returns the counters of the links.
    pub fn stats(&self) -> Stats {
        self.shared.meter.stats()
    }

    /// Returns the number of open links.
    pub fn links(&self) -> usize {
        self.peers().values().map(|peer| peer.links.len()).sum()
    }

    /// Closes all links and the peer port.
    pub fn stop(&self) {
        self.shared.stop.close();
        for peer in self.peers().values_mut() {
            for waiting in peer.waiting.drain(..) {
                waiting.fail(Unreachable::Stopped);
            }
        }
    }

    fn peers(&self) -> MutexGuard<'_, Map<Instance, Peer>> {
        let peers = self.shared.peers.lock();
        peers.unwrap_or_else(|error| error.into_inner())
    }

    fn post(
        &self,
        to: &Instance,
        id: u64,
        body: Body,
        pending: Option<Pending>,
    ) -> Result<(), Unreachable> {
        let frame = Frame {
            id,
            reply: false,
            last: false,
            body,
        };
        let bytes = frame.encode();
        if bytes.len() > self.shared.settings.frame_bytes {
            return Err(Unreachable::TooLarge);
        }
        let result = self.route(to, id, bytes, pending);
        if result == Err(Unreachable::QueueFull) {
            self.shared.meter.full.increment();
        }
        result
    }

    /// Sends a frame on the newest healthy link, or queues it for a new one.
    fn route(
        &self,
        to: &Instance,
        id: u64,
        bytes: Vec<u8>,
        pending: Option<Pending>,
    ) -> Result<(), Unreachable> {
        if self.shared.stop.is_closed() {
            return Err(Unreachable::Stopped);
        }
        if *to == self.shared.settings.instance {
            return Err(Unreachable::Local);
        }
        let mut peers = self.peers();
        if !peers.contains_key(to) && self.shared.roster.snapshot().address(to).is_none() {
            return Err(Unreachable::Unknown);
        }
        let peer = peers.entry(to.clone()).or_default();
        let links = || peer.links.iter().rev();
        let link = links()
            .find(|link| link.is_healthy())
            .or_else(|| links().find(|link| link.is_open()));
        if let Some(link) = link {
            return link.post(id, bytes, pending).map_err(|(reason, _)| reason);
        }
        if !peer.dialing {
            if peer.retry_at.is_some_and(|at| Instant::now() < at) {
                return Err(Unreachable::Backoff);
            }
            peer.dialing = true;
            let queued = self.shared.dial_queue.send(to.clone());
            queued.map_err(|_| Unreachable::Stopped)?;
        }
        if peer.waiting.len() >= MAX_WAITING_FRAMES {
            return Err(Unreachable::QueueFull);
        }
        peer.waiting.push_back(Waiting { id, bytes, pending });
        Ok(())
    }

    /// Adds a link and sends the frames that waited for it.
    fn attach(&self, link: &Arc<Link>) {
        let mut peers = self.peers();
        let peer = peers.entry(link.peer.clone()).or_default();
        peer.links.push(link.clone());
        peer.failures = 0;
        peer.retry_at = None;
        for waiting in peer.waiting.drain(..) {
            if waiting.abandoned() {
                continue;
            }
            let Waiting { id, bytes, pending } = waiting;
            if let Err((reason, Some(pending))) = link.post(id, bytes, pending) {
                pending.fail(Error::NotSent(reason));
            }
        }
    }

    /// Removes a link; returns whether it was the last one to the instance.
    fn detach(&self, link: &Arc<Link>) -> bool {
        let mut peers = self.peers();
        let Some(peer) = peers.get_mut(&link.peer) else {
            return true;
        };
        peer.links.retain(|other| !Arc::ptr_eq(other, link));
        let last = peer.links.is_empty();
        if last && !peer.dialing && peer.retry_at.is_none() {
            peers.remove(&link.peer);
        }
        last
    }

    /// Records a failed attempt to connect; returns whether another link is healthy.
    fn record_dial_failure(&self, to: &Instance) -> bool {
        let mut peers = self.peers();
        let peer = peers.entry(to.clone()).or_default();
        peer.dialing = false;
        // The peer may have connected to this instance meanwhile.
        if peer.links.iter().any(|link| link.is_healthy()) {
            return true;
        }
        let settings = &self.shared.settings;
        let step = settings.backoff * (1 << peer.failures.min(10));
        let step = step.min(settings.backoff_limit);
        // Jitter spreads the attempts of many instances after a common failure.
        let pause = step.mul_f64(rand::rng().random_range(0.5..1.0));
        peer.failures += 1;
        peer.retry_at = Some(Instant::now() + pause);
        for waiting in peer.waiting.drain(..) {
            waiting.fail(Unreachable::Down);
        }
        false
    }

    /// Drops the state of instances without links whose back-off ended over `backoff_limit` ago.
    fn prune(&self) {
        let now = Instant::now();
        let limit = self.shared.settings.backoff_limit;
        self.peers().retain(|_, peer| {
            let backing_off = peer.retry_at.is_some_and(|at| now < at + limit);
            peer.dialing || backing_off || !peer.links.is_empty()
        });
    }
}

/// State on the thread that runs the links.
struct Driver<H> {
    mesh: Mesh,
    gossip: RefCell<Gossip>,
    handler: H,
    handshakes: Cell<usize>,
    /// Unix second of the last warning, and the number of warnings in that second.
    warned: Cell<(u64, u32)>,
}

impl<H: Handler + 'static> Driver<H> {
    fn shared(&self) -> &Shared {
        &self.mesh.shared
    }

    fn local_entry(&self) -> Entry {
        self.shared().roster.read(|view| view.local().clone())
    }

    /// Logs a warning that other hosts can cause, at a limited rate.
    fn warn(&self, line: fmt::Arguments<'_>) {
        let second = Time::now().0 / 1_000_000;
        let (last, count) = self.warned.get();
        let count = if last == second { count + 1 } else { 1 };
        self.warned.set((second, count));
        if count <= MAX_WARNINGS_PER_SECOND {
            log::warn!("peer: {line}");
        }
    }

    async fn listen(self: Rc<Self>, listener: Rc<TcpListener>) {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = self.shared().stop.acquire() => return,
            };
            match accepted {
                Ok((stream, _)) if self.handshakes.get() < MAX_HANDSHAKES => {
                    self.handshakes.set(self.handshakes.get() + 1);
                    actix_web::rt::spawn(self.clone().accept(stream));
                }
                // The connection is dropped, so the peer retries after its back-off.
                Ok(_) => self.shared().meter.refused.increment(),
                Err(error) => {
                    log::warn!("peer: accepting a connection failed, retrying: {error}");
                    sleep(Duration::from_millis(100)).await;
                }
            }
        }
    }

    async fn accept(self: Rc<Self>, stream: TcpStream) {
        let shared = self.shared();
        let from = stream.peer_addr();
        let uncount = || self.handshakes.set(self.handshakes.get() - 1);
        let panicked = task::OnPanic(uncount);
        let accepted = handshake::accept(
            &shared.settings,
            shared.meter.clone(),
            self.local_entry(),
            stream,
        )
        .await;
        drop(panicked);
        uncount();
        match accepted {
            Ok((socket, entry)) => {
                self.run_link(socket, entry).await;
            }
            Err(error) => {
                shared.meter.refused.increment();
                self.warn(format_args!("refused a connection from {from:?}: {error}"));
            }
        }
    }

    async fn connect(
        self: Rc<Self>,
        dial_requests: Rc<AsyncMutex<mpsc::UnboundedReceiver<Instance>>>,
    ) {
        let mut dial_requests = dial_requests.lock().await;
        loop {
            tokio::select! {
                request = dial_requests.recv() => match request {
                    Some(to) => { actix_web::rt::spawn(self.clone().dial(to)); }
                    None => return,
                },
                _ = self.shared().stop.acquire() => return,
            }
        }
    }

    async fn dial(self: Rc<Self>, to: Instance) {
        let shared = self.shared();
        let Some(address) = shared.roster.snapshot().address(&to).map(str::to_owned) else {
            self.mesh.record_dial_failure(&to);
            return;
        };
        let meter = shared.meter.clone();
        let panicked = task::OnPanic(|| {
            self.mesh.record_dial_failure(&to);
        });
        let dialed =
            handshake::dial(&shared.settings, meter, self.local_entry(), &to, &address).await;
        drop(panicked);
        match dialed {
            Ok((socket, entry)) => {
                if let Some(peer) = self.mesh.peers().get_mut(&to) {
                    peer.dialing = false;
                }
                self.run_link(socket, entry).await;
            }
            Err(error) => {
                shared.meter.dial_failures.increment();
                if error.is_refusal() {
                    self.warn(format_args!("no link to {to} at {address}: {error}"));
                } else {
                    log::debug!("peer: no link to {to} at {address}: {error}");
                }
                if !self.mesh.record_dial_failure(&to) {
                    let now = Time::now();
                    shared.roster.update(|view| view.record_failure(now, &to));
                }
            }
        }
    }

    /// Runs a link until it ends.
    async fn run_link(self: Rc<Self>, socket: Socket, entry: Entry) {
        let shared = self.shared();
        let runner: Runner = Link::open(
            entry.instance.clone(),
            socket,
            &shared.settings,
            shared.meter.clone(),
        );
        let link = runner.link.clone();
        shared.meter.links.increment();
        self.mesh.attach(&link);
        let now = Time::now();
        shared
            .roster
            .update(|view| view.record_contact(now, &entry));
        let on_suspect = || self.redial(&link.peer);
        let _panicked = task::OnPanic(|| {
            link.close();
            self.mesh.detach(&link);
            self.redial(&link.peer);
        });
        let end = runner.run(&*self, on_suspect, &shared.stop).await;
        let last = self.mesh.detach(&link);
        match end {
            End::Malformed => {
                shared.meter.malformed.increment();
                self.warn(format_args!(
                    "closed the link with {}: received an invalid frame",
                    link.peer
                ));
            }
            End::Unresponsive => {
                shared.meter.unresponsive.increment();
                log::warn!("peer: closed the unresponsive link with {}", link.peer);
            }
            End::Lost => log::debug!("peer: lost the link with {}", link.peer),
            End::Idle | End::Away | End::Stopped => {}
        }
        if last && matches!(end, End::Lost | End::Unresponsive | End::Away) {
            self.redial(&link.peer);
        }
    }

    /// Reconnects to an instance whose link was lost or is unresponsive.
    ///
    /// A failure is evidence that the instance stopped. The attempt starts before the inactivity
    /// timeout, so that an instance that stopped is out of use within 3 s.
    fn redial(&self, peer: &Instance) {
        let mut peers = self.mesh.peers();
        let state = peers.entry(peer.clone()).or_default();
        let healthy = state.links.iter().any(|link| link.is_healthy());
        if !state.dialing && !healthy {
            state.dialing = true;
            let _ = self.shared().dial_queue.send(peer.clone());
        }
    }

    async fn run_rounds(self: Rc<Self>) {
        loop {
            let period = self.shared().settings.gossip;
            let pause = period.mul_f64(rand::rng().random_range(0.9..1.1));
            tokio::select! {
                () = sleep(pause) => {}
                _ = self.shared().stop.acquire() => return,
            }
            self.mesh.prune();
            self.gossip(|gossip, view| gossip.round(Time::now(), view, &mut rand::rng()));
        }
    }

    /// Sends the changes in the view, whichever part of this instance made them.
    async fn run_spread(self: Rc<Self>) {
        loop {
            tokio::select! {
                () = self.shared().roster.wait_pending() => {}
                _ = self.shared().stop.acquire() => return,
            }
            sleep(BATCH_DELAY).await;
            self.gossip(|gossip, view| gossip.spread(Time::now(), view, &mut rand::rng()));
        }
    }

    fn gossip<F>(&self, act: F)
    where
        F: FnOnce(&mut Gossip, &mut View) -> Vec<(Instance, Body)>,
    {
        let mut gossip = self.gossip.borrow_mut();
        let messages = self.shared().roster.update(|view| act(&mut gossip, view));
        for (to, body) in messages {
            // A later round replaces a message that is lost.
            let _ = self.mesh.send(&to, body);
        }
    }
}

impl<H: Handler + 'static> Handler for Driver<H> {
    fn handle(&self, from: Instance, body: Body, reply: Responder) {
        match body {
            Body::Heartbeat(_) | Body::Rumor(_) | Body::Digest(_) => {
                self.gossip(|gossip, view| gossip.receive(Time::now(), view, &from, body));
            }
            body => self.handler.handle(from, body, reply),
        }
    }
}
