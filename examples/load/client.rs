//! HTTP client for the load.

use std::time::{
    Duration,
    Instant, //
};

use awc::{
    error::{
        PayloadError,
        SendRequestError, //
    },
    ClientResponse,
    Connector, //
};
use bytes::Bytes;
use futures_util::{
    Stream,
    StreamExt as _, //
};
use serde_json::{
    json,
    Value, //
};

use crate::deploy::MODELS;

/// Creates a client without a limit of connections.
pub fn create() -> awc::Client {
    awc::Client::builder()
        .connector(Connector::new().limit(0).timeout(Duration::from_secs(10)))
        .timeout(Duration::from_secs(600))
        .finish()
}

/// Returns status and body of a response; status 0 means that no complete response arrived.
pub async fn read_response<S>(result: Result<ClientResponse<S>, SendRequestError>) -> (u16, Value)
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let Ok(mut response) = result else {
        return (0, Value::Null);
    };
    let status = response.status().as_u16();
    match response.body().limit(64 << 20).await {
        Ok(body) => (status, serde_json::from_slice(&body).unwrap_or(Value::Null)),
        Err(_) => (0, Value::Null),
    }
}

/// Result of a streamed call.
pub struct Streamed {
    /// Time to the first token, if one arrived.
    pub first: Option<Duration>,
    /// Status; 0 without a complete response.
    pub status: u16,
    /// Text that was received.
    pub text: String,
}

/// Makes a streamed call; the first token has arrived when the text received contains `token`.
pub async fn stream(request: awc::ClientRequest, body: &Value, token: &str) -> Streamed {
    let start = Instant::now();
    let mut result = Streamed {
        first: None,
        status: 0,
        text: String::new(),
    };
    let Ok(mut response) = request
        .insert_header(("Accept", "text/event-stream"))
        .send_json(body)
        .await
    else {
        return result;
    };
    while let Some(chunk) = response.next().await {
        let Ok(chunk) = chunk else {
            return result;
        };
        result.text.push_str(&String::from_utf8_lossy(&chunk));
        if result.first.is_none() && result.text.contains(token) {
            result.first = Some(start.elapsed());
        }
    }
    result.status = response.status().as_u16();
    result
}

/// Returns the request body of a model call through a daemon.
pub fn model_call(messages: &Value, tokens: u64) -> Value {
    json!({ "type": "model", "pool": MODELS, "messages": messages, "max_tokens": tokens })
}

/// Returns the reason of a refusal from a response body or the last event of a stream.
pub fn refusal_reason(text: &str) -> String {
    let begin = text.find("\"reason\":\"").map(|at| at + 10);
    let rest = begin.and_then(|at| text.get(at..)).unwrap_or("no_answer\"");
    rest.split('"').next().unwrap_or_default().to_owned()
}
