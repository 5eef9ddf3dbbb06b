//! Demands: what waits to be started, and in which order.
//!
//! When more work waits than fits, urgent work is served first, then work that can still meet its
//! objective, the earliest objective first. Work that has missed its objective comes last within
//! its priority and uses whatever room is left.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    utils::{HashSet, Name},
    workload::{
        Caution,
        Demand,
        RunTimes,
        Step,
        failed_starts::FailedStarts,
        live::{LiveJob, service_of},
        planner::{PlannerBounds, View},
        queues::Queues, //
    },
};

/// Maximum milliseconds that a task waits for room near its data while workers are idle elsewhere.
/// With a longer wait, callers would see a job make no progress in an idle pool.
const MAX_IDLE_LOCALITY_WAIT_MS: f64 = 2_000.0;

/// Milliseconds after which a job without any run may start its first task or gang on workers
/// reserved for more urgent work. Its callers would otherwise see it wait next to free workers.
const STARVED_AFTER_MS: u64 = 8_000;

/// While workers are faulty, the last attempt of a task starts only on a proven worker, which is one
/// on which a run has succeeded or has lasted a while since workers began to fail. The attempt waits
/// for such a worker until the job's total time to its objective, divided by this number, has passed
/// since the previous failure; after that it only prefers proven workers.
const PROVEN_WORKER_WAIT_DIVISOR: u64 = 3;

/// Builds the demands of one pass.
pub(super) struct Demands<'a, 'v> {
    pub(super) bounds: &'a PlannerBounds,
    pub(super) view: &'a View<'v>,
    /// The queues of the configuration in force.
    pub(super) queues: &'a Queues<'v>,
    pub(super) times: &'a RunTimes,
    pub(super) failed_starts: &'a FailedStarts,
    /// The jobs that fit into the guarantees of their workspaces.
    pub(super) guaranteed: &'a HashSet<Name>,
    /// Whether less than half of the pool is in use.
    pub(super) idle: bool,
    /// How much slower than nominal the workers typically are that suit the work of each priority.
    pub(super) typical_slowness: &'a BTreeMap<u32, f64>,
    /// Whether several workers fail every run that they start.
    pub(super) workers_faulty: bool,
}

