//! The state of the workers, for operators.

use serde::{Deserialize, Serialize};

use crate::{
    utils::{Name, Timestamp},
    workload::{Contact, Fleet, FleetWorker, SessionState, WorkerSpeeds},
};

/// Whether and why a worker accepts no tasks.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerState {
    /// The worker accepts tasks.
    Accepting,
    /// The worker accepts tasks once its agent, which reports seldom, has been asked for a report.
    Idle,
    /// The worker finishes its runs and leaves.
    Draining,
    /// The worker gets no tasks for a while because its last runs have failed.
    Quarantined,
    /// The agent reports that the worker doesn't answer.
    Unreachable,
    /// The agent's session is being closed because the agent was silent, or it hasn't reported to
    /// this planner yet.
    Silent,
    /// The worker has left, or its agent's session is closed.
    Gone,
}

/// The state of a worker as the planner sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WorkerStatus {
    /// The name of the worker.
    pub worker: Name,
    /// The service that it belongs to; `None` if it is known only from the plan.
    pub service: Option<Name>,
    /// Its rack.
    pub rack: Option<Name>,
    /// Whether and why it accepts no tasks.
    pub state: WorkerState,
    /// The expected ratio of the time that a task takes on it to the time on a nominal worker.
    pub slowness: f64,
    /// The standard deviation of the logarithm of that ratio.
    pub deviation: f64,
    /// The number of runs that it executes or may execute.
    pub runs: usize,
    /// Its accelerators.
    pub accelerators: u64,
    /// The accelerators that no run occupies.
    pub free_accelerators: u64,
}

/// Returns the state of each worker.
pub(super) fn worker_statuses(
    now: Timestamp,
    fleet: &Fleet,
    speeds: &WorkerSpeeds,
) -> Vec<WorkerStatus> {
    let statuses = fleet.workers().map(|(name, worker)| {
        let heartbeat = worker.report.as_ref().map(|r| &r.heartbeat);
        let capacity = heartbeat.map(|h| h.capacity).unwrap_or_default();
        WorkerStatus {
            worker: name.clone(),
            service: heartbeat.map(|h| h.service.clone()),
            rack: worker.rack().cloned(),
            state: state_of(now, worker),
            slowness: speeds.slowness(name),
            deviation: speeds.deviation(name),
            runs: worker.runs.len(),
            accelerators: capacity.accelerators,
            free_accelerators: capacity.minus(&worker.used()).accelerators,
        }
    });
    statuses.collect()
}

fn state_of(now: Timestamp, worker: &FleetWorker) -> WorkerState {
    let report = worker.report.as_ref();
    if worker.session_state == SessionState::Closed || report.is_some_and(|r| r.closed || r.left) {
        WorkerState::Gone
    } else if report.is_some_and(|r| r.unreachable) {
        WorkerState::Unreachable
    } else if report.is_some_and(|r| r.heartbeat.draining) {
        WorkerState::Draining
    } else if !worker.accepts_tasks() {
        WorkerState::Silent
    } else if worker.quarantined_until > now {
        WorkerState::Quarantined
    } else if worker.contact != Contact::Close {
        WorkerState::Idle
    } else {
        WorkerState::Accepting
    }
}
