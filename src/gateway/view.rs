//! Views of an instance's state for operators.

use serde::{
    Deserialize,
    Serialize, //
};

/// A table of values, as served under `/operator/` and printed by `gypsumctl gateway`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Report {
    /// Names of the columns, with units.
    pub columns: Vec<String>,
    /// Rows; each has a value for every column.
    pub rows: Vec<Vec<String>>,
}

impl Report {
    /// Returns a report without rows.
    pub fn new(columns: &[&str]) -> Self {
        Self {
            columns: columns.iter().map(ToString::to_string).collect(),
            rows: Vec::new(),
        }
    }
}
