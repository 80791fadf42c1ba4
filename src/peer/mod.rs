//! Links between instances.

mod handshake;
mod link;
mod mesh;
mod meter;
mod reply;
mod settings;
pub mod wire;

pub use mesh::{
    listen,
    Mesh, //
};
pub use meter::Stats;
pub use reply::{
    Closed,
    Replies,
    Responder, //
};
pub use settings::{
    Secret,
    Settings,
    Tls, //
};

use std::time::Duration;

use thiserror::Error;

use crate::name::Instance;

/// Handles the frames that other instances send.
pub trait Handler {
    /// Handles one frame. It must not block the link: work that waits belongs in a separate task.
    fn handle(&self, from: Instance, body: wire::Body, reply: Responder);
}

/// Reason why a frame was not sent to an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Error)]
pub enum Unreachable {
    /// The view has no address of the instance.
    #[error("instance is unknown")]
    Unknown,
    /// The instance is this one.
    #[error("target is the local instance")]
    Local,
    /// The last attempt to connect failed, and its back-off has not passed.
    #[error("last attempt to connect failed; waiting for the back-off")]
    Backoff,
    /// The attempt to connect failed, or the link was lost before the frame was written.
    #[error("connection failed before the frame was written")]
    Down,
    /// The bounded send queue of the link is full.
    #[error("send queue of the link is full")]
    QueueFull,
    /// The frame exceeds `frame_bytes` of the settings.
    #[error("frame exceeds the maximum size")]
    TooLarge,
    /// This instance has closed its links.
    #[error("links of the local instance are closed")]
    Stopped,
}

/// Reason why a request has no reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Error)]
pub enum Error {
    /// The request was not sent.
    #[error("request was not sent: {0}")]
    NotSent(#[from] Unreachable),
    /// The link was lost after the request may have been written.
    #[error("link was lost before the reply")]
    Lost,
    /// No reply arrived in time.
    #[error("no reply within {0:?}")]
    Timeout(Duration),
    /// The peer closed the request without a reply.
    #[error("peer closed the request without a reply")]
    NoReply,
    /// The peer does not support the kind of the request and ignored it.
    #[error("peer does not support the request")]
    Unsupported,
}

impl Error {
    /// Returns whether the peer may have acted on the request.
    pub fn may_be_delivered(&self) -> bool {
        match self {
            Self::NotSent(_) | Self::Unsupported => false,
            Self::Lost | Self::Timeout(_) | Self::NoReply => true,
        }
    }
}
