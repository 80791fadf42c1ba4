//! Clients of upstreams: model engines, tool services and plain services.

pub mod chat;
pub mod command;
pub mod http;
pub mod placement;
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
        /// Retry delay that the upstream asked for.
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
    /// The call may have been sent, and no complete answer arrived in time.
    #[error("outcome of the call is unknown: {0}")]
    Unknown(String),
}

/// A message of a prompt, in the chat completions format.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Message {
    /// Author of the message: `system`, `user`, `assistant` or `tool`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

/// A request to a model engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Prompt {
    /// Name of the model.
    pub model: String,
    /// History of the program and the new messages.
    pub messages: Vec<Message>,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Key under which the engine caches the prefix; derived from the program's name.
    pub cache_key: String,
}

/// Part of a streamed answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// Generated text.
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
    /// Tokens of the prompt that were served from the engine's cache.
    pub cached_tokens: u64,
    /// Generated tokens.
    pub completion_tokens: u64,
}

/// Load reported by an engine; the report lags.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct Load {
    /// Requests in the engine's batch.
    pub running: u32,
    /// Requests queued in the engine.
    pub waiting: u32,
    /// Share of the cache memory in use, from 0 to 1.
    pub cache_used: f64,
    /// Time of the report, in microseconds since the Unix epoch.
    pub at: u64,
    /// Whether the engine is leaving.
    pub leaving: bool,
}

/// A cache entry of an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Slot {
    /// Identifier of the slot.
    pub id: u64,
    /// Key that the cache was created with.
    pub cache_key: String,
    /// Cached tokens.
    pub tokens: u64,
}

/// Time limits of a call to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Timeout for the first byte of the answer.
    pub first: Duration,
    /// Timeout between two chunks of the answer.
    pub progress: Duration,
    /// Timeout for the complete call.
    pub total: Duration,
}

/// A stream of a model's answer.
#[allow(async_fn_in_trait)]
pub trait Stream {
    /// Returns the next event, or `None` after [`Event::Done`].
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

    /// Lists the cache slots of the engine.
    async fn slots(&self, address: &str) -> Result<Vec<Slot>, Failure>;

    /// Releases a slot if it still holds cache of the slot's key.
    async fn release(&self, address: &str, slot: &Slot) -> Result<(), Failure>;
}

/// A tool service or plain service at an address such as `127.0.0.1:8000`.
#[allow(async_fn_in_trait)]
pub trait Service {
    /// Posts a JSON body to `path` with idempotency key `key`, and returns the complete answer.
    async fn call(
        &self,
        address: &str,
        path: &str,
        key: &str,
        body: Bytes,
        limits: Limits,
    ) -> Result<Bytes, Failure>;

    /// Like [`Service::call`], but on a new connection.
    ///
    /// For calls that must not be repeated: the upstream may close an idle connection while a call
    /// is being sent on it, which needlessly leaves the outcome unknown.
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
