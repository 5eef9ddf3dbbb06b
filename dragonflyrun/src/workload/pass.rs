//! One pass over all that waits: what starts where, and what is evicted for it.

use std::collections::BTreeMap;

use crate::{
    utils::{HashMap, HashSet, Name},
    workload::{
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
        schedule::{self, Horizon, Victim},
        trust::RecentFailures, //
    },
};

/// An urgent task may cost others so many times its own work in work that is thrown away: above
/// that, more is lost than the urgent task is worth.
const EVICTION_RATIO: f64 = 2.0;

/// Added to the cost of evicting urgent work, in core-seconds: more than any task has to lose.
const URGENT_COST: f64 = 1e6;

/// How many times its own work it costs that a job is of no use: its caller has waited for nothing.
const UNSERVED_COST: f64 = 3.0;

/// Blocked demands for which room is held in one pass: each holds back smaller work.
const MOST_HOLDS: u32 = 3;

/// Milliseconds from the order to stop a run until its room is known to be free.
const STOP_MS: u64 = 250;

/// Milliseconds that a run which is past its expected end is taken to go on.
const PAST_END_MS: u64 = 500;

/// A demand with the workers that were found for it.
pub(super) struct Placed {
    pub(super) job: Name,
    pub(super) occurrence: u32,
    pub(super) step: u32,
    pub(super) gang: bool,
    pub(super) needs: Resources,
    /// The tasks' places in the step, and their workers.
    pub(super) members: Vec<(u32, Name)>,
}

/// What a pass has decided.
#[derive(Default)]
pub(super) struct PassOutcome {
    pub(super) starts: Vec<Placed>,
    pub(super) evictions: Vec<(Name, RunId)>,
    /// What jobs wait for, each by the first of its demands that is not served.
    pub(super) waiting: HashMap<Name, Waiting>,
}

/// What has been learned of workers and load.
pub(super) struct Learned<'a> {
    pub(super) times: &'a RunTimes,
    pub(super) peaks: &'a PeakLoad,
    pub(super) failures: &'a RecentFailures,
}

/// The room of all workers, while a pass takes from it.
pub(super) struct Pass<'a> {
    fleet: &'a Fleet,
    rooms: Vec<Room>,
    /// What may be evicted; one that was taken in this pass has no parts any more.
    victims: Vec<Victim>,
    counts: HashMap<(Name, u32, u32), HashMap<Name, u32>>,
    holds: u32,
    idle: bool,
    outcome: PassOutcome,
}

/// What became of a demand in a pass.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Served {
    Started,
    RoomBeingMade,
    RoomHeld,
    NoRoom,
}

impl<'a> Pass<'a> {
    /// Returns a pass over the workers as they are. `guaranteed` are the jobs that fit into what their
    /// workspaces are guaranteed.
    pub(super) fn new(
        fleet: &'a Fleet,
        jobs: &BTreeMap<Name, LiveJob>,
        guaranteed: &HashSet<Name>,
        learned: &Learned<'_>,
        view: &View<'_>,
    ) -> Self {
        let mut rooms = rooms(fleet, jobs, learned, view);
        let idle = is_idle(&rooms);
        close(&mut rooms, learned.peaks);
        set_open(&mut rooms, idle);
        let victims = victims(fleet, jobs, guaranteed, learned.times, view, &rooms);
        Self {
            fleet,
            rooms,
            victims,
            counts: HashMap::default(),
            holds: 0,
            idle,
            outcome: PassOutcome::default(),
        }
    }

    /// Returns whether a demand could start now on sound workers.
    pub(super) fn has_sound_room(&mut self, demand: &Demand<'_>) -> bool {
        self.sound_room(demand).is_some()
    }

    /// Takes the room on sound workers that a demand could start on now, so that nothing else of this
    /// pass counts on it; returns whether there is such room.
    pub(super) fn reserve(&mut self, demand: &Demand<'_>) -> bool {
        let found = self.sound_room(demand);
        if let Some(found) = &found {
            self.take(demand, found);
        }
        found.is_some()
    }

