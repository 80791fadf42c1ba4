//! Adapter to the platform: names, formats and calls, but no decisions.
//!
//! It translates the platform's terms into the types of [`crate::gateway`], and no other module of
//! the gateway uses them. A server of the platform is an upstream here.

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
