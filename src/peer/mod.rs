//! Links between instances.

mod handshake;
mod link;
mod mesh;
mod meter;
mod reply;
mod settings;
pub mod wire;

pub use mesh::Mesh;
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

/// Takes the frames that other instances send.
pub trait Handler {
    /// Takes one frame; work that waits belongs in a task of its own.
    fn handle(&self, from: Instance, body: wire::Body, reply: Responder);
}

/// Reason why nothing was sent to an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Error)]
pub enum Unreachable {
    /// The view of members has no address of the instance.
    #[error("instance is not known")]
    Unknown,
    /// The instance is this one.
    #[error("instance is this one")]
    Own,
    /// The last attempt to connect failed, and it is too early for another one.
    #[error("last attempt to connect failed")]
    Backoff,
    /// The attempt to connect failed, or the link was lost before the frame was written.
    #[error("no link could be made")]
    Down,
    /// The bounded queue of the link is full.
    #[error("queue of the link is full")]
    Full,
    /// The frame is larger than links carry.
    #[error("frame is too large")]
    Large,
    /// The links of this instance are closed.
    #[error("links are closed")]
    Stopped,
}

/// Reason why a request has no reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Error)]
pub enum Error {
    /// The request was not sent.
    #[error("request was not sent: {0}")]
    Unsent(#[from] Unreachable),
    /// The link was lost after the request may have been written.
    #[error("link was lost")]
    Lost,
    /// No reply came in time.
    #[error("no reply came within {0:?}")]
    Late(Duration),
    /// The peer closed the request without a reply.
    #[error("peer gave no reply")]
    Empty,
    /// The peer does not know the kind of the request and ignored it.
    #[error("peer does not support the request")]
    Unsupported,
}

impl Error {
    /// Returns whether the peer may have acted on the request.
    pub fn delivered(&self) -> bool {
        match self {
            Self::Unsent(_) | Self::Unsupported => false,
            Self::Lost | Self::Late(_) | Self::Empty => true,
        }
    }
}
