//! Routes to start, show, cancel and end programs.

use std::time::Duration;

use actix_web::{
    web::{
        self,
        ServiceConfig, //
    },
    HttpRequest,
    HttpResponse, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    clock::Time,
    executor::{
        admit::{
            self,
            refuse, //
        },
        request::{
            Reason,
            Refusal, //
        },
        Release, //
    },
    ledger::{
        outcome::{
            self,
            Outcome,
            Winner, //
        },
        program,
        record::{
            Body,
            Ending,
            Ran,
            Start, //
        },
    },
    name::{
        Class,
        Customer,
        Program, //
    },
};

use super::{
    authorize,
    bad_request,
    idempotency_key,
    App, //
};

/// Class of a program or call that specifies none.
const DEFAULT_CLASS: &str = "default";

/// Adds the routes.
pub fn configure(services: &mut ServiceConfig) {
    services
        .route("/v1/programs", web::post().to(start))
        .route("/v1/programs/{program}", web::get().to(show))
        .route("/v1/programs/{program}", web::delete().to(cancel_program))
        .route("/v1/programs/{program}/end", web::post().to(end));
}

/// Request body to start a program.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct NewProgram {
    customer: String,
    class: Option<String>,
    parent: Option<String>,
    deadline_ms: Option<u64>,
}

/// Response to the start of a program.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Started {
    /// The program.
    pub program: Program,
    /// Time by which the program must end, in microseconds since the Unix epoch.
    pub deadline: Time,
}

async fn start(
    app: web::Data<App>,
    body: web::Json<NewProgram>,
    http: HttpRequest,
) -> HttpResponse {
    let id = app.request_id();
    match start_program(&app, body.into_inner(), &http).await {
        Ok(started) => HttpResponse::Created().json(started),
        Err(refusal) => app.refuse(&id, &refusal),
    }
}

async fn start_program(app: &App, new: NewProgram, http: &HttpRequest) -> Result<Started, Refusal> {
    let customer = Customer::try_from(new.customer);
    let customer = customer.map_err(|fault| bad_request(format!("customer: {fault}")))?;
    let class = parse_class(new.class.as_deref())?;
    let parent = new.parent.map(Program::try_from).transpose();
    let parent = parent.map_err(|fault| bad_request(format!("parent: {fault}")))?;
    let key = idempotency_key(http)?;
    let now = Time::now();
    let deadline = {
        let state = app.shared().ledger.state();
        let contract = admit::contract_of(&state, &customer)?;
        authorize(http, contract)?;
        let max_deadline = contract.deadline(&class);
        let requested = new.deadline_ms.map(Duration::from_millis);
        now + requested.unwrap_or(max_deadline).min(max_deadline)
    };
    if deadline <= now {
        return Err(refuse(
            Reason::DeadlineUnreachable,
            "the deadline has passed",
            None,
        ));
    }
    let name = program::generate_name(&app.shared().config.zone, now, &mut rand::rng());
    let program = name.map_err(|fault| bad_request(fault.to_string()))?;
    let start = Start {
        program: program.clone(),
        class,
        parent,
        key,
        deadline,
    };
    let record = app.shared().ledger.record(&customer, Body::Start(start));
    match app.shared().ledger.commit(record).await {
        Ok(outcome) if outcome.took_effect() => Ok(Started { program, deadline }),
        Ok(Outcome::Conflict(Winner::Program(existing))) => {
            let state = app.shared().ledger.state();
            let deadline = state
                .program(&existing)
                .map_or(deadline, |found| found.deadline());
            Ok(Started {
                program: existing,
                deadline,
            })
        }
        Ok(outcome) => Err(start_refusal(&outcome)),
        // A start runs no call, and a retry with the same key finds the same program.
        Err(error) => Err(error.into()),
    }
}

fn start_refusal(outcome: &Outcome) -> Refusal {
    use outcome::Reason as Rule;
    let Outcome::Rejected(rule) = outcome else {
        return refuse(
            Reason::Conflict,
            format!("the program was not started: {outcome:?}"),
            None,
        );
    };
    let (reason, retry_after) = match rule {
        Rule::NoContract => (Reason::UnknownCustomer, None),
        Rule::Elsewhere => (Reason::CustomerElsewhere, None),
        Rule::TooManyPrograms(_) => (Reason::TooManyPrograms, Some(Duration::from_secs(1))),
        Rule::ParentNotLive => (Reason::UnknownProgram, None),
        _ => (Reason::Conflict, None),
    };
    refuse(reason, rule.to_string(), retry_after)
}

pub(super) fn parse_class(name: Option<&str>) -> Result<Class, Refusal> {
    Class::try_from(name.unwrap_or(DEFAULT_CLASS))
        .map_err(|fault| bad_request(format!("class: {fault}")))
}

