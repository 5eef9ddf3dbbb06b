//! Runs that will be late by their own progress and would be in time on faster workers.
//!
//! The load behind this rule is a pool of workers of several speeds whose speeds are learned while
//! work runs on them: a gang that was placed by rough estimates runs at the speed of its slowest
//! worker, and its progress tells within a second that it will be late. Where room on workers that
//! are known to be faster is free now, and the time left covers the stop and the work that has to be
//! done again, the gang begins again there. `docs/design/speed-placement.md` describes the rule.

use std::collections::BTreeMap;

use crate::{
    utils::{HashMap, Name, Timestamp},
    workload::{
        Demand, Fleet, RunId, WorkerRun,
        demands::Demands,
        live::LiveJob,
        pass::Pass,
        relocation::{demand_for_run, runs_of_demand},
        rooms::EXPECTED_STOP_MS,
    },
};

/// Milliseconds until a run that resumes from a checkpoint makes progress, beyond those of any start.
const RESTORE_MS: u64 = 200;

/// A gang or a single task that runs, as far as it matters here.
struct Running<'f> {
    /// One of the runs.
    run: &'f RunId,
    workers: Vec<&'f Name>,
    /// When the last member is expected to end.
    ends_at: Timestamp,
    /// When the oldest of the newest checkpoints was saved; `None` if a member has none.
    saved_at: Option<Timestamp>,
}

/// Returns the runs of gangs and of urgent tasks that will be late and can begin again in time on
/// faster workers.
///
/// Each job is moved only once: if its second run is late as well, its work takes longer than
/// expected, and stopping it again would only lose more.
pub(super) fn runs_to_stop<'a>(
    fleet: &Fleet,
    jobs: &'a BTreeMap<Name, LiveJob>,
    demands: &Demands<'a, '_>,
    pass: &mut Pass<'_>,
) -> Vec<(Name, RunId)> {
    let mut found = Vec::new();
    let mut moved: Option<&Name> = None;
    for running in late_runs(fleet, jobs, demands) {
        let job = &running.run.task.job;
        let live = jobs.get(job).filter(|_| moved != Some(job));
        let Some(demand) = live.and_then(|live| demand_to_move(live, &running, demands)) else {
            continue;
        };
        let slowness = demand.speeds.gang_slowness(running.workers.iter().copied());
        if pass.take_faster_room(&demand, slowness) {
            moved = Some(job);
            found.extend(runs_of_demand(fleet, &demand, running.run));
        }
    }
    found
}

/// Returns the demand for what a run or gang still has to do elsewhere, after it was stopped.
fn demand_to_move<'a>(
    live: &'a LiveJob,
    running: &Running<'_>,
    demands: &Demands<'a, '_>,
) -> Option<Demand<'a>> {
    let mut demand = demand_for_run(live, running.run, demands)?;
    demand.left_ms -= EXPECTED_STOP_MS as i64;
    if let Some(saved_at) = running.saved_at.filter(|_| demand.shape.checkpoints) {
        let slowness = demand.speeds.gang_slowness(running.workers.iter().copied());
        let left_ms = running.ends_at.since(saved_at).as_millis() as f64 / slowness;
        demand.estimate_ms = demand.estimate_ms.min(left_ms as u64 + RESTORE_MS);
    }
    Some(demand)
}

/// Returns the gangs and urgent tasks that are expected to end after the objective of their job, in
/// the order of the jobs' names.
fn late_runs<'f>(
    fleet: &'f Fleet,
    jobs: &BTreeMap<Name, LiveJob>,
    demands: &Demands<'_, '_>,
) -> Vec<Running<'f>> {
    let mut by_demand: HashMap<(&Name, u32, u32, Option<u32>), Option<Running<'f>>> =
        HashMap::default();
    for (worker, known) in fleet.workers() {
        for (run, state) in &known.runs {
            let Some(live) = jobs.get(&run.task.job).filter(|l| !l.moved_faster) else {
                continue;
            };
            let shape = live.job.request.steps.get(run.task.step as usize);
            let Some(shape) = shape.filter(|s| !s.lasting && (s.gang || live.job.priority == 0))
            else {
                continue;
            };
            let task = &run.task;
            let index = (!shape.gang).then_some(task.index);
            let of_demand = by_demand
                .entry((&task.job, task.occurrence, task.step, index))
                .or_insert_with(|| {
                    Some(Running {
                        run,
                        workers: Vec::new(),
                        ends_at: Timestamp::default(),
                        saved_at: Some(demands.view.now),
                    })
                });
            let Some(ends_at) = measured_end(state) else {
                *of_demand = None;
                continue;
            };
            if let Some(running) = of_demand {
                running.workers.push(worker);
                running.ends_at = running.ends_at.max(ends_at);
                let saved_at = Some(state.checkpointed_at).filter(|_| !state.checkpoint.is_empty());
                running.saved_at = running.saved_at.zip(saved_at).map(|(a, b)| a.min(b));
            }
        }
    }
    let is_late = |running: &Running<'_>| {
        let task = &running.run.task;
        jobs.get(&task.job).is_some_and(|live| {
            let objective_ms = live.objective_ms(demands.times, task.occurrence);
            let left_ms = running.ends_at.since(demands.view.now).as_millis() as u64;
            demands.view.unix_ms < objective_ms && demands.view.unix_ms + left_ms > objective_ms
        })
    };
    let mut late: Vec<Running<'f>> = by_demand.into_values().flatten().filter(is_late).collect();
    late.sort_by_key(|running| running.run);
    late
}

/// Returns when a run is expected to end by its progress; `None` if that isn't known or the run is
/// already being stopped.
fn measured_end(state: &WorkerRun) -> Option<Timestamp> {
    state
        .ends_at
        .filter(|_| state.running_since.is_some() && !state.stopping)
}
