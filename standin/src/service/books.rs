//! What the service received and did.

use serde::Serialize;
use serde_json::Value;

use super::Kind;
use crate::Leaving;

/// Books of the service.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct Books {
    /// Calls that were received.
    pub received: u64,
    /// Calls that were received while the service was leaving.
    pub leaving: Leaving,
    /// Calls that took effect.
    pub effects: u64,
    /// Calls that were answered with status 200.
    pub answered: u64,
    /// The calls, up to the configured number.
    pub calls: Vec<Call>,
}

impl Books {
    /// Returns how many calls with an idempotency key took effect.
    pub fn effects_of(&self, key: &str) -> usize {
        let hit = |call: &&Call| call.effect && call.key.as_deref() == Some(key);
        self.calls.iter().filter(hit).count()
    }
}

/// A received call.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Call {
    /// Path of the request.
    pub path: String,
    /// Header `Idempotency-Key`.
    pub key: Option<String>,
    /// Body.
    pub body: Value,
    /// Time of the request in microseconds since the Unix epoch.
    pub at: u64,
    /// Fault that was applied.
    pub fault: Option<Kind>,
    /// Whether the call took effect.
    pub effect: bool,
    /// Whether an answer with status 200 was made.
    pub answered: bool,
}
