//! Allotment of guarantees to workers, updated when workers come and go and when jobs start outside
//! an allotment.

use crate::{
    job::{
        Shape,
        guarantee::{GuaranteeId, Guarantees},
        inventory::Inventory,
        packing::pack,
        placement::{Candidate, Part, pick, scope_of},
        slots::WorkerId,
    },
    utils::{HashMap, Name},
    version::Adjacency,
};

/// Maximum number of workers with which the exact search is tried.
const MAX_EXACT_WORKERS: usize = 64;

impl Guarantees {
    /// Allots the missing tasks of a guarantee next to the tasks that it has; returns whether it is
    /// complete.
    pub(super) fn complete(&mut self, inventory: &mut Inventory, id: GuaranteeId) -> bool {
        let entry = &self.entries[id];
        let allotted: u32 = entry.shares.iter().map(|s| s.tasks).sum();
        let missing = entry.shape.tasks.saturating_sub(allotted);
        if missing == 0 {
            return true;
        }
        let shape = Shape {
            tasks: missing,
            ..entry.shape
        };
        let found = match entry.shares.first() {
            None => inventory.allottable.find(&shape),
            Some(share) => {
                let at = inventory.allottable.candidate(share.worker);
                let candidates = neighbours(inventory, &at, &shape);
                pick(&candidates, &shape).map(|plan| plan.parts)
            }
        };
        let Some(parts) = found else { return false };
        self.allot(inventory, id, &parts);
        true
    }

    /// Moves the allotment of a guarantee without jobs so that it contains `parts`. Other
    /// allotments without jobs that are in the way are moved elsewhere; if one of them can't be,
    /// nothing changes. Returns whether the allotment was moved.
    pub(super) fn move_to(
        &mut self,
        inventory: &mut Inventory,
        id: GuaranteeId,
        parts: &[Part],
        size: u32,
    ) -> bool {
        let entry = &self.entries[id];
        if !entry.movable() {
            return false;
        }
        let Some(wanted) = round_up(inventory, &entry.shape, parts, size) else {
            return false;
        };
        let mut moved = vec![(id, self.remove_shares(inventory, id, |_| true))];
        let done = self.clear_workers(inventory, id, &wanted, &mut moved)
            && {
                self.allot(inventory, id, &wanted);
                self.complete(inventory, id)
            }
            && moved[1..]
                .iter()
                .all(|(other, _)| self.complete(inventory, *other));
        if !done {
            for (other, _) in &moved {
                self.remove_shares(inventory, *other, |_| true);
            }
            for (other, before) in &moved {
                self.allot(inventory, *other, before);
            }
        }
        done
    }

    /// Removes allotments without jobs until `wanted` is allottable, and adds them to `moved`;
    /// returns whether that succeeded.
    fn clear_workers(
        &mut self,
        inventory: &mut Inventory,
        id: GuaranteeId,
        wanted: &[Part],
        moved: &mut Vec<(GuaranteeId, Vec<Part>)>,
    ) -> bool {
        let size = self.entries[id].shape.accelerators;
        wanted.iter().all(|part| {
            while inventory.allottable.available(part.worker) < part.tasks * size {
                let in_the_way = self.on(part.worker).iter().copied();
                let movable = in_the_way.filter(|o| *o != id && self.entries[*o].movable());
                let Some(other) = movable.min_by_key(|o| self.entries[*o].accelerators()) else {
                    return false;
                };
                let before = self.remove_shares(inventory, other, |_| true);
                moved.push((other, before));
            }
            true
        })
    }

    /// Moves allotments away from the workers in `changed` that can't provide them any more, and
    /// allots guarantees that are incomplete. Returns whether all guarantees are complete.
    pub(super) fn reallot(&mut self, inventory: &mut Inventory, changed: &[WorkerId]) -> bool {
        for worker in changed {
            self.withdraw_from(inventory, *worker);
        }
        let incomplete = self.incomplete();
        let whole = incomplete.iter().all(|id| self.complete(inventory, *id));
        whole || self.allot_all(inventory)
    }

    /// Moves allotments without jobs away from `worker`, as far as there is room for them
    /// elsewhere.
    pub(super) fn evacuate(&mut self, inventory: &mut Inventory, worker: WorkerId) {
        for id in self.on(worker).to_vec() {
            if !self.entries[id].movable() {
                continue;
            }
            let before = self.remove_shares(inventory, id, |_| true);
            if !self.complete(inventory, id) {
                self.allot(inventory, id, &before);
            }
        }
    }

    /// Returns the guarantees that aren't completely allotted.
    pub(super) fn incomplete(&self) -> Vec<GuaranteeId> {
        let is_incomplete = |id: &GuaranteeId| {
            let entry = &self.entries[*id];
            let tasks: u32 = entry.shares.iter().map(|s| s.tasks).sum();
            tasks < entry.shape.tasks
        };
        (0..self.entries.len()).filter(is_incomplete).collect()
    }

    /// Removes allotments on a worker that isn't usable or has fewer accelerators than are
    /// allotted. If a job is in an allotment, the shares on other workers stay where they are.
    fn withdraw_from(&mut self, inventory: &mut Inventory, worker: WorkerId) {
        let usable = inventory.worker(worker).usable();
        if usable && !inventory.is_over_allotted(worker) {
            return;
        }
        for id in self.on(worker).to_vec() {
            if self.entries[id].movable() {
                self.remove_shares(inventory, id, |_| true);
            } else {
                self.remove_shares(inventory, id, |s| s.worker == worker && s.used == 0);
            }
        }
    }

