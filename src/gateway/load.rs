//! What one instance knows about the load of one upstream.

use std::time::Duration;

use crate::{
    clock::Time,
    gateway::call::Prefix,
    policy::recent::Recent, //
};

/// Mean pace of upstreams that share their machines: 15 % of them are 2.5 times slower.
const USUAL_PACE: f64 = 1.2;

/// Time after which a reported pace says little; neighbours come and go every 600 ms.
const PACE_LIFE: Duration = Duration::from_millis(400);

/// Time after which reported requests of others say little: the length of a turn.
const REPORT_LIFE: Duration = Duration::from_millis(800);

/// First time for which an upstream that could not be reached is avoided.
const AVOID: Duration = Duration::from_millis(300);

/// Longest time for which it is avoided.
const AVOID_MOST: Duration = Duration::from_secs(2);

/// Time after which a lost answer says little; upstreams fail for some seconds.
const LOST_LIFE: Duration = Duration::from_secs(3);

/// Prefixes that are remembered for each upstream; the cache of an engine holds fewer.
const PREFIXES: usize = 4_096;

/// Load that an upstream reports with an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at a time.
    pub slots: u32,
    /// Time that work takes at this moment, as a multiple of the usual time.
    pub pace: f64,
}

#[derive(Clone, Copy, Debug)]
struct Reported {
    at: Time,
    /// Requests of other instances.
    foreign: f64,
    pace: f64,
}

/// Load of an upstream.
#[derive(Debug)]
pub struct Load {
    /// Requests of this instance in flight.
    ours: u32,
    /// Tokens of prompts of ours that the upstream still has to read.
    reading: u64,
    reported: Option<Reported>,
    /// Times in a row that the upstream could not be reached.
    failures: u32,
    /// Answers that were lost lately, and when this was counted.
    lost: f64,
    lost_at: Time,
    avoid_until: Time,
    prefixes: Recent<u64, ()>,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            ours: 0,
            reading: 0,
            reported: None,
            failures: 0,
            lost: 0.0,
            lost_at: Time::default(),
            avoid_until: Time::default(),
            prefixes: Recent::new(PREFIXES),
        }
    }
}

fn decay(age: Duration, life: Duration) -> f64 {
    (-age.as_secs_f64() / life.as_secs_f64()).exp()
}

impl Load {
    /// Notes a request that is sent.
    pub fn sent(&mut self, tokens: u64) {
        self.ours += 1;
        self.reading += tokens;
    }

    /// Notes that the upstream has read a prompt.
    pub fn read(&mut self, tokens: u64) {
        self.reading = self.reading.saturating_sub(tokens);
    }

    /// Notes that a request ended.
    pub fn ended(&mut self) {
        self.ours = self.ours.saturating_sub(1);
    }

    /// Takes a report; `ours` in flight are part of it.
    pub fn report(&mut self, now: Time, report: Report) {
        let all = report.running + report.waiting;
        self.reported = Some(Reported {
            at: now,
            foreign: f64::from(all.saturating_sub(self.ours)),
            pace: report.pace,
        });
    }

    /// Notes that the upstream answered.
    pub fn reached(&mut self) {
        self.failures = 0;
        self.avoid_until = Time::default();
    }

    /// Notes that an answer of the upstream was lost, cut or refused without a reason.
    pub fn failed(&mut self, now: Time) {
        self.lost = self.lost(now) + 1.0;
        self.lost_at = now;
    }

    /// Returns the answers that were lost lately; older ones count less.
    pub fn lost(&self, now: Time) -> f64 {
        self.lost * decay(now.since(self.lost_at), LOST_LIFE)
    }

    /// Notes that the upstream could not be reached.
    pub fn unreachable(&mut self, now: Time) {
        let avoid = AVOID * 2_u32.saturating_pow(self.failures.min(4));
        self.failures += 1;
        self.avoid_until = now + avoid.min(AVOID_MOST);
    }

    /// Returns whether the upstream is better avoided.
    pub fn avoided(&self, now: Time) -> bool {
        now < self.avoid_until
    }

    /// Returns the requests in flight of all instances, as far as known.
    pub fn running(&self, now: Time) -> f64 {
        let foreign = self.reported.map_or(0.0, |reported| {
            reported.foreign * decay(now.since(reported.at), REPORT_LIFE)
        });
        f64::from(self.ours) + foreign
    }

    /// Returns the age of the latest report.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.reported.map(|reported| now.since(reported.at))
    }

    /// Returns the expected time of work, as a multiple of the usual time.
    pub fn pace(&self, now: Time) -> f64 {
        self.reported.map_or(USUAL_PACE, |reported| {
            let fresh = decay(now.since(reported.at), PACE_LIFE);
            USUAL_PACE + (reported.pace - USUAL_PACE) * fresh
        })
    }

    /// Returns the tokens of prompts of ours that the upstream still has to read.
    pub fn reading(&self) -> u64 {
        self.reading
    }

    /// Notes the prefixes that the upstream now keeps.
    pub fn keep(&mut self, prefixes: &[Prefix]) {
        for prefix in prefixes {
            self.prefixes.insert(prefix.key, ());
        }
    }

    /// Returns the tokens of the longest prefix that the upstream keeps.
    pub fn kept(&self, prefixes: &[Prefix]) -> u32 {
        let kept = |prefix: &&Prefix| self.prefixes.get(&prefix.key).is_some();
        prefixes
            .iter()
            .rev()
            .find(kept)
            .map_or(0, |prefix| prefix.tokens)
    }
}
