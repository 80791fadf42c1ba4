//! A call in the engine, from the queue to its last token.

use serde::Serialize;
use tokio::sync::mpsc::UnboundedSender;

use super::{
    answer::Answer,
    faults::Fate,
    prompt::Mark, //
};

/// Token usage of a call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Prompt tokens that were served from the cache.
    pub cached: u64,
    /// Generated tokens.
    pub completion: u32,
}

/// Reason why an answer ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Finish {
    /// The model ended it.
    Stop,
    /// It reached `max_tokens`.
    Length,
}

/// An event of an answer, sent to the handler that writes the response.
#[derive(Clone, Debug)]
pub enum Piece {
    /// A token.
    Token(String),
    /// The answer is complete.
    Done(Usage, Finish),
    /// The handler must close the connection.
    Break,
}

/// A waiting or running call.
#[derive(Debug)]
pub struct Job {
    /// Index of the call in the statistics; `None` if they hold `calls_kept` calls already.
    pub call: Option<usize>,
    /// Index of the key's cost in `Costs`.
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
    /// Prompt tokens found in the cache on admission.
    pub cached: u64,
    /// Prompt tokens that are still to be computed.
    pub missing: u64,
    /// Generated tokens.
    pub generated: u32,
    /// Faults injected into the call.
    pub fate: Fate,
    /// Channel to the handler; closed when the client has disconnected.
    pub client: UnboundedSender<Piece>,
}

impl Job {
    /// Returns the number of prompt tokens.
    pub fn prompt_tokens(&self) -> u64 {
        self.chain.last().map_or(0, |mark| mark.tokens())
    }

    /// Returns the memory that the call reserves while it runs, in tokens.
    pub fn need(&self) -> u64 {
        self.prompt_tokens() + u64::from(self.length)
    }

    /// Returns the token usage so far.
    pub fn usage(&self) -> Usage {
        Usage {
            prompt: self.prompt_tokens(),
            cached: self.cached,
            completion: self.generated,
        }
    }

    /// Returns whether a fault stalls the answer at this token.
    pub fn is_silent(&self) -> bool {
        self.fate
            .silent_after
            .is_some_and(|after| self.generated >= after)
    }

    /// Returns whether a fault aborts the answer at this token.
    pub fn is_broken(&self) -> bool {
        let reached = |after| self.missing == 0 && self.generated >= after;
        self.fate.break_after.is_some_and(reached)
    }

    /// Returns the prefixes that have been computed and can be cached.
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
