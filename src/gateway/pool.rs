//! Pool of idle connections to upstreams.

use std::{
    cell::RefCell,
    net::SocketAddr,
    time::Duration, //
};

use super::connection::Connection;
use crate::hash::Map;

/// Maximum idle time of a connection if the upstream states no keep-alive timeout.
const MAX_IDLE_TIME: Duration = Duration::from_secs(3);

/// Fraction of the upstream's keep-alive timeout after which a connection is no longer used, so
/// that a request rarely goes to a connection that is being closed.
const KEEP_ALIVE_SHARE: f64 = 0.7;

/// Maximum idle time of a connection for requests that can't be resent.
const MAX_IDLE_TIME_ONCE: Duration = Duration::from_millis(600);

/// Maximum idle connections per upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 16;

/// Idle connections of one instance.
#[derive(Default)]
pub struct Pool {
    /// Idle connections of each upstream, most recently used last.
    idle: RefCell<Map<SocketAddr, Vec<Connection>>>,
}

fn usable(connection: &Connection) -> bool {
    let limit = connection
        .keep_alive_timeout()
        .map_or(MAX_IDLE_TIME, |timeout| timeout.mul_f64(KEEP_ALIVE_SHARE));
    connection.idle() < limit
}

impl Pool {
    /// Returns an idle connection on which the upstream has not refused a request; if `once`, only a
    /// recently used one.
    pub fn take(&self, address: SocketAddr, request: &str, once: bool) -> Option<Connection> {
        while let Some(connection) = self.pop(address, request) {
            let fits = !once || connection.idle() < MAX_IDLE_TIME_ONCE;
            if fits && usable(&connection) && connection.healthy() {
                return Some(connection);
            }
        }
        None
    }

    fn pop(&self, address: SocketAddr, request: &str) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        let fits = |connection: &Connection| !connection.has_refused(request);
        let index = connections.iter().rposition(fits)?;
        Some(connections.remove(index))
    }

    /// Returns a connection to the pool after a complete answer.
    pub fn put(&self, address: SocketAddr, connection: Connection) {
        if !connection.reusable() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_PER_UPSTREAM {
            connections.push(connection);
        }
    }

    /// Closes the idle connections of an upstream: after one broke, the others may be broken too.
    pub fn discard(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes connections that are idle for too long or closed by the upstream.
    pub fn sweep(&self) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|connection| usable(connection) && connection.healthy());
            !connections.is_empty()
        });
    }
}
