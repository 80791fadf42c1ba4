//! Prefix-affinity routing with bounded load.

use rand::{
    Rng,
    RngExt, //
};

use super::{
    Candidate,
    Choice,
    Route,
    Settings, //
};
use crate::{
    clock::Time,
    name::{
        Program,
        Upstream, //
    },
    policy::{
        call::Call,
        recent::Recent, //
    },
};

/// Prefix-affinity routing, used by default.
#[derive(Debug)]
pub struct Router {
    settings: Settings,
    holders: Recent<Program, Upstream>,
}

impl Router {
    fn prefix_holder(&self, call: &Call) -> Option<&Upstream> {
        let program = call.program.as_ref().filter(|_| call.prefix > 0)?;
        self.holders.get(program)
    }

    fn is_slow(&self, candidate: &Candidate) -> bool {
        candidate.slowness >= self.settings.slow
    }

    /// Returns the maximum load at which a call still goes to the upstream with its prefix.
    fn bound(&self, candidates: &[Candidate]) -> f64 {
        let healthy = || {
            candidates
                .iter()
                .filter(|candidate| !self.is_slow(candidate))
        };
        let count = healthy().count().max(1) as f64;
        let mean = healthy().map(Candidate::load).sum::<f64>() / count;
        // The mean load of a nearly idle pool is close to zero, and a bound below half a window
        // would spread programs without need.
        (mean * self.settings.bound).max(0.5)
    }

    /// Returns the least loaded available upstream that is not slow.
    fn least_loaded(
        &self,
        call: &Call,
        candidates: &[Candidate],
        available: impl Fn(&Candidate) -> bool,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        // One call at a time probes whether a slow upstream has recovered. While all others are
        // full, a slow upstream gets the part of its window that it can serve. Only idempotent
        // calls go there, since they can be retried on another upstream.
        let full = !candidates
            .iter()
            .any(|candidate| available(candidate) && !self.is_slow(candidate));
        let usable = |candidate: &Candidate| {
            let part = (f64::from(candidate.window) / candidate.slowness) as u32;
            let part = if full { part.max(1) } else { 1 };
            !self.is_slow(candidate)
                || (candidate.running < part && !call.interactive && call.idempotent)
        };
        let mut best: Option<(f64, usize)> = None;
        let start = rng.random_range(0..candidates.len().max(1));
        for step in 0..candidates.len() {
            let index = (start + step) % candidates.len();
            let candidate = &candidates[index];
            if !available(candidate) || !usable(candidate) {
                continue;
            }
            let load = candidate.load() * candidate.slowness;
            if best.is_none_or(|(least, _)| load < least) {
                best = Some((load, index));
            }
        }
        best.map(|(_, index)| index)
    }
}

impl Route for Router {
    fn new(settings: &Settings) -> Self {
        Self {
            settings: settings.clone(),
            holders: Recent::new(settings.programs),
        }
    }

    fn choose(
        &mut self,
        now: Time,
        call: &Call,
        queued_at: Time,
        candidates: &[Candidate],
        available: impl Fn(&Candidate) -> bool,
        rng: &mut impl Rng,
    ) -> Choice {
        let holder = self
            .prefix_holder(call)
            .and_then(|name| {
                candidates
                    .iter()
                    .position(|candidate| candidate.upstream == *name)
            })
            .filter(|index| !self.is_slow(&candidates[*index]))
            .filter(|index| !call.excluded.contains(&candidates[*index].upstream));
        if let Some(index) = holder {
            let candidate = &candidates[index];
            if available(candidate) && candidate.load() <= self.bound(candidates) {
                return Choice::Send {
                    index,
                    reason: "prefix held",
                    moves: false,
                };
            }
            let until = queued_at + self.settings.wait(call.prefix);
            if now < until && !available(candidate) {
                return Choice::Wait { until };
            }
        }
        let reason = match holder {
            Some(_) => "prefix held elsewhere",
            None => "least loaded",
        };
        match self.least_loaded(call, candidates, available, rng) {
            Some(index) => Choice::Send {
                index,
                reason,
                moves: holder.is_some(),
            },
            None => Choice::None,
        }
    }

    fn record_sent(&mut self, _: Time, call: &Call, upstream: &Upstream) {
        if let Some(program) = &call.program {
            self.holders.insert(program.clone(), upstream.clone());
        }
    }
}
