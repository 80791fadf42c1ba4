//! Quotas of tenants: decisions of the instances that issue credits, without I/O.
//!
//! In each window of 5 s, the instances together may issue (5 x rate + burst) x 1.1 + 20 credits of a
//! tenant. One instance, the issuer, holds the token bucket. What exceeds 5 x rate + burst is the slack.
//! It covers the times at which more than one instance issues, and is divided as follows:
//!
//! | part of the slack | for |
//! |---|---|
//! | 0.05 | depth of the bucket beyond the burst |
//! | up to 0.05 | length of the bins in which credits are counted |
//! | 0.25 or 0.5 | one or two fresh issuers, while their predecessors may still act |
//! | 0.3 to 0.45 | shares of the zones, which are issued without the issuer |
//!
//! All times are of the boot clock: time for which the process was suspended counts.

use std::{
    sync::Arc,
    time::Duration, //
};

use super::Quota;
use crate::{
    clock::Time,
    hash::Map, //
};

/// Length of the window in which the credits of a tenant are bounded.
pub const WINDOW: Duration = Duration::from_secs(5);

/// Time after a change of members, a start or a pause in which another issuer may still act.
const HANDOVER_TIME: Duration = Duration::from_secs(2);

/// Time without activity from which the process counts as paused. Another instance may have issued
/// in its place.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// Longest time after which a refused caller may retry.
const MAX_WAIT: Duration = WINDOW;

/// Shortest time after which a refused caller may retry; a shorter one would be stated as zero.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// Part of the slack by which the bucket is deeper than the burst.
const DEPTH_SHARE: f64 = 0.05;

/// Part of the slack with which a fresh issuer begins. An instance that dies and is back 2.5 s later makes two
/// fresh issuers in one window; 0.35 exceeded the bound then.
const FRESH_SHARE: f64 = 0.25;

/// Part of the slack that the shares of all zones have together.
const ZONES_SHARE: f64 = 0.3;

/// Part of a zone's share for an instance that may have a predecessor within the window; at least one
/// credit.
const FRESH_ZONE_SHARE: f64 = 0.5;

/// Length of a bin of counted credits, in microseconds.
const BIN_US: u64 = 25_000;

/// Bins that cover a window, wherever it begins.
const BINS: usize = (WINDOW.as_micros() as u64 / BIN_US) as usize + 1;

impl Quota {
    /// Returns the credits that all instances together may issue beyond 5 x rate + burst in a window.
    pub fn slack(&self) -> f64 {
        0.1 * self.window() + 20.0
    }

    /// Returns the credits of a window without slack.
    fn window(&self) -> f64 {
        self.rate * WINDOW.as_secs_f64() + self.burst
    }

    /// Returns the depth of the bucket.
    fn depth(&self) -> f64 {
        self.burst + DEPTH_SHARE * self.slack()
    }
}

/// Decision about a credit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The request may run.
    Granted,
    /// The tenant is over its quota; the time until there is a credit for the request.
    Denied(Duration),
    /// There is no credit here, and this instance doesn't know whether the tenant is over its quota.
    Unavailable,
}

/// Credits issued in the latest window.
#[derive(Clone, Debug)]
struct Count {
    bins: [u32; BINS],
    /// Number of the latest bin since the zero time.
    latest: u64,
    sum: u32,
}

impl Count {
    fn new(now: Time) -> Self {
        Self {
            bins: [0; BINS],
            latest: now.0 / BIN_US,
            sum: 0,
        }
    }

    fn index(bin: u64) -> usize {
        (bin % BINS as u64) as usize
    }

    fn advance(&mut self, now: Time) {
        let bin = now.0 / BIN_US;
        let passed = bin.saturating_sub(self.latest).min(BINS as u64);
        for offset in 0..passed {
            let expired = &mut self.bins[Self::index(bin - offset)];
            self.sum -= std::mem::take(expired);
        }
        self.latest = self.latest.max(bin);
    }

    /// Returns the credits of the latest window.
    fn get(&mut self, now: Time) -> f64 {
        self.advance(now);
        f64::from(self.sum)
    }

    fn add(&mut self, now: Time) {
        self.advance(now);
        self.bins[Self::index(self.latest)] += 1;
        self.sum += 1;
    }

