//! The data types of leases and of the tasks that run under them.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration, //
};

use dragonflyrun::utils::{HashMap, Name};
use serde::{Deserialize, Serialize};

/// Saved progress of tasks, by job and gang member. The workers of a deployment can share it.
#[derive(Clone, Debug, Default)]
pub struct Checkpoints(Arc<Mutex<HashMap<(Name, u32), Duration>>>);

impl Checkpoints {
    pub(super) fn save(&self, job: &Name, member: u32, done: Duration) {
        let mut saved = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        saved.insert((job.clone(), member), done);
    }

    pub(super) fn load(&self, job: &Name, member: u32) -> Duration {
        let saved = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        saved
            .get(&(job.clone(), member))
            .copied()
            .unwrap_or_default()
    }
}

/// The state of a lease.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseState {
    /// The lease reserves its accelerators, but no task has been started.
    Held,
    /// Its tasks are running.
    Running,
    /// All its tasks finished successfully.
    Finished,
    /// A task failed.
    Failed,
    /// Its tasks were stopped.
    Stopped,
    /// It was not renewed in time, and its tasks were stopped.
    Lapsed,
}

/// The reason why a call on a lease failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseError {
    /// Not enough accelerators are free.
    NotFree,
    /// There is no such lease.
    Unknown,
    /// The lease has lapsed or its tasks have ended.
    Ended,
    /// The lease exists with other accelerators or other tasks.
    Conflict,
}

/// The body of `POST /v1/leases/{lease}/start`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Start {
    /// The job.
    pub job: Name,
    /// The attempt.
    pub attempt: u32,
    /// The number of the gang member.
    pub member: u32,
    /// Number of tasks to start.
    pub tasks: u32,
    /// The program that they run.
    pub program: Name,
    /// Whether to resume from a checkpoint.
    #[serde(default)]
    pub resume: bool,
}

/// A time span in which the tasks of one gang member ran, by the worker's clock.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Interval {
    /// The job.
    pub job: Name,
    /// The attempt.
    pub attempt: u32,
    /// The number of the gang member.
    pub member: u32,
    /// Start of the span in milliseconds of unix time.
    pub started_unix_ms: u64,
    /// End of the span in milliseconds of unix time; none while the tasks run.
    pub stopped_unix_ms: Option<u64>,
    /// The failure domain of the worker.
    pub failure_domain: Name,
}

/// A lease as the worker reports it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseView {
    /// The name of the lease.
    pub lease: Name,
    /// Its state.
    pub state: LeaseState,
    /// Number of accelerators that it reserves.
    pub accelerators: u32,
    /// Milliseconds until it lapses unless it is renewed.
    pub ttl_ms: u64,
    /// Whether its tasks saved a checkpoint when they were stopped.
    pub checkpointed: bool,
    /// The measured usage of its tasks; none before the first measurement.
    pub usage: Option<Usage>,
}

/// The measured usage of tasks.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Run time in milliseconds.
    pub ran_ms: u64,
    /// Age of the measurement in milliseconds.
    pub age_ms: u64,
}

pub(super) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
