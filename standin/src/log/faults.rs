//! Faults and limits of the log that can be changed while it runs.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::server::Network;

/// How the answer to an append is lost after the append has taken effect.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Loss {
    /// The connection is closed.
    #[default]
    Close,
    /// The connection stays open and silent.
    Silent,
    /// The answer is an error with status 500.
    Error,
}

/// Faults of the log.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Faults of the network in front of the log.
    pub network: Network,
    /// Replaces the configured limit of appends per second.
    pub appends_per_second: Option<u32>,
    /// Appends per second that other users make; they count towards the limit.
    pub foreign_appends_per_second: u32,
    /// Delay of an append before it takes effect, in milliseconds. The append takes
    /// effect even if the client has given up meanwhile.
    pub append_delay_ms: u64,
    /// Delay of the answer after an append has taken effect, in milliseconds.
    pub answer_delay_ms: u64,
    /// Appends that are refused with status 500 without effect; counts down.
    pub fail_next: u32,
    /// Appends whose answer is lost; counts down.
    pub lose_next: u32,
    /// Probability that the answer to an append is lost.
    pub lose_probability: f64,
    /// How answers are lost.
    pub loss: Loss,
    /// Replaces the configured retention.
    pub retention: Option<Retention>,
}

/// Which records are kept; without a limit, all.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Retention {
    /// Longest age in milliseconds.
    pub age_ms: Option<u64>,
    /// Most records per partition.
    pub count: Option<u64>,
}
