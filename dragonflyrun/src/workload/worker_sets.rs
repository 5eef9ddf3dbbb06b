//! The choice of the set of workers for one demand, by when it would end there.
//!
//! The load behind these rules is a pool of workers of several speeds under urgent gangs that need
//! nearly all the time that their objective allows. A gang is as slow as its slowest worker, so a
//! set that mixes speeds wastes the faster workers in it. Of the sets in which a demand ends in time
//! it therefore takes the slowest, and the faster workers stay free for the demands that need them.
//! `docs/design/speed-placement.md` describes what is weighed.

use crate::{
    utils::{HashMap, Name},
    workload::{
        Caution,
        Demand,
        Room,
        rooms::EXPECTED_STOP_MS,
        schedule::{
            Horizon, Preference, best_fit, by_rack, candidate, is_reserved_against, is_suitable,
            on_rack,
        },
        speeds::SLOWEST_STEP, //
    },
};

/// Milliseconds from the order to start a run until it makes progress: an order reaches its agent in
/// about 50 ms, and a gang begins with its last member.
pub(super) const EXPECTED_START_MS: u64 = 200;

/// Ratio of the time that the slowest task of a gang takes to the estimate. Tasks of the same step
/// differ by 0.15 to 0.3.
pub(super) const TIME_MARGIN: f64 = 1.25;

/// Ratio of expected slowness from which a gang takes faster workers beside its slowest member. The
/// slowest member decides most of the ratio, so that a small difference is worth it; without any
/// difference, the fullest workers are taken.
const MIN_GAIN_RATIO: f64 = 1.01;

/// A set of workers for a demand.
#[derive(Clone, Debug)]
pub(super) struct WorkerSet {
    /// The index of the room for each task.
    pub(super) rooms: Vec<usize>,
    /// The expected slowness of the tasks on these workers.
    pub(super) slowness: f64,
    /// The expected slowness on the slowest set that was available.
    pub(super) slowest: f64,
    /// Whether sets of other speeds were available.
    pub(super) is_by_speed: bool,
    /// Whether the demand is expected to end in time there.
    pub(super) in_time: bool,
    /// Expected milliseconds from now until the demand ends there.
    pub(super) ends_in_ms: f64,
}

/// Finds the set of workers for a demand: of those on which it ends in time the slowest, otherwise
/// the one on which it ends first.
///
/// Workers are first taken that are neither faulty nor degraded, that are proven where the demand
/// needs that, and that aren't reserved for more urgent work.
pub(super) fn choose(
    demand: &Demand<'_>,
    rooms: &[Room],
    horizon: Horizon,
    placed: &HashMap<Name, u32>,
) -> Option<WorkerSet> {
    let search = Search {
        demand,
        rooms,
        horizon,
        placed,
        needs_one_rack: demand.shape.one_rack && demand.indexes.len() > 1,
    };
    let open: Vec<Open> = (0..rooms.len()).filter_map(|i| search.open(i)).collect();
    if !has_room(&open, demand.indexes.len()) {
        return None;
    }
    let near = search.choose(&open, false);
    if near.is_some() || !demand.far_allowed {
        return near;
    }
    search.choose(&open, true)
}

/// A worker with room for at least one task.
#[derive(Clone, Copy, Debug)]
struct Open {
    room: usize,
    /// The number of tasks that fit.
    tasks: u32,
    step: i32,
}

fn has_room(open: &[Open], tasks: usize) -> bool {
    open.iter().map(|o| o.tasks as usize).sum::<usize>() >= tasks
}

struct Search<'a> {
    demand: &'a Demand<'a>,
    rooms: &'a [Room],
    horizon: Horizon,
    placed: &'a HashMap<Name, u32>,
    needs_one_rack: bool,
}

