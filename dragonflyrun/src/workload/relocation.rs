//! Demands for restarting runs elsewhere, and the runs that have to be stopped together.

use crate::{
    utils::Name,
    workload::{Demand, Fleet, RunId, demands::Demands, live::LiveJob},
};

/// Returns the demand for restarting a run, or the gang that it belongs to.
pub(super) fn demand_for_run<'a>(
    live: &'a LiveJob,
    run: &RunId,
    demands: &Demands<'a, '_>,
) -> Option<Demand<'a>> {
    let shape = live.job.request.steps.get(run.task.step as usize)?;
    let indexes = if shape.gang {
        (0..shape.tasks).collect()
    } else {
        vec![run.task.index]
    };
    let task = &run.task;
    let objective_ms = live.objective_ms(demands.times, task.occurrence);
    let step = (task.occurrence, task.step);
    Some(demands.for_tasks(live, step, shape, objective_ms, indexes))
}

/// Returns all current runs that belong to a demand, given one of them.
pub(super) fn runs_of_demand(
    fleet: &Fleet,
    demand: &Demand<'_>,
    run: &RunId,
) -> Vec<(Name, RunId)> {
    let gang = demand.shape.gang;
    let workers = fleet.workers();
    let runs = workers.flat_map(|(name, w)| w.runs.keys().map(move |r| (name, r)));
    let of_demand = runs.filter(|(_, r)| {
        let same_step = r.task.job == run.task.job
            && r.task.occurrence == run.task.occurrence
            && r.task.step == run.task.step;
        *r == run || (gang && same_step)
    });
    of_demand.map(|(w, r)| (w.clone(), r.clone())).collect()
}
