//! Bodies of the platform, as they stand on the wire.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use serde::Deserialize;
use thiserror::Error;

use crate::gateway::{
    registry,
    route::{
        Engine,
        Kind,
        Limits,
        Route,
        Service,
        Share,
        Table, //
    },
};

/// Reason why a body of the platform is not used.
#[derive(Debug)]
#[derive(Error)]
pub enum Invalid {
    /// The body is not JSON, or a field is missing or has another type.
    #[error("the body can't be read: {0}")]
    Body(#[from] serde_json::Error),
    /// A value is outside its range.
    #[error("{0}")]
    Value(String),
}

/// Record `config` of the operator.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Config {
    version: u64,
    routes: Vec<RawRoute>,
    services: Vec<RawService>,
    limits: RawLimits,
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawRoute {
    name: Arc<str>,
    host: Arc<str>,
    path_prefix: Arc<str>,
    kind: String,
    timeout_ms: f64,
    #[serde(default)]
    target_latency_ms: f64,
    #[serde(default)]
    priority: u8,
    #[serde(default)]
    service: Option<Arc<str>>,
    #[serde(default)]
    split: Vec<RawShare>,
    #[serde(default = "one")]
    max_attempts: u32,
    #[serde(default)]
    resumable: bool,
}

fn one() -> u32 {
    1
}

#[derive(Debug)]
#[derive(Deserialize)]
struct RawShare {
    service: Arc<str>,
    weight: f64,
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawService {
    name: Arc<str>,
    /// Connections that one server of the service accepts from all callers together.
    #[serde(default)]
    max_conns: Option<u32>,
    #[serde(default)]
    engine: Option<RawEngine>,
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawEngine {
    #[serde(default)]
    tokens_per_event: Option<u32>,
    #[serde(default)]
    kv_capacity: Option<u64>,
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawLimits {
    max_body_bytes: usize,
}

fn milliseconds(field: &str, value: f64) -> Result<Duration, Invalid> {
    Duration::try_from_secs_f64(value / 1_000.0)
        .map_err(|_| Invalid::Value(format!("{field} is {value}, which is not a time")))
}

impl TryFrom<RawRoute> for Route {
    type Error = Invalid;

    fn try_from(raw: RawRoute) -> Result<Self, Invalid> {
        let mut shares: Vec<_> = raw
            .split
            .into_iter()
            .map(|share| Share {
                service: share.service,
                weight: share.weight,
            })
            .collect();
        if let Some(service) = raw.service.filter(|_| shares.is_empty()) {
            shares.push(Share {
                service,
                weight: 1.0,
            });
        }
        if shares.is_empty() {
            let text = format!("route {} names no service", raw.name);
            return Err(Invalid::Value(text));
        }
        Ok(Self {
            timeout: milliseconds("timeoutMs", raw.timeout_ms)?,
            target: milliseconds("targetLatencyMs", raw.target_latency_ms)?,
            name: raw.name,
            host: raw.host,
            prefix: raw.path_prefix,
            kind: match raw.kind.as_str() {
                "safe" => Kind::Idempotent,
                "streaming" => Kind::Streaming {
                    resumable: raw.resumable,
                },
                // Whatever isn't known to be repeatable is sent once.
                _ => Kind::Once,
            },
            priority: raw.priority,
            shares,
            attempts: raw.max_attempts.max(1),
        })
    }
}

impl TryFrom<&[u8]> for Table {
    type Error = Invalid;

    fn try_from(body: &[u8]) -> Result<Self, Invalid> {
        let raw: Config = serde_json::from_slice(body)?;
        let routes: Result<Vec<_>, _> = raw.routes.into_iter().map(Route::try_from).collect();
        let services = raw.services.into_iter().map(|service| Service {
            name: service.name,
            connections: service.max_conns,
            engine: service.engine.map(|engine| Engine {
                tokens_per_event: engine.tokens_per_event.unwrap_or(1).max(1),
                cache_tokens: engine.kv_capacity.unwrap_or(0),
            }),
        });
        let limits = Limits {
            body: raw.limits.max_body_bytes,
        };
        Ok(Self::new(raw.version, routes?, services, limits))
    }
}

/// Record of a server about itself.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Beat {
    service: Arc<str>,
    address: SocketAddr,
    zone: Arc<str>,
    slots: u32,
    state: State,
    /// Number of this report since the start of the server.
    sequence: u64,
    /// Unix time of the start in milliseconds; some servers do not give it.
    #[serde(default)]
    born: u64,
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
enum State {
    Ready,
    Draining,
}

/// Decodes what a server says of itself.
pub fn server(id: &str, body: &[u8]) -> Result<registry::Server, Invalid> {
    let beat: Beat = serde_json::from_slice(body)?;
    Ok(registry::Server {
        id: id.into(),
        service: beat.service,
        address: beat.address,
        zone: beat.zone,
        slots: beat.slots.max(1),
        draining: matches!(beat.state, State::Draining),
        started: beat.born,
        report: beat.sequence,
    })
}

/// Page of the newest record of each key of a topic.
#[derive(Debug)]
#[derive(Deserialize)]
pub struct Newest {
    /// The records of this page.
    pub items: Vec<Item>,
    /// Whether there are more keys after the last one.
    pub more: bool,
    /// Offset that the next record of the topic will get.
    pub end: u64,
}

/// Newest record of a key.
#[derive(Debug)]
#[derive(Deserialize)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value in base64.
    pub value: String,
}

/// Answer to an append.
#[derive(Debug)]
#[derive(Deserialize)]
pub struct Appended {
    /// Offset of the first record.
    pub offset: u64,
}

/// Answer to a read of records that have expired.
#[derive(Debug)]
#[derive(Deserialize)]
pub struct Expired {
    /// Offset of the oldest record that is still kept.
    pub first: u64,
}
