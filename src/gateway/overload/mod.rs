//! Behaviour under overload: learned speeds of upstreams.

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
    /// Speeds of upstreams are learned; otherwise the constants of the settings hold.
    pub learn: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self { learn: true }
    }
}
