//! Runs on workers that have said when they leave.
//!
//! Load pattern answered here: a tenth of the pool is taken away at two seconds' notice, or half of
//! it is replaced worker by worker. Whatever still runs when its worker leaves is lost, and a gang
//! breaks by the loss of one member. A run that saves its state is stopped before that, and urgent
//! work that cannot be done in time begins again at once instead of after the loss.

use std::collections::BTreeMap;

use crate::{
    utils::{HashSet, Name},
    workload::{
        Fleet, RunId, WorkerRun,
        demands::Demands,
        live::LiveJob,
        pass::{Pass, expected_remaining_ms},
        relocation::{demand_for_run, runs_of_demand},
    },
};

/// Milliseconds before a worker leaves in which runs are stopped that save their state: the order
/// reaches its agent in some 50 ms, a stop takes up to a second, and its end has to be reported.
const CHECKPOINT_STOP_LEAD_MS: u64 = 1_000;

/// Returns the runs that are to be stopped on workers that leave.
pub(super) fn runs_to_stop(
    fleet: &Fleet,
    jobs: &BTreeMap<Name, LiveJob>,
    demands: &Demands<'_, '_>,
    pass: &mut Pass<'_>,
) -> Vec<(Name, RunId)> {
    let mut found = Vec::new();
    // Steps whose gang moves, or of which one task more finds no room elsewhere.
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
        let moves = (checkpoints && stop_due)
            || ((checkpoints || demand.priority == 0)
                && !decided_steps.contains(&step)
                && pass.take_healthy_room(&demand));
        if moves {
            found.extend(runs_of_demand(fleet, &demand, run));
        }
        if demand.shape.gang || !moves {
            decided_steps.insert(step);
        }
    }
    found.sort_unstable();
    found.dedup();
    found
}

/// Returns the runs that are expected to be under way yet when their worker leaves, with the
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

/// Returns whether a run has begun and is not being stopped.
fn is_under_way(state: &WorkerRun) -> bool {
    state.running_since.is_some() && !state.stopping
}
