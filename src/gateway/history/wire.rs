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

/// Request of another instance.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Request {
    /// Make a turn safe; `Kept` or `Unavailable` replies.
    #[serde(rename = "k")]
    Keep {
        /// Partition of the turn.
        #[serde(rename = "p")]
        partition: u32,
        /// The turn.
        #[serde(rename = "t")]
        turn: Turn,
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
