//! Opens connections and exchanges `Hello` messages.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::{
    SinkExt,
    StreamExt, //
};
use thiserror::Error;
use tokio::{
    net::TcpStream,
    time::timeout, //
};
use tokio_tungstenite::{
    accept_async_with_config, client_async_with_config,
    tungstenite::{
        protocol::{
            frame::coding::CloseCode,
            CloseFrame,
            Role,
            WebSocketConfig, //
        },
        Message,
    },
    WebSocketStream,
};

use super::{
    link::Socket,
    meter::{
        Meter,
        Metered, //
    },
    settings::Settings,
    wire::{
        Hello,
        MIN_VERSION,
        VERSION, //
    },
};
use crate::{
    member::Entry,
    name::Instance, //
};

/// WebSocket close code of a refused handshake, from the range for private use.
const REFUSED_CLOSE_CODE: u16 = 4001;

/// Reason why a connection did not become a link.
#[derive(Debug)]
#[derive(Error)]
pub(super) enum Error {
    #[error("connection failed: {0}")]
    Connect(String),
    #[error("handshake timed out")]
    Timeout,
    #[error("malformed message: {0}")]
    Malformed(String),
    #[error("peer refused the link: {0}")]
    Refused(String),
    #[error("cluster is {0:?}")]
    Cluster(String),
    #[error("secret is wrong")]
    Secret,
    #[error("peer speaks versions {0} to {1}, this instance {MIN_VERSION} to {VERSION}")]
    Version(u32, u32),
    #[error("peer is instance {0}")]
    WrongInstance(Instance),
}

impl Error {
    /// Returns whether the peer, not the network, caused the failure.
    pub(super) fn is_refusal(&self) -> bool {
        !matches!(self, Self::Connect(_) | Self::Timeout)
    }
}

/// Maximum length of a `Hello`. Any host may send one, before it has shown that it knows the secret.
const MAX_HELLO_BYTES: usize = 16 << 10;

fn websocket_config(frame_bytes: usize) -> WebSocketConfig {
    // Buffers are allocated for each link, for which the defaults of 128 KiB are too large.
    WebSocketConfig::default()
        .read_buffer_size(8 << 10)
        .write_buffer_size(8 << 10)
        .max_write_buffer_size(frame_bytes + (1 << 20))
        .max_message_size(Some(frame_bytes))
        .max_frame_size(Some(frame_bytes))
}

/// Builds the `Hello` of this instance.
fn local_hello(settings: &Settings, local: Entry) -> Hello {
    Hello {
        version: VERSION,
        lowest: MIN_VERSION,
        cluster: settings.cluster.clone(),
        entry: local,
        secret: settings.secret.expose().to_owned(),
    }
}

fn verify(settings: &Settings, hello: &Hello) -> Result<(), Error> {
    if !settings.secret.matches(&hello.secret) {
        return Err(Error::Secret);
    }
    if hello.cluster != settings.cluster {
        return Err(Error::Cluster(hello.cluster.clone()));
    }
    if hello.common(VERSION, MIN_VERSION).is_none() {
        return Err(Error::Version(hello.lowest, hello.version));
    }
    if hello.entry.instance == settings.instance {
        return Err(Error::WrongInstance(hello.entry.instance.clone()));
    }
    Ok(())
}

async fn receive(socket: &mut Socket) -> Result<Hello, Error> {
    match socket.next().await {
        Some(Ok(Message::Binary(bytes))) => {
            Hello::decode(&bytes).map_err(|error| Error::Malformed(error.to_string()))
        }
        Some(Ok(Message::Close(frame))) => {
            let reason = frame.map_or_else(String::new, |frame| frame.reason.to_string());
            Err(Error::Refused(reason))
        }
        Some(Ok(_)) => Err(Error::Malformed("not a binary message".to_owned())),
        Some(Err(error)) => Err(Error::Malformed(error.to_string())),
        None => Err(Error::Connect("peer closed the connection".to_owned())),
    }
}

async fn send(socket: &mut Socket, hello: &Hello) -> Result<(), Error> {
    let message = Message::Binary(Bytes::from(hello.encode()));
    let sent = socket.send(message).await;
    sent.map_err(|error| Error::Connect(error.to_string()))
}

async fn refuse(socket: &mut Socket, error: &Error) {
    // The reason helps the operator of an instance with wrong settings; it contains no secret.
    let frame = CloseFrame {
        code: CloseCode::from(REFUSED_CLOSE_CODE),
        reason: error.to_string().into(),
    };
    let _ = socket.close(Some(frame)).await;
}

/// Connects to an instance.
pub(super) async fn dial(
    settings: &Settings,
    meter: Arc<Meter>,
    local: Entry,
    to: &Instance,
    address: &str,
) -> Result<(Socket, Entry), Error> {
    let attempt = async {
        let failed = |error: String| Error::Connect(error);
        let stream = TcpStream::connect(address).await;
        let stream = stream.map_err(|error| failed(error.to_string()))?;
        let _ = stream.set_nodelay(true);
        let stream = Metered::new(stream, meter);
        let request = format!("ws://{address}/");
        let opened = client_async_with_config(
            request,
            stream,
            Some(websocket_config(settings.frame_bytes)),
        )
        .await;
        let (mut socket, _) = opened.map_err(|error| failed(error.to_string()))?;
        send(&mut socket, &local_hello(settings, local)).await?;
        let hello = receive(&mut socket).await?;
        verify(settings, &hello)?;
        // The address of an instance that stopped may have been reused by another one.
        if hello.entry.instance != *to {
            return Err(Error::WrongInstance(hello.entry.instance));
        }
        Ok((socket, hello.entry))
    };
    timeout(settings.handshake, attempt)
        .await
        .unwrap_or(Err(Error::Timeout))
}

/// Accepts a connection from an instance.
///
/// The secret of this instance is sent only after the peer's secret has been checked.
pub(super) async fn accept(
    settings: &Settings,
    meter: Arc<Meter>,
    local: Entry,
    stream: TcpStream,
) -> Result<(Socket, Entry), Error> {
    let attempt = async {
        let _ = stream.set_nodelay(true);
        let stream = Metered::new(stream, meter);
        let opened =
            accept_async_with_config(stream, Some(websocket_config(MAX_HELLO_BYTES))).await;
        let mut socket = opened.map_err(|error| Error::Malformed(error.to_string()))?;
        let hello = receive(&mut socket).await?;
        if let Err(error) = verify(settings, &hello) {
            refuse(&mut socket, &error).await;
            return Err(error);
        }
        // The peer sends nothing more before it has the reply, so no bytes are lost here.
        let config = websocket_config(settings.frame_bytes);
        let stream = socket.into_inner();
        let mut socket = WebSocketStream::from_raw_socket(stream, Role::Server, Some(config)).await;
        send(&mut socket, &local_hello(settings, local)).await?;
        Ok((socket, hello.entry))
    };
    timeout(settings.handshake, attempt)
        .await
        .unwrap_or(Err(Error::Timeout))
}
