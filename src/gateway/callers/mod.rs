//! Connections of callers, and the memory and descriptors that callers can make this process hold.
//!
//! Callers are not under control: they stop short of the end of a head or body, send without end, or
//! read no answers. [`Connections`] is the one account of what all of them hold, at each listener and in
//! each stage of a request. If it exceeds its bounds, [`budget::select`] says whose connection is closed.

pub mod body;
pub mod budget;
mod connection;
mod connections;
mod stream;

pub use self::{
    connection::{
        Charge,
        Closing,
        Connection,
        Open, //
    },
    connections::Connections,
    stream::{
        serve,
        Stream, //
    },
};
