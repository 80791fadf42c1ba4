//! What programs still need: the delay that each of them can bear.
//!
//! A program states the time that it has left. The share of its total that it needs on idle engines
//! is learned for each route; the rest is its slack, of which each delay of a turn takes a part.

use std::time::Duration;

use crate::{
    clock::Time,
    hash::Map, //
};

/// Prior of the share of a program's time that it needs on idle engines: the total is 1.4 to 1.8 times
/// that.
const PRIOR_SHARE: f64 = 0.62;

/// Time without a turn after which a program is presumed to have ended.
const SILENCE: Duration = Duration::from_secs(4);

/// Smallest weight of a program in the estimates of its route.
const GAIN: f64 = 0.02;

/// Turns of a program, as a multiple of its route's mean, from which on it is a runaway.
const RUNAWAY: f64 = 4.0;

/// Programs of a route that have ended before runaways are recognized.
const MIN_PROGRAMS: u32 = 20;

#[derive(Debug)]
struct Program {
    route: u64,
    first: Time,
    last: Time,
    total: Duration,
    delay: Duration,
    turns: u32,
}

#[derive(Debug)]
struct Route {
    share: f64,
    turns: f64,
    programs: u32,
}

impl Default for Route {
    fn default() -> Self {
        Self {
            share: PRIOR_SHARE,
            turns: 0.0,
            programs: 0,
        }
    }
}

/// State of a program when one of its turns arrives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Status {
    /// Whether a turn of it ran before.
    pub begun: bool,
    /// Whether it has far more turns than others of its route.
    pub runaway: bool,
    /// Delay that it can bear and still end in time; `None` if it is late already.
    pub slack: Option<Duration>,
}

/// Programs with turns in the last seconds, and what is learned of those before.
#[derive(Debug, Default)]
pub struct Programs {
    programs: Map<u64, Program>,
    routes: Map<u64, Route>,
}

impl Programs {
    /// Returns the state of a program that has the time `left`.
    pub fn status(&mut self, now: Time, id: u64, route: u64, left: Duration) -> Status {
        let learned = self.routes.entry(route).or_default();
        let program = self.programs.entry(id).or_insert_with(|| Program {
            route,
            first: now,
            last: now,
            total: left,
            delay: Duration::ZERO,
            turns: 0,
        });
        program.last = now;
        let slack = program.total.mul_f64(1.0 - learned.share);
        let usual = learned.programs >= MIN_PROGRAMS;
        Status {
            begun: program.turns > 0,
            runaway: usual && f64::from(program.turns) > RUNAWAY * learned.turns,
            slack: slack.checked_sub(program.delay).filter(|_| !left.is_zero()),
        }
    }

    /// Records a turn that took longer by `delay` than on an idle engine.
    pub fn ended(&mut self, now: Time, id: u64, delay: Duration) {
        if let Some(program) = self.programs.get_mut(&id) {
            program.last = now;
            program.delay += delay;
            program.turns += 1;
        }
    }

    /// Learns from programs that are presumed to have ended, and drops them.
    pub fn sweep(&mut self, now: Time) {
        let routes = &mut self.routes;
        self.programs.retain(|_, program| {
            if now.since(program.last) < SILENCE {
                return true;
            }
            let needed = program.last.since(program.first);
            let needed = needed.saturating_sub(program.delay).as_secs_f64();
            // A program of one turn is most likely one whose other turns were elsewhere.
            if program.turns > 1 && !program.total.is_zero() {
                let route = routes.entry(program.route).or_default();
                route.programs += 1;
                let gain = (1.0 / f64::from(route.programs + 1)).max(GAIN);
                let share = (needed / program.total.as_secs_f64()).clamp(0.3, 0.9);
                route.share += (share - route.share) * gain;
                let gain = (1.0 / f64::from(route.programs)).max(GAIN);
                route.turns += (f64::from(program.turns) - route.turns) * gain;
            }
            false
        });
    }
}
