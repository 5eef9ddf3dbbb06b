//! Evictions: which running work is stopped to make room for a waiting demand.
//!
//! The load behind these rules is urgent work that arrives at a pool full of less urgent work. An
//! eviction clears the workers that lose the least work.

use std::collections::BTreeMap;

use crate::{
    utils::{HashMap, HashSet, Name},
    workload::{
        Demand, Fleet, Resources, Room, RunId, RunTimes, WorkerRun,
        live::LiveJob,
        planner::View,
        rooms::elapsed_ms,
        schedule::{by_rack, is_suitable, on_rack},
    },
};

/// Limit on the work that an eviction may discard for an urgent demand, as a multiple of the
/// demand's own work. Above it, the eviction loses more than the urgent task is worth.
const MAX_EVICTION_COST_RATIO: f64 = 2.0;

/// Cost in core-seconds that is added to the eviction of urgent work. It exceeds what any task has
/// to lose.
const URGENT_EVICTION_COST_CORE_S: f64 = 1e6;

/// Cost of making a job useless to its caller, as a multiple of the evicted run's own work: the
/// caller has then waited for nothing.
const USELESS_JOB_COST_RATIO: f64 = 3.0;

/// Runs that are evicted together: a gang or a single task.
#[derive(Clone, Debug)]
pub(super) struct Victim {
    /// The runs, each with the index of its room and the resources that it uses.
    pub parts: Vec<(usize, RunId, Resources)>,
    /// The job's priority.
    pub priority: u32,
    /// Whether the job fits into its workspace's guarantee.
    pub guaranteed: bool,
    /// Core-seconds that the eviction loses.
    pub cost: f64,
}

/// An eviction that makes room for a demand.
pub(super) struct Eviction {
    /// The indexes of the victims.
    pub(super) victims: Vec<usize>,
    /// The index of the room for each task of the demand.
    pub(super) rooms: Vec<usize>,
    /// Core-seconds that are lost.
    pub(super) cost: f64,
}

/// Returns whether other runs may be stopped for a demand. That holds for guaranteed demands, for
/// urgent work that would still be useful, and for a gang whose job has been starved. A steady
/// stream of small tasks would otherwise keep such a gang from ever finding whole workers next to
/// each other.
pub(super) fn may_evict(demand: &Demand<'_>) -> bool {
    let in_time = demand.priority == 0 && demand.still_useful;
    let starved = demand.shape.gang && demand.is_starved;
    demand.guaranteed || in_time || starved
}

/// Returns the core-seconds of work that may be discarded for a demand.
pub(super) fn max_cost(demand: &Demand<'_>) -> f64 {
    if demand.guaranteed {
        return f64::INFINITY;
    }
    let tasks = demand.indexes.len() as f64;
    let seconds = demand.estimate_ms as f64 / 1_000.0;
    demand.shape.needs.core_equivalents() * tasks * seconds * MAX_EVICTION_COST_RATIO
}

/// Returns the cost in core-seconds of the delay that restarting a run causes to its job: the run's
/// own work if the job would then miss its objective, because a late result is worth less, and
/// `USELESS_JOB_COST_RATIO` times that if the job would become useless to its caller.
fn lateness_cost(
    live: &LiveJob,
    run: &RunId,
    state: &WorkerRun,
    times: &RunTimes,
    view: &View<'_>,
) -> f64 {
    let Some(step) = live.job.request.steps.get(run.task.step as usize) else {
        return 0.0;
    };
    let task = &run.task;
    let estimate_ms = live.estimate_ms(times, task.occurrence, task.step, step, &[task.index]);
    let work = step.needs.core_equivalents() * estimate_ms as f64 / 1_000.0;
    let begin_ms = live.waiting_since_ms(run.task.occurrence);
    let objective_ms = live.objective_ms(times, run.task.occurrence);
    let useless_ms = live.useful_until_ms(objective_ms, run.task.occurrence);
    // The run may have to wait for room again as long as it did before its start.
    let waited_ms = view
        .unix_ms
        .saturating_sub(begin_ms + elapsed_ms(state, view));
    let again_ms = view.unix_ms + estimate_ms;
    if useless_ms < view.unix_ms {
        0.0
    } else if useless_ms < again_ms + waited_ms {
        work * USELESS_JOB_COST_RATIO
    } else if view.unix_ms <= objective_ms && objective_ms < again_ms {
        work
    } else {
        0.0
    }
}

