//! How fast workers are, by how fast their runs come on from checkpoint to checkpoint.
//!
//! Load pattern answered here: workers of several kinds in one pool, of which some take a third
//! longer. Callers' guesses of run times are far too rough to show that. A gang is as slow as its
//! slowest worker and holds all its room as long, so one slow worker in it costs as much as
//! slowing down all of them.
//!
//! Comparing rates of progress instead of run times is how LATE finds stragglers (Zaharia et al.,
//! "Improving MapReduce Performance in Heterogeneous Environments", OSDI 2008); here it sorts the
//! workers, before the tasks are placed.

use crate::{
    utils::{HashMap, Name},
    workload::RunId,
};

/// Seconds by which the time between two checkpoints may be off: an agent looks each 0.4 s.
const TIMING_ERROR_S: f64 = 0.3;

/// Weight of the belief that a worker is as fast as others: that of a run timed for 1.5 s.
const PRIOR_WEIGHT: f64 = 25.0;

/// Runs that are remembered of a worker, the newest ones.
const MAX_RUNS_PER_WORKER: usize = 8;

/// One more step of slowness for each so many times as long: a tenth is seldom luck.
const SLOWNESS_STEP_RATIO: f64 = 1.1;

/// The slowest step; workers that have turned slow are in it too.
pub(super) const SLOWEST_STEP: u32 = 9;

/// How fast one run has come on.
#[derive(Clone, Debug)]
struct Timing {
    run: RunId,
    /// The logarithm of how many times longer its work took than on a worker of full speed.
    slowness: f64,
    weight: f64,
}

/// Learned speeds of workers.
#[derive(Clone, Debug, Default)]
pub struct WorkerSpeeds {
    workers: HashMap<Name, Vec<Timing>>,
    /// The sum, over the workers that are known, of the logarithm of their slowness.
    sum: f64,
}

impl WorkerSpeeds {
    /// Takes note that a run has taken `took_s` seconds on `worker` for work that takes `work_s` on a
    /// worker of full speed.
    pub fn learn(&mut self, worker: &Name, run: &RunId, work_s: f64, took_s: f64) {
        if work_s <= 0.0 || took_s <= 0.0 {
            return;
        }
        let timings = self.workers.entry(worker.clone()).or_default();
        self.sum -= mean_slowness(timings);
        timings.retain(|t| t.run != *run);
        timings.push(Timing {
            run: run.clone(),
            slowness: (took_s / work_s).ln(),
            weight: (took_s / TIMING_ERROR_S).powi(2),
        });
        let excess = timings.len().saturating_sub(MAX_RUNS_PER_WORKER);
        timings.drain(..excess);
        self.sum += mean_slowness(timings);
    }

    /// Returns how many times longer tasks take on a worker than on one of full speed: as on the
    /// average worker where nothing is known of it.
    pub fn slowness(&self, worker: &Name) -> f64 {
        let timings = self.workers.get(worker);
        let (sum, weights) = timings.map_or((0.0, 0.0), |t| weighted_sum(t));
        let average = (self.sum / self.workers.len().max(1) as f64).max(0.0);
        let sum = sum + PRIOR_WEIGHT * average;
        (sum / (weights + PRIOR_WEIGHT)).exp()
    }

    /// Returns the step of a worker's slowness: 0 for full speed.
    pub fn slowness_step(&self, worker: &Name) -> u32 {
        let steps = self.slowness(worker).ln() / SLOWNESS_STEP_RATIO.ln();
        steps.round().clamp(0.0, f64::from(SLOWEST_STEP)) as u32
    }

    /// Forgets a worker that is gone.
    pub fn forget(&mut self, worker: &Name) {
        if let Some(timings) = self.workers.remove(worker) {
            self.sum -= mean_slowness(&timings);
        }
    }
}

/// Returns the mean of what was seen of a worker; 0 where that is nothing.
fn mean_slowness(timings: &[Timing]) -> f64 {
    let (sum, weights) = weighted_sum(timings);
    if weights > 0.0 { sum / weights } else { 0.0 }
}

/// Returns the weighted sum of what was seen of a worker, and the sum of the weights.
fn weighted_sum(timings: &[Timing]) -> (f64, f64) {
    timings.iter().fold((0.0, 0.0), |(sum, weights), t| {
        (sum + t.weight * t.slowness, weights + t.weight)
    })
}
