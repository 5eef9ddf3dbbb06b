//! The workers, what is held on each, and by whom.

use crate::{
    job::{
        JobId, Shape, WorkerInfo,
        placement::Part,
        slots::{SlotIndex, WorkerId},
    },
    utils::{HashMap, Name},
};

/// Accelerators of one worker that are believed, at the most. The count comes from another
/// process, and tables are as long as it.
const MOST_ACCELERATORS: u32 = 1_024;

/// The workers and what is held on each.
#[derive(Clone, Debug, Default)]
pub(super) struct Inventory {
    ids: HashMap<Name, WorkerId>,
    workers: Vec<Worker>,
    racks: HashMap<(Name, Name), usize>,
    domains: HashMap<Name, usize>,
    largest_worker: u32,
    /// What each worker has, whether it is up or not.
    whole: SlotIndex,
    /// What is free for whoever has no pledge.
    pub(super) free: SlotIndex,
    /// What no guarantee has been allotted and no aged job has reserved.
    pub(super) open: SlotIndex,
}

/// One worker.
#[derive(Clone, Debug)]
pub(super) struct Worker {
    pub(super) info: WorkerInfo,
    /// Whether it answers.
    pub(super) up: bool,
    /// Whether its failure domain is in service.
    pub(super) in_service: bool,
    /// Whether it fails what it starts and is left alone.
    pub(super) set_aside: bool,
    /// What each job holds here, jobs that are being stopped included.
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
    /// Returns whether anything may start here.
    pub(super) fn usable(&self) -> bool {
        self.up && self.in_service && !self.set_aside
    }

    /// Returns the accelerators that no job holds.
    pub(super) fn vacant(&self) -> u32 {
        self.info.accelerators.saturating_sub(self.held)
    }

    /// Returns what is free for a job that has neither pledge nor reservation.
    fn free(&self) -> u32 {
        self.unpledged().saturating_sub(self.reserved)
    }

    /// What jobs that are being stopped will give back goes to the pledges first.
    fn unpledged(&self) -> u32 {
        let unmet = self.pledged.saturating_sub(self.stopping);
        self.vacant().saturating_sub(unmet)
    }

    /// Returns what guarantees may be allotted. What aged jobs have reserved is left out, so that
    /// allotments lie elsewhere by the time a large gang could start there.
    fn open(&self) -> u32 {
        let taken = self.allotted + self.reserved;
        self.info.accelerators.saturating_sub(taken)
    }

    /// Returns the accelerators that aged jobs have reserved.
    pub(super) fn reserved(&self) -> u32 {
        self.reserved
    }
}

impl Inventory {
    /// Adds a worker or changes it; returns its number.
    pub(super) fn up(&mut self, mut info: WorkerInfo, in_service: bool) -> WorkerId {
        info.accelerators = info.accelerators.min(MOST_ACCELERATORS);
        self.largest_worker = self.largest_worker.max(info.accelerators);
        let known = self.ids.get(&info.name).copied().filter(|id| {
            let old = &self.workers[*id].info;
            old.rack == info.rack && old.failure_domain == info.failure_domain
        });
        let id = known.unwrap_or_else(|| self.add(&info));
        let worker = &mut self.workers[id];
        self.whole.set(id, info.accelerators);
        worker.info = info;
        worker.up = true;
        worker.in_service = in_service;
        self.refresh(id);
        id
    }

    /// Returns the number of the worker called `name`.
    pub(super) fn id(&self, name: &Name) -> Option<WorkerId> {
        self.ids.get(name).copied()
    }

    /// Returns the worker with number `id`.
    pub(super) fn worker(&self, id: WorkerId) -> &Worker {
        &self.workers[id]
    }

    /// Returns the numbers of all workers that were ever known.
    pub(super) fn ids(&self) -> std::ops::Range<WorkerId> {
        0..self.workers.len()
    }

    /// Changes whether a worker is usable.
    pub(super) fn change(&mut self, id: WorkerId, change: impl FnOnce(&mut Worker)) {
        change(&mut self.workers[id]);
        self.refresh(id);
    }

    /// Takes note that `job` holds `accelerators` of a worker.
    pub(super) fn hold(&mut self, id: WorkerId, job: &JobId, accelerators: u32) {
        let worker = &mut self.workers[id];
        worker.held += accelerators;
        worker.jobs.push(Holding {
            job: job.clone(),
            accelerators,
        });
        self.refresh(id);
    }

    /// Takes note that `job` holds nothing more of a worker.
    pub(super) fn release(&mut self, id: WorkerId, job: &JobId) {
        let worker = &mut self.workers[id];
        let given_back: u32 = worker.of(job);
        worker.held -= given_back;
        worker.jobs.retain(|h| h.job != *job);
        self.refresh(id);
    }

