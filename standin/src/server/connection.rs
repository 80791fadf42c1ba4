//! A connection: a stream that faults can block or close.

use std::{
    convert::Infallible,
    io,
    pin::Pin,
    sync::{
        atomic::{
            AtomicBool,
            Ordering, //
        },
        Arc,
    },
    task::{
        Context,
        Poll, //
    },
    time::Duration,
};

use actix_http::{
    HttpService,
    KeepAlive,
    Response, //
};
use actix_service::{
    map_config,
    IntoServiceFactory,
    ServiceFactory,
    ServiceFactoryExt, //
};
use actix_web::{
    body::BoxBody,
    dev::AppConfig,
    middleware::from_fn,
    web,
    App,
    Error,
    HttpRequest, //
};
use futures_util::task::AtomicWaker;
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::TcpStream,
    sync::Notify,
};

use super::{
    control,
    Endpoint,
    Standin, //
};

/// Maximum size of a request body. Prompts of 290,000 tokens exceed one megabyte.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Handle to block or close an established connection.
#[derive(Default)]
pub struct Connection {
    muted: AtomicBool,
    closed: Notify,
    waker: AtomicWaker,
}

impl Connection {
    /// Returns the connection of a request.
    pub fn of(request: &HttpRequest) -> Arc<Self> {
        request
            .conn_data::<Arc<Self>>()
            .cloned()
            .unwrap_or_default()
    }

    /// Blocks all reads and writes for the rest of the connection's lifetime.
    pub fn mute(&self) {
        self.muted.store(true, Ordering::Release);
        self.wake();
    }

    /// Closes the connection without flushing what has been written.
    pub fn close(&self) {
        self.closed.notify_one();
    }

    /// Closes the connection and never returns.
    pub async fn abort(&self) -> Infallible {
        self.close();
        std::future::pending().await
    }

    pub(super) fn wake(&self) {
        self.waker.wake();
    }

    pub(super) async fn closed(&self) {
        self.closed.notified().await;
    }
}

/// A TCP stream whose reads and writes stay pending while it is blocked.
pub struct Stream {
    tcp: TcpStream,
    endpoint: Arc<Endpoint>,
    connection: Arc<Connection>,
}

impl Stream {
    pub(super) fn new(
        tcp: TcpStream,
        endpoint: Arc<Endpoint>,
        connection: Arc<Connection>,
    ) -> Self {
        Self {
            tcp,
            endpoint,
            connection,
        }
    }

    /// Returns the stream unless it is blocked; registers the task to be woken on a change.
    fn poll_stream(&mut self, cx: &mut Context<'_>) -> Poll<Pin<&mut TcpStream>> {
        self.connection.waker.register(cx.waker());
        if self.connection.muted.load(Ordering::Acquire) || self.endpoint.is_blocked() {
            return Poll::Pending;
        }
        Poll::Ready(Pin::new(&mut self.tcp))
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        std::task::ready!(self.poll_stream(cx)).poll_read(cx, buffer)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        std::task::ready!(self.poll_stream(cx)).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        std::task::ready!(self.poll_stream(cx)).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        std::task::ready!(self.poll_stream(cx)).poll_shutdown(cx)
    }
}

/// Returns the factory of the HTTP service for the connections of one listener.
///
/// A handler is dropped as soon as its client disconnects.
pub(super) fn factory<S: Standin>(
    state: &Arc<S>,
    endpoint: &Arc<Endpoint>,
) -> impl ServiceFactory<
    (Stream, Option<std::net::SocketAddr>),
    Config = (),
    Response = (),
    InitError = (),
> {
    let app = App::new()
        .app_data(web::Data::from(Arc::clone(state)))
        .app_data(web::Data::from(Arc::clone(endpoint)))
        .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
        .app_data(
            web::JsonConfig::default()
                .limit(MAX_BODY_BYTES)
                .content_type_required(false),
        )
        .wrap(from_fn(control::network))
        .configure(control::routes::<S>)
        .configure(S::configure);
    let app = app
        .into_factory()
        .map_err(|error: Error| -> Response<BoxBody> {
            Response::from(error.error_response().map_into_boxed_body())
        });
    HttpService::<Stream, _, _>::build()
        .keep_alive(KeepAlive::Timeout(Duration::from_secs(75)))
        .client_request_timeout(Duration::ZERO)
        .h1_allow_half_closed(false)
        .on_connect_ext(|stream: &Stream, data: &mut actix_http::Extensions| {
            data.insert(Arc::clone(&stream.connection));
        })
        .h1(map_config(app, |()| AppConfig::default()))
}
