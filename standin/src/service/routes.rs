//! HTTP routes of the service.

use std::{
    convert::Infallible,
    future,
    sync::Arc, //
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
        Data, //
    },
    HttpRequest,
    HttpResponse, //
};
use futures_util::{
    stream,
    StreamExt, //
};
use serde_json::{
    json,
    Value, //
};

use super::{
    answer,
    Call,
    Kind,
    Service, //
};
use crate::{
    now,
    server::Connection, //
};

pub(super) fn configure(app: &mut web::ServiceConfig) {
    app.route("/load", web::get().to(load))
        .route("/{path:.*}", web::post().to(call));
}

async fn load(service: Data<Service>) -> HttpResponse {
    HttpResponse::Ok().json(service.load())
}

async fn call(service: Data<Service>, request: HttpRequest, body: Bytes) -> HttpResponse {
    let Ok(body) = serde_json::from_slice::<Value>(&body) else {
        return HttpResponse::BadRequest().json(json!({"error": "the body is not JSON"}));
    };
    let path = request.path().to_owned();
    let key = request.headers().get("Idempotency-Key");
    let key = key.and_then(|key| key.to_str().ok()).map(str::to_owned);
    let response_body = answer(&path, key.as_deref(), &body);
    let task = service.receive(path, key, body);
    let fault = task.fault;
    // The call runs as a task, so that it takes effect even if the client disconnects.
    let run = rt::spawn(service.into_inner().execute(task));
    if run.await.is_err() {
        return HttpResponse::InternalServerError().finish();
    }
    let connection = Connection::of(&request);
    match fault {
        Some(Kind::Hang | Kind::HangAfter) => future::pending().await,
        Some(Kind::BreakBefore | Kind::BreakAfter) => match connection.abort().await {},
        Some(Kind::BreakAnswer) => truncated(&response_body, connection),
        Some(Kind::Unavailable(seconds)) => HttpResponse::ServiceUnavailable()
            .insert_header((header::RETRY_AFTER, seconds))
            .json(json!({"error": "unavailable"})),
        Some(Kind::Error | Kind::ErrorAfter) => {
            HttpResponse::InternalServerError().json(json!({"error": "internal error"}))
        }
        Some(Kind::Slow(_) | Kind::Silent) | None => HttpResponse::Ok().json(response_body),
    }
}

/// Returns a response that sends the first half of the body and closes the connection.
fn truncated(response_body: &Value, connection: Arc<Connection>) -> HttpResponse {
    let text = response_body.to_string();
    let half = Bytes::copy_from_slice(&text.as_bytes()[..text.len() / 2]);
    let rest = stream::once(async move {
        // Gives the first half time to be sent before the connection is closed.
        time::sleep(std::time::Duration::from_millis(5)).await;
        match connection.abort().await {}
    });
    let parts = stream::once(future::ready(Ok::<_, Infallible>(half))).chain(rest);
    HttpResponse::Ok()
        .content_type("application/json")
        .no_chunking(text.len() as u64)
        .streaming(parts)
}

/// A received call that has yet to run.
struct Task {
    path: String,
    call: Option<usize>,
    fault: Option<Kind>,
}

impl Service {
    /// Records a received call and picks its fault.
    fn receive(&self, path: String, key: Option<String>, body: Value) -> Task {
        let mut inner = self.inner();
        inner.stats.received += 1;
        inner.stats.leaving.receive();
        let fault = inner.fault(&path).map(|fault| fault.kind);
        let room = inner.stats.calls.len() < inner.config.calls_kept;
        let call = room.then_some(inner.stats.calls.len());
        if room {
            inner.stats.calls.push(Call {
                path: path.clone(),
                key,
                body,
                at: now(),
                fault,
                effect: false,
                answered: false,
            });
        }
        Task { path, call, fault }
    }

    /// Runs a call and records its effect.
    async fn execute(self: Arc<Self>, task: Task) {
        if task.fault == Some(Kind::Silent) {
            let _ = self.fault_changes.subscribe().changed().await;
        }
        self.adjust_load(0, 1);
        let permit = self.workers.acquire().await;
        self.adjust_load(1, -1);
        let factor = match task.fault {
            Some(Kind::Slow(factor)) => factor.max(0.0),
            _ => 1.0,
        };
        let latency = self.inner().latency(&task.path).mul_f64(factor);
        if !latency.is_zero() {
            time::sleep(latency).await;
        }
        drop(permit);
        self.adjust_load(-1, 0);
        self.record_result(&task);
    }

    fn adjust_load(&self, running: i32, waiting: i32) {
        let mut inner = self.inner();
        inner.running = inner.running.saturating_add_signed(running);
        inner.waiting = inner.waiting.saturating_add_signed(waiting);
        inner.record_load();
    }

    fn record_result(&self, task: &Task) {
        let effect = task.fault.is_none_or(Kind::has_effect);
        let answered = matches!(task.fault, None | Some(Kind::Slow(_) | Kind::Silent));
        let mut inner = self.inner();
        inner.stats.effects += u64::from(effect);
        inner.stats.answered += u64::from(answered);
        if let Some(call) = task.call.and_then(|call| inner.stats.calls.get_mut(call)) {
            call.effect = effect;
            call.answered = answered;
        }
    }
}
