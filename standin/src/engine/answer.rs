//! Deterministic answers, derived from the hash of the prompt.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    prompt::prefixes,
    Message, //
};

/// Leading tokens of an answer that encode the hash of the prompt.
const DIGEST_TOKENS: u32 = 4;

/// The answer to a prompt. It starts with the hash of the complete prompt, so that a test
/// detects a mixed-up history or answer. Every token has four bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Answer {
    hash: u64,
}

impl Answer {
    /// Returns the answer to a prompt.
    pub fn new(messages: &[Message]) -> Self {
        let hash = prefixes(messages).last().map_or(0, |prefix| prefix.hash);
        Self { hash }
    }

    pub(super) fn from_hash(hash: u64) -> Self {
        Self { hash }
    }

    /// Returns the hash of the prompt in hexadecimal.
    pub fn digest(self) -> String {
        self.text(DIGEST_TOKENS)
    }

    /// Returns the token at `index`.
    pub fn token(self, index: u32) -> String {
        if index < DIGEST_TOKENS {
            let part = self.hash >> (16 * (DIGEST_TOKENS - 1 - index));
            return format!("{:04x}", part & 0xffff);
        }
        let word = xxh3_64_with_seed(&index.to_le_bytes(), self.hash);
        format!(" {:03x}", word & 0xfff)
    }

    /// Returns the first `count` tokens.
    pub fn text(self, count: u32) -> String {
        (0..count).map(|index| self.token(index)).collect()
    }

    /// Returns a length in tokens between the inclusive bounds, derived from the hash.
    pub(super) fn length(self, (min, max): (u32, u32)) -> u32 {
        let range = u64::from(max.saturating_sub(min)) + 1;
        min + (xxh3_64_with_seed(b"length", self.hash) % range) as u32
    }
}
