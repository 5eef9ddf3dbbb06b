//! The room of all workers at the beginning of a pass, and the workers that are reserved for urgent
//! work.

use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

use crate::{
    utils::{HashMap, Name},
    workload::{
        Fleet, FleetWorker, Resources, Room, RunId, RunTimes, Step, WorkerRun,
        live::LiveJob,
        load::PeakLoad,
        overdue::is_overdue,
        pass::Observations,
        planner::View,
        schedule,
        speeds::{KNOWN_DEVIATION, SLOWEST_STEP, STEP_RATIO, WorkerSpeed},
        worker_sets::{EXPECTED_START_MS, TIME_MARGIN},
    },
};

/// Milliseconds from the order to stop a run until its room is known to be free.
pub(super) const EXPECTED_STOP_MS: u64 = 250;

/// Steps from nominal at which a worker is of another kind: estimates of equal workers differ by one.
const MIN_DIFFERENT_STEP: i32 = 2;

/// Minimum remaining time in milliseconds that is assumed for a run, also past its expected end.
const MIN_REMAINING_MS: u64 = 500;

/// Time within which the store takes an order. While it takes none of a worker's, more work would wait
/// there for the same partition, and no proof ends a run whose order may still be stored.
const MAX_STORE_TIME: Duration = Duration::from_secs(3);

/// The same time as a multiple of the store's usual delay, if that is longer.
const MAX_STORE_DELAYS: u32 = 12;

/// Returns whether the store takes the orders for a worker.
fn takes_orders(worker: &FleetWorker, view: &View<'_>) -> bool {
    let limit = MAX_STORE_TIME.max(view.store_delay * MAX_STORE_DELAYS);
    let unstored = worker.unstored_order_since();
    unstored.is_none_or(|since| view.now.since(since) <= limit)
}

pub(super) fn rooms(
    fleet: &Fleet,
    jobs: &BTreeMap<Name, LiveJob>,
    learned: &Observations<'_>,
    view: &View<'_>,
) -> Vec<Room> {
    let times = learned.times;
    let failing_since = learned.failures.failing_since();
    let mut speeds = SpeedCache::new(jobs, times);
    let usable = fleet
        .workers()
        .filter(|(_, w)| w.accepts_tasks() && w.quarantined_until <= view.now)
        .filter(|(_, w)| takes_orders(w, view))
        .filter(|(_, w)| !w.contact.is_overdue(view.now, view.store_delay));
    let rooms = usable.filter_map(|(name, worker)| {
        let fails_starts = learned.failed_starts.is_faulty(name);
        let heartbeat = &worker.report.as_ref()?.heartbeat;
        if view.evacuated.contains(&heartbeat.failure_domain) {
            return None;
        }
        let free = heartbeat.capacity.minus(&worker.used());
        let mut releases = Vec::new();
        let mut overdue = false;
        for (run, state) in &worker.runs {
            let known = speeds.run_slowness(name, run);
            // A fast worker's tasks end sooner unless it is degraded. A low ratio on other workers
            // comes from estimates that are too long.
            let least = if known < 1.0 { known } else { 1.0 };
            let slowness = times.slowness(name).max(least).max(known);
            let expected = expected_ms(jobs, times, run) as f64 * slowness;
            let elapsed = elapsed_ms(state, view) as f64;
            overdue |= is_overdue(expected, elapsed);
            let left = match measured_remaining_ms(state, view) {
                _ if state.stopping => EXPECTED_STOP_MS,
                Some(left_ms) => left_ms,
                None => ((expected - elapsed).max(0.0) as u64).max(MIN_REMAINING_MS),
            };
            if state.stopping || !is_lasting(jobs, run) {
                releases.push((left, state.needs));
            }
        }
        let speed = schedule::effective_speed(times, name, speeds.of_worker(name));
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
            fault_count: worker.failures + u32::from(overdue) + u32::from(fails_starts),
            fails_starts,
            is_passed_over: learned.failed_starts.is_passed_over(name),
            proven: failing_since.is_none_or(|since| worker.last_good_start >= Some(since)),
            slowness_step: speed.step,
            slowness: speed.slowness,
            deviation: speed.deviation,
            is_speed_unknown: false,
            contact: worker.contact,
        })
    });
    let mut rooms: Vec<Room> = rooms.collect();
    mark_unknown_speeds(&mut rooms);
    rooms
}

