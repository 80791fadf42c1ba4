//! Faults of the service.

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::server::Network;

/// Faults of the service.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Faults of the network in front of the service.
    pub network: Network,
    /// Fault of all calls whose path has none of its own.
    pub all: Option<Fault>,
    /// Faults by path.
    pub paths: BTreeMap<String, Fault>,
    /// The service reports that it is leaving.
    pub leaving: bool,
}

impl Faults {
    /// Returns the fault of the next call on `path` and counts it. `chance` is a random
    /// number from 0 to 1.
    pub(super) fn pick(&mut self, path: &str, chance: f64) -> Option<Fault> {
        let fault = match self.paths.get_mut(path) {
            Some(fault) => fault,
            None => self.all.as_mut()?,
        };
        if fault.probability.is_some_and(|limit| chance >= limit) {
            return None;
        }
        match &mut fault.times {
            Some(0) => return None,
            Some(times) => *times -= 1,
            None => {}
        }
        Some(fault.clone())
    }
}

/// A fault of calls.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What happens.
    pub kind: Kind,
    /// Calls that it happens to; counts down. Without it, all.
    #[serde(default)]
    pub times: Option<u32>,
    /// Probability for each call.
    #[serde(default)]
    pub probability: Option<f64>,
}

impl From<Kind> for Fault {
    fn from(kind: Kind) -> Self {
        Self {
            kind,
            times: None,
            probability: None,
        }
    }
}

impl Fault {
    /// Makes a fault of the next calls.
    pub fn next(kind: Kind, times: u32) -> Self {
        Self {
            times: Some(times),
            ..kind.into()
        }
    }
}

/// What happens to a call. The effect is the entry in the books with `effect`.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// No effect and no answer; the connection stays open.
    Hang,
    /// The effect, but no answer; the connection stays open.
    HangAfter,
    /// No effect; the connection is closed.
    BreakBefore,
    /// The effect; the connection is closed without an answer.
    BreakAfter,
    /// The effect; the connection is closed in the middle of the answer.
    BreakAnswer,
    /// No effect; status 503 with `Retry-After` in seconds.
    Unavailable(u64),
    /// No effect; status 500.
    Error,
    /// The effect; status 500.
    ErrorAfter,
    /// The call takes longer by this factor.
    Slow(f64),
    /// The call waits until the faults change, then goes on.
    Silent,
}

impl Kind {
    /// Returns whether the call takes effect.
    pub fn has_effect(self) -> bool {
        use Kind::*;
        !matches!(self, Hang | BreakBefore | Unavailable(_) | Error)
    }
}
