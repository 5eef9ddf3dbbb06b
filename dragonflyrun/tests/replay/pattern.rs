//! Load patterns, recorded from days and kept as files.

use std::{fs, path::PathBuf};

use dragonflyrun::workload::{Resources, Step};
use serde::Deserialize;

/// A load pattern.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Pattern {
    /// Its name.
    pub(crate) name: String,
    /// What it shows.
    #[serde(rename = "why")]
    pub(crate) _why: String,
    /// How many workers there are.
    pub(crate) workers: usize,
    /// The pattern that has the jobs, where this one only adds events.
    #[serde(default)]
    pub(crate) jobs_of: Option<String>,
    /// The jobs, in the order of their arrival.
    #[serde(default)]
    pub(crate) jobs: Vec<PatternJob>,
    /// What befalls workers, in the order of time.
    #[serde(default)]
    pub(crate) events: Vec<Event>,
}

/// A job.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct PatternJob {
    /// When it comes.
    pub(crate) at_ms: u64,
    /// When its caller cancels it.
    #[serde(default)]
    pub(crate) cancel_ms: Option<u64>,
    /// 0 comes first.
    pub(crate) priority: u32,
    /// Its steps.
    pub(crate) steps: Vec<PatternStep>,
}

/// A step, with the time that its tasks really take.
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

/// What befalls a worker or a failure domain.
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

/// How a worker or a failure domain is from now on.
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
    /// Reads the pattern in the file `name`.
    pub(crate) fn read(name: &str) -> Self {
        let path =
            PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(format!("tests/loads/{name}.json"));
        let text = fs::read_to_string(path).expect("a pattern");
        let mut pattern: Self = serde_json::from_str(&text).expect("a pattern");
        if let Some(base) = &pattern.jobs_of {
            pattern.jobs = Self::read(base).jobs;
        }
        pattern
    }
}

impl PatternJob {
    /// Returns the milliseconds in which the job should be done, by what its tasks really take.
    pub(crate) fn objective_ms(&self) -> u64 {
        let total_ms: u64 = self.steps.iter().map(|s| s.true_ms).sum();
        let (stretch, target_ms) = objective(self.priority);
        (stretch * total_ms as f64) as u64 + target_ms
    }
}

/// Returns stretch and target of the queue with a priority, as in the days that were recorded.
pub(crate) fn objective(priority: u32) -> (f64, u64) {
    match priority {
        0 => (1.5, 250),
        1 => (3.0, 1_000),
        _ => (3.0, 3_000),
    }
}

impl PatternStep {
    /// Returns the step as it is handed in.
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
