//! Time as a value that is passed into decision logic.

use std::{
    ops::{
        Add,
        Sub, //
    },
    time::{
        Duration,
        SystemTime,
        UNIX_EPOCH, //
    },
};

use serde::{
    Deserialize,
    Serialize, //
};

/// A point in time in microseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct Time(pub u64);

impl Time {
    /// Returns the wall clock's time.
    pub fn now() -> Self {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self(since.as_micros() as u64)
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span.as_micros() as u64))
    }
}

impl Sub<Duration> for Time {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(span.as_micros() as u64))
    }
}
