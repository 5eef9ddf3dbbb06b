//! Evictions: which running work is stopped to make room for a waiting demand.
//!
//! The load behind these rules is urgent work that arrives at a pool full of less urgent work. An
//! eviction is ordered only where the demand is then in time, and it clears the workers that lose
//! the least work. `docs/design/worthwhile-evictions.md` compares the alternatives.

use std::{cmp::Ordering, collections::BTreeMap};

use crate::{
    utils::{HashMap, HashSet, Name},
    workload::{
        Caution,
        Demand,
        Fleet,
        Resources,
        Room,
        RunId,
        RunTimes,
        WorkerRun,
        failed_starts::FailedStarts,
        live::LiveJob,
        planner::View,
        queues::Queues,
        rooms::{EXPECTED_STOP_MS, elapsed_ms, expected_remaining_ms},
        schedule::{self, Horizon, by_rack, is_suitable, on_rack},
        speeds::SLOWEST_STEP, //
    },
};

/// Limit on what an eviction may lose for a demand without a guarantee, as a multiple of the demand's
/// own work. Above it, more work is lost than is served.
const MAX_EVICTION_COST_RATIO: f64 = 1.0;

/// Weight of the loss of work that is only one priority less urgent than the demand. Its objective is
/// nearly as close, so work with more time is stopped unless that loses far more.
const NEARLY_AS_URGENT_WEIGHT: f64 = 2.0;

/// Cost of making a job useless to its caller, as a multiple of the evicted run's own work: the
/// caller has then waited for nothing.
const USELESS_JOB_COST_RATIO: f64 = 3.0;

/// Milliseconds from the decision to start a run until it works, besides the store's delay: the
/// order reaches the agent in about 50 ms, and the worker starts the task.
const START_DELAY_MS: u64 = 100;

/// Error of estimates, as the logarithm of a ratio, that is assumed for a queue before any is learned.
const UNKNOWN_ESTIMATE_ERROR: f64 = 0.2;

/// Limit on the error of estimates that is taken into account. With a larger one, nothing would
/// count as late.
const MAX_ESTIMATE_ERROR: f64 = 0.7;

/// Seconds for which the resources of a run that can't start again at once are assumed to be without
/// work. Without this cost, stopping a gang that has just saved its state would be as cheap as moving
/// small saved runs, although the gang has to wait for whole workers again.
const QUEUEING_COST_S: f64 = 1.0;

/// Differences in cost below one accelerator-second are within the error of the estimates.
const COST_STEP_CORE_S: f64 = 8.0;

/// Number of stops of a job within its objective after which only a guarantee stops it again.
const MAX_STOPS: u32 = 3;

/// Number of times that a group of workers is searched again without its slowest members.
const MAX_SPEED_LIMITS: usize = 3;

/// Number of groups of workers for which the moves of the victims are planned.
const MAX_GROUPS_WITH_MOVES: usize = 3;

/// Number of victims for which other room is looked for. More would take longer than a pass over 300
/// workers may.
const MAX_MOVES: usize = 64;

/// Runs that are evicted together: a gang or a single task.
#[derive(Clone, Debug)]
pub(super) struct Victim {
    /// The runs, each with the index of its room and the resources that it uses.
    pub parts: Vec<(usize, RunId, Resources)>,
    /// The job's priority.
    pub priority: u32,
    /// Whether the job fits into its workspace's guarantee.
    pub guaranteed: bool,
    /// Number of times that runs of the job were stopped to make room.
    stops: u32,
    /// Whether only a guarantee may stop the job again.
    is_spared: bool,
    /// Whether the runs are a gang.
    gang: bool,
    /// Core-seconds of work that the eviction discards.
    pub(super) unsaved_core_s: f64,
    /// Core-seconds that the job's lateness costs if the runs can start again at once.
    moved_core_s: f64,
    /// The same if they have to wait.
    waiting_core_s: f64,
    /// Core-seconds for which the runs' resources are assumed to be without work if they have to wait.
    queueing_core_s: f64,
    /// The milliseconds until the last of the runs is expected to end.
    ends_in_ms: u64,
    /// The milliseconds that the runs take after a restart, on nominal workers.
    again_ms: u64,
    /// The factor by which the share of the workspace changes the cost.
    pub(super) share_factor: f64,
}

