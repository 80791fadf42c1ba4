//! A call in the engine, from the queue to its last token.

use serde::Serialize;
use tokio::sync::mpsc::UnboundedSender;

use super::{
    answer::Answer,
    faults::Injection,
    prompt::Prefix, //
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
pub enum Event {
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
    /// Index of the cache key's cost in `Costs`.
    pub cost: usize,
    /// Identifier of its slot while it runs.
    pub slot: u64,
    /// Cache key.
    pub key: String,
    /// Prefixes of the prompt.
    pub prefixes: Vec<Prefix>,
    /// Answer to the prompt.
    pub answer: Answer,
    /// Tokens to generate.
    pub length: u32,
    /// Why the answer will end.
    pub finish: Finish,
    /// Prompt tokens found in the cache on admission.
    pub cached: u64,
    /// Prompt tokens that are still to be computed.
    pub uncomputed: u64,
    /// Generated tokens.
    pub generated: u32,
    /// Faults injected into the call.
    pub injection: Injection,
    /// Channel to the handler; closed when the client has disconnected.
    pub client: UnboundedSender<Event>,
}

impl Job {
    /// Returns the number of prompt tokens.
    pub fn prompt_tokens(&self) -> u64 {
        self.prefixes.last().map_or(0, |prefix| prefix.tokens())
    }

    /// Returns the memory that the call reserves while it runs, in tokens.
    pub fn reserved_tokens(&self) -> u64 {
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
    pub fn is_stalled(&self) -> bool {
        self.injection
            .silent_after
            .is_some_and(|after| self.generated >= after)
    }

    /// Returns whether a fault aborts the answer at this token.
    pub fn is_aborted(&self) -> bool {
        let reached = |after| self.uncomputed == 0 && self.generated >= after;
        self.injection.break_after.is_some_and(reached)
    }

    /// Returns the prefixes that have been computed and can be cached.
    pub fn computed(&self) -> Vec<Prefix> {
        if self.uncomputed > 0 {
            let done = self.prompt_tokens() - self.uncomputed;
            let computed = self
                .prefixes
                .iter()
                .take_while(|prefix| prefix.tokens() <= done);
            return computed.copied().collect();
        }
        let mut prefixes = self.prefixes.clone();
        if let (Some(prompt), 1..) = (prefixes.last().copied(), self.generated) {
            let text = self.answer.text(self.generated);
            prefixes.push(prompt.extend(&super::Message::new("assistant", &text)));
        }
        prefixes
    }
}
