//! Learned speeds of workers, based on how fast their runs progress from checkpoint to checkpoint.
//!
//! A pool can mix several kinds of workers, some of which take a third longer. Callers' estimates
//! of run times are far too rough to show that. A gang is as slow as its slowest worker and
//! occupies all of its workers for that time, so one slow worker costs as much as slowing down all
//! of them.
//!
//! Comparing rates of progress instead of run times is how LATE finds stragglers (Zaharia et al.,
//! "Improving MapReduce Performance in Heterogeneous Environments", OSDI 2008). Here it ranks the
//! workers before the tasks are placed.

use crate::{
    utils::{HashMap, Name},
    workload::RunId,
};

/// Error in seconds of the measured time between two checkpoints: an agent checks every 0.4 s.
const TIMING_ERROR_S: f64 = 0.3;

/// Weight of the prior that a worker is as fast as the average one, equal to the weight of a run
/// timed for 1.5 s.
const PRIOR_WEIGHT: f64 = 25.0;

/// Number of most recent runs that are kept per worker.
const MAX_RUNS_PER_WORKER: usize = 8;

/// Ratio between the times of two neighbouring slowness steps. A difference of a tenth is rarely
/// chance.
const SLOWNESS_STEP_RATIO: f64 = 1.1;

/// The slowest step, which also includes degraded workers.
pub(super) const SLOWEST_STEP: u32 = 9;

/// The measured speed of one run.
#[derive(Clone, Debug)]
struct Timing {
    run: RunId,
    /// Logarithm of the ratio of the run's time to the time on a full-speed worker.
    slowness: f64,
    weight: f64,
}

/// Learned speeds of workers.
#[derive(Clone, Debug, Default)]
pub struct WorkerSpeeds {
    workers: HashMap<Name, Vec<Timing>>,
    /// Sum over all known workers of the logarithm of their slowness.
    sum: f64,
}

impl WorkerSpeeds {
    /// Records that a run took `took_s` seconds on `worker` for work that takes `work_s` on a
    /// full-speed worker.
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

    /// Returns how many times longer tasks take on a worker than on a full-speed one. A worker
    /// without data is assumed to be average.
    pub fn slowness(&self, worker: &Name) -> f64 {
        let timings = self.workers.get(worker);
        let (sum, weights) = timings.map_or((0.0, 0.0), |t| weighted_sum(t));
        let average = (self.sum / self.workers.len().max(1) as f64).max(0.0);
        let sum = sum + PRIOR_WEIGHT * average;
        (sum / (weights + PRIOR_WEIGHT)).exp()
    }

    /// Returns the slowness step of a worker; 0 is full speed.
    pub fn slowness_step(&self, worker: &Name) -> u32 {
        let steps = self.slowness(worker).ln() / SLOWNESS_STEP_RATIO.ln();
        steps.round().clamp(0.0, f64::from(SLOWEST_STEP)) as u32
    }

    /// Removes the data of a worker that is gone.
    pub fn remove_worker(&mut self, worker: &Name) {
        if let Some(timings) = self.workers.remove(worker) {
            self.sum -= mean_slowness(&timings);
        }
    }
}

/// Returns the mean slowness logarithm of a worker's timings; 0 if there are none.
fn mean_slowness(timings: &[Timing]) -> f64 {
    let (sum, weights) = weighted_sum(timings);
    if weights > 0.0 { sum / weights } else { 0.0 }
}

/// Returns the weighted sum of a worker's slowness logarithms, and the sum of the weights.
fn weighted_sum(timings: &[Timing]) -> (f64, f64) {
    timings.iter().fold((0.0, 0.0), |(sum, weights), t| {
        (sum + t.weight * t.slowness, weights + t.weight)
    })
}
