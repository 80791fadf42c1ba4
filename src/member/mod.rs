//! View of live and leaving instances and upstreams.

pub mod consul;
pub mod entry;
pub mod gossip;
pub mod roster;
pub mod snapshot;
pub mod view;

pub use entry::{
    Departure,
    Entry,
    State, //
};
pub use gossip::Gossip;
pub use roster::Roster;
pub use snapshot::Snapshot;
pub use view::View;

use crate::name::{
    Instance,
    Zone, //
};

/// An instance as the platform's list names it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listed {
    /// Name of the instance.
    pub instance: Instance,
    /// Availability zone of the instance.
    pub zone: Zone,
    /// Address of its peer port.
    pub address: String,
    /// Whether the platform says that it is leaving.
    pub leaving: bool,
}

/// The platform's list of live and leaving instances, which lags.
#[allow(async_fn_in_trait)]
pub trait List {
    /// Returns the list, or the reason why it can't be had.
    async fn list(&self) -> Result<Vec<Listed>, anyhow::Error>;
}
