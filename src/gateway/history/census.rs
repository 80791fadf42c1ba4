//! Whether any instance may hold a turn that is not in the log, or may have lost it.
//!
//! Answers the pattern of instances that answer turns while they can't reach the store and are then
//! cut off from the others or killed: the log lacks these turns, so that reading it proves nothing.
//! Such a turn is held by [`COPIES`] instances, of which all but [`COPIES`] - 1 have to be asked.

use std::time::Duration;

use crate::{
    hash::Set,
    name::Instance, //
};

/// Instances that hold a turn which is not in the log when its answer ends.
pub const COPIES: usize = 3;

/// What the instances said about a turn that the log lacks.
#[derive(Debug, Default)]
pub struct Census {
    /// Instances that did not answer, or of which a process was lost with what it held.
    missing: Set<Instance>,
    /// Longest time for which an instance that answered has known of such losses.
    observed: Duration,
}

impl Census {
    /// Adds an instance that did not answer.
    pub fn count_silent(&mut self, instance: Instance) {
        self.missing.insert(instance);
    }

    /// Adds the answer of an instance that does not hold the turn: the time for which it has observed
    /// the others, and the instances that it knows to be lost since the turn may have ended.
    pub fn count_answer(&mut self, observed: Duration, lost: impl IntoIterator<Item = Instance>) {
        self.observed = self.observed.max(observed);
        self.missing.extend(lost);
    }

    /// Returns whether no turn that ended within the `retention` can be missing in the log, unless an
    /// instance that answered holds it.
    pub fn is_conclusive(&self, retention: Duration) -> bool {
        self.missing.len() < COPIES && self.observed >= retention
    }
}