/// Returns the runs that may be evicted, with the cost of each eviction.
pub(super) fn victims(
    fleet: &Fleet,
    jobs: &BTreeMap<Name, LiveJob>,
    guaranteed: &HashSet<Name>,
    times: &RunTimes,
    view: &View<'_>,
    rooms: &[Room],
) -> Vec<Victim> {
    let mut victims_by_key: BTreeMap<(Name, u32, u32, Option<u32>), Victim> = BTreeMap::new();
    for (i, room) in rooms.iter().enumerate() {
        let runs = fleet.get(&room.worker).into_iter().flat_map(|w| &w.runs);
        for (run, state) in runs {
            let Some(live) = jobs.get(&run.task.job) else {
                continue;
            };
            if state.stopping || state.order_offset.is_none() {
                continue;
            }
            let step = live.job.request.steps.get(run.task.step as usize);
            // Lasting tasks serve users continuously, so they are never interrupted for waiting
            // work.
            if step.is_some_and(|s| s.lasting) {
                continue;
            }
            let single_task = step.is_none_or(|s| !s.gang).then_some(run.task.index);
            let key = (
                run.task.job.clone(),
                run.task.occurrence,
                run.task.step,
                single_task,
            );
            let victim = victims_by_key.entry(key).or_insert_with(|| Victim {
                parts: Vec::new(),
                priority: live.job.priority,
                guaranteed: guaranteed.contains(&run.task.job),
                // Urgent work is evicted only where nothing else can be.
                cost: if live.job.priority == 0 {
                    URGENT_EVICTION_COST_CORE_S
                } else {
                    0.0
                },
            });
            let unsaved = view.now.since(state.checkpointed_at).as_secs_f64();
            // The cost rises with each eviction of the job, so that one job isn't stopped over and
            // over while others are spared.
            let eviction_factor = f64::from(live.evictions + 1);
            victim.cost += unsaved * state.needs.core_equivalents() * eviction_factor
                + lateness_cost(live, run, state, times, view);
            victim.parts.push((i, run.clone(), state.needs));
        }
    }
    victims_by_key.into_values().collect()
}

/// Finds the cheapest victims whose eviction makes `demand` fit, with a loss of at most `max_cost`
/// core-seconds.
///
/// Each task is placed on the worker that can be cleared for it at the least loss. Choosing the
/// cheapest victims of the whole pool instead would stop small tasks everywhere without clearing
/// any worker.
pub(super) fn evict(
    demand: &Demand<'_>,
    rooms: &[Room],
    victims: &[Victim],
    placed: &HashMap<Name, u32>,
    max_cost: f64,
) -> Option<Eviction> {
    let suitable = (0..rooms.len()).filter(|i| is_suitable(demand, &rooms[*i]));
    let suitable: Vec<usize> = suitable.collect();
    let worker_groups = worker_groups(demand, rooms, &suitable);
    let found = worker_groups.iter().filter_map(|group| {
        let mut search = EvictionSearch::new(demand, rooms, victims, placed);
        search.select_for_group(group).then_some(search.eviction)
    });
    let cheapest = found.min_by(|a, b| a.cost.total_cmp(&b.cost))?;
    (cheapest.cost <= max_cost).then_some(cheapest)
}

/// Returns the sets of workers that can run all tasks of the demand together.
fn worker_groups(demand: &Demand<'_>, rooms: &[Room], suitable: &[usize]) -> Vec<Vec<usize>> {
    let near = match &demand.shape.rack {
        Some(rack) => vec![on_rack(rooms, suitable, rack)],
        None if demand.shape.one_rack && demand.indexes.len() > 1 => by_rack(rooms, suitable),
        None => Vec::new(),
    };
    let anywhere = near.is_empty() || demand.far_allowed;
    near.into_iter()
        .chain(anywhere.then(|| suitable.to_vec()))
        .collect()
}

