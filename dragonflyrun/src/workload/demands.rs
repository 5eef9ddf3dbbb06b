//! What waits to be started, and in which order.
//!
//! Load pattern answered here: more comes than fits. Urgent work goes first, then what can still be
//! in time, the nearest objective first; what has lost its objective comes last of its priority,
//! and still gets whatever room the others leave.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    utils::{HashSet, Name},
    workload::{
        Caution,
        Demand,
        RunTimes,
        Step,
        live::{LiveJob, service_of},
        planner::{PlannerBounds, View},
        queues::Queues, //
    },
};

/// Milliseconds for which a task waits for room near its data while workers are idle elsewhere.
/// Longer, and callers would see a job stand still in an idle pool.
const IDLE_WAIT_MS: f64 = 2_000.0;

/// Milliseconds after which a job of which nothing runs starts its first task, or gang, in room that is
/// kept for more urgent work: its callers would see it stand still beside free workers.
const STANDING_MS: u64 = 8_000;

/// Share of a job's time to its objective for which its last attempt waits, after the failure before it,
/// for workers that have been seen to work.
const CAUTIOUS_SHARE: u64 = 3;

/// Builds the demands of one pass.
pub(super) struct Demands<'a, 'v> {
    pub(super) bounds: &'a PlannerBounds,
    pub(super) view: &'a View<'v>,
    /// The queues that are in force.
    pub(super) queues: &'a Queues<'v>,
    pub(super) times: &'a RunTimes,
    /// The jobs that fit into what their workspaces are guaranteed.
    pub(super) guaranteed: &'a HashSet<Name>,
    /// Whether less than half of the room is in use.
    pub(super) idle: bool,
    /// Whether several workers fail all that they start.
    pub(super) sick_workers: bool,
}

impl Demands<'_, '_> {
    /// Returns what waits, in the order in which it is to be served.
    pub(super) fn all<'j>(&self, jobs: &'j BTreeMap<Name, LiveJob>) -> Vec<Demand<'j>> {
        let mut demands = Vec::new();
        for (name, live) in jobs {
            if live.plan.outcome.is_some() || live.cancelled {
                continue;
            }
            for occurrence in 0..live.job.request.repeats() {
                if self.view.unix_ms < live.job.due_ms(occurrence) {
                    break;
                }
                self.of_job(
                    live,
                    occurrence,
                    self.guaranteed.contains(name),
                    &mut demands,
                );
            }
        }
        demands.sort_by(|a, b| rank(a).cmp(&rank(b)).then_with(|| a.job.cmp(&b.job)));
        demands
    }

    fn of_job<'j>(
        &self,
        live: &'j LiveJob,
        occurrence: u32,
        guaranteed: bool,
        demands: &mut Vec<Demand<'j>>,
    ) {
        let objective_ms = live.objective_ms(self.times, occurrence);
        for (step, shape) in (0_u32..).zip(&live.job.request.steps) {
            let waiting = live.startable_tasks(occurrence, step);
            if waiting.is_empty() {
                continue;
            }
            let begin_ms = live.waiting_since_ms(occurrence);
            let stands_still =
                !live.plan.has_runs() && self.view.unix_ms.saturating_sub(begin_ms) > STANDING_MS;
            let caution = |index: u32| self.caution(live, occurrence, step, index);
            if shape.gang {
                demands.push(Demand {
                    guaranteed,
                    caution: caution(0),
                    stands_still,
                    ..self.of_tasks(live, (occurrence, step), shape, objective_ms, waiting)
                });
                continue;
            }
            let first = waiting.first().copied();
            demands.extend(waiting.into_iter().map(|index| Demand {
                guaranteed,
                caution: caution(index),
                stands_still: stands_still && Some(index) == first,
                ..self.of_tasks(live, (occurrence, step), shape, objective_ms, vec![index])
            }));
        }
    }

    /// Returns a demand of tasks of a step of an occurrence, without a guarantee.
    pub(super) fn of_tasks<'j>(
        &self,
        live: &LiveJob,
        (occurrence, step): (u32, u32),
        shape: &'j Step,
        objective_ms: u64,
        indexes: Vec<u32>,
    ) -> Demand<'j> {
        let job = &live.job;
        let estimate_ms = live.estimate_ms(self.times, occurrence, step, shape, &indexes);
        Demand {
            job: job.name.clone(),
            occurrence,
            step,
            indexes,
            shape,
            service: service_of(job, self.queues),
            priority: job.priority,
            guaranteed: false,
            estimate_ms,
            slack_ms: objective_ms as i64 - self.view.unix_ms as i64 - estimate_ms as i64,
            objective_ms,
            of_use: self.view.unix_ms + estimate_ms
                < live.useful_until_ms(objective_ms, occurrence),
            avoid: live.failed_on.clone(),
            far_allowed: self.far_allowed(live.waiting_since_ms(occurrence), estimate_ms),
            stands_still: false,
            only: None,
            caution: Caution::None,
        }
    }

    /// Returns how much a task, or its gang, cares where it runs: its last attempt does, and waits a
    /// while after the failure before it where workers are sick.
    fn caution(&self, live: &LiveJob, occurrence: u32, step: u32, index: u32) -> Caution {
        if !live.is_last_attempt(occurrence, step, index) {
            return Caution::None;
        }
        let failed = live.failed_at.map(|at| self.view.now.since(at));
        let time_ms = live.objective_ms(self.times, occurrence) - live.waiting_since_ms(occurrence);
        let most = Duration::from_millis(time_ms / CAUTIOUS_SHARE);
        if self.sick_workers && failed.is_some_and(|ago| ago < most) {
            Caution::OnlyProven
        } else {
            Caution::PreferProven
        }
    }

    /// Returns whether a task may run away from its data, or a gang on more than one rack. Work
    /// there takes several times as long, so it waits for room nearby as long as that would cost.
    fn far_allowed(&self, begin_ms: u64, estimate_ms: u64) -> bool {
        let detour = estimate_ms as f64 * (self.bounds.far_factor - 1.0).max(0.0);
        let waited = self.view.unix_ms.saturating_sub(begin_ms) as f64;
        let most = if self.idle {
            detour.min(IDLE_WAIT_MS)
        } else {
            detour
        };
        waited > most
    }
}

fn rank(demand: &Demand<'_>) -> (u32, bool, bool, u64) {
    let lost = demand.slack_ms < 0;
    (
        demand.priority,
        !demand.guaranteed,
        lost,
        demand.objective_ms,
    )
}
