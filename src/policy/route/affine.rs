//! Prefix-affinity routing with bounded load.

use rand::{
    Rng,
    RngExt, //
};

use super::{
    Choice,
    Place,
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
    homes: Recent<Program, Upstream>,
}

impl Router {
    fn home(&self, call: &Call) -> Option<&Upstream> {
        let program = call.program.as_ref().filter(|_| call.prefix > 0)?;
        self.homes.get(program)
    }

    fn slow(&self, place: &Place) -> bool {
        place.slowness >= self.settings.slow
    }

    /// Returns the maximum load at which a call still goes to the upstream with its prefix.
    fn bound(&self, places: &[Place]) -> f64 {
        let healthy = || places.iter().filter(|place| !self.slow(place));
        let count = healthy().count().max(1) as f64;
        let mean = healthy().map(Place::load).sum::<f64>() / count;
        // The mean load of a nearly idle pool is close to zero, and a bound below half a window
        // would spread programs without need.
        (mean * self.settings.bound).max(0.5)
    }

    /// Returns the least loaded available upstream that is not slow.
    fn least(
        &self,
        call: &Call,
        places: &[Place],
        open: impl Fn(&Place) -> bool,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        // One call at a time probes whether a slow upstream has recovered. While all others are
        // full, a slow upstream gets the part of its window that it can serve. Only idempotent
        // calls go there, since they can be retried on another upstream.
        let full = !places.iter().any(|place| open(place) && !self.slow(place));
        let usable = |place: &Place| {
            let part = (f64::from(place.window) / place.slowness) as u32;
            let part = if full { part.max(1) } else { 1 };
            !self.slow(place) || (place.running < part && !call.interactive && call.idempotent)
        };
        let mut best: Option<(f64, usize)> = None;
        let start = rng.random_range(0..places.len().max(1));
        for step in 0..places.len() {
            let index = (start + step) % places.len();
            let place = &places[index];
            if !open(place) || !usable(place) {
                continue;
            }
            let load = place.load() * place.slowness;
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
            homes: Recent::new(settings.programs),
        }
    }

    fn choose(
        &mut self,
        now: Time,
        call: &Call,
        since: Time,
        places: &[Place],
        open: impl Fn(&Place) -> bool,
        rng: &mut impl Rng,
    ) -> Choice {
        let home = self
            .home(call)
            .and_then(|name| places.iter().position(|place| place.upstream == *name))
            .filter(|index| !self.slow(&places[*index]))
            .filter(|index| !call.excluded.contains(&places[*index].upstream));
        if let Some(index) = home {
            let place = &places[index];
            if open(place) && place.load() <= self.bound(places) {
                return Choice::Send {
                    index,
                    why: "prefix held",
                    moves: false,
                };
            }
            let until = since + self.settings.wait(call.prefix);
            if now < until && !open(place) {
                return Choice::Wait { until };
            }
        }
        let why = match home {
            Some(_) => "prefix held elsewhere",
            None => "least loaded",
        };
        match self.least(call, places, open, rng) {
            Some(index) => Choice::Send {
                index,
                why,
                moves: home.is_some(),
            },
            None => Choice::None,
        }
    }

    fn sent(&mut self, _: Time, call: &Call, upstream: &Upstream) {
        if let Some(program) = &call.program {
            self.homes.insert(program.clone(), upstream.clone());
        }
    }
}
