//! Load of one upstream, as estimated by one instance.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    cache::Cache,
    call::Prefix, //
};
use crate::clock::Time;

/// Mean pace of upstreams that share their machines: 15 % of them take 2.5 times as long.
const MEAN_PACE: f64 = 1.2;

/// Decay time of a reported pace; neighbours on the machine change every 600 ms.
const PACE_DECAY: Duration = Duration::from_millis(400);

/// Decay time of the reported requests of other clients: the duration of a turn.
const REPORT_DECAY: Duration = Duration::from_millis(800);

/// Time for which an upstream is avoided after the first failure to reach it.
const MIN_AVOID: Duration = Duration::from_millis(300);

/// Maximum time for which an unreachable upstream is avoided.
const MAX_AVOID: Duration = Duration::from_secs(2);

/// Decay time of lost answers; upstreams fail for some seconds.
const LOST_DECAY: Duration = Duration::from_secs(3);

/// Load that an upstream reports with an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Report {
    /// Requests that run.
    #[serde(rename = "r")]
    pub running: u32,
    /// Requests that wait.
    #[serde(rename = "w")]
    pub waiting: u32,
    /// Requests that can run at a time.
    #[serde(rename = "s")]
    pub slots: u32,
    /// Current duration of work, as a multiple of the nominal duration.
    #[serde(rename = "p")]
    pub pace: f64,
}

#[derive(Clone, Copy, Debug)]
struct Reported {
    at: Time,
    /// Requests of other clients.
    foreign: f64,
    pace: f64,
}

/// Load of an upstream.
#[derive(Debug)]
pub struct Load {
    /// Requests of this instance in flight.
    local: u32,
    /// Prompt tokens of local requests that the upstream still has to process.
    pending_prefill: u64,
    reported: Option<Reported>,
    /// Consecutive failures to reach the upstream.
    failures: u32,
    /// Recently lost answers, decayed up to `lost_at`.
    lost: f64,
    lost_at: Time,
    avoid_until: Time,
    /// Earliest time of the next permit, if the upstream limits its requests.
    next_permit: Time,
    cache: Cache,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            local: 0,
            pending_prefill: 0,
            reported: None,
            failures: 0,
            lost: 0.0,
            lost_at: Time::default(),
            avoid_until: Time::default(),
            next_permit: Time::default(),
            cache: Cache::default(),
        }
    }
}

fn decay(age: Duration, decay_time: Duration) -> f64 {
    (-age.as_secs_f64() / decay_time.as_secs_f64()).exp()
}

impl Load {
    /// Records that a request with `tokens` unprocessed prompt tokens is sent.
    pub fn sent(&mut self, tokens: u64) {
        self.local += 1;
        self.pending_prefill += tokens;
    }

    /// Records that the upstream has processed `tokens` of a prompt.
    pub fn prefilled(&mut self, tokens: u64) {
        self.pending_prefill = self.pending_prefill.saturating_sub(tokens);
    }

    /// Records that a request ended.
    pub fn ended(&mut self) {
        self.local = self.local.saturating_sub(1);
    }

    /// Records a report; it includes the local requests in flight.
    pub fn report(&mut self, now: Time, report: Report) {
        let all = report.running.saturating_add(report.waiting);
        self.reported = Some(Reported {
            at: now,
            foreign: f64::from(all.saturating_sub(self.local)),
            pace: report.pace,
        });
    }

    /// Records that the upstream answered.
    pub fn reached(&mut self) {
        self.failures = 0;
        self.avoid_until = Time::default();
    }

    /// Records that an answer of the upstream was lost, truncated or a server error.
    pub fn failed(&mut self, now: Time) {
        self.lost = self.recent_losses(now) + 1.0;
        self.lost_at = now;
    }

    /// Returns the number of recently lost answers; older ones count less.
    pub fn recent_losses(&self, now: Time) -> f64 {
        self.lost * decay(now.since(self.lost_at), LOST_DECAY)
    }

    /// Records that the upstream could not be reached.
    pub fn unreachable(&mut self, now: Time) {
        let avoid = MIN_AVOID * 2_u32.saturating_pow(self.failures.min(4));
        self.failures += 1;
        self.avoid_until = now + avoid.min(MAX_AVOID);
    }

    /// Returns whether the upstream is avoided after failures to reach it.
    pub fn avoided(&self, now: Time) -> bool {
        now < self.avoid_until
    }

    /// Records the earliest time of the next permit.
    pub fn set_next_permit(&mut self, at: Time) {
        self.next_permit = at;
    }

    /// Returns the expected wait for a permit.
    pub fn permit_wait(&self, now: Time) -> Duration {
        self.next_permit.since(now)
    }

    /// Returns the estimated requests in flight from all clients.
    pub fn running(&self, now: Time) -> f64 {
        let foreign = self.reported.map_or(0.0, |reported| {
            reported.foreign * decay(now.since(reported.at), REPORT_DECAY)
        });
        f64::from(self.local) + foreign
    }

    /// Returns the estimated requests in flight from all clients, if `presumed` of them come from
    /// other clients as long as no recent report says otherwise.
    pub fn running_presumed(&self, now: Time, presumed: f64) -> f64 {
        let weight = self
            .reported
            .map_or(0.0, |reported| decay(now.since(reported.at), REPORT_DECAY));
        self.running(now) + presumed * (1.0 - weight)
    }

    /// Returns the age of the latest report.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.reported.map(|reported| now.since(reported.at))
    }

    /// Returns the expected duration of work, as a multiple of the nominal duration.
    pub fn pace(&self, now: Time) -> f64 {
        self.reported.map_or(MEAN_PACE, |reported| {
            let weight = decay(now.since(reported.at), PACE_DECAY);
            MEAN_PACE + (reported.pace - MEAN_PACE) * weight
        })
    }

    /// Returns the prompt tokens of local requests that the upstream still has to process.
    pub fn pending_prefill(&self) -> u64 {
        self.pending_prefill
    }

    /// Records the prefixes that the upstream, whose cache holds `capacity` tokens, has processed.
    pub fn record_cached(&mut self, prefixes: &[Prefix], capacity: u64) {
        self.cache.record(prefixes, capacity);
    }

    /// Returns the tokens of the longest prefix that the upstream has cached.
    pub fn cached_tokens(&self, prefixes: &[Prefix]) -> u32 {
        self.cache.cached_tokens(prefixes)
    }
}
