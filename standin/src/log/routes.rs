//! HTTP routes of the log.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use actix_web::{
    http::header,
    rt::{
        self,
        time, //
    },
    web::{
        self,
        Bytes,
        Data,
        Path,
        Query, //
    },
    HttpRequest,
    HttpResponse, //
};
use serde::{
    de::DeserializeOwned,
    Deserialize, //
};
use serde_json::json;

use super::{
    consumer::{
        Assignment,
        Assignments,
        Positions,
        Request, //
    },
    format::{
        Format,
        Produce,
        MEDIA_TYPE, //
    },
    partition::Pair,
    problem::Problem,
    store::{
        Injection,
        Log,
        Peek, //
    },
    Loss,
};
use crate::server::Connection;

pub(super) fn configure(app: &mut web::ServiceConfig) {
    let instance = "/consumers/{group}/instances/{instance}";
    app.route("/topics", web::get().to(topics))
        .route("/topics/{topic}/partitions", web::get().to(partitions))
        .route(
            "/topics/{topic}/partitions/{partition}",
            web::post().to(produce),
        )
        .route(
            "/topics/{topic}/partitions/{partition}/offsets",
            web::get().to(offsets),
        )
        .route("/consumers/{group}", web::post().to(create))
        .service(
            web::scope(instance)
                .route("", web::delete().to(delete))
                .route("/assignments", web::post().to(assign))
                .route("/assignments", web::get().to(assignments))
                .route("/positions", web::post().to(seek))
                .route("/positions/{edge}", web::post().to(seek_edge))
                .route("/records", web::get().to(records)),
        )
        .route("/control/trim", web::post().to(trim));
}

type Outcome = Result<HttpResponse, Problem>;

fn respond(outcome: Outcome) -> HttpResponse {
    outcome.unwrap_or_else(|problem| problem.to_response())
}

