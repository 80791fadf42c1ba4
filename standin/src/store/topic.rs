//! A partition: records, and the newest value of each key.

use std::{
    collections::BTreeMap,
    ops::Bound, //
};

use bytes::{
    Buf as _,
    Bytes, //
};

/// One partition of a topic.
#[derive(Default)]
pub(super) struct Partition {
    first: u64,
    records: Vec<Bytes>,
    /// Newest value of each key and its offset, in a keyed topic. A key may hold any bytes.
    newest: BTreeMap<Bytes, (Bytes, u64)>,
}

impl Partition {
    /// Appends records; returns the offset of the first one and the new end.
    pub(super) fn append(&mut self, keyed: bool, records: Vec<Bytes>) -> (u64, u64) {
        let offset = self.end();
        for record in records {
            if keyed {
                self.update_newest(record.clone());
            }
            self.records.push(record);
        }
        (offset, self.end())
    }

    fn update_newest(&mut self, mut record: Bytes) {
        if record.is_empty() {
            return;
        }
        let length = usize::from(record.get_u8()).min(record.len());
        let key = record.split_to(length);
        match record.is_empty() {
            true => self.newest.remove(&key),
            false => self.newest.insert(key, (record, self.end())),
        };
    }

    /// Drops all records; the newest value of each key stays.
    pub(super) fn truncate(&mut self) {
        self.first = self.end();
        self.records.clear();
    }

    /// Drops the records before an offset.
    pub(super) fn trim(&mut self, before: u64) {
        let before = before.clamp(self.first, self.end());
        self.records.drain(..(before - self.first) as usize);
        self.first = before;
    }

    /// Returns the offset of the first retained record.
    pub(super) fn first(&self) -> u64 {
        self.first
    }

    /// Returns the offset of the next record.
    pub(super) fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    /// Returns the records from an offset on, or `None` if some of them were dropped.
    pub(super) fn read(&self, from: u64) -> Option<&[Bytes]> {
        let skip = usize::try_from(from.checked_sub(self.first)?).ok()?;
        Some(self.records.get(skip..).unwrap_or_default())
    }

    /// Returns the newest value of each key after `after` and its offset, in the order of the keys.
    pub(super) fn newest(
        &self,
        after: Option<&[u8]>,
    ) -> impl Iterator<Item = (&Bytes, &(Bytes, u64))> {
        let after = after.map_or(Bound::Unbounded, Bound::Excluded);
        self.newest.range::<[u8], _>((after, Bound::Unbounded))
    }
}
