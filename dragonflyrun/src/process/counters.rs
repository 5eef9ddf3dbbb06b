//! Counters of what the process did and refused, served to operators in the Prometheus format.

use opentelemetry::{
    KeyValue,
    metrics::{Counter, MeterProvider}, //
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::{connection::NotRun, process::JobRefusal};

/// All counters of one process; `docs/OPERATIONS.md` says what to do about each.
pub struct Counters {
    registry: Registry,
    _provider: SdkMeterProvider,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    job_refusals: Counter<u64>,
    answers: Counter<u64>,
    events: Counter<u64>,
}

impl Counters {
    /// Returns counters at zero.
    ///
    /// # Errors
    ///
    /// Where the exporter can't register itself.
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
            _provider: provider,
        })
    }

    /// Counts a request that was answered "not run".
    pub fn refusal(&self, reason: NotRun) {
        self.refusals
            .add(1, &[KeyValue::new("reason", format!("{reason:?}"))]);
    }

    /// Counts a job or a cancellation that was refused.
    pub fn job_refusal(&self, reason: &JobRefusal) {
        self.job_refusals
            .add(1, &[KeyValue::new("reason", reason.name())]);
    }

    /// Counts a request that was sent elsewhere after an agent refused it.
    pub fn retry(&self, reason: NotRun) {
        self.retries
            .add(1, &[KeyValue::new("reason", format!("{reason:?}"))]);
    }

    /// Counts a final answer by its kind: `done`, `not_run` or `unknown`.
    pub fn answer(&self, kind: &'static str) {
        self.answers.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts an event that is worth an operator's look, such as a job refused or a gang broken.
    pub fn event(&self, name: &'static str) {
        self.events.add(1, &[KeyValue::new("event", name)]);
    }

    /// Returns all counters in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        let mut buf = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            log::error!(error:% = error; "metrics_failed");
        }
        buf
    }
}
