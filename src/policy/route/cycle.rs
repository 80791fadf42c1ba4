//! Round robin.

use rand::Rng;

use super::{
    Candidate,
    Choice,
    Route,
    Settings, //
};
use crate::{
    clock::Time,
    name::Upstream,
    policy::call::Call, //
};

/// Round-robin routing over the upstreams that are available.
#[derive(Debug, Default)]
pub struct Cycle {
    next: usize,
}

impl Route for Cycle {
    fn new(_: &Settings) -> Self {
        Self::default()
    }

    fn choose(
        &mut self,
        _: Time,
        _: &Call,
        _: Time,
        candidates: &[Candidate],
        available: impl Fn(&Candidate) -> bool,
        _: &mut impl Rng,
    ) -> Choice {
        for step in 0..candidates.len() {
            let index = (self.next + step) % candidates.len();
            if available(&candidates[index]) {
                self.next = index + 1;
                return Choice::Send {
                    index,
                    reason: "next in turn",
                    moves: false,
                };
            }
        }
        Choice::None
    }

    fn record_sent(&mut self, _: Time, _: &Call, _: &Upstream) {}
}
