//! HTTP interface for callers and operators.

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

/// Largest body of a request, in bytes; a history of 290,000 tokens never travels in one request.
pub const MAX_BODY: usize = 2 << 20;

/// What the handlers share.
#[derive(Clone)]
pub struct App {
    /// Entry of calls.
    pub gateway: Gateway<chat::Client, rest::Client>,
    /// Queues of the pools that this instance dispatches for.
    pub dispatcher: Addr<Dispatcher>,
    /// Latest refusals, for operators.
    pub refusals: Arc<Refusals>,
    /// Whether the instance may get new work.
    pub ready: Arc<AtomicBool>,
    /// Number of the last request.
    pub last: Arc<AtomicU64>,
}

impl App {
    /// Returns what the executors share.
    pub fn shared(&self) -> &Shared {
        self.gateway.shared()
    }

    /// Returns a new identifier of a request; it names the instance that can explain it.
    pub fn request_id(&self) -> String {
        let number = self.last.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number}", self.shared().ledger.settings().instance)
    }

    /// Makes the response of a refused request and keeps it for operators.
    pub fn problem(&self, request: &str, refusal: &Refusal) -> HttpResponse {
        let problem = Problem::new(request, refusal);
        self.refusals.add(problem.clone());
        problem.into()
    }

    /// Makes the response of a request that was refused before it reached an executor.
    pub fn refuse(&self, request: &str, refusal: &Refusal) -> HttpResponse {
        self.shared().metrics.refused(refusal.reason);
        self.problem(request, refusal)
    }
}

/// Checks the caller's key against the contract.
pub fn authorize(request: &HttpRequest, contract: &Contract) -> Result<(), Refusal> {
    let Some(wanted) = contract.key_sha256() else {
        return Ok(());
    };
    let header = request.headers().get("Authorization");
    let key = header
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .unwrap_or_default();
    // Comparing digests tells an attacker nothing about the key by its timing.
    let digest = Sha256::digest(key.as_bytes());
    let digest: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    if digest.eq_ignore_ascii_case(wanted) {
        return Ok(());
    }
    let detail = "the bearer key does not match the contract";
    Err(refuse(Reason::WrongKey, detail, None))
}

/// Returns the caller's idempotency key.
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

/// Makes the refusal of a malformed request.
fn bad(detail: impl Into<String>) -> Refusal {
    refuse(Reason::BadRequest, detail, None)
}

/// Answers a body that is not the expected JSON.
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
        .limit(MAX_BODY)
        .content_type_required(false)
        .error_handler(malformed);
    services
        .app_data(json)
        .app_data(web::PayloadConfig::new(MAX_BODY))
        .configure(calls::configure)
        .configure(programs::configure)
        .configure(contracts::configure)
        .configure(operate::configure)
        .configure(probe::configure)
        .default_service(web::to(not_found));
}
