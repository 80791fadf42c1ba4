//! A model engine: OpenAI chat completions over simulated continuous batching.

mod answer;
mod batch;
mod cache;
mod chat;
mod command;
mod faults;
mod prompt;
mod refusal;
mod report;
mod routes;
mod sse;
mod state;
mod stats;

use std::{
    io,
    net::SocketAddr,
    sync::Arc, //
};

use actix_web::{
    rt,
    web::ServiceConfig, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::server::{
    Network,
    Server,
    Standin,
    LOOPBACK_ANY_PORT, //
};

pub use answer::Answer;
pub use command::{
    Command,
    Fencing, //
};
pub use faults::Faults;
pub use prompt::Message;
pub use report::{
    History,
    Load, //
};
pub use state::Engine;
pub use stats::{
    Call,
    Cost,
    End,
    Erasure,
    Stats, //
};

/// Settings of the engine. Times are those of the modelled engine and are divided by `speed`,
/// except where real time is stated.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Address to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Address of the control routes, which network faults don't affect.
    pub control: SocketAddr,
    /// Factor by which all modelled times are divided.
    pub speed: f64,
    /// Base duration of a step, in microseconds.
    pub step_us: u64,
    /// Additional duration of a step per request in the batch, in microseconds.
    pub step_per_request_us: u64,
    /// Additional duration of a step per computed prompt token, in microseconds.
    pub prefill_per_token_us: f64,
    /// Maximum number of prompt tokens computed per step.
    pub prefill_chunk: u64,
    /// Maximum number of requests in the batch.
    pub max_batch: usize,
    /// Maximum number of waiting requests; further ones are refused with status 503.
    pub max_waiting: Option<usize>,
    /// Memory for running requests and cached prefixes, in tokens.
    pub cache_tokens: u64,
    /// Value of `max_tokens` for requests without it.
    pub default_tokens: u32,
    /// Minimum and maximum length of an answer in tokens. The hash of the prompt determines
    /// the length, and `max_tokens` truncates it. `None` makes every answer `max_tokens` long.
    pub answer_tokens: Option<(u32, u32)>,
    /// Loaded models; if empty, the engine serves every model.
    pub models: Vec<String>,
    /// Time to load a model or an adapter, in microseconds.
    pub model_load_us: u64,
    /// Whether commands with a stale fencing number are rejected.
    pub fencing: Fencing,
    /// Age of the load report, in milliseconds of real time.
    pub load_lag_ms: u64,
    /// Interval between load reports, in milliseconds of real time.
    pub load_interval_ms: u64,
    /// Age at which cache events are published, in milliseconds of real time.
    pub events_lag_ms: u64,
    /// Probability that a cache event is lost.
    pub events_loss: f64,
    /// Maximum number of calls listed in the statistics.
    pub calls_kept: usize,
    /// Seed of random faults.
    pub seed: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: LOOPBACK_ANY_PORT,
            control: LOOPBACK_ANY_PORT,
            speed: 1.0,
            step_us: 10_000,
            step_per_request_us: 250,
            prefill_per_token_us: 40.0,
            prefill_chunk: 4_096,
            max_batch: 64,
            max_waiting: None,
            cache_tokens: 600_000,
            default_tokens: 256,
            answer_tokens: None,
            models: Vec::new(),
            model_load_us: 2_000_000,
            fencing: Fencing::Enforced,
            load_lag_ms: 300,
            load_interval_ms: 50,
            events_lag_ms: 500,
            events_loss: 0.0,
            calls_kept: 100_000,
            seed: 0,
        }
    }
}

/// Load and cached prefixes that the old system puts on the engine.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Foreign {
    /// Requests of the old system in the batch.
    pub running: usize,
    /// Waiting requests of the old system.
    pub waiting: usize,
    /// Cached prefixes of the old system to add: cache key and tokens.
    pub slots: Vec<(String, u64)>,
}

/// Starts an engine; fails if an address can't be bound.
pub fn start(config: Config) -> io::Result<Server<Engine>> {
    let (listen, control) = (config.listen, config.control);
    Server::start(Engine::new(config), listen, control)
}

impl Standin for Engine {
    type Faults = Faults;
    type Stats = Stats;

    fn configure(app: &mut ServiceConfig) {
        routes::configure(app);
    }

    fn spawn_tasks(self: &Arc<Self>) {
        rt::spawn(Arc::clone(self).run());
    }

    fn faults(&self) -> Faults {
        self.inner().faults.clone()
    }

    fn set_faults(&self, faults: Faults) {
        self.update(|inner| inner.set_faults(faults));
    }

    fn network(faults: &Faults) -> &Network {
        &faults.network
    }

    fn stats(&self) -> Stats {
        self.inner().stats()
    }
}