/// Returns an active program with its customer, class and deadline.
///
/// Fails if the program is not active or the request lacks the key of the customer's contract.
pub(super) async fn authorized_program(
    app: &App,
    path: &str,
    http: &HttpRequest,
) -> Result<(Program, Customer, Class, Time), Refusal> {
    let program =
        Program::try_from(path).map_err(|fault| bad_request(format!("program: {fault}")))?;
    app.shared().wait_for(&program, 0).await?;
    let state = app.shared().ledger.state();
    let Some(found) = state.program(&program) else {
        return Err(missing_refusal(app, &state, &program));
    };
    let customer = found.customer().clone();
    let contract = admit::contract_of(&state, &customer)?;
    authorize(http, contract)?;
    Ok((program, customer, found.class().clone(), found.deadline()))
}

fn missing_refusal(app: &App, state: &crate::ledger::State, program: &Program) -> Refusal {
    if let Some(ending) = admit::ending(state, program) {
        return admit::ended(ending);
    }
    admit::missing(program, app.shared().program_retention(), Time::now())
}

/// A program with its history.
#[derive(Debug)]
#[derive(Serialize)]
struct History {
    program: Program,
    customer: Customer,
    class: Class,
    deadline: Time,
    turns: Vec<Item>,
}

/// One turn in a [`History`].
#[derive(Debug)]
#[derive(Serialize)]
struct Item {
    turn: u32,
    request: serde_json::Value,
    answer: String,
    ran: Ran,
}

async fn show(app: web::Data<App>, path: web::Path<String>, http: HttpRequest) -> HttpResponse {
    let id = app.request_id();
    match load_history(&app, &path, &http).await {
        Ok(history) => HttpResponse::Ok().json(history),
        Err(refusal) => app.refuse(&id, &refusal),
    }
}

async fn load_history(app: &App, path: &str, http: &HttpRequest) -> Result<History, Refusal> {
    let (program, customer, class, deadline) = authorized_program(app, path, http).await?;
    app.shared().catch_up(&customer).await;
    let turns = app.shared().history(&program).await?;
    let item = |(turn, found): (u32, &std::sync::Arc<crate::ledger::record::Turn>)| Item {
        turn,
        request: serde_json::from_str(&found.request).unwrap_or_default(),
        answer: found.answer.clone(),
        ran: found.ran,
    };
    Ok(History {
        program,
        customer,
        class,
        deadline,
        turns: (0..).zip(&turns).map(item).collect(),
    })
}

async fn end(app: web::Data<App>, path: web::Path<String>, http: HttpRequest) -> HttpResponse {
    end_with(app, &path, Ending::Done, &http).await
}

async fn cancel_program(
    app: web::Data<App>,
    path: web::Path<String>,
    http: HttpRequest,
) -> HttpResponse {
    end_with(app, &path, Ending::Cancelled, &http).await
}

async fn end_with(
    app: web::Data<App>,
    path: &str,
    reason: Ending,
    http: &HttpRequest,
) -> HttpResponse {
    let id = app.request_id();
    match end_program(&app, path, reason, http).await {
        Ok(ending) => HttpResponse::Ok().json(serde_json::json!({ "ended": ending })),
        Err(refusal) => app.refuse(&id, &refusal),
    }
}

/// Returns an ended program with its customer and the reason of its end, if the request has the key
/// of the customer's contract.
pub(super) fn ended_program(
    app: &App,
    path: &str,
    http: &HttpRequest,
) -> Option<(Program, Customer, Ending)> {
    let program = Program::try_from(path).ok()?;
    let state = app.shared().ledger.state();
    let mut accounts = state.accounts();
    let found = accounts.find_map(|(name, account)| Some((name, account.ended(&program)?)));
    let (customer, ending) = found?;
    authorize(http, state.contract(customer)?).ok()?;
    Some((program, customer.clone(), ending))
}

async fn end_program(
    app: &App,
    path: &str,
    reason: Ending,
    http: &HttpRequest,
) -> Result<Ending, Refusal> {
    let (program, customer, _, _) = match authorized_program(app, path, http).await {
        // This may be a retry of an end whose response was lost.
        Err(refusal) if refusal.reason == Reason::ProgramEnded => {
            let (_, _, ending) = ended_program(app, path, http).ok_or(refusal)?;
            return Ok(ending);
        }
        found => found?,
    };
    let shard = app.gateway.pool().shard(Some(&program));
    if reason == Ending::Cancelled {
        app.gateway.cancel(&program, None).await;
    }
    let body = Body::End {
        program: program.clone(),
        reason,
    };
    let record = app.shared().ledger.record(&customer, body);
    let outcome = app.shared().ledger.commit(record).await?;
    shard.do_send(Release { program });
    match outcome {
        Outcome::Accepted | Outcome::Duplicate => Ok(reason),
        Outcome::Conflict(Winner::Ended(first)) => Ok(first),
        Outcome::Rejected(outcome::Reason::Ended(first)) => Ok(first),
        other => Err(refuse(
            Reason::Conflict,
            format!("the program was not ended: {other:?}"),
            None,
        )),
    }
}
