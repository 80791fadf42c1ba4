//! Entries visible to clients, and changes pending until their lag has passed.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use super::{
    Entry,
    Faults,
    Stats, //
};

type Key = (String, String);

struct Change {
    due: Instant,
    key: Key,
    entry: Option<Entry>,
}

pub(super) struct Catalog {
    pub(super) faults: Faults,
    lag: Duration,
    visible: BTreeMap<Key, Entry>,
    pending: VecDeque<Change>,
    index: u64,
    requests: u64,
    changes: u64,
}

impl Catalog {
    pub(super) fn new(lag: Duration) -> Self {
        Self {
            faults: Faults::default(),
            lag,
            visible: BTreeMap::new(),
            pending: VecDeque::new(),
            index: 1,
            requests: 0,
            changes: 0,
        }
    }

    pub(super) fn put(&mut self, entry: Entry) {
        let key = (entry.service.clone(), entry.id.clone());
        self.change(key, Some(entry));
    }

    /// Adds or replaces an entry that is visible immediately.
    pub(super) fn put_now(&mut self, entry: Entry) {
        self.index += 1;
        let key = (entry.service.clone(), entry.id.clone());
        self.visible.insert(key, entry);
    }

    pub(super) fn remove(&mut self, service: &str, id: &str) {
        self.change((service.to_owned(), id.to_owned()), None);
    }

    fn change(&mut self, key: Key, entry: Option<Entry>) {
        let lag = self.faults.lag_ms.map_or(self.lag, Duration::from_millis);
        let due = Instant::now() + lag;
        self.changes += 1;
        self.pending.push_back(Change { due, key, entry });
    }

    /// Applies the changes that are due, in order, unless the list is frozen.
    fn apply_due(&mut self) {
        let due = |change: &Change| change.due <= Instant::now();
        while !self.faults.frozen && self.pending.front().is_some_and(due) {
            let Some(change) = self.pending.pop_front() else {
                return;
            };
            self.index += 1;
            match change.entry {
                Some(entry) => self.visible.insert(change.key, entry),
                None => self.visible.remove(&change.key),
            };
        }
    }

    /// Counts a request.
    pub(super) fn count_request(&mut self) {
        self.requests += 1;
    }

    /// Returns the index of the list and the visible entries of a service.
    pub(super) fn query(&mut self, service: &str) -> (u64, Vec<Entry>) {
        self.apply_due();
        if self.faults.empty {
            return (self.index, Vec::new());
        }
        let of_service = |entry: &&Entry| entry.service == service;
        let entries = self.visible.values().filter(of_service).cloned().collect();
        (self.index, entries)
    }

    pub(super) fn stats(&mut self) -> Stats {
        self.apply_due();
        Stats {
            requests: self.requests,
            changes: self.changes,
            pending: self.pending.len() as u64,
            visible: self.visible.values().cloned().collect(),
        }
    }
}
