//! Checks that no job waits while there is room for it twice over.
//!
//! The check looks at the model's workers themselves, not at what a planner believes of them.

use std::collections::{BTreeMap, BTreeSet};

use dragonflyrun::{
    port::EndKind,
    utils::Name,
    workload::{Job, JobPlan, JobRecord, TaskId},
};

use super::{
    World,
    planner::{LEASE_EXPIRY_MS, MAX_PAUSE_MS, MAX_SILENCE_MS},
    store::MAX_LATE_APPEND_MS,
    worker::ACCELERATORS,
};

/// Longest time in milliseconds for which a job may wait next to room for it twice over.
///
/// The longest way to the proof that frees a lost place: a silence of up to twice the limit and, while
/// most agents are silent, a lease more; the expiry of the leases after the fence; and a planner that
/// pauses and whose fence is stored late.
const MAX_WAIT_MS: u64 =
    2 * MAX_SILENCE_MS + 2 * LEASE_EXPIRY_MS + MAX_PAUSE_MS + MAX_LATE_APPEND_MS;

/// Milliseconds between two checks.
const CHECK_INTERVAL_MS: u64 = 100;

/// The jobs that have not ended, and since when each waits next to room for it.
#[derive(Debug, Default)]
pub(crate) struct Waits {
    records_read: usize,
    jobs: BTreeMap<Name, (Box<Job>, JobPlan)>,
    since: BTreeMap<Name, u64>,
    /// The longest wait so far in milliseconds.
    pub(crate) longest_ms: u64,
}

impl Waits {
    /// Returns whether any job waits next to room for it twice over.
    pub(crate) fn is_any_waiting(&self) -> bool {
        !self.since.is_empty()
    }

    /// Reads the records of jobs that have been stored since the last call.
    fn read(&mut self, records: &[JobRecord]) {
        for record in &records[self.records_read..] {
            match record {
                JobRecord::Accepted(job) => {
                    let open = (job.clone(), JobPlan::default());
                    self.jobs.insert(job.name.clone(), open);
                }
                JobRecord::Plan(name, Some(plan)) if plan.outcome.is_none() => {
                    if let Some((_, known)) = self.jobs.get_mut(name) {
                        known.clone_from(plan);
                    }
                }
                JobRecord::Plan(name, _) => {
                    self.jobs.remove(name);
                }
                _ => {}
            }
        }
        self.records_read = records.len();
    }
}

/// Adds a violation for each job that has waited too long.
pub(crate) fn check(world: &mut World) {
    if !world.now.is_multiple_of(CHECK_INTERVAL_MS) {
        return;
    }
    let mut waits = std::mem::take(&mut world.waits);
    waits.read(&world.store.jobs);
    // Without reports a planner learns of no place that becomes free.
    let can_plan = world.can_plan() && !world.outages.are_reports_cut(world.now);
    let waiting: BTreeSet<Name> = match can_plan {
        true => waiting_jobs(world, &waits.jobs),
        false => BTreeSet::new(),
    };
    waits.since.retain(|name, _| waiting.contains(name));
    for name in waiting {
        let since = *waits.since.entry(name.clone()).or_insert(world.now);
        let waited_ms = world.now - since;
        waits.longest_ms = waits.longest_ms.max(waited_ms);
        let passes = MAX_WAIT_MS..MAX_WAIT_MS + CHECK_INTERVAL_MS;
        if passes.contains(&waited_ms) {
            world.violations.push(format!(
                "{} ms: {name} could run since {since} ms and doesn't",
                world.now
            ));
        }
    }
    world.waits = waits;
}

/// Returns the jobs of which nothing runs although a task's turn has come, workers that could run it
/// have room for it twice over, and under half of the pool is in use.
fn waiting_jobs(world: &World, jobs: &BTreeMap<Name, (Box<Job>, JobPlan)>) -> BTreeSet<Name> {
    let up = || world.workers.iter().filter(|w| w.is_up());
    let used: u64 = up().map(|w| w.used()).sum();
    if used * 2 >= up().count() as u64 * ACCELERATORS {
        return BTreeSet::new();
    }
    let usable = (0..world.workers.len()).filter(|i| world.is_usable(*i));
    let free: Vec<u64> = usable
        .map(|i| ACCELERATORS - world.workers[i].used())
        .collect();
    let runs = up().flat_map(|w| w.running.keys());
    let running: BTreeSet<&Name> = runs.map(|run| &run.task.job).collect();
    let ends = up().flat_map(|w| w.ends.iter());
    let ends = ends.filter(|end| end.kind == EndKind::Done);
    let listed_done: BTreeSet<&TaskId> = ends.map(|end| &end.run.task).collect();
    let is_done = |job: &Job, plan: &JobPlan, step: u32, index: u32| {
        let task = TaskId {
            job: job.name.clone(),
            occurrence: 0,
            step,
            index,
        };
        plan.is_done(job.task_numbers(0, step).start + index)
            || world.confirmed_done.contains_key(&task)
            || listed_done.contains(&task)
    };
    let could_run = |job: &Job, plan: &JobPlan| {
        let steps = &job.request.steps;
        let done_tasks = |step: u32| {
            let tasks = steps[step as usize].tasks;
            (0..tasks).filter(|i| is_done(job, plan, step, *i)).count() as u64
        };
        // A gang is done with the first of its members.
        let is_step_done = |step: u32| {
            let shape = &steps[step as usize];
            let done = done_tasks(step);
            done == u64::from(shape.tasks) || (shape.gang && done > 0)
        };
        (0_u32..).zip(steps).any(|(step, shape)| {
            let has_turn = shape.after.iter().all(|s| is_step_done(*s)) && !is_step_done(step);
            let tasks = if shape.gang { shape.tasks } else { 1 };
            let room: u64 = free.iter().map(|f| f / shape.needs.accelerators).sum();
            has_turn && room >= 2 * u64::from(tasks)
        })
    };
    let waiting = jobs
        .iter()
        .filter(|(name, (job, plan))| !running.contains(name) && could_run(job, plan));
    waiting.map(|(name, _)| name.clone()).collect()
}
