//! When an order may be given to an engine.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    Artifact,
    Engine, //
};
use crate::{
    clock::Time,
    name::Upstream, //
};

/// An order to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Order {
    /// Load an artifact from the weight store.
    Load {
        /// Engine that gets the order.
        engine: Upstream,
        /// What to load.
        artifact: Artifact,
    },
    /// Drop an artifact.
    Drop {
        /// Engine that gets the order.
        engine: Upstream,
        /// What to drop.
        artifact: Artifact,
    },
}

/// What the instance that wants to give orders knows about its right to do so.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Standing {
    /// When it became the holder, as decided by log order.
    pub held_since: Time,
    /// When it last knew that its configuration was the newest and that it was the holder.
    pub confirmed: Time,
}

/// Rule for orders, with times on a clock that includes suspension.
///
/// An engine that checks fencing numbers rejects a former holder. One that ignores them obeys
/// everybody, so that orders to it must be right whoever gives them: they follow from the agreed
/// configuration alone, their giver has confirmed it a moment ago, and what destroys state waits
/// until no former holder can still be sending.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rule {
    /// Longest time since the confirmation, in milliseconds.
    pub fresh_ms: u64,
    /// Time from the end of a holder's right until its last order has arrived, in milliseconds.
    pub settle_ms: u64,
}

impl Default for Rule {
    fn default() -> Self {
        Self {
            fresh_ms: 2_000,
            settle_ms: 30_000,
        }
    }
}

impl Rule {
    /// Returns whether the order may be sent now; to be asked just before sending.
    pub fn permits(&self, now: Time, engine: &Engine, order: &Order, standing: Standing) -> bool {
        if engine.fenced {
            return true;
        }
        // A confirmation from the future means that the clock was set back.
        let fresh = standing.confirmed <= now
            && now.since(standing.confirmed) <= Duration::from_millis(self.fresh_ms);
        let settled = now.since(standing.held_since) >= Duration::from_millis(self.settle_ms);
        match order {
            Order::Load { .. } => fresh,
            Order::Drop { .. } => fresh && settled,
        }
    }
}
