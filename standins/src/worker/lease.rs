//! What is said of leases and of the tasks under them.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration, //
};

use dragonflyrun::utils::{HashMap, Name};
use serde::{Deserialize, Serialize};

/// Progress that tasks have saved, by job and member. Workers of one deployment share it.
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

/// Where a lease is in its life.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseState {
    /// It holds the accelerators, and no task runs.
    Held,
    /// Its tasks run.
    Running,
    /// All its tasks ended well.
    Finished,
    /// A task ended badly.
    Failed,
    /// Its tasks were stopped.
    Stopped,
    /// It was not renewed in time; its tasks were stopped then.
    Lapsed,
}

/// What a call on a lease met.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseError {
    /// The accelerators are not free.
    NotFree,
    /// There is no such lease.
    Unknown,
    /// The lease has lapsed or its tasks have ended.
    Ended,
    /// Other tasks run under it.
    Conflict,
}

/// What `POST /v1/leases/{lease}/start` asks for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Start {
    /// The job.
    pub job: Name,
    /// The attempt.
    pub attempt: u32,
    /// The number of the gang's member.
    pub member: u32,
    /// Tasks to start.
    pub tasks: u32,
    /// What they run.
    pub program: Name,
    /// Whether to go on from a checkpoint.
    #[serde(default)]
    pub resume: bool,
}

/// A time in which the tasks of one member ran together, by the worker's clock.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Interval {
    /// The job.
    pub job: Name,
    /// The attempt.
    pub attempt: u32,
    /// The number of the gang's member.
    pub member: u32,
    /// When they began to run.
    pub started_unix_ms: u64,
    /// When they ceased to run; none while they run.
    pub stopped_unix_ms: Option<u64>,
    /// The failure domain of the worker.
    pub failure_domain: Name,
}

/// A lease as the worker shows it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseView {
    /// Its name.
    pub lease: Name,
    /// Where it is in its life.
    pub state: LeaseState,
    /// Accelerators that it holds.
    pub accelerators: u32,
    /// Milliseconds until it lapses.
    pub ttl_ms: u64,
    /// Whether its tasks saved a checkpoint when they were stopped.
    pub checkpointed: bool,
    /// What its tasks were seen to use; none while nothing was measured.
    pub usage: Option<Usage>,
}

/// What tasks were seen to use.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Milliseconds for which they ran.
    pub ran_ms: u64,
    /// Milliseconds since this was measured.
    pub age_ms: u64,
}

pub(super) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
