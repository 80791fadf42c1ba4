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
    common_prefix,
    Prefix, //
};
use crate::{
    now,
    Map, //
};

/// Maximum number of retained cache events.
const MAX_EVENTS: usize = 10_000;

/// A cached prefix that no running request uses.
#[derive(Clone, Debug)]
pub struct Slot {
    /// Identifier, never reused.
    pub id: u64,
    /// Cache key of the request that computed the prefix.
    pub key: String,
    /// Cached prefixes, the longest one last.
    pub prefixes: Vec<Prefix>,
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
    /// Cache key of the prefix.
    pub cache_key: String,
    /// Stored or removed tokens.
    pub tokens: u64,
}

/// Memory with a capacity in tokens; evicts the least recently used prefixes.
pub struct Cache {
    capacity: u64,
    running_tokens: u64,
    cached_tokens: u64,
    slots: BTreeMap<u64, Slot>,
    keys: Map<String, u64>,
    next_id: u64,
    events: VecDeque<Event>,
    seq: u64,
    event_loss: f64,
    rng: SmallRng,
    /// Number of evicted prefixes.
    pub evictions: u64,
    /// Tokens of evicted prefixes by cache key.
    pub evicted: BTreeMap<String, u64>,
}

impl Cache {
    /// Creates an empty cache; `event_loss` is the probability that an event is lost.
    pub fn new(capacity: u64, event_loss: f64, seed: u64) -> Self {
        Self {
            capacity,
            running_tokens: 0,
            cached_tokens: 0,
            slots: BTreeMap::new(),
            keys: Map::default(),
            next_id: 0,
            events: VecDeque::new(),
            seq: 0,
            event_loss,
            rng: SmallRng::seed_from_u64(seed),
            evictions: 0,
            evicted: BTreeMap::new(),
        }
    }

    /// Returns the fraction of the memory in use.
    pub fn utilization(&self) -> f64 {
        (self.running_tokens + self.cached_tokens) as f64 / self.capacity.max(1) as f64
    }

    /// Reserves `tokens` for a request and returns its cached prefix; `None` if they
    /// don't fit beside the running requests.
    pub fn admit(&mut self, key: &str, prefixes: &[Prefix], tokens: u64) -> Option<Prefix> {
        if self.running_tokens + tokens > self.capacity {
            return None;
        }
        let cached_id = self.keys.get(key).copied();
        let slot = cached_id.and_then(|id| self.remove(id));
        let found = slot.map_or(Prefix::default(), |slot| {
            common_prefix(&slot.prefixes, prefixes)
        });
        self.running_tokens += tokens;
        self.evict();
        Some(found)
    }

    /// Releases the memory of a request and caches the prefix that it computed.
    pub fn release(&mut self, key: &str, prefixes: Vec<Prefix>, tokens: u64) {
        self.running_tokens -= tokens;
        self.store(key, prefixes);
    }

    /// Stores a prefix as the most recently used one.
    pub fn store(&mut self, key: &str, prefixes: Vec<Prefix>) {
        let tokens = prefixes.last().map_or(0, |prefix| prefix.tokens());
        if let Some(id) = self.keys.get(key).copied() {
            self.remove(id);
        }
        if tokens == 0 {
            return;
        }
        // Identifiers ascend in the order of use, so the first slot is the least recently used.
        let id = self.next_id;
        self.next_id += 1;
        self.cached_tokens += tokens;
        self.keys.insert(key.to_owned(), id);
        let key = key.to_owned();
        self.record(Kind::Stored, &key, tokens);
        let slot = Slot {
            id,
            key,
            prefixes,
            tokens,
        };
        self.slots.insert(id, slot);
        self.evict();
    }

    /// Erases one slot.
    pub fn erase(&mut self, id: u64) -> Option<Slot> {
        let slot = self.remove(id)?;
        self.record(Kind::Erased, &slot.key, slot.tokens);
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
        self.cached_tokens -= slot.tokens;
        Some(slot)
    }

    fn evict(&mut self) {
        while self.running_tokens + self.cached_tokens > self.capacity {
            let Some(id) = self.slots.keys().next().copied() else {
                return;
            };
            if let Some(slot) = self.remove(id) {
                self.evictions += 1;
                *self.evicted.entry(slot.key.clone()).or_default() += slot.tokens;
                self.record(Kind::Evicted, &slot.key, slot.tokens);
            }
        }
    }

    fn record(&mut self, kind: Kind, key: &str, tokens: u64) {
        self.seq += 1;
        if self.event_loss > 0.0 && self.rng.random::<f64>() < self.event_loss {
            return;
        }
        if self.events.len() == MAX_EVENTS {
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
