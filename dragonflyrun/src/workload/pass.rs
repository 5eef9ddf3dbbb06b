//! One scheduling pass over all waiting demands: which tasks start on which workers, and which runs
//! are evicted to make room.

use std::collections::BTreeMap;

use crate::{
    utils::{HashMap, HashSet, Name},
    workload::{
        Contact,
        Demand,
        Fleet,
        FleetWorker,
        Resources,
        Room,
        RunId,
        RunTimes,
        Step,
        WaitReason,
        Waiting,
        WorkerRun,
        live::LiveJob,
        load::PeakLoad,
        overdue::is_overdue,
        planner::View,
        recent_failures::RecentFailures,
        schedule::{self, Horizon, Victim}, //
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

/// Blocked demands for which one pass holds room. Each hold delays smaller work.
const MAX_HOLDS_PER_PASS: u32 = 3;

/// Milliseconds from the order to stop a run until its room is known to be free.
const EXPECTED_STOP_MS: u64 = 250;

/// Minimum remaining time in milliseconds that is assumed for a run, also past its expected end.
const MIN_REMAINING_MS: u64 = 500;

/// A demand and the workers that were found for it.
pub(super) struct Placed {
    pub(super) job: Name,
    pub(super) occurrence: u32,
    pub(super) step: u32,
    pub(super) gang: bool,
    pub(super) needs: Resources,
    /// The indexes of the tasks in the step, each with its worker.
    pub(super) members: Vec<(u32, Name)>,
}

/// The decisions of a pass.
#[derive(Default)]
pub(super) struct PassOutcome {
    pub(super) starts: Vec<Placed>,
    pub(super) evictions: Vec<(Name, RunId)>,
    /// Workers whose agents follow seldom and on which something will start once they report.
    pub(super) asked: Vec<Name>,
    /// Why each waiting job waits, by the first of its demands that was not served.
    pub(super) waiting: HashMap<Name, Waiting>,
}

/// What the planner has learned about workers and load.
pub(super) struct Observations<'a> {
    pub(super) times: &'a RunTimes,
    pub(super) peaks: &'a PeakLoad,
    pub(super) failures: &'a RecentFailures,
}

/// The room of all workers. A pass subtracts from it what it assigns.
pub(super) struct Pass<'a> {
    fleet: &'a Fleet,
    rooms: Vec<Room>,
    /// Runs that may be evicted. A victim that this pass has already chosen has no parts left.
    victims: Vec<Victim>,
    counts: HashMap<(Name, u32, u32), HashMap<Name, u32>>,
    holds: u32,
    idle: bool,
    some_follow_seldom: bool,
    outcome: PassOutcome,
}

/// The result of serving one demand.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ServeResult {
    Started,
    WorkersAsked,
    RoomBeingMade,
    RoomHeld,
    NoRoom,
}

impl<'a> Pass<'a> {
    /// Returns a pass over the current state of the workers. `guaranteed` lists the jobs that fit
    /// into the guarantees of their workspaces.
    pub(super) fn new(
        fleet: &'a Fleet,
        jobs: &BTreeMap<Name, LiveJob>,
        guaranteed: &HashSet<Name>,
        learned: &Observations<'_>,
        view: &View<'_>,
    ) -> Self {
        let mut rooms = rooms(fleet, jobs, learned, view);
        let idle = is_idle(&rooms);
        reserve_workers(&mut rooms, learned.peaks);
        set_open_to_all(&mut rooms, idle);
        let victims = victims(fleet, jobs, guaranteed, learned.times, view, &rooms);
        let some_follow_seldom = rooms.iter().any(Room::must_be_asked);
        Self {
            fleet,
            rooms,
            victims,
            counts: HashMap::default(),
            holds: 0,
            idle,
            some_follow_seldom,
            outcome: PassOutcome::default(),
        }
    }

    /// Returns whether a demand could start now on healthy workers.
    pub(super) fn has_healthy_room(&mut self, demand: &Demand<'_>) -> bool {
        self.healthy_room(demand).is_some()
    }

