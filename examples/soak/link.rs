//! Link: a loopback proxy in front of an address, whose connections can be disturbed.

use std::{
    io::{
        self,
        ErrorKind,
        Read as _,
        Write as _, //
    },
    net::{
        Shutdown,
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    sync::{
        atomic::{
            AtomicBool,
            AtomicUsize,
            Ordering, //
        },
        Arc,
        Mutex,
        MutexGuard,
        PoisonError,
        Weak, //
    },
    thread::{
        self,
        JoinHandle, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use socket2::SockRef;

/// Open connections of a link; those beyond are reset.
const MAX_CONNECTIONS: usize = 256;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which a connection that waits looks for a change of its link.
const POLL: Duration = Duration::from_millis(5);

/// Time in which the ends of the connections of a process that ended are awaited.
const END_TIMEOUT: Duration = Duration::from_millis(100);

/// Bytes that are forwarded at once.
const BUFFER: usize = 16 << 10;

/// Bytes that are forwarded at once on a slow link.
const SLOW_BUFFER: usize = 512;

/// Stack of a thread of a connection, in bytes.
const STACK_BYTES: usize = 128 << 10;

/// Behaviour of a link.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// Bytes pass at once.
    #[default]
    Open,
    /// New connections are reset.
    Refuse,
    /// Nothing passes these ways, the end of a connection included, until the mode changes.
    Silent {
        /// From callers.
        up: bool,
        /// To callers.
        down: bool,
    },
    /// Bytes per second of each connection and way.
    Slow(u32),
    /// What passes is delayed.
    Delay(Duration),
}

/// A proxy in front of an address.
pub struct Link {
    /// Address that callers connect to.
    pub address: SocketAddr,
    target: SocketAddr,
    shared: Arc<Shared>,
    acceptor: Mutex<Option<JoinHandle<()>>>,
}

#[derive(Default)]
struct Shared {
    mode: Mutex<Mode>,
    closing: AtomicBool,
    /// Whether the process behind the link is about to end.
    ending: AtomicBool,
    count: AtomicUsize,
    /// Number of resets of all connections so far.
    resets: AtomicUsize,
    pairs: Mutex<Vec<Weak<Pair>>>,
}

/// The two connections of a caller and the target.
struct Pair {
    shared: Arc<Shared>,
    caller: TcpStream,
    target: TcpStream,
    /// Whether both connections are to be reset.
    reset: AtomicBool,
    /// Whether the connection to the target ended, and its end is still to be passed.
    ended: AtomicBool,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Resets a connection when its last handle is closed.
fn reset_on_close(stream: &TcpStream) {
    // The connection may have ended already.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

impl Link {
    /// Returns a link that refuses connections until it is opened.
    pub fn new(address: SocketAddr, target: SocketAddr) -> Self {
        Self {
            address,
            target,
            shared: Arc::default(),
            acceptor: Mutex::default(),
        }
    }

    /// Returns the address that connections are forwarded to.
    pub fn target(&self) -> SocketAddr {
        self.target
    }

    /// Listens, unless the link does already.
    pub fn open(&self) -> io::Result<()> {
        let mut acceptor = lock(&self.acceptor);
        if acceptor.is_some() {
            return Ok(());
        }
        let listener = TcpListener::bind(self.address)?;
        let (shared, target) = (self.shared.clone(), self.target);
        shared.closing.store(false, Ordering::SeqCst);
        let accept = move || {
            for caller in listener.incoming().flatten() {
                if shared.closing.load(Ordering::SeqCst) {
                    return;
                }
                let shared = shared.clone();
                let pass = move || Shared::pass(shared, caller, target);
                // Without a thread the connection is closed, which its caller sees.
                let _ = thread::Builder::new().stack_size(STACK_BYTES).spawn(pass);
            }
        };
        *acceptor = Some(thread::spawn(accept));
        Ok(())
    }

    /// Stops listening, as an address does when its process ends; connections go on.
    pub fn close(&self) {
        if let Some(acceptor) = lock(&self.acceptor).take() {
            self.shared.closing.store(true, Ordering::SeqCst);
            // Wakes the thread; if it can't be reached, it has ended.
            let _ = TcpStream::connect(self.address);
            let _ = acceptor.join();
        }
    }

    /// Ends the process behind the link and stops listening.
    ///
    /// The ends of its connections pass at once, as they do without a proxy; the threads that forward
    /// them may be milliseconds apart on a busy machine.
    pub fn end(&self, end: impl FnOnce()) {
        self.shared.ending.store(true, Ordering::SeqCst);
        end();
        self.close();
        let pairs = lock(&self.shared.pairs).clone();
        let pairs: Vec<_> = pairs.iter().filter_map(Weak::upgrade).collect();
        let until = Instant::now() + END_TIMEOUT;
        let has_ended = |pair: &Arc<Pair>| pair.ended.load(Ordering::SeqCst);
        while Instant::now() < until && !pairs.iter().all(has_ended) {
            thread::sleep(POLL);
        }
        for pair in pairs.into_iter().filter(has_ended) {
            // The caller may have closed it already.
            let _ = pair.caller.shutdown(Shutdown::Write);
        }
        self.shared.ending.store(false, Ordering::SeqCst);
    }

    /// Sets how the link behaves.
    pub fn set_mode(&self, mode: Mode) {
        *lock(&self.shared.mode) = mode;
    }

    /// Resets all connections.
    pub fn reset(&self) {
        let mut pairs = lock(&self.shared.pairs);
        self.shared.resets.fetch_add(1, Ordering::SeqCst);
        for pair in pairs.drain(..) {
            if let Some(pair) = pair.upgrade() {
                pair.reset();
            }
        }
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.close();
        self.reset();
    }
}

impl Shared {
    /// Forwards a connection of a caller until it ends.
    fn pass(shared: Arc<Self>, caller: TcpStream, target: SocketAddr) {
        let resets = shared.resets.load(Ordering::SeqCst);
        let number = shared.count.fetch_add(1, Ordering::SeqCst);
        let refused = number >= MAX_CONNECTIONS || *lock(&shared.mode) == Mode::Refuse;
        let connected = match refused {
            true => Err(ErrorKind::ConnectionRefused.into()),
            false => TcpStream::connect_timeout(&target, CONNECT_TIMEOUT),
        };
        match connected {
            Ok(target) => Pair::run(&shared, caller, target, resets),
            Err(_) => reset_on_close(&caller),
        }
        shared.count.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Pair {
    /// Forwards both ways until the end, with the number of resets before the connection began.
    fn run(shared: &Arc<Shared>, caller: TcpStream, target: TcpStream, resets: usize) {
        let pair = Arc::new(Self {
            shared: shared.clone(),
            caller,
            target,
            reset: AtomicBool::new(false),
            ended: AtomicBool::new(false),
        });
        {
            let mut pairs = lock(&shared.pairs);
            pairs.retain(|pair| pair.strong_count() > 0);
            pairs.push(Arc::downgrade(&pair));
            if shared.resets.load(Ordering::SeqCst) != resets {
                pair.reset();
            }
        }
        for stream in [&pair.caller, &pair.target] {
            // Without these a connection is slower than the link states.
            let _ = stream.set_nodelay(true);
            let _ = stream.set_write_timeout(Some(POLL));
        }
        let other = pair.clone();
        let down = move || other.forward(false);
        match thread::Builder::new().stack_size(STACK_BYTES).spawn(down) {
            Ok(down) => {
                pair.forward(true);
                let _ = down.join();
            }
            Err(_) => pair.reset(),
        }
    }

    fn reset(&self) {
        self.reset.store(true, Ordering::SeqCst);
        for stream in [&self.caller, &self.target] {
            reset_on_close(stream);
            // Wakes the thread that reads, and sends nothing.
            let _ = stream.shutdown(Shutdown::Read);
        }
    }

    /// Forwards what one side sends, with its end; a failure resets both sides.
    fn forward(&self, up: bool) {
        if self.copy(up).is_err() {
            self.reset();
        }
    }

    fn copy(&self, up: bool) -> io::Result<()> {
        let (mut from, mut to) = match up {
            true => (&self.caller, &self.target),
            false => (&self.target, &self.caller),
        };
        let mut buffer = [0; BUFFER];
        loop {
            let size = match *lock(&self.shared.mode) {
                Mode::Slow(_) => SLOW_BUFFER,
                _ => BUFFER,
            };
            let length = from.read(&mut buffer[..size])?;
            self.hold(up, length)?;
            if length == 0 {
                if !up {
                    self.ended.store(true, Ordering::SeqCst);
                    while self.shared.ending.load(Ordering::SeqCst) {
                        thread::sleep(POLL);
                    }
                }
                return to.shutdown(Shutdown::Write);
            }
            let mut part = &buffer[..length];
            while !part.is_empty() {
                match to.write(part) {
                    Ok(written) => part = &part[written..],
                    Err(error) if error.kind() == ErrorKind::WouldBlock => self.check()?,
                    Err(error) => return Err(error),
                }
            }
        }
    }

    /// Waits as long as the mode of the link demands.
    fn hold(&self, up: bool, length: usize) -> io::Result<()> {
        let mode = *lock(&self.shared.mode);
        match mode {
            Mode::Slow(rate) => {
                thread::sleep(Duration::from_secs_f64(length as f64 / f64::from(rate)));
            }
            Mode::Delay(delay) => thread::sleep(delay),
            _ => {}
        }
        loop {
            self.check()?;
            match *lock(&self.shared.mode) {
                Mode::Silent { up: true, .. } if up => {}
                Mode::Silent { down: true, .. } if !up => {}
                _ => return Ok(()),
            }
            thread::sleep(POLL);
        }
    }

    fn check(&self) -> io::Result<()> {
        match self.reset.load(Ordering::SeqCst) {
            true => Err(ErrorKind::ConnectionReset.into()),
            false => Ok(()),
        }
    }
}
