//! Framing of event streams: complete events with their identifiers.

use bytes::{
    Bytes,
    BytesMut, //
};
use thiserror::Error;

/// Maximum length of an event; the longest in the platform's documentation has 660 bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Violation of the event stream format.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Error)]
pub enum Fault {
    /// An event is too long.
    #[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// An event has no identifier, or one that is not greater than that of the previous event.
    #[error("an event has no identifier greater than the previous one")]
    Order,
}

/// An event, with its encoded bytes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Identifier; greater than that of the previous event.
    pub id: u64,
    /// The encoded bytes, including the empty line at the end.
    pub bytes: Bytes,
}

/// Identifiers of the events of a stream: the first one, and equal steps from there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Numbering {
    /// Identifier of the first event.
    pub first: u64,
    /// Step between two events; at least 1.
    pub step: u64,
}

impl Numbering {
    /// Returns the identifier that follows `last`; `None` if that one is not of the series.
    pub fn next(&self, last: u64) -> Option<u64> {
        match last.checked_sub(self.first) {
            None => Some(self.first),
            Some(offset) if offset % self.step == 0 => last.checked_add(self.step),
            Some(_) => None,
        }
    }
}

/// Equal steps between identifiers from which on they are taken for consecutive.
const MIN_EVEN_STEPS: u32 = 2;

/// Identifiers of the events of a stream so far.
///
/// They increase, and need not be consecutive. Those that were so far stay it, so that a gap after a
/// break shows that an event is missing.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sequence {
    first: Option<u64>,
    last: Option<u64>,
    step: Option<u64>,
    /// Number of equal steps; 0 once two steps differed.
    even_steps: u32,
    uneven: bool,
    /// Identifier that the next event must have, if the numbering of the stream is known.
    expected: Option<u64>,
}

impl Sequence {
    /// Adds the identifier of the next event.
    pub fn push(&mut self, id: u64) {
        let step = self.last.map(|last| id.saturating_sub(last));
        self.first.get_or_insert(id);
        self.expected = None;
        self.last = Some(id);
        let Some(step) = step else {
            return;
        };
        self.uneven |= self.step.is_some_and(|known| known != step);
        self.step = Some(step);
        self.even_steps = if self.uneven { 0 } else { self.even_steps + 1 };
    }

    /// Returns the identifier of the first event.
    pub fn first(&self) -> Option<u64> {
        self.first
    }

    /// Returns whether two steps differed.
    pub fn is_uneven(&self) -> bool {
        self.uneven
    }

    /// Returns how the events are numbered, if enough steps were equal and none differed.
    pub fn numbering(&self) -> Option<Numbering> {
        let step = self.step.filter(|_| self.even_steps >= MIN_EVEN_STEPS)?;
        let first = self.first?;
        Some(Numbering { first, step })
    }

    /// Sets the numbering by which the next event has to follow `last`, unless a step so far contradicts
    /// it.
    pub fn resume(&mut self, last: u64, numbering: Option<Numbering>) {
        let fits = |numbering: &Numbering| {
            !self.uneven && self.step.is_none_or(|step| step == numbering.step)
        };
        self.expected = numbering
            .filter(fits)
            .and_then(|numbering| numbering.next(last));
    }

    /// Returns whether an event may be the next one after a break.
    pub fn admits(&self, id: u64) -> bool {
        if self.expected.is_some_and(|expected| id != expected) {
            return false;
        }
        match (self.last, self.step) {
            (Some(last), Some(step)) if self.even_steps >= MIN_EVEN_STEPS => id == last + step,
            (Some(last), _) => id > last,
            (None, _) => true,
        }
    }
}

/// Splits the bytes of a stream into events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Length of the buffer's prefix that is known to contain no end of an event.
    scanned: usize,
    /// Length of the comments before the next event, which are passed on with it; those after the last
    /// event are not. At most `scanned`.
    comments: usize,
    last: Option<u64>,
}

impl Splitter {
    /// Returns a splitter that expects identifiers greater than `last`; any if it is `None`.
    pub fn after(last: Option<u64>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// Appends bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event.
    pub fn event(&mut self) -> Result<Option<Event>, Fault> {
        let end = loop {
            let Some(end) = self.end() else {
                self.scanned = self.buffer.len();
                return match self.buffer.len() > MAX_EVENT_BYTES {
                    true => Err(Fault::TooLong),
                    false => Ok(None),
                };
            };
            if !is_comment(&self.buffer[self.comments..end]) {
                break end;
            }
            self.comments = end;
            self.scanned = end;
        };
        self.comments = 0;
        self.scanned = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let id = identifier(&bytes).ok_or(Fault::Order)?;
        if self.last.is_some_and(|last| id <= last) {
            return Err(Fault::Order);
        }
        self.last = Some(id);
        Ok(Some(Event { id, bytes }))
    }

    /// Returns the length of the first complete event.
    fn end(&self) -> Option<usize> {
        let from = self.scanned.saturating_sub(3).max(self.comments);
        let rest = &self.buffer[from..];
        let newlines = (0..rest.len()).filter(|at| rest[*at] == b'\n');
        newlines
            .filter_map(|at| match &rest[at + 1..] {
                [b'\n', ..] => Some(at + 2),
                [b'\r', b'\n', ..] => Some(at + 3),
                _ => None,
            })
            .map(|length| from + length)
            .next()
    }

    /// Returns the memory of the buffer, which is copied as it grows.
    pub fn memory(&self) -> usize {
        2 * self.buffer.capacity()
    }

    /// Returns whether the buffer holds an incomplete event.
    pub fn partial(&self) -> bool {
        self.buffer.len() > self.comments
    }
}

/// Returns whether a block has no line but comments.
fn is_comment(block: &[u8]) -> bool {
    let mut lines = block.split(|byte| *byte == b'\n');
    lines.all(|line| matches!(line, [] | [b'\r'] | [b':', ..]))
}

/// Returns the identifier of an event.
fn identifier(event: &[u8]) -> Option<u64> {
    event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|value| std::str::from_utf8(value).ok())
        .and_then(|value| value.trim().parse().ok())
}
