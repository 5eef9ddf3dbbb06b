//! Placement: finds workers for one demand, given the room of all workers.
//!
//! The load behind these rules is gangs that need whole workers while small tasks are spread over
//! all of them. Best fit keeps free accelerators together, a hold keeps room for a large demand as
//! it becomes free, and an eviction stops the runs that lose the least work.

use crate::{
    utils::{HashMap, Name},
    workload::{
        Caution, Contact, Resources, RunTimes, Step, WaitReason, Waiting, speeds::SLOWEST_STEP,
    },
};

/// A gang or a single task that waits for room.
#[derive(Clone, Debug)]
pub struct Demand<'a> {
    /// The name of the job.
    pub job: Name,
    /// The occurrence of the job that the tasks belong to.
    pub occurrence: u32,
    /// The index of the step.
    pub step: u32,
    /// The indexes of the tasks in the step; all of them start together.
    pub indexes: Vec<u32>,
    /// The step as the caller submitted it.
    pub shape: &'a Step,
    /// The service whose workers run the tasks.
    pub service: Name,
    /// The workspace of the job; `None` for a job of a public queue.
    pub workspace: Option<Name>,
    /// The priority; 0 is the most urgent.
    pub priority: u32,
    /// Whether the job fits into its workspace's guarantee, so that other work has to make room for
    /// it.
    pub guaranteed: bool,
    /// Whether capacity is short and the workspace would have more than its share of it.
    pub exceeds_share: bool,
    /// Expected milliseconds that a task takes on a healthy worker.
    pub estimate_ms: u64,
    /// Milliseconds for which the start can be delayed before the job misses its objective;
    /// negative if the objective is already missed.
    pub slack_ms: i64,
    /// Unix milliseconds by which the job should be done.
    pub objective_ms: u64,
    /// Whether the result would still be useful to the caller if the demand started now.
    pub still_useful: bool,
    /// Workers on which runs of the job failed. They are used only if no other worker has room.
    pub avoid: Vec<Name>,
    /// Whether the tasks may run on another rack than their data, or a gang on several racks.
    pub far_allowed: bool,
    /// Whether nothing of the job has run for so long that the demand may use workers that are
    /// reserved for more urgent work.
    pub is_starved: bool,
    /// The only workers that may run the tasks, if the queue's policy limits them.
    pub allowed_workers: Option<Vec<Name>>,
    /// Whether the tasks should run on proven workers.
    pub caution: Caution,
}

impl Demand<'_> {
    /// Returns whether the demand has too little time for slow workers.
    fn is_time_critical(&self) -> bool {
        self.priority == 0 || self.slack_ms < self.estimate_ms as i64
    }

    /// Returns the resources of all tasks together.
    pub(super) fn needs(&self) -> Resources {
        self.shape.needs.times(self.indexes.len() as u64)
    }

    /// Returns the status of a demand that was not served and has `before` demands ahead of it.
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

/// Room on a worker that is held for a waiting demand.
#[derive(Clone, Copy, Debug)]
pub struct Hold {
    /// Milliseconds from now until the demand can start.
    pub from_ms: u64,
    /// Resources that remain free next to the demand at that time.
    pub spare: Resources,
}

/// The resources and state of a worker during a pass.
#[derive(Clone, Debug)]
pub struct Room {
    /// The name of the worker.
    pub worker: Name,
    /// The service that the worker belongs to.
    pub service: Name,
    /// The worker's labels.
    pub labels: Vec<Name>,
    /// The worker's rack.
    pub rack: Option<Name>,
    /// Resources that are free now.
    pub free: Resources,
    /// Resources that are free once the runs being stopped have ended.
    pub after_stops: Resources,
    /// The worker's total resources.
    pub capacity: Resources,
    /// Resources that are expected to become free, each with the milliseconds until then, by the
    /// expected run times of the tasks.
    pub releases: Vec<(u64, Resources)>,
    /// Room that is held for a larger demand.
    pub hold: Option<Hold>,
    /// The lowest priority number, which is the most urgent one, that the worker is reserved
    /// against: work of this or a higher number is kept off it, so that more urgent work finds
    /// whole workers free.
    pub reserved_against: u32,
    /// Whether the worker also accepts work that it is reserved against, when no other worker does.
    pub open_to_all: bool,
    /// Number of signs that the worker is faulty: failed runs in a row, plus one if a run is
    /// overdue.
    pub fault_count: u32,
    /// Whether a run has succeeded on the worker, or has run for a while, since workers began to
    /// fail; true if none are failing.
    pub proven: bool,
    /// Whether the worker runs tasks that serve users.
    pub has_serving_tasks: bool,
    /// Whether the worker runs tasks that use leftover processor time.
    pub has_leftover_tasks: bool,
    /// How much slower than a nominal worker it is, in steps; negative for a faster one.
    pub slowness_step: i32,
    /// How closely the worker's agent follows. Only where it follows closely can a task start at
    /// once.
    pub contact: Contact,
}

/// The time at which room has to be free.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Horizon {
    /// Free now on workers whose agents follow closely, and not held for another demand.
    Now,
    /// The same, but also on workers whose agents have to be asked for a report first.
    OnceAsked,
    /// Free once the runs being stopped have ended.
    AfterStops,
    /// Expected to be free in this many milliseconds, on workers without a hold.
    At(u64),
}

/// Maximum number of release times that are tried for a hold. With more, a pass over 300 workers
/// takes longer than the few milliseconds that an entry's share of a core allows.
const MAX_HOLD_TIMES: usize = 24;

