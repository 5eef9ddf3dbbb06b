//! An index of workers by a number of accelerators, which finds room for a shape without looking at
//! every worker.
//!
//! The scheduler's inventory has one each for the workers' capacity, for the free accelerators, and
//! for those that can still be allotted to guarantees.

use std::collections::BTreeSet;

use crate::{
    job::{
        Shape,
        placement::{Candidate, Part, best_of},
    },
    utils::HashMap,
    version::Adjacency,
};

/// Index of a worker in the tables of one scheduler.
pub(super) type WorkerId = usize;

/// Number of racks compared for one placement, starting with the rack that has the fewest slots to
/// spare. Some more are compared because the number of slots doesn't tell how many whole workers a
/// rack keeps.
const MAX_COMPARED_RACKS: usize = 4;

/// The sort key of a worker: its accelerators, then the sum of its rack, so that racks that are
/// mostly in use come before whole ones.
type Key = (u32, u32, WorkerId);

/// Workers with a number of available accelerators each, indexed by rack and failure domain.
#[derive(Clone, Debug, Default)]
pub(super) struct SlotIndex {
    candidates: Vec<Candidate>,
    racks: Vec<Rack>,
    domains: Vec<Scope>,
    all: Scope,
    rack_orders: HashMap<u32, BTreeSet<(u32, usize)>>,
}

#[derive(Clone, Debug, Default)]
struct Rack {
    members: Vec<WorkerId>,
    counts: Counts,
}

#[derive(Clone, Debug, Default)]
struct Scope {
    order: BTreeSet<Key>,
    counts: Counts,
}

/// The number of workers with each number of available accelerators, and the sum of the
/// accelerators.
#[derive(Clone, Debug, Default)]
struct Counts {
    workers: Vec<u32>,
    sum: u32,
}

impl Counts {
    fn add(&mut self, value: u32) {
        let at = value as usize;
        if self.workers.len() <= at {
            self.workers.resize(at + 1, 0);
        }
        self.workers[at] += 1;
        self.sum += value;
    }

    fn remove(&mut self, value: u32) {
        self.workers[value as usize] -= 1;
        self.sum -= value;
    }

    /// Returns how many tasks of `size` accelerators fit.
    fn slots(&self, size: u32) -> u32 {
        let counts = self.workers.iter().zip(0u32..);
        counts
            .map(|(workers, value)| workers * (value / size))
            .sum()
    }
}

impl SlotIndex {
    /// Adds a worker with no available accelerators and returns its index; workers are numbered in
    /// the order in which they are added.
    pub(super) fn add(&mut self, rack: usize, domain: usize) -> WorkerId {
        let worker = self.candidates.len();
        if self.racks.len() <= rack {
            self.racks.resize_with(rack + 1, Rack::default);
        }
        if self.domains.len() <= domain {
            self.domains.resize_with(domain + 1, Scope::default);
        }
        self.candidates.push(Candidate {
            worker,
            rack,
            domain,
            available: 0,
        });
        self.remove_rack_keys(rack);
        self.racks[rack].members.push(worker);
        self.racks[rack].counts.add(0);
        self.domains[domain].counts.add(0);
        self.all.counts.add(0);
        self.insert_rack_keys(rack);
        worker
    }

    /// Returns the accelerators available on `worker`.
    pub(super) fn available(&self, worker: WorkerId) -> u32 {
        self.candidates[worker].available
    }

    /// Returns `worker` with its location and available accelerators.
    pub(super) fn candidate(&self, worker: WorkerId) -> Candidate {
        self.candidates[worker]
    }

    /// Sets the accelerators available on `worker`.
    pub(super) fn set(&mut self, worker: WorkerId, value: u32) {
        let candidate = self.candidates[worker];
        if candidate.available == value {
            return;
        }
        self.remove_rack_keys(candidate.rack);
        for counts in [
            &mut self.racks[candidate.rack].counts,
            &mut self.domains[candidate.domain].counts,
            &mut self.all.counts,
        ] {
            counts.remove(candidate.available);
            counts.add(value);
        }
        self.candidates[worker].available = value;
        self.insert_rack_keys(candidate.rack);
    }

    /// Returns the best placement of `shape` that is found, or none if it doesn't fit.
    pub(super) fn find(&mut self, shape: &Shape) -> Option<Vec<Part>> {
        let size = shape.accelerators;
        match shape.adjacency {
            Adjacency::Worker => {
                let needed = shape.tasks.checked_mul(size)?;
                let (_, _, worker) = self.all.order.range((needed, 0, 0)..).next()?;
                Some(vec![Part {
                    worker: *worker,
                    tasks: shape.tasks,
                }])
            }
            Adjacency::Rack => self.find_rack(shape),
            Adjacency::FailureDomain => {
                let fits = self
                    .domains
                    .iter()
                    .filter(|d| d.counts.slots(size) >= shape.tasks);
                let tightest = fits.min_by_key(|d| d.counts.slots(size))?;
                self.find_in(tightest, shape)
            }
            Adjacency::Any if self.all.counts.slots(size) >= shape.tasks => {
                self.find_in(&self.all, shape)
            }
            Adjacency::Any => None,
        }
    }

