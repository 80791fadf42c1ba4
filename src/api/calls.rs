//! Programs and their calls.

use std::{
    convert::Infallible,
    time::Duration, //
};

use actix_web::{
    http::header,
    web::{
        self,
        Bytes,
        ServiceConfig, //
    },
    HttpRequest,
    HttpResponse, //
};
use futures_util::stream;
use serde::{
    Deserialize,
    Serialize, //
};
use tokio::sync::mpsc;

use crate::{
    clock::Time,
    executor::{
        admit::{
            self,
            refuse, //
        },
        request::{
            Answer,
            Call,
            Event,
            Reason,
            Refusal,
            Request, //
        },
        Release,
        SINK, //
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
        Refusal as LogRefusal,
    },
    name::{
        Class,
        Customer,
        Pool,
        Program, //
    },
    upstream::Message,
};

use super::{
    authorize,
    idempotency_key,
    App, //
};

/// Class of work that names none.
const DEFAULT_CLASS: &str = "default";

/// Time without an event after which a comment is sent, so that connections don't look dead.
const KEEP_ALIVE: Duration = Duration::from_secs(10);

/// Tokens that a model call generates at most if it does not say.
const DEFAULT_TOKENS: u32 = 1_024;

/// Largest number of tokens that a model call may ask for.
const MOST_TOKENS: u32 = 131_072;

/// Adds the routes.
pub fn configure(services: &mut ServiceConfig) {
    services
        .route("/v1/calls", web::post().to(look_up))
        .route("/v1/programs", web::post().to(start))
        .route("/v1/programs/{program}", web::get().to(show))
        .route("/v1/programs/{program}", web::delete().to(cancel_program))
        .route("/v1/programs/{program}/end", web::post().to(end))
        .route("/v1/programs/{program}/calls", web::post().to(call))
        .route("/v1/programs/{program}/calls/{turn}", web::get().to(fetch))
        .route(
            "/v1/programs/{program}/calls/{turn}",
            web::delete().to(cancel),
        );
}

/// Body of a start.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct NewProgram {
    customer: String,
    class: Option<String>,
    parent: Option<String>,
    deadline_ms: Option<u64>,
}

/// Response to a start.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Started {
    /// The program.
    pub program: Program,
    /// Time by which the whole program has to finish, in microseconds since the Unix epoch.
    pub deadline: Time,
}

/// Body of a call.
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

/// Response to a call that ran.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Response {
    /// Identifier of the request.
    pub request: String,
    /// Whether the work ran; always yes.
    pub ran: Ran,
    /// The answer.
    #[serde(flatten)]
    pub answer: crate::executor::request::Answer,
}

fn bad(detail: impl Into<String>) -> Refusal {
    refuse(Reason::BadRequest, detail, None)
}

impl TryFrom<NewCall> for Call {
    type Error = Refusal;

