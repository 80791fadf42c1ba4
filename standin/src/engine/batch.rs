//! One call in the engine.

use serde::Serialize;
use tokio::sync::mpsc::UnboundedSender;

use super::{
    answer::Answer,
    faults::Fate,
    prompt::Mark, //
};

/// Tokens that a call used.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens of the prompt that were cached.
    pub cached: u64,
    /// Tokens that were generated.
    pub completion: u32,
}

/// Why an answer ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Finish {
    /// The model ended it.
    Stop,
    /// It reached `max_tokens`.
    Length,
}

/// Part of an answer on its way to the client.
#[derive(Clone, Debug)]
pub enum Piece {
    /// A token.
    Token(String),
    /// The end of the answer.
    Done(Usage, Finish),
    /// The connection has to be closed.
    Break,
}

/// A call that waits or runs.
#[derive(Debug)]
pub struct Job {
    /// Number of the call in the books; `None` if the books are full.
    pub call: Option<usize>,
    /// Number of the key's cost in the books.
    pub cost: usize,
    /// Identifier of its slot while it runs.
    pub slot: u64,
    /// Key of the cached prefix.
    pub key: String,
    /// Prefixes of the prompt.
    pub chain: Vec<Mark>,
    /// Answer to the prompt.
    pub answer: Answer,
    /// Tokens to generate.
    pub length: u32,
    /// Why the answer will end.
    pub finish: Finish,
    /// Tokens of the prompt that were cached on admission.
    pub cached: u64,
    /// Tokens of the prompt that aren't computed yet.
    pub missing: u64,
    /// Tokens that were generated.
    pub generated: u32,
    /// Faults of the call.
    pub fate: Fate,
    /// Way to the client; closed when the client has disconnected.
    pub client: UnboundedSender<Piece>,
}

impl Job {
    /// Returns the tokens of the prompt.
    pub fn prompt_tokens(&self) -> u64 {
        self.chain.last().map_or(0, |mark| mark.tokens())
    }

    /// Returns the memory that the call takes while it runs.
    pub fn need(&self) -> u64 {
        self.prompt_tokens() + u64::from(self.length)
    }

    /// Returns the tokens that were used so far.
    pub fn usage(&self) -> Usage {
        Usage {
            prompt: self.prompt_tokens(),
            cached: self.cached,
            completion: self.generated,
        }
    }

    /// Returns whether the answer has gone silent.
    pub fn is_silent(&self) -> bool {
        self.fate
            .silent_after
            .is_some_and(|after| self.generated >= after)
    }

    /// Returns whether a fault breaks the answer off here.
    pub fn is_broken(&self) -> bool {
        let reached = |after| self.missing == 0 && self.generated >= after;
        self.fate.break_after.is_some_and(reached)
    }

    /// Returns the prefixes that are computed and may stay in the cache.
    pub fn computed(&self) -> Vec<Mark> {
        if self.missing > 0 {
            let done = self.prompt_tokens() - self.missing;
            let computed = self.chain.iter().take_while(|mark| mark.tokens() <= done);
            return computed.copied().collect();
        }
        let mut chain = self.chain.clone();
        if let (Some(prompt), 1..) = (chain.last().copied(), self.generated) {
            let text = self.answer.text(self.generated);
            chain.push(prompt.then(&super::Message::new("assistant", &text)));
        }
        chain
    }
}