    /// Removes a credit that was issued at a time; returns whether one is counted there.
    fn remove(&mut self, now: Time, issued: Time) -> bool {
        self.advance(now);
        let bin = issued.0 / BIN_US;
        if bin > self.latest || self.latest - bin >= BINS as u64 {
            return false;
        }
        // The time on the way is unknown; it is at most a few bins.
        let earliest = bin.saturating_sub(2).max(self.latest + 1 - BINS as u64);
        let found = (earliest..=bin).rev().map(Self::index);
        let mut found = found.filter(|index| self.bins[*index] > 0);
        match found.next() {
            Some(index) => {
                self.bins[index] -= 1;
                self.sum -= 1;
                true
            }
            None => false,
        }
    }
}

/// Token bucket of a tenant at its issuer.
#[derive(Clone, Debug)]
struct Bucket {
    quota: Quota,
    level: f64,
    /// Time up to which the bucket is filled.
    filled: Time,
    /// Time at which this instance became the issuer.
    since: Time,
    /// Credits requested since.
    requested: u64,
    /// Credits refused since.
    denials: u64,
    /// Time of the latest credit that was promised to a refused caller.
    promised: Time,
    count: Count,
}

impl Bucket {
    /// Returns the bucket of an issuer since the latest `event`.
    fn new(now: Time, quota: Quota, event: Time) -> Self {
        // Until the end of the handover the predecessor may issue at the rate.
        Self {
            quota,
            level: FRESH_SHARE * quota.slack(),
            filled: event + HANDOVER_TIME,
            since: event,
            requested: 0,
            denials: 0,
            promised: now,
            count: Count::new(now),
        }
    }

    fn fill(&mut self, now: Time) {
        let time = now.since(self.filled).as_secs_f64();
        self.filled = self.filled.max(now);
        if time > 0.0 {
            let level = self.level + time * self.quota.rate;
            self.level = level.min(self.quota.depth().max(1.0));
        }
    }

    fn set_quota(&mut self, now: Time, quota: Quota) {
        if self.quota == quota {
            return;
        }
        self.fill(now);
        // The new limit is binding one window after it is in force.
        *self = Self {
            quota,
            level: self.level.min(quota.depth()),
            filled: self.filled,
            since: self.since,
            denials: self.denials,
            // The demand so far was within another quota.
            requested: 0,
            promised: now,
            count: Count::new(now),
        };
    }

    fn take(&mut self, now: Time) -> Verdict {
        self.fill(now);
        self.requested += 1;
        let max = self.quota.window() + (DEPTH_SHARE + 0.05) * self.quota.slack();
        if self.level >= 1.0 && self.count.get(now) + 1.0 <= max {
            self.level -= 1.0;
            self.count.add(now);
            return Verdict::Granted;
        }
        if now.since(self.since) < WINDOW && !self.is_over(now) {
            return Verdict::Unavailable;
        }
        self.denials += 1;
        Verdict::Denied(self.promise(now))
    }

    /// Returns whether the demand alone shows that the tenant is over its quota, whatever another
    /// issuer granted.
    fn is_over(&self, now: Time) -> bool {
        let time = now.since(self.since).as_secs_f64();
        self.requested as f64 > self.quota.depth() + time * self.quota.rate
    }

    /// Returns the time until the next credit that was not promised to another refused caller.
    fn promise(&mut self, now: Time) -> Duration {
        let seconds = |seconds: f64| Duration::try_from_secs_f64(seconds).unwrap_or(MAX_WAIT);
        let missing = seconds((1.0 - self.level).max(0.0) / self.quota.rate);
        let next = self.filled.max(now) + missing.clamp(MIN_WAIT, MAX_WAIT);
        let interval = seconds(1.0 / self.quota.rate).min(MAX_WAIT);
        let latest = now + MAX_WAIT;
        self.promised = (self.promised + interval).max(next).min(latest);
        self.promised.since(now)
    }

    fn give_back(&mut self, now: Time, issued: Time) {
        self.fill(now);
        if self.count.remove(now, issued) {
            self.level = (self.level + 1.0).min(self.quota.depth().max(1.0));
        }
    }
}

/// Share of a zone of a tenant's slack.
#[derive(Clone, Debug)]
struct Share {
    count: Count,
    /// Time until which a predecessor's credits may be in the window.
    fresh_until: Time,
}

/// State of a tenant at its issuer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct State {
    /// Credits left.
    pub credit: f64,
    /// Requests that were refused.
    pub denials: u64,
}

