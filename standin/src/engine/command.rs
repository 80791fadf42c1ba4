//! Commands that change models, adapters and role, protected by fencing numbers.

use std::collections::BTreeSet;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::now;

/// Handling of fencing numbers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// Rejects a command without a number, or with one lower than the highest accepted.
    #[default]
    Enforced,
    /// Records the number and ignores it otherwise.
    Ignored,
}

/// Effect of a command.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Load a model.
    Model(String),
    /// Load an adapter.
    Adapter(String),
    /// Unload an adapter.
    NoAdapter(String),
    /// Change the role.
    Role(String),
}

/// A received command.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Serialize)]
pub struct Command {
    /// Time in microseconds since the Unix epoch.
    pub at: u64,
    /// Fencing number, if the sender gave one.
    pub fence: Option<u64>,
    /// Effect of the command.
    pub change: Change,
    /// Whether the engine accepted it.
    pub accepted: bool,
}

/// Models, adapters and role of an engine.
#[derive(Debug, Default)]
pub struct Control {
    /// Whether stale numbers are rejected.
    pub fencing: Fencing,
    /// Highest fencing number of the accepted commands.
    pub highest_fence: Option<u64>,
    /// Loaded models; empty if the engine serves every model.
    pub models: BTreeSet<String>,
    /// Loaded adapters.
    pub adapters: BTreeSet<String>,
    /// Latest role set.
    pub role: Option<String>,
    /// All received commands, in the order of arrival.
    pub commands: Vec<Command>,
}

impl Control {
    /// Records a command and returns whether it is accepted.
    pub fn accept(&mut self, fence: Option<u64>, change: Change) -> bool {
        let stale = fence < self.highest_fence || fence.is_none();
        let accepted = self.fencing == Fencing::Ignored || !stale;
        if accepted {
            self.highest_fence = self.highest_fence.max(fence);
        }
        self.commands.push(Command {
            at: now(),
            fence,
            change,
            accepted,
        });
        accepted
    }

    /// Applies an accepted command.
    pub fn apply(&mut self, change: Change) {
        match change {
            Change::Model(name) => drop(self.models.insert(name)),
            Change::Adapter(name) => drop(self.adapters.insert(name)),
            Change::NoAdapter(name) => drop(self.adapters.remove(&name)),
            Change::Role(role) => self.role = Some(role),
        }
    }

    /// Returns whether the engine serves requests for `model`.
    pub fn serves(&self, model: &str) -> bool {
        self.models.is_empty() || self.models.contains(model) || self.adapters.contains(model)
    }
}
