//! Failures of commands and their exit codes.

use serde_json::{
    json,
    Value, //
};
use thiserror::Error;

use crate::api::problem::Problem;

use super::{
    advice,
    print, //
};

/// Reason why a command failed.
#[derive(Debug)]
#[derive(Error)]
pub enum Failure {
    /// The command did not succeed.
    #[error("{0}")]
    Failed(String),
    /// The command line or a file is invalid.
    #[error("{0}")]
    Usage(String),
    /// Another version of the contract than the expected one is in effect.
    #[error("{message}")]
    Conflict {
        /// Explanation of the conflict and of what to do next.
        message: String,
        /// Version in effect.
        version: u64,
    },
    /// A server refused the request.
    #[error(
        "{server} refused the request: {} ({})\nran: {}; {}\nwhat to do: {}",
        .problem.detail,
        print::json_name(&.problem.reason),
        advice::describe_ran(.problem.ran),
        advice::describe_retry(.problem.retry_after_ms),
        advice::for_reason(.problem.reason).action
    )]
    Refused {
        /// Server that refused.
        server: String,
        /// The refusal.
        problem: Box<Problem>,
    },
    /// No server sent a complete response.
    #[error("{0}")]
    Unreachable(String),
}

impl Failure {
    /// Returns the exit code.
    pub fn code(&self) -> u8 {
        match self {
            Self::Failed(_) => 1,
            Self::Usage(_) => 2,
            Self::Conflict { .. } => 3,
            Self::Refused { .. } => 4,
            Self::Unreachable(_) => 5,
        }
    }

    /// Returns the failure as it is printed with `--output json`.
    pub fn json(&self) -> Value {
        let mut value = json!({ "error": self.to_string(), "exit": self.code() });
        match self {
            Self::Conflict { version, .. } => value["version"] = json!(version),
            Self::Refused { problem, .. } => value["problem"] = json!(problem),
            _ => {}
        }
        value
    }
}

impl From<anyhow::Error> for Failure {
    fn from(error: anyhow::Error) -> Self {
        Self::Failed(format!("{error:#}"))
    }
}