/// Credits that an instance issues.
#[derive(Debug)]
pub struct Credits {
    buckets: Map<Arc<str>, Bucket>,
    shares: Map<Arc<str>, Share>,
    /// Time of the latest start, pause, end of an isolation or change of members.
    event: Time,
    /// Time of the latest activity of the process.
    active: Time,
    isolated: bool,
}

impl Credits {
    /// Returns the credits of an instance that has just started.
    pub fn new(now: Time) -> Self {
        Self {
            buckets: Map::default(),
            shares: Map::default(),
            event: now,
            active: now,
            isolated: false,
        }
    }

    /// Records that the process is active, at least each half of a second; drops all credits after
    /// a pause.
    pub fn tick(&mut self, now: Time) {
        if now.since(self.active) > MAX_PAUSE {
            self.reset(now);
        }
        self.active = self.active.max(now);
    }

    fn reset(&mut self, now: Time) {
        self.buckets.clear();
        self.shares.clear();
        self.event = now;
    }

    /// Records that the instances that may issue have changed, and drops the credits of tenants that
    /// this one no longer issues, to all (`issues`) or to its zone (`shares`).
    pub fn members_changed(
        &mut self,
        now: Time,
        issues: impl Fn(&str) -> bool,
        shares: impl Fn(&str) -> bool,
    ) {
        self.tick(now);
        self.event = now;
        self.buckets.retain(|tenant, _| issues(tenant));
        self.shares.retain(|tenant, _| shares(tenant));
    }

    /// Records whether this instance is cut off from all other zones, in which another instance may
    /// issue then. Its buckets are worth nothing afterwards.
    pub fn set_isolated(&mut self, now: Time, isolated: bool) {
        if std::mem::replace(&mut self.isolated, isolated) != isolated {
            self.buckets.clear();
            self.event = now;
        }
    }

    /// Returns whether this instance is cut off from all other zones.
    pub fn isolated(&self) -> bool {
        self.isolated
    }

    /// Takes a credit of a tenant, as its issuer.
    pub fn take(&mut self, now: Time, tenant: &Arc<str>, quota: Quota) -> Verdict {
        self.tick(now);
        if self.isolated {
            return Verdict::Unavailable;
        }
        let event = self.event;
        let bucket = self.buckets.entry(tenant.clone());
        let bucket = bucket.or_insert_with(|| Bucket::new(now, quota, event));
        bucket.set_quota(now, quota);
        bucket.take(now)
    }

    /// Takes a credit of the share that the zone of this instance has, as one of `zones`.
    pub fn take_share(
        &mut self,
        now: Time,
        tenant: &Arc<str>,
        quota: Quota,
        zones: usize,
    ) -> Verdict {
        self.tick(now);
        let fresh_until = self.event + WINDOW;
        let share = self.shares.entry(tenant.clone());
        let share = share.or_insert_with(|| Share {
            count: Count::new(now),
            fresh_until,
        });
        let whole = ZONES_SHARE * quota.slack() / zones.max(1) as f64;
        let max = match now < share.fresh_until {
            true => (whole * FRESH_ZONE_SHARE).max(1.0),
            false => whole,
        };
        if share.count.get(now) + 1.0 > max {
            return Verdict::Unavailable;
        }
        share.count.add(now);
        Verdict::Granted
    }

    /// Takes back a credit that was issued at a time and not used.
    pub fn give_back(&mut self, now: Time, tenant: &str, issued: Time, share: bool) {
        self.tick(now);
        if share {
            if let Some(share) = self.shares.get_mut(tenant) {
                share.count.remove(now, issued);
            }
        } else if let Some(bucket) = self.buckets.get_mut(tenant) {
            bucket.give_back(now, issued);
        }
    }

    /// Returns the state of a tenant, if this instance issues its credits and any was requested.
    pub fn state(&mut self, now: Time, tenant: &str) -> Option<State> {
        let bucket = self.buckets.get_mut(tenant)?;
        bucket.fill(now);
        Some(State {
            credit: bucket.level,
            denials: bucket.denials,
        })
    }

    /// Drops the credits of tenants that have no quota any more.
    pub fn retain(&mut self, limited: impl Fn(&str) -> bool) {
        self.buckets.retain(|tenant, _| limited(tenant));
        self.shares.retain(|tenant, _| limited(tenant));
    }
}
