//! Records in log order and the state that follows from them.

pub mod record;

use serde::{
    Deserialize,
    Serialize, //
};

/// State of one entity, repeated in a snapshot.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Entity {}
