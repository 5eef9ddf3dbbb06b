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
        pass::{Pass, expected_left_ms},
        relocation::{demand_of, runs_of},
    },
};

/// Milliseconds before a worker leaves in which runs are stopped that save their state: the order
/// reaches its agent in some 50 ms, a stop takes up to a second, and its end has to be reported.
const LAST_MOMENT_MS: u64 = 1_000;

/// Returns the runs that are to be stopped on workers that leave.
pub(super) fn to_move(
    fleet: &Fleet,
    jobs: &BTreeMap<Name, LiveJob>,
    demands: &Demands<'_, '_>,
    pass: &mut Pass<'_>,
) -> Vec<(Name, RunId)> {
    let mut found = Vec::new();
    // Steps whose gang moves, or of which one task more finds no room elsewhere.
    let mut settled = HashSet::default();
    for (run, stays_ms) in lost_by_departure(fleet, jobs, demands) {
        let step = (&run.task.job, run.task.occurrence, run.task.step);
        let last_moment = stays_ms <= LAST_MOMENT_MS;
        if settled.contains(&step) && !last_moment {
            continue;
        }
        let live = jobs.get(&run.task.job);
        let Some(demand) = live.and_then(|live| demand_of(live, run, demands)) else {
            continue;
        };
        let saves = demand.shape.checkpoints;
        let moves = (saves && last_moment)
            || ((saves || demand.priority == 0)
                && !settled.contains(&step)
                && pass.reserve(&demand));
        if moves {
            found.extend(runs_of(fleet, &demand, run));
        }
        if demand.shape.gang || !moves {
            settled.insert(step);
        }
    }
    found.sort_unstable();
    found.dedup();
    found
}

/// Returns the runs that are expected to be under way yet when their worker leaves, with the
/// milliseconds until then.
fn lost_by_departure<'f>(
    fleet: &'f Fleet,
    jobs: &BTreeMap<Name, LiveJob>,
    demands: &Demands<'_, '_>,
) -> Vec<(&'f RunId, u64)> {
    let mut found = Vec::new();
    for (_, worker) in fleet.workers() {
        let Some(leaves_at) = worker.leaves_at else {
            continue;
        };
        let stays_ms = leaves_at.since(demands.view.now).as_millis() as u64;
        let under_way = worker.runs.iter().filter(|(_, state)| is_under_way(state));
        let lost = under_way.filter(|(run, state)| {
            expected_left_ms(jobs, demands.times, run, state, demands.view) > stays_ms
        });
        found.extend(lost.map(|(run, _)| (run, stays_ms)));
    }
    found
}

/// Returns whether a run has begun and is not being stopped.
fn is_under_way(state: &WorkerRun) -> bool {
    state.running_since.is_some() && !state.stopping
}
