//! Where tasks fit: one demand against the room of all workers.
//!
//! Load pattern answered here: gangs that need whole workers come while small tasks are spread over
//! all of them. Best fit keeps free accelerators together, a hold keeps room that is becoming free
//! for a large demand, and an eviction takes what loses the least work.

use crate::{
    utils::{HashMap, Name},
    workload::{
        Caution, Resources, RunId, RunTimes, Step, WaitReason, Waiting, speeds::SLOWEST_STEP,
    },
};

/// A gang, or one task that stands alone, that waits for room.
#[derive(Clone, Debug)]
pub struct Demand<'a> {
    /// The job.
    pub job: Name,
    /// Which repetition.
    pub occurrence: u32,
    /// Which step.
    pub step: u32,
    /// The tasks in the step; all start together.
    pub indexes: Vec<u32>,
    /// What the caller said of the step.
    pub shape: &'a Step,
    /// The pool of workers.
    pub service: Name,
    /// 0 comes first.
    pub priority: u32,
    /// Whether the workspace is guaranteed the room, so that others have to make it.
    pub guaranteed: bool,
    /// Milliseconds that a task takes on a sound worker.
    pub estimate_ms: u64,
    /// Milliseconds until the job's objective is lost even if it starts at once; negative where it
    /// is lost.
    pub slack_ms: i64,
    /// Unix milliseconds by which the job should be done.
    pub objective_ms: u64,
    /// Whether it would be of use to its caller yet if it started at once.
    pub still_useful: bool,
    /// Workers where runs of the job failed; taken only where no other has room.
    pub avoid: Vec<Name>,
    /// Whether it takes another rack than that of its data, or more than one.
    pub far_allowed: bool,
    /// Whether nothing of its job has run for so long that it takes room kept for more urgent work.
    pub is_starved: bool,
    /// The only workers that may run it, where the queue's policy says which.
    pub allowed_workers: Option<Vec<Name>>,
    /// Whether it is for workers that have been seen to work.
    pub caution: Caution,
}

impl Demand<'_> {
    /// Returns whether it has too little time to be run on slow workers as well as on fast ones.
    fn is_time_critical(&self) -> bool {
        self.priority == 0 || self.slack_ms < self.estimate_ms as i64
    }

    /// Returns what is known of the demand where it was not served, after `before` others.
    pub(super) fn waiting(&self, before: usize, reason: WaitReason) -> Waiting {
        Waiting {
            step: self.step,
            tasks: self.indexes.len(),
            reason,
            before,
            slack_ms: self.slack_ms,
        }
    }
}

/// Room on a worker that is kept for a demand that waits for it.
#[derive(Clone, Copy, Debug)]
pub struct Hold {
    /// Milliseconds from now at which the demand can start.
    pub from_ms: u64,
    /// What is left beside it then.
    pub spare: Resources,
}

/// What a worker has to give.
#[derive(Clone, Debug)]
pub struct Room {
    /// The worker.
    pub worker: Name,
    /// Its pool.
    pub service: Name,
    /// Its labels.
    pub labels: Vec<Name>,
    /// Its rack.
    pub rack: Option<Name>,
    /// What is free now.
    pub free: Resources,
    /// What is free once the stops under way are through.
    pub after_stops: Resources,
    /// What it has in all.
    pub capacity: Resources,
    /// What becomes free in so many milliseconds, by what its tasks are expected to take.
    pub releases: Vec<(u64, Resources)>,
    /// Room kept for a larger demand.
    pub hold: Option<Hold>,
    /// The lowest priority number, that is the most urgent, of work that is kept off the worker so
    /// that more urgent work finds whole workers free.
    pub reserved_against: u32,
    /// Whether it takes such work all the same, where no other worker does.
    pub open_to_all: bool,
    /// Higher for workers that have failed tasks or stand still.
    pub fault_count: u32,
    /// Whether it has been seen to work since workers began to fail; true where none do.
    pub proven: bool,
    /// Whether tasks run there that serve their own users.
    pub has_serving_tasks: bool,
    /// Whether tasks run there that take what processor time is left over.
    pub has_leftover_tasks: bool,
    /// How much slower than others it works, in steps; see [`slowness_step`].
    pub slowness_step: u32,
}

