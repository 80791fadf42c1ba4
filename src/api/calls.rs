//! Routes for calls of programs and for calls outside of programs.

use std::time::Duration;

use actix_web::{
    web::{
        self,
        ServiceConfig, //
    },
    HttpRequest,
    HttpResponse, //
};
use serde::Deserialize;
use tokio::sync::mpsc;

use crate::{
    clock::Time,
    executor::{
        admit,
        request::{
            Answer,
            Call,
            Event,
            Reason,
            Refusal,
            Request, //
        },
        EVENT_CAPACITY, //
    },
    ledger::program,
    name::{
        Customer,
        Pool,
        Program, //
    },
    upstream::Message,
};

use super::{
    authorize,
    bad_request,
    idempotency_key,
    programs::{
        authorized_program,
        ended_program,
        parse_class, //
    },
    stream::{
        accepts_event_stream,
        complete_answer,
        event_stream,
        run,
        send_answer, //
    },
    App, //
};

/// Maximum number of generated tokens if a model call does not specify it.
const DEFAULT_MAX_TOKENS: u32 = 1_024;

/// Largest `max_tokens` of a model call.
const MAX_TOKENS: u32 = 131_072;

/// Adds the routes.
pub fn configure(services: &mut ServiceConfig) {
    services
        .route("/v1/calls", web::post().to(call_standalone))
        .route("/v1/programs/{program}/calls", web::post().to(call_program))
        .route("/v1/programs/{program}/calls/{turn}", web::get().to(fetch))
        .route(
            "/v1/programs/{program}/calls/{turn}",
            web::delete().to(cancel),
        );
}

/// Request body of a call.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct NewCall {
    #[serde(rename = "type")]
    kind: Kind,
    pool: String,
    customer: Option<String>,
    class: Option<String>,
    turn: Option<u32>,
    deadline_ms: Option<u64>,
    messages: Option<Vec<Message>>,
    max_tokens: Option<u32>,
    operation: Option<String>,
    body: Option<Box<serde_json::value::RawValue>>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum Kind {
    Model,
    Tool,
    Service,
}

impl TryFrom<NewCall> for Call {
    type Error = Refusal;

    fn try_from(new: NewCall) -> Result<Self, Refusal> {
        let pool =
            Pool::try_from(new.pool).map_err(|fault| bad_request(format!("pool: {fault}")))?;
        if new.kind == Kind::Model {
            let messages = new.messages.filter(|messages| !messages.is_empty());
            let messages =
                messages.ok_or_else(|| bad_request("messages: a model call needs at least one"))?;
            let max_tokens = new.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
            if !(1..=MAX_TOKENS).contains(&max_tokens) {
                return Err(bad_request(format!(
                    "max_tokens: must be from 1 to {MAX_TOKENS}"
                )));
            }
            return Ok(Self::Model {
                pool,
                messages,
                max_tokens,
            });
        }
        let operation = new
            .operation
            .ok_or_else(|| bad_request("operation: a tool or service call needs one"))?;
        let body = new
            .body
            .map_or_else(|| "{}".to_owned(), |body| body.get().to_owned());
        Ok(Self::Service {
            pool,
            operation,
            body,
        })
    }
}

async fn call_standalone(
    app: web::Data<App>,
    body: web::Json<NewCall>,
    http: HttpRequest,
) -> HttpResponse {
    let id = app.request_id();
    match standalone_request(&app, &id, body.into_inner(), &http) {
        Ok(request) => run(app, request, 0, &http).await,
        Err(refusal) => app.refuse(&id, &refusal),
    }
}

fn standalone_request(
    app: &App,
    id: &str,
    new: NewCall,
    http: &HttpRequest,
) -> Result<Request, Refusal> {
    let customer = new
        .customer
        .clone()
        .ok_or_else(|| bad_request("customer: is missing"))?;
    let customer =
        Customer::try_from(customer).map_err(|fault| bad_request(format!("customer: {fault}")))?;
    let class = parse_class(new.class.as_deref())?;
    let deadline = {
        let state = app.shared().ledger.state();
        let contract = admit::contract_of(&state, &customer)?;
        authorize(http, contract)?;
        let max_deadline = contract.deadline(&class);
        Time::now()
            + new
                .deadline_ms
                .map_or(max_deadline, Duration::from_millis)
                .min(max_deadline)
    };
    let key = idempotency_key(http)?;
    Ok(Request {
        id: id.to_owned(),
        customer,
        class,
        program: None,
        turn: None,
        seen: 0,
        key,
        deadline,
        call: Call::try_from(new)?,
    })
}