    /// Allots all guarantees without jobs anew. First they are allotted one by one, those that are
    /// hardest to place first; if one of them doesn't fit, by exact search. If that fails too, the
    /// hardware can't meet them all, and workspaces take turns.
    fn allot_all(&mut self, inventory: &mut Inventory) -> bool {
        let mut movable: Vec<GuaranteeId> = (0..self.entries.len())
            .filter(|id| self.entries[*id].movable())
            .collect();
        movable.sort_by_key(|id| {
            let entry = &self.entries[*id];
            let shape = entry.shape;
            (
                std::cmp::Reverse((shape.accelerators, shape.adjacency, shape.tasks)),
                *id,
            )
        });
        self.remove_all_shares(inventory, &movable);
        let held = (0..self.entries.len()).filter(|id| !self.entries[*id].movable());
        for id in held.collect::<Vec<_>>() {
            self.complete(inventory, id);
        }
        let mut ids_in_order = movable.iter();
        if ids_in_order.all(|id| self.complete(inventory, *id)) {
            return self.incomplete().is_empty();
        }
        self.remove_all_shares(inventory, &movable);
        if !self.allot_by_search(inventory, &movable) {
            self.allot_in_turns(inventory, movable);
        }
        self.incomplete().is_empty()
    }

    fn remove_all_shares(&mut self, inventory: &mut Inventory, ids: &[GuaranteeId]) {
        for id in ids {
            self.remove_shares(inventory, *id, |_| true);
        }
    }

    fn allot_by_search(&mut self, inventory: &mut Inventory, ids: &[GuaranteeId]) -> bool {
        let candidates: Vec<Candidate> = inventory
            .ids()
            .map(|w| inventory.allottable.candidate(w))
            .filter(|s| s.available > 0)
            .collect();
        if candidates.len() > MAX_EXACT_WORKERS {
            return false;
        }
        let shapes: Vec<_> = ids.iter().map(|id| self.entries[*id].shape).collect();
        let Some(found) = pack(&candidates, &shapes) else {
            return false;
        };
        for (id, parts) in ids.iter().zip(found) {
            self.allot(inventory, *id, &parts);
        }
        true
    }

    /// Allots one guarantee after the other, each time for the workspace that has the smallest
    /// share of what it was promised.
    fn allot_in_turns(&mut self, inventory: &mut Inventory, ids: Vec<GuaranteeId>) {
        let mut shares: HashMap<Name, WorkspaceShare> = HashMap::default();
        for (entry, id) in self.entries.iter().zip(0..) {
            let share = shares.entry(entry.workspace.clone()).or_default();
            share.promised += u64::from(entry.accelerators());
            if !ids.contains(&id) {
                share.allotted += u64::from(entry.accelerators());
            }
        }
        let mut left = ids;
        while !left.is_empty() {
            let share = |id: &GuaranteeId| {
                let entry = &self.entries[*id];
                shares
                    .get(&entry.workspace)
                    .map_or(0, WorkspaceShare::permille)
            };
            let next = (0..left.len()).min_by_key(|at| (share(&left[*at]), *at));
            let id = left.remove(next.unwrap_or(0));
            if self.complete(inventory, id)
                && let Some(share) = shares.get_mut(&self.entries[id].workspace)
            {
                share.allotted += u64::from(self.entries[id].accelerators());
            }
        }
    }
}

/// Returns the tasks of `shape` that contain `parts`; none if the parts aren't within one scope of
/// its adjacency or need more tasks than the shape has.
fn round_up(inventory: &Inventory, shape: &Shape, parts: &[Part], size: u32) -> Option<Vec<Part>> {
    let scope = |p: &Part| scope_of(&inventory.allottable.candidate(p.worker), shape.adjacency);
    let first = parts.first().map(scope)?;
    if parts.iter().any(|p| scope(p) != first) {
        return None;
    }
    let wanted: Vec<Part> = parts
        .iter()
        .map(|part| Part {
            worker: part.worker,
            tasks: (part.tasks * size).div_ceil(shape.accelerators),
        })
        .collect();
    let tasks: u32 = wanted.iter().map(|p| p.tasks).sum();
    (tasks <= shape.tasks).then_some(wanted)
}

/// Returns the workers that may take the rest of `shape` given its adjacency to `at`.
fn neighbours(inventory: &mut Inventory, at: &Candidate, shape: &Shape) -> Vec<Candidate> {
    let max_workers = shape.tasks as usize;
    match shape.adjacency {
        Adjacency::Worker => vec![*at],
        Adjacency::Rack => inventory.allottable.rack_members(at.worker),
        Adjacency::FailureDomain => {
            let mut domains = inventory.allottable.most_available_by_domain(max_workers);
            domains.swap_remove(at.domain)
        }
        Adjacency::Any => inventory.allottable.most_available(max_workers),
    }
}

/// The accelerators that are promised and allotted to a workspace.
#[derive(Clone, Copy, Debug, Default)]
struct WorkspaceShare {
    allotted: u64,
    promised: u64,
}

impl WorkspaceShare {
    fn permille(&self) -> u64 {
        self.allotted * 1_000 / self.promised.max(1)
    }
}
