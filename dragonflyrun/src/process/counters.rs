//! Metrics on what the process has done and refused, exported in the Prometheus format.

use std::time::Duration;

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, MeterProvider}, //
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::{connection::NotRun, process::JobRefusal};

/// The metrics of one process; `docs/OPERATIONS.md` describes how to react to each.
pub struct Counters {
    registry: Registry,
    _provider: SdkMeterProvider,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    job_refusals: Counter<u64>,
    answers: Counter<u64>,
    events: Counter<u64>,
    store_calls: Counter<u64>,
    read_bytes: Counter<u64>,
    reads_discarded: Counter<u64>,
    discarded_bytes: Counter<u64>,
    latencies: Histogram<f64>,
    levels: Gauge<f64>,
}

/// Upper bounds of the latency buckets in milliseconds, from a single call on the host to the
/// longest wait that a caller's objective allows.
const LATENCY_BUCKETS: [f64; 14] = [
    1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1_000.0, 2_000.0, 5_000.0, 10_000.0,
    30_000.0,
];

impl Counters {
    /// Returns metrics with all counters at zero.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter can't be registered.
    pub fn new() -> Result<Self, Box<dyn std::error::Error + Send + Sync>> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("dragonflyrun");
        Ok(Self {
            registry,
            refusals: meter.u64_counter("refusals").build(),
            retries: meter.u64_counter("retries").build(),
            job_refusals: meter.u64_counter("job_refusals").build(),
            answers: meter.u64_counter("answers").build(),
            events: meter.u64_counter("events").build(),
            store_calls: meter.u64_counter("store_calls").build(),
            read_bytes: meter.u64_counter("store_read_bytes").build(),
            reads_discarded: meter.u64_counter("store_reads_discarded").build(),
            discarded_bytes: meter.u64_counter("store_discarded_bytes").build(),
            latencies: meter
                .f64_histogram("latency_ms")
                .with_boundaries(LATENCY_BUCKETS.to_vec())
                .build(),
            levels: meter.f64_gauge("level").build(),
            _provider: provider,
        })
    }

    /// Counts a request that was answered with "not run".
    pub fn refusal(&self, reason: NotRun) {
        self.refusals
            .add(1, &[KeyValue::new("reason", format!("{reason:?}"))]);
    }

    /// Counts a job or a cancellation that was refused.
    pub fn job_refusal(&self, reason: &JobRefusal) {
        self.job_refusals
            .add(1, &[KeyValue::new("reason", reason.name())]);
    }

    /// Counts a request that was sent to another agent after one refused it.
    pub fn retry(&self, reason: NotRun) {
        self.retries
            .add(1, &[KeyValue::new("reason", format!("{reason:?}"))]);
    }

    /// Counts a final answer by its kind: `done`, `not_run` or `unknown`.
    pub fn answer(&self, kind: &'static str) {
        self.answers.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts an event that operators should know of, such as a refused job or a broken gang.
    pub fn event(&self, name: &'static str) {
        self.events(name, 1);
    }

    /// Counts `count` events of one kind.
    pub fn events(&self, name: &'static str, count: usize) {
        if count > 0 {
            let count = u64::try_from(count).unwrap_or(u64::MAX);
            self.events.add(count, &[KeyValue::new("event", name)]);
        }
    }

    /// Counts a call to the store: `append`, `read` or `newest`.
    pub fn store_call(&self, call: &'static str, topic: &'static str, is_ok: bool) {
        self.store_calls.add(
            1,
            &[
                KeyValue::new("call", call),
                KeyValue::new("topic", topic),
                KeyValue::new("ok", is_ok),
            ],
        );
    }

    /// Counts the bytes of the records that a read of the store returned.
    pub fn read_bytes(&self, call: &'static str, topic: &'static str, bytes: u64) {
        self.read_bytes.add(
            bytes,
            &[KeyValue::new("call", call), KeyValue::new("topic", topic)],
        );
    }

    /// Counts a read of the store whose answer was not used, and the bytes that it had asked for.
    pub fn read_discarded(
        &self,
        call: &'static str,
        topic: &'static str,
        why: &'static str,
        asked_bytes: u64,
    ) {
        let labels = [
            KeyValue::new("call", call),
            KeyValue::new("topic", topic),
            KeyValue::new("why", why),
        ];
        self.reads_discarded.add(1, &labels);
        self.discarded_bytes.add(asked_bytes, &labels);
    }

    /// Records a duration: `hand_in`, `append`, `wait`, `start`, `state_read` or `renewal`.
    pub fn latency(&self, of: &'static str, took: Duration) {
        let ms = took.as_secs_f64() * 1_000.0;
        self.latencies.record(ms, &[KeyValue::new("of", of)]);
    }

    /// Records the current value of a quantity: an amount, or an age in milliseconds.
    pub fn level(&self, of: &'static str, value: f64) {
        self.levels.record(value, &[KeyValue::new("of", of)]);
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        let mut buf = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            log::error!(error:% = error; "metrics_failed");
        }
        buf
    }
}
