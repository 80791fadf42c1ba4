//! What calls of each kind usually take, and which upstreams have become slow.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    clock::Time,
    hash::Map,
    name::{
        Class,
        Customer,
        Upstream, //
    },
    policy::{
        call::{
            Call,
            Report, //
        },
        recent::Recent,
    },
};

/// Fewest generated tokens from which the time per token is more telling than the whole time.
const FEW: u64 = 8;

/// Pace that a failed call counts as.
const FAILED: f64 = 4.0;

/// Settings of the estimates.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Weight of a new sample of an upstream's pace.
    pub weight: f64,
    /// Time in which an upstream's slowness halves without new samples, in milliseconds.
    pub half_ms: u64,
    /// Deviations above the mean after which a call is overdue; 0 ignores calls in flight.
    pub overdue: f64,
    /// Deviations above the mean after which a call should be hedged.
    pub hedge: f64,
    /// Kinds of work that are remembered.
    pub kinds: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            weight: 0.2,
            half_ms: 5_000,
            overdue: 3.0,
            hedge: 3.0,
            kinds: 10_000,
        }
    }
}

/// Baseline measures of one kind of work.
#[derive(Clone, Copy, Debug, Default)]
struct Baseline {
    /// Number of finished calls, as far as it matters.
    count: u32,
    /// Time per generated token.
    token: f64,
    /// Whole time, and its mean deviation.
    total: f64,
    deviation: f64,
    /// Shortest whole time, rising slowly so that it is forgotten.
    fastest: f64,
    /// Tokens that a call cost.
    cost: f64,
    /// Tokens that its program had been served when a call was asked for.
    attained: f64,
    /// Time between two signs of progress.
    gap: f64,
}

/// Moves `mean` towards `value` and returns the value in units of the former mean.
///
/// The move is bounded so that a slow upstream hardly changes what is usual.
fn learn(mean: &mut f64, value: f64) -> f64 {
    if *mean <= 0.0 {
        *mean = value;
    }
    let ratio = value / mean.max(1e-9);
    *mean *= 1.0 + 0.05 * (ratio.clamp(0.3, 2.0) - 1.0);
    ratio
}

impl Baseline {
    fn done(&mut self, report: &Report) -> f64 {
        let total = report.total_us.max(1) as f64;
        let cost = report.served() as f64;
        if self.count == 0 {
            self.fastest = total;
            self.deviation = total / 2.0;
            self.cost = cost;
        }
        self.count = self.count.saturating_add(1);
        self.cost += 0.05 * (cost - self.cost);
        self.fastest = (self.fastest * 1.002).min(total);
        let mut pace = learn(&mut self.total, total);
        let deviation = (total - self.total).abs().min(self.total * 2.0);
        self.deviation += 0.05 * (deviation - self.deviation);
        if let Some(first) = report.first_us {
            if report.completion_tokens >= FEW {
                let decode = report.total_us.saturating_sub(first) as f64;
                let token = decode / report.completion_tokens as f64;
                pace = learn(&mut self.token, token.max(1.0));
            }
        }
        pace
    }
}

/// Smoothed pace of an upstream.
#[derive(Clone, Copy, Debug)]
struct Level {
    pace: f64,
    at: Time,
}

/// Estimates of one pool.
#[derive(Debug)]
pub struct Pace {
    settings: Settings,
    kinds: Recent<(Customer, Class), Baseline>,
    levels: Map<Upstream, Level>,
}

fn kind(call: &Call) -> (Customer, Class) {
    (call.customer.clone(), call.class.clone())
}

impl Pace {
    /// Makes estimates that know nothing.
    pub fn new(settings: &Settings) -> Self {
        Self {
            settings: settings.clone(),
            kinds: Recent::new(settings.kinds),
            levels: Map::default(),
        }
    }

    /// Forgets an upstream.
    pub fn remove(&mut self, upstream: &Upstream) {
        self.levels.remove(upstream);
    }

