//! Messages between instances about kept turns.

use std::rc::Rc;

use serde::{
    Deserialize,
    Serialize, //
};

use super::turn::{
    Key,
    Turn, //
};
use crate::name::Instance;

/// Request of another instance.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Request {
    /// Make a turn safe; `Kept`, `Incomplete` or `Unavailable` replies.
    #[serde(rename = "k")]
    Keep {
        /// Partition of the turn.
        #[serde(rename = "p")]
        partition: u32,
        /// The turn.
        #[serde(rename = "t")]
        turn: Turn,
        /// Whether `Incomplete` replies if a turn before it is missing.
        #[serde(rename = "c", default, skip_serializing_if = "std::ops::Not::not")]
        check: bool,
    },
    /// Append a turn, or hold a copy of it until the store is available; `Kept` or `Unavailable`
    /// replies.
    #[serde(rename = "h")]
    Hold {
        /// Partition of the turn.
        #[serde(rename = "p")]
        partition: u32,
        /// The turn.
        #[serde(rename = "t")]
        turn: Turn,
    },
    /// Find a turn and all turns before it; `Chain`, `TooLong`, `Unknown` or `Unavailable` replies.
    #[serde(rename = "f")]
    Find {
        /// Partitions to search.
        #[serde(rename = "p")]
        partitions: Vec<u32>,
        /// The turn.
        #[serde(rename = "k")]
        key: Key,
        /// Maximum length of the prompt of the turns.
        #[serde(rename = "l")]
        limit: u64,
        /// Whether to read the partitions to their end if the turn is not in memory; otherwise
        /// `Unavailable` replies.
        #[serde(rename = "r", default)]
        read: bool,
    },
    /// Tell whether the recipient holds a turn that is not in the log; `Attested` replies.
    #[serde(rename = "a")]
    Attest {
        /// The turn.
        #[serde(rename = "k")]
        key: Key,
        /// Time for which turns can be continued, in milliseconds.
        #[serde(rename = "l")]
        ttl_ms: u64,
    },
}

/// How a turn is safe.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Safety {
    /// It is in the log.
    #[serde(rename = "s")]
    Stored,
    /// Instances hold copies of it, which they append later.
    #[serde(rename = "h")]
    Held,
}

/// What an instance knows of a turn that the log lacks.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Attestation {
    /// The turn if it is held, after those before it that are held too, oldest first.
    #[serde(rename = "t")]
    pub held: Vec<Turn>,
    /// Partition of the turns that are held.
    #[serde(rename = "p")]
    pub partition: u32,
    /// Time for which the sender has observed the other instances, in milliseconds.
    #[serde(rename = "o")]
    pub observed_ms: u64,
    /// Some of the instances that were lost while the turn can be continued; enough of them for a
    /// conclusion.
    #[serde(rename = "x")]
    pub lost: Vec<Instance>,
}

/// Reply to another instance.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Response {
    /// The turn is safe, or its copy is.
    #[serde(rename = "k")]
    Kept(Safety),
    /// The turn and all turns before it.
    #[serde(rename = "c")]
    Chain {
        /// Partition of the turns.
        #[serde(rename = "p")]
        partition: u32,
        /// The turns, oldest first.
        #[serde(rename = "t")]
        turns: Vec<Turn>,
    },
    /// What the sender knows of a turn that the log lacks.
    #[serde(rename = "a")]
    Attested(Attestation),
    /// The turn is not kept, as turns before it are missing.
    #[serde(rename = "m")]
    Incomplete,
    /// The turns are longer than the limit.
    #[serde(rename = "l")]
    TooLong,
    /// There is no such turn in the partitions.
    #[serde(rename = "u")]
    Unknown,
    /// The recipient can't do this now, or can't be certain.
    #[serde(rename = "x")]
    Unavailable,
}

impl Response {
    /// Returns a reply with turns.
    pub fn chain(partition: usize, turns: &[Rc<Turn>]) -> Self {
        Self::Chain {
            partition: partition as u32,
            turns: turns.iter().map(|turn| Turn::clone(turn)).collect(),
        }
    }
}
