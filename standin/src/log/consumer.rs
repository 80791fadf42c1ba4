//! Consumer instances: what they read and where they stand.

use std::{
    collections::BTreeMap,
    time::Instant, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::format::Format;

/// Where a consumer goes on when its position isn't kept.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Reset {
    /// At the oldest record.
    Earliest,
    /// Behind the newest record.
    #[default]
    Latest,
    /// Nowhere: the read fails.
    None,
}

/// Body of the request that makes a consumer instance.
#[derive(Debug, Default)]
#[derive(Deserialize)]
pub struct Request {
    /// Name of the instance.
    #[serde(default)]
    pub name: Option<String>,
    /// Embedded format of the records.
    #[serde(default)]
    pub format: Format,
    /// Where to go on when the position isn't kept.
    #[serde(default, rename = "auto.offset.reset")]
    pub reset: Reset,
    /// Bytes for which a read waits; -1 waits for the whole timeout.
    #[serde(default, rename = "fetch.min.bytes")]
    pub min_bytes: Option<Number>,
    /// Longest time of a read in milliseconds.
    #[serde(default, rename = "consumer.request.timeout.ms")]
    pub timeout_ms: Option<Number>,
}

/// A number that clients write as a number or as text.
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
    /// Returns the number.
    pub fn get(&self) -> Option<i64> {
        match self {
            Self::Number(number) => Some(*number),
            Self::Text(text) => text.parse().ok(),
        }
    }
}

/// A topic and partition.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct Place {
    /// Topic.
    pub topic: String,
    /// Partition of the topic.
    pub partition: u32,
}

/// Body of assignments and of seeks to the beginning or the end.
#[derive(Debug, Default)]
#[derive(Deserialize, Serialize)]
pub struct Places {
    /// Partitions.
    pub partitions: Vec<Place>,
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
    pub place: Place,
    /// Offset of the next record to read.
    pub offset: u64,
}

/// A consumer instance.
#[derive(Debug)]
pub struct Consumer {
    /// Embedded format of the records.
    pub format: Format,
    /// Where to go on when the position isn't kept.
    pub reset: Reset,
    /// Bytes for which a read waits; negative waits for the whole timeout.
    pub min_bytes: i64,
    /// Longest time of a read in milliseconds.
    pub timeout_ms: u64,
    /// Assigned partitions; a position is `None` until the first read.
    pub positions: BTreeMap<Place, Option<u64>>,
    /// Reads so far; they begin with another partition each time.
    pub reads: usize,
    /// Time of the last request.
    pub used: Instant,
}

impl Consumer {
    /// Returns the positions in the order in which the next read visits them.
    pub fn order(&self) -> Vec<(Place, Option<u64>)> {
        let mut order: Vec<_> = self.positions.clone().into_iter().collect();
        if !order.is_empty() {
            let first = self.reads % order.len();
            order.rotate_left(first);
        }
        order
    }

    /// Replaces the assigned partitions; kept ones keep their position.
    pub fn assign(&mut self, places: Vec<Place>) {
        let old = std::mem::take(&mut self.positions);
        let keep = |place: Place| {
            let position = old.get(&place).copied().flatten();
            (place, position)
        };
        self.positions = places.into_iter().map(keep).collect();
    }
}