async fn call_program(
    app: web::Data<App>,
    path: web::Path<String>,
    body: web::Json<NewCall>,
    http: HttpRequest,
) -> HttpResponse {
    let id = app.request_id();
    match program_request(&app, &id, &path, body.into_inner(), &http).await {
        Ok(request) => run(app, request, 0, &http).await,
        Err(refusal) => app.refuse(&id, &refusal),
    }
}

async fn program_request(
    app: &App,
    id: &str,
    path: &str,
    new: NewCall,
    http: &HttpRequest,
) -> Result<Request, Refusal> {
    let (program, customer, class, deadline) = authorized_program(app, path, http).await?;
    if new
        .customer
        .as_ref()
        .is_some_and(|name| name != customer.as_str())
    {
        return Err(admit::unknown(&program));
    }
    let requested = new
        .deadline_ms
        .map(|ms| Time::now() + Duration::from_millis(ms));
    let turn = new.turn;
    let key = idempotency_key(http)?;
    let call = Call::try_from(new)?;
    if key.is_none() && turn.is_none() && !idempotent(app, &call) {
        let detail = "a non-idempotent call needs an Idempotency-Key header or a turn";
        return Err(bad_request(detail));
    }
    Ok(Request {
        id: id.to_owned(),
        customer,
        class,
        seen: committed_turns(app, &program),
        program: Some(program),
        turn,
        key,
        deadline: requested.unwrap_or(deadline).min(deadline),
        call,
    })
}

/// Returns the number of committed turns in this instance's replica.
fn committed_turns(app: &App, program: &Program) -> u32 {
    let state = app.shared().ledger.state();
    state.program(program).map_or(0, program::Program::next)
}

fn idempotent(app: &App, call: &Call) -> bool {
    let Call::Service {
        pool, operation, ..
    } = call
    else {
        return true;
    };
    let pool = app.shared().config.pool(pool.as_str());
    let operation = pool.and_then(|pool| pool.operation(operation));
    operation.is_none_or(|operation| operation.idempotent)
}

/// Query parameters of a fetched answer; `offset` is the byte from which its text resumes.
#[derive(Debug)]
#[derive(Deserialize)]
struct Resume {
    offset: Option<u64>,
}

async fn fetch(
    app: web::Data<App>,
    path: web::Path<(String, u32)>,
    resume: web::Query<Resume>,
    http: HttpRequest,
) -> HttpResponse {
    let id = app.request_id();
    let (name, turn) = path.into_inner();
    let last = http.headers().get("Last-Event-ID");
    let last = last.and_then(|value| value.to_str().ok()?.parse().ok());
    let from = resume.offset.or(last).unwrap_or(0);
    match answer_events(&app, &name, turn, from, &http).await {
        Ok(events) if accepts_event_stream(&http) => event_stream(app, id, events),
        Ok(events) => complete_answer(&app, &id, events).await,
        Err(refusal) => app.refuse(&id, &refusal),
    }
}

async fn answer_events(
    app: &App,
    name: &str,
    turn: u32,
    from: u64,
    http: &HttpRequest,
) -> Result<mpsc::Receiver<Event>, Refusal> {
    let (sink, events) = mpsc::channel(EVENT_CAPACITY);
    let program = match authorized_program(app, name, http).await {
        Ok((program, ..)) => program,
        Err(refusal) if refusal.reason == Reason::ProgramEnded => {
            let answer = last_turn_answer(app, name, turn, http)
                .await
                .ok_or(refusal)?;
            send_answer(&sink, answer, from);
            return Ok(events);
        }
        Err(refusal) => return Err(refusal),
    };
    if app.gateway.join(&program, turn, from, sink.clone()).await {
        return Ok(events);
    }
    let answer = app.gateway.completed_answer(&program, turn).await?;
    send_answer(&sink, answer, from);
    Ok(events)
}

/// Returns the answer of the last turn of an ended program; its caller may not have received it.
async fn last_turn_answer(app: &App, name: &str, turn: u32, http: &HttpRequest) -> Option<Answer> {
    let (program, customer, _) = ended_program(app, name, http)?;
    app.gateway.last_answer(&customer, &program, turn).await
}

async fn cancel(
    app: web::Data<App>,
    path: web::Path<(String, u32)>,
    http: HttpRequest,
) -> HttpResponse {
    let id = app.request_id();
    let (name, turn) = path.into_inner();
    let program = match authorized_program(&app, &name, &http).await {
        Ok((program, ..)) => program,
        Err(refusal) => return app.refuse(&id, &refusal),
    };
    let cancelled = app.gateway.cancel(&program, Some(turn)).await;
    HttpResponse::Ok().json(serde_json::json!({ "cancelled": cancelled }))
}
