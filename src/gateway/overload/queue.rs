//! Order of the turns that wait for an engine.

use std::{
    cmp::Reverse,
    time::Duration, //
};

use crate::{
    clock::Time,
    hash::Map, //
};

/// Wait after which a turn moves ahead by one class, and again after the same time.
const AGING: Duration = Duration::from_secs(1);

/// Time after its latest start for which a program still counts as one that ends in time: the error
/// of the learned share.
const TOLERANCE: Duration = Duration::from_millis(100);

/// Usual load of a group that counts as one turn of the round-robin. Groups differ a hundredfold in
/// their usual load; with one turn each, a burst of all would hit the large ones alone.
const QUANTUM: Duration = Duration::from_millis(250);

/// Decay time of a group's usual load; longer than a surge.
const USUAL_DECAY: Duration = Duration::from_secs(30);

/// A turn that waits.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    /// Time of its arrival.
    pub arrived: Time,
    /// Rank of its tenant or route; 0 is the most urgent.
    pub priority: u8,
    /// Whether a turn of its program ran before.
    pub begun: bool,
    /// Whether its program has far more turns than others.
    pub runaway: bool,
    /// Latest start for the program to end in time; `None` if it is late.
    pub latest_start: Option<Time>,
    /// Latest start of any use to the caller.
    pub expiry: Time,
    /// Tenant, or else host and program, that gets a fair share among equals.
    pub group: u64,
    /// Whether the requester waits for the answer to its latest request.
    pub listening: bool,
    /// Time of the latest request for it.
    pub polled: Time,
}

impl Entry {
    /// Returns its class: 0 for programs that can end in time, 1 for late ones, 2 for runaways.
    pub fn class(&self, now: Time) -> i64 {
        if self.runaway {
            return 2;
        }
        match self.latest_start {
            Some(latest) if now <= latest + TOLERANCE => 0,
            _ => 1,
        }
    }

    fn rank(&self, now: Time) -> (i64, u8) {
        let steps = now.since(self.arrived).as_micros() / AGING.as_micros();
        let class = self.class(now) - steps as i64;
        (class, self.priority)
    }
}

/// Turns of a group that were taken, decayed up to `at`.
#[derive(Clone, Copy, Debug, Default)]
struct Usual {
    turns: f64,
    at: Time,
}

impl Usual {
    fn turns(&self, now: Time) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.turns * (-age / USUAL_DECAY.as_secs_f64()).exp()
    }
}

/// The turns of one service that wait, by `K`.
#[derive(Debug)]
pub struct Queue<K> {
    entries: Map<K, Entry>,
    usual: Map<u64, Usual>,
}

impl<K> Default for Queue<K> {
    fn default() -> Self {
        Self {
            entries: Map::default(),
            usual: Map::default(),
        }
    }
}

impl<K: Clone + Eq + std::hash::Hash + Ord> Queue<K> {
    /// Adds a turn.
    pub fn push(&mut self, key: K, entry: Entry) {
        self.entries.insert(key, entry);
    }

    /// Returns a turn to change it.
    pub fn get_mut(&mut self, key: &K) -> Option<&mut Entry> {
        self.entries.get_mut(key)
    }

    /// Returns a turn.
    pub fn get(&self, key: &K) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Removes a turn that does not wait any longer.
    pub fn remove(&mut self, key: &K) -> Option<Entry> {
        self.entries.remove(key)
    }

    /// Counts a turn of a group that is sent to an engine.
    pub fn taken(&mut self, now: Time, group: u64) {
        let usual = self.usual.entry(group).or_default();
        usual.turns = usual.turns(now) + 1.0;
        usual.at = now;
    }

    /// Returns the number of turns.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no turn waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the turns that wait, by class.
    pub fn classes(&self, now: Time) -> [usize; 3] {
        let mut classes = [0; 3];
        for entry in self.entries.values() {
            classes[entry.class(now) as usize] += 1;
        }
        classes
    }

    /// Returns the turns in the order in which they are sent.
    pub fn sequence(&self, now: Time) -> Vec<K> {
        let mut keys: Vec<_> = self.entries.iter().collect();
        let due = |entry: &Entry| entry.latest_start.unwrap_or(entry.expiry);
        keys.sort_by_cached_key(|(key, entry)| {
            let begun = Reverse(entry.begun);
            (entry.rank(now), begun, due(entry), (*key).clone())
        });
        // Round-robin over groups among turns of the same rank, by the usual load of a group; in each
        // round, programs in progress go first. Otherwise the programs that a tenant in a surge has in
        // progress would go ahead of all new ones of the others.
        let mut seen: Map<_, u32> = Map::default();
        let mut rounds = Vec::with_capacity(keys.len());
        for (key, entry) in keys {
            let rank = entry.rank(now);
            let seen = seen.entry((rank, entry.group)).or_default();
            let usual = self.usual.get(&entry.group).map_or(0.0, |u| u.turns(now));
            let quantum = usual / USUAL_DECAY.as_secs_f64() * QUANTUM.as_secs_f64();
            let round = (f64::from(*seen) / quantum.max(1.0)) as u32;
            *seen += 1;
            rounds.push(((rank, round, Reverse(entry.begun)), key.clone()));
        }
        rounds.sort_by_key(|(order, _)| *order);
        rounds.into_iter().map(|(_, key)| key).collect()
    }

    /// Removes turns that were not requested again within `ttl`, and returns them.
    pub fn expire(&mut self, now: Time, ttl: Duration) -> Vec<K> {
        let old = |entry: &Entry| now.since(entry.polled) >= ttl;
        let keys = self.entries.iter().filter(|(_, entry)| old(entry));
        let keys: Vec<_> = keys.map(|(key, _)| key.clone()).collect();
        self.entries.retain(|_, entry| !old(entry));
        self.usual.retain(|_, usual| usual.turns(now) >= 0.1);
        keys
    }
}
