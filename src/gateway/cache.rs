//! Estimate of the prompt prefixes that an engine has cached.

use super::call::Prefix;
use crate::hash::Map;

/// Tokens that the cache of an engine is assumed to hold if its service states no capacity.
pub const DEFAULT_CAPACITY: u64 = 400_000;

/// Part of a prompt in the cache.
#[derive(Clone, Copy, Debug)]
struct Part {
    tokens: u32,
    /// Number of the last use; smaller ones are older.
    used: u64,
}

/// Prefixes that an engine has cached, as far as one instance knows. The engine evicts the least
/// recently used parts first, and so does this estimate.
#[derive(Debug, Default)]
pub struct Cache {
    /// Last part of each cached prefix, by the key of the prefix.
    parts: Map<u64, Part>,
    /// Sum of the tokens of all parts.
    tokens: u64,
    /// Number of the latest use.
    uses: u64,
}

impl Cache {
    /// Records that the engine has processed a prompt with these prefixes, shortest first.
    pub fn record(&mut self, prefixes: &[Prefix], capacity: u64) {
        let mut before = 0;
        for prefix in prefixes {
            self.uses += 1;
            let part = Part {
                tokens: prefix.tokens.saturating_sub(before),
                used: self.uses,
            };
            before = prefix.tokens;
            let old = self.parts.insert(prefix.key, part);
            self.tokens -= old.map_or(0, |old| u64::from(old.tokens));
            self.tokens += u64::from(part.tokens);
        }
        while self.tokens > capacity && self.parts.len() > prefixes.len() {
            self.evict();
        }
    }

    fn evict(&mut self) {
        let oldest = self.parts.iter().min_by_key(|(_, part)| part.used);
        if let Some((&key, part)) = oldest {
            self.tokens -= u64::from(part.tokens);
            self.parts.remove(&key);
        }
    }

    /// Returns the tokens of the longest cached prefix of a prompt.
    ///
    /// A part serves only if all parts before it are cached too.
    pub fn cached_tokens(&self, prefixes: &[Prefix]) -> u32 {
        let cached = |prefix: &&Prefix| self.parts.contains_key(&prefix.key);
        let last = prefixes.iter().take_while(cached).last();
        last.map_or(0, |prefix| prefix.tokens)
    }

    /// Returns the sum of the tokens of all cached parts.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }
}
