//! Runs that take far longer than expected because their worker hangs or is degraded.
//!
//! Such a worker reports that it is healthy, but its runs don't end. An urgent run is stopped there
//! and restarted on a healthy worker that has room. Otherwise its caller would wait for as long as
//! the fault lasts.

use std::collections::BTreeMap;

use crate::{
    utils::Name,
    workload::{
        Fleet, FleetWorker, RunId,
        demands::Demands,
        live::LiveJob,
        pass::Pass,
        relocation::{demand_for_run, runs_of_demand},
        rooms::{elapsed_ms, expected_ms},
    },
};

/// A run is overdue, and its worker suspect, once it has taken this multiple of its expected time.
const OVERDUE_RATIO: f64 = 3.0;

/// Minimum milliseconds beyond the expected time before a run is overdue, because the times of
/// short tasks vary more.
const MIN_OVERDUE_MS: f64 = 2_000.0;

/// Learned slowness from which on an overdue run is blamed on its worker. Below it, and without a
/// second job that is overdue on the worker, the estimate may be wrong: stopping runs for a single
/// overdue one made 0.18 of the urgent jobs of `tests/loads/cancel.json` late.
const FAULTY_SLOWNESS: f64 = 2.5;

/// Returns whether a run that is expected to take `expected` milliseconds is overdue after
/// `elapsed`.
pub(super) fn is_overdue(expected: f64, elapsed: f64) -> bool {
    elapsed > (expected * OVERDUE_RATIO).max(expected + MIN_OVERDUE_MS)
}

/// Returns the overdue runs of urgent work that could restart at once on healthy workers: whole
/// gangs or single tasks.
///
/// Each task is moved only once. If its second run is overdue too, the task itself is long, and
/// stopping it again would never let it complete.
pub(super) fn runs_to_stop<'a>(
    fleet: &Fleet,
    jobs: &'a BTreeMap<Name, LiveJob>,
    demands: &Demands<'a, '_>,
    pass: &mut Pass<'_>,
) -> Vec<(Name, RunId)> {
    let mut found = Vec::new();
    for (worker, state) in fleet.workers() {
        let overdue = overdue_runs(jobs, demands, state);
        let mut overdue_jobs: Vec<&Name> = overdue.iter().map(|run| &run.task.job).collect();
        overdue_jobs.dedup();
        if overdue_jobs.len() < 2 && demands.times.slowness(worker) < FAULTY_SLOWNESS {
            continue;
        }
        for run in overdue {
            let live = jobs.get(&run.task.job);
            let urgent =
                live.filter(|l| l.job.priority == 0 && !l.overdue_stopped.contains(&run.task));
            let Some(live) = urgent else {
                continue;
            };
            let Some(mut demand) = demand_for_run(live, run, demands) else {
                continue;
            };
            demand.avoid.push(worker.clone());
            if pass.has_healthy_room(&demand) {
                found.extend(runs_of_demand(fleet, &demand, run));
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
    let overdue = under_way.filter(|(run, state)| {
        let expected = expected_ms(jobs, demands.times, run) as f64;
        is_overdue(expected, elapsed_ms(state, demands.view) as f64)
    });
    overdue.map(|(run, _)| run).collect()
}
