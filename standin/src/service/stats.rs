//! Statistics of the service.

use serde::Serialize;
use serde_json::Value;

use super::Kind;
use crate::Leaving;

/// Statistics of the service.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct Stats {
    /// Received calls.
    pub received: u64,
    /// Calls received while the service was leaving.
    pub leaving: Leaving,
    /// Calls that took effect.
    pub effects: u64,
    /// Calls answered with status 200.
    pub answered: u64,
    /// Received calls, at most `calls_kept`.
    pub calls: Vec<Call>,
}

impl Stats {
    /// Returns the number of calls with an idempotency key that took effect.
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
    /// Injected fault.
    pub fault: Option<Kind>,
    /// Whether the call took effect.
    pub effect: bool,
    /// Whether the call is answered with status 200.
    pub answered: bool,
}
