//! The workloads as described in their data files, and the jobs generated from them for a seed.

use std::{
    f64::consts::TAU,
    sync::Arc, //
};

use dragonflyrun::{
    Document, JobSpec, Name, Shape,
    job::WorkerInfo,
    version::{Urgency, Version},
};
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng, //
};
use serde::Deserialize;

/// The workers, configuration, jobs and failures of one deployment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Workload {
    /// Name of the deployment.
    pub(crate) deployment: String,
    /// Number of accelerators of each worker.
    accelerators: u32,
    racks: Vec<Rack>,
    document: Document,
    /// Time in seconds during which jobs arrive.
    pub(crate) horizon_s: u64,
    streams: Vec<Stream>,
    /// Planned failures.
    pub(crate) events: Events,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Rack {
    failure_domain: Name,
    rack: Name,
    workers: u32,
}

/// Jobs of one kind, which arrive in bursts.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Stream {
    workspace: Name,
    urgency: Urgency,
    bursts_an_hour: f64,
    /// Mean number of jobs in a burst.
    burst_jobs: u32,
    /// Median run time.
    run_time_s: f64,
    /// Standard deviation of the logarithm of the run time.
    run_time_spread: f64,
    /// Median ratio of declared to actual run time.
    declared_factor: f64,
    declared_spread: f64,
    #[serde(default)]
    impossible: bool,
    shapes: Vec<Shape>,
}

/// Drains, outages, failures and cancellations, with their times.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Events {
    pub(crate) drain: Drain,
    pub(crate) log_outages: Vec<Span>,
    /// Workers on which every start fails.
    pub(crate) failing_workers: Vec<WorkerSpan>,
    /// Workers that die without notice and return without any jobs.
    pub(crate) lost_workers: Vec<WorkerSpan>,
    pub(crate) cancellations: Vec<Cancellation>,
    pub(crate) usage_lag_s: u64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Drain {
    pub(crate) failure_domain: Name,
    pub(crate) from_s: u64,
    pub(crate) to_s: u64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Span {
    pub(crate) from_s: u64,
    pub(crate) to_s: u64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct WorkerSpan {
    pub(crate) worker: usize,
    pub(crate) from_s: u64,
    pub(crate) to_s: u64,
}

/// A cancellation of a share of the live jobs at one time.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Cancellation {
    pub(crate) at_s: u64,
    pub(crate) share: f64,
}

/// A job of the workload, including properties that the policy doesn't know.
#[derive(Clone, Debug)]
pub(crate) struct PlannedJob {
    pub(crate) spec: JobSpec,
    pub(crate) arrives_ms: u64,
    /// The actual run time.
    pub(crate) run_ms: u64,
    pub(crate) impossible: bool,
    /// Random draws that decide on cancellation and silent stops, the same under each policy.
    pub(crate) cancel_draw: f64,
    pub(crate) stop_draw: f64,
}

impl Workload {
    /// Parses a data file.
    pub(crate) fn parse(text: &str) -> Self {
        serde_json::from_str(text).expect("the workload is valid")
    }

    /// Returns the workers in the order of the file.
    pub(crate) fn workers(&self) -> Vec<WorkerInfo> {
        let racks = self.racks.iter();
        let workers = racks.flat_map(|rack| {
            (0..rack.workers).map(|i| WorkerInfo {
                name: format!("{}-{i}", rack.rack).into(),
                rack: rack.rack.clone(),
                failure_domain: rack.failure_domain.clone(),
                accelerators: self.accelerators,
            })
        });
        workers.collect()
    }

    /// Returns the configuration, with the failure domain `drained` out of service.
    pub(crate) fn version(&self, offset: u64, drained: Option<&Name>) -> Arc<Version> {
        let mut document = self.document.clone();
        for section in document.sections.values_mut() {
            for domain in &mut Arc::make_mut(section).failure_domains {
                domain.in_service = Some(&domain.name) != drained;
            }
        }
        Arc::new(Version::new(offset, document))
    }

    /// Returns the jobs generated for `seed`, in the order of their arrival.
    pub(crate) fn jobs(&self, seed: u64) -> Vec<PlannedJob> {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut jobs = Vec::new();
        for stream in &self.streams {
            stream.generate_jobs(self.horizon_s, &mut rng, &mut jobs);
        }
        jobs.sort_by_key(|j| j.arrives_ms);
        jobs
    }
}

impl Stream {
    fn generate_jobs(&self, horizon_s: u64, rng: &mut StdRng, jobs: &mut Vec<PlannedJob>) {
        let mean_gap_s = 3_600.0 / self.bursts_an_hour;
        let mut at_s = 0.0;
        loop {
            at_s -= mean_gap_s * rng.random_range(f64::EPSILON..1.0).ln();
            if at_s >= horizon_s as f64 {
                return;
            }
            for _ in 0..rng.random_range(1..=self.burst_jobs * 2 - 1) {
                let within_ms = rng.random_range(0..2_000);
                jobs.push(self.job(at_s as u64 * 1_000 + within_ms, rng));
            }
        }
    }

    fn job(&self, arrives_ms: u64, rng: &mut StdRng) -> PlannedJob {
        let shape = self.shapes[rng.random_range(0..self.shapes.len())];
        let run_s = self.run_time_s * (self.run_time_spread * standard_normal(rng)).exp();
        let declared_ratio =
            self.declared_factor * (self.declared_spread * standard_normal(rng)).exp();
        PlannedJob {
            spec: JobSpec {
                workspace: self.workspace.clone(),
                urgency: self.urgency,
                tasks: shape.tasks,
                accelerators: shape.accelerators,
                adjacency: shape.adjacency,
                run_time_ms: (run_s * declared_ratio * 1_000.0) as u64,
                program: Name::from(""),
            },
            arrives_ms,
            run_ms: (run_s * 1_000.0).clamp(1_000.0, 7_200_000.0) as u64,
            impossible: self.impossible,
            cancel_draw: rng.random(),
            stop_draw: rng.random(),
        }
    }
}

/// Returns a draw from the standard normal distribution.
fn standard_normal(rng: &mut StdRng) -> f64 {
    let radius = (-2.0 * rng.random_range(f64::EPSILON..1.0).ln()).sqrt();
    radius * (TAU * rng.random::<f64>()).cos()
}
