//! HTTP client for the tests of the stand-ins.
#![allow(dead_code)]

use std::{
    net::SocketAddr,
    time::Duration, //
};

use actix_web::rt::time;
use awc::{
    error::{
        ConnectError,
        SendRequestError, //
    },
    http::header::{
        HeaderMap,
        CONTENT_LENGTH,
        CONTENT_TYPE, //
    },
    Client,
};
use serde_json::Value;

/// Outcome of a request as the client sees it.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// Status and body; text that isn't JSON is a string.
    Response(u16, Value),
    /// The connection was refused.
    Refused,
    /// The connection was closed before or within the response.
    Closed,
    /// No complete response arrived before the timeout.
    TimedOut,
}

impl Outcome {
    /// Returns the body of a response; panics unless its status is 200.
    pub fn body(self) -> Value {
        match self {
            Self::Response(200, body) => body,
            other => panic!("expected status 200, not {other:?}"),
        }
    }

    /// Returns the status; panics if there was no response.
    pub fn status(&self) -> u16 {
        match self {
            Self::Response(status, _) => *status,
            other => panic!("expected a response, not {other:?}"),
        }
    }
}

/// An HTTP client with its own connection pool.
pub struct Caller {
    client: Client,
    base: String,
    /// Timeout for a complete response.
    pub timeout: Duration,
}

impl Caller {
    /// Creates a client with a timeout of three seconds.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            client: Client::builder().disable_timeout().finish(),
            base: format!("http://{address}"),
            timeout: Duration::from_secs(3),
        }
    }

    /// Creates a client with a timeout of 150 milliseconds, for stalled responses.
    pub fn with_short_timeout(address: SocketAddr) -> Self {
        Self {
            timeout: Duration::from_millis(150),
            ..Self::new(address)
        }
    }

    /// Creates a client whose timeout is short if no response is expected.
    pub fn for_outcome(address: SocketAddr, expected: &Outcome) -> Self {
        match expected {
            Outcome::TimedOut => Self::with_short_timeout(address),
            _ => Self::new(address),
        }
    }

    /// Sends a GET request.
    pub async fn get(&self, path: &str) -> Outcome {
        self.send("GET", path, &[], Vec::new()).await
    }

    /// Sends a POST request with a JSON body.
    pub async fn post(&self, path: &str, body: Value) -> Outcome {
        let body = body.to_string().into_bytes();
        self.send("POST", path, &[], body).await
    }

    /// Sends a request with headers.
    pub async fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> Outcome {
        let method = method.parse().expect("method");
        let url = format!("{}{path}", self.base);
        let mut request = self.client.request(method, url);
        if !body.is_empty() {
            request = request.content_type("application/json");
        }
        for header in headers {
            request = request.insert_header(*header);
        }
        let exchange = async {
            let mut response = request.send_body(body).await.map_err(classify)?;
            let status = response.status().as_u16();
            let bytes = response.body().await.map_err(|_| Outcome::Closed)?;
            if is_truncated(response.headers(), &bytes) {
                return Err(Outcome::Closed);
            }
            let text = String::from_utf8_lossy(&bytes).into_owned();
            let body = serde_json::from_str(&text).unwrap_or(Value::String(text));
            Ok(Outcome::Response(status, body))
        };
        match time::timeout(self.timeout, exchange).await {
            Ok(Ok(outcome) | Err(outcome)) => outcome,
            Err(_) => Outcome::TimedOut,
        }
    }
}

/// Returns whether a response is truncated. The HTTP client reports a connection that was
/// closed within a body as the end of the body.
fn is_truncated(headers: &HeaderMap, body: &[u8]) -> bool {
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let length = text(CONTENT_LENGTH).and_then(|length| length.parse().ok());
    let stream = text(CONTENT_TYPE) == Some("text/event-stream");
    length.is_some_and(|length: usize| length != body.len())
        || (stream && !body.ends_with(b"data: [DONE]\n\n"))
}

/// Maps a client error to an outcome. The client also reports a connection that was
/// established and then closed as a connect error.
fn classify(error: SendRequestError) -> Outcome {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => Outcome::Closed,
        SendRequestError::Connect(_) => Outcome::Refused,
        _ => Outcome::Closed,
    }
}

/// Waits until `done` returns true; panics after three seconds.
pub async fn wait_until(mut done: impl FnMut() -> bool) {
    for _ in 0..600 {
        if done() {
            return;
        }
        time::sleep(Duration::from_millis(5)).await;
    }
    panic!("condition not met within three seconds");
}
