//! Turns, their records in the log, and the prompt that a chain of turns gives.

use std::sync::Arc;

use bytes::{
    Bytes,
    BytesMut, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    clock::Time,
    hash::{
        self,
        Map, //
    },
};

/// Maximum content of a record; a record of the log has at most 262,144 bytes.
pub const MAX_RECORD_BYTES: usize = 200_000;

/// Identity of a turn. A turn of another tenant is another turn, also if it has the same identifier.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Key {
    /// Name of the tenant.
    #[serde(rename = "t", default)]
    pub tenant: Option<Arc<str>>,
    /// Identifier of the request that answered the turn.
    #[serde(rename = "i")]
    pub id: Arc<str>,
}

/// A turn that was answered.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Turn {
    /// Identity.
    #[serde(rename = "k")]
    pub key: Key,
    /// Identifier of the turn from which it continues; `None` for the first turn of a chain.
    #[serde(rename = "p", default)]
    pub previous: Option<Arc<str>>,
    /// Program that it belongs to.
    #[serde(rename = "g", default)]
    pub program: Option<Arc<str>>,
    /// New input.
    #[serde(rename = "n")]
    pub input: Bytes,
    /// Data of the events, each followed by a line feed; `None` if it is not known as a whole.
    #[serde(rename = "o")]
    pub output: Option<Bytes>,
    /// Time for which the turn can be continued, in milliseconds.
    #[serde(rename = "l")]
    pub ttl_ms: u64,
}

impl Turn {
    /// Returns the identity of the turn from which this one continues.
    pub fn parent(&self) -> Option<Key> {
        self.previous.as_ref().map(|previous| Key {
            tenant: self.key.tenant.clone(),
            id: previous.clone(),
        })
    }

    /// Returns the bytes that the turn adds to a prompt.
    pub fn length(&self) -> usize {
        self.input.len() + self.output.as_ref().map_or(0, Bytes::len)
    }

    /// Returns the memory that the turn takes, about.
    pub fn memory(&self) -> usize {
        // Identifiers, reference counts, and the entry of the map.
        const OVERHEAD: usize = 512;
        self.length() + OVERHEAD
    }

    /// Returns a decoded turn in memory of its length: the decoder doubles a buffer while it reads into it.
    fn fit(self) -> Self {
        let copy = |bytes: Bytes| Bytes::copy_from_slice(&bytes);
        Self {
            input: copy(self.input),
            output: self.output.map(copy),
            ..self
        }
    }
}

/// Returns the prompt of a turn: all turns before it from the oldest on, and its input.
pub fn assemble<'a>(chain: impl IntoIterator<Item = &'a Turn> + Clone, input: &[u8]) -> Bytes {
    let length = chain.clone().into_iter().map(Turn::length).sum::<usize>();
    let mut prompt = BytesMut::with_capacity(length + input.len());
    for turn in chain {
        prompt.extend_from_slice(&turn.input);
        prompt.extend_from_slice(turn.output.as_deref().unwrap_or_default());
    }
    prompt.extend_from_slice(input);
    prompt.freeze()
}

/// Returns the turns of a chain with the bytes of the prompt that [`assemble`] made of them in place
/// of their own.
pub fn disassemble<'a>(chain: impl IntoIterator<Item = &'a Turn>, prompt: &Bytes) -> Vec<Turn> {
    let mut rest = prompt.clone();
    let chain = chain.into_iter().map(|turn| Turn {
        key: turn.key.clone(),
        previous: turn.previous.clone(),
        program: turn.program.clone(),
        input: rest.split_to(turn.input.len()),
        output: turn
            .output
            .as_ref()
            .map(|output| rest.split_to(output.len())),
        ttl_ms: turn.ttl_ms,
    });
    chain.collect()
}

/// Returns the partition of the turns of a program, or of a turn without a program.
pub fn partition_of(name: &str, partitions: usize) -> usize {
    (hash::stable(name.as_bytes()) % partitions.max(1) as u64) as usize
}

