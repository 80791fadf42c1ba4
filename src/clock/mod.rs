//! Time stamps, passed as values into scheduling logic.

use std::{
    ops::{
        Add,
        Sub, //
    },
    sync::OnceLock,
    time::{
        Duration,
        SystemTime,
        UNIX_EPOCH, //
    },
};

use nix::time::{
    clock_gettime,
    ClockId, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use tokio::time::Instant;

/// One hour in microseconds.
const HOUR_US: u64 = 3_600_000_000;

/// A point in time in microseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct Time(pub u64);

impl Time {
    /// Returns the time of the system clock.
    pub fn now() -> Self {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self(since.as_micros() as u64)
    }

    /// Returns the time since the first call in this process plus one hour, from a monotonic clock.
    ///
    /// The hour keeps times shortly before the first call distinct from the zero time. In a runtime
    /// whose clock is paused, the time is that of the runtime.
    pub fn monotonic() -> Self {
        static START: OnceLock<Instant> = OnceLock::new();
        Self(HOUR_US) + START.get_or_init(Instant::now).elapsed()
    }

    /// Returns the time since the boot of the machine, which includes time for which the machine was
    /// suspended; the monotonic time where the kernel has no such clock.
    pub fn boot() -> Self {
        match clock_gettime(ClockId::CLOCK_BOOTTIME) {
            Ok(since) => Self(HOUR_US) + Duration::from(since),
            Err(_) => Self::monotonic(),
        }
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
