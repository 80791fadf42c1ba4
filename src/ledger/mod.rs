//! Replicated state machine: applies the records of the log in order and appends new ones.

pub mod account;
pub mod allocator;
mod backoff;
mod cache;
pub mod codec;
mod follower;
pub mod handle;
mod health;
pub mod history;
pub mod outcome;
pub mod program;
mod queue;
pub mod quota;
pub mod record;
mod refresh;
pub mod settings;
mod shard;
mod shared;
pub mod state;
mod writer;

use std::sync::Arc;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::name;

pub use self::{
    allocator::Allocator,
    handle::{
        Ledger,
        Refusal, //
    },
    outcome::{
        Outcome,
        Reason,
        Winner, //
    },
    quota::Quota,
    settings::Settings,
    state::State, //
};

/// State of one entity, as written in a snapshot record.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Entity {
    /// Some of an account's members; [`Entity::Account`] with the same `as_of` follows.
    Members(Vec<account::Member>),
    /// A customer's account.
    Account {
        /// The account without its members.
        account: account::Account,
        /// Number of members in the preceding [`Entity::Members`] records.
        members: u64,
    },
    /// An active program, with the offsets of its turns' texts.
    Program {
        /// Name of the program.
        name: name::Program,
        /// The program.
        program: program::Program,
    },
    /// Texts of turns of an active program.
    Texts {
        /// Program that the turns belong to.
        program: name::Program,
        /// Number of the first turn.
        first: u32,
        /// The turns, each with the fingerprint of its record.
        turns: Vec<(u64, Arc<record::Turn>)>,
    },
}