/// Marks the workers whose speed is unknown, if others are known to differ. With equal workers there
/// is nothing to find out.
fn mark_unknown_speeds(rooms: &mut [Room]) {
    let is_known = |r: &Room| r.deviation < KNOWN_DEVIATION;
    let differs = |r: &Room| r.slowness_step.abs() >= MIN_DIFFERENT_STEP;
    if !rooms
        .iter()
        .any(|r| is_known(r) && r.slowness_step < SLOWEST_STEP && differs(r))
    {
        return;
    }
    for room in rooms {
        room.is_speed_unknown = !is_known(room);
    }
}

pub(super) fn is_idle(rooms: &[Room]) -> bool {
    let all = sum(rooms, |r| r.capacity);
    let used = all.minus(&sum(rooms, |r| r.free));
    used.share_of(&all) < 0.5
}

pub(super) fn sum(rooms: &[Room], of: fn(&Room) -> Resources) -> Resources {
    rooms
        .iter()
        .fold(Resources::default(), |sum, room| sum.plus(&of(room)))
}

/// Returns how slow a worker may be for the work of each priority to end in time on it, as a multiple
/// of the time on a nominal worker.
pub(super) fn slowness_limits(times: &RunTimes, view: &View<'_>) -> BTreeMap<u32, f64> {
    let mut limits: BTreeMap<u32, f64> = BTreeMap::new();
    for queue in &view.configuration.queues {
        // Without a known run time only the part of the objective counts that grows with it.
        let constant = times.mean_ms(&queue.name).map_or(0.0, |mean_ms| {
            (queue.target.as_millis() as f64 - EXPECTED_START_MS as f64) / mean_ms.max(1.0)
        });
        let limit = limits.entry(queue.priority).or_insert(f64::INFINITY);
        *limit = limit.min((queue.stretch + constant) / TIME_MARGIN);
    }
    limits
}

/// Reserves shares of the workers for more urgent work. The reserved workers are always the same
/// ones, rack by rack, so that they run empty and gangs find whole workers next to each other;
/// small tasks spread over all workers would have to be evicted for each gang.
///
/// The racks come first in which the most workers can serve the priority in time, and only these
/// workers are reserved there: the slower ones stay open to other work.
pub(super) fn reserve_workers(rooms: &mut [Room], peaks: &PeakLoad, limits: &BTreeMap<u32, f64>) {
    let total = rooms.len();
    let mut shares: Vec<(u32, f64)> = peaks.reserved_shares().collect();
    shares.reverse();
    let mut slow_on: HashMap<Option<Name>, i32> = HashMap::default();
    for room in &*rooms {
        *slow_on.entry(room.rack.clone()).or_default() += room.slowness_step;
    }
    for (reserved_against, share) in shares {
        let limit = limits.get(&(reserved_against - 1)).copied();
        let is_fast = |r: &Room| {
            r.slowness_step < SLOWEST_STEP && r.slowness <= limit.unwrap_or(f64::INFINITY)
        };
        let all_fast = rooms.iter().all(is_fast);
        let mut fast_on: HashMap<Option<Name>, usize> = HashMap::default();
        for room in rooms.iter().filter(|r| !all_fast && is_fast(r)) {
            *fast_on.entry(room.rack.clone()).or_default() += 1;
        }
        let mut order: Vec<usize> = (0..total).filter(|i| is_fast(&rooms[*i])).collect();
        order.sort_by_cached_key(|i| {
            let room = &rooms[*i];
            let fast = fast_on.get(&room.rack).copied();
            // What more urgent work has reserved is part of this priority's share.
            let is_reserved = room.reserved_against < u32::MAX;
            (
                !is_reserved,
                Reverse(fast),
                slow_on.get(&room.rack).copied(),
                room.rack.clone(),
                room.worker.clone(),
            )
        });
        for i in order.into_iter().take((total as f64 * share) as usize) {
            let room = &mut rooms[i];
            room.reserved_against = room.reserved_against.min(reserved_against);
        }
    }
}

