//! Error responses of the API.

use actix_web::{
    http::{
        header,
        StatusCode, //
    },
    HttpResponse, //
};
use serde_json::json;

use super::format::MEDIA_TYPE;

/// An error of the API. Its code starts with the HTTP status.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// Error code of the API, for example 40403.
    pub code: u32,
    /// Text of the error.
    pub message: String,
}

impl Problem {
    /// Creates a problem.
    pub fn new(code: u32, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
        }
    }

    /// The topic doesn't exist.
    pub fn unknown_topic() -> Self {
        Self::new(40_401, "Topic not found.")
    }

    /// The partition doesn't exist.
    pub fn unknown_partition() -> Self {
        Self::new(40_402, "Partition not found.")
    }

    /// The consumer instance doesn't exist or has expired.
    pub fn unknown_instance() -> Self {
        Self::new(40_403, "Consumer instance not found.")
    }

    /// The limit of appends per second is exceeded.
    pub fn rate_limited() -> Self {
        Self::new(
            42_901,
            "Request rate limit exceeded: The rate limit of requests per second has been exceeded.",
        )
    }

    /// The broker failed.
    pub fn broker_error(message: &str) -> Self {
        Self::new(50_002, format!("Kafka error: {message}"))
    }

    /// Returns the HTTP response.
    pub fn to_response(&self) -> HttpResponse {
        let status = if self.code < 1_000 {
            self.code
        } else {
            self.code / 100
        };
        let status = StatusCode::from_u16(status as u16).unwrap_or_default();
        let mut response = HttpResponse::build(status);
        if status == StatusCode::TOO_MANY_REQUESTS {
            response.insert_header((header::RETRY_AFTER, "1"));
        }
        response
            .content_type(MEDIA_TYPE)
            .json(json!({"error_code": self.code, "message": self.message}))
    }
}