/// Runs that are evicted together: a gang, or one task.
#[derive(Clone, Debug)]
pub(super) struct Victim {
    /// What it has on which worker, by the index of the room.
    pub parts: Vec<(usize, RunId, Resources)>,
    /// Its priority.
    pub priority: u32,
    /// Whether its workspace is guaranteed the room.
    pub guaranteed: bool,
    /// Core-seconds that are lost by it.
    pub cost: f64,
}

/// Which room counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Horizon {
    /// What is free now and not held for others.
    Now,
    /// What is free once the stops under way are through.
    AfterStops,
    /// What is expected to be free in so many milliseconds, on workers without a hold.
    At(u64),
}

/// Moments that are tried for a hold, at the most: more would make a pass at 300 workers take
/// longer than the few milliseconds that an entry's share of a core allows.
const MAX_HOLD_TIMES: usize = 24;

/// A worker on which tasks take so many times as long as expected has turned slow. Guesses of run
/// times are rough, so the bound lies far above the differences between kinds of workers.
const DEGRADED_SLOWNESS: f64 = 2.5;

/// Returns how much slower than others a worker is, in steps: 0 for full speed.
pub(super) fn slowness_step(times: &RunTimes, worker: &Name) -> u32 {
    if times.slowness(worker) > DEGRADED_SLOWNESS {
        SLOWEST_STEP
    } else {
        times.speeds().slowness_step(worker)
    }
}

impl Room {
    fn available(&self, horizon: Horizon) -> Resources {
        match horizon {
            Horizon::Now => self.free,
            Horizon::AfterStops => self.after_stops,
            Horizon::At(ms) => self.free_at(ms),
        }
    }

    fn free_at(&self, ms: u64) -> Resources {
        let ended = self.releases.iter().filter(|(end, _)| *end <= ms);
        ended.fold(self.free, |sum, (_, needs)| sum.plus(needs))
    }

    /// Takes `needs` for `for_ms` milliseconds.
    pub(super) fn take(&mut self, needs: &Resources, for_ms: u64) {
        self.free = self.free.minus(needs);
        self.after_stops = self.after_stops.minus(needs);
        self.releases.push((for_ms, *needs));
        if let Some(hold) = self.hold.as_mut().filter(|h| for_ms > h.from_ms) {
            hold.spare = hold.spare.minus(needs);
        }
    }
}

/// Finds rooms for all tasks of `demand`; returns the index of the room of each.
pub(super) fn place(
    demand: &Demand<'_>,
    rooms: &[Room],
    horizon: Horizon,
    placed: &HashMap<Name, u32>,
) -> Option<Vec<usize>> {
    let fitting: Vec<usize> = (0..rooms.len())
        .filter(|i| is_suitable(demand, &rooms[*i]))
        .collect();
    let healthy =
        |i: &usize| !demand.avoid.contains(&rooms[*i].worker) && rooms[*i].fault_count == 0;
    let healthy: Vec<usize> = fitting.iter().copied().filter(healthy).collect();
    let near = speed_tiers(demand, rooms, &healthy).into_iter();
    let near = near
        .chain([healthy.clone(), fitting.clone()])
        .filter_map(|rows| place_nearby(demand, rooms, &rows, horizon, placed))
        .next();
    if near.is_some() || !demand.far_allowed {
        return near;
    }
    let far = [&healthy, &fitting].into_iter();
    far.filter_map(|rows| best_fit(demand, rooms, rows, horizon, placed))
        .next()
}

/// Returns the sets of workers among the candidates in the order in which the demand is to try
/// them: each has one more step of speeds than the one before.
///
/// A gang over workers of two kinds is as slow as the slower ones and keeps the faster ones waiting.
/// Work that has little time to lose takes the fast workers, which other work leaves to it as long
/// as it finds room on the slower ones.
fn speed_tiers(demand: &Demand<'_>, rooms: &[Room], candidates: &[usize]) -> Vec<Vec<usize>> {
    let mut steps: Vec<u32> = candidates.iter().map(|i| rooms[*i].slowness_step).collect();
    steps.sort_unstable();
    steps.dedup();
    // The last set is that of all candidates, which come anyway.
    steps.pop();
    let time_critical = demand.is_time_critical();
    if !time_critical {
        steps.reverse();
    }
    let tier = |step: u32| {
        let of_tier = candidates.iter().filter(|i| {
            let slow = rooms[**i].slowness_step;
            // Workers that have turned slow are for nobody as long as there are others.
            if time_critical {
                slow <= step
            } else {
                slow > step && slow < SLOWEST_STEP
            }
        });
        of_tier.copied().collect()
    };
    steps.into_iter().map(tier).collect()
}

