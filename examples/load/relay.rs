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
pub struct Counters {
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

impl Counters {
    /// Returns the current values.
    pub fn sample(&self) -> Sample {
        Sample {
            connections: self.connections.load(Relaxed),
            bytes: self.bytes.load(Relaxed),
            messages: self.messages.load(Relaxed),
        }
    }
}

type Request = (Listener, SocketAddr, Arc<Counters>);

/// Handle of a thread that runs relays.
pub struct Relays(mpsc::UnboundedSender<Request>);

impl Relays {
    /// Starts the thread; it ends with the last handle.
    pub fn start() -> Self {
        let (requests, receiver) = mpsc::unbounded_channel();
        thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("runtime");
            runtime.block_on(serve(receiver));
        });
        Self(requests)
    }

    /// Starts a relay to `target` and returns its address.
    pub fn add(&self, target: SocketAddr, counters: &Arc<Counters>) -> SocketAddr {
        let listener = Listener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        listener.set_nonblocking(true).expect("non-blocking");
        let _ = self.0.send((listener, target, Arc::clone(counters)));
        address
    }
}

async fn serve(mut requests: mpsc::UnboundedReceiver<Request>) {
    while let Some((listener, target, counters)) = requests.recv().await {
        let listener = TcpListener::from_std(listener).expect("listener");
        tokio::spawn(accept(listener, target, counters));
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, counters: Arc<Counters>) {
    while let Ok((client, _)) = listener.accept().await {
        let counters = Arc::clone(&counters);
        tokio::spawn(async move {
            let Ok(server) = TcpStream::connect(target).await else {
                return;
            };
            counters.connections.fetch_add(1, Relaxed);
            let _ = (client.set_nodelay(true), server.set_nodelay(true));
            let (client_in, client_out) = client.into_split();
            let (server_in, server_out) = server.into_split();
            tokio::spawn(copy(client_in, server_out, Arc::clone(&counters)));
            tokio::spawn(copy(server_in, client_out, counters));
        });
    }
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, counters: Arc<Counters>) {
    let mut buffer = vec![0; 16 << 10];
    while let Ok(size) = from.read(&mut buffer).await {
        if size == 0 || to.write_all(&buffer[..size]).await.is_err() {
            return;
        }
        counters.bytes.fetch_add(size as u64, Relaxed);
        counters.messages.fetch_add(1, Relaxed);
    }
}