    fn try_from(new: NewCall) -> Result<Self, Refusal> {
        let pool = Pool::try_from(new.pool).map_err(|fault| bad(format!("pool: {fault}")))?;
        if new.kind == Kind::Model {
            let messages = new.messages.filter(|messages| !messages.is_empty());
            let messages =
                messages.ok_or_else(|| bad("messages: a model call needs at least one"))?;
            let max_tokens = new.max_tokens.unwrap_or(DEFAULT_TOKENS);
            if !(1..=MOST_TOKENS).contains(&max_tokens) {
                return Err(bad(format!("max_tokens: must be from 1 to {MOST_TOKENS}")));
            }
            return Ok(Self::Model {
                pool,
                messages,
                max_tokens,
            });
        }
        let operation = new
            .operation
            .ok_or_else(|| bad("operation: a service call needs one"))?;
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

async fn start(
    app: web::Data<App>,
    body: web::Json<NewProgram>,
    http: HttpRequest,
) -> HttpResponse {
    let id = app.request_id();
    match started(&app, body.into_inner(), &http).await {
        Ok(started) => HttpResponse::Created().json(started),
        Err(refusal) => app.refuse(&id, &refusal),
    }
}

async fn started(app: &App, new: NewProgram, http: &HttpRequest) -> Result<Started, Refusal> {
    let customer = Customer::try_from(new.customer);
    let customer = customer.map_err(|fault| bad(format!("customer: {fault}")))?;
    let class = class(new.class.as_deref())?;
    let parent = new.parent.map(Program::try_from).transpose();
    let parent = parent.map_err(|fault| bad(format!("parent: {fault}")))?;
    let key = idempotency_key(http)?;
    let now = Time::now();
    let deadline = {
        let state = app.shared().ledger.state();
        let contract = admit::contract_of(&state, &customer)?;
        authorize(http, contract)?;
        let longest = contract.deadline(&class);
        let asked = new.deadline_ms.map(Duration::from_millis);
        now + asked.unwrap_or(longest).min(longest)
    };
    if deadline <= now {
        return Err(refuse(
            Reason::DeadlineUnreachable,
            "the deadline has passed",
            None,
        ));
    }
    let name = program::identifier(&app.shared().config.zone, now, &mut rand::rng());
    let program = name.map_err(|fault| bad(fault.to_string()))?;
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
        Ok(Outcome::Conflict(Winner::Program(first))) => {
            let state = app.shared().ledger.state();
            let deadline = state
                .program(&first)
                .map_or(deadline, |found| found.deadline());
            Ok(Started {
                program: first,
                deadline,
            })
        }
        Ok(outcome) => Err(not_started(&outcome)),
        Err(error @ LogRefusal::Unknown { .. }) => {
            // A start runs nothing, and a repeat with the same key finds the same program.
            Err(Refusal::from(error))
        }
        Err(error) => Err(error.into()),
    }
}

fn not_started(outcome: &Outcome) -> Refusal {
    use outcome::Reason as Rule;
    let Outcome::Rejected(rule) = outcome else {
        return refuse(Reason::Conflict, format!("{outcome:?}"), None);
    };
    let (reason, after) = match rule {
        Rule::NoContract => (Reason::UnknownCustomer, None),
        Rule::Elsewhere => (Reason::CustomerElsewhere, None),
        Rule::TooManyPrograms(_) => (Reason::TooManyPrograms, Some(Duration::from_secs(1))),
        Rule::ParentNotLive => (Reason::UnknownProgram, None),
        _ => (Reason::Conflict, None),
    };
    refuse(reason, rule.to_string(), after)
}

fn class(name: Option<&str>) -> Result<Class, Refusal> {
    Class::try_from(name.unwrap_or(DEFAULT_CLASS)).map_err(|fault| bad(format!("class: {fault}")))
}

async fn look_up(app: web::Data<App>, body: web::Json<NewCall>, http: HttpRequest) -> HttpResponse {
    let id = app.request_id();
    match lookup_request(&app, &id, body.into_inner(), &http) {
        Ok(request) => run(app, request, 0, &http).await,
        Err(refusal) => app.refuse(&id, &refusal),
    }
}

fn lookup_request(
    app: &App,
    id: &str,
    new: NewCall,
    http: &HttpRequest,
) -> Result<Request, Refusal> {
    let customer = new
        .customer
        .clone()
        .ok_or_else(|| bad("customer: is missing"))?;
    let customer =
        Customer::try_from(customer).map_err(|fault| bad(format!("customer: {fault}")))?;
    let class = class(new.class.as_deref())?;
    let deadline = {
        let state = app.shared().ledger.state();
        let contract = admit::contract_of(&state, &customer)?;
        authorize(http, contract)?;
        let longest = contract.deadline(&class);
        Time::now()
            + new
                .deadline_ms
                .map_or(longest, Duration::from_millis)
                .min(longest)
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

async fn call(
    app: web::Data<App>,
    path: web::Path<String>,
    body: web::Json<NewCall>,
    http: HttpRequest,
) -> HttpResponse {
    let id = app.request_id();
    match call_request(&app, &id, &path, body.into_inner(), &http).await {
        Ok(request) => run(app, request, 0, &http).await,
        Err(refusal) => app.refuse(&id, &refusal),
    }
}

/// Returns a program under way and checks that the caller may use it.
async fn owned(
    app: &App,
    path: &str,
    http: &HttpRequest,
) -> Result<(Program, Customer, Class, Time), Refusal> {
    let program = Program::try_from(path).map_err(|fault| bad(format!("program: {fault}")))?;
    app.shared().wait_for(&program, 0).await?;
    let state = app.shared().ledger.state();
    let Some(found) = state.program(&program) else {
        return Err(absent(app, &state, &program));
    };
    let customer = found.customer().clone();
    let contract = admit::contract_of(&state, &customer)?;
    authorize(http, contract)?;
    Ok((program, customer, found.class().clone(), found.deadline()))
}

fn absent(app: &App, state: &crate::ledger::State, program: &Program) -> Refusal {
    if let Some(ending) = admit::ending(state, program) {
        return admit::ended(ending);
    }
    admit::missing(program, app.shared().memory(), Time::now())
}

async fn call_request(
    app: &App,
    id: &str,
    path: &str,
    new: NewCall,
    http: &HttpRequest,
) -> Result<Request, Refusal> {
    let (program, customer, class, deadline) = owned(app, path, http).await?;
    if new
        .customer
        .as_ref()
        .is_some_and(|name| name != customer.as_str())
    {
        return Err(admit::unknown(&program));
    }
    let asked = new
        .deadline_ms
        .map(|ms| Time::now() + Duration::from_millis(ms));
    let turn = new.turn;
    let key = idempotency_key(http)?;
    let call = Call::try_from(new)?;
    if key.is_none() && turn.is_none() && !idempotent(app, &call) {
        let detail = "a non-idempotent call needs an Idempotency-Key header or a turn";
        return Err(bad(detail));
    }
    Ok(Request {
        id: id.to_owned(),
        customer,
        class,
        seen: seen(app, &program),
        program: Some(program),
        turn,
        key,
        deadline: asked.unwrap_or(deadline).min(deadline),
        call,
    })
}

/// Returns the number of turns that this instance's replica knows.
fn seen(app: &App, program: &Program) -> u32 {
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

/// Runs a call and answers with a stream or with the whole answer.
async fn run(app: web::Data<App>, request: Request, from: u64, http: &HttpRequest) -> HttpResponse {
    let (sink, events) = mpsc::channel(SINK);
    let id = request.id.clone();
    let gateway = app.gateway.clone();
    // The task goes on when the caller's connection is lost.
    actix_web::rt::spawn(async move { gateway.run(request, from, sink).await });
    if streams(http) {
        return event_stream(app, id, events);
    }
    whole(&app, &id, events).await
}

fn streams(http: &HttpRequest) -> bool {
    let accept = http.headers().get(header::ACCEPT);
    let accept = accept.and_then(|value| value.to_str().ok());
    accept.is_some_and(|value| value.contains("text/event-stream"))
}

async fn whole(app: &App, id: &str, mut events: mpsc::Receiver<Event>) -> HttpResponse {
    while let Some(event) = events.recv().await {
        match event {
            Event::Text { .. } => {}
            Event::Answer(answer) => {
                return HttpResponse::Ok().json(Response {
                    request: id.to_owned(),
                    ran: Ran::Yes,
                    answer,
                });
            }
            Event::Refusal(refusal) => return app.problem(id, &refusal),
        }
    }
    app.problem(id, &interrupted())
}

fn interrupted() -> Refusal {
    Refusal {
        reason: Reason::OutcomeUnknown,
        ran: Ran::Unknown,
        retry_after_ms: Some(1_000),
        detail: "the call was interrupted; fetch its answer by turn".into(),
    }
}

/// Formats one server-sent event.
fn sse(app: &App, id: &str, event: &Event) -> Bytes {
    let text = match event {
        Event::Text { offset, text } => {
            let end = offset + text.len() as u64;
            let data = serde_json::json!({ "offset": offset, "text": text });
            format!("id: {end}\nevent: text\ndata: {data}\n\n")
        }
        Event::Answer(answer) => {
            let response = Response {
                request: id.to_owned(),
                ran: Ran::Yes,
                answer: answer.clone(),
            };
            let data = serde_json::to_string(&response).unwrap_or_default();
            format!("event: answer\ndata: {data}\n\n")
        }
        Event::Refusal(refusal) => {
            let problem = super::Problem::new(id, refusal);
            app.refusals.add(problem.clone());
            let data = serde_json::to_string(&problem).unwrap_or_default();
            format!("event: refusal\ndata: {data}\n\n")
        }
    };
    Bytes::from(text)
}

fn event_stream(app: web::Data<App>, id: String, events: mpsc::Receiver<Event>) -> HttpResponse {
    let state = (app, id, Some(events));
    let body = stream::unfold(state, |(app, id, events)| async move {
        let mut events = events?;
        let next = tokio::time::timeout(KEEP_ALIVE, events.recv()).await;
        let event = match next {
            Err(_) => {
                let comment = Bytes::from_static(b": keep-alive\n\n");
                return Some((Ok::<_, Infallible>(comment), (app, id, Some(events))));
            }
            Ok(event) => event.unwrap_or_else(|| Event::Refusal(interrupted())),
        };
        let bytes = sse(&app, &id, &event);
        let rest = matches!(event, Event::Text { .. }).then_some(events);
        Some((Ok(bytes), (app, id, rest)))
    });
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .insert_header((header::CACHE_CONTROL, "no-cache"))
        .streaming(body)
}

/// Where a stream resumes.
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
    match fetched(&app, &name, turn, from, &http).await {
        Ok(events) if streams(&http) => event_stream(app, id, events),
        Ok(events) => whole(&app, &id, events).await,
        Err(refusal) => app.refuse(&id, &refusal),
    }
}

async fn fetched(
    app: &App,
    name: &str,
    turn: u32,
    from: u64,
    http: &HttpRequest,
) -> Result<mpsc::Receiver<Event>, Refusal> {
    let (sink, events) = mpsc::channel(SINK);
    let program = match owned(app, name, http).await {
        Ok((program, ..)) => program,
        Err(refusal) if refusal.reason == Reason::ProgramEnded => {
            let answer = last_answer(app, name, turn, http).await.ok_or(refusal)?;
            deliver(&sink, answer, from);
            return Ok(events);
        }
        Err(refusal) => return Err(refusal),
    };
    if app.gateway.join(&program, turn, from, sink.clone()).await {
        return Ok(events);
    }
    let answer = app.gateway.kept(&program, turn).await?;
    deliver(&sink, answer, from);
    Ok(events)
}

/// Sends a whole answer, its text from byte `from` on.
fn deliver(sink: &mpsc::Sender<Event>, answer: Answer, from: u64) {
    let text = answer.content.get(from as usize..).unwrap_or_default();
    let texts = (!text.is_empty()).then(|| Event::Text {
        offset: from,
        text: text.to_owned(),
    });
    for event in texts.into_iter().chain([Event::Answer(answer)]) {
        // The channel has room for both events.
        let _ = sink.try_send(event);
    }
}

/// Returns the answer of the last turn of an ended program, which its caller may have missed.
async fn last_answer(app: &App, name: &str, turn: u32, http: &HttpRequest) -> Option<Answer> {
    let program = Program::try_from(name).ok()?;
    let customer = {
        let state = app.shared().ledger.state();
        let mut accounts = state.accounts();
        let (customer, account) =
            accounts.find(|(_, account)| account.ended(&program).is_some())?;
        authorize(http, account.contract()?).ok()?;
        customer.clone()
    };
    app.gateway.last(&customer, &program, turn).await
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

/// A turn of a history.
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
    match shown(&app, &path, &http).await {
        Ok(history) => HttpResponse::Ok().json(history),
        Err(refusal) => app.refuse(&id, &refusal),
    }
}

async fn shown(app: &App, path: &str, http: &HttpRequest) -> Result<History, Refusal> {
    let (program, customer, class, deadline) = owned(app, path, http).await?;
    let turns = app.gateway.history(&program).await?;
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
    finish(app, &path, Ending::Done, &http).await
}

async fn cancel_program(
    app: web::Data<App>,
    path: web::Path<String>,
    http: HttpRequest,
) -> HttpResponse {
    finish(app, &path, Ending::Cancelled, &http).await
}

async fn finish(
    app: web::Data<App>,
    path: &str,
    reason: Ending,
    http: &HttpRequest,
) -> HttpResponse {
    let id = app.request_id();
    match finished(&app, path, reason, http).await {
        Ok(ending) => HttpResponse::Ok().json(serde_json::json!({ "ended": ending })),
        Err(refusal) => app.refuse(&id, &refusal),
    }
}

/// Returns how a program of the caller ended.
fn already_ended(app: &App, path: &str, http: &HttpRequest) -> Option<Ending> {
    let program = Program::try_from(path).ok()?;
    let state = app.shared().ledger.state();
    let mut accounts = state.accounts();
    let found = accounts.find_map(|(name, account)| Some((name, account.ended(&program)?)));
    let (customer, ending) = found?;
    let contract = admit::contract_of(&state, customer).ok()?;
    authorize(http, contract).ok()?;
    Some(ending)
}

async fn finished(
    app: &App,
    path: &str,
    reason: Ending,
    http: &HttpRequest,
) -> Result<Ending, Refusal> {
    let (program, customer, _, _) = match owned(app, path, http).await {
        // The answer to an earlier end may have been lost.
        Err(refusal) if refusal.reason == Reason::ProgramEnded => {
            return already_ended(app, path, http).ok_or(refusal);
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
        other => Err(refuse(Reason::Conflict, format!("{other:?}"), None)),
    }
}

async fn cancel(
    app: web::Data<App>,
    path: web::Path<(String, u32)>,
    http: HttpRequest,
) -> HttpResponse {
    let id = app.request_id();
    let (name, turn) = path.into_inner();
    let program = match owned(&app, &name, &http).await {
        Ok((program, ..)) => program,
        Err(refusal) => return app.refuse(&id, &refusal),
    };
    let cancelled = app.gateway.cancel(&program, Some(turn)).await;
    HttpResponse::Ok().json(serde_json::json!({ "cancelled": cancelled }))
}
