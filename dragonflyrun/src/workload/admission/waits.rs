//! The expected wait until new work can start, estimated from what runs and what waits.
//!
//! The estimate treats the pool as a fluid: the work ahead is served by the accelerators that are
//! free now or become free. Waits that are too long would refuse jobs that can be served, so every
//! simplification errs towards a wait that is too short: later arrivals don't count, gangs are
//! assumed to fit as soon as one of their tasks does, and workers to be of nominal speed.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    utils::{HashMap, HashSet, Name, Timestamp},
    workload::{
        Demand, Fleet, Resources, Room, RunTimes, live::LiveJob, planner::View, queues::Queues,
        rooms::expected_remaining_ms,
    },
};

/// The number of horizons; the first is one second, and each further one twice the one before.
/// Callers of the known deployments rarely allow more than the last one, 64 s.
const HORIZONS: usize = 7;

/// Time after which the mean share of more urgent work has moved halfway to a new value: a few runs
/// of an urgent gang, so that the pauses between gangs don't count as room.
const SHARE_HALF_LIFE: Duration = Duration::from_secs(5);

/// Maximum share of a pool that more urgent work is assumed to keep occupied, so that waits stay
/// finite.
const MAX_URGENT_SHARE: f64 = 0.9;

/// Milliseconds between two estimates. Load changes within seconds, and an estimate visits all
/// running and waiting work.
const ESTIMATE_INTERVAL: Duration = Duration::from_millis(250);

/// The expected waits of new work in milliseconds.
///
/// Within a priority, work that can still be in time is served in the order of its objectives, and
/// work that can't comes after it. New work therefore waits for what is due before it and, if that
/// takes too long for it, also for the late work.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Waits {
    /// The wait behind all work that is due within each horizon.
    #[serde(rename = "i", default, skip_serializing_if = "Vec::is_empty")]
    pub in_time_ms: Vec<u64>,
    /// The wait behind the work that is late already.
    #[serde(rename = "l", default)]
    pub late_ms: u64,
}

impl Waits {
    /// Returns the wait of work whose objective is `objective_ms` from now, if it can be in time.
    pub fn in_time_ms(&self, objective_ms: u64) -> u64 {
        let waits = self.in_time_ms.iter().enumerate();
        let reached = waits.take_while(|(i, _)| horizon_ms(*i) <= objective_ms);
        reached.last().map_or(0, |(_, wait_ms)| *wait_ms)
    }

    /// Returns the longest of the waits.
    pub fn longest_ms(&self) -> u64 {
        let longest = self.in_time_ms.iter().copied().max();
        longest.unwrap_or(0).max(self.late_ms)
    }
}

/// The expected waits of new work of one priority on the workers of one service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExpectedWaits {
    /// The service.
    #[serde(rename = "s")]
    pub service: Name,
    /// The priority.
    #[serde(rename = "p")]
    pub priority: u32,
    /// The waits for workspaces that are below their entitlement.
    #[serde(rename = "b")]
    pub below: Waits,
    /// The waits for workspaces that are above it; `None` if they are the same.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub above: Option<Waits>,
}

impl ExpectedWaits {
    /// Returns the longest of the waits in milliseconds.
    pub fn longest_ms(&self) -> u64 {
        let longest_ms = self.below.longest_ms();
        longest_ms.max(self.of(true).longest_ms())
    }

    /// Returns the waits for a workspace that is above its entitlement, or for one that is not.
    pub fn of(&self, above: bool) -> &Waits {
        let for_above = self.above.as_ref().filter(|_| above);
        for_above.unwrap_or(&self.below)
    }
}

/// Work that runs.
#[derive(Clone, Copy, Debug)]
pub struct RunningWork {
    /// The priority of its job.
    pub priority: u32,
    /// The accelerators that it occupies.
    pub amount: f64,
    /// The milliseconds until it is expected to end.
    pub remaining_ms: u64,
    /// Whether its objective is not over yet.
    pub in_time: bool,
}