impl<'a> Demands<'a, '_> {
    /// Returns the waiting demands in the order in which they should be served.
    pub(super) fn all(&self, jobs: &'a BTreeMap<Name, LiveJob>) -> Vec<Demand<'a>> {
        let mut demands = Vec::new();
        for (name, live) in jobs {
            if live.plan.outcome.is_some() || live.cancelled {
                continue;
            }
            for occurrence in 0..live.job.request.repeats() {
                if self.view.unix_ms < live.job.due_ms(occurrence) {
                    break;
                }
                self.add_job(
                    live,
                    occurrence,
                    self.guaranteed.contains(name),
                    &mut demands,
                );
            }
        }
        sort(&mut demands);
        demands
    }

    fn add_job(
        &self,
        live: &'a LiveJob,
        occurrence: u32,
        guaranteed: bool,
        demands: &mut Vec<Demand<'a>>,
    ) {
        let objective_ms = live.objective_ms(self.times, occurrence);
        for (step, shape) in (0_u32..).zip(&live.job.request.steps) {
            let waiting = live.startable_tasks(occurrence, step);
            if waiting.is_empty() {
                continue;
            }
            let begin_ms = live.waiting_since_ms(occurrence);
            let is_starved = !live.plan.has_runs()
                && self.view.unix_ms.saturating_sub(begin_ms) > STARVED_AFTER_MS;
            let caution = |index: u32| self.caution(live, occurrence, step, index);
            if shape.gang {
                demands.push(Demand {
                    guaranteed,
                    caution: caution(0),
                    is_starved,
                    ..self.for_tasks(live, (occurrence, step), shape, objective_ms, waiting)
                });
                continue;
            }
            let first = waiting.first().copied();
            demands.extend(waiting.into_iter().map(|index| Demand {
                guaranteed,
                caution: caution(index),
                is_starved: is_starved && Some(index) == first,
                ..self.for_tasks(live, (occurrence, step), shape, objective_ms, vec![index])
            }));
        }
    }

    /// Returns the demand of some tasks of a step, without a guarantee.
    pub(super) fn for_tasks(
        &self,
        live: &LiveJob,
        (occurrence, step): (u32, u32),
        shape: &'a Step,
        objective_ms: u64,
        indexes: Vec<u32>,
    ) -> Demand<'a> {
        let job = &live.job;
        let estimate_ms = live.estimate_ms(self.times, occurrence, step, shape, &indexes);
        let typical = self.typical_slowness.get(&job.priority).copied();
        let expected_ms = (estimate_ms as f64 * typical.unwrap_or(1.0)) as u64;
        Demand {
            job: job.name.clone(),
            occurrence,
            step,
            indexes,
            shape,
            service: service_of(job, self.queues),
            workspace: job.workspace.clone(),
            priority: job.priority,
            guaranteed: false,
            exceeds_share: false,
            estimate_ms,
            slack_ms: objective_ms as i64 - self.view.unix_ms as i64 - expected_ms as i64,
            objective_ms,
            left_ms: objective_ms as i64 - self.view.unix_ms as i64,
            still_useful: self.view.unix_ms + expected_ms
                < live.useful_until_ms(objective_ms, occurrence),
            avoid: live.failed_on.clone(),
            failed_starts: self.failed_starts.of_job(&job.name),
            only_sound: false,
            far_allowed: self.far_allowed(live.waiting_since_ms(occurrence), estimate_ms),
            far_factor: self.bounds.far_factor.max(1.0),
            speeds: self.times.speeds(),
            is_starved: false,
            allowed_workers: None,
            caution: Caution::None,
        }
    }

    /// Returns how much it matters on which workers a task, or its gang, runs. It matters for the
    /// last attempt, which waits a while after the previous failure if workers are faulty.
    fn caution(&self, live: &LiveJob, occurrence: u32, step: u32, index: u32) -> Caution {
        if !live.is_last_attempt(occurrence, step, index) {
            return Caution::None;
        }
        let failed = live.failed_at.map(|at| self.view.now.since(at));
        let time_ms = live.objective_ms(self.times, occurrence) - live.waiting_since_ms(occurrence);
        let max_wait = Duration::from_millis(time_ms / PROVEN_WORKER_WAIT_DIVISOR);
        if self.workers_faulty && failed.is_some_and(|ago| ago < max_wait) {
            Caution::OnlyProven
        } else {
            Caution::PreferProven
        }
    }

    /// Returns whether a task may run away from its data, or a gang on several racks. Work takes
    /// several times as long there, so it first waits for room nearby for as long as the extra time
    /// would cost.
    fn far_allowed(&self, begin_ms: u64, estimate_ms: u64) -> bool {
        let far_cost_ms = estimate_ms as f64 * (self.bounds.far_factor - 1.0).max(0.0);
        let waited = self.view.unix_ms.saturating_sub(begin_ms) as f64;
        let max_wait = if self.idle {
            far_cost_ms.min(MAX_IDLE_LOCALITY_WAIT_MS)
        } else {
            far_cost_ms
        };
        waited > max_wait
    }
}

/// Sorts demands into the order in which they should be served.
pub(super) fn sort(demands: &mut [Demand<'_>]) {
    demands.sort_by(|a, b| rank(a).cmp(&rank(b)).then_with(|| a.job.cmp(&b.job)));
}

fn rank(demand: &Demand<'_>) -> (u32, bool, bool, bool, u64) {
    let objective_lost = demand.slack_ms < 0;
    (
        demand.priority,
        !demand.guaranteed,
        objective_lost,
        demand.exceeds_share,
        demand.objective_ms,
    )
}
