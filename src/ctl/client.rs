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
    SERVER_VARIABLE, //
};

/// Largest accepted response body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Maximum bytes of an unexpected response body that an error message quotes.
const MAX_EXCERPT_BYTES: usize = 80;

/// Client of the instances of one deployment.
pub struct Client {
    http: awc::Client,
    servers: Vec<String>,
    timeout: Duration,
}

/// Successful response of a server.
#[derive(Debug)]
pub struct Response<T> {
    /// Address of the server.
    pub server: String,
    /// Body as it was received.
    pub value: Value,
    /// Body parsed as the expected type.
    pub content: T,
}

/// Reason why a server sent no complete response.
enum Error {
    /// The server did not receive the request.
    NotSent(String),
    /// The server may have received the request.
    Unknown(String),
}

impl Error {
    fn message(&self) -> &str {
        match self {
            Self::NotSent(text) | Self::Unknown(text) => text,
        }
    }
}

fn parse_address(text: &str) -> Result<String, Failure> {
    let address = text.strip_prefix("http://").unwrap_or(text);
    let address = address.trim_end_matches('/');
    let port = address
        .rsplit_once(':')
        .filter(|(host, _)| !host.is_empty())
        .and_then(|(_, port)| port.parse::<u16>().ok());
    let is_invalid = |c: char| c.is_whitespace() || c.is_control() || "/?#@".contains(c);
    if port.is_some_and(|port| port > 0) && !address.contains(is_invalid) {
        return Ok(address.to_owned());
    }
    Err(Failure::Usage(format!(
        "server {text:?} must be an address and a port such as 10.0.0.5:8080"
    )))
}

