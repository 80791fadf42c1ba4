//! What a scheduling decision knows about a call, and what it learns from its result.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    clock::Time,
    name::{
        Class,
        Customer,
        Program,
        Upstream, //
    },
};

/// A call that waits for an upstream.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Call {
    /// Customer that pays.
    pub customer: Customer,
    /// Weight of the customer when demand exceeds supply.
    pub share: u32,
    /// Kind of work.
    pub class: Class,
    /// Whether a person waits for each call.
    pub interactive: bool,
    /// Program that the call belongs to; `None` for a one-shot lookup.
    pub program: Option<Program>,
    /// Tokens that the program has been served so far, its children's included.
    pub attained: u64,
    /// Tokens of history that an upstream may have in its cache.
    pub prefix: u64,
    /// Tokens that the call may cost at most, new prompt and answer together.
    pub cost: u64,
    /// Time by which the whole program has to finish.
    pub deadline: Time,
    /// Whether the call may be sent again.
    pub idempotent: bool,
    /// Upstreams that failed this call already.
    pub excluded: Vec<Upstream>,
}

/// What a granted call did.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Report {
    /// Time from send to the first part of the answer, in microseconds.
    pub first_us: Option<u64>,
    /// Time from send to the end, in microseconds.
    pub total_us: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the prompt that the upstream had in its cache.
    pub cached_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
    /// Whether the upstream failed the call or stopped making progress.
    pub failed: bool,
    /// Whether the upstream refused the call before it ran.
    pub refused: bool,
}

impl Report {
    /// Returns the work that the call cost: tokens, or milliseconds of a service without tokens.
    pub fn served(&self) -> u64 {
        let missed = self.prompt_tokens.saturating_sub(self.cached_tokens);
        match missed + self.completion_tokens {
            0 => self.total_us / 1_000,
            tokens => tokens,
        }
    }
}