impl Victim {
    /// Returns whether the runs end before a stop would free their room.
    fn is_ending(&self) -> bool {
        self.ends_in_ms <= EXPECTED_STOP_MS
    }

    /// Returns the cost of evicting the runs for a demand of `priority`.
    fn cost(&self, priority: u32, moves: bool) -> Cost {
        let (lateness, waits) = if moves {
            (self.moved_core_s, 0.0)
        } else {
            (self.waiting_core_s, 1.0)
        };
        let stops = f64::from(self.stops);
        let lost_core_s = (self.unsaved_core_s + lateness) * (1.0 + stops);
        let is_nearly_as_urgent = self.priority <= priority + 1;
        let weight = if is_nearly_as_urgent {
            NEARLY_AS_URGENT_WEIGHT
        } else {
            1.0
        };
        Cost {
            urgent: if self.priority == 0 {
                self.parts.len()
            } else {
                0
            },
            lost_core_s,
            weighted_core_s: (lost_core_s + self.queueing_core_s * (waits + stops))
                * weight
                * self.share_factor,
        }
    }
}

/// The cost of an eviction.
#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    /// The number of urgent runs. They are stopped only where nothing else can be.
    urgent: usize,
    /// Core-seconds of discarded work, and of work that becomes late. What a job loses that was
    /// stopped before counts once more for each of those stops.
    lost_core_s: f64,
    /// What decides between evictions: the loss and the time for which the victims wait, weighted by
    /// urgency and by the share of the workspace.
    weighted_core_s: f64,
}

impl Cost {
    fn plus(self, other: Self) -> Self {
        Self {
            urgent: self.urgent + other.urgent,
            lost_core_s: self.lost_core_s + other.lost_core_s,
            weighted_core_s: self.weighted_core_s + other.weighted_core_s,
        }
    }

    fn compare(&self, other: &Self) -> Ordering {
        let steps = |cost: &Self| (cost.weighted_core_s / COST_STEP_CORE_S) as u64;
        self.urgent
            .cmp(&other.urgent)
            .then_with(|| steps(self).cmp(&steps(other)))
    }
}

/// An eviction that makes room for a demand.
#[derive(Clone, Debug)]
pub(super) struct Eviction {
    /// The indexes of the victims.
    pub(super) victims: Vec<usize>,
    /// The index of the room for each task of the demand.
    pub(super) rooms: Vec<usize>,
    /// Free room in which victims start again at once.
    pub(super) moves: Vec<Move>,
    /// The priority of the demand.
    priority: u32,
    /// Milliseconds until the demand is expected to end.
    pub(super) end_in_ms: u64,
    cost: Cost,
}

impl Eviction {
    /// Returns the core-seconds that are lost.
    pub(super) fn core_s(&self) -> f64 {
        self.cost.lost_core_s
    }
}

/// Room that one run of a victim takes elsewhere.
#[derive(Clone, Copy, Debug)]
pub(super) struct Move {
    /// The index of the room.
    pub(super) room: usize,
    /// What the run needs.
    pub(super) needs: Resources,
    /// The milliseconds that it takes there.
    pub(super) for_ms: u64,
}

/// Why no room is made for a demand.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(super) enum NoEviction {
    /// The demand would be late on all workers that can be cleared.
    LateAnyway,
    /// Nothing that may be stopped leaves enough room.
    NothingToStop,
    /// The eviction would lose more than the demand is worth.
    TooCostly,
}

impl NoEviction {
    /// Returns the reason as it appears in the log.
    pub(super) fn label(self) -> &'static str {
        match self {
            Self::LateAnyway => "late_anyway",
            Self::NothingToStop => "nothing_to_stop",
            Self::TooCostly => "too_costly",
        }
    }
}

/// Returns whether room is given to a demand before it is free, or made for it. That holds for
/// guaranteed demands, for urgent work that would still be useful, and for a gang whose job has been
/// starved. A steady stream of small tasks would otherwise keep such a gang from ever finding whole
/// workers next to each other.
pub(super) fn may_claim_room(demand: &Demand<'_>) -> bool {
    (demand.priority == 0 && demand.still_useful) || is_unbounded(demand)
}

