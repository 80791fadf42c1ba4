//! Output of turns: the data of the events of a stream.

use std::{
    collections::VecDeque,
    sync::Arc, //
};

use bytes::{
    BufMut as _,
    Bytes,
    BytesMut, //
};

use super::turn::Key;

/// Maximum memory of the outputs of streams that callers may take up again.
const MAX_BROKEN_BYTES: usize = 1 << 20;

/// Appends the data of an event and a line feed; an event without a `data` field has no data.
///
/// As in the format of event streams, one space after the colon is not part of the data, and the
/// data of several fields of one event is joined by line feeds.
pub fn append_data(buffer: &mut BytesMut, event: &[u8]) {
    for line in event.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let value = match line.strip_prefix(b"data:") {
            Some(value) => value.strip_prefix(b" ").unwrap_or(value),
            None if line == b"data" => b"",
            None => continue,
        };
        buffer.put_slice(value);
        buffer.put_u8(b'\n');
    }
}

/// Output of a turn, as far as its events have arrived.
#[derive(Clone, Debug, Default)]
pub struct Output {
    data: BytesMut,
    /// Identifier of each event, and the length of the data up to and including it.
    events: Vec<(u64, usize)>,
}

impl Output {
    /// Appends an event.
    pub fn push(&mut self, id: u64, event: &[u8]) {
        append_data(&mut self.data, event);
        self.events.push((id, self.data.len()));
    }

    /// Returns whether there are no events.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// Returns the output up to an event; `None` if the event is not one of its events.
    pub fn up_to(&self, id: u64) -> Option<Self> {
        let position = self.events.iter().position(|(event, _)| *event == id)?;
        let (_, length) = self.events[position];
        Some(Self {
            data: self.data[..length].into(),
            events: self.events[..=position].to_vec(),
        })
    }

    /// Returns the data of all events.
    pub fn into_data(self) -> Bytes {
        self.data.freeze()
    }

    fn memory(&self) -> usize {
        self.data.len() + self.events.len() * size_of::<(u64, usize)>()
    }
}

/// Outputs of streams that broke off at the caller, who may take them up again.
#[derive(Debug, Default)]
pub struct Broken {
    outputs: VecDeque<(Key, Output)>,
    memory: usize,
}

impl Broken {
    /// Keeps the output of a stream; drops the oldest ones if there is no space for it.
    pub fn keep(&mut self, key: Key, output: Output) {
        self.memory += output.memory();
        self.outputs.push_back((key, output));
        while self.memory > MAX_BROKEN_BYTES {
            let Some((_, output)) = self.outputs.pop_front() else {
                return;
            };
            self.memory -= output.memory();
        }
    }

    /// Returns the output of a request's stream up to an event; `None` if it is not known.
    pub fn find(&self, tenant: Option<&Arc<str>>, request: &str, event: u64) -> Option<Output> {
        let mut outputs = self.outputs.iter().rev();
        let (_, output) =
            outputs.find(|(key, _)| key.tenant.as_ref() == tenant && &*key.id == request)?;
        output.up_to(event)
    }
}
