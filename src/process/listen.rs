//! Listeners of a process that starts, perhaps beside one that has not ended yet.

use std::{
    future::Future,
    io::{
        self,
        ErrorKind, //
    },
    net::{
        SocketAddr,
        TcpListener, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use nix::errno::Errno;
use socket2::{
    Domain,
    Socket,
    Type, //
};
use tokio::time::sleep;

use super::{
    tally,
    End, //
};

/// Connections of callers that wait to be accepted; a peak arrives within milliseconds.
pub const BACKLOG: i32 = 1_024;

/// Time between attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Returns whether an attempt to listen may succeed later without a change of the settings.
fn passes(error: &io::Error) -> bool {
    let kinds = [
        ErrorKind::AddrInUse,
        ErrorKind::AddrNotAvailable,
        ErrorKind::OutOfMemory,
    ];
    let numbers = [Errno::ENFILE, Errno::ENOBUFS, Errno::EMFILE].map(|errno| errno as i32);
    kinds.contains(&error.kind())
        || error
            .raw_os_error()
            .is_some_and(|number| numbers.contains(&number))
}

/// Opens a listener that does not block, with a queue of at most `backlog` connections.
pub fn bind(address: SocketAddr, backlog: i32) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(socket2::Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(backlog)?;
    Ok(socket.into())
}

/// Opens a listener with `open`, and tries again for `limit` while the address is in use or the machine
/// lacks resources.
pub async fn open<L>(
    purpose: &'static str,
    address: SocketAddr,
    limit: Duration,
    open: impl Fn(SocketAddr) -> io::Result<L>,
) -> Result<L, End> {
    let start = Instant::now();
    let mut waits = false;
    loop {
        let error = match open(address) {
            Ok(listener) => {
                if waits {
                    let ms = start.elapsed().as_millis() as u64;
                    log::info!(ms; "start: listening for {purpose} on {address}");
                }
                return Ok(listener);
            }
            Err(error) => error,
        };
        if !passes(&error) || start.elapsed() >= limit {
            return Err(End::Listen {
                purpose,
                address,
                error,
            });
        }
        if !std::mem::replace(&mut waits, true) {
            let limit_ms = limit.as_millis() as u64;
            log::warn!(
                limit_ms;
                "start: cannot listen for {purpose} on {address}: {error}; retrying"
            );
        }
        tally::START_RETRIES.add(purpose);
        sleep(RETRY_INTERVAL).await;
    }
}

/// Runs a step of the start until a signal requests a stop.
pub async fn until_stopped<T>(
    signals: &mut super::Signals,
    step: impl Future<Output = Result<T, End>>,
) -> Result<T, End> {
    tokio::select! {
        biased;
        done = step => done,
        signal = signals.stop() => Err(End::Stopped(signal)),
    }
}
