//! HTTP client of the callers' ports of instances.

use std::time::Duration;

use awc::{
    error::{
        ConnectError,
        SendRequestError, //
    },
    http::{
        header,
        StatusCode, //
    },
    ClientRequest,
    Connector, //
};
use bytes::Bytes;
use futures_util::future;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::{
    api::operate::Instance,
    contract::{
        Raw,
        Version, //
    },
    hash::Set,
    ledger::record::Ran,
};

use super::{
    failure::Failure,
    flags::Span,
    VARIABLE, //
};

/// Largest accepted response body, in bytes.
const MOST_BYTES: usize = 64 << 20;

/// Bytes of an unexpected response body that an error message quotes.
const EXCERPT: usize = 80;

/// Client of the instances of one deployment.
pub struct Client {
    http: awc::Client,
    servers: Vec<String>,
    timeout: Duration,
}

/// Successful response of a server.
#[derive(Debug)]
pub struct Answer<T> {
    /// Address of the server.
    pub server: String,
    /// Body as it was received.
    pub value: Value,
    /// Body parsed as the expected type.
    pub content: T,
}

/// Reason why a server sent no complete response.
enum Missed {
    /// The server did not receive the request.
    NotSent(String),
    /// The server may have received the request.
    Unknown(String),
}

impl Missed {
    fn text(&self) -> &str {
        match self {
            Self::NotSent(text) | Self::Unknown(text) => text,
        }
    }
}

fn address(text: &str) -> Result<String, Failure> {
    let plain = text.strip_prefix("http://").unwrap_or(text);
    let plain = plain.trim_end_matches('/');
    let port = plain
        .rsplit_once(':')
        .filter(|(host, _)| !host.is_empty())
        .and_then(|(_, port)| port.parse::<u16>().ok());
    let strange = |c: char| c.is_whitespace() || c.is_control() || "/?#@".contains(c);
    if port.is_some_and(|port| port > 0) && !plain.contains(strange) {
        return Ok(plain.to_owned());
    }
    Err(Failure::Usage(format!(
        "server {text:?} must be an address and a port such as 10.0.0.5:8080"
    )))
}

impl Client {
    /// Creates a client of the servers given.
    pub fn new(given: Vec<String>, timeout: Span) -> Result<Self, Failure> {
        let servers: Vec<_> = given
            .iter()
            .map(|text| address(text))
            .collect::<Result<_, _>>()?;
        if servers.is_empty() {
            let message = format!("no server is given; use --server ADDRESS or set {VARIABLE}");
            return Err(Failure::Usage(message));
        }
        let connector = Connector::new().timeout(timeout.0);
        let http = awc::Client::builder()
            .connector(connector)
            .timeout(timeout.0)
            .finish();
        Ok(Self {
            http,
            servers,
            timeout: timeout.0,
        })
    }

    /// Returns the addresses given.
    pub fn servers(&self) -> &[String] {
        &self.servers
    }

    /// Returns the maximum time to wait for one response.
    pub fn timeout(&self) -> Duration {
        self.timeout
    }

    fn request(&self, server: &str, path: &str) -> ClientRequest {
        self.http.get(format!("http://{server}{path}"))
    }