impl Search<'_> {
    fn open(&self, i: usize) -> Option<Open> {
        let room = &self.rooms[i];
        if !is_suitable(self.demand, room) {
            return None;
        }
        let candidate = candidate(self.demand, room, i, self.horizon, self.placed)?;
        let tasks = candidate.tasks(&self.demand.shape.needs, self.demand.indexes.len() as u32);
        (tasks > 0).then_some(Open {
            room: i,
            tasks,
            step: room.slowness_step,
        })
    }

    /// Tries the workers without any disadvantage first, and then those with one more each time.
    fn choose(&self, open: &[Open], far: bool) -> Option<WorkerSet> {
        let room = |o: &Open| &self.rooms[o.room];
        let healthy = |o: &Open| room(o).fault_count == 0 && !self.demand.avoids(&room(o).worker);
        let nominal = |o: &Open| healthy(o) && o.step < SLOWEST_STEP;
        let proven =
            |o: &Open| nominal(o) && (self.demand.caution == Caution::None || room(o).proven);
        let unreserved = |o: &Open| proven(o) && !is_reserved_against(self.demand, room(o));
        let mut late: Option<WorkerSet> = None;
        let mut tried = 0;
        for accepts in [&unreserved as &dyn Fn(&Open) -> bool, &proven] {
            let set: Vec<Open> = open.iter().filter(|o| accepts(o)).copied().collect();
            if set.len() == tried {
                continue;
            }
            tried = set.len();
            let found = self.best_set(&set, far);
            if found.as_ref().is_some_and(|f| f.in_time) {
                return found;
            }
            late = [late, found]
                .into_iter()
                .flatten()
                .min_by(|a, b| a.ends_in_ms.total_cmp(&b.ends_in_ms));
        }
        if late.is_some() {
            return late;
        }
        for accepts in [&nominal as &dyn Fn(&Open) -> bool, &healthy, &|_| true] {
            let set: Vec<Open> = open.iter().filter(|o| accepts(o)).copied().collect();
            if set.len() > tried {
                tried = set.len();
                let found = self.best_set(&set, far);
                if found.is_some() {
                    return found;
                }
            }
        }
        None
    }

    /// Returns the best set among these workers: on a single rack, on the rack of the tasks' data, or
    /// anywhere.
    fn best_set(&self, open: &[Open], far: bool) -> Option<WorkerSet> {
        if !has_room(open, self.demand.indexes.len()) {
            return None;
        }
        if far {
            return self.best_in_group(open, self.demand.far_factor);
        }
        let members: Vec<usize> = open.iter().map(|o| o.room).collect();
        let of_group = |group: &[usize]| -> Vec<Open> {
            let mut group = group.iter().peekable();
            let in_group = |o: &&Open| group.next_if(|i| **i == o.room).is_some();
            open.iter().filter(in_group).copied().collect()
        };
        if let Some(rack) = &self.demand.shape.rack {
            let near = on_rack(self.rooms, &members, rack);
            return self.best_in_group(&of_group(&near), 1.0);
        }
        if !self.needs_one_rack {
            return self.best_in_group(open, 1.0);
        }
        let found = by_rack(self.rooms, &members)
            .into_iter()
            .filter_map(|near| {
                let set = self.best_in_group(&of_group(&near), 1.0)?;
                Some((self.rank_of_rack(&near, &set), set))
            });
        found.min_by_key(|(rank, _)| *rank).map(|(_, set)| set)
    }

    /// Returns the rank of a rack by the set that was found there. Filling the rack with the least
    /// room keeps the others whole for larger gangs.
    fn rank_of_rack(&self, near: &[usize], set: &WorkerSet) -> (bool, i32, u64, usize) {
        let steps = set.rooms.iter().map(|i| self.rooms[*i].slowness_step);
        let step = steps.max().unwrap_or(0);
        let left = near
            .iter()
            .map(|i| self.rooms[*i].available(self.horizon).accelerators);
        let asked = set.rooms.iter().filter(|i| self.rooms[**i].must_be_asked());
        let prefers_slow = set.in_time && !self.takes_fastest();
        let step = if prefers_slow { -step } else { step };
        (!set.in_time, step, left.sum(), asked.count())
    }

    /// Returns the best set within a group of workers next to each other, on which tasks take
    /// `far_factor` times as long as they should.
    ///
    /// For each speed, the set takes that speed and as few of the faster ones as possible.
    fn best_in_group(&self, open: &[Open], far_factor: f64) -> Option<WorkerSet> {
        let tasks = self.demand.indexes.len();
        let mut steps: Vec<i32> = open.iter().map(|o| o.step).collect();
        steps.sort_unstable_by_key(|step| -step);
        steps.dedup();
        let mut best: Option<WorkerSet> = None;
        let mut slowest: Option<f64> = None;
        let is_by_speed = steps.len() > 1;
        for (i, top) in steps.iter().enumerate() {
            let band = steps[i..].iter().find_map(|bottom| {
                let in_band = open.iter().filter(|o| (*bottom..=*top).contains(&o.step));
                let in_band: Vec<Open> = in_band.copied().collect();
                has_room(&in_band, tasks).then_some(in_band)
            });
            let Some(band) = band else {
                break;
            };
            let Some(found) = self.best_fit(&band, Preference::Fullest) else {
                continue;
            };
            let slowness = self.slowness(&found);
            let slowest = *slowest.get_or_insert(slowness);
            let set = WorkerSet {
                is_by_speed,
                ..self.set(found, slowness, slowest, far_factor)
            };
            if set.in_time && !self.takes_fastest() {
                return Some(set);
            }
            if best.as_ref().is_none_or(|b| set.ends_in_ms < b.ends_in_ms) {
                best = Some(set);
            }
        }
        let best = best?;
        if !self.takes_fastest() || !is_by_speed {
            return Some(best);
        }
        // The slowest member limits the gang, but with faster ones beside it there are fewer that
        // may turn out to be slower than expected.
        let fastest = self.best_fit(open, Preference::Fastest)?;
        let slowness = self.slowness(&fastest);
        Some(if slowness * MIN_GAIN_RATIO < best.slowness {
            WorkerSet {
                is_by_speed,
                ..self.set(fastest, slowness, best.slowest, far_factor)
            }
        } else {
            best
        })
    }

    fn best_fit(&self, open: &[Open], preference: Preference) -> Option<Vec<usize>> {
        let members: Vec<usize> = open.iter().map(|o| o.room).collect();
        let Self {
            demand,
            rooms,
            horizon,
            placed,
            ..
        } = self;
        best_fit(demand, rooms, &members, *horizon, placed, preference)
    }

    /// Returns whether the demand takes the set on which it ends first, even if it is in time on
    /// others.
    ///
    /// Urgent work does: it needs nearly all of its time, the estimates of both the work and the
    /// speeds are rough, and a fast worker is free again for the next gang the sooner.
    fn takes_fastest(&self) -> bool {
        self.demand.priority == 0
    }

    fn set(&self, rooms: Vec<usize>, slowness: f64, slowest: f64, far_factor: f64) -> WorkerSet {
        let begins_in_ms = match self.horizon {
            Horizon::Now | Horizon::OnceAsked => 0,
            Horizon::AfterStops => EXPECTED_STOP_MS,
            Horizon::At(ms) => ms,
        };
        let takes_ms = self.demand.estimate_ms as f64 * slowness * far_factor;
        let ends_in_ms = (begins_in_ms + EXPECTED_START_MS) as f64 + takes_ms;
        WorkerSet {
            rooms,
            slowness,
            slowest,
            is_by_speed: false,
            in_time: ends_in_ms + takes_ms * (TIME_MARGIN - 1.0) <= self.demand.left_ms as f64,
            ends_in_ms,
        }
    }

    /// Returns the expected slowness of the tasks on these workers.
    fn slowness(&self, found: &[usize]) -> f64 {
        let mut members = found.to_vec();
        members.sort_unstable();
        members.dedup();
        let workers = members.iter().map(|i| &self.rooms[*i].worker);
        let degraded = members.iter().map(|i| &self.rooms[*i]);
        let degraded = degraded.filter(|r| r.slowness_step == SLOWEST_STEP);
        let slowness = self.demand.speeds.gang_slowness(workers);
        degraded.fold(slowness, |slowness, r| slowness.max(r.slowness))
    }
}
