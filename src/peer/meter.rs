//! Counters of the links.

use std::{
    io,
    pin::Pin,
    sync::{
        atomic::{
            AtomicU64,
            Ordering::Relaxed, //
        },
        Arc, Mutex,
    },
    task::{
        ready,
        Context,
        Poll, //
    },
    time::Instant,
};

use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::TcpStream,
};

/// Counters since the start of the instance.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Stats {
    /// Links opened, in either direction.
    pub links: u64,
    /// Attempts to connect that failed.
    pub dial_failures: u64,
    /// Accepted connections refused at or before the handshake.
    pub refused: u64,
    /// Connections closed because of an invalid frame.
    pub malformed: u64,
    /// Links closed because nothing was received within the inactivity timeout.
    pub unresponsive: u64,
    /// Frames ignored because their kind is unknown.
    pub unsupported: u64,
    /// Frames not sent because a send queue was full.
    pub full: u64,
    /// Frames sent.
    pub frames_out: u64,
    /// Frames received.
    pub frames_in: u64,
    /// Bytes of TCP payload sent.
    pub bytes_out: u64,
    /// Bytes of TCP payload received.
    pub bytes_in: u64,
}

macro_rules! meter {
    ($($field:ident),+ $(,)?) => {
        /// The counters behind [`Stats`].
        #[derive(Debug, Default)]
        pub(super) struct Meter {
            $(pub(super) $field: Count,)+
        }

        impl Meter {
            pub(super) fn stats(&self) -> Stats {
                Stats {
                    $($field: self.$field.0.load(Relaxed),)+
                }
            }
        }
    };
}

meter! {
    links,
    dial_failures,
    refused,
    malformed,
    unresponsive,
    unsupported,
    full,
    frames_out,
    frames_in,
    bytes_out,
    bytes_in,
}

/// A counter that any thread may increment.
#[derive(Debug, Default)]
pub(super) struct Count(AtomicU64);

impl Count {
    pub(super) fn increment(&self) {
        self.add(1);
    }

    pub(super) fn add(&self, count: usize) {
        self.0.fetch_add(count as u64, Relaxed);
    }
}

/// Time at which a connection last received a byte.
#[derive(Clone, Debug)]
pub(super) struct Activity(Arc<Mutex<Instant>>);

impl Activity {
    fn new() -> Self {
        Self(Arc::new(Mutex::new(Instant::now())))
    }

    fn record(&self) {
        if let Ok(mut last) = self.0.lock() {
            *last = Instant::now();
        }
    }

    /// Returns the time of the last byte.
    pub(super) fn last(&self) -> Instant {
        self.0.lock().map_or_else(|e| *e.into_inner(), |last| *last)
    }
}

/// A TCP stream that counts its bytes.
///
/// Activity is measured in bytes, as a large frame over a slow link takes longer than the
/// inactivity timeout.
pub(super) struct Metered {
    stream: TcpStream,
    meter: Arc<Meter>,
    activity: Activity,
}

impl Metered {
    pub(super) fn new(stream: TcpStream, meter: Arc<Meter>) -> Self {
        Self {
            stream,
            meter,
            activity: Activity::new(),
        }
    }

    pub(super) fn activity(&self) -> Activity {
        self.activity.clone()
    }
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let count = buf.filled().len() - before;
        if count > 0 {
            self.activity.record();
            self.meter.bytes_in.add(count);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        self.meter.bytes_out.add(count);
        Poll::Ready(Ok(count))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