/// Ratio of actual to expected task time above which a worker counts as degraded. Estimates of run
/// times are rough, so the limit is far above the differences between kinds of workers.
const DEGRADED_SLOWNESS: f64 = 2.5;

/// Returns how much slower than a nominal worker a worker is, in steps; negative for a faster one.
pub(super) fn slowness_step(times: &RunTimes, worker: &Name) -> i32 {
    if times.slowness(worker) > DEGRADED_SLOWNESS {
        SLOWEST_STEP
    } else {
        times.speeds().step(worker)
    }
}

impl Room {
    fn available(&self, horizon: Horizon) -> Resources {
        match horizon {
            Horizon::Now | Horizon::OnceAsked => self.free,
            Horizon::AfterStops => self.after_stops,
            Horizon::At(ms) => self.free_at(ms),
        }
    }

    /// Returns whether the worker's agent has to report before a task can start.
    pub(super) fn must_be_asked(&self) -> bool {
        self.contact != Contact::Close
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

/// Finds room for all tasks of `demand` and returns the index of the room for each task.
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

/// Returns the sets of candidates in the order in which the demand should try them. Each set
/// includes workers of one more speed step than the set before it.
///
/// A gang over workers of two speeds runs at the slower speed and wastes the faster workers. A
/// time-critical demand therefore tries the fast workers first, and other work prefers the slower
/// ones as long as they have room.
fn speed_tiers(demand: &Demand<'_>, rooms: &[Room], candidates: &[usize]) -> Vec<Vec<usize>> {
    let mut steps: Vec<i32> = candidates.iter().map(|i| rooms[*i].slowness_step).collect();
    steps.sort_unstable();
    steps.dedup();
    // The last set would hold all candidates, which the caller tries anyway.
    steps.pop();
    let time_critical = demand.is_time_critical();
    if !time_critical {
        steps.reverse();
    }
    let tier = |step: i32| {
        let members = candidates.iter().filter(|i| {
            let slow = rooms[**i].slowness_step;
            // Degraded workers are used only if no others have room.
            if time_critical {
                slow <= step
            } else {
                slow > step && slow < SLOWEST_STEP
            }
        });
        members.copied().collect()
    };
    steps.into_iter().map(tier).collect()
}

/// Places the tasks where they run at full speed: on a single rack, or on the rack of their data.
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
        let asked = found.iter().filter(|i| rooms[**i].must_be_asked()).count();
        Some(((slow, left, asked), found))
    });
    // Filling the rack with the least room keeps the others whole for larger gangs.
    found.min_by_key(|(rank, _)| *rank).map(|(_, found)| found)
}

pub(super) fn on_rack(rooms: &[Room], candidates: &[usize], rack: &Name) -> Vec<usize> {
    let near = candidates.iter().copied();
    near.filter(|i| rooms[*i].rack.as_ref() == Some(rack))
        .collect()
}

/// Returns the candidates grouped by rack, in the order of the racks' names.
pub(super) fn by_rack(rooms: &[Room], candidates: &[usize]) -> Vec<Vec<usize>> {
    let racks = candidates.iter().filter_map(|i| rooms[*i].rack.as_ref());
    let mut racks: Vec<&Name> = racks.collect();
    racks.sort_unstable();
    racks.dedup();
    let racks = racks.into_iter();
    racks.map(|rack| on_rack(rooms, candidates, rack)).collect()
}

/// A worker that is considered for the tasks of a demand.
struct Candidate {
    room: usize,
    free: Resources,
    spare: Option<Resources>,
    tasks_left: u32,
}

/// Places each task on the fullest worker that can still take it.
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
                room.must_be_asked(),
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

/// Returns whether the worker is reserved for work that is more urgent than the demand.
fn is_reserved_against(demand: &Demand<'_>, room: &Room) -> bool {
    demand.priority >= room.reserved_against
}

/// Returns the rank of a worker by speed. Time-critical work takes the fastest worker; other work
/// avoids only the slowest step, because packing tasks tightly benefits everyone more.
fn speed_rank(demand: &Demand<'_>, room: &Room) -> i32 {
    if demand.is_time_critical() {
        return room.slowness_step;
    }
    i32::from(room.slowness_step == SLOWEST_STEP)
}

fn candidate(
    demand: &Demand<'_>,
    room: &Room,
    index: usize,
    horizon: Horizon,
    placed: &HashMap<Name, u32>,
) -> Option<Candidate> {
    let held = room.hold.as_ref();
    let unusable = match horizon {
        Horizon::Now => room.must_be_asked(),
        Horizon::At(_) => held.is_some(),
        Horizon::OnceAsked | Horizon::AfterStops => false,
    };
    if unusable {
        return None;
    }
    let is_now = matches!(horizon, Horizon::Now | Horizon::OnceAsked);
    let conflicting_hold = held.filter(|h| is_now && demand.estimate_ms > h.from_ms);
    let already_placed = placed.get(&room.worker).copied().unwrap_or(0);
    Some(Candidate {
        room: index,
        free: room.available(horizon),
        spare: conflicting_hold.map(|h| h.spare),
        tasks_left: match demand.shape.per_worker {
            0 => u32::MAX,
            limit => limit.saturating_sub(already_placed),
        },
    })
}

/// Returns whether the worker may run the demand's tasks at all.
///
/// Tasks that use leftover processor time slow down user-serving tasks on the same worker by
/// amounts that change within seconds, so the two kinds run on different workers.
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

/// Holds the room that is expected to become free first for a demand that fits nowhere now. Smaller
/// tasks may use the room as long as they end before that time.
///
/// Without the hold, a task that needs a whole worker would wait as long as small tasks keep
/// arriving, because one of them always fits first.
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
