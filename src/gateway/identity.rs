//! Identity of the process at the other end of a connection.
//!
//! The entry of an upstream, and its address, may stand for another process than the one that answers:
//! an upstream that starts again is reported later, and not at all while the store fails. A connection
//! leads to one process for as long as it lasts, and an upstream states when it started. So what it
//! states on a connection holds for everything that is written there, whatever the registry shows.
//!
//! Upstreams that don't describe themselves are confirmed by a read of the registry that begins after
//! their connection was opened, and by nothing while the store fails. A process that answers before its
//! entry is written is not noticed there.

use std::{
    io::ErrorKind,
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    },
};

use actix_http::{
    header::{
        self,
        HeaderValue, //
    },
    Method,
    RequestHead,
    ResponseHead,
    StatusCode,
    Uri, //
};
use bytes::Bytes;
use tokio::time::{
    sleep,
    timeout, //
};

use super::{
    callers::body::Buffer,
    connection::{
        Connection,
        Fault, //
    },
    dialect::Dialect,
    forward::body,
    origin::Beginning,
    registry::Server,
    state::Gateway,
};
use crate::{
    clock::Time,
    log::Log, //
};

/// Timeout of a question to an upstream; many round trips.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum connections on which an upstream is asked; a kept one may have ended.
const MAX_ASKS: usize = 2;

/// Time for which a stream waits until it is known whether the upstreams of its service describe
/// themselves; an upstream that starts again takes a part of it.
const DESCRIPTION_TIMEOUT: Duration = Duration::from_millis(600);

/// Pause between two attempts to learn that.
const DESCRIPTION_PAUSE: Duration = Duration::from_millis(50);

/// Reason of a send that was not made because another process answers at the upstream's address.
pub const OTHER_PROCESS: &str = "other_process";

/// What an upstream states of its process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Identity {
    /// Time of the start in Unix milliseconds.
    Start(u64),
    /// The upstream does not describe itself.
    Unstated,
}

impl Identity {
    /// Returns whether the process is the start that an entry names; `None` if they don't tell.
    pub fn matches(self, server: &Server) -> Option<bool> {
        match self {
            Self::Start(started) if server.started > 0 => Some(started == server.started),
            _ => None,
        }
    }
}

/// Whether a request may be sent only to the process that the entry of its upstream names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Need {
    /// Any process may answer.
    Any,
    /// Any process may answer; which one does is to be known.
    Known,
    /// No other process may answer.
    Same,
}

/// Asks the process at the other end of a connection to identify itself, unless it has.
pub async fn ask<D: Dialect>(
    connection: &mut Connection,
    address: SocketAddr,
) -> Result<Identity, Fault> {
    if let Some(identity) = connection.identity() {
        return Ok(identity);
    }
    let mut head = RequestHead::default();
    head.method = Method::GET;
    head.uri = Uri::from_static(D::DESCRIPTION);
    if let Ok(host) = HeaderValue::try_from(address.to_string()) {
        head.headers.insert(header::HOST, host);
    }
    // An answer that names a request belongs to that one.
    let accepts = |head: &ResponseHead| D::reply(&head.headers).id.is_none();
    let answer = timeout(ASK_TIMEOUT, async {
        let head = connection.send(head, &Bytes::new(), accepts).await?;
        Ok::<_, Fault>((head.status, body(connection, Buffer::default()).await?.0))
    });
    let (status, body) = answer
        .await
        .map_err(|_| Fault::Broken(ErrorKind::TimedOut.into()))??;
    let busy = [StatusCode::REQUEST_TIMEOUT, StatusCode::TOO_MANY_REQUESTS];
    let identity = match status {
        StatusCode::OK => D::started(&body).map_or(Identity::Unstated, Identity::Start),
        status if status.is_client_error() && !busy.contains(&status) => Identity::Unstated,
        status => return Err(Fault::Invalid(format!("description with status {status}"))),
    };
    connection.identify(identity);
    Ok(identity)
}