/// Returns whether room is made for a demand even if it is late.
fn is_unbounded(demand: &Demand<'_>) -> bool {
    demand.guaranteed || (demand.shape.gang && demand.is_starved)
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

/// Returns the milliseconds from now until a demand starts in room that is made for it. A demand that
/// resumes also has to be restored, but its estimate includes the work that it has saved.
fn start_ms(view: &View<'_>) -> u64 {
    let store_ms = u64::try_from(view.store_delay.as_millis()).unwrap_or(u64::MAX);
    EXPECTED_STOP_MS + START_DELAY_MS + store_ms
}

/// The state from which victims and evictions are computed.
#[derive(Clone, Copy)]
pub(super) struct Sources<'a> {
    pub(super) fleet: &'a Fleet,
    pub(super) jobs: &'a BTreeMap<Name, LiveJob>,
    pub(super) times: &'a RunTimes,
    pub(super) queues: &'a Queues<'a>,
    pub(super) failed_starts: &'a FailedStarts,
    pub(super) view: View<'a>,
}

impl<'a> Sources<'a> {
    /// Returns the slowness of each room's worker; 1 for workers without any evidence.
    pub(super) fn slowness(&self, rooms: &[Room]) -> Vec<f64> {
        let speeds = self.times.speeds();
        let of_room = |room: &Room| {
            if speeds.is_known(&room.worker) {
                speeds.slowness(&room.worker)
            } else {
                1.0
            }
        };
        rooms.iter().map(of_room).collect()
    }

    /// Returns the slowness of a gang, for which workers without any evidence count as nominal: in a
    /// pool of which nothing is known, the slowest of many workers is expected to be slow, and no gang
    /// would be in time.
    fn gang_slowness(&self, rooms: &[Room], members: &[usize]) -> f64 {
        let speeds = self.times.speeds();
        let mut workers: Vec<&Name> = members.iter().map(|i| &rooms[*i].worker).collect();
        workers.sort_unstable();
        workers.dedup();
        let count = workers.len();
        workers.retain(|w| speeds.is_known(w));
        if workers.is_empty() {
            return 1.0;
        }
        let known = speeds.gang_slowness(workers.iter().copied());
        if workers.len() < count {
            known.max(1.0)
        } else {
            known
        }
    }

    /// Returns the largest slowness of workers on which a demand that starts in `start_ms` is in time.
    ///
    /// The estimate may be too short by its usual error. The objective is a multiple of the true time,
    /// so a task that takes longer than estimated has more time than it seems.
    fn max_slowness(&self, demand: &Demand<'_>, start_ms: u64) -> f64 {
        let Some(live) = self.jobs.get(&demand.job) else {
            return 0.0;
        };
        let error = self.times.estimate_error(&live.job.queue);
        let error = error.unwrap_or(UNKNOWN_ESTIMATE_ERROR);
        let longer = error.min(MAX_ESTIMATE_ERROR).exp();
        let estimate_ms = demand.estimate_ms.max(1) as f64;
        let left_ms = demand.slack_ms as f64 + estimate_ms - start_ms as f64;
        let added_ms = live.job.stretch * estimate_ms * (longer - 1.0);
        (left_ms + added_ms) / (estimate_ms * longer)
    }

