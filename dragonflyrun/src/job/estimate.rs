//! Run-time estimates, learned from what workers report and trusted more than what submitters
//! declare.
//!
//! Declared run times are often wrong by a multiple, but the same workspace tends to be wrong by
//! the same factor. So the ratio of actual to declared run time is learned for each kind of job, as
//! a mean of logarithms in which a single extreme value has little weight.

use std::time::Duration;

use crate::{
    job::JobSpec,
    utils::{HashMap, Name},
};

/// Minimum weight of the newest run in the learned mean.
const MIN_NEWEST_SHARE: f64 = 0.15;

/// Maximum number of kinds with an estimate of their own; for jobs of further kinds the declared
/// run time is used.
const MAX_KINDS: usize = 16_384;

/// Run time assumed for a job that declares none and whose kind has never run.
const DEFAULT_RUN_TIME_MS: f64 = 600_000.0;

/// The learned run times of each kind of job.
#[derive(Clone, Debug, Default)]
pub(super) struct Estimates {
    kinds: HashMap<Kind, Learned>,
}

/// The properties of jobs that are expected to have similar run times.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Kind {
    workspace: Name,
    tasks: u32,
    accelerators: u32,
    declared: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Learned {
    runs: u32,
    log_mean: f64,
}

impl Estimates {
    /// Learns that a job ran for `ran_ms` in total.
    pub(super) fn learn(&mut self, spec: &JobSpec, ran_ms: u64) {
        let value = (ran_ms.max(1) as f64 / declared_or_default_ms(spec)).ln();
        let kind = Kind::of(spec);
        if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(&kind) {
            return;
        }
        let learned = self.kinds.entry(kind).or_default();
        learned.runs = learned.runs.saturating_add(1);
        let weight = MIN_NEWEST_SHARE.max(1.0 / f64::from(learned.runs));
        learned.log_mean += weight * (value - learned.log_mean);
    }

    /// Returns the expected total run time of a job.
    pub(super) fn run_time(&self, spec: &JobSpec) -> Duration {
        let learned = self.kinds.get(&Kind::of(spec));
        let factor = learned.map_or(1.0, |l| l.log_mean.exp());
        Duration::from_millis((declared_or_default_ms(spec) * factor) as u64)
    }
}

impl Kind {
    fn of(spec: &JobSpec) -> Self {
        Self {
            workspace: spec.workspace.clone(),
            tasks: spec.tasks,
            accelerators: spec.accelerators,
            declared: spec.run_time_ms > 0,
        }
    }
}

fn declared_or_default_ms(spec: &JobSpec) -> f64 {
    match spec.run_time_ms {
        0 => DEFAULT_RUN_TIME_MS,
        ms => ms as f64,
    }
}
