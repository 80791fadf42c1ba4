//! Settings as read from the file, before validation.

use std::{
    net::SocketAddr,
    path::PathBuf,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    money::Money,
    name::{
        self,
        Instance,
        Zone, //
    },
    upstream,
};

use super::{
    location,
    Fault, //
};

/// Time limits of model calls unless the pool sets others.
pub const MODEL_LIMITS: upstream::Limits = upstream::Limits {
    first: Duration::from_secs(30),
    progress: Duration::from_secs(10),
    total: Duration::from_secs(600),
};

/// Time limits of calls to services unless the pool sets others.
pub const SERVICE_LIMITS: upstream::Limits = upstream::Limits {
    first: Duration::from_secs(10),
    progress: Duration::from_secs(5),
    total: Duration::from_secs(30),
};

/// Settings of the whole file.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Raw {
    /// See [`super::Config::cluster`].
    pub cluster: String,
    /// See [`super::Config::instance`].
    pub instance: Instance,
    /// See [`super::Config::zone`].
    pub zone: Zone,
    /// See [`super::Config::zones`].
    pub zones: Vec<Zone>,
    /// See [`super::Config::listen`].
    pub listen: Listen,
    /// See [`super::Config::peers`].
    pub peers: Peers,
    /// See [`super::Config::log`].
    pub log: Log,
    /// See [`super::Config::list`].
    pub list: List,
    /// See [`super::Config::pools`].
    #[serde(default)]
    pub pools: Vec<Pool>,
    /// See [`super::Config::weights`].
    #[serde(default)]
    pub weights: Option<Weights>,
    /// See [`super::Config::timings`].
    #[serde(default)]
    pub timings: Timings,
    /// See [`super::Config::memory`].
    #[serde(default)]
    pub memory: Memory,
    /// See [`super::Config::logs`].
    #[serde(default)]
    pub logs: Logs,
}

impl Raw {
    /// Parses the text of a file.
    pub fn parse(text: &str) -> Result<Self, Fault> {
        serde_saphyr::from_str(text).map_err(|error| location::fault(text, &error))
    }
}

/// Certificates of an encrypted connection; not supported yet.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// Certificate presented to the other side.
    #[serde(default)]
    pub certificate: Option<PathBuf>,
    /// Private key of the certificate.
    #[serde(default)]
    pub key: Option<PathBuf>,
    /// Certificate authority that must have issued the certificate of the other side.
    #[serde(default)]
    pub authority: Option<PathBuf>,
}

/// Addresses that the daemon listens on.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Address for callers and operators.
    pub callers: SocketAddr,
    /// Address for other instances.
    pub peers: SocketAddr,
    /// Address for scrapes of metrics; the address for callers serves them if absent.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Address at which other instances reach this one; the address for peers if absent.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Number of HTTP worker threads; one for each core if absent.
    #[serde(default)]
    pub workers: Option<usize>,
    /// Certificates for callers; not supported yet.
    #[serde(default)]
    pub tls: Option<Tls>,
}

impl Listen {
    /// Returns the address at which other instances reach this one.
    pub fn advertised(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.peers)
    }
}

/// Links to other instances.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// Environment variable that holds the secret.
    pub secret_env: String,
    /// Certificates for links; not supported yet.
    #[serde(default)]
    pub tls: Option<Tls>,
}

/// The platform's log.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Log {
    /// Addresses of the log service.
    pub addresses: Vec<String>,
    /// Topic of this cluster.
    #[serde(default = "service")]
    pub topic: String,
    /// Number of partitions of the topic.
    #[serde(default = "one")]
    pub partitions: u32,
    /// Maximum appends per second of all instances together.
    #[serde(default = "appends")]
    pub appends_per_second: u32,
    /// Time for which the log retains records.
    #[serde(default = "week", with = "humantime_serde")]
    pub retention: Duration,
    /// Certificates; not supported yet.
    #[serde(default)]
    pub tls: Option<Tls>,
}

fn service() -> String {
    "gypsumlever".into()
}

fn one() -> u32 {
    1
}

/// The log serves several hundred appends per second in total, which other systems use as well.
fn appends() -> u32 {
    300
}

fn week() -> Duration {
    Duration::from_secs(7 * 86_400)
}

/// The platform's list of instances.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct List {
    /// Address of the list.
    pub address: String,
    /// Service whose instances are listed.
    #[serde(default = "service")]
    pub service: String,
    /// Certificates; not supported yet.
    #[serde(default)]
    pub tls: Option<Tls>,
}

/// Kind of the upstreams of a pool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Model engines.
    Model,
    /// Tool services.
    Tool,
    /// Plain services.
    Service,
}

/// Upstreams that offer the same model or service.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Name that callers use.
    pub name: name::Pool,
    /// Kind of the upstreams.
    pub kind: Kind,
    /// Prices of calls.
    #[serde(default)]
    pub prices: Prices,
    /// Time limits of calls.
    #[serde(default)]
    pub limits: Limits,
    /// Models that every engine loads; calls use the first.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Operations of the services.
    #[serde(default)]
    pub operations: Vec<Operation>,
    /// The upstreams.
    pub upstreams: Vec<Upstream>,
}

/// Prices in micro-units of the contracts' currency.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Prices {
    /// Price of 1,000 tokens of the prompt.
    pub prompt_micros_per_1000: u64,
    /// Price of 1,000 generated tokens.
    pub completion_micros_per_1000: u64,
    /// Price of a call.
    pub call_micros: u64,
}