    /// Returns the runs that may be evicted, with the cost of each eviction.
    pub(super) fn victims(&self, guaranteed: &HashSet<Name>, rooms: &[Room]) -> Vec<Victim> {
        let mut parts_by_key: BTreeMap<VictimKey<'_>, Vec<VictimPart<'_>>> = BTreeMap::new();
        for (i, room) in rooms.iter().enumerate() {
            let runs = self.fleet.get(&room.worker).into_iter();
            for (run, state) in runs.flat_map(|w| &w.runs) {
                let Some(live) = self.jobs.get(&run.task.job) else {
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
                let task = &run.task;
                let key = (&*task.job, task.occurrence, task.step, single_task);
                let part = (i, run, state);
                parts_by_key.entry(key).or_default().push(part);
            }
        }
        let victims = parts_by_key.into_values();
        let victims = victims.filter_map(|parts| self.victim(guaranteed, rooms, &parts));
        victims.collect()
    }

    fn victim(
        &self,
        guaranteed: &HashSet<Name>,
        rooms: &[Room],
        parts: &[VictimPart<'_>],
    ) -> Option<Victim> {
        let (_, first, first_state) = parts.first()?;
        let live = self.jobs.get(&first.task.job)?;
        let view = &self.view;
        let unsaved_s = |state: &WorkerRun| view.now.since(state.checkpointed_at).as_secs_f64();
        let core_equivalents = |state: &WorkerRun| state.needs.core_equivalents();
        let states = || parts.iter().map(|(_, _, state)| *state);
        let left = parts
            .iter()
            .map(|(_, run, state)| expected_remaining_ms(self.jobs, self.times, run, state, view));
        let ends_in_ms = left.max()?;
        let longest_unsaved_s = states().map(unsaved_s).fold(0.0, f64::max);
        let slowness = parts.iter().map(|(i, ..)| &rooms[*i].worker);
        let slowness = slowness.map(|w| self.times.speeds().slowness(w));
        let slowness = slowness.fold(0.0, f64::max).max(f64::MIN_POSITIVE);
        let again_ms = (ends_in_ms as f64 + longest_unsaved_s * 1_000.0) / slowness;
        let objective_ms = live.objective_ms(self.times, first.task.occurrence);
        let restart = Restart {
            objective_ms,
            useful_until_ms: live.useful_until_ms(objective_ms, first.task.occurrence),
            end_ms: view.unix_ms + ends_in_ms,
            again_end_ms: view.unix_ms + start_ms(view) + again_ms as u64,
            waited_ms: view.unix_ms.saturating_sub(
                live.waiting_since_ms(first.task.occurrence) + elapsed_ms(first_state, view),
            ),
        };
        let work = self.work_core_s(live, parts);
        let occupied = states().map(core_equivalents).sum::<f64>();
        Some(Victim {
            priority: live.job.priority,
            guaranteed: guaranteed.contains(&first.task.job),
            stops: live.plan.evictions,
            is_spared: live.plan.evictions >= MAX_STOPS && view.unix_ms <= objective_ms,
            gang: parts.len() > 1 || self.is_gang(live, first),
            unsaved_core_s: states().map(|s| unsaved_s(s) * core_equivalents(s)).sum(),
            moved_core_s: restart.lateness_core_s(work, 0),
            waiting_core_s: restart.lateness_core_s(work, restart.waited_ms),
            queueing_core_s: occupied * QUEUEING_COST_S,
            ends_in_ms,
            again_ms: again_ms as u64,
            share_factor: 1.0,
            parts: parts
                .iter()
                .map(|(i, run, state)| (*i, (*run).clone(), state.needs))
                .collect(),
        })
    }

    fn is_gang(&self, live: &LiveJob, run: &RunId) -> bool {
        let step = live.job.request.steps.get(run.task.step as usize);
        step.is_some_and(|s| s.gang)
    }

    /// Returns the core-seconds of the whole work of some runs.
    fn work_core_s(&self, live: &LiveJob, parts: &[VictimPart<'_>]) -> f64 {
        let of_run = |(_, run, _): &VictimPart<'_>| {
            let task = &run.task;
            let step = live.job.request.steps.get(task.step as usize)?;
            let estimate_ms =
                live.estimate_ms(self.times, task.occurrence, task.step, step, &[task.index]);
            Some(step.needs.core_equivalents() * estimate_ms as f64 / 1_000.0)
        };
        parts.iter().filter_map(of_run).sum()
    }
}

/// The job, occurrence and step of runs that are evicted together, and the task if it runs alone.
type VictimKey<'a> = (&'a str, u32, u32, Option<u32>);

/// A run on the worker of the room with this index.
type VictimPart<'a> = (usize, &'a RunId, &'a WorkerRun);

/// What a restart means to the job of the restarted run. All times are Unix milliseconds.
struct Restart {
    objective_ms: u64,
    useful_until_ms: u64,
    /// The expected end without the restart.
    end_ms: u64,
    /// The expected end after a restart at once.
    again_end_ms: u64,
    /// How long the job has waited for room so far. After a restart it may have to wait as long.
    waited_ms: u64,
}

impl Restart {
    /// Returns the cost in core-seconds of the delay of a restart: the run's own work if the job would
    /// then miss its objective, because a late result is worth less, and `USELESS_JOB_COST_RATIO`
    /// times that if the job would become useless to its caller. Nothing is lost by a delay where the
    /// job is late or useless without it.
    fn lateness_core_s(&self, work_core_s: f64, wait_ms: u64) -> f64 {
        if self.end_ms > self.useful_until_ms {
            0.0
        } else if self.useful_until_ms < self.again_end_ms + wait_ms {
            work_core_s * USELESS_JOB_COST_RATIO
        } else if self.end_ms <= self.objective_ms && self.objective_ms < self.again_end_ms {
            work_core_s
        } else {
            0.0
        }
    }
}

/// Finds the cheapest victims whose eviction makes `demand` fit.
///
/// Unless the demand is guaranteed or a starved gang, only workers on which it is then in time are
/// cleared, at a loss of at most [`max_cost`]. Each task is placed on the worker that can be cleared
/// for it at the least loss. Choosing the cheapest victims of the whole pool instead would stop small
/// tasks everywhere without clearing any worker.
pub(super) fn evict(
    demand: &Demand<'_>,
    rooms: &[Room],
    ending: &[Resources],
    slowness: &[f64],
    victims: &[Victim],
    placed: &HashMap<Name, u32>,
    sources: &Sources<'_>,
) -> Result<Eviction, NoEviction> {
    let start_ms = start_ms(&sources.view);
    let max_slowness = if is_unbounded(demand) {
        f64::INFINITY
    } else {
        sources.max_slowness(demand, start_ms)
    };
    let is_fast_enough = |i: &usize| {
        max_slowness.is_infinite()
            || (slowness[*i] <= max_slowness && rooms[*i].slowness_step < SLOWEST_STEP)
    };
    let suitable = (0..rooms.len()).filter(|i| is_suitable(demand, &rooms[*i]));
    let suitable: Vec<usize> = suitable.collect();
    let in_time: Vec<usize> = suitable.iter().copied().filter(is_fast_enough).collect();
    if in_time.is_empty() && !suitable.is_empty() {
        return Err(NoEviction::LateAnyway);
    }
    let base = SearchBase::new(demand, rooms, ending, slowness, victims, placed);
    let mut is_late = in_time.len() < suitable.len();
    let mut found = Vec::new();
    for group in worker_groups(demand, rooms, &in_time) {
        let mut group = group;
        for _ in 0..MAX_SPEED_LIMITS {
            let mut search = EvictionSearch::new(&base);
            if !search.select_for_group(&group) {
                break;
            }
            let mut eviction = search.eviction;
            let gang_slowness = sources.gang_slowness(rooms, &eviction.rooms);
            if gang_slowness <= max_slowness {
                let run_ms = demand.estimate_ms as f64 * gang_slowness;
                eviction.end_in_ms = start_ms + run_ms as u64;
                found.push(eviction);
                break;
            }
            is_late = true;
            let chosen = eviction.rooms.iter().map(|i| slowness[*i]);
            let slowest = chosen.fold(0.0, f64::max);
            group.retain(|i| slowness[*i] < slowest);
        }
    }
    found.sort_by(compare);
    found.truncate(MAX_GROUPS_WITH_MOVES);
    let mut best: Option<Eviction> = None;
    for mut eviction in found {
        // The costs so far assume that all small victims can start again at once.
        if best
            .as_ref()
            .is_some_and(|b| compare(b, &eviction) != Ordering::Greater)
        {
            break;
        }
        plan_moves(&mut eviction, rooms, victims, sources);
        if best
            .as_ref()
            .is_none_or(|b| compare(&eviction, b) == Ordering::Less)
        {
            best = Some(eviction);
        }
    }
    match best {
        Some(best) if best.cost.lost_core_s <= max_cost(demand) => Ok(best),
        Some(_) => Err(NoEviction::TooCostly),
        None if is_late => Err(NoEviction::LateAnyway),
        None => Err(NoEviction::NothingToStop),
    }
}

/// Compares evictions by cost, and at equal cost by when the demand ends.
fn compare(a: &Eviction, b: &Eviction) -> Ordering {
    let by_end = || a.end_in_ms.cmp(&b.end_in_ms);
    a.cost.compare(&b.cost).then_with(by_end)
}

/// Finds free room on other workers for the victims, and computes the cost again with it.
fn plan_moves(eviction: &mut Eviction, rooms: &[Room], victims: &[Victim], sources: &Sources<'_>) {
    let has_room = |i: &usize| {
        let room = &rooms[*i];
        room.free != Resources::default() && !eviction.rooms.contains(i)
    };
    let others: Vec<usize> = (0..rooms.len()).filter(has_room).collect();
    let mut other_rooms: Vec<Room> = others.iter().map(|i| rooms[*i].clone()).collect();
    let mut cost = Cost::default();
    let mut moves = Vec::new();
    let mut tried = 0;
    // Victims with the same priority and needs as one that found no room won't find any either.
    let mut without_room: Vec<(u32, Resources)> = Vec::new();
    for victim in eviction.victims.iter().map(|v| &victims[*v]) {
        let kind = victim
            .parts
            .first()
            .map(|(.., needs)| (victim.priority, *needs));
        let is_hopeless = kind.is_none_or(|k| without_room.contains(&k));
        let demand = (!is_hopeless && tried < MAX_MOVES)
            .then(|| restart_demand(victim, rooms, sources))
            .flatten();
        let found = demand.as_ref().and_then(|demand| {
            tried += 1;
            schedule::place(demand, &other_rooms, Horizon::Now, &HashMap::default())
        });
        cost = cost.plus(victim.cost(eviction.priority, found.is_some()));
        let (Some(demand), Some(found)) = (demand, found) else {
            without_room.extend(kind.filter(|_| !victim.gang));
            continue;
        };
        for i in found {
            let needs = demand.shape.needs;
            other_rooms[i].take(&needs, victim.again_ms);
            moves.push(Move {
                room: others[i],
                needs,
                for_ms: victim.again_ms,
            });
        }
    }
    eviction.cost = cost;
    eviction.moves = moves;
}

/// Returns the demand for starting a victim's runs again elsewhere. `None` where the advisor has to
/// be asked first.
fn restart_demand<'a>(
    victim: &Victim,
    rooms: &[Room],
    sources: &Sources<'a>,
) -> Option<Demand<'a>> {
    let (i, run, _) = victim.parts.first()?;
    let live = sources.jobs.get(&run.task.job)?;
    let shape = live.job.request.steps.get(run.task.step as usize)?;
    let queue = sources.queues.get(&live.job.queue);
    if queue.is_some_and(|q| q.advice.is_some()) || shape.per_worker > 0 {
        return None;
    }
    let objective_ms = live.objective_ms(sources.times, run.task.occurrence);
    let end_ms = sources.view.unix_ms + victim.again_ms;
    Some(Demand {
        job: run.task.job.clone(),
        occurrence: run.task.occurrence,
        step: run.task.step,
        indexes: victim.parts.iter().map(|(_, r, _)| r.task.index).collect(),
        shape,
        service: rooms[*i].service.clone(),
        workspace: live.job.workspace.clone(),
        priority: victim.priority,
        guaranteed: false,
        exceeds_share: false,
        estimate_ms: victim.again_ms,
        slack_ms: objective_ms as i64 - end_ms as i64,
        objective_ms,
        left_ms: objective_ms as i64 - sources.view.unix_ms as i64,
        still_useful: true,
        avoid: live.failed_on.clone(),
        failed_starts: sources.failed_starts.of_job(&run.task.job),
        only_sound: false,
        far_allowed: false,
        far_factor: 1.0,
        speeds: sources.times.speeds(),
        is_starved: false,
        allowed_workers: None,
        caution: Caution::None,
    })
}

