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

use crate::{
    metrics::Exporter,
    process::tally, //
};

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
    closed_callers: Counter<u64>,
    refused_tunnels: Counter<u64>,
    callers: Gauge<u64>,
    caller_bytes: Gauge<u64>,
    answer_bytes: Gauge<u64>,
    retries: Counter<u64>,
    answers: Counter<u64>,
    placements: Counter<u64>,
    continuations: Counter<u64>,
    identities: Counter<u64>,
    origin_proofs: Counter<u64>,
    stream_ends: Counter<u64>,
    limited_sends: Counter<u64>,
    permits: Counter<u64>,
    breaks: Counter<u64>,
    connections: Counter<u64>,
    quarantine: Counter<u64>,
    key_refusals: Counter<u64>,
    tenant_requests: Counter<u64>,
    quota_grants: Counter<u64>,
    store_calls: Counter<u64>,
    store_bytes: Counter<u64>,
    store_time: Histogram<f64>,
    first: Histogram<f64>,
    total: Histogram<f64>,
    history_turns: Counter<u64>,
    history_chains: Counter<u64>,
    history_restored: Counter<u64>,
    history_bytes: Gauge<u64>,
    history_keep: Histogram<f64>,
    history_find: Histogram<f64>,
}

impl Metrics {
    /// Registers the instruments under the prefix `gypsumlever_gateway`.
    pub fn new() -> anyhow::Result<Self> {
        let exporter = Exporter::new("gypsumlever_gateway")?;
        let meter = exporter.meter();
        tally::observe(&meter);
        let counter = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        let gauge = |name: &'static str, text: &'static str| {
            meter.u64_gauge(name).with_description(text).build()
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
            closed_callers: counter(
                "closed_callers",
                "Connections of callers that the gateway closed, by reason.",
            ),
            refused_tunnels: counter(
                "refused_tunnels",
                "Connections to the tunnel port closed as too many had not sent their number.",
            ),
            callers: gauge("callers", "Open connections of callers."),
            caller_bytes: gauge("caller_bytes", "Memory that connections of callers hold."),
            answer_bytes: gauge(
                "answer_bytes",
                "Memory that connections of callers hold for answers that arrive.",
            ),
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
            identities: counter(
                "identities",
                "Questions to upstreams which process answers, by what the answer showed.",
            ),
            origin_proofs: counter(
                "origin_proofs",
                "Streams to go on, by what proved the process at which they began.",
            ),
            stream_ends: counter(
                "stream_ends",
                "Streams passed on to their end, by what marked it and the path to the upstream.",
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
            key_refusals: counter(
                "key_refusals",
                "Requests refused for want of a valid key of a tenant, by reason.",
            ),
            tenant_requests: counter(
                "tenant_requests",
                "Requests by tenant and outcome: admitted, or the reason of the refusal.",
            ),
            quota_grants: counter(
                "quota_grants",
                "Requests admitted to the quota of their tenant, by who granted them.",
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
            history_turns: counter("history_turns", "Turns that ended, by how they were kept."),
            history_chains: counter(
                "history_chains",
                "Turns that continue others, by where these were found.",
            ),
            history_restored: counter(
                "history_restored",
                "Turns that ended after the owner may have dropped those before them.",
            ),
            history_bytes: gauge("history_bytes", "Memory of kept turns."),
            history_keep: histogram("history_keep", "Time until a turn that ended was safe."),
            history_find: histogram(
                "history_find",
                "Time until the turns before a turn were found.",
            ),
            exporter,
        };
        Ok(Self(Arc::new(inner)))
    }

    /// Counts a request that the gateway refused.
    pub fn refused(&self, reason: &'static str) {
        self.0.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a connection of a caller that the gateway closes, by reason.
    pub fn closed_caller(&self, reason: &'static str) {
        let labels = [KeyValue::new("reason", reason)];
        self.0.closed_callers.add(1, &labels);
    }

    /// Counts a connection to the tunnel port that is closed, as too many have not sent their number.
    pub fn refused_tunnel(&self) {
        self.0.refused_tunnels.add(1, &[]);
    }

    /// Records the number of open connections of callers, the memory that they hold, and the part of it
    /// for answers that arrive.
    pub fn record_callers(&self, connections: u64, bytes: u64, answer_bytes: u64) {
        self.0.callers.record(connections, &[]);
        self.0.caller_bytes.record(bytes, &[]);
        self.0.answer_bytes.record(answer_bytes, &[]);
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

    /// Counts a question which process answers at an upstream: the `same` as registered, an `other`
    /// one, `unstated` by the upstream, or `failed`.
    pub fn identified(&self, outcome: &'static str) {
        let labels = [KeyValue::new("outcome", outcome)];
        self.0.identities.add(1, &labels);
    }

    /// Counts a stream that is to go on, by what proved the process at which it began: its `record`,
    /// later reads of the `registry`, the `upstream` itself, a `read` for an upstream that does not
    /// describe itself, or `nothing`.
    pub fn proved_origin(&self, by: &'static str) {
        self.0.origin_proofs.add(1, &[KeyValue::new("by", by)]);
    }

    /// Counts a stream that was passed on to its end, by what marked the end (its `framing`, or that of
    /// the `connection`) and the path to the upstream (`direct` or `tunnel`).
    pub fn ended_stream(&self, mark: &'static str, path: &'static str) {
        let labels = [KeyValue::new("mark", mark), KeyValue::new("path", path)];
        self.0.stream_ends.add(1, &labels);
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

    /// Counts a request without a valid key.
    pub fn refused_key(&self, reason: &'static str) {
        let labels = [KeyValue::new("reason", reason)];
        self.0.key_refusals.add(1, &labels);
    }

    /// Counts a request of a tenant that was `admitted`, or why it was refused.
    pub fn tenant_request(&self, tenant: &Arc<str>, outcome: &'static str) {
        let labels = [
            KeyValue::new("tenant", tenant.clone()),
            KeyValue::new("outcome", outcome),
        ];
        self.0.tenant_requests.add(1, &labels);
    }

    /// Counts a credit by who granted it: another instance that issues the quota (`issuer`) or the
    /// share of the `zone`, or this instance as one of the two (`local`).
    pub fn granted_quota(&self, by: &'static str) {
        self.0.quota_grants.add(1, &[KeyValue::new("by", by)]);
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

    /// Counts a turn that ended, by how it was kept (`kept` in the log, `held` by instances, or
    /// `lost`).
    pub fn kept_history(&self, outcome: &'static str) {
        let labels = [KeyValue::new("outcome", outcome)];
        self.0.history_turns.add(1, &labels);
    }

    /// Counts a turn that continues others, by where these were found (`local`, at the `owner` of
    /// the program's partition, or at `others`), or not found (`unknown` or `unavailable`).
    pub fn found_history(&self, source: &'static str) {
        let labels = [KeyValue::new("source", source)];
        self.0.history_chains.add(1, &labels);
    }

    /// Counts a turn that ended after the owner may have dropped those before it, which are kept again.
    pub fn restored_history(&self) {
        self.0.history_restored.add(1, &[]);
    }

    /// Records the memory of kept turns.
    pub fn record_history_bytes(&self, bytes: u64) {
        self.0.history_bytes.record(bytes, &[]);
    }

    /// Records the time until a turn that ended was safe.
    pub fn record_history_keep(&self, time: Duration) {
        self.0.history_keep.record(time.as_secs_f64(), &[]);
    }

    /// Records the time until the turns before a turn were found.
    pub fn record_history_find(&self, time: Duration) {
        self.0.history_find.record(time.as_secs_f64(), &[]);
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn scrape(&self) -> anyhow::Result<String> {
        self.0.exporter.scrape()
    }
}