    /// Gets a path from the first server that responds.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<Answer<T>, Failure> {
        let mut missed = Vec::new();
        for server in &self.servers {
            match self.get_from(server, path).await {
                Err(Failure::Unreachable(text)) => missed.push(text),
                answer => return answer,
            }
        }
        Err(Failure::Unreachable(missed.join("\n")))
    }

    /// Gets a path from one server.
    pub async fn get_from<T: DeserializeOwned>(
        &self,
        server: &str,
        path: &str,
    ) -> Result<Answer<T>, Failure> {
        match self.answer(self.request(server, path), None).await {
            Ok((status, body)) => read(server, path, status, &body),
            Err(missed) => Err(unreachable(server, &missed)),
        }
    }

    /// Gets a path from every known server concurrently.
    pub async fn get_all<T: DeserializeOwned>(
        &self,
        path: &str,
    ) -> Vec<(String, Result<Answer<T>, Failure>)> {
        let servers = self.known().await;
        let one = |server: String| async move {
            let answer = self.get_from(&server, path).await;
            (server, answer)
        };
        future::join_all(servers.into_iter().map(one)).await
    }

    /// Returns the servers given and those in the list of instances.
    ///
    /// The list of instances has no addresses of callers' ports, so the port of the server that
    /// sent the list is assumed for all instances.
    async fn known(&self) -> Vec<String> {
        let mut servers = self.servers.clone();
        let mut seen: Set<String> = servers.iter().cloned().collect();
        let Ok(list) = self.get::<Vec<Instance>>("/v1/instances").await else {
            return servers;
        };
        let port = list.server.rsplit(':').next().unwrap_or_default();
        let others = list
            .content
            .iter()
            .filter(|row| !row.own && row.status != "gone");
        for row in others {
            let host = row.address.rsplit_once(':').map_or("", |(host, _)| host);
            let learned = format!("{host}:{port}");
            if !host.is_empty() && seen.insert(learned.clone()) {
                servers.push(learned);
            }
        }
        servers
    }

    /// Puts a contract and returns its version.
    ///
    /// The expected version makes the request idempotent, so the next server is also tried after a
    /// response was lost.
    pub async fn put(&self, contract: &Raw, expected: Version) -> Result<Answer<Version>, Failure> {
        let path = format!("/v1/contracts/{}", contract.customer);
        let mut missed = Vec::new();
        let mut sent = false;
        let mut open = None;
        for server in &self.servers {
            let request = self.http.put(format!("http://{server}{path}"));
            let request = match expected {
                0 => request.insert_header((header::IF_NONE_MATCH, "*")),
                _ => request.insert_header((header::IF_MATCH, format!("\"{expected}\""))),
            };
            match self.answer(request, Some(contract)).await {
                Ok((status, body)) => match published(server, &path, status, &body) {
                    // The log may have accepted the record; another server can determine it.
                    Err(Failure::Refused { server, problem }) if problem.ran == Ran::Unknown => {
                        open = Some(Failure::Refused { server, problem });
                    }
                    result => return result,
                },
                Err(reason) => {
                    sent |= matches!(reason, Missed::Unknown(_));
                    missed.push(format!("{server} {}", reason.text()));
                }
            }
        }
        if let Some(refused) = open {
            return Err(refused);
        }
        if sent {
            missed.push(
                "it is unknown whether the contract was accepted; repeating the command is safe"
                    .to_owned(),
            );
        }
        Err(Failure::Unreachable(missed.join("\n")))
    }

    async fn answer(
        &self,
        request: ClientRequest,
        body: Option<&Raw>,
    ) -> Result<(StatusCode, Bytes), Missed> {
        let sent = match body {
            Some(body) => request.send_json(body).await,
            None => request.send().await,
        };
        let seconds = self.timeout.as_secs_f64();
        let mut response = sent.map_err(|error| match error {
            // Despite its name, this is also the error of a connection closed before the response.
            SendRequestError::Connect(ConnectError::Disconnected) => {
                Missed::Unknown("closed the connection without a response".to_owned())
            }
            SendRequestError::Url(_) | SendRequestError::Connect(_) => {
                Missed::NotSent(format!("can't be reached: {error}"))
            }
            SendRequestError::Timeout => {
                Missed::Unknown(format!("sent no response within {seconds} s"))
            }
            error => Missed::Unknown(format!("closed the connection without a response: {error}")),
        })?;
        let body = response.body().limit(MOST_BYTES).await;
        let body =
            body.map_err(|error| Missed::Unknown(format!("sent an unreadable body: {error}")));
        Ok((response.status(), body?))
    }
}

fn unreachable(server: &str, missed: &Missed) -> Failure {
    Failure::Unreachable(format!("{server} {}", missed.text()))
}

fn malformed(server: &str, path: &str, status: StatusCode, body: &[u8], why: &str) -> Failure {
    let start = String::from_utf8_lossy(&body[..body.len().min(EXCERPT)]).into_owned();
    Failure::Failed(format!(
        "{server} sent an unexpected response to {path} ({why}); check that this is the callers' \
         port of a gypsumleverd of this version. Status {status}, start of the body: {start:?}"
    ))
}

fn read<T: DeserializeOwned>(
    server: &str,
    path: &str,
    status: StatusCode,
    body: &[u8],
) -> Result<Answer<T>, Failure> {
    let wrong =
        |error: serde_json::Error| malformed(server, path, status, body, &error.to_string());
    if !status.is_success() {
        let problem = serde_json::from_slice(body).map_err(wrong)?;
        return Err(Failure::Refused {
            server: server.to_owned(),
            problem: Box::new(problem),
        });
    }
    Ok(Answer {
        server: server.to_owned(),
        value: serde_json::from_slice(body).map_err(wrong)?,
        content: serde_json::from_slice(body).map_err(wrong)?,
    })
}

fn published(
    server: &str,
    path: &str,
    status: StatusCode,
    body: &[u8],
) -> Result<Answer<Version>, Failure> {
    let answer: Answer<Value> = read(server, path, status, body)?;
    let Some(content) = answer.content["version"].as_u64() else {
        return Err(malformed(server, path, status, body, "version is missing"));
    };
    Ok(Answer {
        server: answer.server,
        value: answer.value,
        content,
    })
}
