//! Turns that an instance answered or fetched recently.

use std::{
    collections::BTreeMap,
    rc::Rc,
    time::Duration, //
};

use super::{
    tree::Search,
    turn::{
        Key,
        Turn, //
    },
};
use crate::{
    clock::Time,
    hash::Map, //
};

#[derive(Debug)]
struct Entry {
    turn: Rc<Turn>,
    partition: usize,
    /// Time until which the owner of the partition keeps the turn at least.
    until: Time,
    /// Number of the latest use.
    used: u64,
}

/// A cache of turns that evicts the ones not used for the longest time.
#[derive(Debug)]
pub struct Cache {
    turns: Map<Key, Entry>,
    /// Turns by the number of their latest use.
    order: BTreeMap<u64, Key>,
    uses: u64,
    memory: usize,
    max_memory: usize,
}

impl Cache {
    /// Returns an empty cache of at most `max_memory` bytes.
    pub fn new(max_memory: usize) -> Self {
        Self {
            turns: Map::default(),
            order: BTreeMap::new(),
            uses: 0,
            memory: 0,
            max_memory,
        }
    }

    /// Reduces the memory to at most `max_memory` bytes.
    pub fn restrict(&mut self, max_memory: usize) {
        self.max_memory = self.max_memory.min(max_memory);
        self.evict();
    }

    /// Evicts turns while they exceed the memory.
    fn evict(&mut self) {
        while self.memory > self.max_memory {
            let Some((_, key)) = self.order.pop_first() else {
                return;
            };
            if let Some(old) = self.turns.remove(&key) {
                self.memory -= old.turn.memory();
            }
        }
    }

    fn use_turn(&mut self, key: &Key) {
        if let Some(entry) = self.turns.get_mut(key) {
            self.uses += 1;
            self.order.remove(&entry.used);
            entry.used = self.uses;
            self.order.insert(self.uses, key.clone());
        }
    }

    /// Adds a turn of a partition that is safe.
    pub fn insert(&mut self, now: Time, partition: usize, turn: Rc<Turn>) {
        let (key, memory) = (turn.key.clone(), turn.memory());
        let until = now + Duration::from_millis(turn.ttl_ms);
        self.uses += 1;
        let entry = Entry {
            turn,
            partition,
            until,
            used: self.uses,
        };
        self.order.insert(self.uses, key.clone());
        self.memory += memory;
        if let Some(old) = self.turns.insert(key, entry) {
            self.order.remove(&old.used);
            self.memory -= old.turn.memory();
        }
        self.evict();
    }

    /// Returns the partition of a turn, and the turn with all turns before it.
    ///
    /// A turn that its owner may have dropped is not found: one that continues it would be kept
    /// without the turns before it.
    pub fn chain(&mut self, now: Time, key: &Key, limit: usize) -> Option<(usize, Search)> {
        let last = self.turns.get(key).filter(|entry| now < entry.until)?;
        let partition = last.partition;
        let (mut chain, mut length) = (Vec::new(), 0);
        let mut next = Some(key.clone());
        while let Some(key) = next {
            let entry = self.turns.get(&key)?;
            length += entry.turn.length();
            if length > limit {
                return Some((partition, Search::TooLong));
            }
            if entry.turn.output.is_none() || chain.len() >= self.turns.len() {
                return None;
            }
            chain.push(entry.turn.clone());
            next = entry.turn.parent();
        }
        chain.reverse();
        for turn in &chain {
            self.use_turn(&turn.key);
        }
        Some((partition, Search::Found(chain)))
    }

    /// Returns the time until which the owner of its partition keeps a turn at least.
    pub fn kept_until(&self, key: &Key) -> Option<Time> {
        self.turns.get(key).map(|entry| entry.until)
    }

    /// Returns the memory of all turns, about.
    pub fn memory(&self) -> usize {
        self.memory
    }
}
