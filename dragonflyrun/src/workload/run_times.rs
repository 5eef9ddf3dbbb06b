//! Task run times, learned from completed tasks.
//!
//! Callers' estimates can be far off, and workers can become degraded. A caller's estimate is used
//! where it has predicted better for its queue than the queue's mean, which replaces it otherwise.

use crate::{
    utils::{HashMap, Name},
    workload::WorkerSpeeds,
};

/// Number of completed tasks of a queue after which the mean may replace callers' estimates.
const MIN_TASKS_FOR_MEAN: u32 = 4;

/// Weight of the newest task in a queue's mean, which makes it average over about ten tasks.
const QUEUE_WEIGHT: f64 = 0.1;

/// Weight of the newest task in a worker's slowness. A degraded worker shows after two tasks.
const WORKER_WEIGHT: f64 = 0.4;

/// Maximum ratio by which a single task's time changes the view of its worker, in either direction.
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
    /// Records that a task of `queue`, estimated by its caller at `caller_estimate_ms`, completed
    /// on `worker` in `took_ms`.
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

    /// Returns the expected milliseconds of a task of `queue` on a healthy worker.
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

    /// Returns the mean milliseconds that tasks of `queue` have taken; `None` if none has completed.
    pub fn mean_ms(&self, queue: &Name) -> Option<f64> {
        self.queues.get(queue).map(|q| q.mean_ms)
    }

    /// Returns the mean error of the estimates of `queue`, as the absolute value of the logarithm of
    /// their ratio to the true time; `None` before enough tasks have completed.
    pub fn estimate_error(&self, queue: &Name) -> Option<f64> {
        let known = self.queues.get(queue)?;
        (known.count >= MIN_TASKS_FOR_MEAN).then(|| known.mean_error.min(known.caller_error))
    }

    /// Returns the learned speeds of workers.
    pub fn speeds(&self) -> &WorkerSpeeds {
        &self.speeds
    }

    /// Returns the learned speeds of workers for updates.
    pub fn speeds_mut(&mut self) -> &mut WorkerSpeeds {
        &mut self.speeds
    }

    /// Returns how many times longer than expected tasks have taken on a worker.
    pub fn slowness(&self, worker: &Name) -> f64 {
        self.workers.get(worker).copied().unwrap_or(1.0)
    }

    /// Removes the data of a worker that is gone.
    pub fn remove_worker(&mut self, worker: &Name) {
        self.workers.remove(worker);
        self.speeds.remove_worker(worker);
    }
}

impl QueueTimes {
    fn learn(&mut self, caller_estimate_ms: u64, took_ms: f64) {
        self.count += 1;
        if self.count == 1 {
            self.mean_ms = took_ms;
        }
        let error = |estimate: f64| (estimate.max(1.0) / took_ms).ln().abs();
        let (by_caller, by_mean) = (error(caller_estimate_ms as f64), error(self.mean_ms));
        let weight = QUEUE_WEIGHT.max(1.0 / f64::from(self.count));
        self.caller_error += (by_caller - self.caller_error) * weight;
        self.mean_error += (by_mean - self.mean_error) * weight;
        self.mean_ms += (took_ms - self.mean_ms) * weight;
    }
}
