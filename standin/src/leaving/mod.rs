//! Statistics of calls to an upstream that is leaving.

use serde::Serialize;

use crate::now;

/// Calls that an upstream received while it was leaving.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Serialize)]
pub struct Leaving {
    /// Time at which the upstream started to leave, in microseconds since the Unix epoch.
    pub since: Option<u64>,
    /// Calls received since then.
    pub received: u64,
    /// Time from then to the last received call, in microseconds.
    pub last_us: u64,
}

impl Leaving {
    /// Records whether the upstream is leaving.
    pub(crate) fn set(&mut self, leaving: bool) {
        self.since = leaving.then(|| self.since.unwrap_or_else(now));
    }

    /// Counts a received call.
    pub(crate) fn receive(&mut self) {
        if let Some(since) = self.since {
            self.received += 1;
            self.last_us = now().saturating_sub(since);
        }
    }
}
