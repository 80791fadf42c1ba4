//! Slots for requests to upstreams that limit them, at the pace of the limit.
//!
//! Answers the load pattern of two issuers that act at the same time, as around a restart or a pause of
//! one of them: one that has just begun, or may have been paused, keeps to a part of the limit until
//! the other has certainly ended.

use std::{
    sync::Arc,
    time::Duration, //
};

use crate::{
    clock::Time,
    hash::Map, //
};

/// Fraction of a limit that is issued while another issuer may still act, and by the dispatchers of all
/// zones together to senders that get no answer of the issuer; leaves room for bursts.
pub const REDUCED: f64 = 0.4;

/// Time after which another issuer has learned that it is none any more.
const HANDOVER_TIME: Duration = Duration::from_secs(2);

/// Time without a request for a permit after which this instance may have been paused, and another
/// one may issue in its place.
const MAX_IDLE_TIME: Duration = Duration::from_secs(1);

/// Slots without a request after which the same is assumed of an upstream with a very low limit.
const MAX_IDLE_SLOTS: u32 = 3;

/// Time for which unused slots are kept, so that requests that arrive unevenly can use them.
const BURST_TIME: Duration = Duration::from_millis(250);

/// Longest time between two slots: an upstream that takes hardly any requests still gets some, as
/// only its answers tell when the limit ends.
const MAX_INTERVAL: Duration = Duration::from_secs(4);

/// Time between two slots of a share that has hardly any: longer than a limit is likely to last.
const NEVER: Duration = Duration::from_secs(3_600);

/// Slots of one upstream, at the pace of its limit.
///
/// All times are of the boot clock: time for which the machine was suspended passes for the upstream.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// Start of the upstream; a later one begins anew.
    started: u64,
    /// Time between two slots.
    interval: Duration,
    /// Time at which the slots issued so far are used up at the pace of the limit.
    paid_until: Time,
    /// When this instance began to issue slots.
    since: Time,
    /// When a slot was requested last.
    requested: Time,
}

/// Slots of all upstreams with a limit.
#[derive(Debug)]
pub struct Slots {
    buckets: Map<Arc<str>, Bucket>,
    /// Whether these are the slots of all senders, and not the share of a zone.
    for_all: bool,
    /// Time before the first slot, as a fraction of the time between two; above 0 and at most 1.
    phase: f64,
}

impl Slots {
    /// Returns the slots that an issuer hands out to all senders.
    pub fn for_all() -> Self {
        Self {
            buckets: Map::default(),
            for_all: true,
            phase: 1.0,
        }
    }

    /// Returns the slots of a zone's share.
    pub fn share() -> Self {
        Self {
            for_all: false,
            ..Self::for_all()
        }
    }

    /// Sets which of a number of `zones` has the share, so that not all of them have their first slot
    /// at the same time after they lost the issuer together.
    pub fn set_zone(&mut self, index: usize, zones: usize) {
        self.phase = (index + 1) as f64 / zones.max(index + 1) as f64;
    }

    /// Takes the next slot of an upstream; returns the time until it, also if that is longer than
    /// `max_wait` and the slot is not taken.
    ///
    /// `now` is of the boot clock; `rate` is in requests per second.
    pub fn take(
        &mut self,
        now: Time,
        (upstream, started): (&Arc<str>, u64),
        rate: f64,
        max_wait: Duration,
    ) -> Result<Duration, Duration> {
        let interval = self.interval(rate);
        let max_idle = match self.for_all {
            true => MAX_IDLE_TIME.max(interval * MAX_IDLE_SLOTS),
            false => MAX_IDLE_TIME,
        };
        let fresh = Bucket {
            started,
            interval,
            paid_until: now + BURST_TIME + interval.mul_f64(self.phase),
            since: now,
            requested: now,
        };
        let bucket = self.buckets.entry(upstream.clone()).or_insert(fresh);
        let idle = now.since(bucket.requested) > max_idle;
        if bucket.started < started || (idle && !self.for_all) {
            *bucket = fresh;
        } else if idle {
            bucket.paid_until = bucket.paid_until.max(now + BURST_TIME);
            bucket.since = now;
        }
        if interval < bucket.interval {
            // The slots that are still ahead follow each other at the new pace, unless that is slower.
            let ahead = bucket.paid_until.since(now + BURST_TIME);
            let ratio = interval.as_secs_f64() / bucket.interval.as_secs_f64();
            bucket.paid_until = (now + BURST_TIME + ahead.mul_f64(ratio)).min(bucket.paid_until);
        }
        bucket.interval = interval;
        bucket.requested = now;
        let earliest = bucket.paid_until - BURST_TIME;
        let wait = earliest.since(now);
        if wait > max_wait {
            return Err(wait);
        }
        let interval = match now.since(bucket.since) < HANDOVER_TIME {
            true => interval.div_f64(REDUCED),
            false => interval,
        };
        bucket.paid_until = bucket.paid_until.max(now) + interval;
        Ok(wait)
    }

    /// Drops the slots of all upstreams except those for which `limited` returns `true`.
    pub fn retain(&mut self, limited: impl Fn(&str) -> bool) {
        self.buckets.retain(|upstream, _| limited(upstream));
    }

    /// Returns the time between two slots at a rate per second.
    fn interval(&self, rate: f64) -> Duration {
        let max = if self.for_all { MAX_INTERVAL } else { NEVER };
        Duration::try_from_secs_f64(1.0 / rate).map_or(max, |interval| interval.min(max))
    }
}
