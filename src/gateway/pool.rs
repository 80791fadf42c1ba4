//! Kept connections to upstreams.

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

/// Longest time that a connection stays unused if the upstream does not say how long it keeps it.
const UNUSED: Duration = Duration::from_secs(3);

/// Part of the time that the upstream states after which a connection is not used any more, so
/// that a request rarely meets a connection that is being closed.
const PART: f64 = 0.7;

/// Longest time unused for requests that can't be sent again.
const UNUSED_ONCE: Duration = Duration::from_millis(600);

/// Unused connections that are kept for each upstream.
const KEPT: usize = 16;

/// Kept connections of one instance.
#[derive(Default)]
pub struct Pool {
    /// Unused connections of each upstream, most recently used last.
    unused: RefCell<Map<SocketAddr, Vec<Connection>>>,
}

fn usable(connection: &Connection) -> bool {
    let limit = connection
        .lifetime()
        .map_or(UNUSED, |lifetime| lifetime.mul_f64(PART));
    connection.idle() < limit
}

impl Pool {
    /// Returns a connection, a kept one if there is any.
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

    /// Takes a connection back after a whole answer.
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

    /// Closes the unused connections of an upstream: after one broke, the others may be broken too.
    pub fn discard(&self, address: SocketAddr) {
        self.unused.borrow_mut().remove(&address);
    }

    /// Closes connections that have been unused for too long.
    pub fn sweep(&self) {
        self.unused.borrow_mut().retain(|_, kept| {
            kept.retain(|connection| usable(connection) && connection.quiet());
            !kept.is_empty()
        });
    }
}
