//! Consumer instances: assigned partitions and positions.

use std::{
    collections::BTreeMap,
    time::Instant, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::format::Format;

/// Offset reset policy: where a consumer resumes if its position isn't retained.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Reset {
    /// At the oldest record.
    Earliest,
    /// After the newest record.
    #[default]
    Latest,
    /// The read fails.
    None,
}

/// Body of the request that creates a consumer instance.
#[derive(Debug, Default)]
#[derive(Deserialize)]
pub struct Request {
    /// Name of the instance.
    #[serde(default)]
    pub name: Option<String>,
    /// Embedded format of the records.
    #[serde(default)]
    pub format: Format,
    /// Offset reset policy.
    #[serde(default, rename = "auto.offset.reset")]
    pub reset: Reset,
    /// Bytes for which a read waits; a negative number, such as -1, waits for the full timeout.
    #[serde(default, rename = "fetch.min.bytes")]
    pub min_bytes: Option<Number>,
    /// Timeout of a read in milliseconds.
    #[serde(default, rename = "consumer.request.timeout.ms")]
    pub timeout_ms: Option<Number>,
}

/// A number that clients send as a JSON number or as text.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(untagged)]
pub enum Number {
    /// A JSON number.
    Number(i64),
    /// Digits.
    Text(String),
}

impl Number {
    /// Returns the number; `None` if the text isn't one.
    pub fn get(&self) -> Option<i64> {
        match self {
            Self::Number(number) => Some(*number),
            Self::Text(text) => text.parse().ok(),
        }
    }
}

/// A partition of a topic, as consumers assign it.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct Assignment {
    /// Topic.
    pub topic: String,
    /// Number of the partition in the topic.
    pub partition: u32,
}

/// Body of assignments, and of seeks to the beginning or the end.
#[derive(Debug, Default)]
#[derive(Deserialize, Serialize)]
pub struct Assignments {
    /// Partitions.
    pub partitions: Vec<Assignment>,
}

/// Body of a request that sets positions.
#[derive(Debug)]
#[derive(Deserialize)]
pub struct Positions {
    /// Positions.
    pub offsets: Vec<Position>,
}

/// A position in a partition.
#[derive(Debug)]
#[derive(Deserialize)]
pub struct Position {
    /// Partition.
    #[serde(flatten)]
    pub place: Assignment,
    /// Offset of the next record to read.
    pub offset: u64,
}

/// A consumer instance.
#[derive(Debug)]
pub struct Consumer {
    /// Embedded format of the records.
    pub format: Format,
    /// Offset reset policy.
    pub reset: Reset,
    /// Bytes for which a read waits; a negative number waits for the full timeout.
    pub min_bytes: i64,
    /// Timeout of a read in milliseconds.
    pub timeout_ms: u64,
    /// Positions of the assigned partitions, `None` until the first read or seek.
    pub positions: BTreeMap<Assignment, Option<u64>>,
    /// Number of reads; each one starts at the next partition, so that none is starved.
    pub reads: usize,
    /// Time of the last request.
    pub last_used: Instant,
}

impl Consumer {
    /// Returns the positions in the order in which the next read visits them.
    pub fn read_order(&self) -> Vec<(Assignment, Option<u64>)> {
        let mut order: Vec<_> = self.positions.clone().into_iter().collect();
        if !order.is_empty() {
            let first = self.reads % order.len();
            order.rotate_left(first);
        }
        order
    }

    /// Replaces the assigned partitions; those assigned before keep their position.
    pub fn assign(&mut self, assignments: Vec<Assignment>) {
        let old = std::mem::take(&mut self.positions);
        let with_position = |assignment: Assignment| {
            let position = old.get(&assignment).copied().flatten();
            (assignment, position)
        };
        self.positions = assignments.into_iter().map(with_position).collect();
    }
}