/// A search for victims that places the tasks of one demand one after the other.
struct EvictionSearch<'a> {
    demand: &'a Demand<'a>,
    victims: &'a [Victim],
    after_stops: Vec<Resources>,
    tasks_left: Vec<u32>,
    victims_by_room: Vec<Vec<usize>>,
    eviction: Eviction,
}

impl<'a> EvictionSearch<'a> {
    fn new(
        demand: &'a Demand<'a>,
        rooms: &[Room],
        victims: &'a [Victim],
        placed: &HashMap<Name, u32>,
    ) -> Self {
        let mut victims_by_room = vec![Vec::new(); rooms.len()];
        for (v, victim) in victims
            .iter()
            .enumerate()
            .filter(|(_, v)| must_yield(v, demand))
        {
            for (i, ..) in &victim.parts {
                victims_by_room[*i].push(v);
            }
        }
        for room_victims in &mut victims_by_room {
            room_victims.sort_by(|a, b| victims[*a].cost.total_cmp(&victims[*b].cost));
            room_victims.dedup();
        }
        let tasks_left = rooms.iter().map(|r| match demand.shape.per_worker {
            0 => u32::MAX,
            limit => limit.saturating_sub(placed.get(&r.worker).copied().unwrap_or(0)),
        });
        Self {
            demand,
            victims,
            after_stops: rooms.iter().map(|r| r.after_stops).collect(),
            tasks_left: tasks_left.collect(),
            victims_by_room,
            eviction: Eviction {
                victims: Vec::new(),
                rooms: Vec::new(),
                cost: 0.0,
            },
        }
    }

    /// Selects victims on the workers of `group` for all tasks. Returns whether all tasks fit.
    fn select_for_group(&mut self, group: &[usize]) -> bool {
        for _ in &self.demand.indexes {
            let cheapest = group
                .iter()
                .filter(|i| self.tasks_left[**i] > 0)
                .filter_map(|i| self.cost_on(*i).map(|(cost, taken)| (cost, taken, *i)))
                .min_by(|a, b| a.0.total_cmp(&b.0));
            let Some((cost, taken, i)) = cheapest else {
                return false;
            };
            for v in taken {
                self.take(v);
            }
            self.eviction.cost += cost;
            self.eviction.rooms.push(i);
            self.after_stops[i] = self.after_stops[i].minus(&self.demand.shape.needs);
            self.tasks_left[i] -= 1;
        }
        true
    }

    /// Returns the cost of making one more task fit on a worker, and the victims.
    fn cost_on(&self, i: usize) -> Option<(f64, Vec<usize>)> {
        let mut after_stops = self.after_stops[i];
        let mut cost = 0.0;
        let mut taken = Vec::new();
        let open = self.victims_by_room[i]
            .iter()
            .filter(|v| !self.eviction.victims.contains(v));
        for v in open {
            if after_stops.fits(&self.demand.shape.needs) {
                break;
            }
            let parts = self.victims[*v]
                .parts
                .iter()
                .filter(|(room, ..)| *room == i);
            after_stops = parts.fold(after_stops, |sum, (_, _, needs)| sum.plus(needs));
            cost += self.victims[*v].cost;
            taken.push(*v);
        }
        after_stops
            .fits(&self.demand.shape.needs)
            .then_some((cost, taken))
    }

    fn take(&mut self, v: usize) {
        for (i, _, needs) in &self.victims[v].parts {
            self.after_stops[*i] = self.after_stops[*i].plus(needs);
        }
        self.eviction.victims.push(v);
    }
}

/// Returns whether a victim can be evicted for a demand. Less urgent work can be, and for a
/// guaranteed demand also work of any priority that runs outside its own guarantee.
fn must_yield(victim: &Victim, demand: &Demand<'_>) -> bool {
    victim.priority > demand.priority || (demand.guaranteed && !victim.guaranteed)
}

/// Returns a victim's resources to the room that is free after the stops.
pub(super) fn return_room(rooms: &mut [Room], victim: &Victim) {
    for (i, _, needs) in &victim.parts {
        rooms[*i].after_stops = rooms[*i].after_stops.plus(needs);
    }
}
