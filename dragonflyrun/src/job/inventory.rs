//! The workers, and which jobs hold how many accelerators on each.

use crate::{
    job::{
        JobId, Shape, WorkerInfo,
        placement::Part,
        slots::{SlotIndex, WorkerId},
    },
    utils::{HashMap, Name},
};

/// Maximum number of accelerators that a worker can report. The number comes from another process
/// and determines the length of tables.
const MAX_ACCELERATORS_PER_WORKER: u32 = 1_024;

/// The workers and the accelerators held, pledged, reserved and allotted on each.
#[derive(Clone, Debug, Default)]
pub(super) struct Inventory {
    ids: HashMap<Name, WorkerId>,
    workers: Vec<Worker>,
    racks: HashMap<(Name, Name), usize>,
    domains: HashMap<Name, usize>,
    largest_worker: u32,
    /// The accelerators of each worker, whether it is up or not.
    capacity: SlotIndex,
    /// The accelerators that are free for a job without a pledge or reservation.
    pub(super) free: SlotIndex,
    /// The accelerators that are neither allotted to a guarantee nor reserved for a job that has
    /// waited long.
    pub(super) allottable: SlotIndex,
}

/// One worker.
#[derive(Clone, Debug)]
pub(super) struct Worker {
    pub(super) info: WorkerInfo,
    /// Whether the worker is reachable and accepts tasks.
    pub(super) up: bool,
    /// Whether its failure domain is in service.
    pub(super) in_service: bool,
    /// Whether starts on the worker have failed repeatedly, so that nothing is started there for a
    /// while.
    pub(super) quarantined: bool,
    /// The accelerators that each job holds here, including jobs that are being stopped.
    pub(super) jobs: Vec<Holding>,
    held: u32,
    stopping: u32,
    pledged: u32,
    reserved: u32,
    allotted: u32,
}

/// Accelerators that a job holds on one worker.
#[derive(Clone, Debug)]
pub(super) struct Holding {
    pub(super) job: JobId,
    pub(super) accelerators: u32,
}

impl Worker {
    /// Returns whether tasks may start here.
    pub(super) fn usable(&self) -> bool {
        self.up && self.in_service && !self.quarantined
    }

    /// Returns the accelerators that no job holds.
    pub(super) fn vacant(&self) -> u32 {
        self.info.accelerators.saturating_sub(self.held)
    }

    /// Returns the accelerators that are free for a job with neither a pledge nor a reservation.
    fn free(&self) -> u32 {
        self.vacant_after_pledges().saturating_sub(self.reserved)
    }

    /// Returns the vacant accelerators that aren't needed for pledges. Accelerators that stopping
    /// jobs will release count towards the pledges first.
    fn vacant_after_pledges(&self) -> u32 {
        let uncovered_pledges = self.pledged.saturating_sub(self.stopping);
        self.vacant().saturating_sub(uncovered_pledges)
    }

    /// Returns the accelerators that can be allotted to guarantees. Those reserved for jobs that
    /// have waited long are excluded, so that allotments are elsewhere by the time a large gang can
    /// start there.
    fn allottable(&self) -> u32 {
        let used = self.allotted + self.reserved;
        self.info.accelerators.saturating_sub(used)
    }

    /// Returns the accelerators that are reserved for jobs that have waited long.
    pub(super) fn reserved(&self) -> u32 {
        self.reserved
    }
}

impl Inventory {
    /// Adds or updates a worker and marks it as up; returns its index.
    pub(super) fn up(&mut self, mut info: WorkerInfo, in_service: bool) -> WorkerId {
        info.accelerators = info.accelerators.min(MAX_ACCELERATORS_PER_WORKER);
        self.largest_worker = self.largest_worker.max(info.accelerators);
        let known = self.ids.get(&info.name).copied().filter(|id| {
            let old = &self.workers[*id].info;
            old.rack == info.rack && old.failure_domain == info.failure_domain
        });
        let id = known.unwrap_or_else(|| self.add(&info));
        let worker = &mut self.workers[id];
        self.capacity.set(id, info.accelerators);
        worker.info = info;
        worker.up = true;
        worker.in_service = in_service;
        self.update_indexes(id);
        id
    }

    /// Returns the index of the worker called `name`.
    pub(super) fn id(&self, name: &Name) -> Option<WorkerId> {
        self.ids.get(name).copied()
    }

    /// Returns the worker with index `id`.
    pub(super) fn worker(&self, id: WorkerId) -> &Worker {
        &self.workers[id]
    }

    /// Returns the indexes of all workers that were ever known.
    pub(super) fn ids(&self) -> std::ops::Range<WorkerId> {
        0..self.workers.len()
    }

    /// Changes whether a worker is usable.
    pub(super) fn change(&mut self, id: WorkerId, change: impl FnOnce(&mut Worker)) {
        change(&mut self.workers[id]);
        self.update_indexes(id);
    }

    /// Records that `job` holds `accelerators` of a worker.
    pub(super) fn hold(&mut self, id: WorkerId, job: &JobId, accelerators: u32) {
        let worker = &mut self.workers[id];
        worker.held += accelerators;
        worker.jobs.push(Holding {
            job: job.clone(),
            accelerators,
        });
        self.update_indexes(id);
    }