/// Work that waits: a gang or a single task.
#[derive(Clone, Copy, Debug)]
pub struct WaitingWork {
    /// The priority of its job.
    pub priority: u32,
    /// The number of its tasks.
    pub tasks: u32,
    /// The accelerators that each task will occupy.
    pub amount: f64,
    /// The milliseconds for which it will occupy them.
    pub estimate_ms: u64,
    /// The milliseconds until its objective; `None` if it can't meet it any more.
    pub due_in_ms: Option<u64>,
    /// Whether its job fits into its workspace's guarantee.
    pub guaranteed: bool,
    /// Whether its workspace is above its entitlement.
    pub above: bool,
}

/// The workers of one service and their work. Where no worker has accelerators, amounts are in
/// thousandths of a processor core.
#[derive(Clone, Debug, Default)]
pub struct PoolWork {
    /// The service.
    pub service: Name,
    /// The accelerators of the workers that accept tasks.
    pub capacity: f64,
    /// The work that runs on them.
    pub running: Vec<RunningWork>,
    /// The work that waits for them.
    pub waiting: Vec<WaitingWork>,
    /// The priorities of the queues that use the pool.
    pub priorities: Vec<u32>,
}

/// The mean shares of a pool that running work of a priority occupies. They are zero at first, so that
/// a new planner expects waits that are too short rather than too long.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    all: f64,
    /// The share of work whose objective is not over.
    in_time: f64,
}

/// Estimates the waits of new work.
#[derive(Clone, Debug, Default)]
pub struct WaitEstimator {
    /// The mean shares of each pool that running work of each priority occupies.
    shares: HashMap<Name, BTreeMap<u32, Share>>,
    estimated_at: Option<Timestamp>,
}

impl WaitEstimator {
    /// Returns whether the next estimate is due.
    pub fn is_due(&self, now: Timestamp) -> bool {
        let estimated_at = self.estimated_at;
        estimated_at.is_none_or(|at| now.since(at) >= ESTIMATE_INTERVAL)
    }

    /// Returns the expected waits of new work on the given pools.
    pub fn estimate(&mut self, now: Timestamp, pools: &[PoolWork]) -> Vec<ExpectedWaits> {
        let since = self.estimated_at.map_or(Duration::ZERO, |at| now.since(at));
        self.estimated_at = Some(now);
        let kept = 0.5_f64.powf(since.as_secs_f64() / SHARE_HALF_LIFE.as_secs_f64());
        let services: HashSet<&Name> = pools.iter().map(|pool| &pool.service).collect();
        self.shares.retain(|name, _| services.contains(name));
        let mut waits = Vec::new();
        for pool in pools.iter().filter(|pool| pool.capacity > 0.0) {
            let shares = self.shares.entry(pool.service.clone()).or_default();
            observe_shares(shares, pool, kept);
            if pool.waiting.is_empty() {
                continue;
            }
            let mut running = pool.running.clone();
            running.sort_by_key(|r| r.remaining_ms);
            for priority in &pool.priorities {
                let urgent: f64 = shares.range(..priority).map(|(_, share)| share.all).sum();
                let own = shares.get(priority).copied().unwrap_or_default();
                let queue = PoolQueue::new(pool, &running, *priority, (urgent, own.in_time));
                let below = queue.waits(false);
                let above = queue.waits(true);
                waits.push(ExpectedWaits {
                    service: pool.service.clone(),
                    priority: *priority,
                    above: (above != below).then_some(above),
                    below,
                });
            }
        }
        waits
    }
}

fn observe_shares(shares: &mut BTreeMap<u32, Share>, pool: &PoolWork, kept: f64) {
    let mut current: BTreeMap<u32, Share> = BTreeMap::new();
    for run in &pool.running {
        let share = run.amount / pool.capacity;
        let of_priority = current.entry(run.priority).or_default();
        of_priority.all += share;
        of_priority.in_time += if run.in_time { share } else { 0.0 };
        shares.entry(run.priority).or_default();
    }
    for (priority, mean) in shares {
        let now = current.get(priority).copied().unwrap_or_default();
        mean.all = mean.all * kept + now.all * (1.0 - kept);
        mean.in_time = mean.in_time * kept + now.in_time * (1.0 - kept);
    }
}