    /// Learns from a finished call; returns its pace, 1 being usual.
    pub fn done(&mut self, now: Time, call: &Call, upstream: &Upstream, report: &Report) -> f64 {
        let pace = if report.failed {
            FAILED
        } else {
            self.kinds.entry(&kind(call)).done(report)
        };
        self.sample(now, upstream, pace, self.settings.weight);
        pace
    }

    /// Learns from the time between two signs of progress of a call.
    pub fn progress(&mut self, now: Time, call: &Call, upstream: &Upstream, gap: Duration) {
        let usual = self.kinds.entry(&kind(call));
        let pace = learn(&mut usual.gap, gap.as_micros().max(1) as f64);
        self.sample(now, upstream, pace, self.settings.weight / 4.0);
    }

    /// Learns that a call in flight takes unusually long.
    pub fn overdue(&mut self, now: Time, upstream: &Upstream) {
        self.sample(now, upstream, FAILED, self.settings.weight);
    }

    fn sample(&mut self, now: Time, upstream: &Upstream, pace: f64, weight: f64) {
        let level = self
            .levels
            .entry(upstream.clone())
            .or_insert(Level { pace: 1.0, at: now });
        level.pace += weight * (pace.min(8.0) - level.pace);
        level.at = now;
    }

    /// Returns how slow an upstream is against the pool's median; 1 is normal.
    pub fn slowness(&self, now: Time, upstream: &Upstream) -> f64 {
        let Some(level) = self.levels.get(upstream) else {
            return 1.0;
        };
        let mut paces: Vec<f64> = self.levels.values().map(|level| level.pace).collect();
        paces.sort_unstable_by(f64::total_cmp);
        let median = paces[(paces.len() - 1) / 2].max(1e-3);
        let age = now.since(level.at).as_millis() as f64;
        let kept = 0.5_f64.powf(age / self.settings.half_ms.max(1) as f64);
        1.0 + (level.pace / median - 1.0) * kept
    }

    /// Returns the tokens that a call is expected to cost.
    pub fn cost(&self, call: &Call) -> u64 {
        let usual = self.kinds.get(&kind(call)).filter(|usual| usual.count > 0);
        usual.map_or(call.cost, |usual| {
            (usual.cost as u64).clamp(1, call.cost.max(1))
        })
    }

    /// Notes that a call was asked for.
    pub fn asked(&mut self, call: &Call) {
        let usual = self.kinds.entry(&kind(call));
        usual.attained += 0.02 * (call.attained as f64 - usual.attained);
    }

    /// Returns the number of calls that a program of this kind is expected to make.
    ///
    /// An average call finds its program half done.
    pub fn calls(&self, call: &Call) -> f64 {
        let usual = self.kinds.get(&kind(call)).filter(|usual| usual.count > 0);
        usual.map_or(1.0, |usual| {
            1.0 + 2.0 * usual.attained / usual.cost.max(1.0)
        })
    }

    /// Returns the shortest time that a call of this kind was seen to take.
    pub fn fastest(&self, call: &Call) -> Duration {
        let usual = self
            .kinds
            .get(&kind(call))
            .filter(|usual| usual.count >= 10);
        usual.map_or(Duration::ZERO, |usual| {
            Duration::from_micros(usual.fastest as u64)
        })
    }

    fn late(&self, call: &Call, deviations: f64) -> Option<Duration> {
        let usual = self
            .kinds
            .get(&kind(call))
            .filter(|usual| usual.count >= 10)?;
        let late = usual.total + deviations * usual.deviation;
        (deviations > 0.0).then(|| Duration::from_micros(late as u64))
    }

    /// Returns the time after which a call counts as overdue.
    pub fn overdue_after(&self, call: &Call) -> Option<Duration> {
        self.late(call, self.settings.overdue)
    }

    /// Returns the time after which an idempotent call should be sent to a second upstream.
    pub fn hedge_after(&self, call: &Call) -> Option<Duration> {
        self.late(call, self.settings.hedge)
            .filter(|_| call.idempotent)
    }
}
