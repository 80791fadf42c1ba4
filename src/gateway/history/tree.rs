//! Turns of a partition, linked to the turns from which they continue.

use std::{
    rc::Rc,
    time::Duration, //
};

use super::turn::{
    Key,
    Turn, //
};
use crate::{
    clock::Time,
    hash::{
        Map,
        Set, //
    },
};

/// Time for which a turn is kept, relative to the time for which it can be continued: a turn that
/// continues it runs for seconds before it is kept itself.
const KEEP_SHARE: f64 = 1.25;

/// Place of a turn in the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Place {
    /// Lowest offset of its records.
    pub offset: u64,
    /// Wall-clock time of the append in milliseconds.
    pub appended_ms: u64,
}

/// Result of a search for a turn with all turns before it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Search {
    /// The turns, oldest first.
    Found(Vec<Rc<Turn>>),
    /// There is no such turn.
    Unknown,
    /// The turn exists, but one before it is missing, or the output of one is not known.
    Incomplete,
    /// The turns are longer than the limit.
    TooLong,
}

#[derive(Debug)]
struct Entry {
    turn: Rc<Turn>,
    /// Time until which the turn itself is kept; it is also kept for turns that continue it.
    until: Time,
    /// Place of its newest copy in the log; `None` while it is not in the log.
    place: Option<Place>,
}

/// Turns of a partition.
#[derive(Debug, Default)]
pub struct Tree {
    turns: Map<Key, Entry>,
    memory: usize,
}

impl Tree {
    /// Adds a turn; one that is known already gets its place in the log.
    pub fn insert(&mut self, now: Time, turn: Rc<Turn>, place: Option<Place>) {
        if let Some(entry) = self.turns.get_mut(&turn.key) {
            let newer = place.map(|place| place.offset) > entry.place.map(|place| place.offset);
            if newer {
                entry.place = place;
            }
            return;
        }
        self.memory += turn.memory();
        let until = now + keep_time(&turn);
        let key = turn.key.clone();
        self.turns.insert(key, Entry { turn, until, place });
    }

    /// Returns a turn with all turns before it, if they have at most `limit` bytes; keeps it for as
    /// long as a new one.
    pub fn chain(&mut self, now: Time, key: &Key, limit: usize) -> Search {
        if !self.turns.contains_key(key) {
            return Search::Unknown;
        }
        self.retain(now, key);
        let (mut chain, mut length) = (Vec::new(), 0);
        let mut next = Some(key.clone());
        while let Some(key) = next {
            let Some(entry) = self.turns.get(&key) else {
                return Search::Incomplete;
            };
            length += entry.turn.length();
            if length > limit {
                return Search::TooLong;
            }
            // A caller that uses an identifier twice may close a cycle.
            if entry.turn.output.is_none() || chain.len() >= self.turns.len() {
                return Search::Incomplete;
            }
            chain.push(entry.turn.clone());
            next = entry.turn.parent();
        }
        chain.reverse();
        Search::Found(chain)
    }

    /// Returns whether a turn is in the log.
    pub fn is_stored(&self, key: &Key) -> bool {
        let entry = self.turns.get(key);
        entry.is_some_and(|entry| entry.place.is_some())
    }

    /// Keeps a turn for as long as a new one.
    pub fn retain(&mut self, now: Time, key: &Key) {
        if let Some(entry) = self.turns.get_mut(key) {
            entry.until = entry.until.max(now + keep_time(&entry.turn));
        }
    }

    /// Returns whether a turn is missing that another one continues.
    pub fn is_broken(&self) -> bool {
        let mut parents = self.turns.values().filter_map(|entry| entry.turn.parent());
        parents.any(|parent| !self.turns.contains_key(&parent))
    }

    /// Drops the turns that no turn needs any more.
    pub fn sweep(&mut self, now: Time) {
        let mut needed = Set::default();
        let live = self.turns.values().filter(|entry| entry.until > now);
        for entry in live {
            let mut next = Some(entry.turn.key.clone());
            while let Some(entry) = next.and_then(|key| self.turns.get(&key)) {
                if !needed.insert(entry.turn.key.clone()) {
                    break;
                }
                next = entry.turn.parent();
            }
        }
        self.turns.retain(|key, _| needed.contains(key));
        let memory = self.turns.values().map(|entry| entry.turn.memory());
        self.memory = memory.sum();
    }

    /// Returns the lowest offset of a turn in the log.
    pub fn floor(&self) -> Option<u64> {
        let places = self.turns.values().filter_map(|entry| entry.place);
        places.map(|place| place.offset).min()
    }

    /// Returns the turns whose newest copy in the log is older than `before_ms`.
    pub fn appended_before(&self, before_ms: u64) -> Vec<Rc<Turn>> {
        let old = |entry: &&Entry| {
            let place = entry.place;
            place.is_some_and(|place| place.appended_ms < before_ms)
        };
        let entries = self.turns.values().filter(old);
        entries.map(|entry| entry.turn.clone()).collect()
    }

    /// Returns the memory of all turns, about.
    pub fn memory(&self) -> usize {
        self.memory
    }

    /// Returns the number of turns.
    pub fn len(&self) -> usize {
        self.turns.len()
    }

    /// Returns whether there are no turns.
    pub fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }
}

fn keep_time(turn: &Turn) -> Duration {
    Duration::from_millis(turn.ttl_ms).mul_f64(KEEP_SHARE)
}
