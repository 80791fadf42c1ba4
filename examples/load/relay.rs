//! TCP relays that count the traffic between an instance and the rest of the system.

use std::{
    net::{
        SocketAddr,
        TcpListener as Listener, //
    },
    sync::{
        atomic::{
            AtomicU64,
            Ordering::Relaxed, //
        },
        Arc,
    },
    thread,
};

use tokio::{
    io::{
        AsyncReadExt as _,
        AsyncWriteExt as _, //
    },
    net::{
        tcp::{
            OwnedReadHalf,
            OwnedWriteHalf, //
        },
        TcpListener,
        TcpStream, //
    },
    sync::mpsc,
};

/// Traffic counters of relays.
#[derive(Debug, Default)]
pub struct Counts {
    /// Connections opened.
    pub connections: AtomicU64,
    /// Bytes of TCP payload in both directions.
    pub bytes: AtomicU64,
    /// Reads that returned data; at low load each is one message.
    pub messages: AtomicU64,
}

/// Values of the counters at one time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sample {
    pub connections: u64,
    pub bytes: u64,
    pub messages: u64,
}

impl Counts {
    /// Returns the current values.
    pub fn sample(&self) -> Sample {
        Sample {
            connections: self.connections.load(Relaxed),
            bytes: self.bytes.load(Relaxed),
            messages: self.messages.load(Relaxed),
        }
    }
}

type Order = (Listener, SocketAddr, Arc<Counts>);

/// Handle of a thread that runs relays.
pub struct Relays(mpsc::UnboundedSender<Order>);

impl Relays {
    /// Starts the thread; it ends with the last handle.
    pub fn start() -> Self {
        let (orders, received) = mpsc::unbounded_channel();
        thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("runtime");
            runtime.block_on(serve(received));
        });
        Self(orders)
    }

    /// Starts a relay to `target` and returns its address.
    pub fn add(&self, target: SocketAddr, counts: &Arc<Counts>) -> SocketAddr {
        let listener = Listener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        listener.set_nonblocking(true).expect("non-blocking");
        let _ = self.0.send((listener, target, Arc::clone(counts)));
        address
    }
}

async fn serve(mut orders: mpsc::UnboundedReceiver<Order>) {
    while let Some((listener, target, counts)) = orders.recv().await {
        let listener = TcpListener::from_std(listener).expect("listener");
        tokio::spawn(accept(listener, target, counts));
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, counts: Arc<Counts>) {
    while let Ok((near, _)) = listener.accept().await {
        let counts = Arc::clone(&counts);
        tokio::spawn(async move {
            let Ok(far) = TcpStream::connect(target).await else {
                return;
            };
            counts.connections.fetch_add(1, Relaxed);
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let (near_in, near_out) = near.into_split();
            let (far_in, far_out) = far.into_split();
            tokio::spawn(copy(near_in, far_out, Arc::clone(&counts)));
            tokio::spawn(copy(far_in, near_out, counts));
        });
    }
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, counts: Arc<Counts>) {
    let mut buffer = vec![0; 16 << 10];
    while let Ok(size) = from.read(&mut buffer).await {
        if size == 0 || to.write_all(&buffer[..size]).await.is_err() {
            return;
        }
        counts.bytes.fetch_add(size as u64, Relaxed);
        counts.messages.fetch_add(1, Relaxed);
    }
}
