//! Adapter to the users' platform: names, formats and calls, and nothing that decides.
//!
//! Everything else of this crate uses the types of [`crate::gateway`]; the words of the platform
//! end here.

pub mod dialect;
pub mod feed;
pub mod store;
mod wire;

pub use self::{
    dialect::Dialect,
    feed::{
        Configuration,
        Instances,
        Servers, //
    },
    store::Store,
};
