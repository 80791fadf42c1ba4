//! Handler for chat completions.

use std::{
    convert::Infallible,
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Arc,
    },
};

use actix_web::{
    http::header,
    web::{
        Bytes,
        Data, //
    },
    HttpRequest,
    HttpResponse, //
};
use futures_util::stream;
use tokio::sync::mpsc::{
    self,
    UnboundedReceiver, //
};

use super::{
    answer::Answer,
    batch::{
        Event,
        Finish,
        Job, //
    },
    faults::Injection,
    prompt::{
        prefixes,
        Request, //
    },
    refusal::Refusal,
    sse::Writer,
    Config,
    Engine, //
};
use crate::{
    now,
    server::Connection, //
};

/// Number in the identifier of the next answer.
static NEXT_ID: AtomicU64 = AtomicU64::new(0);

pub(super) async fn completions(
    engine: Data<Engine>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let call: Request = match serde_json::from_slice(&body) {
        Ok(call) => call,
        Err(problem) => return Refusal::Invalid(problem.to_string()).to_response(),
    };
    let writer = Writer::new(
        format!("chatcmpl-{}", NEXT_ID.fetch_add(1, Ordering::Relaxed)),
        call.model.clone(),
        now() / 1_000_000,
        call.stream_options.unwrap_or_default().include_usage,
    );
    let connection = Connection::of(&request);
    match submit(&engine, &call) {
        Ok(events) if call.stream => streamed(writer, events, connection),
        Ok(events) => complete(writer, events, connection).await,
        Err(refusal) => refusal.to_response(),
    }
}

/// Queues a call and returns the events of its answer, or the refusal.
fn submit(engine: &Engine, call: &Request) -> Result<UnboundedReceiver<Event>, Refusal> {
    let (client, events) = mpsc::unbounded_channel();
    let prefixes = prefixes(&call.messages);
    engine.update(|inner| {
        inner.receive();
        let injection = inner.faults.inject();
        if injection.refuse || inner.is_full() {
            inner.refuse();
            return Err(Refusal::Overloaded(inner.faults.retry_after));
        }
        if !inner.control.serves(&call.model) {
            return Err(Refusal::Model(call.model.clone()));
        }
        let hash = prefixes.last().map_or(0, |prefix| prefix.hash);
        let answer = Answer::from_hash(hash);
        let (length, finish) = length(&inner.config, call, answer);
        let job = Job {
            call: None,
            cost: 0,
            slot: 0,
            key: cache_key(call, prefixes.first().map_or(0, |prefix| prefix.hash)),
            prefixes,
            answer,
            length,
            finish,
            cached: 0,
            uncomputed: 0,
            generated: 0,
            injection: Injection {
                refuse: false,
                ..injection
            },
            client,
        };
        if job.reserved_tokens() > inner.config.cache_tokens {
            return Err(Refusal::Context(inner.config.cache_tokens));
        }
        inner.enqueue(job);
        Ok(())
    })?;
    Ok(events)
}

/// Returns the cache key of a call. Without an explicit key, engines recognise a conversation
/// by its first message.
fn cache_key(call: &Request, first: u64) -> String {
    let by_text = || format!("unnamed/{first:016x}");
    call.prompt_cache_key.clone().unwrap_or_else(by_text)
}

/// Returns the number of tokens to generate and the reason why the answer ends there.
fn length(config: &Config, call: &Request, answer: Answer) -> (u32, Finish) {
    let limit = call.max_completion_tokens.or(call.max_tokens);
    let limit = limit.unwrap_or(config.default_tokens).max(1);
    match config.answer_tokens.map(|bounds| answer.length(bounds)) {
        Some(length) if length <= limit => (length, Finish::Stop),
        _ => (limit, Finish::Length),
    }
}

fn streamed(
    writer: Writer,
    events: UnboundedReceiver<Event>,
    connection: Arc<Connection>,
) -> HttpResponse {
    let parts = stream::unfold(Some((events, writer, connection, true)), |state| async {
        let (mut events, writer, connection, first) = state?;
        let (part, more) = match events.recv().await? {
            Event::Token(text) => (writer.token(&text, first), true),
            Event::Done(usage, finish) => (writer.done(usage, finish), false),
            Event::Break => match connection.abort().await {},
        };
        let rest = more.then_some((events, writer, connection, false));
        Some((Ok::<_, Infallible>(part), rest))
    });
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .insert_header((header::CACHE_CONTROL, "no-cache"))
        .streaming(parts)
}

async fn complete(
    writer: Writer,
    mut events: UnboundedReceiver<Event>,
    connection: Arc<Connection>,
) -> HttpResponse {
    let mut text = String::new();
    loop {
        match events.recv().await {
            Some(Event::Token(token)) => text.push_str(&token),
            Some(Event::Done(usage, finish)) => {
                return HttpResponse::Ok().json(writer.complete(&text, usage, finish));
            }
            Some(Event::Break) | None => match connection.abort().await {},
        }
    }
}
