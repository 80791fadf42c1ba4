//! What the engine received and did.

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

/// Books of the engine.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct Books {
    /// Calls that were received, including refused ones.
    pub received: u64,
    /// Calls that were refused with status 503.
    pub refused: u64,
    /// Calls that were received while the engine was leaving.
    pub leaving: Leaving,
    /// Calls that ended with a whole answer.
    pub completed: u64,
    /// Calls whose client disconnected.
    pub cancelled: u64,
    /// Calls that were broken off by a fault.
    pub broken: u64,
    /// Steps that were computed.
    pub steps: u64,
    /// Modelled duration of all steps in microseconds of real time; divided by the steps
    /// it is the time between two tokens, for requests of the old system too.
    pub busy_us: u64,
    /// Largest batch, without foreign requests.
    pub largest_batch: usize,
    /// Longest time in microseconds by which a step ended later than modelled; if it
    /// isn't small against a step, the machine was too busy for a valid measurement.
    pub behind_us: u64,
    /// Prefixes evicted for lack of memory.
    pub evictions: u64,
    /// Tokens evicted for lack of memory, by key.
    pub evicted: BTreeMap<String, u64>,
    /// Slots erased by request.
    pub erased: Vec<Erasure>,
    /// Tokens by first part of the key, up to the slash.
    pub prefixes: BTreeMap<String, Cost>,
    /// Tokens by key.
    pub keys: BTreeMap<String, Cost>,
    /// Keys whose cache is held, with tokens; running requests included.
    pub held: BTreeMap<String, u64>,
    /// Commands in the order in which they were received.
    pub commands: Vec<Command>,
    /// Highest accepted fencing number.
    pub highest_fence: Option<u64>,
    /// Loaded models; empty if every model is served.
    pub models: Vec<String>,
    /// Loaded adapters.
    pub adapters: Vec<String>,
    /// Role that was set last.
    pub role: Option<String>,
    /// Calls that reached the engine and weren't refused, up to the configured number.
    pub calls: Vec<Call>,
}

impl Books {
    /// Returns the tokens of all keys that begin with `prefix`.
    pub fn cost(&self, prefix: &str) -> Cost {
        let keys = self.keys.iter().filter(|(key, _)| key.starts_with(prefix));
        keys.fold(Cost::default(), |sum, (_, cost)| sum.plus(*cost))
    }
}

/// Tokens that were used; what the engine charges.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Serialize)]
pub struct Cost {
    /// Calls that were admitted.
    pub calls: u64,
    /// Tokens of their prompts, including the cached ones.
    pub prompt_tokens: u64,
    /// Tokens of their prompts that were cached.
    pub cached_tokens: u64,
    /// Tokens that were generated, including those that no client received.
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

/// Costs of all keys, found by number while a call runs.
#[derive(Debug, Default)]
pub(super) struct Costs {
    numbers: Map<String, usize>,
    costs: Vec<Cost>,
}

impl Costs {
    /// Returns the number of a key's cost.
    pub(super) fn find(&mut self, key: &str) -> usize {
        if let Some(number) = self.numbers.get(key) {
            return *number;
        }
        self.costs.push(Cost::default());
        self.numbers.insert(key.to_owned(), self.costs.len() - 1);
        self.costs.len() - 1
    }

    /// Writes the costs into the books.
    pub(super) fn publish(&self, books: &mut Books) {
        for (key, number) in &self.numbers {
            let cost = self.costs[*number];
            let prefix = key.split('/').next().unwrap_or_default();
            let sum = books.prefixes.entry(prefix.to_owned()).or_default();
            *sum = sum.plus(cost);
            books.keys.insert(key.clone(), cost);
        }
    }
}

impl Index<usize> for Costs {
    type Output = Cost;

    fn index(&self, number: usize) -> &Cost {
        &self.costs[number]
    }
}

impl IndexMut<usize> for Costs {
    fn index_mut(&mut self, number: usize) -> &mut Cost {
        &mut self.costs[number]
    }
}

/// How a call ended.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// It hasn't ended.
    #[default]
    Open,
    /// With a whole answer.
    Completed,
    /// The client disconnected.
    Cancelled,
    /// A fault broke it off.
    Broken,
}

/// One call; times are in microseconds since the Unix epoch, zero if not reached.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct Call {
    /// Key of the cached prefix.
    pub key: String,
    /// Hash of the prompt in hexadecimal; the answer begins with it.
    pub hash: String,
    /// Messages of the prompt.
    pub messages: usize,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the prompt that were cached.
    pub cached_tokens: u64,
    /// Tokens that were generated.
    pub completion_tokens: u32,
    /// How the call ended.
    pub end: End,
    /// When it was received.
    pub received: u64,
    /// When it joined the batch.
    pub admitted: u64,
    /// When the first token was generated.
    pub first: u64,
    /// When it ended.
    pub ended: u64,
}

/// A slot that was erased by request.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Serialize)]
pub struct Erasure {
    /// Time in microseconds since the Unix epoch.
    pub at: u64,
    /// Key of the cache.
    pub key: String,
    /// Tokens that were held.
    pub tokens: u64,
}
