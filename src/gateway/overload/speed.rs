//! Speeds of engines, services and plain calls, learned from answers.
//!
//! An observation is relative to the batch and to the pace that the upstream reported, so that a
//! factor holds what neither of them explains.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::super::balance;
use crate::{
    clock::Time,
    hash::Map, //
};

/// Largest change of an estimate by one observation.
const MAX_CHANGE: f64 = 1.2;

/// Smallest weight of an observation of a service or a route.
const SERVICE_GAIN: f64 = 0.02;

/// Smallest weight of an observation of an engine, which gets few turns a second and may slow down.
const ENGINE_GAIN: f64 = 0.1;

/// Range of the factor of an engine.
const FACTORS: (f64, f64) = (0.2, 5.0);

/// Change of a factor, as a logarithm, that placement ignores: with few turns a second of each engine,
/// smaller differences are noise, for which turns would leave the engines that have their prompts.
const NOISE: f64 = 0.15;

/// Decay time of a factor to that of the service.
const FACTOR_DECAY: Duration = Duration::from_secs(60);

/// Fewest unread tokens, and generated ones, whose time is more than the noise of the network.
const MIN_TOKENS: u64 = 40;

/// Fewest unread tokens of an observation of the reading speed: half of a turn's own input. Fewer are
/// less than the error of the estimated cache.
const MIN_READ: u64 = 400;

/// Times that the instance of the caller measured for a turn that was neither resumed nor lost.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct Times {
    /// Time from the send to the first event, in microseconds.
    #[serde(rename = "f")]
    pub first_us: u64,
    /// Tokens of the first event.
    #[serde(rename = "h")]
    pub first_tokens: u64,
    /// Time from the first to the last event, in microseconds.
    #[serde(rename = "d")]
    pub decode_us: u64,
    /// Tokens generated after the first event.
    #[serde(rename = "n")]
    pub tokens: u64,
}

/// Circumstances in which a turn ran.
#[derive(Clone, Copy, Debug)]
pub struct Context {
    /// Prompt tokens that the engine had to read; `None` if other prompts or turns were ahead.
    pub unread: Option<u64>,
    /// Mean number of other requests in the batch.
    pub batch: f64,
    /// Duration of work that the engine reported, as a multiple of the nominal duration.
    pub pace: f64,
}

/// Speed of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Speed {
    /// Prompt tokens that it reads in a millisecond.
    pub read_tokens_per_ms: f64,
    /// Duration of a step with one request, in milliseconds.
    pub step_ms: f64,
}

/// An estimate with the number of observations in it.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    value: f64,
    count: u32,
}

impl Estimate {
    fn new(prior: f64) -> Self {
        Self {
            value: prior,
            count: 0,
        }
    }

    /// Weighs the first observations equally; each changes the estimate by a bounded factor.
    fn update(&mut self, observed: f64, min_gain: f64) {
        self.count = self.count.saturating_add(1);
        let gain = (1.0 / f64::from(self.count)).max(min_gain);
        let change = (observed / self.value).ln() * gain;
        let bound = MAX_CHANGE.ln();
        self.value *= change.clamp(-bound, bound).exp();
    }
}

#[derive(Clone, Copy, Debug)]
struct Service {
    read: Estimate,
    step: Estimate,
}

#[derive(Clone, Copy, Debug)]
struct Engine {
    factor: Estimate,
    at: Time,
}

impl Engine {
    /// Returns the duration of work relative to the service's mean.
    fn factor(&self, now: Time) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.factor
            .value
            .powf((-age / FACTOR_DECAY.as_secs_f64()).exp())
    }
}

/// Learned speeds.
#[derive(Debug)]
pub struct Speeds {
    enabled: bool,
    services: Map<Arc<str>, Service>,
    engines: Map<SocketAddr, Engine>,
    /// Duration of a plain call in milliseconds, by route.
    calls: Map<Arc<str>, Estimate>,
}

impl Default for Speeds {
    fn default() -> Self {
        Self::new(true)
    }
}

impl Speeds {
    /// Returns speeds without observations; they stay the priors unless `enabled`.
    pub fn new(enabled: bool) -> Self {
        Self {
            enabled,
            services: Map::default(),
            engines: Map::default(),
            calls: Map::default(),
        }
    }