/// Places where the tasks work at full speed: on one rack, or on the rack of the data.
fn place_nearby(
    demand: &Demand<'_>,
    rooms: &[Room],
    candidates: &[usize],
    horizon: Horizon,
    placed: &HashMap<Name, u32>,
) -> Option<Vec<usize>> {
    if let Some(rack) = &demand.shape.rack {
        let near = on_rack(rooms, candidates, rack);
        return best_fit(demand, rooms, &near, horizon, placed);
    }
    if !(demand.shape.one_rack && demand.indexes.len() > 1) {
        return best_fit(demand, rooms, candidates, horizon, placed);
    }
    let found = by_rack(rooms, candidates).into_iter().filter_map(|near| {
        let found = best_fit(demand, rooms, &near, horizon, placed)?;
        let slow = found
            .iter()
            .map(|i| rooms[*i].slowness_step)
            .max()
            .unwrap_or(0);
        let left: u64 = near
            .iter()
            .map(|i| rooms[*i].available(horizon).accelerators)
            .sum();
        Some(((slow, left), found))
    });
    // The rack with the least left over keeps the others whole for larger gangs.
    found.min_by_key(|(rank, _)| *rank).map(|(_, found)| found)
}

fn on_rack(rooms: &[Room], candidates: &[usize], rack: &Name) -> Vec<usize> {
    let near = candidates.iter().copied();
    near.filter(|i| rooms[*i].rack.as_ref() == Some(rack))
        .collect()
}

/// Returns the candidates rack by rack, in the order of the racks' names.
fn by_rack(rooms: &[Room], candidates: &[usize]) -> Vec<Vec<usize>> {
    let racks = candidates.iter().filter_map(|i| rooms[*i].rack.as_ref());
    let mut racks: Vec<&Name> = racks.collect();
    racks.sort_unstable();
    racks.dedup();
    let racks = racks.into_iter();
    racks.map(|rack| on_rack(rooms, candidates, rack)).collect()
}

/// A worker while a demand is being placed.
struct Candidate {
    room: usize,
    free: Resources,
    spare: Option<Resources>,
    tasks_left: u32,
}

/// Places each task on the fullest worker that still takes it.
fn best_fit(
    demand: &Demand<'_>,
    rooms: &[Room],
    candidates: &[usize],
    horizon: Horizon,
    placed: &HashMap<Name, u32>,
) -> Option<Vec<usize>> {
    let needs = &demand.shape.needs;
    let open = candidates
        .iter()
        .filter_map(|i| candidate(demand, &rooms[*i], *i, horizon, placed));
    let mut open: Vec<Candidate> = open.collect();
    let mut found = Vec::with_capacity(demand.indexes.len());
    for _ in &demand.indexes {
        let fits = |c: &&mut Candidate| {
            c.tasks_left > 0 && c.free.fits(needs) && c.spare.is_none_or(|s| s.fits(needs))
        };
        let best = open.iter_mut().filter(fits).min_by_key(|c| {
            let room = &rooms[c.room];
            let left = c.free.accelerators - needs.accelerators;
            (
                room.fault_count,
                demand.caution != Caution::None && !room.proven,
                is_reserved_against(demand, room),
                speed_rank(demand, room),
                left,
                c.free.cpu_millis,
            )
        })?;
        best.free = best.free.minus(needs);
        best.spare = best.spare.map(|s| s.minus(needs));
        best.tasks_left -= 1;
        found.push(best.room);
    }
    Some(found)
}

/// Returns whether the worker is kept for work that is more urgent than the demand.
fn is_reserved_against(demand: &Demand<'_>, room: &Room) -> bool {
    demand.priority >= room.reserved_against
}

/// Urgent work takes the fastest worker; other work avoids only those that have turned slow, since
/// packing tasks tightly is worth more to all.
fn speed_rank(demand: &Demand<'_>, room: &Room) -> u32 {
    if demand.is_time_critical() {
        return room.slowness_step;
    }
    u32::from(room.slowness_step == SLOWEST_STEP)
}

