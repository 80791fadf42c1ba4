//! Placement of models on engines, and the orders that bring it about.

mod load;
mod order;
mod plan;

pub use self::{
    load::{
        Loader,
        Rate, //
    },
    order::{
        Order,
        Rule,
        Standing, //
    },
    plan::{
        assign,
        Artifact,
        Engine,
        Kind,
        Placement,
        Plan, //
    },
};
