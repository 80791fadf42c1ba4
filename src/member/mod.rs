//! Cluster membership: live and leaving instances and upstreams.

pub mod consul;
pub mod entry;
pub mod gossip;
pub mod list;
pub mod roster;
pub mod snapshot;
pub mod view;

pub use entry::{
    Departure,
    Entry,
    State, //
};
pub use gossip::Gossip;
pub use list::{
    List,
    Listed, //
};
pub use roster::Roster;
pub use snapshot::Snapshot;
pub use view::View;
