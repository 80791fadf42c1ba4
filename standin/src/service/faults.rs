//! Injectable faults of the service.

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::server::Network;

/// Injectable faults of the service.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Faults of the network in front of the service.
    pub network: Network,
    /// Fault of all calls whose path has no entry in `paths`.
    pub all: Option<Fault>,
    /// Faults by path.
    pub paths: BTreeMap<String, Fault>,
    /// The service reports that it is leaving.
    pub leaving: bool,
}

impl Faults {
    /// Returns the fault of the next call on `path` and counts it. `chance` is a random
    /// number in 0..1 to compare with the fault's probability.
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
    /// Effect on a call.
    pub kind: Kind,
    /// Number of calls still to affect; counts down. `None` affects all.
    #[serde(default)]
    pub times: Option<u32>,
    /// Probability per call; `None` affects every call.
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
    /// Creates a fault of the next `times` calls.
    pub fn next(kind: Kind, times: u32) -> Self {
        Self {
            times: Some(times),
            ..kind.into()
        }
    }
}

/// Effect of a fault on a call. A call takes effect if it is listed with `effect` in the
/// statistics.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Doesn't take effect; no response, and the connection stays open.
    Hang,
    /// Takes effect; no response, and the connection stays open.
    HangAfter,
    /// Doesn't take effect; the connection is closed.
    BreakBefore,
    /// Takes effect; the connection is closed without a response.
    BreakAfter,
    /// Takes effect; the connection is closed in the middle of the response.
    BreakAnswer,
    /// Doesn't take effect; status 503 with `Retry-After` in seconds.
    Unavailable(u64),
    /// Doesn't take effect; status 500.
    Error,
    /// Takes effect; status 500.
    ErrorAfter,
    /// Takes effect; the duration of the call is multiplied by this factor.
    Slow(f64),
    /// The call is suspended until the faults change, then takes effect.
    Silent,
}

impl Kind {
    /// Returns whether the call takes effect.
    pub fn has_effect(self) -> bool {
        use Kind::*;
        !matches!(self, Hang | BreakBefore | Unavailable(_) | Error)
    }
}
