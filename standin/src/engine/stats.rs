//! Statistics of the engine.

use std::{
    collections::BTreeMap,
    ops::{
        Index,
        IndexMut, //
    },
};

use serde::Serialize;

use super::Command;
use crate::{
    Leaving,
    Map, //
};

/// Statistics of the engine.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct Stats {
    /// Received calls, including refused ones.
    pub received: u64,
    /// Calls refused with status 503.
    pub refused: u64,
    /// Calls received while the engine was leaving.
    pub leaving: Leaving,
    /// Calls that ended with a complete answer.
    pub completed: u64,
    /// Calls whose client disconnected.
    pub cancelled: u64,
    /// Calls aborted by a fault.
    pub broken: u64,
    /// Completed steps; while the engine hangs, every check of the fault counts as a step.
    pub steps: u64,
    /// Modelled duration of all steps, in microseconds of real time. Divided by the number
    /// of steps it gives the time between two tokens, also for requests of the old system.
    pub busy_us: u64,
    /// Largest batch, excluding requests of the old system.
    pub largest_batch: usize,
    /// Maximum delay of the end of a step behind the model, in microseconds. Unless it is
    /// small against a step, the machine was too busy for a valid measurement.
    pub behind_us: u64,
    /// Prefixes evicted for lack of memory.
    pub evictions: u64,
    /// Tokens evicted for lack of memory, by cache key.
    pub evicted: BTreeMap<String, u64>,
    /// Slots erased through the API.
    pub erased: Vec<Erasure>,
    /// Token usage by the part of the cache key before the first slash.
    pub prefixes: BTreeMap<String, Cost>,
    /// Token usage by cache key.
    pub keys: BTreeMap<String, Cost>,
    /// Tokens in memory by cache key, including those of running requests.
    pub held: BTreeMap<String, u64>,
    /// Commands in the order of arrival.
    pub commands: Vec<Command>,
    /// Highest accepted fencing number.
    pub highest_fence: Option<u64>,
    /// Loaded models; empty if the engine serves every model.
    pub models: Vec<String>,
    /// Loaded adapters.
    pub adapters: Vec<String>,
    /// Latest role set.
    pub role: Option<String>,
    /// Accepted calls, at most `calls_kept`.
    pub calls: Vec<Call>,
}

impl Stats {
    /// Returns the token usage of all cache keys that start with `prefix`.
    pub fn cost(&self, prefix: &str) -> Cost {
        let keys = self.keys.iter().filter(|(key, _)| key.starts_with(prefix));
        keys.fold(Cost::default(), |sum, (_, cost)| sum.plus(*cost))
    }
}

/// Token usage that the engine charges for.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Serialize)]
pub struct Cost {
    /// Admitted calls.
    pub calls: u64,
    /// Prompt tokens, including cached ones.
    pub prompt_tokens: u64,
    /// Prompt tokens that were cached.
    pub cached_tokens: u64,
    /// Generated tokens, including those that no client received.
    pub completion_tokens: u64,
}

impl Cost {
    /// Returns the sum of two costs.
    pub fn plus(self, other: Self) -> Self {
        Self {
            calls: self.calls + other.calls,
            prompt_tokens: self.prompt_tokens + other.prompt_tokens,
            cached_tokens: self.cached_tokens + other.cached_tokens,
            completion_tokens: self.completion_tokens + other.completion_tokens,
        }
    }
}

/// Costs by cache key. A running call refers to its key's cost by index.
#[derive(Debug, Default)]
pub(super) struct Costs {
    indexes: Map<String, usize>,
    costs: Vec<Cost>,
}

impl Costs {
    /// Returns the index of a key's cost, adding one if the key is new.
    pub(super) fn index_of(&mut self, key: &str) -> usize {
        if let Some(index) = self.indexes.get(key) {
            return *index;
        }
        self.costs.push(Cost::default());
        self.indexes.insert(key.to_owned(), self.costs.len() - 1);
        self.costs.len() - 1
    }

    /// Adds the costs to the statistics.
    pub(super) fn add_to(&self, stats: &mut Stats) {
        for (key, index) in &self.indexes {
            let cost = self.costs[*index];
            let prefix = key.split('/').next().unwrap_or_default();
            let sum = stats.prefixes.entry(prefix.to_owned()).or_default();
            *sum = sum.plus(cost);
            stats.keys.insert(key.clone(), cost);
        }
    }
}

impl Index<usize> for Costs {
    type Output = Cost;

    fn index(&self, index: usize) -> &Cost {
        &self.costs[index]
    }
}

impl IndexMut<usize> for Costs {
    fn index_mut(&mut self, index: usize) -> &mut Cost {
        &mut self.costs[index]
    }
}

/// State of a call, and how it ended.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// Waiting or running.
    #[default]
    Open,
    /// Ended with a complete answer.
    Completed,
    /// The client disconnected.
    Cancelled,
    /// A fault aborted it.
    Broken,
}

/// A call. Times are in microseconds since the Unix epoch; zero means not reached.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct Call {
    /// Cache key.
    pub key: String,
    /// Hash of the prompt in hexadecimal; the answer starts with it.
    pub hash: String,
    /// Number of messages in the prompt.
    pub messages: usize,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Prompt tokens that were cached.
    pub cached_tokens: u64,
    /// Generated tokens.
    pub completion_tokens: u32,
    /// How the call ended.
    pub end: End,
    /// Time of arrival.
    pub received: u64,
    /// Time of admission to the batch.
    pub admitted: u64,
    /// Time of the first generated token.
    pub first: u64,
    /// Time of the end.
    pub ended: u64,
}

/// A slot erased through the API.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Serialize)]
pub struct Erasure {
    /// Time in microseconds since the Unix epoch.
    pub at: u64,
    /// Cache key of the erased prefix.
    pub key: String,
    /// Erased tokens.
    pub tokens: u64,
}
