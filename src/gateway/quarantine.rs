//! Requests that crash the upstreams that run them.
//!
//! Answers the load pattern of a request that ends each upstream that begins to run it, and that
//! comes again through other attempts, callers and instances. Each crash breaks all requests of the
//! upstream, so that one crash says little about any of them; a request under which several upstreams
//! crashed, and that none completed, is held back.

use std::{
    sync::Arc,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::fingerprint::{
    Fingerprint,
    Key, //
};
use crate::{
    clock::Time,
    hash::Map,
    policy::recent::Recent, //
};

/// Crashes after which a request is held back.
pub const MAX_CRASHES: usize = 3;

/// Time for which a crash counts.
const CRASH_TTL: Duration = Duration::from_secs(60);

/// Time for which a completed answer clears a request.
const CLEAR_TTL: Duration = Duration::from_secs(60);

/// Time for which a request is held back first; each further hold takes twice as long.
const MIN_HOLD: Duration = Duration::from_secs(120);

/// Maximum time for which a request is held back.
pub const MAX_HOLD: Duration = Duration::from_secs(3_600);

/// Maximum requests under which upstreams crashed that an instance remembers.
const MAX_SUSPECTS: usize = 4_096;

/// Maximum requests that are held back.
const MAX_HOLDS: usize = 1_024;

/// Maximum completed requests that an instance remembers.
const MAX_CLEARED: usize = 4_096;

/// Maximum reports of one message between instances.
pub const MAX_REPORTS: usize = 1_024;

/// End of one start of an upstream.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Crash {
    /// Identifier of the upstream.
    #[serde(rename = "u")]
    pub upstream: Arc<str>,
    /// Start of the upstream.
    #[serde(rename = "b")]
    pub started: u64,
}

/// What an instance found out about a request.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Event {
    /// An upstream crashed before the request had any result.
    #[serde(rename = "c")]
    Crashed {
        /// The crash.
        #[serde(rename = "c")]
        crash: Crash,
        /// Time since the crash in milliseconds; clocks of instances differ.
        #[serde(rename = "a", default)]
        age_ms: u64,
    },
    /// The request is held back.
    #[serde(rename = "h")]
    Held {
        /// Time left in milliseconds.
        #[serde(rename = "l")]
        left_ms: u64,
        /// How often it was held back so far; at least 1.
        #[serde(rename = "n")]
        holds: u32,
    },
    /// An upstream completed an answer to the request.
    #[serde(rename = "o")]
    Completed,
}

/// Report of an instance about a request.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Report {
    /// Service that runs the request.
    #[serde(rename = "s")]
    pub service: Arc<str>,
    /// Key of the request.
    #[serde(rename = "k")]
    pub key: Key,
    /// What was found out.
    #[serde(rename = "e")]
    pub event: Event,
}

/// Effect of a report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// It was known.
    None,
    /// A further upstream crashed under the request.
    Suspected,
    /// The request is held back from now on.
    Held,
    /// The request is no longer suspected or held back.
    Cleared,
}

#[derive(Clone, Debug)]
struct Suspect {
    service: Arc<str>,
    /// Crashes, oldest first; at most [`MAX_CRASHES`].
    crashes: Vec<(Crash, Time)>,
}

#[derive(Clone, Debug)]
struct Hold {
    service: Arc<str>,
    until: Time,
    /// How often the request was held back; at least 1.
    holds: u32,
}

impl Hold {
    /// Returns the time after which an ended hold is forgotten.
    fn forget_at(&self) -> Time {
        self.until + hold_time(self.holds)
    }
}

fn hold_time(holds: u32) -> Duration {
    let doublings = holds.saturating_sub(1).min(16);
    (MIN_HOLD * 2_u32.pow(doublings)).min(MAX_HOLD)
}

/// Requests under which upstreams crashed.
///
/// All times are of the boot clock: a hold doesn't last longer because the machine was suspended.
#[derive(Debug)]
pub struct Quarantine {
    suspects: Recent<Key, Suspect>,
    /// Also has holds that ended lately; one further crash renews those. At most [`MAX_HOLDS`].
    holds: Map<Key, Hold>,
    /// Requests that were completed.
    cleared: Recent<Key, Time>,
    /// The request that is held back for a crash. The others that the upstream ran are not to blame.
    blamed: Recent<Crash, Key>,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self {
            suspects: Recent::new(MAX_SUSPECTS),
            holds: Map::default(),
            cleared: Recent::new(MAX_CLEARED),
            blamed: Recent::new(MAX_SUSPECTS),
        }
    }
}

impl Quarantine {
    /// Applies a report, of this instance or another.
    pub fn apply(&mut self, now: Time, report: &Report) -> Change {
        let key = report.key;
        match &report.event {
            Event::Crashed { crash, age_ms } => {
                let at = now - Duration::from_millis(*age_ms);
                self.record_crash(now, at, report, crash)
            }
            Event::Held { left_ms, holds } => {
                let left = Duration::from_millis(*left_ms).min(MAX_HOLD);
                self.hold(now, report, now + left, (*holds).max(1))
            }
            Event::Completed => self.clear(now, key),
        }
    }

