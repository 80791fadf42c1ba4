//! Framing of the bytes that an instance passes on to another one.
//!
//! Answers the pattern of an instance that is killed while it passes an answer on: the system closes
//! its connections as an upstream does at the end of an answer without a length. The bytes are sent
//! in frames, each after its length, and a frame without content states that the upstream ended its
//! connection.

use bytes::{
    Buf as _,
    BytesMut, //
};

/// Length of the header of a frame, in bytes.
pub const HEADER_BYTES: usize = 4;

/// Returns the header of a frame with content of this length; 0 states the end.
pub fn header(length: u32) -> [u8; HEADER_BYTES] {
    length.to_be_bytes()
}

/// Takes the content out of frames.
#[derive(Debug, Default)]
pub struct Decoder {
    /// Bytes received that are not decoded.
    pub buffer: BytesMut,
    /// Content of the current frame that is not received yet.
    left: usize,
    ended: bool,
}

impl Decoder {
    /// Moves the content received to `content`.
    pub fn decode(&mut self, content: &mut BytesMut) {
        while !self.ended {
            if self.left == 0 {
                if self.buffer.len() < HEADER_BYTES {
                    return;
                }
                self.left = self.buffer.get_u32() as usize;
                self.ended = self.left == 0;
                continue;
            }
            if self.buffer.is_empty() {
                return;
            }
            let length = self.left.min(self.buffer.len());
            content.extend_from_slice(&self.buffer[..length]);
            self.buffer.advance(length);
            self.left -= length;
        }
    }

    /// Returns whether bytes were received that are not decoded, or the upstream ended its connection.
    pub fn pending(&self) -> bool {
        self.ended || self.left > 0 || !self.buffer.is_empty()
    }

    /// Returns whether the upstream ended its connection. Bytes that follow are ignored.
    pub fn ended(&self) -> bool {
        self.ended
    }
}