impl Prices {
    /// Returns the cost of a call, rounded up and saturating on overflow.
    pub fn cost(&self, prompt_tokens: u64, completion_tokens: u64) -> Money {
        let price = |tokens: u64, per_1000: u64| {
            (u128::from(tokens) * u128::from(per_1000)).div_ceil(1_000)
        };
        let total = price(prompt_tokens, self.prompt_micros_per_1000)
            .saturating_add(price(completion_tokens, self.completion_micros_per_1000))
            .saturating_add(u128::from(self.call_micros));
        Money(u64::try_from(total).unwrap_or(u64::MAX))
    }
}

/// Time limits of calls; the defaults depend on the kind of the pool.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum time until the first part of the answer.
    #[serde(with = "humantime_serde")]
    pub first: Option<Duration>,
    /// Maximum time between two parts of the answer.
    #[serde(with = "humantime_serde")]
    pub progress: Option<Duration>,
    /// Maximum time for the whole call.
    #[serde(with = "humantime_serde")]
    pub total: Option<Duration>,
}

/// A model that engines load.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name under which engines serve the model.
    pub name: String,
    /// Version of the weights.
    pub version: String,
    /// Adapters of the model.
    #[serde(default)]
    pub adapters: Vec<Adapter>,
}

/// An adapter of a model.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Name under which engines serve the adapter.
    pub name: String,
    /// Version of the weights.
    pub version: String,
}

/// An operation of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Operation {
    /// Name that callers use.
    pub name: String,
    /// URL path to which the call is posted.
    pub path: String,
    /// Whether the call may be repeated; there is no default, because a wrong one could repeat
    /// payments.
    pub idempotent: bool,
    /// Price of a call in micro-units, instead of the pool's.
    #[serde(default)]
    pub call_micros: Option<u64>,
}

/// One upstream.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Name, unique in the cluster.
    pub name: name::Upstream,
    /// Address, for example `10.0.0.7:8000`.
    pub address: String,
    /// Availability zone.
    pub zone: Zone,
    /// Whether the upstream refuses commands with a stale fencing number.
    #[serde(default)]
    pub fenced: bool,
    /// Whether the upstream verifies the sender of a command.
    #[serde(default)]
    pub verifies_sender: bool,
    /// Certificates; not supported yet.
    #[serde(default)]
    pub tls: Option<Tls>,
}

/// Store of model weights.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Address of the store.
    pub address: String,
    /// Maximum loads of weights that all instances together start per minute.
    #[serde(default = "loads")]
    pub loads_per_minute: u32,
    /// Certificates; not supported yet.
    #[serde(default)]
    pub tls: Option<Tls>,
}

fn loads() -> u32 {
    6
}

/// Intervals and time limits.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Timings {
    /// Interval between heartbeats to other instances.
    #[serde(with = "humantime_serde")]
    pub heartbeat: Duration,
    /// Interval between pings on a link.
    #[serde(with = "humantime_serde")]
    pub ping: Duration,
    /// Time without progress after which a link is replaced.
    #[serde(with = "humantime_serde")]
    pub silence: Duration,
    /// Maximum age of a claim that may still be sent.
    #[serde(with = "humantime_serde")]
    pub claim_age: Duration,
    /// Interval between sweeps, which list the cache held by engines.
    #[serde(with = "humantime_serde")]
    pub sweep: Duration,
    /// Time for which a sweep keeps the cache of an unknown program.
    #[serde(with = "humantime_serde")]
    pub sweep_grace: Duration,
    /// Interval between reads of the load reports.
    #[serde(with = "humantime_serde")]
    pub load: Duration,
    /// Interval between reads of the list of instances.
    #[serde(with = "humantime_serde")]
    pub list: Duration,
    /// Time for which a stopping instance still serves, until the balancer has noticed.
    #[serde(with = "humantime_serde")]
    pub balancer_lag: Duration,
    /// Maximum time for calls to finish when an instance stops.
    #[serde(with = "humantime_serde")]
    pub drain: Duration,
    /// Timeout for connecting to an upstream.
    #[serde(with = "humantime_serde")]
    pub connect: Duration,
    /// Maximum time for which an idle connection to an upstream is kept.
    #[serde(with = "humantime_serde")]
    pub idle: Duration,
}

impl Default for Timings {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_secs(1),
            ping: Duration::from_secs(1),
            silence: Duration::from_secs(3),
            claim_age: Duration::from_secs(10),
            sweep: Duration::from_secs(10),
            sweep_grace: Duration::from_secs(60),
            load: Duration::from_millis(500),
            list: Duration::from_secs(1),
            balancer_lag: Duration::from_secs(5),
            drain: Duration::from_secs(60),
            connect: Duration::from_secs(1),
            idle: Duration::from_secs(4),
        }
    }
}

/// Memory limits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Memory {
    /// Maximum bytes of cached program histories, from which prompts are built.
    pub history_bytes: usize,
    /// Maximum calls waiting in the queue of one pool.
    pub queue_calls: usize,
    /// Maximum calls of one customer waiting in the queue of one pool.
    pub customer_calls: usize,
    /// Maximum records waiting for the log.
    pub log_records: usize,
}

impl Default for Memory {
    fn default() -> Self {
        Self {
            history_bytes: 128 << 20,
            queue_calls: 10_000,
            customer_calls: 2_000,
            log_records: 10_000,
        }
    }
}

/// Logging of the daemon.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Logs {
    /// Least severe level that is logged.
    pub level: Level,
    /// Format of the log lines.
    pub format: Format,
}

/// Severity of a log line.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Failures that need an operator.
    Error,
    /// Failures that are handled.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Decisions.
    Debug,
    /// Everything.
    Trace,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// Human-readable lines.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}
