//! One scheduling pass over all waiting demands: which tasks start on which workers, and which runs
//! are evicted to make room.

use std::collections::BTreeMap;

use crate::{
    utils::{HashMap, HashSet, Name},
    workload::{
        Contact, Demand, Resources, Room, RunId, RunTimes, WaitReason, Waiting,
        eviction::{self, Eviction, Sources, Victim, max_cost, may_claim_room},
        eviction_records::{DemandKey, RoomMade, RoomNotMade, demand_key},
        failed_starts::FailedStarts,
        load::PeakLoad,
        recent_failures::RecentFailures,
        rooms::{
            EXPECTED_STOP_MS,
            is_idle,
            reserve_workers,
            rooms,
            set_open_to_all,
            slowness_limits,
            sum,
            typical_slowness, //
        },
        schedule::{self, Horizon},
        shares::Shares,
        speeds::{KNOWN_DEVIATION, STEP_RATIO},
        worker_sets::{self, WorkerSet},
    },
};

/// Blocked demands for which one pass holds room. Each hold delays smaller work.
const MAX_HOLDS_PER_PASS: u32 = 3;

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
    pub(super) rooms_made: Vec<RoomMade>,
    pub(super) rooms_not_made: Vec<RoomNotMade>,
    /// Idle accelerators that can't serve the largest waiting shape.
    pub(super) fragmented_accelerators: u64,
    /// Workers whose agents follow seldom and on which something will start once they report.
    pub(super) asked: Vec<Name>,
    /// The number of tasks that start where they also show the speed of a worker that is hardly
    /// known.
    pub(super) probe_starts: u32,
    /// Why each waiting job waits, by the first of its demands that was not served.
    pub(super) waiting: HashMap<Name, Waiting>,
}

/// What the planner has learned about workers and load.
pub(super) struct Observations<'a> {
    pub(super) times: &'a RunTimes,
    pub(super) peaks: &'a PeakLoad,
    pub(super) failures: &'a RecentFailures,
    pub(super) failed_starts: &'a FailedStarts,
}