impl Client {
    /// Creates a client of the servers given.
    pub fn new(addresses: Vec<String>, timeout: Span) -> Result<Self, Failure> {
        let servers: Vec<_> = addresses
            .iter()
            .map(|text| parse_address(text))
            .collect::<Result<_, _>>()?;
        if servers.is_empty() {
            let message =
                format!("no server is given; use --server ADDRESS or set {SERVER_VARIABLE}");
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
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<Response<T>, Failure> {
        let mut errors = Vec::new();
        for server in &self.servers {
            match self.get_from(server, path).await {
                Err(Failure::Unreachable(text)) => errors.push(text),
                response => return response,
            }
        }
        Err(Failure::Unreachable(errors.join("\n")))
    }

    /// Gets a path from one server.
    pub async fn get_from<T: DeserializeOwned>(
        &self,
        server: &str,
        path: &str,
    ) -> Result<Response<T>, Failure> {
        match self.send(self.request(server, path), None).await {
            Ok((status, body)) => parse(server, path, status, &body),
            Err(error) => Err(unreachable(server, &error)),
        }
    }

    /// Gets a path from every known server concurrently.
    pub async fn get_all<T: DeserializeOwned>(
        &self,
        path: &str,
    ) -> Vec<(String, Result<Response<T>, Failure>)> {
        let servers = self.discover().await;
        let one = |server: String| async move {
            let response = self.get_from(&server, path).await;
            (server, response)
        };
        future::join_all(servers.into_iter().map(one)).await
    }

    /// Gets a path from every server given concurrently.
    pub async fn get_each<T: DeserializeOwned>(
        &self,
        path: &str,
    ) -> Vec<(&str, Result<Response<T>, Failure>)> {
        let one = |server| async move {
            let response = self.get_from(server, path).await;
            (server, response)
        };
        future::join_all(self.servers.iter().map(String::as_str).map(one)).await
    }

    /// Returns the servers given and those in the list of instances.
    ///
    /// The list of instances has addresses of peer ports only, so the callers' port of the server
    /// that sent the list is assumed for all instances.
    async fn discover(&self) -> Vec<String> {
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
            let address = format!("{host}:{port}");
            if !host.is_empty() && seen.insert(address.clone()) {
                servers.push(address);
            }
        }
        servers
    }

    /// Puts a contract and returns its version.
    ///
    /// The expected version makes the request idempotent, so the next server is also tried after a
    /// response was lost.
    pub async fn put(
        &self,
        contract: &Raw,
        expected: Version,
    ) -> Result<Response<Version>, Failure> {
        let path = format!("/v1/contracts/{}", contract.customer);
        let mut errors = Vec::new();
        let mut possibly_sent = false;
        let mut undecided = None;
        for server in &self.servers {
            let request = self.http.put(format!("http://{server}{path}"));
            let request = match expected {
                0 => request.insert_header((header::IF_NONE_MATCH, "*")),
                _ => request.insert_header((header::IF_MATCH, format!("\"{expected}\""))),
            };
            match self.send(request, Some(contract)).await {
                Ok((status, body)) => match parse_version(server, &path, status, &body) {
                    // The log may have accepted the record; another server can determine it.
                    Err(Failure::Refused { server, problem }) if problem.ran == Ran::Unknown => {
                        undecided = Some(Failure::Refused { server, problem });
                    }
                    result => return result,
                },
                Err(error) => {
                    possibly_sent |= matches!(error, Error::Unknown(_));
                    errors.push(format!("{server} {}", error.message()));
                }
            }
        }
        if let Some(failure) = undecided {
            return Err(failure);
        }
        if possibly_sent {
            errors.push(
                "it is unknown whether the contract was accepted; repeating the command is safe"
                    .to_owned(),
            );
        }
        Err(Failure::Unreachable(errors.join("\n")))
    }

    async fn send(
        &self,
        request: ClientRequest,
        body: Option<&Raw>,
    ) -> Result<(StatusCode, Bytes), Error> {
        let sent = match body {
            Some(body) => request.send_json(body).await,
            None => request.send().await,
        };
        let seconds = self.timeout.as_secs_f64();
        let mut response = sent.map_err(|error| match error {
            // Despite its name, this is also the error of a connection closed before the response.
            SendRequestError::Connect(ConnectError::Disconnected) => {
                Error::Unknown("closed the connection without a response".to_owned())
            }
            SendRequestError::Url(_) | SendRequestError::Connect(_) => {
                Error::NotSent(format!("can't be reached: {error}"))
            }
            SendRequestError::Timeout => {
                Error::Unknown(format!("sent no response within {seconds} s"))
            }
            error => Error::Unknown(format!("closed the connection without a response: {error}")),
        })?;
        let body = response.body().limit(MAX_BODY_BYTES).await;
        let body =
            body.map_err(|error| Error::Unknown(format!("sent an unreadable body: {error}")));
        Ok((response.status(), body?))
    }
}

fn unreachable(server: &str, error: &Error) -> Failure {
    Failure::Unreachable(format!("{server} {}", error.message()))
}

fn malformed(server: &str, path: &str, status: StatusCode, body: &[u8], cause: &str) -> Failure {
    let excerpt = String::from_utf8_lossy(&body[..body.len().min(MAX_EXCERPT_BYTES)]).into_owned();
    Failure::Failed(format!(
        "{server} sent an unexpected response to {path} ({cause}); check that this is the right \
         port of a gypsumleverd of this version. Status {status}, start of the body: {excerpt:?}"
    ))
}

fn parse<T: DeserializeOwned>(
    server: &str,
    path: &str,
    status: StatusCode,
    body: &[u8],
) -> Result<Response<T>, Failure> {
    let invalid =
        |error: serde_json::Error| malformed(server, path, status, body, &error.to_string());
    if !status.is_success() {
        let problem = serde_json::from_slice(body).map_err(invalid)?;
        return Err(Failure::Refused {
            server: server.to_owned(),
            problem: Box::new(problem),
        });
    }
    Ok(Response {
        server: server.to_owned(),
        value: serde_json::from_slice(body).map_err(invalid)?,
        content: serde_json::from_slice(body).map_err(invalid)?,
    })
}

fn parse_version(
    server: &str,
    path: &str,
    status: StatusCode,
    body: &[u8],
) -> Result<Response<Version>, Failure> {
    let response: Response<Value> = parse(server, path, status, body)?;
    let Some(content) = response.content["version"].as_u64() else {
        return Err(malformed(server, path, status, body, "version is missing"));
    };
    Ok(Response {
        server: response.server,
        value: response.value,
        content,
    })
}
