//! OpenTelemetry instruments, exported in the Prometheus text format.

pub mod label;

use std::{
    sync::Arc,
    time::Duration, //
};

use anyhow::Context as _;
use opentelemetry::{
    metrics::{
        Counter,
        Gauge,
        Histogram,
        Meter,
        MeterProvider as _, //
    },
    KeyValue,
};
use opentelemetry_sdk::{
    metrics::SdkMeterProvider,
    Resource, //
};
use prometheus::{
    Encoder as _,
    Registry,
    TextEncoder, //
};

use crate::{
    executor::request::Reason,
    process::tally,
    upstream::Usage, //
};

pub use label::{
    Latency,
    Level,
    Outcome,
    Retry,
    Token, //
};

use label::Label;

/// Bucket boundaries of the histograms, from the time of a fast lookup to that of the longest
/// program.
const BUCKETS_S: [f64; 20] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.64, 1.0, 2.0, 5.0, 10.0, 20.0, 60.0,
    180.0, 600.0, 1_800.0, 3_600.0,
];

/// Attribute sets of all values of a label, built once so that counting does not allocate.
struct Attributes<L>(Vec<[KeyValue; 1]>, std::marker::PhantomData<L>);

impl<L: Label> Attributes<L> {
    fn new() -> Self {
        let pair = |label: &L| [KeyValue::new(L::KEY, label.name())];
        Self(L::ALL.iter().map(pair).collect(), std::marker::PhantomData)
    }

    fn get(&self, label: L) -> &[KeyValue] {
        &self.0[label.index()]
    }
}

/// A counter with one time series for each value of a label.
struct Family<L> {
    counter: Counter<u64>,
    attributes: Attributes<L>,
}

impl<L: Label> Family<L> {
    /// Returns a counter whose time series all start at 0, so that the first event shows as an
    /// increase.
    fn new(meter: &Meter, name: &'static str, description: &'static str) -> Self {
        let family = Self {
            counter: meter
                .u64_counter(name)
                .with_description(description)
                .build(),
            attributes: Attributes::new(),
        };
        for label in L::ALL {
            family.add(*label, 0);
        }
        family
    }

    fn add(&self, label: L, count: u64) {
        self.counter.add(count, self.attributes.get(label));
    }
}

/// All instruments of an instance; clones share them.
#[derive(Clone)]
pub struct Metrics(Arc<Inner>);

struct Inner {
    exporter: Exporter,
    refusals: Family<Reason>,
    retries: Family<Retry>,
    calls: Family<Outcome>,
    tokens: Family<Token>,
    latencies: Vec<Histogram<f64>>,
    levels: Vec<Gauge<u64>>,
}

impl Metrics {
    /// Registers the instruments under the prefix `gypsumlever`; counters and gauges start at 0.
    pub fn new() -> anyhow::Result<Self> {
        let exporter = Exporter::new("gypsumlever")?;
        let meter = exporter.meter();
        tally::observe(&meter);
        let inner = Inner {
            refusals: Family::new(&meter, "refusals", "Calls refused or failed, by reason."),
            retries: Family::new(&meter, "retries", "Attempts made again, by reason."),
            calls: Family::new(&meter, "upstream_calls", "Calls to upstreams, by outcome."),
            tokens: Family::new(&meter, "tokens", "Tokens of model calls, by kind."),
            latencies: Latency::ALL
                .iter()
                .map(|latency| histogram(&meter, *latency))
                .collect(),
            levels: Level::ALL
                .iter()
                .map(|level| gauge(&meter, *level))
                .collect(),
            exporter,
        };
        Ok(Self(Arc::new(inner)))
    }

    /// Counts a refusal.
    pub fn refused(&self, reason: Reason) {
        self.0.refusals.add(reason, 1);
    }

    /// Counts a retry.
    pub fn retried(&self, reason: Retry) {
        self.0.retries.add(reason, 1);
    }

    /// Counts a call to an upstream.
    pub fn called(&self, outcome: Outcome) {
        self.0.calls.add(outcome, 1);
    }

    /// Counts the tokens of a model call.
    pub fn record_usage(&self, usage: &Usage) {
        self.0.tokens.add(Token::Prompt, usage.prompt_tokens);
        self.0.tokens.add(Token::Cached, usage.cached_tokens);
        self.0
            .tokens
            .add(Token::Completion, usage.completion_tokens);
    }

    /// Records a latency.
    pub fn record_latency(&self, latency: Latency, time: Duration) {
        self.0.latencies[latency.index()].record(time.as_secs_f64(), &[]);
    }

    /// Sets the gauge of a level.
    pub fn set_level(&self, level: Level, value: u64) {
        self.0.levels[level.index()].record(value, &[]);
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn scrape(&self) -> anyhow::Result<String> {
        self.0.exporter.scrape()
    }
}

/// Collects instruments and exports them in the Prometheus text format.
pub struct Exporter {
    registry: Registry,
    /// Keeps the instruments connected to the registry.
    provider: SdkMeterProvider,
    namespace: &'static str,
}

impl Exporter {
    /// Returns an exporter that prefixes the names of metrics with `namespace`.
    pub fn new(namespace: &'static str) -> anyhow::Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .with_namespace(namespace)
            .without_target_info()
            .scope_info_enabled(false)
            .build()
            .context("failed to create the exporter of metrics")?;
        let provider = SdkMeterProvider::builder()
            .with_resource(Resource::builder_empty().build())
            .with_reader(exporter)
            .build();
        Ok(Self {
            registry,
            provider,
            namespace,
        })
    }

    /// Returns a meter, which creates instruments.
    pub fn meter(&self) -> Meter {
        self.provider.meter(self.namespace)
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn scrape(&self) -> anyhow::Result<String> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(String::from_utf8(text)?)
    }
}

fn histogram(meter: &Meter, latency: Latency) -> Histogram<f64> {
    meter
        .f64_histogram(latency.name())
        .with_description(latency.description())
        .with_unit("s")
        .with_boundaries(BUCKETS_S.to_vec())
        .build()
}

fn gauge(meter: &Meter, level: Level) -> Gauge<u64> {
    let gauge = meter
        .u64_gauge(level.name())
        .with_description(level.description())
        .build();
    gauge.record(0, &[]);
    gauge
}