impl<D: Dialect, L: Log + 'static> Gateway<D, L> {
    /// Asks the process at the other end of a connection to an upstream to identify itself.
    pub async fn identify(
        &self,
        server: &Server,
        connection: &mut Connection,
    ) -> Result<Identity, Fault> {
        let asked_at = Time::monotonic();
        let known = connection.identity().is_some();
        let asked = match ask::<D>(connection, server.address).await {
            // The service does; this is no answer of one of its upstreams that could be relied on.
            Ok(Identity::Unstated) if self.fleet.describes(&server.service) == Some(true) => {
                connection.forget_identity();
                Err(Fault::Invalid("description without a start".into()))
            }
            asked => asked,
        };
        if known && asked.is_ok() {
            return asked;
        }
        let outcome = match &asked {
            Ok(identity) => match identity.matches(server) {
                Some(true) => "same",
                Some(false) => "other",
                None => "unstated",
            },
            Err(_) => "failed",
        };
        self.metrics.identified(outcome);
        match &asked {
            Ok(identity) => {
                let describes = matches!(identity, Identity::Start(_));
                self.fleet.record_description(&server.service, describes);
                if identity.matches(server) == Some(true) {
                    self.fleet.record_alive(asked_at, server);
                }
                log::debug!(
                    upstream = &*server.id, started = server.started, identity:?;
                    "identity: upstream is asked which process answers"
                );
            }
            Err(fault) => log::info!(
                upstream = &*server.id, fault:%;
                "identity: upstream doesn't say which process answers"
            ),
        }
        asked
    }

    /// Checks that the process at the other end of a connection is the one that the entry of its
    /// upstream names; returns the reason if it isn't, or if nothing tells.
    pub async fn verify(
        &self,
        server: &Server,
        connection: &mut Connection,
    ) -> Result<(), &'static str> {
        let identity = self.identify(server, connection).await;
        let identity = identity.map_err(|_| "unidentified")?;
        match identity.matches(server) {
            Some(true) => Ok(()),
            Some(false) => {
                // A kept connection may lead to an earlier start.
                if matches!(identity, Identity::Start(started) if started > server.started) {
                    let mut registry = self.fleet.registry.borrow_mut();
                    registry.refuse(Time::monotonic(), server);
                }
                log::warn!(
                    upstream = &*server.id, started = server.started, identity:?;
                    "identity: another process answers than the one that is registered"
                );
                Err(OTHER_PROCESS)
            }
            None => match self.fleet.confirm_version(server).await {
                true => Ok(()),
                false => Err("unconfirmed"),
            },
        }
    }

    /// Returns whether a stream began at the start of an upstream that its record names; `at` is not
    /// before the connection was opened on which it began.
    ///
    /// A start that lives after that time had the address then.
    pub async fn proves(&self, beginning: &Beginning, at: Time) -> bool {
        let by = self.proof(beginning, at).await;
        self.metrics.proved_origin(by.unwrap_or("nothing"));
        if by.is_none() {
            log::warn!(
                upstream = &*beginning.upstream, started = beginning.started,
                version = &*beginning.origin.version;
                "identity: the process at which a stream began is not known"
            );
        }
        by.is_some()
    }

    async fn proof(&self, beginning: &Beginning, at: Time) -> Option<&'static str> {
        if beginning.proved {
            return Some("record");
        }
        let Beginning {
            upstream, started, ..
        } = beginning;
        if self.fleet.was_alive(upstream, *started, at) {
            return Some("upstream");
        }
        let server = {
            let registry = self.fleet.registry.borrow();
            if registry.is_settled(&beginning.upstream, beginning.started, at) {
                return Some("registry");
            }
            registry.get(&beginning.upstream).cloned()
        };
        let service = &beginning.origin.service;
        let until = Instant::now() + DESCRIPTION_TIMEOUT;
        loop {
            let asked = match &server {
                Some(server) => self.ask(server).await,
                None => None,
            };
            match asked {
                Some(Identity::Start(started)) if beginning.started > 0 => {
                    return (started == beginning.started).then_some("upstream");
                }
                Some(_) => break,
                None => {}
            }
            if self.fleet.describes(service).is_none() {
                self.ask_any(service, &beginning.upstream).await;
            }
            if self.fleet.describes(service).is_some() || Instant::now() >= until {
                break;
            }
            sleep(DESCRIPTION_PAUSE).await;
        }
        if self.fleet.describes(service) != Some(false) {
            return None;
        }
        self.fleet.confirm_origin(beginning).await.then_some("read")
    }

    /// Asks another upstream of a service, which tells whether all of them describe themselves.
    async fn ask_any(&self, service: &str, except: &str) {
        let other = {
            let registry = self.fleet.registry.borrow();
            let mut usable = registry.usable(Time::monotonic(), service);
            usable.find(|server| &*server.id != except).cloned()
        };
        if let Some(other) = other {
            self.ask(&other).await;
        }
    }

    /// Returns whether the process that closed a connection lives on; `None` if it doesn't describe
    /// itself.
    ///
    /// A process that ends closes its connections one after the other, and answers on none of them.
    pub async fn lives(&self, server: &Server, closed: &Connection) -> Option<bool> {
        let started = match closed.identity() {
            Some(Identity::Start(started)) => started,
            _ => server.started,
        };
        if started == 0 {
            return None;
        }
        match self.ask(server).await {
            Some(Identity::Start(found)) => Some(found == started),
            Some(Identity::Unstated) => None,
            None => Some(false),
        }
    }

    /// Asks an upstream which process answers at its address now.
    async fn ask(&self, server: &Server) -> Option<Identity> {
        for _ in 0..MAX_ASKS {
            let mut connection = match self.dialer.take(server, "", false).await {
                Ok(connection) => connection,
                Err(fault) => {
                    self.record_refusal(server, &fault);
                    return None;
                }
            };
            connection.forget_identity();
            if let Ok(identity) = self.identify(server, &mut connection).await {
                self.dialer.pool.put(server.address, connection);
                return Some(identity);
            }
        }
        None
    }
}