/// Returns the sets of workers that can run all tasks of the demand together. The tasks of a demand
/// that runs well only in one place take several times as long elsewhere, so room is made for them
/// elsewhere only where time is no condition.
fn worker_groups(demand: &Demand<'_>, rooms: &[Room], suitable: &[usize]) -> Vec<Vec<usize>> {
    let near = match &demand.shape.rack {
        Some(rack) => vec![on_rack(rooms, suitable, rack)],
        None if demand.shape.one_rack && demand.indexes.len() > 1 => by_rack(rooms, suitable),
        None => return vec![suitable.to_vec()],
    };
    let anywhere = demand.far_allowed && is_unbounded(demand);
    near.into_iter()
        .chain(anywhere.then(|| suitable.to_vec()))
        .collect()
}

/// What all searches for one demand share.
struct SearchBase<'a> {
    demand: &'a Demand<'a>,
    victims: &'a [Victim],
    slowness: &'a [f64],
    /// The room that will be free on each worker without an eviction.
    after_stops: Vec<Resources>,
    tasks_left: Vec<u32>,
    victims_by_room: Vec<Vec<usize>>,
    /// Kinds of small victims for which some worker has free room, by priority and needs.
    movable: Vec<(u32, Resources, bool)>,
}

impl<'a> SearchBase<'a> {
    fn new(
        demand: &'a Demand<'a>,
        rooms: &[Room],
        ending: &[Resources],
        slowness: &'a [f64],
        victims: &'a [Victim],
        placed: &HashMap<Name, u32>,
    ) -> Self {
        // A guarantee must not depend on expected run times.
        let awaits_ends = !demand.guaranteed;
        let after_stops = rooms.iter().zip(ending).map(|(room, ending)| {
            if awaits_ends {
                room.after_stops.plus(ending)
            } else {
                room.after_stops
            }
        });
        let tasks_left = rooms.iter().map(|r| match demand.shape.per_worker {
            0 => u32::MAX,
            limit => limit.saturating_sub(placed.get(&r.worker).copied().unwrap_or(0)),
        });
        let mut base = Self {
            demand,
            victims,
            slowness,
            after_stops: after_stops.collect(),
            tasks_left: tasks_left.collect(),
            victims_by_room: vec![Vec::new(); rooms.len()],
            movable: Vec::new(),
        };
        for (v, victim) in victims.iter().enumerate() {
            if !must_yield(victim, demand) || (awaits_ends && victim.is_ending()) {
                continue;
            }
            base.add_movable(victim, rooms);
            for (i, ..) in &victim.parts {
                base.victims_by_room[*i].push(v);
            }
        }
        let mut victims_by_room = std::mem::take(&mut base.victims_by_room);
        for room_victims in &mut victims_by_room {
            room_victims.dedup();
            room_victims.sort_by(|a, b| base.cost(*a).compare(&base.cost(*b)));
        }
        base.victims_by_room = victims_by_room;
        base
    }

