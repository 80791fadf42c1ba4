//! Estimates of the usual cost and duration of each kind of call, and of upstream slowness.

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

/// Minimum number of generated tokens for which the time per token, rather than the total time,
/// gives the pace.
const MIN_DECODE_TOKENS: u64 = 8;

/// Pace assumed for failed and overdue calls.
const FAILED_PACE: f64 = 4.0;

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
    /// Maximum number of kinds of work that are tracked.
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

/// Running averages of one kind of work; times in microseconds.
#[derive(Clone, Copy, Debug, Default)]
struct Baseline {
    /// Number of finished calls, saturating.
    count: u32,
    /// Time per generated token.
    token: f64,
    /// Total time, and its mean deviation.
    total: f64,
    deviation: f64,
    /// Shortest total time, rising slowly so that old minima expire.
    fastest: f64,
    /// Cost of a call in tokens.
    cost: f64,
    /// Tokens served to the program before the call was requested.
    attained: f64,
    /// Time between two progress reports.
    gap: f64,
}

/// Moves `mean` towards `value` and returns the ratio of the value to the former mean.
///
/// The step is clamped so that a slow upstream hardly changes the baseline.
fn update_mean(mean: &mut f64, value: f64) -> f64 {
    if *mean <= 0.0 {
        *mean = value;
    }
    let ratio = value / mean.max(1e-9);
    *mean *= 1.0 + 0.05 * (ratio.clamp(0.3, 2.0) - 1.0);
    ratio
}

impl Baseline {
    fn record(&mut self, report: &Report) -> f64 {
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
        let mut pace = update_mean(&mut self.total, total);
        let deviation = (total - self.total).abs().min(self.total * 2.0);
        self.deviation += 0.05 * (deviation - self.deviation);
        if let Some(first) = report.first_us {
            if report.completion_tokens >= MIN_DECODE_TOKENS {
                let decode = report.total_us.saturating_sub(first) as f64;
                let token = decode / report.completion_tokens as f64;
                pace = update_mean(&mut self.token, token.max(1.0));
            }
        }
        pace
    }
}

/// Smoothed pace of an upstream; 1 is usual.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    pace: f64,
    at: Time,
}

/// Estimates of one pool.
#[derive(Debug)]
pub struct Pace {
    settings: Settings,
    kinds: Recent<(Customer, Class), Baseline>,
    estimates: Map<Upstream, Estimate>,
}

fn kind(call: &Call) -> (Customer, Class) {
    (call.customer.clone(), call.class.clone())
}

impl Pace {
    /// Creates estimates without samples.
    pub fn new(settings: &Settings) -> Self {
        Self {
            settings: settings.clone(),
            kinds: Recent::new(settings.kinds),
            estimates: Map::default(),
        }
    }

    /// Drops the estimates of an upstream.
    pub fn remove(&mut self, upstream: &Upstream) {
        self.estimates.remove(upstream);
    }

    /// Adds a sample of a finished call; returns its pace, 1 being usual.
    pub fn record(&mut self, now: Time, call: &Call, upstream: &Upstream, report: &Report) -> f64 {
        let pace = if report.failed {
            FAILED_PACE
        } else {
            self.kinds.entry(&kind(call)).record(report)
        };
        self.sample(now, upstream, pace, self.settings.weight);
        pace
    }

    /// Adds a sample of the time between two progress reports of a call.
    pub fn record_progress(&mut self, now: Time, call: &Call, upstream: &Upstream, gap: Duration) {
        let baseline = self.kinds.entry(&kind(call));
        let pace = update_mean(&mut baseline.gap, gap.as_micros().max(1) as f64);
        self.sample(now, upstream, pace, self.settings.weight / 4.0);
    }

    /// Adds a sample for a call in flight that takes unusually long.
    pub fn record_overdue(&mut self, now: Time, upstream: &Upstream) {
        self.sample(now, upstream, FAILED_PACE, self.settings.weight);
    }

    fn sample(&mut self, now: Time, upstream: &Upstream, pace: f64, weight: f64) {
        let estimate = self
            .estimates
            .entry(upstream.clone())
            .or_insert(Estimate { pace: 1.0, at: now });
        estimate.pace += weight * (pace.min(8.0) - estimate.pace);
        estimate.at = now;
    }

    /// Returns the slowness of an upstream relative to the pool's median; 1 is normal.
    pub fn slowness(&self, now: Time, upstream: &Upstream) -> f64 {
        let Some(estimate) = self.estimates.get(upstream) else {
            return 1.0;
        };
        let mut paces: Vec<f64> = self
            .estimates
            .values()
            .map(|estimate| estimate.pace)
            .collect();
        paces.sort_unstable_by(f64::total_cmp);
        let median = paces[(paces.len() - 1) / 2].max(1e-3);
        let age = now.since(estimate.at).as_millis() as f64;
        let decay = 0.5_f64.powf(age / self.settings.half_ms.max(1) as f64);
        1.0 + (estimate.pace / median - 1.0) * decay
    }

    /// Returns the expected cost of a call in tokens.
    pub fn expected_cost(&self, call: &Call) -> u64 {
        let baseline = self
            .kinds
            .get(&kind(call))
            .filter(|baseline| baseline.count > 0);
        baseline.map_or(call.cost, |baseline| {
            (baseline.cost as u64).clamp(1, call.cost.max(1))
        })
    }

    /// Records that a call was requested.
    pub fn record_request(&mut self, call: &Call) {
        let baseline = self.kinds.entry(&kind(call));
        baseline.attained += 0.02 * (call.attained as f64 - baseline.attained);
    }

    /// Returns the expected number of calls of a program of this kind.
    ///
    /// On average a program is half done when it makes a call, hence the factor of 2.
    pub fn expected_calls(&self, call: &Call) -> f64 {
        let baseline = self
            .kinds
            .get(&kind(call))
            .filter(|baseline| baseline.count > 0);
        baseline.map_or(1.0, |baseline| {
            1.0 + 2.0 * baseline.attained / baseline.cost.max(1.0)
        })
    }

    /// Returns the shortest observed duration of a call of this kind; zero below 10 samples.
    pub fn fastest(&self, call: &Call) -> Duration {
        let baseline = self
            .kinds
            .get(&kind(call))
            .filter(|baseline| baseline.count >= 10);
        baseline.map_or(Duration::ZERO, |baseline| {
            Duration::from_micros(baseline.fastest as u64)
        })
    }

    fn threshold(&self, call: &Call, deviations: f64) -> Option<Duration> {
        let baseline = self
            .kinds
            .get(&kind(call))
            .filter(|baseline| baseline.count >= 10)?;
        let threshold = baseline.total + deviations * baseline.deviation;
        (deviations > 0.0).then(|| Duration::from_micros(threshold as u64))
    }

    /// Returns the time after which a call counts as overdue.
    pub fn overdue_after(&self, call: &Call) -> Option<Duration> {
        self.threshold(call, self.settings.overdue)
    }

    /// Returns the time after which an idempotent call should be sent to a second upstream.
    pub fn hedge_after(&self, call: &Call) -> Option<Duration> {
        self.threshold(call, self.settings.hedge)
            .filter(|_| call.idempotent)
    }
}
