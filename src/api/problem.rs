//! Error responses as `application/problem+json`.

use actix_web::{
    http::{
        header,
        StatusCode, //
    },
    HttpResponse,
    HttpResponseBuilder, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    executor::request::{
        Reason,
        Refusal, //
    },
    ledger::record::Ran,
};

/// Media type of a problem.
const MEDIA_TYPE: &str = "application/problem+json";

/// Body of every error response.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Problem {
    /// Standard reason phrase of the HTTP status.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// Machine-readable reason with a stable name.
    pub reason: Reason,
    /// Whether the work ran.
    pub ran: Ran,
    /// Time after which to retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// Human-readable explanation.
    pub detail: String,
    /// Identifier of the request, for `gypsumctl why`.
    pub request: String,
}

/// Returns the HTTP status of a reason.
pub fn status(reason: Reason) -> StatusCode {
    match reason {
        Reason::BadRequest | Reason::UnknownPool => StatusCode::BAD_REQUEST,
        Reason::WrongKey => StatusCode::UNAUTHORIZED,
        Reason::BudgetExhausted => StatusCode::PAYMENT_REQUIRED,
        Reason::UnknownCustomer | Reason::UnknownProgram | Reason::NotFound => {
            StatusCode::NOT_FOUND
        }
        Reason::ProgramEnded | Reason::OutOfOrder | Reason::TurnInProgress | Reason::Cancelled => {
            StatusCode::CONFLICT
        }
        Reason::ProgramExpired => StatusCode::GONE,
        Reason::Conflict => StatusCode::PRECONDITION_FAILED,
        Reason::CustomerElsewhere => StatusCode::MISDIRECTED_REQUEST,
        Reason::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
        Reason::TooManyPrograms => StatusCode::TOO_MANY_REQUESTS,
        Reason::UpstreamFailed => StatusCode::BAD_GATEWAY,
        Reason::OutcomeUnknown => StatusCode::GATEWAY_TIMEOUT,
        Reason::DeadlineUnreachable
        | Reason::QueueFull
        | Reason::NoUpstream
        | Reason::UpstreamRefused
        | Reason::LogUnavailable
        | Reason::NotReady => StatusCode::SERVICE_UNAVAILABLE,
    }
}

impl Problem {
    /// Creates the problem for a refused request.
    pub fn new(request: &str, refusal: &Refusal) -> Self {
        let status = status(refusal.reason);
        Self {
            title: status.canonical_reason().unwrap_or("Error").to_owned(),
            status: status.as_u16(),
            reason: refusal.reason,
            ran: refusal.ran,
            retry_after_ms: refusal.retry_after_ms,
            detail: refusal.detail.clone(),
            request: request.to_owned(),
        }
    }
}

impl From<Problem> for HttpResponse {
    fn from(problem: Problem) -> Self {
        let status =
            StatusCode::from_u16(problem.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut response = HttpResponseBuilder::new(status);
        if let Some(ms) = problem.retry_after_ms {
            // `Retry-After` is in whole seconds; rounded up so that no caller retries too early.
            response.insert_header((header::RETRY_AFTER, ms.div_ceil(1_000).to_string()));
        }
        let body = serde_json::to_string(&problem).unwrap_or_default();
        response.content_type(MEDIA_TYPE).body(body)
    }
}
