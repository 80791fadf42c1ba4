//! Injectable faults of the engine.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::server::Network;

/// Injectable faults of the engine.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Faults of the network in front of the engine.
    pub network: Network,
    /// Factor applied to the duration of every step.
    pub slow: f64,
    /// Steps stop: connections stay open and no answer progresses until this is cleared.
    pub silent: bool,
    /// Calls are refused with status 503 before they run.
    pub refuse: bool,
    /// Seconds in `Retry-After` of refused calls.
    pub retry_after: Option<u64>,
    /// The connection is closed after this many tokens of an answer.
    pub break_after: Option<u32>,
    /// Answers stall after this many tokens, until the client disconnects.
    pub silent_after: Option<u32>,
    /// Number of calls to which `refuse`, `break_after` and `silent_after` still apply;
    /// counts down. `None` applies them to all.
    pub times: Option<u32>,
    /// The engine reports that it is leaving.
    pub leaving: bool,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            network: Network::default(),
            slow: 1.0,
            silent: false,
            refuse: false,
            retry_after: None,
            break_after: None,
            silent_after: None,
            times: None,
            leaving: false,
        }
    }
}

/// Faults injected into one call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Injection {
    pub(super) refuse: bool,
    pub(super) break_after: Option<u32>,
    pub(super) silent_after: Option<u32>,
}

impl Faults {
    /// Returns the faults of the next call and counts it.
    pub(super) fn inject(&mut self) -> Injection {
        let any = self.refuse || self.break_after.is_some() || self.silent_after.is_some();
        match &mut self.times {
            _ if !any => return Injection::default(),
            Some(0) => return Injection::default(),
            Some(times) => *times -= 1,
            None => {}
        }
        Injection {
            refuse: self.refuse,
            break_after: self.break_after,
            silent_after: self.silent_after,
        }
    }
}