/// Returns the median slowness of the workers that aren't slower than `limit`, in whole steps so that
/// it is 1 in a pool of equal workers.
pub(super) fn typical_slowness(rooms: &[Room], limit: f64) -> f64 {
    let fast = rooms.iter().filter(|r| r.slowness <= limit);
    let mut steps: Vec<i32> = fast.map(|r| r.slowness_step).collect();
    steps.sort_unstable();
    let median = steps.get(steps.len() / 2).copied().unwrap_or(0);
    STEP_RATIO.powi(median)
}

/// Sets whether the reserved workers also accept other work. They do while less than half of the
/// pool is in use.
pub(super) fn set_open_to_all(rooms: &mut [Room], open_to_all: bool) {
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

/// Returns whether a run is of a task that runs until its job is cancelled. Such a run is never about
/// to end, however long it has been running.
pub(super) fn is_lasting(jobs: &BTreeMap<Name, LiveJob>, run: &RunId) -> bool {
    let live = jobs.get(&run.task.job);
    let step = live.and_then(|l| l.job.request.steps.get(run.task.step as usize));
    step.is_some_and(|s| s.lasting)
}

pub(super) fn expected_ms(jobs: &BTreeMap<Name, LiveJob>, times: &RunTimes, run: &RunId) -> u64 {
    let live = jobs.get(&run.task.job);
    let step = live.and_then(|l| Some((l, l.job.request.steps.get(run.task.step as usize)?)));
    step.map_or(0, |(l, s)| times.estimate_ms(&l.job.queue, s.estimate_ms))
}

/// The learned speeds of workers and gangs, each looked up once a pass: the members of a gang would
/// otherwise look up one another, and the work would grow with the square of the gang.
struct SpeedCache<'a> {
    jobs: &'a BTreeMap<Name, LiveJob>,
    times: &'a RunTimes,
    workers: HashMap<&'a Name, WorkerSpeed>,
    /// The step of the slowest worker of each gang, by job, occurrence and step of the job.
    gangs: HashMap<(&'a Name, u32, u32), Option<i32>>,
}

impl<'a> SpeedCache<'a> {
    fn new(jobs: &'a BTreeMap<Name, LiveJob>, times: &'a RunTimes) -> Self {
        Self {
            jobs,
            times,
            workers: HashMap::default(),
            gangs: HashMap::default(),
        }
    }

    fn of_worker(&mut self, worker: &'a Name) -> WorkerSpeed {
        let speeds = self.times.speeds();
        *self
            .workers
            .entry(worker)
            .or_insert_with(|| speeds.speed(worker))
    }

    /// Returns how many times longer than nominal a run takes on its worker: as long as on the slowest
    /// worker of its gang. The result is in whole steps, and 1 in a pool of equal workers.
    fn run_slowness(&mut self, worker: &'a Name, run: &'a RunId) -> f64 {
        let own = self.of_worker(worker).step;
        let of_gang = self.gang_step(run);
        STEP_RATIO.powi(of_gang.map_or(own, |step| step.max(own)))
    }

    /// Returns the step of the slowest worker of the gang that a run belongs to; `None` if it belongs to
    /// none.
    fn gang_step(&mut self, run: &'a RunId) -> Option<i32> {
        let key = (&run.task.job, run.task.occurrence, run.task.step);
        if let Some(known) = self.gangs.get(&key) {
            return *known;
        }
        let live = self.jobs.get(&run.task.job);
        let of_gang = live.filter(|live| {
            let shape = live.job.request.steps.get(run.task.step as usize);
            shape.is_some_and(|s| s.gang && s.tasks > 1)
        });
        let step = of_gang.and_then(|live| {
            let numbers = live.job.task_numbers(run.task.occurrence, run.task.step);
            let places = numbers.filter_map(|n| live.plan.tasks.get(&n)?.place.as_ref());
            places.map(|p| self.of_worker(&p.worker).step).max()
        });
        self.gangs.insert(key, step);
        step
    }
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
