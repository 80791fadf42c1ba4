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
            WebSocketConfig, //
        },
        Message,
    },
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
pub(super) enum Fault {
    #[error("connection failed: {0}")]
    Connect(String),
    #[error("handshake timed out")]
    Late,
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
    Other(Instance),
}

impl Fault {
    /// Returns whether the peer, not the network, caused the failure.
    pub(super) fn refused(&self) -> bool {
        !matches!(self, Self::Connect(_) | Self::Late)
    }
}

fn config(settings: &Settings) -> WebSocketConfig {
    // Buffers are allocated for each link, for which the defaults of 128 KiB are too large.
    WebSocketConfig::default()
        .read_buffer_size(8 << 10)
        .write_buffer_size(8 << 10)
        .max_write_buffer_size(settings.frame_bytes + (1 << 20))
        .max_message_size(Some(settings.frame_bytes))
        .max_frame_size(Some(settings.frame_bytes))
}

/// Builds the `Hello` of this instance.
fn hello(settings: &Settings, own: Entry) -> Hello {
    Hello {
        version: VERSION,
        lowest: MIN_VERSION,
        cluster: settings.cluster.clone(),
        entry: own,
        secret: settings.secret.expose().to_owned(),
    }
}

fn check(settings: &Settings, hello: &Hello) -> Result<(), Fault> {
    if !settings.secret.matches(&hello.secret) {
        return Err(Fault::Secret);
    }
    if hello.cluster != settings.cluster {
        return Err(Fault::Cluster(hello.cluster.clone()));
    }
    if hello.common(VERSION, MIN_VERSION).is_none() {
        return Err(Fault::Version(hello.lowest, hello.version));
    }
    if hello.entry.instance == settings.instance {
        return Err(Fault::Other(hello.entry.instance.clone()));
    }
    Ok(())
}

async fn receive(socket: &mut Socket) -> Result<Hello, Fault> {
    match socket.next().await {
        Some(Ok(Message::Binary(bytes))) => {
            Hello::decode(&bytes).map_err(|error| Fault::Malformed(error.to_string()))
        }
        Some(Ok(Message::Close(frame))) => {
            let reason = frame.map_or_else(String::new, |frame| frame.reason.to_string());
            Err(Fault::Refused(reason))
        }
        Some(Ok(_)) => Err(Fault::Malformed("not a binary message".to_owned())),
        Some(Err(error)) => Err(Fault::Malformed(error.to_string())),
        None => Err(Fault::Connect("peer closed the connection".to_owned())),
    }
}

async fn send(socket: &mut Socket, hello: &Hello) -> Result<(), Fault> {
    let message = Message::Binary(Bytes::from(hello.encode()));
    let sent = socket.send(message).await;
    sent.map_err(|error| Fault::Connect(error.to_string()))
}

async fn refuse(socket: &mut Socket, fault: &Fault) {
    // The reason helps the operator of an instance with wrong settings; it contains no secret.
    let frame = CloseFrame {
        code: CloseCode::from(REFUSED_CLOSE_CODE),
        reason: fault.to_string().into(),
    };
    let _ = socket.close(Some(frame)).await;
}

/// Connects to an instance.
pub(super) async fn dial(
    settings: &Settings,
    meter: Arc<Meter>,
    own: Entry,
    to: &Instance,
    address: &str,
) -> Result<(Socket, Entry), Fault> {
    let attempt = async {
        let lost = |error: String| Fault::Connect(error);
        let stream = TcpStream::connect(address).await;
        let stream = stream.map_err(|error| lost(error.to_string()))?;
        let _ = stream.set_nodelay(true);
        let stream = Metered::new(stream, meter);
        let request = format!("ws://{address}/");
        let opened = client_async_with_config(request, stream, Some(config(settings))).await;
        let (mut socket, _) = opened.map_err(|error| lost(error.to_string()))?;
        send(&mut socket, &hello(settings, own)).await?;
        let hello = receive(&mut socket).await?;
        check(settings, &hello)?;
        // The address of an instance that stopped may have been reused by another one.
        if hello.entry.instance != *to {
            return Err(Fault::Other(hello.entry.instance));
        }
        Ok((socket, hello.entry))
    };
    timeout(settings.handshake, attempt)
        .await
        .unwrap_or(Err(Fault::Late))
}

/// Accepts a connection from an instance.
///
/// The secret of this instance is sent only after the peer's secret has been checked.
pub(super) async fn accept(
    settings: &Settings,
    meter: Arc<Meter>,
    own: Entry,
    stream: TcpStream,
) -> Result<(Socket, Entry), Fault> {
    let attempt = async {
        let _ = stream.set_nodelay(true);
        let stream = Metered::new(stream, meter);
        let opened = accept_async_with_config(stream, Some(config(settings))).await;
        let mut socket = opened.map_err(|error| Fault::Malformed(error.to_string()))?;
        let hello = receive(&mut socket).await?;
        if let Err(fault) = check(settings, &hello) {
            refuse(&mut socket, &fault).await;
            return Err(fault);
        }
        send(&mut socket, &self::hello(settings, own)).await?;
        Ok((socket, hello.entry))
    };
    timeout(settings.handshake, attempt)
        .await
        .unwrap_or(Err(Fault::Late))
}
