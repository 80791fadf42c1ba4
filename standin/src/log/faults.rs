//! Injectable faults and limits of the log, changeable at run time.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::server::Network;

/// How the response to an append is lost after the append has taken effect.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Loss {
    /// The connection is closed.
    #[default]
    Close,
    /// The connection stays open and nothing is sent.
    Silent,
    /// The response is an error with status 500.
    Error,
}

/// Injectable faults of the log.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Faults of the network in front of the log.
    pub network: Network,
    /// Replaces the configured limit of appends per second.
    pub appends_per_second: Option<u32>,
    /// Appends per second of other clients, which count towards the limit.
    pub foreign_appends_per_second: u32,
    /// Delay of an append before it takes effect, in milliseconds. The append takes
    /// effect even if the client has disconnected meanwhile.
    pub append_delay_ms: u64,
    /// Delay of the response after an append has taken effect, in milliseconds.
    pub answer_delay_ms: u64,
    /// Number of appends to fail with status 500 and without effect; counts down.
    pub fail_next: u32,
    /// Number of appends whose response is lost; counts down.
    pub lose_next: u32,
    /// Probability that the response to an append is lost.
    pub lose_probability: f64,
    /// How responses are lost.
    pub loss: Loss,
    /// Replaces the configured retention.
    pub retention: Option<Retention>,
}

/// Retention limits of a partition; without a limit, all records are retained.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Retention {
    /// Maximum age in milliseconds.
    pub age_ms: Option<u64>,
    /// Maximum number of records per partition.
    pub count: Option<u64>,
}
