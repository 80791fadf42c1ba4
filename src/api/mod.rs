//! HTTP API for callers and operators.

pub mod calls;
pub mod contracts;
pub mod operate;
pub mod probe;
pub mod problem;
pub mod programs;
pub mod refusals;
pub mod stream;

use std::sync::{
    atomic::{
        AtomicBool,
        AtomicU64,
        Ordering, //
    },
    Arc,
};

use actix::Addr;
use actix_web::{
    error::JsonPayloadError,
    web::{
        self,
        ServiceConfig, //
    },
    HttpRequest,
    HttpResponse, //
};
use sha2::{
    Digest,
    Sha256, //
};

use crate::{
    contract::Contract,
    dispatch::Dispatcher,
    executor::{
        admit::refuse,
        gateway::Gateway,
        request::{
            Reason,
            Refusal, //
        },
        Shared, //
    },
    upstream::{
        chat,
        rest, //
    },
};

use problem::Problem;
use refusals::Refusals;

/// Maximum size of a request body; a history of 290,000 tokens is never sent in one request.
pub const MAX_BODY_BYTES: usize = 2 << 20;

/// State shared by the HTTP handlers.
#[derive(Clone)]
pub struct App {
    /// Entry point for calls.
    pub gateway: Gateway<chat::Client, rest::Client>,
    /// Queues of the pools that this instance dispatches for.
    pub dispatcher: Addr<Dispatcher>,
    /// Latest refusals, listed for operators.
    pub refusals: Arc<Refusals>,
    /// Whether the instance accepts new work.
    pub ready: Arc<AtomicBool>,
    /// Number of the next request.
    pub next_request: Arc<AtomicU64>,
}

impl App {
    /// Returns the state shared by the executors.
    pub fn shared(&self) -> &Shared {
        self.gateway.shared()
    }

    /// Returns a new request identifier.
    ///
    /// It begins with the author name of this process, which shows on which instance a refusal can
    /// be looked up.
    pub fn request_id(&self) -> String {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number}", self.shared().ledger.settings().instance)
    }

    /// Creates the response to a refused request and records the refusal for operators.
    pub fn respond(&self, request: &str, refusal: &Refusal) -> HttpResponse {
        let problem = Problem::new(request, refusal);
        self.refusals.add(problem.clone());
        problem.into()
    }

    /// Counts and records a refusal made before the request reached an executor, and creates the
    /// response.
    pub fn refuse(&self, request: &str, refusal: &Refusal) -> HttpResponse {
        self.shared().metrics.refused(refusal.reason);
        self.respond(request, refusal)
    }
}

/// Checks the bearer key of the request against the contract; any key is valid if it has none.
pub fn authorize(request: &HttpRequest, contract: &Contract) -> Result<(), Refusal> {
    let Some(expected) = contract.key_sha256() else {
        return Ok(());
    };
    let header = request.headers().get("Authorization");
    let key = header
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .unwrap_or_default();
    // Comparing digests reveals nothing about the key through timing.
    let digest = Sha256::digest(key.as_bytes());
    let digest: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    if digest.eq_ignore_ascii_case(expected) {
        return Ok(());
    }
    let detail = "the bearer key does not match the contract";
    Err(refuse(Reason::WrongKey, detail, None))
}

/// Returns the value of the `Idempotency-Key` header; fails unless it has 1 to 256 visible ASCII
/// characters.
pub fn idempotency_key(request: &HttpRequest) -> Result<Option<String>, Refusal> {
    let Some(value) = request.headers().get("Idempotency-Key") else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(key) if (1..=256).contains(&key.len()) => Ok(Some(key.to_owned())),
        _ => Err(refuse(
            Reason::BadRequest,
            "Idempotency-Key: must be 1 to 256 visible ASCII characters",
            None,
        )),
    }
}

/// Creates the refusal of an invalid request.
fn bad_request(detail: impl Into<String>) -> Refusal {
    refuse(Reason::BadRequest, detail, None)
}

/// Creates the error response to a body that is not the expected JSON.
fn malformed(error: JsonPayloadError, request: &HttpRequest) -> actix_web::Error {
    let refusal = refuse(Reason::BadRequest, error.to_string(), None);
    let response = match request.app_data::<web::Data<App>>() {
        Some(app) => app.refuse(&app.request_id(), &refusal),
        None => HttpResponse::BadRequest().finish(),
    };
    actix_web::error::InternalError::from_response(error, response).into()
}

async fn not_found(app: web::Data<App>, request: HttpRequest) -> HttpResponse {
    let detail = format!("{} {} does not exist", request.method(), request.path());
    let refusal = refuse(Reason::NotFound, detail, None);
    app.refuse(&app.request_id(), &refusal)
}

/// Adds all routes for callers and operators.
pub fn configure(services: &mut ServiceConfig) {
    let json = web::JsonConfig::default()
        .limit(MAX_BODY_BYTES)
        .content_type_required(false)
        .error_handler(malformed);
    services
        .app_data(json)
        .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
        .configure(calls::configure)
        .configure(programs::configure)
        .configure(contracts::configure)
        .configure(operate::configure)
        .configure(probe::configure)
        .default_service(web::to(not_found));
}
