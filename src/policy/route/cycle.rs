//! Round robin.

use rand::Rng;

use super::{
    Choice,
    Place,
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
        places: &[Place],
        open: impl Fn(&Place) -> bool,
        _: &mut impl Rng,
    ) -> Choice {
        for step in 0..places.len() {
            let index = (self.next + step) % places.len();
            if open(&places[index]) {
                self.next = index + 1;
                return Choice::Send {
                    index,
                    why: "next in turn",
                    moves: false,
                };
            }
        }
        Choice::None
    }

    fn sent(&mut self, _: Time, _: &Call, _: &Upstream) {}
}