    fn record_crash(&mut self, now: Time, at: Time, report: &Report, crash: &Crash) -> Change {
        let key = report.key;
        if now.since(at) >= CRASH_TTL || self.is_cleared(now, key) || self.held_key(now, key) {
            return Change::None;
        }
        let blamed_on_other = self.blamed.get(crash).is_some_and(|other| *other != key);
        if blamed_on_other {
            return Change::None;
        }
        let mut suspect = self.suspects.get(&key).cloned().unwrap_or(Suspect {
            service: report.service.clone(),
            crashes: Vec::new(),
        });
        let recent = |(_, at): &(Crash, Time)| now.since(*at) < CRASH_TTL;
        suspect.crashes.retain(recent);
        if suspect.crashes.iter().any(|(known, _)| known == crash) {
            return Change::None;
        }
        suspect.crashes.push((crash.clone(), at));
        let crashes = self.count(&suspect, key);
        let earlier = self.holds.get(&key).map_or(0, |hold| hold.holds);
        if crashes < MAX_CRASHES && earlier == 0 {
            self.suspects.insert(key, suspect);
            return Change::Suspected;
        }
        for (crash, _) in suspect.crashes {
            self.blamed.insert(crash, key);
        }
        let holds = earlier.saturating_add(1);
        self.hold(now, report, now + hold_time(holds), holds)
    }

    /// Returns the crashes of a request that are not blamed on another one.
    fn count(&self, suspect: &Suspect, key: Key) -> usize {
        let open = |crash: &Crash| self.blamed.get(crash).is_none_or(|other| *other == key);
        let crashes = suspect.crashes.iter().filter(|(crash, _)| open(crash));
        crashes.count()
    }

    fn hold(&mut self, now: Time, report: &Report, until: Time, holds: u32) -> Change {
        let key = report.key;
        if until <= now || self.is_cleared(now, key) {
            return Change::None;
        }
        self.suspects.remove(&key);
        let was_held = self.held_key(now, key);
        if self.holds.len() >= MAX_HOLDS && !self.holds.contains_key(&key) {
            let first = self.holds.iter().min_by_key(|(_, hold)| hold.until);
            if let Some(first) = first.map(|(key, _)| *key) {
                self.holds.remove(&first);
            }
        }
        let hold = self.holds.entry(key).or_insert(Hold {
            service: report.service.clone(),
            until,
            holds,
        });
        hold.until = hold.until.max(until);
        hold.holds = hold.holds.max(holds);
        match was_held {
            true => Change::None,
            false => Change::Held,
        }
    }

    fn clear(&mut self, now: Time, key: Key) -> Change {
        let known = self.suspects.get(&key).is_some() || self.holds.contains_key(&key);
        self.cleared.insert(key, now);
        self.suspects.remove(&key);
        self.holds.remove(&key);
        match known {
            true => Change::Cleared,
            false => Change::None,
        }
    }

    fn is_cleared(&self, now: Time, key: Key) -> bool {
        let cleared = self.cleared.get(&key);
        cleared.is_some_and(|at| now.since(*at) < CLEAR_TTL)
    }

    fn held_key(&self, now: Time, key: Key) -> bool {
        self.holds.get(&key).is_some_and(|hold| now < hold.until)
    }

    /// Returns the time for which a request is held back.
    pub fn held(&self, now: Time, request: &Fingerprint) -> Option<Duration> {
        let holds = request
            .keys()
            .into_iter()
            .filter_map(|key| self.holds.get(&key));
        let left = holds.map(|hold| hold.until.since(now));
        left.filter(|left| !left.is_zero()).max()
    }

    /// Returns the number of upstreams that crashed under a request and are not blamed on another.
    pub fn crashes(&self, now: Time, request: &Fingerprint) -> usize {
        let crashes = |key: Key| {
            let suspect = self.suspects.get(&key)?;
            let recent = suspect.crashes.last();
            let recent = recent.is_some_and(|(_, at)| now.since(*at) < CRASH_TTL);
            recent.then(|| self.count(suspect, key))
        };
        let keys = request.keys().into_iter();
        keys.filter_map(crashes).max().unwrap_or(0)
    }

    /// Returns whether a request is held back, or was lately.
    pub fn was_held(&self, key: Key) -> bool {
        self.holds.contains_key(&key)
    }

    /// Returns the time for which a request is held back, and how often it was so far.
    pub fn hold_of(&self, now: Time, key: Key) -> Option<(Duration, u32)> {
        let hold = self.holds.get(&key).filter(|hold| now < hold.until)?;
        Some((hold.until.since(now), hold.holds))
    }

    /// Returns what is known of requests that are held back or suspected, for another instance.
    pub fn list(&self, now: Time) -> Vec<Report> {
        let held = self
            .holds
            .iter()
            .filter(|(_, hold)| now < hold.until)
            .map(|(key, hold)| Report {
                service: hold.service.clone(),
                key: *key,
                event: Event::Held {
                    left_ms: hold.until.since(now).as_millis() as u64,
                    holds: hold.holds,
                },
            });
        let suspected = self.suspects.iter().flat_map(|(key, suspect)| {
            let crashes = suspect.crashes.iter();
            crashes.map(move |(crash, at)| Report {
                service: suspect.service.clone(),
                key: *key,
                event: Event::Crashed {
                    crash: crash.clone(),
                    age_ms: now.since(*at).as_millis() as u64,
                },
            })
        });
        held.chain(suspected).take(MAX_REPORTS).collect()
    }

    /// Forgets holds that ended long ago.
    pub fn sweep(&mut self, now: Time) {
        self.holds.retain(|_, hold| now < hold.forget_at());
    }
}
