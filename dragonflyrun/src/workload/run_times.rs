//! How long tasks take, learned from those that are done.
//!
//! Load pattern answered here: callers' guesses that are far off, and workers that have turned slow.
//! A guess is kept where it has been the better predictor for its queue, and replaced by the
//! queue's mean where not.

use crate::{
    utils::{HashMap, Name},
    workload::WorkerSpeeds,
};

/// Tasks of a queue after which the mean may replace callers' guesses.
const MIN_TASKS_FOR_MEAN: u32 = 4;

/// Weight of the newest task in a queue's mean: some ten tasks are remembered.
const QUEUE_WEIGHT: f64 = 0.1;

/// Weight of the newest task in a worker's slowness: a worker that has turned slow shows after two.
const WORKER_WEIGHT: f64 = 0.4;

/// A single task tells no more than that its worker is so many times slower, or faster.
const MAX_TASK_RATIO: f64 = 8.0;

/// Learned run times.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    queues: HashMap<Name, QueueTimes>,
    workers: HashMap<Name, f64>,
    speeds: WorkerSpeeds,
}

#[derive(Clone, Debug, Default)]
struct QueueTimes {
    count: u32,
    mean_ms: f64,
    caller_error: f64,
    mean_error: f64,
}

impl RunTimes {
    /// Takes note that a task of `queue` that its caller guessed to take `guess_ms` was done on
    /// `worker` in `took_ms`.
    pub fn learn(&mut self, queue: &Name, worker: &Name, caller_estimate_ms: u64, took_ms: f64) {
        let expected = self.estimate_ms(queue, caller_estimate_ms).max(1) as f64;
        let ratio = (took_ms / expected).clamp(1.0 / MAX_TASK_RATIO, MAX_TASK_RATIO);
        let slowness = self.workers.entry(worker.clone()).or_insert(1.0);
        *slowness += (ratio - *slowness) * WORKER_WEIGHT;
        self.queues
            .entry(queue.clone())
            .or_default()
            .learn(caller_estimate_ms, took_ms.max(1.0));
    }

    /// Returns the milliseconds that a task of `queue` takes on a sound worker.
    pub fn estimate_ms(&self, queue: &Name, caller_estimate_ms: u64) -> u64 {
        let known = self
            .queues
            .get(queue)
            .filter(|q| q.count >= MIN_TASKS_FOR_MEAN);
        match known {
            Some(times) if times.mean_error < times.caller_error => times.mean_ms as u64,
            _ => caller_estimate_ms,
        }
    }

    /// Returns the speeds of workers.
    pub fn speeds(&self) -> &WorkerSpeeds {
        &self.speeds
    }

    /// Returns the speeds of workers, to learn.
    pub fn speeds_mut(&mut self) -> &mut WorkerSpeeds {
        &mut self.speeds
    }

    /// Returns how many times longer than expected tasks have taken on a worker.
    pub fn slowness(&self, worker: &Name) -> f64 {
        self.workers.get(worker).copied().unwrap_or(1.0)
    }

    /// Forgets a worker that is gone.
    pub fn forget(&mut self, worker: &Name) {
        self.workers.remove(worker);
        self.speeds.forget(worker);
    }
}

impl QueueTimes {
    fn learn(&mut self, caller_estimate_ms: u64, took_ms: f64) {
        self.count += 1;
        if self.count == 1 {
            self.mean_ms = took_ms;
        }
        let error = |guess: f64| (guess.max(1.0) / took_ms).ln().abs();
        let (by_caller, by_mean) = (error(caller_estimate_ms as f64), error(self.mean_ms));
        let weight = QUEUE_WEIGHT.max(1.0 / f64::from(self.count));
        self.caller_error += (by_caller - self.caller_error) * weight;
        self.mean_error += (by_mean - self.mean_error) * weight;
        self.mean_ms += (took_ms - self.mean_ms) * weight;
    }
}