/// A pool as seen by new work of one priority.
struct PoolQueue<'a> {
    pool: &'a PoolWork,
    priority: u32,
    /// The accelerators that more urgent work keeps occupied on average.
    urgent: f64,
    /// The accelerators that also work of this priority occupies that is in time. New such work is
    /// served before late work.
    before_late: f64,
    /// The runs that have to end before their room can be used, in the order of their ends.
    blocking: Vec<RunningWork>,
    /// The accelerators of a typical task of this priority.
    shape: f64,
}

impl<'a> PoolQueue<'a> {
    fn new(
        pool: &'a PoolWork,
        running: &[RunningWork],
        priority: u32,
        (urgent, in_time): (f64, f64),
    ) -> Self {
        // Work of priority 0 may evict all less urgent runs.
        let blocking = running.iter();
        let blocking = blocking.filter(|run| priority > 0 || run.priority == 0);
        let tasks = pool.waiting.iter().filter(|w| w.priority == priority);
        let (count, sum) = tasks.fold((0, 0.0), |(count, sum), w| {
            (count + w.tasks, sum + w.amount * f64::from(w.tasks))
        });
        Self {
            pool,
            priority,
            urgent: pool.capacity * urgent.min(MAX_URGENT_SHARE),
            before_late: pool.capacity * (urgent + in_time).min(MAX_URGENT_SHARE),
            blocking: blocking.copied().collect(),
            shape: sum / f64::from(count.max(1)),
        }
    }

    fn waits(&self, above: bool) -> Waits {
        let mut first = 0.0;
        let mut late = 0.0;
        let mut due = [0.0; HORIZONS];
        let waiting = self.pool.waiting.iter();
        for waiting in waiting.filter(|w| w.priority <= self.priority) {
            let work = waiting.amount * f64::from(waiting.tasks) * waiting.estimate_ms as f64;
            if waiting.priority < self.priority || waiting.guaranteed {
                first += work;
            } else if above || !waiting.above {
                match waiting.due_in_ms {
                    Some(due_in_ms) => {
                        let horizon = (0..HORIZONS).find(|i| due_in_ms <= horizon_ms(*i));
                        if let Some(horizon) = horizon {
                            due[horizon] += work;
                        }
                    }
                    None => late += work,
                }
            }
        }
        let is_urgent = |run: &RunningWork| run.priority < self.priority;
        let is_before_late =
            |run: &RunningWork| is_urgent(run) || (run.priority == self.priority && run.in_time);
        let mut ahead = first;
        let in_time_ms = due.iter().map(|work| {
            ahead += work;
            self.start_ms(ahead, self.urgent, is_urgent)
        });
        Waits {
            in_time_ms: in_time_ms.collect(),
            late_ms: self.start_ms(first + late, self.before_late, is_before_late),
        }
    }

    /// Returns the milliseconds until `ahead` accelerator-milliseconds of work have been served and
    /// a typical task has room. Work that is served before it keeps `preferred` accelerators occupied,
    /// and `is_preferred` tells which runs belong to it.
    fn start_ms(
        &self,
        ahead: f64,
        preferred: f64,
        is_preferred: impl Fn(&RunningWork) -> bool,
    ) -> u64 {
        let available = self.pool.capacity - preferred;
        let shape = self.shape.min(available);
        let (mut preferred_runs, mut others) = (0.0, 0.0);
        for run in &self.blocking {
            if is_preferred(run) {
                preferred_runs += run.amount;
            } else {
                others += run.amount;
            }
        }
        let mut served = 0.0;
        let mut now_ms = 0;
        for run in &self.blocking {
            let free = self.pool.capacity - preferred.max(preferred_runs) - others;
            let free = free.max(0.0);
            let left = (ahead - served).max(0.0);
            let until = served + free * (run.remaining_ms - now_ms) as f64;
            if free > 0.0 && free >= shape && until >= ahead {
                return now_ms + (left / free) as u64;
            }
            served = until;
            now_ms = run.remaining_ms;
            if is_preferred(run) {
                preferred_runs -= run.amount;
            } else {
                others -= run.amount;
            }
        }
        now_ms + ((ahead - served).max(0.0) / available) as u64
    }
}

fn horizon_ms(index: usize) -> u64 {
    1_000 << index
}

