//! Replies to a request, at the responder and at the requester.

use std::{
    fmt,
    pin::Pin,
    sync::{
        Arc,
        OnceLock, //
    },
    task::{
        Context,
        Poll, //
    },
};

use futures_util::{
    Stream,
    StreamExt, //
};
use tokio::sync::{
    mpsc,
    Semaphore, //
};

use super::{
    link::Link,
    wire::{
        Body,
        Frame, //
    },
    Error,
};

/// Maximum number of replies that the requester has not consumed.
///
/// Each request has a separate window, so that a requester that reads slowly delays only its own
/// replies and not the link.
pub(super) const WINDOW_REPLIES: usize = 32;

/// Reason why a reply was not sent: the requester cancelled the request, or the link was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
#[error("requester cancelled the request, or the link was lost")]
pub struct Closed;

/// State of a request at the responder.
#[derive(Debug)]
pub(super) struct Inbound {
    /// Replies that may be sent before the requester consumes more.
    credit: Semaphore,
    /// Never has a permit; closed when the requester cancelled the request or the link was lost.
    open: Semaphore,
}

impl Inbound {
    pub(super) fn new() -> Self {
        Self {
            credit: Semaphore::new(WINDOW_REPLIES),
            open: Semaphore::new(0),
        }
    }

    pub(super) fn close(&self) {
        self.credit.close();
        self.open.close();
    }

    pub(super) fn add_credit(&self, credit: u32) {
        let free = WINDOW_REPLIES.saturating_sub(self.credit.available_permits());
        self.credit.add_permits(free.min(credit as usize));
    }
}

/// Sends the replies to one request; dropping it closes the request.
pub struct Responder {
    id: u64,
    link: Arc<Link>,
    inbound: Arc<Inbound>,
    finished: bool,
}

impl fmt::Debug for Responder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Responder").field("id", &self.id).finish()
    }
}

impl Responder {
    pub(super) fn new(id: u64, link: Arc<Link>, inbound: Arc<Inbound>) -> Self {
        // Frames with number 0 expect no reply.
        let finished = id == 0;
        Self {
            id,
            link,
            inbound,
            finished,
        }
    }

    /// Sends a reply; waits while the window is full.
    pub async fn send(&self, body: Body) -> Result<(), Closed> {
        if self.finished {
            return Err(Closed);
        }
        self.inbound
            .credit
            .acquire()
            .await
            .map_err(|_| Closed)?
            .forget();
        let frame = Frame {
            id: self.id,
            reply: true,
            last: false,
            body,
        };
        self.link.push(&frame).await.map_err(|reason| {
            log::debug!(
                "peer: sending a reply to {} failed: {reason}",
                self.link.peer
            );
            Closed
        })
    }

    /// Sends the last reply without waiting.
    ///
    /// The last reply is exempt from the window, so that it is never delayed.
    pub fn finish(mut self, body: Body) -> Result<(), Closed> {
        self.end(body)
    }

    /// Waits until the requester cancels the request or the link is lost.
    pub async fn closed(&self) {
        let _ = self.inbound.open.acquire().await;
    }

    /// Returns whether the requester cancelled the request or the link was lost.
    pub fn is_closed(&self) -> bool {
        self.inbound.open.is_closed()
    }

    fn end(&mut self, body: Body) -> Result<(), Closed> {
        if self.finished {
            return Err(Closed);
        }
        self.finished = true;
        self.link.remove_inbound(self.id);
        let last = |body| Frame {
            id: self.id,
            reply: true,
            last: true,
            body,
        };
        self.link.push_unbounded(&last(body)).map_err(|reason| {
            // The requester must not wait for a reply that was too large to be sent.
            let _ = self.link.push_unbounded(&last(Body::Empty));
            log::debug!(
                "peer: sending the last reply to {} failed: {reason}",
                self.link.peer
            );
            Closed
        })
    }
}

impl Drop for Responder {
    fn drop(&mut self) {
        let _ = self.end(Body::Empty);
    }
}

/// A reply that the requester has not consumed.
///
/// The body is boxed, as each request allocates a queue for a full window of replies.
#[derive(Debug)]
pub(super) struct Reply {
    pub(super) body: Result<Box<Body>, Error>,
    pub(super) last: bool,
}

/// Replies to one request; dropping it before the last reply cancels the request.
pub struct Replies {
    id: u64,
    queue: mpsc::Receiver<Reply>,
    /// Link on which the request was sent, once there is one.
    link: Arc<OnceLock<Arc<Link>>>,
    consumed: u32,
    finished: bool,
}

impl fmt::Debug for Replies {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Replies").field("id", &self.id).finish()
    }
}

impl Replies {
    pub(super) fn new(
        id: u64,
        queue: mpsc::Receiver<Reply>,
        link: Arc<OnceLock<Arc<Link>>>,
    ) -> Self {
        Self {
            id,
            queue,
            link,
            consumed: 0,
            finished: false,
        }
    }

    /// Returns the next reply, or `None` after the last one.
    pub async fn next(&mut self) -> Option<Result<Body, Error>> {
        StreamExt::next(self).await
    }

    /// Counts a consumed reply, and grants credit once half of the window was consumed.
    fn consume(&mut self) {
        self.consumed += 1;
        if self.consumed < WINDOW_REPLIES as u32 / 2 {
            return;
        }
        let credit = Body::Credit(std::mem::take(&mut self.consumed));
        self.notify(credit);
    }

    fn notify(&self, body: Body) {
        if let Some(link) = self.link.get() {
            let frame = Frame {
                id: self.id,
                reply: false,
                last: false,
                body,
            };
            let _ = link.push_unbounded(&frame);
        }
    }

    fn end(&mut self, error: Error) -> Poll<Option<Result<Body, Error>>> {
        self.finished = true;
        Poll::Ready(Some(Err(error)))
    }
}

impl Stream for Replies {
    type Item = Result<Body, Error>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.finished {
            return Poll::Ready(None);
        }
        let Some(reply) = std::task::ready!(self.queue.poll_recv(cx)) else {
            return self.end(Error::Lost);
        };
        let body = match reply.body {
            Err(error) => return self.end(error),
            Ok(body) if *body == Body::Unsupported => return self.end(Error::Unsupported),
            Ok(body) => *body,
        };
        self.finished = reply.last;
        if !reply.last {
            self.consume();
        }
        match body {
            Body::Empty if reply.last => Poll::Ready(None),
            // The peer did reply, so the request was not ignored.
            Body::Unknown => self.end(Error::NoReply),
            body => Poll::Ready(Some(Ok(body))),
        }
    }
}

impl Drop for Replies {
    fn drop(&mut self) {
        if !self.finished {
            if let Some(link) = self.link.get() {
                link.abandon(self.id);
            }
            self.notify(Body::Cancel);
        }
    }
}
