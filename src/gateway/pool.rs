//! Pool of idle connections to upstreams.

use std::{
    cell::RefCell,
    net::SocketAddr,
    time::Duration, //
};

use super::connection::{
    Connection,
    Fault, //
};
use crate::hash::Map;

/// Maximum idle time of a connection if the upstream states no keep-alive timeout.
const UNUSED: Duration = Duration::from_secs(3);

/// Fraction of the upstream's keep-alive timeout after which a connection is no longer used, so
/// that a request rarely goes to a connection that is being closed.
const PART: f64 = 0.7;

/// Maximum idle time of a connection for requests that can't be resent.
const UNUSED_ONCE: Duration = Duration::from_millis(600);

/// Maximum idle connections per upstream.
const KEPT: usize = 16;

/// Idle connections of one instance.
#[derive(Default)]
pub struct Pool {
    /// Idle connections of each upstream, most recently used last.
    unused: RefCell<Map<SocketAddr, Vec<Connection>>>,
}

fn usable(connection: &Connection) -> bool {
    let limit = connection
        .lifetime()
        .map_or(UNUSED, |lifetime| lifetime.mul_f64(PART));
    connection.idle() < limit
}

impl Pool {
    /// Returns an idle connection, or opens one if there is none; if `once`, only a recently used
    /// one.
    pub async fn take(&self, address: SocketAddr, once: bool) -> Result<Connection, Fault> {
        while let Some(connection) = self.pop(address) {
            let fits = !once || connection.idle() < UNUSED_ONCE;
            if fits && usable(&connection) && connection.quiet() {
                return Ok(connection);
            }
        }
        Connection::open(address).await
    }

    fn pop(&self, address: SocketAddr) -> Option<Connection> {
        self.unused.borrow_mut().get_mut(&address)?.pop()
    }

    /// Returns a connection to the pool after a complete answer.
    pub fn put(&self, address: SocketAddr, connection: Connection) {
        if !connection.reusable() {
            return;
        }
        let mut unused = self.unused.borrow_mut();
        let kept = unused.entry(address).or_default();
        if kept.len() < KEPT {
            kept.push(connection);
        }
    }

    /// Closes the idle connections of an upstream: after one broke, the others may be broken too.
    pub fn discard(&self, address: SocketAddr) {
        self.unused.borrow_mut().remove(&address);
    }

    /// Closes connections that are idle for too long or closed by the upstream.
    pub fn sweep(&self) {
        self.unused.borrow_mut().retain(|_, kept| {
            kept.retain(|connection| usable(connection) && connection.quiet());
            !kept.is_empty()
        });
    }
}
