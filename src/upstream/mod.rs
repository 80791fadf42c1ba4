//! Upstreams: model engines, tool services and plain services.

pub mod chat;
pub mod http;
pub mod order;
pub mod place;
pub mod rest;
pub mod sse;
pub mod sweep;
pub mod watch;

use std::time::Duration;

use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};
use thiserror::Error;

/// Reason why a call to an upstream failed.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Error)]
pub enum Failure {
    /// Nothing reached the upstream: no connection was made.
    #[error("call was not sent: {0}")]
    NotSent(String),
    /// The upstream answered that it did not run the call.
    #[error("upstream refused the call with status {status}")]
    Refused {
        /// HTTP status of the answer.
        status: u16,
        /// When the upstream asked to come back.
        retry_after: Option<Duration>,
    },
    /// The call was sent and the upstream answered with an error.
    #[error("upstream failed the call with status {status}: {message}")]
    Failed {
        /// HTTP status of the answer.
        status: u16,
        /// Beginning of the answer's body.
        message: String,
    },
    /// The call was sent, or may have been, and no whole answer came in time.
    #[error("outcome of the call is unknown: {0}")]
    Unknown(String),
}

/// A message of a prompt, in the chat completions format.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Message {
    /// Who speaks: `system`, `user`, `assistant` or `tool`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

/// A request to a model engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Prompt {
    /// Model that has to answer.
    pub model: String,
    /// History of the program and the new messages.
    pub messages: Vec<Message>,
    /// Largest number of tokens to generate.
    pub max_tokens: u32,
    /// Key under which the engine caches the prefix; it names the program.
    pub cache_key: String,
}

/// Part of a streamed answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// Text that the engine generated.
    Text(String),
    /// End of the answer, with the engine's count of tokens.
    Done(Usage),
}

/// Tokens that a model call used.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the prompt that the engine had in its cache.
    pub cached_tokens: u64,
    /// Tokens that the engine generated.
    pub completion_tokens: u64,
}

/// Load that an engine reports, with a lag.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct Load {
    /// Requests in the engine's batch.
    pub running: u32,
    /// Requests that wait in the engine.
    pub waiting: u32,
    /// Share of the cache memory in use, from 0 to 1.
    pub cache_used: f64,
    /// Time of the report, in microseconds since the Unix epoch.
    pub at: u64,
    /// Whether the engine is leaving.
    pub leaving: bool,
}

/// Cache that an engine holds for one key.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Slot {
    /// Identifier of the slot.
    pub id: u64,
    /// Key that the cache was made with.
    pub cache_key: String,
    /// Tokens held.
    pub tokens: u64,
}

/// Time limits of a call to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Longest time until the first byte of the answer.
    pub first: Duration,
    /// Longest time between two parts of the answer.
    pub progress: Duration,
    /// Longest time for the whole call.
    pub total: Duration,
}

/// A stream of a model's answer.
#[allow(async_fn_in_trait)]
pub trait Stream {
    /// Returns the next part, or `None` after [`Event::Done`].
    async fn next(&mut self) -> Result<Option<Event>, Failure>;
}

/// A model engine at an address such as `127.0.0.1:8000`.
#[allow(async_fn_in_trait)]
pub trait Engine {
    /// Stream of an answer; dropping it cancels the call.
    type Stream: Stream;

    /// Starts a call; returns once the engine has accepted it.
    async fn start(
        &self,
        address: &str,
        prompt: &Prompt,
        limits: Limits,
    ) -> Result<Self::Stream, Failure>;

    /// Returns the engine's latest load report.
    async fn load(&self, address: &str) -> Result<Load, Failure>;

    /// Lists the cache that the engine holds.
    async fn slots(&self, address: &str) -> Result<Vec<Slot>, Failure>;

    /// Releases one slot if it still holds cache of `cache_key`.
    async fn release(&self, address: &str, slot: &Slot) -> Result<(), Failure>;
}

/// A tool service or plain service at an address such as `127.0.0.1:8000`.
#[allow(async_fn_in_trait)]
pub trait Service {
    /// Posts a JSON body to `path` and returns the whole answer.
    async fn call(
        &self,
        address: &str,
        path: &str,
        key: &str,
        body: Bytes,
        limits: Limits,
    ) -> Result<Bytes, Failure>;

    /// Posts like [`Service::call`], on a connection of its own.
    ///
    /// Calls that must not be repeated use it: a connection that was idle may be closed by the
    /// upstream while the call is sent, which leaves the outcome unknown for no good reason.
    async fn call_once(
        &self,
        address: &str,
        path: &str,
        key: &str,
        body: Bytes,
        limits: Limits,
    ) -> Result<Bytes, Failure> {
        self.call(address, path, key, body, limits).await
    }
}
