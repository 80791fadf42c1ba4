//! Reasons why the engine refuses a request.

use actix_web::{
    http::{
        header::RETRY_AFTER,
        StatusCode, //
    },
    HttpResponse, //
};
use serde_json::json;

/// Reason why the engine refuses a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The body isn't a valid request.
    Invalid(String),
    /// The engine is overloaded; value of `Retry-After` in seconds.
    Overloaded(Option<u64>),
    /// The model isn't loaded.
    Model(String),
    /// The prompt and the answer exceed the memory, whose size in tokens is given.
    Context(u64),
    /// The fencing number is stale.
    Stale(String),
    /// The slot belongs to a running call.
    Busy,
    /// The slot doesn't exist.
    Slot,
    /// The action isn't supported.
    Action,
    /// The task that applied the command was interrupted.
    Interrupted,
}

impl Refusal {
    fn describe(&self) -> (StatusCode, &'static str, String) {
        let bad = StatusCode::BAD_REQUEST;
        match self {
            Self::Invalid(reason) => (bad, "invalid_request_error", reason.clone()),
            Self::Overloaded(_) => (
                StatusCode::SERVICE_UNAVAILABLE,
                "service_unavailable",
                "The engine is overloaded.".to_owned(),
            ),
            Self::Model(name) => (
                StatusCode::NOT_FOUND,
                "NotFoundError",
                format!("The model `{name}` does not exist."),
            ),
            Self::Context(limit) => (
                bad,
                "context_length_exceeded",
                format!("This model's maximum context length is {limit} tokens."),
            ),
            Self::Stale(reason) => (StatusCode::CONFLICT, "stale_fencing_number", reason.clone()),
            Self::Busy => (
                StatusCode::CONFLICT,
                "slot_busy",
                "The slot is processing a call.".to_owned(),
            ),
            Self::Slot => (
                StatusCode::NOT_FOUND,
                "not_found_error",
                "No such slot.".to_owned(),
            ),
            Self::Action => (
                StatusCode::NOT_IMPLEMENTED,
                "not_supported_error",
                "Only the action erase is supported.".to_owned(),
            ),
            Self::Interrupted => (
                StatusCode::INTERNAL_SERVER_ERROR,
                "internal_error",
                "The engine was interrupted.".to_owned(),
            ),
        }
    }

    /// Returns the HTTP response.
    pub fn to_response(&self) -> HttpResponse {
        let (status, kind, message) = self.describe();
        let mut response = HttpResponse::build(status);
        if let Self::Overloaded(Some(seconds)) = self {
            response.insert_header((RETRY_AFTER, *seconds));
        }
        let code = status.as_u16();
        let error = json!({"message": message, "type": kind, "param": null, "code": code});
        response.json(json!({"error": error}))
    }
}
