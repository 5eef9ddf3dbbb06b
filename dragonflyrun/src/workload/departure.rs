//! Runs on workers that have announced when they leave.
//!
//! A tenth of the pool may be taken away at two seconds' notice, or half of it replaced worker by
//! worker. Whatever still runs when its worker leaves is lost, and losing one member breaks a gang.
//! A run that saves checkpoints is therefore stopped before its worker leaves, and urgent work that
//! can't finish in time restarts at once instead of after the loss.

use std::collections::BTreeMap;

use crate::{
    utils::{HashSet, Name},
    workload::{
        Fleet, RunId, WorkerRun,
        demands::Demands,
        live::LiveJob,
        pass::Pass,
        relocation::{demand_for_run, runs_of_demand},
        rooms::expected_remaining_ms,
    },
};

/// Milliseconds before a worker leaves at which runs that save checkpoints are stopped: the order
/// reaches the agent in about 50 ms, a stop takes up to a second, and its end has to be reported.
const CHECKPOINT_STOP_LEAD_MS: u64 = 1_000;

/// Returns the runs to stop on workers that are about to leave.
pub(super) fn runs_to_stop<'a>(
    fleet: &Fleet,
    jobs: &'a BTreeMap<Name, LiveJob>,
    demands: &Demands<'a, '_>,
    pass: &mut Pass<'_>,
) -> Vec<(Name, RunId)> {
    let mut found = Vec::new();
    // Steps whose gang is moved already, or whose tasks find no more room elsewhere.
    let mut decided_steps = HashSet::default();
    for (run, until_leave_ms) in runs_lost_at_departure(fleet, jobs, demands) {
        let step = (&run.task.job, run.task.occurrence, run.task.step);
        let stop_due = until_leave_ms <= CHECKPOINT_STOP_LEAD_MS;
        if decided_steps.contains(&step) && !stop_due {
            continue;
        }
        let live = jobs.get(&run.task.job);
        let Some(demand) = live.and_then(|live| demand_for_run(live, run, demands)) else {
            continue;
        };
        let checkpoints = demand.shape.checkpoints;
        let should_stop = (checkpoints && stop_due)
            || ((checkpoints || demand.priority == 0)
                && !decided_steps.contains(&step)
                && pass.take_healthy_room(&demand));
        if should_stop {
            found.extend(runs_of_demand(fleet, &demand, run));
        }
        if demand.shape.gang || !should_stop {
            decided_steps.insert(step);
        }
    }
    found.sort_unstable();
    found.dedup();
    found
}

/// Returns the runs that are expected to be still running when their worker leaves, with the
/// milliseconds until then.
fn runs_lost_at_departure<'f>(
    fleet: &'f Fleet,
    jobs: &BTreeMap<Name, LiveJob>,
    demands: &Demands<'_, '_>,
) -> Vec<(&'f RunId, u64)> {
    let mut found = Vec::new();
    for (_, worker) in fleet.workers() {
        let Some(leaves_at) = worker.leaves_at else {
            continue;
        };
        let until_leave_ms = leaves_at.since(demands.view.now).as_millis() as u64;
        let under_way = worker.runs.iter().filter(|(_, state)| is_under_way(state));
        let lost = under_way.filter(|(run, state)| {
            expected_remaining_ms(jobs, demands.times, run, state, demands.view) > until_leave_ms
        });
        found.extend(lost.map(|(run, _)| (run, until_leave_ms)));
    }
    found
}

/// Returns whether a run has started and is not being stopped.
fn is_under_way(state: &WorkerRun) -> bool {
    state.running_since.is_some() && !state.stopping
}
