//! Admission of new programs of a tenant that is over its quota.
//!
//! Answers the load pattern of a tenant that sends many times its quota: if any request may be refused,
//! hardly any of its programs ends, as each needs many requests. While credits are scarce, programs
//! start only at the rate at which the quota covers all their requests, and the credits go to those
//! under way.

use std::time::Duration;

use super::Quota;
use crate::{
    clock::Time,
    policy::recent::Recent, //
};

/// Maximum programs under way that are known; a program lasts for seconds.
const MAX_PROGRAMS: usize = 2_048;

/// Level of the bucket below which credits are scarce, as a fraction of the burst.
const SCARCE: f64 = 0.5;

/// Decay time of the counts from which the requests of a program are learned.
const DECAY: Duration = Duration::from_secs(20);

/// Programs from which on their mean number of requests is used.
const MIN_PROGRAMS: f64 = 5.0;

/// Programs of a tenant, as the issuer of its quota sees them.
#[derive(Clone, Debug)]
pub struct Starts {
    /// Programs under way.
    known: Recent<u64, ()>,
    /// Decayed number of credits of programs, and of programs that started.
    credits: f64,
    programs: f64,
    /// Programs that may start at once.
    level: f64,
    /// Time up to which the counts are decayed and the level is filled.
    updated: Time,
    /// Time of the latest start that was promised to a refused caller.
    promised: Time,
}

impl Starts {
    /// Returns the state of an issuer that knows no program.
    pub fn new(now: Time) -> Self {
        Self {
            known: Recent::new(MAX_PROGRAMS),
            credits: 0.0,
            programs: 0.0,
            level: 0.0,
            updated: now,
            promised: now,
        }
    }

    /// Returns the mean number of requests of a program; at least 1.
    fn requests(&self) -> f64 {
        match self.programs >= MIN_PROGRAMS {
            true => (self.credits / self.programs).max(1.0),
            false => 1.0,
        }
    }

    fn update(&mut self, now: Time, quota: Quota) {
        let time = now.since(self.updated);
        self.updated = self.updated.max(now);
        let weight = (-time.as_secs_f64() / DECAY.as_secs_f64()).exp();
        self.credits *= weight;
        self.programs *= weight;
        let requests = self.requests();
        let level = self.level + time.as_secs_f64() * quota.rate / requests;
        self.level = level.min((SCARCE * quota.burst / requests).max(1.0));
    }

    /// Returns the time until a program may start, if it is new and credits are scarce; `level` is that
    /// of the bucket. Each refused caller gets the time of another start, at most `max_wait`.
    pub fn delay(
        &mut self,
        now: Time,
        quota: Quota,
        program: u64,
        level: f64,
        max_wait: Duration,
    ) -> Option<Duration> {
        self.update(now, quota);
        let scarce = level < SCARCE * quota.burst;
        if !scarce || self.level >= 1.0 || self.known.get(&program).is_some() {
            return None;
        }
        let interval = self.requests() / quota.rate;
        let wait = |starts: f64| {
            let time = Duration::try_from_secs_f64(starts * interval);
            time.map_or(max_wait, |time| time.min(max_wait))
        };
        let next = now + wait(1.0 - self.level);
        self.promised = (self.promised + wait(1.0)).max(next).min(now + max_wait);
        Some(self.promised.since(now))
    }

    /// Records a credit of a program.
    pub fn granted(&mut self, program: u64) {
        self.credits += 1.0;
        if self.known.get(&program).is_none() {
            self.programs += 1.0;
            self.level = (self.level - 1.0).max(0.0);
        }
        // Written again, so that programs under way are not evicted.
        self.known.insert(program, ());
    }
}
