//! Settings as they stand in the file.

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
    place,
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

/// The file.
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
    /// Reads the text of a file.
    pub fn parse(text: &str) -> Result<Self, Fault> {
        serde_saphyr::from_str(text).map_err(|error| place::fault(text, &error))
    }
}

/// Certificates of an encrypted connection; not supported yet.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// Certificate that is presented.
    #[serde(default)]
    pub certificate: Option<PathBuf>,
    /// Private key of the certificate.
    #[serde(default)]
    pub key: Option<PathBuf>,
    /// Certificate authority that the other side is checked against.
    #[serde(default)]
    pub authority: Option<PathBuf>,
}

/// Addresses that the daemon listens on.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Callers and operators.
    pub callers: SocketAddr,
    /// Other instances.
    pub peers: SocketAddr,
    /// Scrapes of metrics; the callers' address serves them if absent.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Address that other instances reach this one at; the address for peers if absent.
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
    /// Returns the address that other instances reach this one at.
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
    /// Appends that all instances together may make.
    #[serde(default = "appends")]
    pub appends_per_second: u32,
    /// How long the log keeps records.
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

/// Appends that remain for this system of the several hundred that the log serves in total.
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

/// What the upstreams of a pool are.
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
    /// What the upstreams are.
    pub kind: Kind,
    /// Prices of calls.
    #[serde(default)]
    pub prices: Prices,
    /// Time limits of calls.
    #[serde(default)]
    pub limits: Limits,
    /// Models that the engines hold; calls use the first.
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
    /// Returns the cost of a call, rounded up; it stays at the largest sum on overflow.
    pub fn cost(&self, prompt_tokens: u64, completion_tokens: u64) -> Money {
        let part =
            |tokens: u64, price: u64| (u128::from(tokens) * u128::from(price)).div_ceil(1_000);
        let sum = part(prompt_tokens, self.prompt_micros_per_1000)
            .saturating_add(part(completion_tokens, self.completion_micros_per_1000))
            .saturating_add(u128::from(self.call_micros));
        Money(u64::try_from(sum).unwrap_or(u64::MAX))
    }
}

/// Time limits of calls; absent ones depend on the kind of the pool.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Longest time until the first part of the answer.
    #[serde(with = "humantime_serde")]
    pub first: Option<Duration>,
    /// Longest time between two parts of the answer.
    #[serde(with = "humantime_serde")]
    pub progress: Option<Duration>,
    /// Longest time for the whole call.
    #[serde(with = "humantime_serde")]
    pub total: Option<Duration>,
}

/// A model that engines hold.
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
    /// Path that the call is posted to.
    pub path: String,
    /// Whether the call may be repeated; there is no default, because a wrong one repeats payments.
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
    /// Whether commands with a stale fencing number are refused.
    #[serde(default)]
    pub fenced: bool,
    /// Whether the sender of a command is verified.
    #[serde(default)]
    pub verifies_sender: bool,
    /// Certificates; not supported yet.
    #[serde(default)]
    pub tls: Option<Tls>,
}

/// The weight store.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Address of the store.
    pub address: String,
    /// Loads from the store that may begin in a minute.
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
    /// Interval of heartbeats to other instances.
    #[serde(with = "humantime_serde")]
    pub heartbeat: Duration,
    /// Interval of pings on a link.
    #[serde(with = "humantime_serde")]
    pub ping: Duration,
    /// Time without progress after which a link is replaced.
    #[serde(with = "humantime_serde")]
    pub silence: Duration,
    /// Oldest claim that may still be sent.
    #[serde(with = "humantime_serde")]
    pub claim_age: Duration,
    /// Interval in which the cache held by engines is listed.
    #[serde(with = "humantime_serde")]
    pub sweep: Duration,
    /// Time for which cache of an unknown program is kept.
    #[serde(with = "humantime_serde")]
    pub sweep_grace: Duration,
    /// Interval in which load reports are read.
    #[serde(with = "humantime_serde")]
    pub load: Duration,
    /// Interval in which the list of instances is read.
    #[serde(with = "humantime_serde")]
    pub list: Duration,
    /// Time for which a stopping instance serves until the balancer has noticed.
    #[serde(with = "humantime_serde")]
    pub balancer_lag: Duration,
    /// Longest time for calls to finish when an instance stops.
    #[serde(with = "humantime_serde")]
    pub drain: Duration,
    /// Longest time to connect to an upstream.
    #[serde(with = "humantime_serde")]
    pub connect: Duration,
    /// Longest time that a connection to an upstream stays unused.
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

/// Bounds of memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Memory {
    /// Bytes of histories that are kept to build prompts.
    pub history_bytes: usize,
    /// Calls that wait in the queue of one pool.
    pub queue_calls: usize,
    /// Calls that one customer has waiting in the queue of one pool.
    pub customer_calls: usize,
    /// Records that wait for the log.
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

/// Logs of the daemon.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Logs {
    /// Least important level that is logged.
    pub level: Level,
    /// Format of the lines.
    pub format: Format,
}

/// Importance of a line.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Faults that need an operator.
    Error,
    /// Faults that are handled.
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
    /// Lines for people.
    #[default]
    Text,
    /// One JSON object in each line.
    Json,
}
