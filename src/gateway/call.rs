//! Requests of callers, as decoded from their headers.

use std::{
    sync::Arc,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use thiserror::Error;

use super::tenant::key;
use crate::hash;

/// Name of a header that is missing or can't be decoded.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Error)]
#[error("header {0} is missing or invalid")]
pub struct Invalid(pub String);

/// A request of a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Identifier set by the caller; each of its attempts has its own.
    pub id: Arc<str>,
    /// Time for which the caller waits for the answer.
    pub timeout: Option<Duration>,
    /// Program that the request belongs to.
    pub program: Option<Program>,
    /// Prompt of a model call.
    pub prompt: Option<Prompt>,
    /// Identifier of the event after which the caller resumes a stream.
    pub after: Option<u64>,
    /// Identifier of the caller's attempt that brought the first event of the stream it resumes.
    pub resumes: Option<Arc<str>>,
    /// Object that the request concerns; an upstream that handled it recently works faster.
    pub object: Option<Arc<str>>,
    /// Key of the tenant.
    pub credential: Result<key::Key, key::Fault>,
    /// Request that answered the turn from which a turn continues, or the fault of its name.
    pub previous: Result<Option<Arc<str>>, Invalid>,
}

/// Program that a request belongs to.
#[derive(Clone, Debug, PartialEq)]
pub struct Program {
    /// Identifier of the program.
    pub id: Arc<str>,
    /// Identifier of the sequence of turns that share a context.
    pub session: Option<Arc<str>>,
    /// Time within which the program should finish.
    pub finish: Option<Duration>,
    /// Tokens that all turns of the program may generate.
    pub budget: Option<u64>,
}

/// Prompt of a model call.
#[derive(Clone, Debug, PartialEq)]
pub struct Prompt {
    /// Number of tokens.
    pub tokens: u32,
    /// Maximum tokens that are generated.
    pub max_tokens: u32,
    /// Parts of the prompt in order; prompts of other requests may begin with the same parts.
    pub parts: Vec<Part>,
}

/// Part of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Part {
    /// Identifier of its content.
    pub id: u64,
    /// Number of tokens.
    pub tokens: u32,
}

/// Prefix of a prompt: all parts up to one of them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Prefix {
    /// Hash of the identifiers of the parts.
    #[serde(rename = "k")]
    pub key: u64,
    /// Number of tokens.
    #[serde(rename = "n")]
    pub tokens: u32,
}

impl Prompt {
    /// Returns the prefixes of the prompt, shortest first.
    pub fn prefixes(&self) -> Vec<Prefix> {
        let mut prefix = Prefix { key: 0, tokens: 0 };
        let extend = |part: &Part| {
            let mut bytes = [0; 16];
            bytes[..8].copy_from_slice(&prefix.key.to_be_bytes());
            bytes[8..].copy_from_slice(&part.id.to_be_bytes());
            prefix = Prefix {
                key: hash::stable(&bytes),
                tokens: prefix.tokens.saturating_add(part.tokens),
            };
            prefix
        };
        self.parts.iter().map(extend).collect()
    }
}
