//! Whether the log may lack grants that were lost with the instances that held them.
//!
//! Answers the pattern of an outage of the log in which the holders of grants are lost while other
//! instances live on. What an instance holds proves nothing about the time before its process began,
//! so that the age of a process has to be compared with that of the earliest outage that anyone
//! remembers.

use std::{
    cell::Cell,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::account;
use crate::clock::Time;

/// Maximum time that evidence takes to another instance. A latest time that differs by less is the known
/// one: an outage that two instances tell each other of would otherwise never expire.
const PASSING_TIME: Duration = Duration::from_secs(2);

/// A period in which the log was unreachable for some instance, as times before the statement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Trouble {
    /// Milliseconds since its begin.
    #[serde(rename = "b")]
    pub began_ms: u64,
    /// Milliseconds since the log was last found unreachable.
    #[serde(rename = "l")]
    pub latest_ms: u64,
}

/// What an instance knows of the outages of the log.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Evidence {
    /// Milliseconds for which it, or an instance that told it, has watched the log.
    #[serde(rename = "o")]
    pub observed_ms: u64,
    /// Outages in this time whose grants may still matter.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub trouble: Option<Trouble>,
}

impl Evidence {
    /// Returns the evidence of an instance that has watched the log since before all grants that matter,
    /// and has seen no outage.
    pub fn of_no_outage() -> Self {
        Self {
            observed_ms: u64::MAX,
            trouble: None,
        }
    }

    /// Adds what another instance knows.
    pub fn merge(&mut self, other: Self) {
        self.observed_ms = self.observed_ms.max(other.observed_ms);
        self.trouble = match (self.trouble, other.trouble) {
            (Some(own), Some(other)) => Some(Trouble {
                began_ms: own.began_ms.max(other.began_ms),
                latest_ms: own.latest_ms.min(other.latest_ms),
            }),
            (own, other) => own.or(other),
        };
    }

    /// Returns how long ago the earliest grant may have been made that the log lacks and that may be lost;
    /// zero if there is none.
    pub fn horizon(&self) -> Duration {
        let observed = Duration::from_millis(self.observed_ms);
        let unobserved = match observed >= account::RETENTION {
            true => Duration::ZERO,
            false => account::RETENTION,
        };
        let trouble = self.trouble.map_or(0, |trouble| trouble.began_ms);
        unobserved.max(Duration::from_millis(trouble))
    }
}

/// What a witness says about a partition.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Testimony {
    /// Milliseconds for which the witness knows the grants that it was asked to hold.
    #[serde(rename = "s")]
    pub known_ms: u64,
    /// Number of witnesses of the partition, by what the witness knows of other instances; 0 if it does
    /// not say.
    #[serde(rename = "w", default)]
    pub witnesses: usize,
    /// Whether it holds grants that are still to be appended.
    #[serde(rename = "p", default, skip_serializing_if = "std::ops::Not::not")]
    pub pending: bool,
    /// What it knows of outages.
    #[serde(rename = "e")]
    pub evidence: Evidence,
}

impl Testimony {
    /// Returns whether the witness knows the grants that were made within a time.
    pub fn covers(&self, horizon: Duration) -> bool {
        Duration::from_millis(self.known_ms) >= horizon
    }
}

/// Outages of the log that an instance has noticed or was told of.
#[derive(Debug)]
pub struct Journal {
    /// Time since which the log is watched; the zero time if it always was.
    since: Cell<Time>,
    /// Begin and latest time of the outages.
    trouble: Cell<Option<(Time, Time)>>,
}

impl Journal {
    /// Returns the record of an instance that starts now.
    pub fn new() -> Self {
        Self {
            since: Cell::new(Time::monotonic()),
            trouble: Cell::new(None),
        }
    }

    /// Records that there was nothing to watch before.
    pub fn set_first_start(&self) {
        self.since.set(Time::default());
    }

    /// Records that the log is unreachable now.
    pub fn record(&self) {
        let now = Time::monotonic();
        let (began, _) = self.trouble(now).unwrap_or((now, now));
        self.trouble.set(Some((began, now)));
    }

    /// Adds what another instance knows.
    pub fn learn(&self, other: Evidence) {
        let now = Time::monotonic();
        let before = |ms: u64| now - Duration::from_millis(ms);
        let observed = before(other.observed_ms);
        self.since.set(self.since.get().min(observed));
        let Some(trouble) = other.trouble else {
            return;
        };
        let (began, latest) = (before(trouble.began_ms), before(trouble.latest_ms));
        let merged = match self.trouble(now) {
            Some((own_began, own_latest)) => {
                let later = latest > own_latest + PASSING_TIME;
                (
                    own_began.min(began),
                    if later { latest } else { own_latest },
                )
            }
            // It has expired here just now, or will.
            None if now.since(latest) + PASSING_TIME >= account::RETENTION => return,
            None => (began, latest),
        };
        self.trouble.set(Some(merged));
    }

    /// Returns what this instance knows.
    pub fn evidence(&self) -> Evidence {
        let now = Time::monotonic();
        Evidence {
            observed_ms: age_ms(now, self.since.get()),
            trouble: self.trouble(now).map(|(began, latest)| Trouble {
                began_ms: age_ms(now, began),
                latest_ms: age_ms(now, latest),
            }),
        }
    }

    fn trouble(&self, now: Time) -> Option<(Time, Time)> {
        let recent = |(_, latest): &(Time, Time)| now.since(*latest) < account::RETENTION;
        self.trouble.get().filter(recent)
    }
}

impl Default for Journal {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the milliseconds since a time; the zero time is before all others.
pub fn age_ms(now: Time, since: Time) -> u64 {
    match since == Time::default() {
        true => u64::MAX,
        false => now.since(since).as_millis() as u64,
    }
}
