//! HTTP routes of the engine.

use std::time::Duration;

use actix_web::{
    rt::{
        self,
        time, //
    },
    web::{
        self,
        Data,
        Json,
        Path,
        Query, //
    },
    HttpRequest,
    HttpResponse, //
};
use serde::Deserialize;
use serde_json::json;

use super::{
    chat::completions,
    command::Change,
    refusal::Refusal,
    Engine,
    Foreign, //
};
use crate::now;

/// Header that carries the fencing number of a command.
const FENCING_HEADER: &str = "Fencing-Number";

pub(super) fn configure(app: &mut web::ServiceConfig) {
    app.route("/v1/chat/completions", web::post().to(completions))
        .route("/v1/models", web::get().to(models))
        .route("/load", web::get().to(load))
        .route("/cache_events", web::get().to(events))
        .route("/slots", web::get().to(slots))
        .route("/slots/{id}", web::post().to(erase))
        .route("/v1/load_lora_adapter", web::post().to(load_adapter))
        .route("/v1/unload_lora_adapter", web::post().to(unload_adapter))
        .route("/v1/models/load", web::post().to(load_model))
        .route("/v1/role", web::post().to(set_role))
        .route("/control/foreign", web::post().to(set_foreign));
}

async fn models(engine: Data<Engine>) -> HttpResponse {
    let inner = engine.inner();
    let names = inner.control.models.iter().chain(&inner.control.adapters);
    let entry = |name: &String| json!({"id": name, "object": "model", "owned_by": "standin"});
    let data: Vec<_> = names.map(entry).collect();
    HttpResponse::Ok().json(json!({"object": "list", "data": data}))
}

async fn load(engine: Data<Engine>) -> HttpResponse {
    HttpResponse::Ok().json(engine.load())
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Parameters {
    #[serde(default)]
    since: u64,
}

async fn events(engine: Data<Engine>, query: Query<Parameters>) -> HttpResponse {
    let inner = engine.inner();
    let until = now().saturating_sub(inner.config.events_lag_ms * 1_000);
    let events = inner.cache.events(query.since, until);
    let next = events.last().map_or(query.since, |event| event.seq);
    HttpResponse::Ok().json(json!({"events": events, "next": next}))
}

async fn slots(engine: Data<Engine>) -> HttpResponse {
    let inner = engine.inner();
    let describe = |id: u64, key: &str, tokens: u64, busy: bool| json!({"id": id, "is_processing": busy, "cache_key": key, "tokens": tokens});
    let idle = inner.cache.slots();
    let idle = idle.map(|slot| describe(slot.id, &slot.key, slot.tokens, false));
    let running = inner.running().iter();
    let busy = running.map(|job| describe(job.slot, &job.key, job.reserved_tokens(), true));
    HttpResponse::Ok().json(idle.chain(busy).collect::<Vec<_>>())
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Action {
    action: String,
}

async fn erase(engine: Data<Engine>, id: Path<u64>, query: Query<Action>) -> HttpResponse {
    if query.action != "erase" {
        return Refusal::Action.to_response();
    }
    let id = id.into_inner();
    if engine.inner().running().iter().any(|job| job.slot == id) {
        return Refusal::Busy.to_response();
    }
    match engine.update(|inner| inner.erase(id)) {
        Some(tokens) => HttpResponse::Ok().json(json!({"id_slot": id, "n_erased": tokens})),
        None => Refusal::Slot.to_response(),
    }
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Adapter {
    lora_name: String,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Model {
    model: String,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Role {
    role: String,
}

async fn load_adapter(
    engine: Data<Engine>,
    request: HttpRequest,
    body: Json<Adapter>,
) -> HttpResponse {
    command(
        engine,
        request,
        Change::Adapter(body.into_inner().lora_name),
    )
    .await
}

async fn unload_adapter(
    engine: Data<Engine>,
    request: HttpRequest,
    body: Json<Adapter>,
) -> HttpResponse {
    command(
        engine,
        request,
        Change::NoAdapter(body.into_inner().lora_name),
    )
    .await
}

async fn load_model(engine: Data<Engine>, request: HttpRequest, body: Json<Model>) -> HttpResponse {
    command(engine, request, Change::Model(body.into_inner().model)).await
}

async fn set_role(engine: Data<Engine>, request: HttpRequest, body: Json<Role>) -> HttpResponse {
    command(engine, request, Change::Role(body.into_inner().role)).await
}

/// Executes a command; it takes effect even if the client disconnects.
async fn command(engine: Data<Engine>, request: HttpRequest, change: Change) -> HttpResponse {
    let header = request.headers().get(FENCING_HEADER);
    let fence = header.and_then(|text| text.to_str().ok()?.parse().ok());
    let accepted = engine.update(|inner| inner.control.accept(fence, change.clone()));
    if !accepted {
        let highest = engine.inner().control.highest_fence;
        let message = format!("Fencing number {fence:?} is stale; the highest is {highest:?}.");
        return Refusal::Stale(message).to_response();
    }
    let loads = matches!(change, Change::Model(_) | Change::Adapter(_));
    let done = rt::spawn(async move {
        if loads {
            let delay = engine.inner().load_time();
            time::sleep(delay).await;
        }
        engine.update(|inner| inner.control.apply(change));
    });
    match done.await {
        Ok(()) => HttpResponse::Ok().json(json!({"success": true})),
        Err(_) => Refusal::Interrupted.to_response(),
    }
}

async fn set_foreign(engine: Data<Engine>, body: Json<Foreign>) -> HttpResponse {
    engine.set_foreign(body.into_inner());
    HttpResponse::NoContent().finish()
}

impl super::state::Inner {
    /// Returns the time to load a model or an adapter, in real time.
    fn load_time(&self) -> Duration {
        let micros = self.config.model_load_us as f64 / self.config.speed.max(f64::MIN_POSITIVE);
        Duration::from_secs_f64(micros / 1e6)
    }
}
