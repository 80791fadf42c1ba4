//! Listening sockets that can be closed and reopened on the same port.

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use actix_service::{
    Service,
    ServiceFactory, //
};
use actix_web::rt::{
    self,
    time, //
};
use tokio::{
    net::{
        TcpListener,
        TcpSocket,
        TcpStream, //
    },
    sync::watch,
};

use super::{
    connection::Stream,
    Endpoint,
    Outage, //
};

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 4096;

/// Delay before the next attempt after accepting a connection failed, for example for lack of
/// file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// A bound socket that doesn't listen. It reserves the port while connections to it are
/// refused.
pub(super) struct Reservation {
    address: SocketAddr,
    _socket: TcpSocket,
}

impl Reservation {
    pub(super) fn reserve(listen: SocketAddr) -> io::Result<Self> {
        if listen.port() != 0 {
            // SO_REUSEPORT would hide that another stand-in uses the port already.
            drop(std::net::TcpListener::bind(listen)?);
        }
        let socket = bound(listen)?;
        Ok(Self {
            address: socket.local_addr()?,
            _socket: socket,
        })
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Opens a listening socket on the reserved port.
    pub(super) fn listen(&self) -> io::Result<TcpListener> {
        bound(self.address)?.listen(BACKLOG)
    }
}

/// Binds a socket with SO_REUSEPORT, so that the reservation and the listener share the port.
fn bound(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Serves connections until `stopping` changes. Closes the listening socket while the faults
/// refuse connections, and reopens it afterwards.
pub(super) async fn accept<F>(
    reservation: Reservation,
    first: TcpListener,
    endpoint: &Arc<Endpoint>,
    factory: F,
    mut stopping: watch::Receiver<bool>,
) where
    F: ServiceFactory<(Stream, Option<SocketAddr>), Config = (), Response = (), InitError = ()>,
    <F::Service as Service<(Stream, Option<SocketAddr>)>>::Future: 'static,
{
    let Ok(service) = factory.new_service(()).await else {
        return;
    };
    let mut faults = endpoint.subscribe();
    let mut socket = Some(first);
    loop {
        let refuse = faults.borrow_and_update().outage == Some(Outage::Refuse);
        if refuse {
            socket = None;
        } else if socket.is_none() {
            socket = reservation.listen().ok();
        }
        endpoint.set_listening(socket.is_some());
        tokio::select! {
            accepted = next(socket.as_ref()) => {
                match accepted {
                    Ok((stream, peer)) => serve(&service, endpoint, stream, peer),
                    Err(_) => time::sleep(ACCEPT_RETRY_DELAY).await,
                }
            }
            _ = faults.changed() => {}
            _ = stopping.changed() => break,
        }
    }
    drop(socket);
    endpoint.close_all();
}

async fn next(socket: Option<&TcpListener>) -> io::Result<(TcpStream, SocketAddr)> {
    match socket {
        Some(socket) => socket.accept().await,
        None => std::future::pending().await,
    }
}

fn serve<S>(service: &S, endpoint: &Arc<Endpoint>, tcp: TcpStream, peer: SocketAddr)
where
    S: Service<(Stream, Option<SocketAddr>), Response = ()>,
    S::Future: 'static,
{
    let _ = tcp.set_nodelay(true);
    let endpoint = Arc::clone(endpoint);
    let (id, connection) = endpoint.add_connection();
    let stream = Stream::new(tcp, Arc::clone(&endpoint), Arc::clone(&connection));
    let served = service.call((stream, Some(peer)));
    rt::spawn(async move {
        tokio::select! {
            biased;
            _ = served => {}
            () = connection.closed() => {}
        }
        endpoint.remove_connection(id);
    });
}