    /// Changes the accelerators of a worker that jobs being stopped will give back.
    pub(super) fn stopping(&mut self, id: WorkerId, by: i64) {
        let worker = &mut self.workers[id];
        worker.stopping = worker.stopping.saturating_add_signed(by as i32);
        self.refresh(id);
    }

    /// Changes the accelerators of a worker that are kept for jobs which wait for the rest.
    pub(super) fn pledge(&mut self, id: WorkerId, by: i64) {
        let worker = &mut self.workers[id];
        worker.pledged = worker.pledged.saturating_add_signed(by as i32);
        self.refresh(id);
    }

    /// Changes the accelerators of a worker that aged jobs have reserved.
    pub(super) fn reserve(&mut self, id: WorkerId, by: i64) {
        let worker = &mut self.workers[id];
        worker.reserved = worker.reserved.saturating_add_signed(by as i32);
        self.refresh(id);
    }

    /// Returns what is vacant of a worker for a job that may use what is reserved for others.
    pub(super) fn with_reserved(&self, id: WorkerId) -> u32 {
        let worker = &self.workers[id];
        if !worker.usable() {
            return 0;
        }
        worker.unpledged()
    }

    /// Changes the accelerators of a worker that guarantees have been allotted.
    pub(super) fn allot(&mut self, id: WorkerId, by: i64) {
        let worker = &mut self.workers[id];
        worker.allotted = worker.allotted.saturating_add_signed(by as i32);
        self.refresh(id);
    }

    /// Returns whether guarantees have been allotted more of a worker than it has.
    pub(super) fn is_over_allotted(&self, id: WorkerId) -> bool {
        let worker = &self.workers[id];
        worker.allotted > worker.info.accelerators
    }

    /// Returns what will be free of a worker, pledges taken off, once the jobs that are being
    /// stopped have stopped.
    pub(super) fn coming(&self, id: WorkerId) -> u32 {
        let worker = &self.workers[id];
        if !worker.usable() {
            return 0;
        }
        (worker.vacant() + worker.stopping).saturating_sub(worker.pledged)
    }

    /// Returns whether `shape` would fit on the workers known if all were empty and in service.
    pub(super) fn could_hold(&self, shape: &Shape) -> bool {
        self.whole.fits(shape)
    }

    /// Makes [`Self::could_hold`] quick for tasks of `size` accelerators.
    pub(super) fn expect_tasks_of(&mut self, size: u32) {
        self.whole.rack_order(size);
    }

    /// Returns the accelerators of the largest worker that was ever known.
    pub(super) fn largest_worker(&self) -> u32 {
        self.largest_worker
    }

    /// Returns whether all of `parts` is vacant, with `size` accelerators a task.
    pub(super) fn is_vacant(&self, parts: &[Part], size: u32) -> bool {
        parts.iter().all(|part| {
            let worker = &self.workers[part.worker];
            worker.usable() && worker.vacant() >= part.tasks * size
        })
    }

    fn add(&mut self, info: &WorkerInfo) -> WorkerId {
        // A worker that has moved to another rack is a new one; the old one stays down.
        if let Some(old) = self.id(&info.name) {
            self.change(old, |w| w.up = false);
            self.whole.set(old, 0);
        }
        let racks = self.racks.len();
        let rack = (info.failure_domain.clone(), info.rack.clone());
        let rack = *self.racks.entry(rack).or_insert(racks);
        let domains = self.domains.len();
        let domain = info.failure_domain.clone();
        let domain = *self.domains.entry(domain).or_insert(domains);
        self.free.add(rack, domain);
        self.whole.add(rack, domain);
        let id = self.open.add(rack, domain);
        self.ids.insert(info.name.clone(), id);
        self.workers.push(Worker {
            info: info.clone(),
            up: true,
            in_service: false,
            set_aside: false,
            jobs: Vec::new(),
            held: 0,
            stopping: 0,
            pledged: 0,
            reserved: 0,
            allotted: 0,
        });
        id
    }

    fn refresh(&mut self, id: WorkerId) {
        let worker = &self.workers[id];
        let (mut free, mut open) = (0, 0);
        if worker.usable() {
            free = worker.free();
            open = worker.open();
        }
        self.free.set(id, free);
        self.open.set(id, open);
    }
}

impl Worker {
    /// Returns the accelerators that `job` holds here.
    pub(super) fn of(&self, job: &JobId) -> u32 {
        let holdings = self.jobs.iter().filter(|h| h.job == *job);
        holdings.map(|h| h.accelerators).sum()
    }
}
