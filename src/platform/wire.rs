//! JSON bodies of the platform.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::value::RawValue;
use thiserror::Error;

use crate::{
    clock::Time,
    gateway::{
        cache::DEFAULT_CAPACITY,
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
        tenant::{
            key::Key,
            Directory,
            Quota,
            Tenant, //
        },
    },
};

/// Reason why a body of the platform is rejected.
#[derive(Debug)]
#[derive(Error)]
pub enum Invalid {
    /// The body is not JSON, or a field is missing or has another type.
    #[error("body can't be decoded: {0}")]
    Body(#[from] serde_json::Error),
    /// The configuration is not valid. The text has no content of it, which may be a key of a tenant.
    #[error("configuration can't be decoded: {0:?} error at line {1}, column {2}")]
    Configuration(serde_json::error::Category, usize, usize),
    /// A value is outside its range.
    #[error("{0}")]
    Value(String),
}

/// Value of the operator's key `config`.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Config {
    version: u64,
    routes: Vec<RawRoute>,
    services: Vec<RawService>,
    limits: RawLimits,
    /// Absent if requests need no key.
    #[serde(default)]
    tenants: Option<Vec<RawTenant>>,
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawRoute {
    name: Arc<str>,
    host: Arc<str>,
    path_prefix: Arc<str>,
    /// `safe` for requests that may be repeated, `streaming`, or another value.
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
    /// Whether servers work faster on requests with an affinity key that they handled recently.
    #[serde(default)]
    sticky: bool,
    /// Whether requests need no key.
    #[serde(default)]
    public: bool,
    /// Whether callers send only the new input of a turn.
    #[serde(default)]
    retain: bool,
    #[serde(default)]
    retention_s: f64,
}

/// A tenant. `Debug` is not derived, as it would print keys.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawTenant {
    name: Arc<str>,
    #[serde(default)]
    api_keys: Vec<String>,
    #[serde(default)]
    priority: Option<u8>,
    /// Requests per second; 0 if there is no limit.
    #[serde(default)]
    rate_per_s: f64,
    #[serde(default)]
    burst: f64,
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
    /// Maximum connections that one server of the service accepts from all callers together.
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
    /// Tokens that the key-value cache of one engine holds.
    #[serde(default)]
    kv_capacity: Option<u64>,
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawLimits {
    max_body_bytes: usize,
    #[serde(default)]
    max_header_bytes: Option<usize>,
    #[serde(default)]
    header_timeout_ms: Option<f64>,
    #[serde(default)]
    idle_timeout_ms: Option<f64>,
}

/// Longest time of a configuration; longer ones stand for none that ends, and a clock may not hold them.
const MAX_TIME: Duration = Duration::from_secs(365 * 24 * 3_600);

fn milliseconds(field: &str, value: f64) -> Result<Duration, Invalid> {
    match Duration::try_from_secs_f64(value / 1_000.0) {
        Ok(time) => Ok(time.min(MAX_TIME)),
        Err(_) => Err(Invalid::Value(format!(
            "{field}: must be a duration in milliseconds, not {value}"
        ))),
    }
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
            let text = format!("route {}: must have a service or a split", raw.name);
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
                // Requests of an unknown kind may not be repeatable, so they are sent once.
                _ => Kind::Once,
            },
            priority: raw.priority,
            shares,
            attempts: raw.max_attempts.max(1),
            sticky: raw.sticky,
            public: raw.public,
            retention: match raw.retain {
                true => Some(milliseconds("retentionS", raw.retention_s * 1_000.0)?),
                false => None,
            },
        })
    }
}

impl TryFrom<RawLimits> for Limits {
    type Error = Invalid;

    fn try_from(raw: RawLimits) -> Result<Self, Invalid> {
        let default = Self::default();
        let time = |field: &str, value: Option<f64>, default| match value {
            Some(value) => milliseconds(field, value),
            None => Ok(default),
        };
        Ok(Self {
            body: raw.max_body_bytes,
            head: raw.max_header_bytes.unwrap_or(default.head),
            head_time: time("headerTimeoutMs", raw.header_timeout_ms, default.head_time)?,
            idle: time("idleTimeoutMs", raw.idle_timeout_ms, default.idle)?,
        })
    }
}

impl TryFrom<&[u8]> for Table {
    type Error = Invalid;