    fn add_movable(&mut self, victim: &Victim, rooms: &[Room]) {
        let Some((_, _, needs)) = victim.parts.first().filter(|_| !victim.gang) else {
            return;
        };
        let is_kind = |(p, n, _): &(u32, Resources, bool)| *p == victim.priority && n == needs;
        if self.movable.iter().any(is_kind) {
            return;
        }
        let has_room = rooms.iter().any(|r| {
            r.free.fits(needs)
                && !r.must_be_asked()
                && (r.open_to_all || victim.priority < r.reserved_against)
        });
        self.movable.push((victim.priority, *needs, has_room));
    }

    /// Returns the cost of evicting a victim, where small ones start again at once if there is any
    /// room for their kind.
    fn cost(&self, v: usize) -> Cost {
        let victim = &self.victims[v];
        let needs = victim.parts.first().map(|(.., needs)| *needs);
        let moves = !victim.gang
            && self.movable.iter().any(|(priority, of_kind, has_room)| {
                *has_room && *priority == victim.priority && Some(*of_kind) == needs
            });
        victim.cost(self.demand.priority, moves)
    }
}

/// A search for victims that places the tasks of one demand one after the other.
struct EvictionSearch<'a> {
    base: &'a SearchBase<'a>,
    after_stops: Vec<Resources>,
    tasks_left: Vec<u32>,
    is_taken: Vec<bool>,
    eviction: Eviction,
}

