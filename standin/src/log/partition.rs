//! A partition: records and retention.

use std::{
    cell::OnceCell,
    collections::VecDeque, //
};

use bytes::Bytes;

use super::Retention;

/// A stored record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Offset in the partition.
    pub offset: u64,
    /// Time of the append in microseconds since the Unix epoch.
    pub at: u64,
    /// Key, if the producer gave one.
    pub key: Option<Bytes>,
    /// Value; `None` is a null value.
    pub value: Option<Bytes>,
    /// Cached JSON in the binary format, set by the first read.
    pub(super) binary: OnceCell<Bytes>,
    /// Cached JSON in the JSON format, set by the first read.
    pub(super) json: OnceCell<Bytes>,
}

impl Entry {
    /// Returns the size of key and value in bytes, which counts towards the limits of a read.
    pub fn size(&self) -> usize {
        let size = |bytes: &Option<Bytes>| bytes.as_ref().map_or(0, Bytes::len);
        size(&self.key) + size(&self.value)
    }
}

/// Key and value of a record to append.
pub type Pair = (Option<Bytes>, Option<Bytes>);

/// An append-only sequence of records, of which the oldest expire.
#[derive(Debug, Default)]
pub struct Partition {
    entries: VecDeque<Entry>,
    end: u64,
}

impl Partition {
    /// Appends records in order and returns the offset of the first.
    pub fn append(&mut self, at: u64, pairs: Vec<Pair>) -> u64 {
        let first = self.end;
        for (key, value) in pairs {
            let offset = self.end;
            self.entries.push_back(Entry {
                offset,
                at,
                key,
                value,
                binary: OnceCell::new(),
                json: OnceCell::new(),
            });
            self.end += 1;
        }
        first
    }

    /// Removes the records past the retention limits; `now` is in microseconds.
    pub fn expire(&mut self, now: u64, retention: Retention) {
        let oldest = retention
            .age_ms
            .map_or(0, |age| now.saturating_sub(age.saturating_mul(1_000)));
        let count = retention.count.unwrap_or(u64::MAX);
        while let Some(entry) = self.entries.front() {
            if entry.at >= oldest && self.entries.len() as u64 <= count {
                break;
            }
            self.entries.pop_front();
        }
    }

    /// Removes the records before `offset`.
    pub fn trim(&mut self, offset: u64) {
        while self
            .entries
            .front()
            .is_some_and(|entry| entry.offset < offset)
        {
            self.entries.pop_front();
        }
    }

    /// Returns the offset of the oldest retained record.
    pub fn begin(&self) -> u64 {
        self.entries.front().map_or(self.end, |entry| entry.offset)
    }

    /// Returns the offset of the next record.
    pub fn end(&self) -> u64 {
        self.end
    }

    /// Returns the retained records from `offset` on.
    pub fn records_from(&self, offset: u64) -> impl Iterator<Item = &Entry> {
        let skip = offset.saturating_sub(self.begin());
        self.entries.iter().skip(skip as usize)
    }
}
