//! Adapter to the platform: names, formats and calls, but no decisions.
//!
//! It translates the platform's terms into the types of [`crate::gateway`]; no other module uses
//! those terms. What the platform calls a server is an upstream in the gateway.

pub mod dialect;
pub mod feed;
pub mod newest;
pub mod store;
mod wire;

pub use self::{
    dialect::Dialect,
    feed::{
        Configuration,
        Holds,
        Instances,
        Servers, //
    },
    store::Store,
};
