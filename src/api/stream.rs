//! Answers to calls, complete or as a stream of server-sent events.

use std::{
    convert::Infallible,
    time::Duration, //
};

use actix_web::{
    http::header,
    web::{
        self,
        Bytes, //
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
    executor::{
        request::{
            Answer,
            Event,
            Reason,
            Refusal,
            Request, //
        },
        EVENT_CAPACITY, //
    },
    ledger::record::Ran,
};

use super::{
    problem::Problem,
    App, //
};

/// Idle time after which a comment is sent, so that the connection does not appear dead.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(10);

/// Response to a call that ran.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Response {
    /// Identifier of the request.
    pub request: String,
    /// Whether the call ran; always `yes`.
    pub ran: Ran,
    /// The answer.
    #[serde(flatten)]
    pub answer: crate::executor::request::Answer,
}

/// Runs a call and responds with an event stream or with the complete answer.
///
/// The events start at byte `from` of the answer's text.
pub(super) async fn run(
    app: web::Data<App>,
    request: Request,
    from: u64,
    http: &HttpRequest,
) -> HttpResponse {
    let (sink, events) = mpsc::channel(EVENT_CAPACITY);
    let id = request.id.clone();
    let gateway = app.gateway.clone();
    // Runs as a separate task so that it continues if the caller disconnects.
    actix_web::rt::spawn(async move { gateway.run(request, from, sink).await });
    if accepts_event_stream(http) {
        return event_stream(app, id, events);
    }
    complete_answer(&app, &id, events).await
}

pub(super) fn accepts_event_stream(http: &HttpRequest) -> bool {
    let accept = http.headers().get(header::ACCEPT);
    let accept = accept.and_then(|value| value.to_str().ok());
    accept.is_some_and(|value| value.contains("text/event-stream"))
}

pub(super) async fn complete_answer(
    app: &App,
    id: &str,
    mut events: mpsc::Receiver<Event>,
) -> HttpResponse {
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
            Event::Refusal(refusal) => return app.respond(id, &refusal),
        }
    }
    app.respond(id, &interrupted())
}

fn interrupted() -> Refusal {
    Refusal {
        reason: Reason::OutcomeUnknown,
        ran: Ran::Unknown,
        retry_after_ms: Some(1_000),
        detail: "the call was interrupted; fetch its answer by turn".into(),
    }
}

/// Formats an event as a server-sent event; records a refusal for operators.
fn format_event(app: &App, id: &str, event: &Event) -> Bytes {
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
            let problem = Problem::new(id, refusal);
            app.refusals.add(problem.clone());
            let data = serde_json::to_string(&problem).unwrap_or_default();
            format!("event: refusal\ndata: {data}\n\n")
        }
    };
    Bytes::from(text)
}

pub(super) fn event_stream(
    app: web::Data<App>,
    id: String,
    events: mpsc::Receiver<Event>,
) -> HttpResponse {
    let state = (app, id, Some(events));
    let body = stream::unfold(state, |(app, id, events)| async move {
        let mut events = events?;
        let next = tokio::time::timeout(KEEP_ALIVE_INTERVAL, events.recv()).await;
        let event = match next {
            Err(_) => {
                let comment = Bytes::from_static(b": keep-alive\n\n");
                return Some((Ok::<_, Infallible>(comment), (app, id, Some(events))));
            }
            Ok(event) => event.unwrap_or_else(|| Event::Refusal(interrupted())),
        };
        let bytes = format_event(&app, &id, &event);
        let remaining = matches!(event, Event::Text { .. }).then_some(events);
        Some((Ok(bytes), (app, id, remaining)))
    });
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .insert_header((header::CACHE_CONTROL, "no-cache"))
        .streaming(body)
}

/// Sends a complete answer to `sink`, with its text from byte `from` on as a separate event.
pub(super) fn send_answer(sink: &mpsc::Sender<Event>, answer: Answer, from: u64) {
    let text = answer.content.get(from as usize..).unwrap_or_default();
    let text_event = (!text.is_empty()).then(|| Event::Text {
        offset: from,
        text: text.to_owned(),
    });
    for event in text_event.into_iter().chain([Event::Answer(answer)]) {
        // The channel has room for both events.
        let _ = sink.try_send(event);
    }
}
