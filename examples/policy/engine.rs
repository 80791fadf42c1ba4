//! Simulated model engine: continuous batching, chunked prefill and a bounded prefix cache.

use std::collections::{
    BTreeMap,
    VecDeque, //
};

/// Maximum number of sequences in the batch; further ones wait in order of arrival.
pub const MAX_BATCH: usize = 32;

/// Maximum number of prompt tokens that one step computes.
const CHUNK_TOKENS: u64 = 512;

/// Capacity of the prefix cache in tokens.
const CACHE_TOKENS: u64 = 200_000;

/// Duration of a step in microseconds: fixed part, per generating sequence, per prompt token.
const STEP_US: (u64, u64, u64) = (8_000, 400, 40);

/// A request in the engine.
#[derive(Clone, Debug)]
pub struct Sequence {
    pub job: usize,
    /// Program whose prefix is cached; `None` for requests of other clients.
    pub program: Option<usize>,
    pub prompt: u64,
    pub completion: u64,
    pub cached: u64,
    pub uncomputed: u64,
    pub generated: u64,
}

/// Change in the state of a request at a step.
#[derive(Clone, Copy, Debug)]
pub enum Update {
    Admitted { job: usize },
    First { job: usize },
    Progress { job: usize },
    Done { job: usize, cached: u64 },
}

/// Prefix cache with LRU eviction of whole programs.
#[derive(Debug, Default)]
struct Cache {
    cached: BTreeMap<usize, (u64, u64)>,
    total: u64,
    clock: u64,
}

impl Cache {
    fn get(&self, program: usize) -> u64 {
        self.cached.get(&program).map_or(0, |(tokens, _)| *tokens)
    }

    fn put(&mut self, program: usize, tokens: u64) {
        self.clock += 1;
        let old = self.cached.insert(program, (tokens, self.clock));
        self.total += tokens;
        self.total -= old.map_or(0, |(tokens, _)| tokens);
        while self.total > CACHE_TOKENS {
            let oldest = self.cached.iter().min_by_key(|(_, (_, used))| *used);
            let Some((program, (tokens, _))) = oldest.map(|(p, e)| (*p, *e)) else {
                break;
            };
            self.cached.remove(&program);
            self.total -= tokens;
        }
    }
}

#[derive(Debug)]
pub struct Engine {
    pub slowdown: u64,
    pub busy: bool,
    running: Vec<Sequence>,
    waiting: VecDeque<Sequence>,
    cache: Cache,
}

impl Default for Engine {
    fn default() -> Self {
        Self {
            slowdown: 1,
            busy: false,
            running: Vec::new(),
            waiting: VecDeque::new(),
            cache: Cache::default(),
        }
    }
}

impl Engine {
    pub fn push(&mut self, sequence: Sequence) {
        self.waiting.push_back(sequence);
    }

    pub fn cancel(&mut self, job: usize) {
        self.waiting.retain(|sequence| sequence.job != job);
        self.running.retain(|sequence| sequence.job != job);
    }

    pub fn running(&self) -> u32 {
        self.running.len() as u32
    }

    pub fn waiting(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// Admits requests and returns the duration of the next step; `None` if the engine is idle.
    pub fn start(&mut self, updates: &mut Vec<Update>) -> Option<u64> {
        while self.running.len() < MAX_BATCH {
            let Some(mut sequence) = self.waiting.pop_front() else {
                break;
            };
            let cached = sequence.program.map_or(0, |p| self.cache.get(p));
            sequence.cached = cached.min(sequence.cached);
            sequence.uncomputed = sequence.prompt - sequence.cached;
            updates.push(Update::Admitted { job: sequence.job });
            self.running.push(sequence);
        }
        self.busy = !self.running.is_empty();
        if !self.busy {
            return None;
        }
        let generating = self.running.iter().filter(|s| s.uncomputed == 0).count() as u64;
        let prompt: u64 = self.running.iter().map(|s| s.uncomputed).sum();
        let (fixed, each, token) = STEP_US;
        Some((fixed + each * generating + token * prompt.min(CHUNK_TOKENS)) * self.slowdown)
    }

    /// Completes a step.
    pub fn finish(&mut self, updates: &mut Vec<Update>) {
        let mut budget = CHUNK_TOKENS;
        for sequence in &mut self.running {
            if sequence.uncomputed > 0 {
                let part = sequence.uncomputed.min(budget);
                budget -= part;
                sequence.uncomputed -= part;
                if sequence.uncomputed > 0 {
                    continue;
                }
                updates.push(Update::First { job: sequence.job });
            }
            sequence.generated += 1;
            if sequence.generated >= sequence.completion {
                updates.push(Update::Done {
                    job: sequence.job,
                    cached: sequence.cached,
                });
            } else if sequence.generated.is_multiple_of(16) {
                updates.push(Update::Progress { job: sequence.job });
            }
        }
        let cache = &mut self.cache;
        self.running.retain(|sequence| {
            let done = sequence.generated >= sequence.completion;
            if let Some(program) = sequence.program.filter(|_| done) {
                cache.put(program, sequence.prompt + sequence.completion);
            }
            !done
        });
    }
}
