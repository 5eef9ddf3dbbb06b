//! Placement: finds workers for one demand, given the room of all workers.
//!
//! The load behind these rules is gangs that need whole workers while small tasks are spread over
//! all of them. Best fit keeps free accelerators together, a hold keeps room for a large demand as
//! it becomes free, and an eviction stops the runs that lose the least work.

use crate::{
    utils::{HashMap, Name},
    workload::{
        Caution, Contact, Resources, RunTimes, Step, WaitReason, Waiting, WorkerSpeeds,
        failed_starts::JobFailures,
        speeds::{SLOWEST_STEP, STEP_RATIO, WorkerSpeed},
        worker_sets::{self, WorkerSet},
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
    /// Milliseconds from now until then; negative if the objective is missed.
    pub left_ms: i64,
    /// Whether the result would still be useful to the caller if the demand started now.
    pub still_useful: bool,
    /// Workers on which runs of the job failed. They are used only if no other worker has room.
    pub avoid: Vec<Name>,
    /// The failed starts of the job. Their workers are passed over for a while, and then avoided.
    pub(super) failed_starts: Option<&'a JobFailures>,
    /// Whether workers on which starts have failed are left out, however long ago that was.
    pub(super) only_sound: bool,
    /// Whether the tasks may run on another rack than their data, or a gang on several racks.
    pub far_allowed: bool,
    /// The factor by which the tasks take longer there.
    pub far_factor: f64,
    /// The speeds of the workers, which tell when the tasks would end.
    pub speeds: &'a WorkerSpeeds,
    /// Whether nothing of the job has run for so long that the demand may use workers that are
    /// reserved for more urgent work and, while less than half of the pool is in use, held for
    /// other demands.
    pub is_starved: bool,
    /// The only workers that may run the tasks, if the queue's policy limits them.
    pub allowed_workers: Option<Vec<Name>>,
    /// Whether the tasks should run on proven workers.
    pub caution: Caution,
}

impl Demand<'_> {
    /// Returns the resources of all tasks together.
    pub(super) fn needs(&self) -> Resources {
        self.shape.needs.times(self.indexes.len() as u64)
    }

    /// Returns whether the worker is used only if no other one has room.
    pub(super) fn avoids(&self, worker: &Name) -> bool {
        self.avoid.contains(worker) || self.failed_starts.is_some_and(|f| f.contains(worker))
    }

    /// Returns whether starts on the worker have failed recently, of the job or of several.
    pub(super) fn has_failed_on(&self, room: &Room) -> bool {
        room.fails_starts || self.failed_starts.is_some_and(|f| f.contains(&room.worker))
    }

    /// Returns whether the worker isn't used for now because starts on it have failed.
    pub(super) fn passes_over(&self, room: &Room) -> bool {
        room.is_passed_over
            || self
                .failed_starts
                .is_some_and(|f| f.is_passed_over(&room.worker))
    }

    /// Returns whether the demand can wait for as long again as its work takes and more, so that its
    /// tasks may start where they show the speed of a worker.
    pub(super) fn has_time_to_explore(&self) -> bool {
        self.priority > 0 && self.left_ms > EXPLORING_WORK_RATIO * self.estimate_ms as i64
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
    /// overdue, plus one if its last starts have failed.
    pub fault_count: u32,
    /// Whether the last starts on the worker have failed, one after the other.
    pub fails_starts: bool,
    /// Whether nothing may start on the worker for now because its last starts have failed.
    pub is_passed_over: bool,
    /// Whether a run has succeeded on the worker, or has run for a while, since workers began to
    /// fail; true if none are failing.
    pub proven: bool,
    /// Whether the worker runs tasks that serve users.
    pub has_serving_tasks: bool,
    /// Whether the worker runs tasks that use leftover processor time.
    pub has_leftover_tasks: bool,
    /// How much slower than a nominal worker it is, in steps; negative for a faster one.
    pub slowness_step: i32,
    /// How many times longer tasks are expected to take on it than on a nominal worker.
    pub slowness: f64,
    /// The standard deviation of the logarithm of its slowness.
    pub deviation: f64,
    /// Whether its speed is unknown in a pool of workers of different speeds.
    pub is_speed_unknown: bool,
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

/// Multiple of its work that a demand has to have left to start on workers whose speed is unknown:
/// on the slowest kind of worker it still ends in time.
const EXPLORING_WORK_RATIO: i64 = 2;

/// Maximum number of release times that are tried for a gang that could start now but late.
const MAX_WAIT_TIMES: usize = 6;

/// Ratio of actual to expected task time above which a worker counts as degraded. Estimates of run
/// times are rough, so the limit is far above the differences between kinds of workers.
const DEGRADED_SLOWNESS: f64 = 2.5;

/// Returns the speed at which work on a worker counts, given what is learned about it: a degraded
/// worker counts as the slowest kind.
pub(super) fn effective_speed(
    times: &RunTimes,
    worker: &Name,
    learned: WorkerSpeed,
) -> WorkerSpeed {
    let measured = times.slowness(worker);
    if measured <= DEGRADED_SLOWNESS {
        return learned;
    }
    WorkerSpeed {
        step: SLOWEST_STEP,
        slowness: measured,
        ..learned
    }
}

impl Room {
    pub(super) fn available(&self, horizon: Horizon) -> Resources {
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
    worker_sets::choose(demand, rooms, horizon, placed).map(|set| set.rooms)
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
pub(super) struct Candidate {
    room: usize,
    free: Resources,
    spare: Option<Resources>,
    tasks_left: u32,
}

impl Candidate {
    /// Returns how many tasks with `needs` fit, at most `max`.
    pub(super) fn tasks(&self, needs: &Resources, max: u32) -> u32 {
        let fits = self.free.count(needs, max);
        let spare = self.spare.map_or(max, |s| s.count(needs, max));
        fits.min(spare).min(self.tasks_left)
    }
}

/// Which of the workers that can take a task is taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Preference {
    /// The fullest worker, so that others stay whole.
    Fullest,
    /// The fastest worker, and the fullest one of these.
    Fastest,
}

/// Places each task on the worker that is preferred among those that can still take it.
pub(super) fn best_fit(
    demand: &Demand<'_>,
    rooms: &[Room],
    candidates: &[usize],
    horizon: Horizon,
    placed: &HashMap<Name, u32>,
    preference: Preference,
) -> Option<Vec<usize>> {
    let needs = &demand.shape.needs;
    let open = candidates
        .iter()
        .filter_map(|i| candidate(demand, &rooms[*i], *i, horizon, placed));
    let mut open: Vec<Candidate> = open.collect();
    let mut found = Vec::with_capacity(demand.indexes.len());
    let explores = demand.has_time_to_explore();
    for _ in &demand.indexes {
        let fits = |c: &&mut Candidate| {
            c.tasks_left > 0 && c.free.fits(needs) && c.spare.is_none_or(|s| s.fits(needs))
        };
        let best = open.iter_mut().filter(fits).min_by_key(|c| {
            let room = &rooms[c.room];
            let left = c.free.accelerators - needs.accelerators;
            (
                room.fault_count,
                demand.avoids(&room.worker),
                demand.caution != Caution::None && !room.proven,
                is_reserved_against(demand, room),
                room.slowness_step == SLOWEST_STEP,
                match preference {
                    Preference::Fullest => 0,
                    Preference::Fastest => room.slowness_step,
                },
                left,
                room.must_be_asked(),
                c.free.cpu_millis,
                explores && !room.is_speed_unknown,
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
pub(super) fn is_reserved_against(demand: &Demand<'_>, room: &Room) -> bool {
    demand.priority >= room.reserved_against
}

pub(super) fn candidate(
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
    // Callers of a starved job would otherwise see it wait next to idle workers for as long as the
    // demand that they are held for.
    let ignores_holds = demand.shape.lasting || (demand.is_starved && room.open_to_all);
    let conflicting_hold =
        held.filter(|h| is_now && !ignores_holds && demand.estimate_ms > h.from_ms);
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

/// Returns whether the demand's tasks may be started on the worker as far as its kind and its state are
/// concerned, whatever room it has.
pub(super) fn is_suitable(demand: &Demand<'_>, room: &Room) -> bool {
    is_able(demand, room)
        && is_allowed(demand, room)
        && !demand.passes_over(room)
        && !(demand.only_sound && demand.has_failed_on(room))
}

/// Returns whether the worker has the demand's service and label, and the size of one of its tasks.
pub(super) fn is_able(demand: &Demand<'_>, room: &Room) -> bool {
    let label = demand.shape.label.as_ref();
    room.service == demand.service
        && label.is_none_or(|label| room.labels.contains(label))
        && room.capacity.fits(&demand.shape.needs)
}

/// Returns whether a worker that is able to run the demand's tasks may do so.
///
/// Tasks that use leftover processor time slow down user-serving tasks on the same worker by
/// amounts that change within seconds, so the two kinds run on different workers. A lasting task may
/// use reserved workers, since its users notice each second that it doesn't run.
pub(super) fn is_allowed(demand: &Demand<'_>, room: &Room) -> bool {
    (room.open_to_all
        || demand.is_starved
        || demand.shape.lasting
        || !is_reserved_against(demand, room))
        && demand
            .allowed_workers
            .as_ref()
            .is_none_or(|allowed| allowed.contains(&room.worker))
        && !(demand.shape.leftovers && room.has_serving_tasks)
        && !(demand.shape.response_ms > 0 && room.has_leftover_tasks)
        && (room.proven || demand.caution != Caution::OnlyProven)
}

/// Returns whether a task of the demand could start now on a suitable worker.
pub(super) fn can_start_now(demand: &Demand<'_>, room: &Room) -> bool {
    let candidate = candidate(demand, room, 0, Horizon::Now, &HashMap::default());
    candidate.is_some_and(|c| c.tasks(&demand.shape.needs, 1) > 0)
}

/// Holds room for a gang that would end late on the workers that are free now, whose slowness is
/// `slowness`, if it ends in time on faster workers that are expected to become free soon.
pub(super) fn hold_in_time(
    demand: &Demand<'_>,
    rooms: &mut [Room],
    placed: &HashMap<Name, u32>,
    slowness: f64,
) -> bool {
    let left_ms = u64::try_from(demand.left_ms).unwrap_or(0);
    let suitable = rooms.iter().filter(|r| is_suitable(demand, r));
    let mut release_times: Vec<u64> = suitable
        .flat_map(|r| &r.releases)
        .map(|(ms, _)| *ms)
        .filter(|ms| ms + demand.estimate_ms / 2 < left_ms)
        .collect();
    release_times.sort_unstable();
    release_times.dedup();
    let stride = release_times.len().div_ceil(MAX_WAIT_TIMES).max(1);
    for from_ms in release_times.into_iter().skip(stride - 1).step_by(stride) {
        let horizon = Horizon::At(from_ms);
        let set = worker_sets::choose(demand, rooms, horizon, placed);
        let is_faster = |set: &WorkerSet| set.slowness * STEP_RATIO <= slowness;
        if let Some(set) = set.filter(|set| set.in_time && is_faster(set)) {
            hold_set(demand, rooms, &set.rooms, from_ms);
            return true;
        }
    }
    false
}

fn hold_set(demand: &Demand<'_>, rooms: &mut [Room], found: &[usize], from_ms: u64) {
    for i in found {
        let room = &mut rooms[*i];
        let spare = room.hold.map_or_else(|| room.free_at(from_ms), |h| h.spare);
        let spare = spare.minus(&demand.shape.needs);
        room.hold = Some(Hold { from_ms, spare });
    }
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
        hold_set(demand, rooms, &found, from_ms);
        return true;
    }
    false
}