    /// Takes room on healthy workers on which a demand could start now, so that nothing else in
    /// this pass is given the same room. Returns whether there was such room.
    pub(super) fn take_healthy_room(&mut self, demand: &Demand<'_>) -> bool {
        let found = self.healthy_room(demand);
        if let Some(found) = &found {
            self.take(demand, found);
        }
        found.is_some()
    }

    fn healthy_room(&mut self, demand: &Demand<'_>) -> Option<Vec<usize>> {
        let placed = self.count(demand);
        let found = schedule::place(demand, &self.rooms, Horizon::OnceAsked, &placed);
        let healthy = |i: &usize| {
            let room = &self.rooms[*i];
            room.fault_count == 0 && !demand.avoid.contains(&room.worker)
        };
        found.filter(|found| found.iter().all(healthy))
    }

    /// Returns the workers that were asked for since the demands were served.
    pub(super) fn take_asked(&mut self) -> Vec<Name> {
        std::mem::take(&mut self.outcome.asked)
    }

    /// Returns the room of all workers.
    pub(super) fn rooms(&self) -> &[Room] {
        &self.rooms
    }

    /// Returns the running and waiting work by priority, as shares of the pool's capacity.
    pub(super) fn load(
        &self,
        jobs: &BTreeMap<Name, LiveJob>,
        waiting: &[Demand<'_>],
    ) -> BTreeMap<u32, f64> {
        let all = sum(&self.rooms, |r| r.capacity);
        let mut load: BTreeMap<u32, f64> = BTreeMap::new();
        for demand in waiting {
            let tasks = demand.indexes.len() as f64;
            *load.entry(demand.priority).or_default() += demand.shape.needs.share_of(&all) * tasks;
        }
        for (_, worker) in self.fleet.workers() {
            for (run, state) in worker.runs.iter().filter(|(_, state)| !state.stopping) {
                if let Some(live) = jobs.get(&run.task.job) {
                    let share = state.needs.share_of(&all);
                    *load.entry(live.job.priority).or_default() += share;
                }
            }
        }
        load
    }

    /// Returns whether less than half of the pool is in use.
    pub(super) fn is_idle(&self) -> bool {
        self.idle
    }

    /// Serves the demands in the given order.
    pub(super) fn run(&mut self, demands: &[Demand<'_>]) -> PassOutcome {
        for (before, demand) in demands.iter().enumerate() {
            let served = self.serve(demand);
            // A job with many tasks can have many blocked demands; only the first one is reported.
            if served == ServeResult::Started || self.outcome.waiting.contains_key(&demand.job) {
                continue;
            }
            let waiting = demand.waiting(before, self.reason(demand, served));
            self.outcome.waiting.insert(demand.job.clone(), waiting);
        }
        std::mem::take(&mut self.outcome)
    }

    /// Starts a demand, or else makes or holds room for it.
    fn serve(&mut self, demand: &Demand<'_>) -> ServeResult {
        let placed = self.count(demand);
        if let Some(result) = self.start_now(demand, &placed) {
            return result;
        }
        if self.make_room(demand, &placed) {
            return ServeResult::RoomBeingMade;
        }
        if demand.guaranteed {
            // A guarantee also holds when no single rack can be cleared for the demand.
            let far = Demand {
                far_allowed: true,
                ..demand.clone()
            };
            if let Some(result) = self.start_now(&far, &placed) {
                return result;
            }
            if self.make_room(&far, &placed) {
                return ServeResult::RoomBeingMade;
            }
        }
        let large = demand.shape.gang || self.is_large(demand);
        if large
            && self.holds < MAX_HOLDS_PER_PASS
            && schedule::hold(demand, &mut self.rooms, &placed)
        {
            self.holds += 1;
            return ServeResult::RoomHeld;
        }
        ServeResult::NoRoom
    }

    /// Returns why a demand that was not started waits.
    fn reason(&self, demand: &Demand<'_>, served: ServeResult) -> WaitReason {
        match served {
            ServeResult::WorkersAsked => return WaitReason::WorkersAsked,
            ServeResult::RoomBeingMade => return WaitReason::RoomBeingMade,
            ServeResult::RoomHeld => return WaitReason::RoomHeld,
            ServeResult::Started | ServeResult::NoRoom => {}
        }
        let suitable = self.rooms.iter();
        let suitable = suitable.filter(|r| schedule::is_suitable(demand, r));
        let suitable: Vec<&Room> = suitable.collect();
        if suitable.is_empty() {
            return WaitReason::NoSuitableWorker;
        }
        let with_room = suitable.iter().filter(|r| r.free.fits(&demand.shape.needs));
        WaitReason::NoRoom {
            suitable: suitable.len(),
            with_room: with_room.count(),
        }
    }

    /// Starts the demand if it has room now. If it has only together with workers whose agents follow
    /// seldom, these are asked and the room is kept for the demand in this pass. Meanwhile it still
    /// starts elsewhere if it can: after a loss of power none of those that are asked is left.
    fn start_now(
        &mut self,
        demand: &Demand<'_>,
        placed: &HashMap<Name, u32>,
    ) -> Option<ServeResult> {
        if let Some(found) = schedule::place(demand, &self.rooms, Horizon::Now, placed) {
            self.start(demand, &found);
            return Some(ServeResult::Started);
        }
        if !self.some_follow_seldom {
            return None;
        }
        let found = schedule::place(demand, &self.rooms, Horizon::OnceAsked, placed)?;
        self.take(demand, &found);
        Some(ServeResult::WorkersAsked)
    }

    /// Returns whether the demand has been given room that will be free soon. The room comes from
    /// runs that are being stopped or, without a guarantee, from runs that are about to end. Where
    /// neither is enough, this orders evictions.
    fn make_room(&mut self, demand: &Demand<'_>, placed: &HashMap<Name, u32>) -> bool {
        if !may_evict(demand) {
            return false;
        }
        if let Some(found) = schedule::place(demand, &self.rooms, Horizon::AfterStops, placed) {
            self.take(demand, &found);
            return true;
        }
        if !demand.guaranteed && self.wait_for_run_ends(demand, placed) {
            return true;
        }
        let max_cost = max_cost(demand);
        let found = schedule::evict(demand, &self.rooms, &self.victims, placed, max_cost);
        let Some(found) = found else {
            return false;
        };
        log::info!(
            job:% = demand.job, step = demand.step, guaranteed = demand.guaranteed,
            victims = found.victims.len(), lost_core_s = found.cost, most_core_s = max_cost,
            slack_ms = demand.slack_ms;
            "room_made"
        );
        for v in found.victims {
            schedule::return_room(&mut self.rooms, &self.victims[v]);
            let parts = std::mem::take(&mut self.victims[v].parts);
            let runs = parts
                .iter()
                .map(|(i, run, _)| (self.rooms[*i].worker.clone(), run.clone()));
            self.outcome.evictions.extend(runs);
        }
        self.take(demand, &found.rooms);
        true
    }

    /// Returns whether runs that are expected to end free the room as soon as an eviction would.
    /// Not used for guaranteed demands: a guarantee must not depend on expected run times.
    fn wait_for_run_ends(&mut self, demand: &Demand<'_>, placed: &HashMap<Name, u32>) -> bool {
        let found = schedule::place(demand, &self.rooms, Horizon::At(EXPECTED_STOP_MS), placed);
        if let Some(found) = &found {
            self.take(demand, found);
        }
        found.is_some()
    }

    fn start(&mut self, demand: &Demand<'_>, found: &[usize]) {
        self.take(demand, found);
        if self.idle && !is_idle(&self.rooms) {
            // Otherwise a burst of small tasks would fill an idle pool in one pass.
            self.idle = false;
            set_open_to_all(&mut self.rooms, false);
        }
        let workers = found.iter().map(|i| self.rooms[*i].worker.clone());
        let members: Vec<(u32, Name)> = demand.indexes.iter().copied().zip(workers).collect();
        if demand.shape.per_worker > 0 {
            let key = (demand.job.clone(), demand.occurrence, demand.step);
            let counts = self.counts.entry(key).or_default();
            for (_, worker) in &members {
                *counts.entry(worker.clone()).or_default() += 1;
            }
        }
        self.outcome.starts.push(Placed {
            job: demand.job.clone(),
            occurrence: demand.occurrence,
            step: demand.step,
            gang: demand.shape.gang,
            needs: demand.shape.needs,
            members,
        });
    }

    fn take(&mut self, demand: &Demand<'_>, found: &[usize]) {
        for i in found {
            let room = &mut self.rooms[*i];
            room.take(&demand.shape.needs, demand.estimate_ms);
            if room.contact == Contact::Seldom {
                self.outcome.asked.push(room.worker.clone());
            }
        }
    }

    /// Counts the tasks of the demand's step on each worker, including those that this pass starts.
    fn count(&mut self, demand: &Demand<'_>) -> HashMap<Name, u32> {
        if demand.shape.per_worker == 0 {
            return HashMap::default();
        }
        let key = (demand.job.clone(), demand.occurrence, demand.step);
        let fleet = self.fleet;
        let counted = self.counts.entry(key);
        let count = || fleet.count_step(&demand.job, demand.occurrence, demand.step);
        counted.or_insert_with(count).clone()
    }

    /// Returns whether no suitable worker is large enough for two tasks of the demand.
    fn is_large(&self, demand: &Demand<'_>) -> bool {
        let needs = &demand.shape.needs;
        let twice = needs.plus(needs);
        let mut suitable = self
            .rooms
            .iter()
            .filter(|r| schedule::is_suitable(demand, r));
        suitable.all(|r| !r.capacity.fits(&twice))
    }
}

/// Returns whether other runs may be stopped for a demand. That holds for guaranteed demands, for
/// urgent work that would still be useful, and for a gang whose job has been starved. A steady
/// stream of small tasks would otherwise keep such a gang from ever finding whole workers next to
/// each other.
fn may_evict(demand: &Demand<'_>) -> bool {
    let in_time = demand.priority == 0 && demand.still_useful;
    let starved = demand.shape.gang && demand.is_starved;
    demand.guaranteed || in_time || starved
}

/// Returns the core-seconds of work that may be discarded for a demand.
fn max_cost(demand: &Demand<'_>) -> f64 {
    if demand.guaranteed {
        return f64::INFINITY;
    }
    let tasks = demand.indexes.len() as f64;
    let seconds = demand.estimate_ms as f64 / 1_000.0;
    demand.shape.needs.core_equivalents() * tasks * seconds * MAX_EVICTION_COST_RATIO
}

fn rooms(
    fleet: &Fleet,
    jobs: &BTreeMap<Name, LiveJob>,
    learned: &Observations<'_>,
    view: &View<'_>,
) -> Vec<Room> {
    let times = learned.times;
    let failing_since = learned.failures.failing_since();
    let usable = fleet
        .workers()
        .filter(|(_, w)| w.accepts_tasks() && w.quarantined_until <= view.now)
        .filter(|(_, w)| !w.contact.is_overdue(view.now, view.store_delay));
    let rooms = usable.filter_map(|(name, worker)| {
        let heartbeat = &worker.report.as_ref()?.heartbeat;
        if view.evacuated.contains(&heartbeat.failure_domain) {
            return None;
        }
        let free = heartbeat.capacity.minus(&worker.used());
        let mut releases = Vec::new();
        let mut overdue = false;
        for (run, state) in &worker.runs {
            let slowness = times.slowness(name).max(times.speeds().slowness(name));
            let expected = expected_ms(jobs, times, run) as f64 * slowness.max(1.0);
            let elapsed = elapsed_ms(state, view) as f64;
            overdue |= is_overdue(expected, elapsed);
            let left = match measured_remaining_ms(state, view) {
                _ if state.stopping => EXPECTED_STOP_MS,
                Some(left_ms) => left_ms,
                None => ((expected - elapsed).max(0.0) as u64).max(MIN_REMAINING_MS),
            };
            releases.push((left, state.needs));
        }
        Some(Room {
            worker: name.clone(),
            service: heartbeat.service.clone(),
            labels: heartbeat.labels.clone(),
            rack: heartbeat.rack.clone(),
            free,
            after_stops: free.plus(&worker.stopping()),
            capacity: heartbeat.capacity,
            releases,
            hold: None,
            reserved_against: u32::MAX,
            open_to_all: true,
            has_serving_tasks: runs_step_where(jobs, worker, |s| s.response_ms > 0),
            has_leftover_tasks: runs_step_where(jobs, worker, |s| s.leftovers),
            fault_count: worker.failures + u32::from(overdue),
            proven: failing_since.is_none_or(|since| worker.last_good_start >= Some(since)),
            slowness_step: schedule::slowness_step(times, name),
            contact: worker.contact,
        })
    });
    rooms.collect()
}

fn is_idle(rooms: &[Room]) -> bool {
    let all = sum(rooms, |r| r.capacity);
    let used = all.minus(&sum(rooms, |r| r.free));
    used.share_of(&all) < 0.5
}

fn sum(rooms: &[Room], of: fn(&Room) -> Resources) -> Resources {
    rooms
        .iter()
        .fold(Resources::default(), |sum, room| sum.plus(&of(room)))
}

/// Reserves shares of the workers for more urgent work. The reserved workers are always the same
/// ones, rack by rack, so that they run empty and gangs find whole workers next to each other;
/// small tasks spread over all workers would have to be evicted for each gang. The racks with the
/// fewest slow workers come first, as urgent work has the least time to lose.
fn reserve_workers(rooms: &mut [Room], peaks: &PeakLoad) {
    let mut order: Vec<usize> = (0..rooms.len()).collect();
    let mut slow_on: HashMap<Option<Name>, u32> = HashMap::default();
    for room in &*rooms {
        *slow_on.entry(room.rack.clone()).or_default() += room.slowness_step;
    }
    order.sort_by_cached_key(|i| {
        let room = &rooms[*i];
        let slow = slow_on.get(&room.rack).copied();
        (slow, room.rack.clone(), room.worker.clone())
    });
    for (priority, share) in peaks.reserved_shares() {
        let count = (rooms.len() as f64 * share) as usize;
        for i in order.iter().take(count) {
            rooms[*i].reserved_against = priority;
        }
    }
}

/// Sets whether the reserved workers also accept other work. They do while less than half of the
/// pool is in use.
fn set_open_to_all(rooms: &mut [Room], open_to_all: bool) {
    for room in rooms {
        room.open_to_all = open_to_all;
    }
}

/// Returns whether the worker runs a task of a step that matches `predicate`.
fn runs_step_where(
    jobs: &BTreeMap<Name, LiveJob>,
    worker: &FleetWorker,
    predicate: fn(&Step) -> bool,
) -> bool {
    let mut steps = worker.runs.keys().filter_map(|run| {
        let live = jobs.get(&run.task.job)?;
        live.job.request.steps.get(run.task.step as usize)
    });
    steps.any(predicate)
}

pub(super) fn expected_ms(jobs: &BTreeMap<Name, LiveJob>, times: &RunTimes, run: &RunId) -> u64 {
    let live = jobs.get(&run.task.job);
    let step = live.and_then(|l| Some((l, l.job.request.steps.get(run.task.step as usize)?)));
    step.map_or(0, |(l, s)| times.estimate_ms(&l.job.queue, s.estimate_ms))
}

/// Returns the milliseconds that a run is still expected to take.
pub(super) fn expected_remaining_ms(
    jobs: &BTreeMap<Name, LiveJob>,
    times: &RunTimes,
    run: &RunId,
    state: &WorkerRun,
    view: &View<'_>,
) -> u64 {
    if let Some(left_ms) = measured_remaining_ms(state, view) {
        return left_ms;
    }
    let left = expected_ms(jobs, times, run).saturating_sub(elapsed_ms(state, view));
    left.max(MIN_REMAINING_MS)
}

/// Returns the milliseconds that a run still takes according to its reported progress, if that is
/// known. A run that should have ended by now has stopped making progress, and `MIN_REMAINING_MS`
/// is assumed for it.
fn measured_remaining_ms(state: &WorkerRun, view: &View<'_>) -> Option<u64> {
    let left = state.ends_at?.since(view.now).as_millis();
    let left_ms = u64::try_from(left).unwrap_or(u64::MAX);
    Some(if left_ms == 0 {
        MIN_REMAINING_MS
    } else {
        left_ms
    })
}

pub(super) fn elapsed_ms(state: &WorkerRun, view: &View<'_>) -> u64 {
    u64::try_from(view.now.since(state.placed_at).as_millis()).unwrap_or(u64::MAX)
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
fn victims(
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
