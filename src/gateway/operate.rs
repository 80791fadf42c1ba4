//! Views for operators: tables of an instance's state under `/operator/`, and its latest refusals.

use std::{
    cell::RefCell,
    collections::VecDeque,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use actix_web::{
    web::{
        self,
        Data,
        Path, //
    },
    HttpResponse,
};

use super::{
    state::Gateway,
    view::Report, //
};
use crate::{
    clock::Time,
    log::Log, //
};

/// Refusals that are retained.
const MAX_REFUSALS: usize = 512;

/// Maximum length of an identifier that is retained; callers choose identifiers.
const MAX_ID_BYTES: usize = 128;

/// A request that the gateway refused.
#[derive(Clone, Debug)]
pub struct Refused {
    /// Time of the refusal.
    pub time: Time,
    /// Identifier of the request.
    pub request: Arc<str>,
    /// Identifier of the program; empty if the request has none.
    pub program: Arc<str>,
    /// HTTP status.
    pub status: u16,
    /// Reason code.
    pub reason: &'static str,
    /// Time after which the caller may retry, if it was stated.
    pub retry_after: Option<Duration>,
    /// Time between the arrival of the request and the refusal.
    pub took: Duration,
    /// Version of the configuration; 0 if there was none.
    pub version: u64,
}

/// The latest refusals.
#[derive(Default)]
pub struct Refusals(RefCell<VecDeque<Refused>>);

/// Shortens an identifier to the length that is retained.
fn shorten(id: &str) -> &str {
    let mut end = id.len().min(MAX_ID_BYTES);
    while !id.is_char_boundary(end) {
        end -= 1;
    }
    &id[..end]
}

impl Refusals {
    /// Retains a refusal in place of the oldest one.
    pub fn record(&self, mut refused: Refused) {
        for id in [&mut refused.request, &mut refused.program] {
            if id.len() > MAX_ID_BYTES {
                *id = shorten(id).into();
            }
        }
        let mut refusals = self.0.borrow_mut();
        if refusals.len() >= MAX_REFUSALS {
            refusals.pop_front();
        }
        refusals.push_back(refused);
    }

    /// Returns the refusals of the requests with an identifier, the oldest first.
    pub fn report(&self, request: &str) -> Report {
        let request = shorten(request);
        let refusals = self.0.borrow();
        let found = refusals
            .iter()
            .filter(|refused| *refused.request == *request);
        let rows = found.map(|refused| {
            let retry_after = refused.retry_after;
            vec![
                refused.request.to_string(),
                (refused.time.0 / 1_000).to_string(),
                refused.program.to_string(),
                refused.status.to_string(),
                refused.reason.to_owned(),
                retry_after.map_or_else(String::new, |wait| wait.as_millis().to_string()),
                refused.took.as_millis().to_string(),
                refused.version.to_string(),
            ]
        });
        Report {
            rows: rows.collect(),
            ..Report::new(&[
                "request",
                "unix_ms",
                "program",
                "status",
                "reason",
                "retry_after_ms",
                "took_ms",
                "version",
            ])
        }
    }
}

/// State that handlers share; they all run on one thread.
type Shared<D, L> = Data<Rc<Gateway<D, L>>>;

/// Adds the routes of the views.
pub fn configure<D: 'static, L: Log + 'static>(app: &mut web::ServiceConfig) {
    let view = |report: fn(&Gateway<D, L>) -> Report| {
        web::get().to(move |gateway: Shared<D, L>| async move { respond(&report(&gateway)) })
    };
    app.route("/operator/tenants", view(tenants))
        .route("/operator/histories", view(histories))
        .route("/operator/requests/{id}", web::get().to(refusals::<D, L>));
}

fn respond(report: &Report) -> HttpResponse {
    HttpResponse::Ok().json(report)
}

async fn refusals<D: 'static, L: 'static>(gateway: Shared<D, L>, id: Path<String>) -> HttpResponse {
    respond(&gateway.refusals.report(&id))
}

/// Returns the quotas of all tenants, and the credit of those for which this instance issues it.
fn tenants<D, L>(gateway: &Gateway<D, L>) -> Report {
    gateway.quotas.report()
}

/// Returns the partitions of retained turns that this instance owns.
fn histories<D, L: Log + 'static>(gateway: &Gateway<D, L>) -> Report {
    let histories = gateway.histories.get();
    histories
        .map(|histories| histories.report())
        .unwrap_or_default()
}
