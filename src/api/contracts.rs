//! Routes to list, show, publish and amend the contracts of customers.

use std::sync::Arc;

use actix_web::{
    http::header::{
        ETAG,
        IF_MATCH,
        IF_NONE_MATCH, //
    },
    web::{
        self,
        ServiceConfig, //
    },
    HttpRequest, HttpResponse,
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    contract::{
        Contract,
        Raw,
        Version, //
    },
    executor::{
        admit::refuse,
        request::{
            Reason,
            Refusal, //
        },
    },
    ledger::{
        outcome::{
            Outcome,
            Winner, //
        },
        record::{
            Body,
            Ran, //
        },
        Refusal as LogRefusal,
    },
    name::Customer,
};

use super::App;

/// A contract with its version and the state of its budget.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Entry {
    /// Version in effect.
    pub version: Version,
    /// The contract.
    pub contract: Contract,
    /// Cost of settled work, in micro-units.
    pub spent_micros: u64,
    /// Reserved but unsettled budget of all instances, in micro-units.
    pub reserved_micros: u64,
    /// Number of active programs.
    pub running: usize,
}

/// Adds the routes.
pub fn configure(services: &mut ServiceConfig) {
    services
        .route("/v1/contracts", web::get().to(list))
        .route("/v1/contracts/{customer}", web::get().to(show))
        .route("/v1/contracts/{customer}", web::put().to(publish));
}

fn entry(app: &App, customer: &Customer) -> Option<Entry> {
    let state = app.shared().ledger.state();
    let account = state.account(customer)?;
    let contract = account.contract()?;
    let budget = account.budget();
    Some(Entry {
        version: account.version(),
        contract: Contract::clone(contract),
        spent_micros: budget.spent.0,
        reserved_micros: budget.outstanding.0,
        running: account.running(),
    })
}

async fn list(app: web::Data<App>) -> HttpResponse {
    let customers: Vec<Customer> = {
        let state = app.shared().ledger.state();
        let mut names: Vec<_> = state.accounts().map(|(name, _)| name.clone()).collect();
        names.sort();
        names
    };
    let entries: Vec<_> = customers
        .iter()
        .filter_map(|name| entry(&app, name))
        .collect();
    HttpResponse::Ok().json(entries)
}

async fn show(app: web::Data<App>, path: web::Path<String>) -> HttpResponse {
    let found = Customer::try_from(path.as_str())
        .ok()
        .and_then(|name| entry(&app, &name));
    match found {
        Some(entry) => HttpResponse::Ok()
            .insert_header((ETAG, format!("\"{}\"", entry.version)))
            .json(entry),
        None => {
            let detail = format!("customer {path} has no contract");
            let refusal = refuse(Reason::UnknownCustomer, detail, None);
            app.refuse(&app.request_id(), &refusal)
        }
    }
}

/// Returns the version that the request's headers expect to be in effect, 0 for none.
fn expected_version(request: &HttpRequest) -> Result<Version, Refusal> {
    let header = |name| {
        request
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    let bad = |detail: &str| refuse(Reason::BadRequest, detail, None);
    match (header(IF_NONE_MATCH), header(IF_MATCH)) {
        (Some("*"), None) => Ok(0),
        (None, Some(tag)) => tag
            .trim_matches('"')
            .parse()
            .map_err(|_| bad("If-Match: must be the version in double quotes")),
        _ => Err(bad(
            "send If-None-Match: * to publish, or If-Match: \"version\" to amend",
        )),
    }
}

async fn publish(
    app: web::Data<App>,
    path: web::Path<String>,
    body: web::Json<Raw>,
    request: HttpRequest,
) -> HttpResponse {
    let id = app.request_id();
    match publish_contract(&app, &path, body.into_inner(), &request).await {
        Ok(version) => HttpResponse::Ok()
            .insert_header((ETAG, format!("\"{version}\"")))
            .json(serde_json::json!({ "version": version, "request": id })),
        Err(refusal) => app.refuse(&id, &refusal),
    }
}

async fn publish_contract(
    app: &App,
    path: &str,
    raw: Raw,
    request: &HttpRequest,
) -> Result<Version, Refusal> {
    let expected = expected_version(request)?;
    let contract = Contract::try_from(raw)
        .map_err(|fault| refuse(Reason::BadRequest, fault.to_string(), None))?;
    if contract.customer().as_str() != path {
        let detail = "customer: must be the one in the path";
        return Err(refuse(Reason::BadRequest, detail, None));
    }
    let customer = contract.customer().clone();
    let version = expected + 1;
    let contract = Arc::new(contract);
    let body = Body::Publish {
        version,
        contract: contract.clone(),
    };
    let record = app.shared().ledger.record(&customer, body);
    match app.shared().ledger.commit(record).await {
        Ok(outcome) if outcome.took_effect() => Ok(version),
        Ok(Outcome::Conflict(Winner::Contract(current))) => {
            resolve_conflict(app, &customer, version, current, &contract)
        }
        Ok(outcome) => {
            let detail = format!("the contract was not accepted: {outcome:?}");
            Err(refuse(Reason::Conflict, detail, None))
        }
        Err(error @ LogRefusal::Unknown { .. }) => Err(Refusal {
            ran: Ran::Unknown,
            ..error.into()
        }),
        Err(error) => Err(error.into()),
    }
}

/// Handles a conflict: accepts a retry of the publication in effect, whose response may have been
/// lost, and refuses any other.
fn resolve_conflict(
    app: &App,
    customer: &Customer,
    version: Version,
    current: Version,
    contract: &Contract,
) -> Result<Version, Refusal> {
    let is_retry =
        version == current && entry(app, customer).is_some_and(|entry| entry.contract == *contract);
    if is_retry {
        return Ok(version);
    }
    let detail = format!("version {current} is in force");
    Err(refuse(Reason::Conflict, detail, None))
}