/// The room of all workers. A pass subtracts from it what it assigns.
pub(super) struct Pass<'a> {
    sources: Sources<'a>,
    rooms: Vec<Room>,
    /// The room on each worker that runs free which end before a stop would free it, without what
    /// this pass has given away.
    ending: Vec<Resources>,
    /// The slowness of each room's worker; empty until an eviction is considered.
    slowness: Vec<f64>,
    /// How slow a worker may be for the work of each priority.
    slowness_limits: BTreeMap<u32, f64>,
    /// Runs that may be evicted. A victim that this pass has already chosen has no parts left.
    victims: Vec<Victim>,
    /// The demands for which runs were stopped a moment ago.
    recently_evicted_for: HashSet<DemandKey>,
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
        sources: Sources<'a>,
        guaranteed: &HashSet<Name>,
        learned: &Observations<'_>,
    ) -> Self {
        let mut rooms = rooms(sources.fleet, sources.jobs, learned, &sources.view);
        let idle = is_idle(&rooms);
        let slowness_limits = slowness_limits(sources.times, &sources.view);
        reserve_workers(&mut rooms, learned.peaks, &slowness_limits);
        set_open_to_all(&mut rooms, idle);
        let victims = sources.victims(guaranteed, &rooms);
        let ending = eviction::ending(&rooms, &victims);
        let some_follow_seldom = rooms.iter().any(Room::must_be_asked);
        Self {
            sources,
            rooms,
            ending,
            slowness: Vec::new(),
            slowness_limits,
            victims,
            recently_evicted_for: HashSet::default(),
            counts: HashMap::default(),
            holds: 0,
            idle,
            some_follow_seldom,
            outcome: PassOutcome::default(),
        }
    }

    /// Scales the costs of stopping runs by the shares of their workspaces, so that of two runs with
    /// about the same cost the one whose workspace is further above its entitlement is stopped.
    pub(super) fn apply_shares(&mut self, shares: &Shares) {
        for victim in &mut self.victims {
            let Some((i, run, _)) = victim.parts.first() else {
                continue;
            };
            let live = self.sources.jobs.get(&run.task.job);
            let workspace = live.and_then(|l| l.job.workspace.as_ref());
            let service = &self.rooms[*i].service;
            victim.share_factor = shares.stop_cost_factor(service, workspace, victim.priority);
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

    /// Takes room that is free now on healthy workers that are known to be faster, on which a demand
    /// that now runs at `slowness` would end in time. Returns whether there was such room.
    pub(super) fn take_faster_room(&mut self, demand: &Demand<'_>, slowness: f64) -> bool {
        let placed = self.count(demand);
        let set = worker_sets::choose(demand, &self.rooms, Horizon::Now, &placed);
        let Some(set) = set else {
            return false;
        };
        let is_known = |i: &usize| {
            let room = &self.rooms[*i];
            room.fault_count == 0
                && !demand.avoids(&room.worker)
                && room.deviation < KNOWN_DEVIATION
        };
        let is_better =
            set.in_time && set.slowness * STEP_RATIO <= slowness && set.rooms.iter().all(is_known);
        if is_better {
            self.take(demand, &set.rooms);
        }
        is_better
    }

    fn healthy_room(&mut self, demand: &Demand<'_>) -> Option<Vec<usize>> {
        let placed = self.count(demand);
        let found = schedule::place(demand, &self.rooms, Horizon::OnceAsked, &placed);
        let healthy = |i: &usize| {
            let room = &self.rooms[*i];
            room.fault_count == 0 && !demand.avoids(&room.worker)
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
    pub(super) fn load(&self, waiting: &[Demand<'_>]) -> BTreeMap<u32, f64> {
        let all = sum(&self.rooms, |r| r.capacity);
        let mut load: BTreeMap<u32, f64> = BTreeMap::new();
        for demand in waiting {
            let tasks = demand.indexes.len() as f64;
            *load.entry(demand.priority).or_default() += demand.shape.needs.share_of(&all) * tasks;
        }
        for (_, worker) in self.sources.fleet.workers() {
            for (run, state) in worker.runs.iter().filter(|(_, state)| !state.stopping) {
                if let Some(live) = self.sources.jobs.get(&run.task.job) {
                    let share = state.needs.share_of(&all);
                    *load.entry(live.job.priority).or_default() += share;
                }
            }
        }
        load
    }

    /// Returns how much slower than nominal the workers typically are on which the work of each
    /// priority can end in time.
    pub(super) fn typical_slowness(&self) -> BTreeMap<u32, f64> {
        let limits = self.slowness_limits.iter();
        let typical =
            limits.map(|(priority, limit)| (*priority, typical_slowness(&self.rooms, *limit)));
        typical.collect()
    }

    /// Returns whether less than half of the pool is in use.
    pub(super) fn is_idle(&self) -> bool {
        self.idle
    }

    /// Serves the demands in the given order. Nothing more is stopped for those in `recently_evicted_for`:
    /// their room is about to be free, or a more urgent demand has taken it.
    pub(super) fn run(
        &mut self,
        demands: &[Demand<'_>],
        recently_evicted_for: HashSet<DemandKey>,
    ) -> PassOutcome {
        self.recently_evicted_for = recently_evicted_for;
        let mut largest: Option<&Demand<'_>> = None;
        for (before, demand) in demands.iter().enumerate() {
            let served = self.serve(demand);
            let size = |d: &Demand<'_>| d.indexes.len() as u64 * d.shape.needs.accelerators;
            if served != ServeResult::Started && largest.is_none_or(|l| size(l) < size(demand)) {
                largest = Some(demand);
            }
            // A job with many tasks can have many blocked demands; only the first one is reported.
            if served == ServeResult::Started || self.outcome.waiting.contains_key(&demand.job) {
                continue;
            }
            let waiting = demand.waiting(before, self.reason(demand, served));
            self.outcome.waiting.insert(demand.job.clone(), waiting);
        }
        self.outcome.fragmented_accelerators = largest.map_or(0, |d| self.fragmented(d));
        std::mem::take(&mut self.outcome)
    }

    /// Returns the idle accelerators that can't serve a waiting demand: all on workers that can't take
    /// one of its tasks, and what would be left on the others.
    fn fragmented(&self, demand: &Demand<'_>) -> u64 {
        let needs = &demand.shape.needs;
        let rooms = self.rooms.iter().filter(|r| r.service == demand.service);
        let left = rooms.map(|room| {
            let tasks = u64::from(room.free.count(needs, u32::MAX));
            room.free
                .accelerators
                .saturating_sub(tasks.saturating_mul(needs.accelerators))
        });
        left.sum()
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
        let able = self.rooms.iter().filter(|r| schedule::is_able(demand, r));
        let mut able = able.peekable();
        if able.peek().is_none() {
            return WaitReason::NoSuitableWorker;
        }
        let (mut suitable, mut with_room, mut ready, mut barred) = (0, 0, 0, 0);
        let mut passed_over = 0;
        for room in able {
            let has_room = room.free.fits(&demand.shape.needs);
            if schedule::is_allowed(demand, room) && demand.passes_over(room) {
                passed_over += usize::from(has_room);
            } else if schedule::is_allowed(demand, room) {
                suitable += 1;
                with_room += usize::from(has_room);
                ready += usize::from(has_room && schedule::can_start_now(demand, room));
            } else {
                barred += usize::from(has_room);
            }
        }
        if passed_over > 0 {
            return WaitReason::StartsFailed {
                workers: passed_over,
            };
        }
        WaitReason::NoRoom {
            suitable,
            with_room,
            ready,
            barred,
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
        if let Some(set) = worker_sets::choose(demand, &self.rooms, Horizon::Now, placed) {
            if !set.in_time && self.wait_for_faster_room(demand, placed, set.slowness) {
                return Some(ServeResult::RoomHeld);
            }
            self.log_speed(demand, &set);
            self.start(demand, &set.rooms);
            return Some(ServeResult::Started);
        }
        if !self.some_follow_seldom {
            return None;
        }
        let found = schedule::place(demand, &self.rooms, Horizon::OnceAsked, placed)?;
        self.take(demand, &found);
        Some(ServeResult::WorkersAsked)
    }

    /// Holds room on faster workers for a gang that needs one rack and would end late if it started
    /// now. Returns whether there is such room.
    ///
    /// When that room becomes free is only expected, so a gang waits for it until it is starved.
    fn wait_for_faster_room(
        &mut self,
        demand: &Demand<'_>,
        placed: &HashMap<Name, u32>,
        slowness: f64,
    ) -> bool {
        let may_wait = demand.shape.one_rack
            && demand.indexes.len() > 1
            && !demand.is_starved
            && self.holds < MAX_HOLDS_PER_PASS
            && schedule::hold_in_time(demand, &mut self.rooms, placed, slowness);
        self.holds += u32::from(may_wait);
        may_wait
    }

    /// Logs that the speeds of workers have decided where a demand starts: once per step and pass,
    /// as the tasks of a step are treated alike.
    fn log_speed(&mut self, demand: &Demand<'_>, set: &WorkerSet) {
        let is_first = self
            .outcome
            .starts
            .last()
            .is_none_or(|last| last.job != demand.job || last.step != demand.step);
        if is_first && set.is_by_speed {
            log::info!(
                job:% = demand.job, step = demand.step, slowness = set.slowness,
                slowest = set.slowest, in_time = set.in_time, slack_ms = demand.slack_ms;
                "placed_by_speed"
            );
        }
    }

    /// Returns whether the demand has been given room that will be free soon. The room comes from
    /// runs that are being stopped or, without a guarantee, from runs that are about to end. Where
    /// neither is enough, this orders evictions.
    fn make_room(&mut self, demand: &Demand<'_>, placed: &HashMap<Name, u32>) -> bool {
        if !may_claim_room(demand) {
            return false;
        }
        if let Some(found) = schedule::place(demand, &self.rooms, Horizon::AfterStops, placed) {
            self.take_soon(demand, &found);
            return true;
        }
        if !demand.guaranteed && self.wait_for_run_ends(demand, placed) {
            return true;
        }
        if !demand.guaranteed && self.recently_evicted_for.contains(&demand_key(demand)) {
            return false;
        }
        if self.slowness.is_empty() {
            self.slowness = self.sources.slowness(&self.rooms);
        }
        let evict = |demand: &Demand<'_>| {
            eviction::evict(
                demand,
                &self.rooms,
                &self.ending,
                &self.slowness,
                &self.victims,
                placed,
                &self.sources,
            )
        };
        // Where the starts of others have failed, runs would probably be stopped in vain.
        let sound = self
            .rooms
            .iter()
            .any(|r| demand.has_failed_on(r))
            .then(|| Demand {
                only_sound: true,
                ..demand.clone()
            });
        let found = sound.and_then(|sound| evict(&sound).ok());
        match found.map_or_else(|| evict(demand), Ok) {
            Ok(found) => {
                self.evict(demand, found);
                true
            }
            Err(reason) => {
                self.outcome.rooms_not_made.push(RoomNotMade {
                    job: demand.job.clone(),
                    step: demand.step,
                    reason,
                });
                false
            }
        }
    }

    /// Orders the stops of an eviction and takes the room that they leave.
    fn evict(&mut self, demand: &Demand<'_>, found: Eviction) {
        // Room that runs leave by ending is not made for the demand.
        if !found.victims.is_empty() {
            log::info!(
                job:% = demand.job, step = demand.step, guaranteed = demand.guaranteed,
                victims = found.victims.len(), moved = found.moves.len(),
                lost_core_s = found.core_s(), most_core_s = max_cost(demand),
                slack_ms = demand.slack_ms, objective_ms = demand.objective_ms,
                expected_end_ms = self.sources.view.unix_ms + found.end_in_ms;
                "room_made"
            );
            let workers = found.rooms.iter().map(|i| &self.rooms[*i].worker);
            let unsaved = found
                .victims
                .iter()
                .map(|v| self.victims[*v].unsaved_core_s);
            self.outcome.rooms_made.push(RoomMade {
                demand: demand_key(demand),
                workers: workers.cloned().collect(),
                discarded_core_s: unsaved.sum(),
            });
        }
        for v in found.victims {
            eviction::return_room(&mut self.rooms, &self.victims[v]);
            let parts = std::mem::take(&mut self.victims[v].parts);
            let runs = parts
                .iter()
                .map(|(i, run, _)| (self.rooms[*i].worker.clone(), run.clone()));
            self.outcome.evictions.extend(runs);
        }
        self.take_soon(demand, &found.rooms);
        // Otherwise a later demand, or a second victim, would count on the same room.
        for moved in found.moves {
            self.rooms[moved.room].take(&moved.needs, moved.for_ms);
        }
    }

    /// Returns whether runs that are expected to end free the room as soon as an eviction would.
    /// Not used for guaranteed demands: a guarantee must not depend on expected run times.
    fn wait_for_run_ends(&mut self, demand: &Demand<'_>, placed: &HashMap<Name, u32>) -> bool {
        let found = schedule::place(demand, &self.rooms, Horizon::At(EXPECTED_STOP_MS), placed);
        if let Some(found) = &found {
            self.take_soon(demand, found);
        }
        found.is_some()
    }

    /// Takes room that is free after the stops and run ends of the next moments.
    ///
    /// The room that these free is taken as well. A second demand would otherwise count on the same
    /// stops and have no room made for it until the first one has started.
    fn take_soon(&mut self, demand: &Demand<'_>, found: &[usize]) {
        let needs = &demand.shape.needs;
        for i in found {
            let room = &mut self.rooms[*i];
            self.ending[*i] = self.ending[*i].minus(&needs.minus(&room.after_stops));
            let mut missing = needs.minus(&room.free);
            let soon = room.releases.iter_mut();
            for (_, freed) in soon.filter(|(ms, _)| *ms <= EXPECTED_STOP_MS) {
                let left = freed.minus(&missing);
                missing = missing.minus(&freed.minus(&left));
                *freed = left;
            }
            self.take(demand, &[*i]);
        }
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
        if demand.has_time_to_explore() {
            let is_probe = |i: &&usize| self.rooms[**i].is_speed_unknown;
            self.outcome.probe_starts += found.iter().filter(is_probe).count() as u32;
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
        let fleet = self.sources.fleet;
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