    /// Returns whether `shape` fits.
    pub(super) fn fits(&self, shape: &Shape) -> bool {
        let size = shape.accelerators;
        let holds = |counts: &Counts| counts.slots(size) >= shape.tasks;
        match shape.adjacency {
            Adjacency::Any => holds(&self.all.counts),
            Adjacency::FailureDomain => self.domains.iter().any(|d| holds(&d.counts)),
            Adjacency::Rack => match self.rack_orders.get(&size) {
                Some(order) => order.last().is_some_and(|(slots, _)| *slots >= shape.tasks),
                None => self.racks.iter().any(|r| holds(&r.counts)),
            },
            Adjacency::Worker => {
                let needed = shape.tasks.saturating_mul(size);
                let last = self.all.order.last();
                last.is_some_and(|(value, _, _)| *value >= needed)
            }
        }
    }

    /// Returns the workers of the racks with the most slots for tasks of `size` accelerators, from
    /// at most `max_racks` racks.
    pub(super) fn racks_with_most_slots(
        &mut self,
        size: u32,
        max_racks: usize,
    ) -> Vec<Vec<Candidate>> {
        let racks: Vec<usize> = self
            .rack_order(size)
            .iter()
            .rev()
            .take(max_racks)
            .map(|(_, rack)| *rack)
            .collect();
        racks
            .into_iter()
            .map(|rack| self.candidates_in(rack))
            .collect()
    }

    /// Returns the workers with the most available accelerators in each failure domain, at most
    /// `max_workers` in each.
    pub(super) fn most_available_by_domain(&self, max_workers: usize) -> Vec<Vec<Candidate>> {
        let most_available = |d: &Scope| {
            let workers = d.order.iter().rev().take(max_workers);
            workers.map(|(_, _, w)| self.candidates[*w]).collect()
        };
        self.domains.iter().map(most_available).collect()
    }

    /// Returns the workers with the most available accelerators, at most `max_workers`.
    pub(super) fn most_available(&self, max_workers: usize) -> Vec<Candidate> {
        let workers = self.all.order.iter().rev().take(max_workers);
        workers.map(|(_, _, w)| self.candidates[*w]).collect()
    }

    fn find_rack(&mut self, shape: &Shape) -> Option<Vec<Part>> {
        let racks: Vec<usize> = self
            .rack_order(shape.accelerators)
            .range((shape.tasks, 0)..)
            .take(MAX_COMPARED_RACKS)
            .map(|(_, rack)| *rack)
            .collect();
        let plans = racks.into_iter().filter_map(|rack| {
            let mut candidates = self.candidates_in(rack);
            candidates.sort_by_key(|s| (s.available, s.worker));
            best_of(&candidates, shape.tasks, shape.accelerators)
        });
        plans
            .max_by_key(|plan| plan.packing_score)
            .map(|plan| plan.parts)
    }

    /// Returns the best of three ways to fill the workers of `scope`. It reads no more workers from
    /// each end of the order than the shape has tasks.
    fn find_in(&self, scope: &Scope, shape: &Shape) -> Option<Vec<Part>> {
        let Shape {
            tasks,
            accelerators,
            ..
        } = *shape;
        let max_workers = tasks as usize;
        let candidate = |key: &Key| self.candidates[key.2];
        let from = (accelerators, 0, 0);
        let mut candidates: Vec<Candidate> = scope
            .order
            .range(from..)
            .take(max_workers)
            .map(candidate)
            .collect();
        let last = scope
            .order
            .range(from..)
            .rev()
            .take(max_workers)
            .map(candidate);
        let whole = tasks.saturating_mul(accelerators);
        let single = scope.order.range((whole, 0, 0)..).take(1).map(candidate);
        candidates.extend(last.chain(single));
        candidates.sort_by_key(|s| (s.available, self.racks[s.rack].counts.sum, s.worker));
        candidates.dedup_by_key(|s| s.worker);
        best_of(&candidates, tasks, accelerators).map(|plan| plan.parts)
    }

    /// Returns the workers in the rack of `worker`, including itself.
    pub(super) fn rack_members(&self, worker: WorkerId) -> Vec<Candidate> {
        self.candidates_in(self.candidates[worker].rack)
    }

    fn candidates_in(&self, rack: usize) -> Vec<Candidate> {
        let members = self.racks[rack].members.iter();
        members.map(|w| self.candidates[*w]).collect()
    }

    /// Returns the racks ordered by their slots for tasks of `size` accelerators. The order is
    /// built when a size is first used and updated from then on; there are at most as many sizes as
    /// a worker has accelerators.
    pub(super) fn rack_order(&mut self, size: u32) -> &BTreeSet<(u32, usize)> {
        let racks = &self.racks;
        self.rack_orders.entry(size).or_insert_with(|| {
            let slots = racks.iter().zip(0usize..);
            slots.map(|(r, at)| (r.counts.slots(size), at)).collect()
        })
    }

    fn remove_rack_keys(&mut self, rack: usize) {
        for (size, order) in &mut self.rack_orders {
            order.remove(&(self.racks[rack].counts.slots(*size), rack));
        }
        self.update_worker_keys(rack, |order, key| {
            order.remove(&key);
        });
    }

    fn insert_rack_keys(&mut self, rack: usize) {
        for (size, order) in &mut self.rack_orders {
            order.insert((self.racks[rack].counts.slots(*size), rack));
        }
        self.update_worker_keys(rack, |order, key| {
            order.insert(key);
        });
    }

    /// Adds or removes the key of each member of `rack` in the orders, since the key contains the
    /// sum of the rack.
    fn update_worker_keys(&mut self, rack: usize, change: impl Fn(&mut BTreeSet<Key>, Key)) {
        let Rack { members, counts } = &self.racks[rack];
        for worker in members {
            let candidate = self.candidates[*worker];
            let key = (candidate.available, counts.sum, *worker);
            change(&mut self.domains[candidate.domain].order, key);
            change(&mut self.all.order, key);
        }
    }
}
