//! Incremental parser for server-sent events.

use std::mem;

use thiserror::Error;

/// Reason why a stream of events is rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Error)]
pub enum Fault {
    /// A line or the data of an event is longer than the limit.
    #[error("an event is longer than {0} bytes")]
    TooLong(usize),
    /// The data of an event is not UTF-8.
    #[error("an event is not UTF-8")]
    Encoding,
}

/// Splits a byte stream into the data of its events.
///
/// Event names, identifiers and comments are skipped, as chat completions do not use them.
#[derive(Debug)]
pub struct Parser {
    limit: usize,
    /// Received bytes; those before `start` belong to consumed lines.
    buffer: Vec<u8>,
    start: usize,
    /// Position up to which no end of line was found after `start`.
    scanned: usize,
    /// Set after a line that ended in CR: an LF that follows belongs to the same line end.
    skip_lf: bool,
    /// Set after the first line, which may begin with a byte order mark.
    first_line_seen: bool,
    data: Vec<u8>,
    /// Whether the current event has a data line, which may be empty.
    has_data: bool,
}

impl Parser {
    /// Returns a parser that rejects lines and events longer than `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            buffer: Vec::new(),
            start: 0,
            scanned: 0,
            skip_lf: false,
            first_line_seen: false,
            data: Vec::new(),
            has_data: false,
        }
    }

    /// Appends bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.start);
        self.scanned -= self.start;
        self.start = 0;
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the data of the next complete event, or `None` if more bytes are needed.
    pub fn event(&mut self) -> Result<Option<String>, Fault> {
        while let Some((from, to)) = self.next_line()? {
            if from == to {
                if mem::take(&mut self.has_data) {
                    let data = mem::take(&mut self.data);
                    return String::from_utf8(data)
                        .map(Some)
                        .map_err(|_| Fault::Encoding);
                }
            } else {
                self.process_field(from, to)?;
            }
        }
        Ok(None)
    }

    /// Consumes the next complete line and returns its range in the buffer.
    fn next_line(&mut self) -> Result<Option<(usize, usize)>, Fault> {
        if self.skip_lf && self.start < self.buffer.len() {
            self.skip_lf = false;
            if self.buffer[self.start] == b'\n' {
                self.start += 1;
                self.scanned = self.scanned.max(self.start);
            }
        }
        let end = self.buffer[self.scanned..]
            .iter()
            .position(|byte| matches!(byte, b'\n' | b'\r'))
            .map(|at| self.scanned + at);
        let length = end.unwrap_or(self.buffer.len()) - self.start;
        if length > self.limit {
            return Err(Fault::TooLong(self.limit));
        }
        let Some(end) = end else {
            self.scanned = self.buffer.len();
            return Ok(None);
        };
        let mut from = self.start;
        if !mem::replace(&mut self.first_line_seen, true)
            && self.buffer[from..end].starts_with(b"\xef\xbb\xbf")
        {
            from += 3;
        }
        self.skip_lf = self.buffer[end] == b'\r';
        self.start = end + 1;
        self.scanned = self.start;
        Ok(Some((from, end)))
    }

    /// Processes a non-empty line.
    fn process_field(&mut self, from: usize, to: usize) -> Result<(), Fault> {
        let line = &self.buffer[from..to];
        let Some(rest) = line.strip_prefix(b"data") else {
            return Ok(());
        };
        let value = match rest.split_first() {
            None => rest,
            Some((b':', value)) => value.strip_prefix(b" ").unwrap_or(value),
            Some(_) => return Ok(()),
        };
        if self.data.len() + value.len() >= self.limit {
            return Err(Fault::TooLong(self.limit));
        }
        if mem::replace(&mut self.has_data, true) {
            self.data.push(b'\n');
        }
        self.data.extend_from_slice(value);
        Ok(())
    }
}
