//! Behaviour under overload: learned speeds, capacity of engines, and the order and admission of
//! the turns that wait for them.
//!
//! All decisions are pure; [`super::dispatcher`] applies them.

pub mod admission;
pub mod program;
pub mod queue;
pub mod room;
pub mod speed;

use serde::{
    Deserialize,
    Serialize, //
};

/// Switches of the mechanisms, for measurements.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Speeds of upstreams are learned; otherwise the constants of the settings hold. Off by default: an
    /// earlier form of it was worse than the constants on a deployment, and this one was not measured.
    pub learn: bool,
    /// Turns wait for free slots in the queue of the zone; otherwise engines queue them.
    pub order: bool,
    /// Turns that would wait too long are refused.
    pub admit: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            learn: false,
            order: true,
            admit: true,
        }
    }
}