    fn sound_room(&mut self, demand: &Demand<'_>) -> Option<Vec<usize>> {
        let placed = self.count(demand);
        let found = schedule::place(demand, &self.rooms, Horizon::Now, &placed);
        let sound = |i: &usize| {
            let room = &self.rooms[*i];
            room.doubt == 0 && !demand.avoid.contains(&room.worker)
        };
        found.filter(|found| found.iter().all(sound))
    }

    /// Returns the room of all workers.
    pub(super) fn rooms(&self) -> &[Room] {
        &self.rooms
    }

    /// Returns the work that runs or waits, by its priority, as shares of all room.
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

    /// Returns whether less than half of the room is in use.
    pub(super) fn is_idle(&self) -> bool {
        self.idle
    }

    /// Serves the demands in their order.
    pub(super) fn run(&mut self, demands: &[Demand<'_>]) -> PassOutcome {
        for (before, demand) in demands.iter().enumerate() {
            let served = self.serve(demand);
            // A job waits for what the first of its blocked demands waits for; a job of many tasks
            // has many.
            if served == Served::Started || self.outcome.waiting.contains_key(&demand.job) {
                continue;
            }
            let waiting = demand.waiting(before, self.reason(demand, served));
            self.outcome.waiting.insert(demand.job.clone(), waiting);
        }
        std::mem::take(&mut self.outcome)
    }

    /// Starts a demand, or makes or keeps room for it.
    fn serve(&mut self, demand: &Demand<'_>) -> Served {
        let placed = self.count(demand);
        if self.start_now(demand, &placed) {
            return Served::Started;
        }
        if self.make_room(demand, &placed) {
            return Served::RoomBeingMade;
        }
        if demand.guaranteed {
            // The guarantee holds also where no rack can be cleared for it.
            let far = Demand {
                far_allowed: true,
                ..demand.clone()
            };
            if self.start_now(&far, &placed) {
                return Served::Started;
            }
            if self.make_room(&far, &placed) {
                return Served::RoomBeingMade;
            }
        }
        let large = demand.shape.gang || self.is_large(demand);
        if large && self.holds < MOST_HOLDS && schedule::hold(demand, &mut self.rooms, &placed) {
            self.holds += 1;
            return Served::RoomHeld;
        }
        Served::NoRoom
    }

    /// Returns why a demand that was not started waits.
    fn reason(&self, demand: &Demand<'_>, served: Served) -> WaitReason {
        match served {
            Served::RoomBeingMade => return WaitReason::RoomBeingMade,
            Served::RoomHeld => return WaitReason::RoomHeld,
            Served::Started | Served::NoRoom => {}
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

    fn start_now(&mut self, demand: &Demand<'_>, placed: &HashMap<Name, u32>) -> bool {
        let found = schedule::place(demand, &self.rooms, Horizon::Now, placed);
        if let Some(found) = &found {
            self.start(demand, found);
        }
        found.is_some()
    }

    /// Returns whether the demand waits for room that is being made, after ordering what is missing.
    fn make_room(&mut self, demand: &Demand<'_>, placed: &HashMap<Name, u32>) -> bool {
        if !may_evict(demand) {
            return false;
        }
        if let Some(found) = schedule::place(demand, &self.rooms, Horizon::Soon, placed) {
            self.take(demand, &found);
            return true;
        }
        if !demand.guaranteed && self.wait_for_ends(demand, placed) {
            return true;
        }
        let most = most_cost(demand);
        let found = schedule::evict(demand, &self.rooms, &self.victims, placed, most);
        let Some(found) = found else {
            return false;
        };
        log::info!(
            job:% = demand.job, step = demand.step, guaranteed = demand.guaranteed,
            victims = found.victims.len(), lost_core_s = found.cost, most_core_s = most,
            slack_ms = demand.slack_ms;
            "room_made"
        );
        for v in found.victims {
            schedule::give_back(&mut self.rooms, &self.victims[v]);
            let parts = std::mem::take(&mut self.victims[v].parts);
            let runs = parts
                .iter()
                .map(|(i, run, _)| (self.rooms[*i].worker.clone(), run.clone()));
            self.outcome.evictions.extend(runs);
        }
        self.take(demand, &found.rooms);
        true
    }

    /// Returns whether the room that the demand needs becomes free by itself as soon as others could be
    /// stopped for it. A guarantee doesn't hang on what runs are expected to do.
    fn wait_for_ends(&mut self, demand: &Demand<'_>, placed: &HashMap<Name, u32>) -> bool {
        let found = schedule::place(demand, &self.rooms, Horizon::At(STOP_MS), placed);
        if let Some(found) = &found {
            self.take(demand, found);
        }
        found.is_some()
    }

    fn start(&mut self, demand: &Demand<'_>, found: &[usize]) {
        self.take(demand, found);
        if self.idle && !is_idle(&self.rooms) {
            // A flood of small tasks would otherwise fill an idle pool in one pass.
            self.idle = false;
            set_open(&mut self.rooms, false);
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
            self.rooms[*i].take(&demand.shape.needs, demand.estimate_ms);
        }
    }

    /// Counts the tasks of the demand's step on each worker, with those that this pass starts.
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

    /// Returns whether no worker takes two tasks of the demand.
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

/// Returns whether other work may be stopped for a demand: for urgent work that can be in time, and for a gang
/// of which nothing has run for long. Small tasks would keep such a gang from whole workers side by
/// side for as long as they keep coming.
fn may_evict(demand: &Demand<'_>) -> bool {
    let in_time = demand.priority == 0 && demand.of_use;
    let starves = demand.shape.gang && demand.stands_still;
    demand.guaranteed || in_time || starves
}

/// Returns the core-seconds that may be thrown away for a demand.
fn most_cost(demand: &Demand<'_>) -> f64 {
    if demand.guaranteed {
        return f64::INFINITY;
    }
    let tasks = demand.indexes.len() as f64;
    let seconds = demand.estimate_ms as f64 / 1_000.0;
    demand.shape.needs.core_equivalents() * tasks * seconds * EVICTION_RATIO
}

fn rooms(
    fleet: &Fleet,
    jobs: &BTreeMap<Name, LiveJob>,
    learned: &Learned<'_>,
    view: &View<'_>,
) -> Vec<Room> {
    let times = learned.times;
    let failing_since = learned.failures.since();
    let usable = fleet
        .workers()
        .filter(|(_, w)| w.accepts_tasks() && w.quarantined_until <= view.now);
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
            let left = match measured_left_ms(state, view) {
                _ if state.stopping => STOP_MS,
                Some(left_ms) => left_ms,
                None => ((expected - elapsed).max(0.0) as u64).max(PAST_END_MS),
            };
            releases.push((left, state.needs));
        }
        Some(Room {
            worker: name.clone(),
            service: heartbeat.service.clone(),
            labels: heartbeat.labels.clone(),
            rack: heartbeat.rack.clone(),
            free,
            soon: free.plus(&worker.stopping()),
            capacity: heartbeat.capacity,
            releases,
            hold: None,
            closed_to: u32::MAX,
            is_open: true,
            serves: has_step(jobs, worker, |s| s.response_ms > 0),
            leftovers: has_step(jobs, worker, |s| s.leftovers),
            doubt: worker.failures + u32::from(overdue),
            proven: failing_since.is_none_or(|since| worker.last_good_start >= Some(since)),
            slow: schedule::slowness_step(times, name),
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

/// Closes shares of the workers to less urgent work: always the same ones, rack by rack, so that
/// they run empty and gangs find whole workers side by side. Small tasks spread over all of them
/// would have to be evicted for each. The racks with the fewest slow workers come first, as urgent
/// work has the least time to lose.
fn close(rooms: &mut [Room], peaks: &PeakLoad) {
    let mut order: Vec<usize> = (0..rooms.len()).collect();
    let mut slow_on: HashMap<Option<Name>, u32> = HashMap::default();
    for room in &*rooms {
        *slow_on.entry(room.rack.clone()).or_default() += room.slow;
    }
    order.sort_by_cached_key(|i| {
        let room = &rooms[*i];
        let slow = slow_on.get(&room.rack).copied();
        (slow, room.rack.clone(), room.worker.clone())
    });
    for (priority, share) in peaks.kept() {
        let count = (rooms.len() as f64 * share) as usize;
        for i in order.iter().take(count) {
            rooms[*i].closed_to = priority;
        }
    }
}

/// Opens the closed workers to all work, or not: in a pool that is half empty they stand open.
fn set_open(rooms: &mut [Room], is_open: bool) {
    for room in rooms {
        room.is_open = is_open;
    }
}

/// Returns whether a task of a step that is such runs on a worker.
fn has_step(jobs: &BTreeMap<Name, LiveJob>, worker: &FleetWorker, such: fn(&Step) -> bool) -> bool {
    let mut steps = worker.runs.keys().filter_map(|run| {
        let live = jobs.get(&run.task.job)?;
        live.job.request.steps.get(run.task.step as usize)
    });
    steps.any(such)
}

pub(super) fn expected_ms(jobs: &BTreeMap<Name, LiveJob>, times: &RunTimes, run: &RunId) -> u64 {
    let live = jobs.get(&run.task.job);
    let step = live.and_then(|l| Some((l, l.job.request.steps.get(run.task.step as usize)?)));
    step.map_or(0, |(l, s)| times.estimate_ms(&l.job.queue, s.estimate_ms))
}

/// Returns the milliseconds that a run is expected to take yet.
pub(super) fn expected_left_ms(
    jobs: &BTreeMap<Name, LiveJob>,
    times: &RunTimes,
    run: &RunId,
    state: &WorkerRun,
    view: &View<'_>,
) -> u64 {
    if let Some(left_ms) = measured_left_ms(state, view) {
        return left_ms;
    }
    let left = expected_ms(jobs, times, run).saturating_sub(elapsed_ms(state, view));
    left.max(PAST_END_MS)
}

/// Returns the milliseconds that a run has left by its progress, where that tells. One that should be over
/// by now has stopped to come on.
fn measured_left_ms(state: &WorkerRun, view: &View<'_>) -> Option<u64> {
    let left = state.ends_at?.since(view.now).as_millis();
    let left_ms = u64::try_from(left).unwrap_or(u64::MAX);
    Some(if left_ms == 0 { PAST_END_MS } else { left_ms })
}

pub(super) fn elapsed_ms(state: &WorkerRun, view: &View<'_>) -> u64 {
    u64::try_from(view.now.since(state.placed_at).as_millis()).unwrap_or(u64::MAX)
}

/// Returns what it costs that a run's job loses its objective, or its use, by beginning anew, in
/// core-seconds: its own work, which would then be done for little, or several times that.
fn lateness(
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
    // It may have to wait for room as long as it did before it was started.
    let waited_ms = view
        .unix_ms
        .saturating_sub(begin_ms + elapsed_ms(state, view));
    let again_ms = view.unix_ms + estimate_ms;
    if useless_ms < view.unix_ms {
        0.0
    } else if useless_ms < again_ms + waited_ms {
        work * UNSERVED_COST
    } else if view.unix_ms <= objective_ms && objective_ms < again_ms {
        work
    } else {
        0.0
    }
}

/// Returns what may be evicted, with what that loses.
fn victims(
    fleet: &Fleet,
    jobs: &BTreeMap<Name, LiveJob>,
    guaranteed: &HashSet<Name>,
    times: &RunTimes,
    view: &View<'_>,
    rooms: &[Room],
) -> Vec<Victim> {
    let mut units: BTreeMap<(Name, u32, u32, Option<u32>), Victim> = BTreeMap::new();
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
            // Tasks that last serve users all the time; nothing that waits is worth a gap there.
            if step.is_some_and(|s| s.lasting) {
                continue;
            }
            let alone = step.is_none_or(|s| !s.gang).then_some(run.task.index);
            let key = (
                run.task.job.clone(),
                run.task.occurrence,
                run.task.step,
                alone,
            );
            let victim = units.entry(key).or_insert_with(|| Victim {
                parts: Vec::new(),
                priority: live.job.priority,
                guaranteed: guaranteed.contains(&run.task.job),
                // As urgent work yields only where no other can.
                cost: if live.job.priority == 0 {
                    URGENT_COST
                } else {
                    0.0
                },
            });
            let unsaved = view.now.since(state.checkpointed_at).as_secs_f64();
            // Work that was evicted before is dearer each time, so that no job is stopped over
            // and over while others are spared.
            let again = f64::from(live.evictions + 1);
            victim.cost += unsaved * state.needs.core_equivalents() * again
                + lateness(live, run, state, times, view);
            victim.parts.push((i, run.clone(), state.needs));
        }
    }
    units.into_values().collect()
}
