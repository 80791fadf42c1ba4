//! Metrics of a gateway instance.

use std::{
    sync::Arc,
    time::Duration, //
};

use opentelemetry::{
    metrics::{
        Counter,
        Gauge,
        Histogram, //
    },
    KeyValue,
};

use crate::metrics::Exporter;

/// Bucket boundaries of the histograms, from a fast lookup to the longest deadline.
const BUCKETS_S: [f64; 13] = [
    0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 4.0, 8.0,
];

/// Instruments of a gateway instance; clones share them.
#[derive(Clone)]
pub struct Metrics(Arc<Inner>);

struct Inner {
    exporter: Exporter,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    answers: Counter<u64>,
    placements: Counter<u64>,
    continuations: Counter<u64>,
    limited_sends: Counter<u64>,
    permits: Counter<u64>,
    breaks: Counter<u64>,
    connections: Counter<u64>,
    quarantine: Counter<u64>,
    store_calls: Counter<u64>,
    store_bytes: Counter<u64>,
    store_time: Histogram<f64>,
    first: Histogram<f64>,
    total: Histogram<f64>,
    queue_wait: Histogram<f64>,
    queue_waiting: Gauge<u64>,
}

impl Metrics {
    /// Registers the instruments under the prefix `gypsumlever_gateway`.
    pub fn new() -> anyhow::Result<Self> {
        let exporter = Exporter::new("gypsumlever_gateway")?;
        let meter = exporter.meter();
        let counter = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        let histogram = |name: &'static str, text: &'static str| {
            meter
                .f64_histogram(name)
                .with_description(text)
                .with_unit("s")
                .with_boundaries(BUCKETS_S.to_vec())
                .build()
        };
        let inner = Inner {
            refusals: counter("refusals", "Requests answered by the gateway, by reason."),
            retries: counter("retries", "Sends made again, by reason."),
            answers: counter(
                "answers",
                "Answers of upstreams that were passed on, by kind.",
            ),
            placements: counter("placements", "Turns sent to an engine, by who chose it."),
            continuations: counter(
                "continuations",
                "Streams that went on after a break, by who resumed them and the software version.",
            ),
            limited_sends: counter(
                "limited_sends",
                "Requests sent to upstreams with a limit, by kind.",
            ),
            permits: counter(
                "permits",
                "Permits to send to an upstream with a limit, by where they came from, and denials.",
            ),
            breaks: counter(
                "breaks",
                "Answers that broke before they had any content, by whether the upstream had ended.",
            ),
            connections: counter(
                "connections",
                "Attempts to connect to an upstream, by outcome: direct, through a tunnel of another instance, or failed.",
            ),
            quarantine: counter(
                "quarantine",
                "Requests that this instance learned to hold back, or to serve again, by change.",
            ),
            store_calls: counter("store_calls", "Calls to the store, by call and outcome."),
            store_bytes: counter(
                "store_received_bytes",
                "Bytes of answers of the store that were received, by call and outcome.",
            ),
            store_time: histogram(
                "store_call",
                "Time until a call to the store ended, by call.",
            ),
            first: histogram("first", "Time until the first event of a stream."),
            total: histogram("total", "Time until the end of an answer."),
            queue_wait: histogram("queue_wait", "Time for which turns waited in the queue of the zone."),
            queue_waiting: meter
                .u64_gauge("queue_waiting")
                .with_description("Turns in the queue of this dispatcher, by class.")
                .build(),
            exporter,
        };
        Ok(Self(Arc::new(inner)))
    }

    /// Counts a request that the gateway refused.
    pub fn refused(&self, reason: &'static str) {
        self.0.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a send that is retried.
    pub fn retried(&self, reason: &'static str) {
        self.0.retries.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts an answer of an upstream that is passed on.
    pub fn answered(&self, kind: &'static str) {
        self.0.answers.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts a turn whose engine was chosen by a dispatcher or by this instance.
    pub fn placed(&self, by: &'static str) {
        self.0.placements.add(1, &[KeyValue::new("by", by)]);
    }

    /// Counts an answer that broke before it had any content, by what happened to the upstream
    /// (`ended`, `alive` or `unknown`).
    pub fn broke(&self, upstream: &'static str) {
        let labels = [KeyValue::new("upstream", upstream)];
        self.0.breaks.add(1, &labels);
    }

    /// Counts an attempt to connect to an upstream, by outcome (`direct`, `tunnel` or `failed`).
    pub fn connected(&self, outcome: &'static str) {
        let labels = [KeyValue::new("outcome", outcome)];
        self.0.connections.add(1, &labels);
    }

    /// Counts a request that is held back from now on (`held`), or was completed after upstreams crashed
    /// under it (`cleared`).
    pub fn quarantined(&self, change: &'static str) {
        let labels = [KeyValue::new("change", change)];
        self.0.quarantine.add(1, &labels);
    }

    /// Counts a stream that goes on at an engine, by who resumed it (`gateway` or `caller`) and
    /// whether the engine has the software version that began it (`same`, `other` or `unknown`).
    pub fn continued(&self, by: &'static str, version: &'static str) {
        let labels = [KeyValue::new("by", by), KeyValue::new("version", version)];
        self.0.continuations.add(1, &labels);
    }

    /// Counts a send to an upstream with a limit, by kind.
    pub fn sent_limited(&self, kind: &'static str) {
        self.0.limited_sends.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts a permit by where it came from (the `issuer`, with the placement of the `dispatcher`, or
    /// from the zone's `share`), or one that was `denied`.
    pub fn permitted(&self, by: &'static str) {
        self.0.permits.add(1, &[KeyValue::new("by", by)]);
    }

    /// Records a call to the store; the bytes received of a `lost` one were discarded.
    pub fn record_store_call(
        &self,
        call: &'static str,
        outcome: &'static str,
        time: Duration,
        received_bytes: usize,
    ) {
        let call = KeyValue::new("call", call);
        let labels = [call.clone(), KeyValue::new("outcome", outcome)];
        self.0.store_calls.add(1, &labels);
        self.0.store_bytes.add(received_bytes as u64, &labels);
        self.0.store_time.record(time.as_secs_f64(), &[call]);
    }

    /// Records the time until the first event of a stream.
    pub fn record_first_event(&self, time: Duration) {
        self.0.first.record(time.as_secs_f64(), &[]);
    }

    /// Records the time until the end of an answer.
    pub fn record_total(&self, time: Duration) {
        self.0.total.record(time.as_secs_f64(), &[]);
    }

    /// Records the time in microseconds for which a turn waited in the queue.
    pub fn record_queue_wait(&self, wait_us: u64) {
        self.0.queue_wait.record(wait_us as f64 / 1e6, &[]);
    }

    /// Records the turns in the queue, by class.
    pub fn record_queue(&self, classes: [usize; 3]) {
        for (class, count) in ["in_time", "late", "runaway"].into_iter().zip(classes) {
            let labels = [KeyValue::new("class", class)];
            self.0.queue_waiting.record(count as u64, &labels);
        }
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn scrape(&self) -> anyhow::Result<String> {
        self.0.exporter.scrape()
    }
}