    fn try_from(body: &[u8]) -> Result<Self, Invalid> {
        let raw: Config = serde_json::from_slice(body).map_err(|error| {
            Invalid::Configuration(error.classify(), error.line(), error.column())
        })?;
        let routes: Result<Vec<_>, _> = raw.routes.into_iter().map(Route::try_from).collect();
        let services = raw.services.into_iter().map(|service| Service {
            name: service.name,
            connections: service.max_conns,
            engine: service.engine.map(|engine| Engine {
                tokens_per_event: engine.tokens_per_event.unwrap_or(1).max(1),
                cache_tokens: engine.kv_capacity.unwrap_or(DEFAULT_CAPACITY),
            }),
        });
        let limits = Limits::try_from(raw.limits)?;
        let table = Self::new(raw.version, routes?, services, limits);
        Ok(match raw.tenants {
            Some(tenants) => table.with_tenants(directory(tenants)?),
            None => table,
        })
    }
}

fn directory(tenants: Vec<RawTenant>) -> Result<Directory, Invalid> {
    let tenant = |raw: RawTenant| {
        let quota = Quota {
            rate: raw.rate_per_s,
            burst: raw.burst,
        };
        if !(quota.rate >= 0.0 && quota.burst >= 0.0) {
            let text = format!("tenant {}: rate and burst must not be negative", raw.name);
            return Err(Invalid::Value(text));
        }
        // A key that can't be sent in a header opens nothing.
        let keys = raw.api_keys.iter();
        let keys = keys.filter_map(|key| Key::try_from(key.as_bytes()).ok());
        let tenant = Tenant {
            name: raw.name,
            priority: raw.priority,
            quota: (quota.rate > 0.0).then_some(quota),
        };
        Ok((tenant, keys.collect()))
    };
    let tenants: Result<Vec<_>, _> = tenants.into_iter().map(tenant).collect();
    Ok(Directory::new(tenants?))
}

/// Report of a server, which it repeats as a heartbeat.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Report {
    service: Arc<str>,
    address: SocketAddr,
    zone: Arc<str>,
    /// Version of the server's software, not of its weights.
    version: Arc<str>,
    slots: u32,
    state: State,
    /// Sequence number of the report since the start of the server.
    sequence: u64,
    /// Start time of the server in Unix milliseconds; 0 if the server does not report it.
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

/// Time by which the start of a server may seem to be in the future. A report with a later one would
/// make all others of that server count as older.
const MAX_START_SKEW: Duration = Duration::from_secs(24 * 3_600);

/// Decodes the report of a server; at least one slot is assumed.
pub fn server(id: &str, body: &[u8]) -> Result<registry::Server, Invalid> {
    let report: Report = serde_json::from_slice(body)?;
    let latest = Time::now() + MAX_START_SKEW;
    if report.born > latest.0 / 1_000 {
        return Err(Invalid::Value(format!("born: {} is not yet", report.born)));
    }
    Ok(registry::Server {
        id: id.into(),
        service: report.service,
        address: report.address,
        zone: report.zone,
        version: report.version,
        slots: report.slots.max(1),
        draining: matches!(report.state, State::Draining),
        started: report.born,
        report: report.sequence,
    })
}

/// What a server states of itself, as far as it is used.
#[derive(Debug)]
#[derive(Deserialize)]
struct Description {
    #[serde(default)]
    born: Option<u64>,
}

/// Decodes when a server started, in Unix milliseconds, from its description of itself.
pub fn started(body: &[u8]) -> Option<u64> {
    let description: Description = serde_json::from_slice(body).ok()?;
    description.born
}

/// Page of the newest records of a topic, one for each key.
#[derive(Debug)]
#[derive(Deserialize)]
pub struct Newest<'a> {
    /// Records of this page. They are decoded one by one, as any writer may have written one.
    #[serde(borrow)]
    pub items: Vec<&'a RawValue>,
    /// Whether more keys follow the last one.
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
    /// Value in base64.
    pub value: String,
}

/// Answer to an append.
#[derive(Debug)]
#[derive(Deserialize)]
pub struct Appended {
    /// Offset of the first record.
    pub offset: u64,
}

/// Request to delete the oldest records of a partition.
#[derive(Debug)]
#[derive(Serialize)]
pub struct Trim<'a> {
    /// The topic.
    pub topic: &'a str,
    /// The partition.
    pub part: u32,
    /// Offset of the first record to keep.
    pub before: u64,
}

/// Answer to a read of records that have expired.
#[derive(Debug)]
#[derive(Deserialize)]
pub struct Expired {
    /// Offset of the oldest retained record.
    pub first: u64,
}
