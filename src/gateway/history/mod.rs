//! Histories of turns: callers send only the new input of a turn, and engines get the whole prompt.
//!
//! A turn is kept in the log with a link to the turn from which it continues. Each partition has an
//! owner, which appends the turns of all instances and answers queries from memory.
//! `docs/design/history.md` gives the reasons.
//!
//! [`turn`], [`tree`], [`output`], [`cache`] and [`census`] do no I/O; [`partition`] calls the log and
//! [`client`] other instances.

pub mod bounds;
pub mod cache;
pub mod census;
pub mod client;
pub mod output;
pub mod partition;
pub mod tree;
pub mod turn;
pub mod wire;