    /// Records that `job` holds no accelerators of a worker any more.
    pub(super) fn release(&mut self, id: WorkerId, job: &JobId) {
        let worker = &mut self.workers[id];
        let given_back: u32 = worker.held_by(job);
        worker.held -= given_back;
        worker.jobs.retain(|h| h.job != *job);
        self.update_indexes(id);
    }

    /// Changes by `by` the accelerators of a worker that stopping jobs will release.
    pub(super) fn stopping(&mut self, id: WorkerId, by: i64) {
        let worker = &mut self.workers[id];
        worker.stopping = worker.stopping.saturating_add_signed(by as i32);
        self.update_indexes(id);
    }

    /// Changes by `by` the accelerators of a worker that are pledged to jobs which wait until all
    /// their pledged accelerators are vacant.
    pub(super) fn pledge(&mut self, id: WorkerId, by: i64) {
        let worker = &mut self.workers[id];
        worker.pledged = worker.pledged.saturating_add_signed(by as i32);
        self.update_indexes(id);
    }

    /// Changes by `by` the accelerators of a worker that are reserved for jobs that have waited
    /// long.
    pub(super) fn reserve(&mut self, id: WorkerId, by: i64) {
        let worker = &mut self.workers[id];
        worker.reserved = worker.reserved.saturating_add_signed(by as i32);
        self.update_indexes(id);
    }

    /// Returns the vacant accelerators of a worker for a job that may use those reserved for
    /// others.
    pub(super) fn vacant_with_reserved(&self, id: WorkerId) -> u32 {
        let worker = &self.workers[id];
        if !worker.usable() {
            return 0;
        }
        worker.vacant_after_pledges()
    }

    /// Changes by `by` the accelerators of a worker that are allotted to guarantees.
    pub(super) fn allot(&mut self, id: WorkerId, by: i64) {
        let worker = &mut self.workers[id];
        worker.allotted = worker.allotted.saturating_add_signed(by as i32);
        self.update_indexes(id);
    }

    /// Returns whether more accelerators of a worker are allotted to guarantees than it has.
    pub(super) fn is_over_allotted(&self, id: WorkerId) -> bool {
        let worker = &self.workers[id];
        worker.allotted > worker.info.accelerators
    }

    /// Returns the accelerators of a worker that will be free of pledges once the stopping jobs
    /// have stopped.
    pub(super) fn free_after_stops(&self, id: WorkerId) -> u32 {
        let worker = &self.workers[id];
        if !worker.usable() {
            return 0;
        }
        (worker.vacant() + worker.stopping).saturating_sub(worker.pledged)
    }

    /// Returns whether `shape` would fit if all known workers were empty and in service.
    pub(super) fn could_hold(&self, shape: &Shape) -> bool {
        self.capacity.fits(shape)
    }

    /// Builds the index that makes [`Self::could_hold`] fast for tasks of `size` accelerators.
    pub(super) fn index_racks_for(&mut self, size: u32) {
        self.capacity.rack_order(size);
    }

    /// Returns the accelerators of the largest worker that was ever known.
    pub(super) fn largest_worker(&self) -> u32 {
        self.largest_worker
    }

    /// Returns whether all of `parts` is vacant, with `size` accelerators for each task.
    pub(super) fn is_vacant(&self, parts: &[Part], size: u32) -> bool {
        parts.iter().all(|part| {
            let worker = &self.workers[part.worker];
            worker.usable() && worker.vacant() >= part.tasks * size
        })
    }

    fn add(&mut self, info: &WorkerInfo) -> WorkerId {
        // A worker that has moved to another rack or failure domain is added as a new one; the old
        // one stays down.
        if let Some(old) = self.id(&info.name) {
            self.change(old, |w| w.up = false);
            self.capacity.set(old, 0);
        }
        let racks = self.racks.len();
        let rack = (info.failure_domain.clone(), info.rack.clone());
        let rack = *self.racks.entry(rack).or_insert(racks);
        let domains = self.domains.len();
        let domain = info.failure_domain.clone();
        let domain = *self.domains.entry(domain).or_insert(domains);
        self.free.add(rack, domain);
        self.capacity.add(rack, domain);
        let id = self.allottable.add(rack, domain);
        self.ids.insert(info.name.clone(), id);
        self.workers.push(Worker {
            info: info.clone(),
            up: true,
            in_service: false,
            quarantined: false,
            jobs: Vec::new(),
            held: 0,
            stopping: 0,
            pledged: 0,
            reserved: 0,
            allotted: 0,
        });
        id
    }

    fn update_indexes(&mut self, id: WorkerId) {
        let worker = &self.workers[id];
        let (mut free, mut allottable) = (0, 0);
        if worker.usable() {
            free = worker.free();
            allottable = worker.allottable();
        }
        self.free.set(id, free);
        self.allottable.set(id, allottable);
    }
}

impl Worker {
    /// Returns the accelerators that `job` holds here.
    pub(super) fn held_by(&self, job: &JobId) -> u32 {
        let holdings = self.jobs.iter().filter(|h| h.job == *job);
        holdings.map(|h| h.accelerators).sum()
    }
}