impl<'a> EvictionSearch<'a> {
    fn new(base: &'a SearchBase<'a>) -> Self {
        Self {
            base,
            after_stops: base.after_stops.clone(),
            tasks_left: base.tasks_left.clone(),
            is_taken: vec![false; base.victims.len()],
            eviction: Eviction {
                victims: Vec::new(),
                rooms: Vec::new(),
                moves: Vec::new(),
                priority: base.demand.priority,
                end_in_ms: 0,
                cost: Cost::default(),
            },
        }
    }

    /// Selects victims on the workers of `group` for all tasks. Returns whether all tasks fit.
    fn select_for_group(&mut self, group: &[usize]) -> bool {
        for _ in &self.base.demand.indexes {
            let cheapest = group
                .iter()
                .filter(|i| self.tasks_left[**i] > 0)
                .filter_map(|i| self.cost_on(*i).map(|(cost, taken)| (cost, taken, *i)))
                .min_by(|a, b| {
                    let slowness = self.base.slowness;
                    let by_speed = || slowness[a.2].total_cmp(&slowness[b.2]);
                    a.0.compare(&b.0).then_with(by_speed)
                });
            let Some((cost, taken, i)) = cheapest else {
                return false;
            };
            for v in taken {
                self.take(v);
            }
            self.eviction.cost = self.eviction.cost.plus(cost);
            self.eviction.rooms.push(i);
            self.after_stops[i] = self.after_stops[i].minus(&self.base.demand.shape.needs);
            self.tasks_left[i] -= 1;
        }
        true
    }

