//! Bodies of requests and answers, whose memory is charged to their connection.

use std::{
    pin::Pin,
    task::{
        ready,
        Context,
        Poll, //
    },
};

use actix_web::body::{
    BodySize,
    MessageBody, //
};
use bytes::{
    Bytes,
    BytesMut, //
};

use super::connection::{
    Charge,
    Open, //
};

/// Length of the segments of a long body. All have the same length, so that the allocator can use the
/// memory of one body for the next.
const SEGMENT_BYTES: usize = 64 << 10;

/// Length of the first buffer, and the factor by which it grows up to the length of a segment.
const FIRST_BUFFER_BYTES: usize = 4 << 10;
const GROWTH: usize = 4;

/// Part of an answer that is handed to the HTTP library at a time.
const PART_BYTES: usize = 64 << 10;

/// A body while it arrives.
#[derive(Default)]
pub struct Buffer {
    /// Absent if callers have no part in the memory.
    charge: Option<Charge>,
    /// Full segments.
    segments: Vec<Bytes>,
    /// The rest.
    last: BytesMut,
    length: usize,
}

impl Buffer {
    /// Returns an empty body with its charge.
    pub fn new(charge: Charge) -> Self {
        Self {
            charge: Some(charge),
            ..Self::default()
        }
    }

    /// Returns the length so far.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether nothing has arrived.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Appends a chunk.
    pub fn push(&mut self, mut chunk: Bytes) {
        self.length += chunk.len();
        while !chunk.is_empty() {
            if self.last.len() == self.last.capacity() {
                self.grow(chunk.len());
            }
            let room = self.last.capacity() - self.last.len();
            let part = chunk.split_to(chunk.len().min(room));
            self.last.extend_from_slice(&part);
        }
    }

    /// Makes room: enlarges the last segment up to its full length, and begins a new one then.
    fn grow(&mut self, needed: usize) {
        if self.last.len() >= SEGMENT_BYTES {
            let full = std::mem::take(&mut self.last).freeze();
            self.segments.push(full);
        }
        let capacity = (GROWTH * self.last.len())
            .max(needed)
            .max(FIRST_BUFFER_BYTES);
        let capacity = match self.segments.is_empty() {
            true => capacity.min(SEGMENT_BYTES),
            false => SEGMENT_BYTES,
        };
        let mut larger = BytesMut::with_capacity(capacity);
        larger.extend_from_slice(&self.last);
        self.last = larger;
        let bytes = self.segments.len() * SEGMENT_BYTES + capacity;
        if let Some(charge) = &mut self.charge {
            charge.resize(bytes);
        }
    }

    /// Returns the whole body, and the charge for it.
    pub fn finish(mut self) -> (Bytes, Option<Charge>) {
        let body = match self.segments.is_empty() {
            true => self.last.freeze(),
            false => {
                let mut body = BytesMut::with_capacity(self.length);
                // Each segment is freed once it is copied.
                for segment in self.segments {
                    body.extend_from_slice(&segment);
                }
                body.extend_from_slice(&self.last);
                body.freeze()
            }
        };
        if let Some(charge) = &mut self.charge {
            charge.resize(body.len());
            charge.complete();
        }
        (body, self.charge)
    }
}

/// The body of an answer; its connection is charged until it is written.
pub struct Reply<B> {
    body: B,
    /// Rest of a part that is too long to be handed over at once.
    rest: Bytes,
    open: Open,
    _charge: Charge,
}

impl<B: MessageBody> Reply<B> {
    /// Returns the body of the answer to a request.
    pub fn new(body: B, open: Open) -> Self {
        let bytes = match body.size() {
            BodySize::Sized(length) => length as usize,
            BodySize::None | BodySize::Stream => 0,
        };
        Self {
            body,
            rest: Bytes::new(),
            _charge: open.charge(bytes),
            open,
        }
    }
}

impl<B: MessageBody + Unpin> MessageBody for Reply<B> {
    type Error = B::Error;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, B::Error>>> {
        let reply = self.get_mut();
        reply.open.answer();
        if reply.rest.is_empty() {
            match ready!(Pin::new(&mut reply.body).poll_next(cx)) {
                Some(Ok(part)) => reply.rest = part,
                end => return Poll::Ready(end),
            }
        }
        let length = reply.rest.len().min(PART_BYTES);
        Poll::Ready(Some(Ok(reply.rest.split_to(length))))
    }
}
