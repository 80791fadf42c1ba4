//! KV-cache memory of the engine, shared by running requests and cached prefixes.

use std::collections::{
    BTreeMap,
    VecDeque, //
};

use rand::{
    rngs::SmallRng,
    RngExt,
    SeedableRng, //
};
use serde::Serialize;

use super::prompt::{
    common,
    Mark, //
};
use crate::{
    now,
    Map, //
};

/// Maximum number of retained cache events.
const EVENTS_KEPT: usize = 10_000;

/// A cached prefix that no running request uses.
#[derive(Clone, Debug)]
pub struct Slot {
    /// Identifier, never reused.
    pub id: u64,
    /// Cache key of the request that computed the prefix.
    pub key: String,
    /// Cached prefixes, the longest one last.
    pub chain: Vec<Mark>,
    /// Tokens in memory.
    pub tokens: u64,
}

/// Kind of a cache event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A prefix was stored.
    Stored,
    /// A prefix was removed for lack of memory.
    Evicted,
    /// A prefix was erased through the API.
    Erased,
}

/// A published change of the cache.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Event {
    /// Sequence number; a gap means that events were lost.
    pub seq: u64,
    /// Time in microseconds since the Unix epoch.
    pub at: u64,
    /// Kind of the change.
    pub kind: Kind,
    /// Key of the cache.
    pub cache_key: String,
    /// Stored or removed tokens.
    pub tokens: u64,
}

/// Memory with a capacity in tokens; evicts the least recently used prefixes.
pub struct Cache {
    capacity: u64,
    busy: u64,
    idle: u64,
    slots: BTreeMap<u64, Slot>,
    keys: Map<String, u64>,
    next: u64,
    events: VecDeque<Event>,
    seq: u64,
    loss: f64,
    rng: SmallRng,
    /// Number of evicted prefixes.
    pub evictions: u64,
    /// Tokens of evicted prefixes by key.
    pub evicted: BTreeMap<String, u64>,
}

impl Cache {
    /// Creates an empty cache; `loss` is the probability that an event is lost.
    pub fn new(capacity: u64, loss: f64, seed: u64) -> Self {
        Self {
            capacity,
            busy: 0,
            idle: 0,
            slots: BTreeMap::new(),
            keys: Map::default(),
            next: 0,
            events: VecDeque::new(),
            seq: 0,
            loss,
            rng: SmallRng::seed_from_u64(seed),
            evictions: 0,
            evicted: BTreeMap::new(),
        }
    }

    /// Returns the fraction of the memory in use.
    pub fn used(&self) -> f64 {
        (self.busy + self.idle) as f64 / self.capacity.max(1) as f64
    }

    /// Reserves `need` tokens for a request and returns its cached prefix; `None` if they
    /// don't fit beside the running requests.
    pub fn admit(&mut self, key: &str, chain: &[Mark], need: u64) -> Option<Mark> {
        if self.busy + need > self.capacity {
            return None;
        }
        let held = self.keys.get(key).copied();
        let slot = held.and_then(|id| self.remove(id));
        let found = slot.map_or(Mark::default(), |slot| common(&slot.chain, chain));
        self.busy += need;
        self.shrink();
        Some(found)
    }

    /// Releases the memory of a request and caches the prefix that it computed.
    pub fn release(&mut self, key: &str, chain: Vec<Mark>, need: u64) {
        self.busy -= need;
        self.store(key, chain);
    }

    /// Stores a prefix as the most recently used one.
    pub fn store(&mut self, key: &str, chain: Vec<Mark>) {
        let tokens = chain.last().map_or(0, |mark| mark.tokens());
        if let Some(id) = self.keys.get(key).copied() {
            self.remove(id);
        }
        if tokens == 0 {
            return;
        }
        // Identifiers ascend in the order of use, so the first slot is the least recently used.
        let id = self.next;
        self.next += 1;
        self.idle += tokens;
        self.keys.insert(key.to_owned(), id);
        let key = key.to_owned();
        self.note(Kind::Stored, &key, tokens);
        let slot = Slot {
            id,
            key,
            chain,
            tokens,
        };
        self.slots.insert(id, slot);
        self.shrink();
    }

    /// Erases one slot.
    pub fn erase(&mut self, id: u64) -> Option<Slot> {
        let slot = self.remove(id)?;
        self.note(Kind::Erased, &slot.key, slot.tokens);
        Some(slot)
    }

    /// Returns the slots that no running request uses.
    pub fn slots(&self) -> impl Iterator<Item = &Slot> {
        self.slots.values()
    }

    /// Returns the events with a number above `since` and a time up to `until`.
    pub fn events(&self, since: u64, until: u64) -> Vec<Event> {
        let shown = |event: &&Event| event.seq > since && event.at <= until;
        self.events.iter().filter(shown).cloned().collect()
    }

    fn remove(&mut self, id: u64) -> Option<Slot> {
        let slot = self.slots.remove(&id)?;
        self.keys.remove(&slot.key);
        self.idle -= slot.tokens;
        Some(slot)
    }

    fn shrink(&mut self) {
        while self.busy + self.idle > self.capacity {
            let Some(id) = self.slots.keys().next().copied() else {
                return;
            };
            if let Some(slot) = self.remove(id) {
                self.evictions += 1;
                *self.evicted.entry(slot.key.clone()).or_default() += slot.tokens;
                self.note(Kind::Evicted, &slot.key, slot.tokens);
            }
        }
    }

    fn note(&mut self, kind: Kind, key: &str, tokens: u64) {
        self.seq += 1;
        if self.loss > 0.0 && self.rng.random::<f64>() < self.loss {
            return;
        }
        if self.events.len() == EVENTS_KEPT {
            self.events.pop_front();
        }
        self.events.push_back(Event {
            seq: self.seq,
            at: now(),
            kind,
            cache_key: key.to_owned(),
            tokens,
        });
    }
}