/// Record of the log.
#[derive(Deserialize, Serialize)]
enum Record {
    /// A turn, and the wall-clock time of the append in milliseconds.
    #[serde(rename = "w")]
    Whole(u64, Turn),
    /// Part of an encoded record that is too long for one.
    #[serde(rename = "p")]
    Part {
        /// Hash of the encoded record.
        #[serde(rename = "s")]
        set: u64,
        /// Position of the part.
        #[serde(rename = "i")]
        index: u32,
        /// Number of parts.
        #[serde(rename = "n")]
        count: u32,
        /// Bytes of the part.
        #[serde(rename = "b")]
        bytes: Bytes,
    },
}

fn write(record: &Record) -> Bytes {
    let mut bytes = Vec::new();
    ciborium::into_writer(record, &mut bytes).expect("a record is always serialisable to memory");
    bytes.into()
}

/// Encodes a turn as records of the log.
pub fn encode(turn: &Turn, appended_ms: u64) -> Vec<Bytes> {
    let whole = write(&Record::Whole(appended_ms, turn.clone()));
    if whole.len() <= MAX_RECORD_BYTES {
        return vec![whole];
    }
    let set = hash::stable(&whole);
    let count = whole.len().div_ceil(MAX_RECORD_BYTES) as u32;
    let part = |index: u32| {
        let start = index as usize * MAX_RECORD_BYTES;
        let end = whole.len().min(start + MAX_RECORD_BYTES);
        let bytes = whole.slice(start..end);
        write(&Record::Part {
            set,
            index,
            count,
            bytes,
        })
    };
    (0..count).map(part).collect()
}

/// A turn that was read from the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Stored {
    /// The turn.
    pub turn: Turn,
    /// Lowest offset of its records.
    pub offset: u64,
    /// Wall-clock time of the append in milliseconds.
    pub appended_ms: u64,
}

#[derive(Debug)]
struct Parts {
    offset: u64,
    since: Time,
    parts: Map<u32, Bytes>,
}

/// Decoder of records; a turn in several parts exists once all of them were read.
#[derive(Debug, Default)]
pub struct Decoder {
    incomplete: Map<u64, Parts>,
}

impl Decoder {
    /// Decodes a record; returns a turn if it is complete.
    pub fn decode(
        &mut self,
        now: Time,
        offset: u64,
        record: &[u8],
    ) -> Result<Option<Stored>, ciborium::de::Error<std::io::Error>> {
        let (set, index, count, bytes) = match ciborium::from_reader(record)? {
            Record::Whole(appended_ms, turn) => {
                return Ok(Some(Stored {
                    turn: turn.fit(),
                    offset,
                    appended_ms,
                }));
            }
            Record::Part {
                set,
                index,
                count,
                bytes,
            } => (set, index, count, bytes),
        };
        let parts = self.incomplete.entry(set).or_insert_with(|| Parts {
            offset,
            since: now,
            parts: Map::default(),
        });
        parts.offset = parts.offset.min(offset);
        parts.parts.insert(index, bytes);
        if (parts.parts.len() as u32) < count {
            return Ok(None);
        }
        let offset = parts.offset;
        let parts = self.incomplete.remove(&set).map(|parts| parts.parts);
        let parts = parts.unwrap_or_default();
        let whole = (0..count).filter_map(|index| parts.get(&index));
        let whole: Vec<u8> = whole.flatten().copied().collect();
        match ciborium::from_reader(&whole[..])? {
            Record::Whole(appended_ms, turn) => Ok(Some(Stored {
                turn: turn.fit(),
                offset,
                appended_ms,
            })),
            Record::Part { .. } => Ok(None),
        }
    }

    /// Returns the memory of the parts of incomplete turns, about.
    pub fn memory(&self) -> usize {
        let parts = self.incomplete.values().flat_map(|set| set.parts.values());
        parts.map(Bytes::len).sum()
    }

    /// Drops the parts of turns that were begun before `since` and never completed.
    pub fn expire(&mut self, since: Time) {
        self.incomplete.retain(|_, parts| parts.since >= since);
    }

    /// Returns the lowest offset of a part of an incomplete turn.
    pub fn floor(&self) -> Option<u64> {
        self.incomplete.values().map(|parts| parts.offset).min()
    }
}
