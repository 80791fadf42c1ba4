//! Memory of engines that the turns in flight use.

use std::net::SocketAddr;

use super::super::call::Prefix;
use crate::hash::Map;

/// Tokens of the turns that run on one engine.
#[derive(Debug, Default)]
struct Memory {
    /// Turns that share a part, and its tokens, by the key of the prefix that it ends.
    parts: Map<u64, (u32, u64)>,
    /// Tokens of all parts, each once, and tokens of the turns themselves.
    tokens: u64,
    turns: u32,
}

/// Tokens that a turn needs.
#[derive(Clone, Copy, Debug)]
pub struct Need<'a> {
    /// Prefixes of the prompt, shortest first.
    pub prefixes: &'a [Prefix],
    /// Tokens of the prompt.
    pub tokens: u32,
    /// Tokens that it is expected to generate.
    pub output: u64,
}

impl Need<'_> {
    /// Returns the key and the tokens of each part.
    fn parts(&self) -> impl Iterator<Item = (u64, u64)> + '_ {
        let mut before = 0;
        self.prefixes.iter().map(move |prefix| {
            let tokens = prefix.tokens.saturating_sub(before);
            before = prefix.tokens;
            (prefix.key, tokens.into())
        })
    }

    /// Returns the tokens that no other turn shares.
    fn own(&self) -> u64 {
        let shared = self.prefixes.last().map_or(0, |prefix| prefix.tokens);
        u64::from(self.tokens.saturating_sub(shared)) + self.output
    }
}

/// Memory in use of all engines.
#[derive(Debug, Default)]
pub struct Room(Map<SocketAddr, Memory>);

impl Room {
    /// Returns whether a turn fits into an engine whose memory holds `capacity` tokens; an engine
    /// without turns takes any.
    pub fn fits(&self, engine: SocketAddr, need: &Need<'_>, capacity: u64) -> bool {
        let Some(memory) = self.0.get(&engine).filter(|memory| memory.turns > 0) else {
            return true;
        };
        let new = need
            .parts()
            .filter(|(key, _)| !memory.parts.contains_key(key))
            .map(|(_, tokens)| tokens);
        memory.tokens + new.sum::<u64>() + need.own() <= capacity
    }

    /// Records that a turn runs on an engine.
    pub fn add(&mut self, engine: SocketAddr, need: &Need<'_>) {
        let memory = self.0.entry(engine).or_default();
        for (key, tokens) in need.parts() {
            let part = memory.parts.entry(key).or_insert((0, tokens));
            part.0 += 1;
            if part.0 == 1 {
                memory.tokens += tokens;
            }
        }
        memory.tokens += need.own();
        memory.turns += 1;
    }

    /// Records that a turn ended that was added before.
    pub fn remove(&mut self, engine: SocketAddr, need: &Need<'_>) {
        let Some(memory) = self.0.get_mut(&engine) else {
            return;
        };
        for (key, _) in need.parts() {
            let Some(part) = memory.parts.get_mut(&key) else {
                continue;
            };
            part.0 -= 1;
            if part.0 == 0 {
                memory.tokens -= part.1;
                memory.parts.remove(&key);
            }
        }
        memory.tokens -= need.own();
        memory.turns -= 1;
        if memory.turns == 0 {
            self.0.remove(&engine);
        }
    }
}
