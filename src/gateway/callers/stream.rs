//! The byte stream of a caller's connection.

use std::{
    cell::RefCell,
    future::{
        poll_fn,
        Future, //
    },
    io::{
        self,
        ErrorKind, //
    },
    pin::{
        pin,
        Pin, //
    },
    rc::Rc,
    task::{
        ready,
        Context,
        Poll, //
    },
};

use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::TcpStream,
};

use super::{
    connection::Connection,
    connections::Connections, //
};

/// A TCP stream that reads no more than its connection may hold.
pub struct Stream {
    socket: Rc<RefCell<TcpStream>>,
    connection: Rc<Connection>,
}

impl Stream {
    /// Returns the stream of a new connection.
    pub fn new(socket: TcpStream, all: &Rc<Connections>) -> Self {
        let socket = Rc::new(RefCell::new(socket));
        let connection = all.open(&socket);
        Self { socket, connection }
    }

    /// Returns the connection.
    pub fn connection(&self) -> &Rc<Connection> {
        &self.connection
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let connection = &self.connection;
        let mut socket = self.socket.borrow_mut();
        if connection.is_over() && connection.is_idle() {
            // A request may have arrived since the connection was chosen.
            let mut byte = [0];
            let seen = socket.poll_peek(cx, &mut ReadBuf::new(&mut byte));
            if let Poll::Ready(Ok(1..)) = seen {
                connection.spare();
            }
        }
        if let Some(closing) = connection.closing().filter(|_| connection.is_over()) {
            // Best effort; the connection ends in any case.
            let _ = Pin::new(&mut *socket).poll_write(cx, connection.last_answer(closing));
            return Poll::Ready(Err(ErrorKind::ConnectionAborted.into()));
        }
        let allowance = connection.allowance();
        if allowance == 0 {
            return Poll::Pending;
        }
        let room = buffer.remaining().min(allowance);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(room));
        ready!(Pin::new(&mut *socket).poll_read(cx, &mut part))?;
        drop(socket);
        let length = part.filled().len();
        buffer.advance(length);
        connection.received(length);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut *self.socket.borrow_mut()).poll_write(cx, bytes);
        self.connection.written(match &written {
            Poll::Ready(Ok(bytes)) => Some(*bytes),
            Poll::Ready(Err(_)) | Poll::Pending => None,
        });
        written
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.socket.borrow_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.socket.borrow_mut()).poll_shutdown(cx)
    }
}

/// Guard that removes a connection.
struct Removal(Rc<Connection>);

impl Drop for Removal {
    fn drop(&mut self) {
        self.0.remove();
    }
}

/// Serves a connection until it ends or is closed.
pub async fn serve<E>(
    connection: Rc<Connection>,
    served: impl Future<Output = Result<(), E>>,
) -> Result<(), E> {
    let _removal = Removal(connection.clone());
    let mut served = pin!(served);
    poll_fn(|cx| loop {
        connection.begin_round(cx.waker());
        // The HTTP service writes a last answer first.
        let over = connection.is_over();
        if let Poll::Ready(result) = served.as_mut().poll(cx) {
            return Poll::Ready(result);
        }
        if over && connection.is_over() {
            return Poll::Ready(Ok(()));
        }
        connection.end_round();
        if !connection.is_over() {
            return Poll::Pending;
        }
    })
    .await
}
