//! Calls as the input of scheduling decisions, and reports of their results.

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
    /// Fair-share weight of the customer while demand exceeds capacity.
    pub share: u32,
    /// Kind of work.
    pub class: Class,
    /// Whether a user waits for the result of each call.
    pub interactive: bool,
    /// Program that the call belongs to; `None` for a standalone call.
    pub program: Option<Program>,
    /// Tokens served to the program so far, including its child programs.
    pub attained: u64,
    /// Prompt tokens of earlier turns that an upstream may have in its prefix cache.
    pub prefix: u64,
    /// Maximum cost of the call in tokens: new prompt and answer together.
    pub cost: u64,
    /// Time by which the whole program has to finish.
    pub deadline: Time,
    /// Whether the call may be sent more than once.
    pub idempotent: bool,
    /// Upstreams that have already failed this call.
    pub excluded: Vec<Upstream>,
}

/// Result of a granted call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Report {
    /// Time from send to the first part of the answer, in microseconds.
    pub first_us: Option<u64>,
    /// Time from send to the end of the answer, in microseconds.
    pub total_us: u64,
    /// Tokens of the prompt, cached ones included.
    pub prompt_tokens: u64,
    /// Prompt tokens that the upstream had in its cache.
    pub cached_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
    /// Whether the upstream failed the call or stopped making progress.
    pub failed: bool,
    /// Whether the upstream refused the call before it ran.
    pub refused: bool,
}

impl Report {
    /// Returns the cost of the call: uncached and generated tokens, or milliseconds for a service
    /// without tokens.
    pub fn served(&self) -> u64 {
        let missed = self.prompt_tokens.saturating_sub(self.cached_tokens);
        match missed + self.completion_tokens {
            0 => self.total_us / 1_000,
            tokens => tokens,
        }
    }
}
