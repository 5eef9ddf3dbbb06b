//! Runs that take far longer than they should, on workers that stand still or have turned slow.
//!
//! Load pattern answered here: a worker says that it is well, and what runs on it does not come to an
//! end. An urgent run is stopped there and started again on a sound worker that has room; the clerk
//! would otherwise wait for as long as the worker is sick.

use std::collections::BTreeMap;

use crate::{
    utils::Name,
    workload::{
        Fleet, FleetWorker, RunId,
        demands::Demands,
        live::LiveJob,
        pass::{Pass, elapsed_ms, expected_ms},
        relocation::{demand_of, runs_of},
    },
};

/// A run that has taken so many times its expected time is overdue, and its worker doubtful.
const OVERDUE: f64 = 3.0;

/// Milliseconds that a run has to be overdue at the least: short tasks scatter more.
const OVERDUE_MS: f64 = 2_000.0;

/// Learned slowness of a worker from which on a run that is overdue there is its worker's fault. Without
/// that, or a second job that is overdue there too, the guess may have been wrong: stopping on a
/// single late run threw 0.18 of the urgent jobs of `tests/loads/cancel.json` out of their time.
const SLOW: f64 = 2.5;

/// Returns whether a run that is expected to take `expected` milliseconds is overdue after `elapsed`.
pub(super) fn is_overdue(expected: f64, elapsed: f64) -> bool {
    elapsed > (expected * OVERDUE).max(expected + OVERDUE_MS)
}

/// Returns the overdue runs of urgent work that could start at once on sound workers: a whole gang, or
/// a task that stands alone.
///
/// Each task is moved once only: where its second run is overdue as well, it is the task that is
/// long, and stopping it again would never let it come to an end.
pub(super) fn to_move(
    fleet: &Fleet,
    jobs: &BTreeMap<Name, LiveJob>,
    demands: &Demands<'_, '_>,
    pass: &mut Pass<'_>,
) -> Vec<(Name, RunId)> {
    let mut found = Vec::new();
    for (worker, state) in fleet.workers() {
        let late = overdue_runs(jobs, demands, state);
        let mut late_jobs: Vec<&Name> = late.iter().map(|run| &run.task.job).collect();
        late_jobs.dedup();
        if late_jobs.len() < 2 && demands.times.slowness(worker) < SLOW {
            continue;
        }
        for run in late {
            let live = jobs.get(&run.task.job);
            let urgent =
                live.filter(|l| l.job.priority == 0 && !l.overdue_stopped.contains(&run.task));
            let Some(live) = urgent else {
                continue;
            };
            let Some(mut demand) = demand_of(live, run, demands) else {
                continue;
            };
            demand.avoid.push(worker.clone());
            if pass.has_sound_room(&demand) {
                found.extend(runs_of(fleet, &demand, run));
            }
        }
    }
    found.sort_unstable();
    found.dedup();
    found
}

/// Returns the overdue runs on a worker.
fn overdue_runs<'f>(
    jobs: &BTreeMap<Name, LiveJob>,
    demands: &Demands<'_, '_>,
    worker: &'f FleetWorker,
) -> Vec<&'f RunId> {
    let under_way = worker.runs.iter();
    let under_way = under_way.filter(|(_, state)| state.running_since.is_some() && !state.stopping);
    let late = under_way.filter(|(run, state)| {
        let expected = expected_ms(jobs, demands.times, run) as f64;
        is_overdue(expected, elapsed_ms(state, demands.view) as f64)
    });
    late.map(|(run, _)| run).collect()
}