    /// Returns the speed by which an engine is chosen: the priors, with the step scaled by the factor of
    /// the engine.
    ///
    /// With learned speeds of reading, placement on a deployment of 60 instances left engines that had a
    /// prompt, and a fifth of all prompt tokens were shared prefixes that were read again.
    pub fn placement(&self, now: Time, priors: &balance::Settings, engine: SocketAddr) -> Speed {
        let factor = self.factor(now, engine).ln();
        let known = factor.signum() * (factor.abs() - NOISE).max(0.0);
        Speed {
            read_tokens_per_ms: priors.read_tokens_per_ms,
            step_ms: priors.step_ms * known.exp(),
        }
    }

    /// Returns the learned speed of an engine.
    pub fn engine(
        &self,
        now: Time,
        priors: &balance::Settings,
        service: &str,
        engine: SocketAddr,
    ) -> Speed {
        let factor = self.factor(now, engine);
        let (read, step) = match self.services.get(service) {
            Some(service) => (service.read.value, service.step.value),
            None => (priors.read_tokens_per_ms, priors.step_ms),
        };
        Speed {
            read_tokens_per_ms: read / factor,
            step_ms: step * factor,
        }
    }

    /// Returns the duration of work of an engine as a multiple of its service's mean.
    pub fn factor(&self, now: Time, engine: SocketAddr) -> f64 {
        let engine = self.engines.get(&engine);
        engine.map_or(1.0, |engine| engine.factor(now))
    }

    /// Returns the duration of a plain call of a route in milliseconds.
    pub fn call_ms(&self, priors: &balance::Settings, route: &str) -> f64 {
        let call = self.calls.get(route);
        call.map_or(priors.call_ms, |call| call.value)
    }

    /// Records the times of a turn.
    pub fn record_turn(
        &mut self,
        now: Time,
        priors: &balance::Settings,
        (service, engine): (&Arc<str>, SocketAddr),
        context: Context,
        times: Times,
    ) {
        if !self.enabled || times.tokens < MIN_TOKENS || times.decode_us == 0 {
            return;
        }
        let factor = self.factor(now, engine);
        let learned = self
            .services
            .entry(service.clone())
            .or_insert_with(|| Service {
                read: Estimate::new(priors.read_tokens_per_ms),
                step: Estimate::new(priors.step_ms),
            });
        let pace = context.pace.max(0.1);
        let slowdown = pace * (1.0 + balance::BATCH_SLOWDOWN * context.batch);
        let step = times.decode_us as f64 / 1_000.0 / times.tokens as f64 / slowdown;
        learned.step.update(step / factor, SERVICE_GAIN);
        let relative = step / learned.step.value;
        let engine = self.engines.entry(engine).or_insert(Engine {
            factor: Estimate {
                value: 1.0,
                // The prior counts as an observation.
                count: 1,
            },
            at: now,
        });
        engine.factor.value = factor;
        engine.factor.update(relative, ENGINE_GAIN);
        engine.factor.value = engine.factor.value.clamp(FACTORS.0, FACTORS.1);
        engine.at = now;
        let unread = context.unread.filter(|unread| *unread >= MIN_READ);
        let first_step = times.first_tokens as f64 * step * slowdown;
        let read_ms = times.first_us as f64 / 1_000.0 - first_step;
        if let Some(unread) = unread.filter(|_| read_ms > 1.0) {
            let read = unread as f64 * factor * pace / read_ms;
            learned.read.update(read, SERVICE_GAIN);
        }
    }

    /// Records the duration of a plain call that was expected to take `slowdown` times as long as on
    /// an idle upstream.
    pub fn record_call(
        &mut self,
        priors: &balance::Settings,
        route: &Arc<str>,
        slowdown: f64,
        took: Duration,
    ) {
        if !self.enabled || took.is_zero() {
            return;
        }
        let call = self.calls.entry(route.clone());
        let call = call.or_insert_with(|| Estimate::new(priors.call_ms));
        let observed = took.as_secs_f64() * 1_000.0 / slowdown.max(0.1);
        call.update(observed, SERVICE_GAIN);
    }

    /// Drops the factors of engines that are gone.
    pub fn retain(&mut self, exists: impl Fn(SocketAddr) -> bool) {
        self.engines.retain(|engine, _| exists(*engine));
    }
}
