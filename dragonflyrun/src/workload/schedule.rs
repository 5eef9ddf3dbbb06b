//! Where tasks fit: one demand against the room of all workers.
//!
//! Load pattern answered here: gangs that need whole workers come while small tasks are spread over
//! all of them. Best fit keeps free accelerators together, and an eviction takes what loses the
//! least work.

use crate::{
    utils::{HashMap, Name},
    workload::{Resources, RunId, Step},
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
    /// Whether tasks of lower priority are evicted for it.
    pub may_evict: bool,
    /// Unix milliseconds by which the job should be done.
    pub objective_ms: u64,
    /// Workers where the last runs failed; taken only where no other has room.
    pub avoid: Vec<Name>,
    /// Whether it takes another rack than that of its data, or more than one.
    pub far_allowed: bool,
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
    pub soon: Resources,
    /// What it has in all.
    pub capacity: Resources,
    /// Higher for workers that have failed tasks or work slowly.
    pub doubt: u32,
}

/// Runs that are evicted together: a gang, or one task.
#[derive(Clone, Debug)]
pub(super) struct Victim {
    /// What it has on which worker, by the index of the room.
    pub parts: Vec<(usize, RunId, Resources)>,
    /// Its priority.
    pub priority: u32,
    /// Core-seconds that are lost by it.
    pub cost: f64,
}

/// How much of a worker counts as room.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Horizon {
    /// What is free now.
    Now,
    /// What is free once the stops under way are through.
    Soon,
}

/// Victims that are looked at for one demand, at the most: more would make a pass at 300 workers
/// take longer than the few milliseconds that an entry's share of a core allows.
const MOST_VICTIMS: usize = 48;

impl Room {
    fn has(&self, horizon: Horizon) -> Resources {
        match horizon {
            Horizon::Now => self.free,
            Horizon::Soon => self.soon,
        }
    }

    /// Takes `needs` out of what is free now and soon.
    pub fn take(&mut self, needs: &Resources) {
        self.free = self.free.minus(needs);
        self.soon = self.soon.minus(needs);
    }

    /// Takes `needs` out of what becomes free, and out of what is free now as far as that reaches.
    pub fn reserve(&mut self, needs: &Resources) {
        self.take(needs);
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
    let sound: Vec<usize> = fitting.iter().copied().filter(|i| {
        !demand.avoid.contains(&rooms[*i].worker) && rooms[*i].doubt == 0
    }).collect();
    for candidates in [&sound, &fitting] {
        if let Some(found) = place_near(demand, rooms, candidates, horizon, placed) {
            return Some(found);
        }
    }
    demand.far_allowed.then(|| {
        [&sound, &fitting].into_iter().find_map(|candidates| {
            fill(demand, rooms, candidates, horizon, placed)
        })
    })?
}

/// Places where the tasks work at full speed: on one rack, or on the rack of the data.
fn place_near(
    demand: &Demand<'_>,
    rooms: &[Room],
    candidates: &[usize],
    horizon: Horizon,
    placed: &HashMap<Name, u32>,
) -> Option<Vec<usize>> {
    if let Some(rack) = &demand.shape.rack {
        let near = on_rack(rooms, candidates, rack);
        return fill(demand, rooms, &near, horizon, placed);
    }
    if !(demand.shape.one_rack && demand.indexes.len() > 1) {
        return fill(demand, rooms, candidates, horizon, placed);
    }
    let mut racks: Vec<&Name> = candidates.iter().filter_map(|i| rooms[*i].rack.as_ref()).collect();
    racks.sort_unstable();
    racks.dedup();
    let found = racks.into_iter().filter_map(|rack| {
        let near = on_rack(rooms, candidates, rack);
        let found = fill(demand, rooms, &near, horizon, placed)?;
        let left: u64 = near.iter().map(|i| rooms[*i].has(horizon).accelerators).sum();
        Some((left, found))
    });
    // The rack with the least left over keeps the others whole for larger gangs.
    found.min_by_key(|(left, _)| *left).map(|(_, found)| found)
}

fn on_rack(rooms: &[Room], candidates: &[usize], rack: &Name) -> Vec<usize> {
    let near = candidates.iter().copied();
    near.filter(|i| rooms[*i].rack.as_ref() == Some(rack)).collect()
}

/// Places each task on the fullest worker that still takes it.
fn fill(
    demand: &Demand<'_>,
    rooms: &[Room],
    candidates: &[usize],
    horizon: Horizon,
    placed: &HashMap<Name, u32>,
) -> Option<Vec<usize>> {
    let needs = &demand.shape.needs;
    let mut left: Vec<(usize, Resources, u32)> = candidates.iter().map(|i| {
        let here = placed.get(&rooms[*i].worker).copied().unwrap_or(0);
        let most = match demand.shape.per_worker {
            0 => u32::MAX,
            most => most.saturating_sub(here),
        };
        (*i, rooms[*i].has(horizon), most)
    }).collect();
    let mut found = Vec::with_capacity(demand.indexes.len());
    for _ in &demand.indexes {
        let best = left.iter_mut()
            .filter(|(_, free, most)| *most > 0 && free.fits(needs))
            .min_by_key(|(i, free, _)| {
                (rooms[*i].doubt, free.accelerators - needs.accelerators, free.cpu_millis)
            })?;
        best.1 = best.1.minus(needs);
        best.2 -= 1;
        found.push(best.0);
    }
    Some(found)
}

/// Returns whether the worker may run the demand's tasks at all.
pub(super) fn is_suitable(demand: &Demand<'_>, room: &Room) -> bool {
    let label = demand.shape.label.as_ref();
    room.service == demand.service
        && label.is_none_or(|label| room.labels.contains(label))
        && room.capacity.fits(&demand.shape.needs)
}

/// Finds the cheapest victims whose room makes `demand` fit; returns their indexes and the rooms.
pub(super) fn evict(
    demand: &Demand<'_>,
    rooms: &[Room],
    victims: &[Victim],
    placed: &HashMap<Name, u32>,
) -> Option<(Vec<usize>, Vec<usize>)> {
    let mut order: Vec<usize> = (0..victims.len()).filter(|v| {
        let victim = &victims[*v];
        let useful = victim.parts.iter().any(|(i, ..)| is_suitable(demand, &rooms[*i]));
        useful && victim.priority > demand.priority
    }).collect();
    order.sort_by(|a, b| victims[*a].cost.total_cmp(&victims[*b].cost));
    order.truncate(MOST_VICTIMS);
    let mut trial = rooms.to_vec();
    let mut taken = Vec::new();
    let mut found = None;
    for v in order {
        give_back(&mut trial, &victims[v]);
        taken.push(v);
        found = place(demand, &trial, Horizon::Soon, placed);
        if found.is_some() {
            break;
        }
    }
    found.as_ref()?;
    // Dearest first, drop each victim whose room turned out not to be needed.
    for v in taken.clone().into_iter().rev() {
        let mut without = rooms.to_vec();
        for other in taken.iter().filter(|other| **other != v) {
            give_back(&mut without, &victims[*other]);
        }
        if let Some(fits) = place(demand, &without, Horizon::Soon, placed) {
            taken.retain(|other| *other != v);
            found = Some(fits);
        }
    }
    found.map(|found| (taken, found))
}

fn give_back(rooms: &mut [Room], victim: &Victim) {
    for (i, _, needs) in &victim.parts {
        rooms[*i].soon = rooms[*i].soon.plus(needs);
    }
}