fn no_content() -> HttpResponse {
    HttpResponse::NoContent().finish()
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Problem> {
    serde_json::from_slice(body).map_err(|error| invalid(&error))
}

/// Maps a parse error to code 400 for malformed JSON, and to 422 for JSON of another shape.
fn invalid(error: &serde_json::Error) -> Problem {
    let code = if error.is_data() { 422 } else { 400 };
    Problem::new(code, error.to_string())
}

fn header_text(request: &HttpRequest, name: impl header::AsHeaderName) -> Option<String> {
    let value = request.headers().get(name)?;
    value.to_str().ok().map(str::to_owned)
}

async fn topics(log: Data<Log>) -> HttpResponse {
    let stats = log.inner().stats();
    let names: Vec<_> = stats.topics.into_keys().collect();
    HttpResponse::Ok().content_type(MEDIA_TYPE).json(names)
}

async fn partitions(log: Data<Log>, topic: Path<String>) -> HttpResponse {
    let list = |count: usize| {
        let replica = json!([{"broker": 1, "leader": true, "in_sync": true}]);
        let entry = |id| json!({"partition": id, "leader": 1, "replicas": replica});
        (0..count).map(entry).collect::<Vec<_>>()
    };
    respond(log.inner().topic(&topic).map(|partitions| {
        HttpResponse::Ok()
            .content_type(MEDIA_TYPE)
            .json(list(partitions.len()))
    }))
}

async fn offsets(log: Data<Log>, path: Path<(String, u32)>) -> HttpResponse {
    let (topic, partition) = path.into_inner();
    respond(log.inner().partition(&topic, partition).map(|partition| {
        HttpResponse::Ok().content_type(MEDIA_TYPE).json(json!({
            "beginning_offset": partition.begin(),
            "end_offset": partition.end(),
        }))
    }))
}

async fn produce(
    log: Data<Log>,
    path: Path<(String, u32)>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let (topic, partition) = path.into_inner();
    let (pairs, injection) = match accept(&log, &topic, partition, &request, &body) {
        Ok(accepted) => accepted,
        Err(problem) => return problem.to_response(),
    };
    let count = pairs.len() as u64;
    // The append runs as a task, so that it takes effect even if the client disconnects.
    let effect = {
        let log = log.into_inner();
        async move {
            if !injection.append_delay.is_zero() {
                time::sleep(injection.append_delay).await;
            }
            log.append_pairs(&topic, partition, pairs)
        }
    };
    let first = match rt::spawn(effect).await {
        Ok(Ok(first)) => first,
        Ok(Err(problem)) => return problem.to_response(),
        Err(_) => return Problem::broker_error("append was interrupted").to_response(),
    };
    if !injection.answer_delay.is_zero() {
        time::sleep(injection.answer_delay).await;
    }
    match injection.loss {
        Some(Loss::Close) => match Connection::of(&request).abort().await {},
        Some(Loss::Silent) => std::future::pending().await,
        Some(Loss::Error) => Problem::broker_error("request timed out").to_response(),
        None => produced(partition, first, count),
    }
}

/// Validates an append request and returns its records and the faults to inject.
fn accept(
    log: &Log,
    topic: &str,
    partition: u32,
    request: &HttpRequest,
    body: &[u8],
) -> Result<(Vec<Pair>, Injection), Problem> {
    let media_type = header_text(request, header::CONTENT_TYPE).unwrap_or_default();
    let format = Format::from_media_type(&media_type)
        .ok_or_else(|| Problem::new(415, "HTTP 415 Unsupported Media Type"))?;
    let produce: Produce<'_> = serde_json::from_slice(body).map_err(|error| invalid(&error))?;
    let pairs = produce.decode(format)?;
    let mut inner = log.inner();
    inner.partition(topic, partition)?;
    let zone = header_text(request, "X-Zone");
    Ok((pairs, inner.admit(zone.as_deref())?))
}

fn produced(partition: u32, first: u64, count: u64) -> HttpResponse {
    let entry = |offset| json!({"partition": partition, "offset": offset, "error_code": null, "error": null});
    let offsets: Vec<_> = (first..first + count).map(entry).collect();
    HttpResponse::Ok().content_type(MEDIA_TYPE).json(json!({
        "offsets": offsets,
        "key_schema_id": null,
        "value_schema_id": null,
    }))
}

async fn create(
    log: Data<Log>,
    group: Path<String>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let created = parse::<Request>(&body).and_then(|settings| log.inner().create(&group, settings));
    let host = request.connection_info().host().to_owned();
    respond(created.map(|name| {
        HttpResponse::Ok().content_type(MEDIA_TYPE).json(json!({
            "instance_id": name,
            "base_uri": format!("http://{host}/consumers/{group}/instances/{name}"),
        }))
    }))
}

type Instance = Path<(String, String)>;

async fn delete(log: Data<Log>, path: Instance) -> HttpResponse {
    respond(log.inner().delete(&path.0, &path.1).map(|()| no_content()))
}

async fn assign(log: Data<Log>, path: Instance, body: Bytes) -> HttpResponse {
    respond(parse::<Assignments>(&body).and_then(|assignments| {
        let mut inner = log.inner();
        for assignment in &assignments.partitions {
            inner.partition(&assignment.topic, assignment.partition)?;
        }
        inner
            .consumer(&path.0, &path.1)?
            .assign(assignments.partitions);
        Ok(no_content())
    }))
}

async fn assignments(log: Data<Log>, path: Instance) -> HttpResponse {
    respond(log.inner().consumer(&path.0, &path.1).map(|consumer| {
        let partitions = consumer.positions.keys().cloned().collect();
        HttpResponse::Ok()
            .content_type(MEDIA_TYPE)
            .json(Assignments { partitions })
    }))
}

async fn seek(log: Data<Log>, path: Instance, body: Bytes) -> HttpResponse {
    respond(parse::<Positions>(&body).and_then(|positions| {
        let mut inner = log.inner();
        for position in positions.offsets {
            inner.seek(&path.0, &path.1, position.place, position.offset)?;
        }
        Ok(no_content())
    }))
}

async fn seek_edge(
    log: Data<Log>,
    path: Path<(String, String, String)>,
    body: Bytes,
) -> HttpResponse {
    let (group, name, edge) = path.into_inner();
    let end = match edge.as_str() {
        "beginning" => false,
        "end" => true,
        _ => return Problem::new(404, "HTTP 404 Not Found").to_response(),
    };
    respond(parse::<Assignments>(&body).and_then(|assignments| {
        let mut inner = log.inner();
        for assignment in assignments.partitions {
            let partition = inner.partition(&assignment.topic, assignment.partition)?;
            let offset = if end {
                partition.end()
            } else {
                partition.begin()
            };
            inner.seek(&group, &name, assignment, offset)?;
        }
        Ok(no_content())
    }))
}

/// Limits of a read.
#[derive(Debug)]
#[derive(Deserialize)]
struct Limits {
    timeout: Option<u64>,
    max_bytes: Option<usize>,
}

async fn records(
    log: Data<Log>,
    path: Instance,
    limits: Query<Limits>,
    request: HttpRequest,
) -> HttpResponse {
    let accept = header_text(&request, header::ACCEPT)
        .and_then(|media_type| Format::from_media_type(&media_type));
    let format = match log.inner().check_format(&path.0, &path.1, accept) {
        Ok(format) => format,
        Err(problem) => return problem.to_response(),
    };
    let log = log.into_inner();
    respond(fetch(&log, &path.0, &path.1, &limits).await.map(|peek| {
        HttpResponse::Ok()
            .content_type(format.media_type())
            .body(json_array(&peek.records))
    }))
}

/// Joins encoded records into a JSON array.
fn json_array(records: &[Bytes]) -> Vec<u8> {
    let mut text =
        Vec::with_capacity(records.iter().map(|record| record.len() + 1).sum::<usize>() + 2);
    text.push(b'[');
    text.extend(records.join(&b','));
    text.push(b']');
    text
}

/// Reads and advances the positions once the minimum number of bytes is available, the maximum
/// is reached or the timeout has passed.
async fn fetch(log: &Arc<Log>, group: &str, name: &str, limits: &Limits) -> Result<Peek, Problem> {
    let (min, timeout, linger) = {
        let mut inner = log.inner();
        let linger = inner.linger();
        let consumer = inner.consumer(group, name)?;
        (consumer.min_bytes, consumer.timeout_ms, linger)
    };
    let timeout = Duration::from_millis(limits.timeout.unwrap_or(timeout));
    let deadline = Instant::now() + timeout;
    let max = limits.max_bytes.unwrap_or(usize::MAX);
    let mut appended = log.watch();
    loop {
        appended.borrow_and_update();
        let peek = log.inner().peek(group, name, max)?;
        let enough = min >= 0 && !peek.records.is_empty() && peek.bytes as i64 >= min;
        let remaining = deadline.saturating_duration_since(Instant::now());
        if enough || peek.full || remaining.is_zero() {
            log.inner().advance(group, name, &peek)?;
            return Ok(peek);
        }
        let change = time::timeout(remaining, appended.changed()).await;
        if change.is_ok() && !linger.is_zero() {
            time::sleep(linger.min(remaining)).await;
        }
    }
}

/// Body of the control request that removes the records before an offset.
#[derive(Debug)]
#[derive(Deserialize)]
struct Trim {
    #[serde(flatten)]
    place: Assignment,
    offset: u64,
}

async fn trim(log: Data<Log>, body: web::Json<Trim>) -> HttpResponse {
    log.trim(&body.place.topic, body.place.partition, body.offset);
    no_content()
}