    /// Returns the cost of making one more task fit on a worker, and the victims.
    fn cost_on(&self, i: usize) -> Option<(Cost, Vec<usize>)> {
        let needs = &self.base.demand.shape.needs;
        let mut after_stops = self.after_stops[i];
        let mut cost = Cost::default();
        let mut taken = Vec::new();
        let room_victims = self.base.victims_by_room[i].iter();
        for v in room_victims.filter(|v| !self.is_taken[**v]) {
            if after_stops.fits(needs) {
                break;
            }
            let parts = self.base.victims[*v]
                .parts
                .iter()
                .filter(|(room, ..)| *room == i);
            after_stops = parts.fold(after_stops, |sum, (_, _, needs)| sum.plus(needs));
            cost = cost.plus(self.base.cost(*v));
            taken.push(*v);
        }
        after_stops.fits(needs).then_some((cost, taken))
    }

    fn take(&mut self, v: usize) {
        for (i, _, needs) in &self.base.victims[v].parts {
            self.after_stops[*i] = self.after_stops[*i].plus(needs);
        }
        self.is_taken[v] = true;
        self.eviction.victims.push(v);
    }
}

/// Returns whether a victim can be evicted for a demand. Less urgent work can be, unless it was
/// stopped too often; for a guaranteed demand, also work of any priority that runs outside its own
/// guarantee.
fn must_yield(victim: &Victim, demand: &Demand<'_>) -> bool {
    if demand.guaranteed {
        return victim.priority > demand.priority || !victim.guaranteed;
    }
    victim.priority > demand.priority && !victim.is_spared
}

/// Returns the room on each worker that runs free which end before a stop would free it.
pub(super) fn ending(rooms: &[Room], victims: &[Victim]) -> Vec<Resources> {
    let mut ending = vec![Resources::default(); rooms.len()];
    let parts = victims.iter().filter(|v| v.is_ending());
    for (i, _, needs) in parts.flat_map(|v| &v.parts) {
        ending[*i] = ending[*i].plus(needs);
    }
    ending
}

/// Returns a victim's resources to the room that is free after the stops.
pub(super) fn return_room(rooms: &mut [Room], victim: &Victim) {
    for (i, _, needs) in &victim.parts {
        rooms[*i].after_stops = rooms[*i].after_stops.plus(needs);
    }
}
