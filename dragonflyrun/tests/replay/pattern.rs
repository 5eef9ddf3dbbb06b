//! Recorded load patterns, kept as files in `tests/loads`.

use std::{fs, path::PathBuf};

use dragonflyrun::workload::{Resources, Step};
use serde::Deserialize;

/// A load pattern.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Pattern {
    /// The name of the pattern, which is also its file name.
    pub(crate) name: String,
    /// The load or fault that the pattern represents.
    #[serde(rename = "why")]
    pub(crate) _why: String,
    /// The number of workers.
    pub(crate) workers: usize,
    /// The number of workers per rack. Each rack is a failure domain.
    #[serde(default = "default_workers_per_rack")]
    pub(crate) workers_per_rack: usize,
    /// How many times longer tasks take on each worker than on a nominal one. Workers that are not
    /// listed are nominal.
    #[serde(default)]
    pub(crate) slowness: Vec<f64>,
    /// The milliseconds from the order to start a run until its work begins.
    #[serde(default)]
    pub(crate) start_ms: u64,
    /// The pattern whose jobs are used, if this one only adds events.
    #[serde(default)]
    pub(crate) jobs_of: Option<String>,
    /// The jobs in the order of their arrival.
    #[serde(default)]
    pub(crate) jobs: Vec<PatternJob>,
    /// The events in the order of their time.
    #[serde(default)]
    pub(crate) events: Vec<Event>,
}

fn default_workers_per_rack() -> usize {
    3
}

/// A job of a pattern.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct PatternJob {
    /// The time of its arrival.
    pub(crate) at_ms: u64,
    /// The time at which its caller cancels it.
    #[serde(default)]
    pub(crate) cancel_ms: Option<u64>,
    /// The priority; 0 is the most urgent.
    pub(crate) priority: u32,
    /// The workspace of its caller.
    #[serde(default)]
    pub(crate) workspace: Option<String>,
    /// The steps of the job.
    pub(crate) steps: Vec<PatternStep>,
}

/// A step and the time that its tasks really take.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct PatternStep {
    pub(crate) tasks: u32,
    pub(crate) cpu_millis: u64,
    pub(crate) memory_mb: u64,
    pub(crate) accelerators: u64,
    pub(crate) estimate_ms: u64,
    pub(crate) true_ms: u64,
    #[serde(default)]
    pub(crate) gang: bool,
    #[serde(default)]
    pub(crate) one_rack: bool,
    #[serde(default)]
    pub(crate) checkpoints: bool,
    #[serde(default)]
    pub(crate) per_worker: u32,
    #[serde(default)]
    pub(crate) after: Vec<u32>,
}

/// A change of a worker or of a failure domain.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Event {
    pub(crate) at_ms: u64,
    #[serde(default)]
    pub(crate) worker: Option<usize>,
    #[serde(default)]
    pub(crate) domain: Option<String>,
    pub(crate) what: Change,
}

/// The state of a worker or of a failure domain after an event.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Change {
    Gone,
    #[serde(rename = "well")]
    Healthy,
    #[serde(rename = "fails")]
    Failing,
    #[serde(rename = "stands_still")]
    Stalled,
    Slow,
    #[serde(rename = "out")]
    OutOfService,
    #[serde(rename = "in")]
    InService,
}

impl Pattern {
    /// Reads the pattern `name` from its file.
    pub(crate) fn read(name: &str) -> Self {
        let path =
            PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(format!("tests/loads/{name}.json"));
        let text = fs::read_to_string(path).expect("a readable pattern file");
        let mut pattern: Self = serde_json::from_str(&text).expect("a valid pattern");
        if let Some(base) = &pattern.jobs_of {
            pattern.jobs = Self::read(base).jobs;
        }
        pattern
    }

    /// Returns the number of a worker's rack.
    pub(crate) fn rack_of(&self, worker: usize) -> usize {
        worker / self.workers_per_rack
    }

    /// Returns how many times longer tasks take on a worker than on a nominal one.
    pub(crate) fn slowness_of(&self, worker: usize) -> f64 {
        self.slowness.get(worker).copied().unwrap_or(1.0)
    }
}

impl PatternJob {
    /// Returns the objective of the job in milliseconds, based on the time that its tasks really
    /// take.
    pub(crate) fn objective_ms(&self) -> u64 {
        let total_ms: u64 = self.steps.iter().map(|s| s.true_ms).sum();
        let (stretch, target_ms) = objective(self.priority);
        (stretch * total_ms as f64) as u64 + target_ms
    }
}

/// Returns stretch and target of the queue with a priority, as configured when the loads were
/// recorded.
pub(crate) fn objective(priority: u32) -> (f64, u64) {
    match priority {
        0 => (1.5, 250),
        1 => (3.0, 1_000),
        _ => (3.0, 3_000),
    }
}

impl PatternStep {
    /// Returns the step as a caller submits it.
    pub(crate) fn step(&self) -> Step {
        Step {
            tasks: self.tasks,
            needs: Resources {
                cpu_millis: self.cpu_millis,
                memory_mb: self.memory_mb,
                accelerators: self.accelerators,
            },
            estimate_ms: self.estimate_ms,
            after: self.after.clone(),
            gang: self.gang,
            one_rack: self.one_rack,
            per_worker: self.per_worker,
            checkpoints: self.checkpoints,
            ..Step::default()
        }
    }
}