fn candidate(
    demand: &Demand<'_>,
    room: &Room,
    index: usize,
    horizon: Horizon,
    placed: &HashMap<Name, u32>,
) -> Option<Candidate> {
    let held = room.hold.as_ref();
    if matches!(horizon, Horizon::At(_)) && held.is_some() {
        return None;
    }
    let outlasts = held.filter(|h| horizon == Horizon::Now && demand.estimate_ms > h.from_ms);
    let here = placed.get(&room.worker).copied().unwrap_or(0);
    Some(Candidate {
        room: index,
        free: room.available(horizon),
        spare: outlasts.map(|h| h.spare),
        tasks_left: match demand.shape.per_worker {
            0 => u32::MAX,
            most => most.saturating_sub(here),
        },
    })
}

/// Returns whether the worker may run the demand's tasks at all.
///
/// Tasks that take what is left over disturb those that serve users beside them, by amounts that
/// change within seconds, so the two are kept on different workers.
pub(super) fn is_suitable(demand: &Demand<'_>, room: &Room) -> bool {
    let label = demand.shape.label.as_ref();
    room.service == demand.service
        && (room.open_to_all || demand.is_starved || !is_reserved_against(demand, room))
        && demand
            .allowed_workers
            .as_ref()
            .is_none_or(|allowed| allowed.contains(&room.worker))
        && !(demand.shape.leftovers && room.has_serving_tasks)
        && !(demand.shape.response_ms > 0 && room.has_leftover_tasks)
        && (room.proven || demand.caution != Caution::OnlyProven)
        && label.is_none_or(|label| room.labels.contains(label))
        && room.capacity.fits(&demand.shape.needs)
}

/// Keeps the room that is expected to be free first for a demand that fits nowhere now. Smaller
/// tasks may still use it as long as they end before.
///
/// Without it a task that needs a whole worker waits for as long as small ones keep coming, since
/// one of them always fits first.
pub(super) fn hold(demand: &Demand<'_>, rooms: &mut [Room], placed: &HashMap<Name, u32>) -> bool {
    let suitable = rooms.iter().filter(|r| is_suitable(demand, r));
    let mut release_times: Vec<u64> = suitable
        .flat_map(|r| &r.releases)
        .map(|(ms, _)| *ms)
        .collect();
    release_times.sort_unstable();
    release_times.dedup();
    let stride = release_times.len().div_ceil(MAX_HOLD_TIMES).max(1);
    for from_ms in release_times.into_iter().step_by(stride) {
        let Some(found) = place(demand, rooms, Horizon::At(from_ms), placed) else {
            continue;
        };
        for i in found {
            let room = &mut rooms[i];
            let spare = room.hold.map_or_else(|| room.free_at(from_ms), |h| h.spare);
            let spare = spare.minus(&demand.shape.needs);
            room.hold = Some(Hold { from_ms, spare });
        }
        return true;
    }
    false
}

/// An eviction that makes room for a demand.
pub(super) struct Eviction {
    /// The victims, by their indexes.
    pub(super) victims: Vec<usize>,
    /// The room of each task of the demand.
    pub(super) rooms: Vec<usize>,
    /// Core-seconds that are lost.
    pub(super) cost: f64,
}

/// Finds the cheapest victims whose room makes `demand` fit, at no more than `most_cost`
/// core-seconds lost.
///
/// Each task takes the worker that can be cleared for it at the least loss. Taking the cheapest
/// victims of the whole pool instead would stop small tasks everywhere and clear no worker.
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

/// Returns the sets of workers that may take all tasks of the demand together.
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

/// Clears workers for one demand, one task after the other.
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
        for of_room in &mut victims_by_room {
            of_room.sort_by(|a, b| victims[*a].cost.total_cmp(&victims[*b].cost));
            of_room.dedup();
        }
        let tasks_left = rooms.iter().map(|r| match demand.shape.per_worker {
            0 => u32::MAX,
            most => most.saturating_sub(placed.get(&r.worker).copied().unwrap_or(0)),
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

    /// Clears workers of `group` for all tasks; returns whether that can be done.
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

    /// Returns what it costs to make one task fit on a worker, and the victims.
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

/// Returns whether a victim has to yield to a demand: what is less urgent does, and before a
/// guarantee also what is as urgent and stands on room that is only lent to it.
fn must_yield(victim: &Victim, demand: &Demand<'_>) -> bool {
    victim.priority > demand.priority || (demand.guaranteed && !victim.guaranteed)
}

/// Gives the room of a victim back, as far as it becomes free soon.
pub(super) fn return_room(rooms: &mut [Room], victim: &Victim) {
    for (i, _, needs) in &victim.parts {
        rooms[*i].after_stops = rooms[*i].after_stops.plus(needs);
    }
}