/// What the planner knows about running and waiting work.
pub(in crate::workload) struct PlannerWork<'a, 'v> {
    pub(in crate::workload) fleet: &'a Fleet,
    pub(in crate::workload) jobs: &'a BTreeMap<Name, LiveJob>,
    pub(in crate::workload) times: &'a RunTimes,
    pub(in crate::workload) view: &'a View<'v>,
    pub(in crate::workload) queues: &'a Queues<'v>,
    /// The workspaces that are above their entitlement.
    pub(in crate::workload) above: &'a HashSet<Name>,
}

impl PlannerWork<'_, '_> {
    /// Returns the pools with their work, where `rooms` are the workers that accept tasks.
    pub(in crate::workload) fn pools(
        &self,
        rooms: &[Room],
        demands: &[Demand<'_>],
    ) -> Vec<PoolWork> {
        let mut rooms_of: HashMap<&Name, Vec<&Room>> = HashMap::default();
        for room in rooms {
            rooms_of.entry(&room.service).or_default().push(room);
        }
        let mut demands_of: HashMap<&Name, Vec<&Demand<'_>>> = HashMap::default();
        for demand in demands {
            demands_of.entry(&demand.service).or_default().push(demand);
        }
        let mut priorities_of: HashMap<&Name, BTreeSet<u32>> = HashMap::default();
        for queue in self.queues.all() {
            let priorities = priorities_of.entry(&queue.service).or_default();
            priorities.insert(queue.priority);
        }
        let pools = rooms_of.into_iter().map(|(service, rooms)| {
            let capacities = rooms.iter().map(|room| room.capacity);
            let capacity = capacities.fold(Resources::default(), |sum, c| sum.plus(&c));
            let amount = amount_in(&capacity);
            let demands = demands_of.get(service).map_or(&[][..], Vec::as_slice);
            let priorities = priorities_of.remove(service).unwrap_or_default();
            PoolWork {
                service: service.clone(),
                capacity: amount(&capacity),
                running: self.running(&rooms, amount),
                waiting: demands.iter().map(|d| self.waiting(d, amount)).collect(),
                priorities: priorities.into_iter().collect(),
            }
        });
        let mut pools: Vec<PoolWork> = pools.collect();
        pools.sort_by(|a, b| a.service.cmp(&b.service));
        pools
    }

    fn running(&self, rooms: &[&Room], amount: Amount) -> Vec<RunningWork> {
        let workers = rooms.iter().filter_map(|r| self.fleet.get(&r.worker));
        let runs = workers.flat_map(|w| &w.runs);
        let running = runs.filter(|(_, state)| !state.stopping);
        let running = running.filter_map(|(run, state)| {
            let live = self.jobs.get(&run.task.job)?;
            let objective_ms = live.objective_ms(self.times, run.task.occurrence);
            Some(RunningWork {
                priority: live.job.priority,
                amount: amount(&state.needs),
                remaining_ms: expected_remaining_ms(self.jobs, self.times, run, state, self.view),
                in_time: self.view.unix_ms <= objective_ms,
            })
        });
        running.collect()
    }

    fn waiting(&self, demand: &Demand<'_>, amount: Amount) -> WaitingWork {
        let due_in_ms = demand.objective_ms.saturating_sub(self.view.unix_ms);
        WaitingWork {
            priority: demand.priority,
            tasks: u32::try_from(demand.indexes.len()).unwrap_or(u32::MAX),
            amount: amount(&demand.shape.needs),
            estimate_ms: demand.estimate_ms,
            due_in_ms: (demand.slack_ms >= 0).then_some(due_in_ms),
            guaranteed: demand.guaranteed,
            above: demand
                .workspace
                .as_ref()
                .is_some_and(|w| self.above.contains(w)),
        }
    }
}

type Amount = fn(&Resources) -> f64;

/// Returns how to measure work on workers with this total capacity: in accelerators if there are
/// any, or else in processor time.
fn amount_in(capacity: &Resources) -> Amount {
    match capacity.accelerators {
        0 => |r| r.cpu_millis as f64,
        _ => |r| r.accelerators as f64,
    }
}
