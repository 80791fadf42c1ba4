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
        Finish,
        Job,
        Piece, //
    },
    faults::Fate,
    prompt::{
        chain,
        Request, //
    },
    refusal::Refusal,
    sse::Writer,
    Config,
    Engine, //
};
use crate::{
    now,
    server::Link, //
};

/// Number in the identifier of the next answer.
static NEXT: AtomicU64 = AtomicU64::new(0);

pub(super) async fn completions(
    engine: Data<Engine>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let call: Request = match serde_json::from_slice(&body) {
        Ok(call) => call,
        Err(problem) => return Refusal::Invalid(problem.to_string()).answer(),
    };
    let writer = Writer::new(
        format!("chatcmpl-{}", NEXT.fetch_add(1, Ordering::Relaxed)),
        call.model.clone(),
        now() / 1_000_000,
        call.stream_options.unwrap_or_default().include_usage,
    );
    let link = Link::of(&request);
    match submit(&engine, &call) {
        Ok(pieces) if call.stream => streamed(writer, pieces, link),
        Ok(pieces) => whole(writer, pieces, link).await,
        Err(refusal) => refusal.answer(),
    }
}

/// Queues a call and returns the events of its answer, or the refusal.
fn submit(engine: &Engine, call: &Request) -> Result<UnboundedReceiver<Piece>, Refusal> {
    let (client, pieces) = mpsc::unbounded_channel();
    let marks = chain(&call.messages);
    engine.change(|inner| {
        inner.receive();
        let fate = inner.faults.fate();
        if fate.refuse || inner.is_full() {
            inner.refuse();
            return Err(Refusal::Overloaded(inner.faults.retry_after));
        }
        if !inner.control.serves(&call.model) {
            return Err(Refusal::Model(call.model.clone()));
        }
        let hash = marks.last().map_or(0, |mark| mark.hash);
        let answer = Answer::of(hash);
        let (length, finish) = length(&inner.config, call, answer);
        let job = Job {
            call: None,
            cost: 0,
            slot: 0,
            key: key(call, marks.first().map_or(0, |mark| mark.hash)),
            chain: marks,
            answer,
            length,
            finish,
            cached: 0,
            missing: 0,
            generated: 0,
            fate: Fate {
                refuse: false,
                ..fate
            },
            client,
        };
        if job.need() > inner.config.cache_tokens {
            return Err(Refusal::Context(inner.config.cache_tokens));
        }
        inner.enqueue(job);
        Ok(())
    })?;
    Ok(pieces)
}

/// Returns the cache key of a call. Without an explicit key, engines recognise a conversation
/// by its first message.
fn key(call: &Request, first: u64) -> String {
    let by_text = || format!("unnamed/{first:016x}");
    call.prompt_cache_key.clone().unwrap_or_else(by_text)
}

/// Returns the number of tokens to generate and the reason why the answer ends there.
fn length(config: &Config, call: &Request, answer: Answer) -> (u32, Finish) {
    let limit = call.max_completion_tokens.or(call.max_tokens);
    let limit = limit.unwrap_or(config.default_tokens).max(1);
    match config.answer_tokens.map(|bounds| answer.length(bounds)) {
        Some(own) if own <= limit => (own, Finish::Stop),
        _ => (limit, Finish::Length),
    }
}

fn streamed(writer: Writer, pieces: UnboundedReceiver<Piece>, link: Arc<Link>) -> HttpResponse {
    let parts = stream::unfold(Some((pieces, writer, link, true)), |state| async {
        let (mut pieces, writer, link, first) = state?;
        let (part, more) = match pieces.recv().await? {
            Piece::Token(text) => (writer.token(&text, first), true),
            Piece::Done(usage, finish) => (writer.done(usage, finish), false),
            Piece::Break => match link.abort().await {},
        };
        let rest = more.then_some((pieces, writer, link, false));
        Some((Ok::<_, Infallible>(part), rest))
    });
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .insert_header((header::CACHE_CONTROL, "no-cache"))
        .streaming(parts)
}

async fn whole(
    writer: Writer,
    mut pieces: UnboundedReceiver<Piece>,
    link: Arc<Link>,
) -> HttpResponse {
    let mut text = String::new();
    loop {
        match pieces.recv().await {
            Some(Piece::Token(token)) => text.push_str(&token),
            Some(Piece::Done(usage, finish)) => {
                return HttpResponse::Ok().json(writer.whole(&text, usage, finish));
            }
            Some(Piece::Break) | None => match link.abort().await {},
        }
    }
}
