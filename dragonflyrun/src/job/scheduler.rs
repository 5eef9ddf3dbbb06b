//! The scheduling policy: which waiting job starts where, and which running one makes room.
//!
//! [`Scheduler`] keeps the tables and is told of every change; `pass.rs` holds the decisions.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration, //
};

use crate::{
    connection::Placement,
    job::{
        Decision, JobId, JobSpec, LiveJob, Shape, Unreachable, UsageReport, WorkerInfo,
        estimate::Estimates,
        guarantee::{GuaranteeId, Guarantees},
        inventory::Inventory,
        placement::Part,
        quarantine::Quarantine,
        queue::{Aged, Queue},
        reservation::Reservation,
        slots::WorkerId,
    },
    utils::{HashMap, HashSet, Name, Timestamp},
    version::{Limits, Version},
};

/// Ended jobs whose late usage is still learned from.
const REMEMBERED_JOBS: usize = 4_096;

/// Time without a new worker after which the workers known are taken to be all there are. An entry
/// that has just started hears its agents one after the other, and must not call a job impossible
/// because it has not heard enough of them yet.
const SETTLED_AFTER: Duration = Duration::from_secs(5);

/// The decision table that the planner asks.
///
/// It does no I/O and reads no clock; the planner tells it what happens and carries out what
/// [`Scheduler::decide`] returns.
///
/// An owner that asks for a guaranteed shape has it decided for at once: free room, or the
/// eviction of borrowers with a pledge of what they give back. It starts at the first decision
/// after their stops are certain. So a reclaim takes as long as the planner needs to be certain
/// of a stop, also where a borrower's worker does not answer; twice that if a stop was under way
/// on the same worker already, or if the worker is lost meanwhile and the allotment moves.
#[derive(Clone, Debug, Default)]
pub struct Scheduler {
    pub(super) version: Option<Arc<Version>>,
    pub(super) limits: Limits,
    pub(super) inventory: Inventory,
    pub(super) guarantees: Guarantees,
    pub(super) queue: Queue,
    pub(super) jobs: HashMap<JobId, Entry>,
    pub(super) estimates: Estimates,
    pub(super) quarantine: Quarantine,
    /// Jobs of each workspace that hold accelerators or are pledged some.
    pub(super) holding: HashMap<Name, BTreeSet<Aged>>,
    /// Aged jobs with the room that is reserved for them.
    pub(super) reservations: BTreeMap<Aged, Reservation>,
    /// Jobs that wait for the rest of their pledge.
    pub(super) pledged: BTreeSet<Aged>,
    /// Workers in failure domains that are out of service.
    pub(super) out_of_service: BTreeSet<WorkerId>,
    /// Workers whose state has changed since the guarantees were last settled.
    pub(super) changed: Vec<WorkerId>,
    /// Workspaces whose borrowing jobs may now be covered by a guarantee.
    pub(super) uncovered: BTreeSet<Name>,
    /// Whether something has changed since the last pass over the queue.
    pub(super) stale: bool,
    pub(super) last_pass: Timestamp,
    last_new_worker: Timestamp,
    pub(super) settled: bool,
    /// Members of running gangs on workers that were not heard of yet. A planner that takes over
    /// knows the placements from the log before it hears the agents.
    pub(super) unheard: HashMap<Name, Vec<(JobId, u32)>>,
    /// Shapes of ended jobs, for usage that is reported late.
    ended: HashMap<JobId, JobSpec>,
    ended_order: std::collections::VecDeque<JobId>,
}

/// What the scheduler keeps of a live job.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) spec: JobSpec,
    pub(super) accepted: u64,
    pub(super) waiting_since: Timestamp,
    pub(super) evictions: u32,
    /// The guarantee that covers it.
    pub(super) cover: Option<GuaranteeId>,
    pub(super) stage: Stage,
}

/// Where a job is between waiting and running.
#[derive(Clone, Debug)]
pub(super) enum Stage {
    /// It waits for room.
    Waits,
    /// Room was chosen; it starts when all of it is vacant.
    Pledged(Vec<Part>),
    /// It holds its accelerators.
    Holds(Hold),
}

/// The accelerators that a job holds.
#[derive(Clone, Debug)]
pub(super) struct Hold {
    pub(super) parts: Vec<Part>,
    pub(super) since: Timestamp,
    /// Whether the planner was told to stop it.
    pub(super) stopping: bool,
}

/// A guarantee that the hardware in service does not permit together with the others.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnmetGuarantee {
    /// The workspace.
    pub workspace: Name,
    /// The shape.
    pub shape: Shape,
}

/// Where a guarantee can be had.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Allotment {
    /// The workspace.
    pub workspace: Name,
    /// The shape.
    pub shape: Shape,
    /// The workers, with tasks of the shape; fewer than the shape has where it is unmet.
    pub placements: Vec<Placement>,
    /// Whether a job of the workspace holds some of it.
    pub held: bool,
}

impl Entry {
    pub(super) fn accelerators(&self) -> u32 {
        self.spec.tasks.saturating_mul(self.spec.accelerators)
    }
}

impl Scheduler {
    /// Returns a scheduler that knows no worker, no job and no document.
    pub fn new() -> Self {
        Self::default()
    }

    /// Puts a document in force: guarantees, quotas, limits, and which failure domains are in
    /// service. What runs in one that is out of service is evicted by the next decisions.
    pub fn configure(&mut self, version: &Arc<Version>) {
        self.limits = version.limits;
        for id in self.inventory.ids() {
            let domain = &self.inventory.worker(id).info.failure_domain;
            let in_service = version.in_service(domain);
            if self.inventory.worker(id).in_service != in_service {
                self.inventory.change(id, |w| w.in_service = in_service);
                self.changed.push(id);
            }
            self.note_service(id, in_service);
        }
        let before = self.covers();
        self.guarantees.configure(version, &mut self.inventory);
        self.restore_covers(before);
        self.uncovered
            .extend(version.workspaces().map(|w| w.name.clone()));
        self.version = Some(version.clone());
        self.stale = true;
    }

    /// Takes note of a new or changed worker.
    pub fn worker_up(&mut self, now: Timestamp, info: WorkerInfo) {
        let version = self.version.as_ref();
        let in_service = version.is_some_and(|v| v.in_service(&info.failure_domain));
        let known = self.inventory.id(&info.name);
        if let Some(id) = known
            && self.inventory.worker(id).up
            && self.inventory.worker(id).info == info
        {
            return;
        }
        let id = self.inventory.up(info, in_service);
        self.note_service(id, in_service);
        if known != Some(id) {
            self.last_new_worker = now;
            self.settled = false;
            self.hold_on_new_worker(id);
        }
        self.changed.push(id);
        self.stale = true;
    }

    /// Takes note that a worker is lost, silent or leaving: nothing starts there. What it holds
    /// stays held until the planner says that those jobs wait again or are gone.
    pub fn worker_down(&mut self, _now: Timestamp, worker: &Name) {
        if let Some(id) = self.inventory.id(worker)
            && self.inventory.worker(id).up
        {
            self.inventory.change(id, |w| w.up = false);
            self.drop_pledges_on(id);
            self.changed.push(id);
            self.stale = true;
        }
    }

    /// Takes note of a job that was accepted, or has stopped on all its workers for certain and
    /// waits again.
    pub fn job_waits(&mut self, now: Timestamp, job: &LiveJob) {
        if let Some(entry) = self.jobs.get(&job.job) {
            if !matches!(entry.stage, Stage::Holds(_)) {
                return;
            }
            self.release_job(&job.job);
        }
        let evictions = self.jobs.get(&job.job).map_or(0, |e| e.evictions);
        if !job.cancelled {
            self.queue.insert(&job.spec, job.accepted, &job.job);
        }
        self.jobs
            .insert(job.job.clone(), Entry::new(now, job, evictions));
        self.stale = true;
    }

    /// Takes note of a job that is reserved or running at its placements, also when a planner
    /// takes over.
    pub fn job_runs(&mut self, now: Timestamp, job: &LiveJob) {
        if let Some(entry) = self.jobs.get(&job.job) {
            if matches!(entry.stage, Stage::Holds(_)) {
                return;
            }
            self.release_job(&job.job);
            self.remove_reservation(&job.job);
            self.queue.remove(&job.spec, job.accepted, &job.job);
        }
        self.jobs.insert(job.job.clone(), Entry::new(now, job, 0));
        let mut parts = Vec::new();
        for Placement { worker, tasks } in &job.placements {
            match self.inventory.id(worker) {
                Some(worker) => parts.push(Part {
                    worker,
                    tasks: *tasks,
                }),
                None => {
                    let unheard = self.unheard.entry(worker.clone()).or_default();
                    unheard.push((job.job.clone(), *tasks));
                }
            }
        }
        self.hold(now, &job.job, parts);
        self.uncovered.insert(job.spec.workspace.clone());
        self.stale = true;
    }

    /// Takes note of a job that has ended on all its workers for certain.
    pub fn job_gone(&mut self, _now: Timestamp, job: &JobId) {
        self.release_job(job);
        self.remove_reservation(job);
        let Some(entry) = self.jobs.remove(job) else {
            return;
        };
        self.queue.remove(&entry.spec, entry.accepted, job);
        self.remember(job, entry.spec);
        self.stale = true;
    }

    /// Takes note that a worker could not start what it was given.
    pub fn start_failed(&mut self, now: Timestamp, worker: &Name) {
        if let Some(id) = self.inventory.id(worker)
            && self.quarantine.failed(now, id, &self.limits)
        {
            log::warn!(worker:% = worker; "worker_set_aside");
            self.inventory.change(id, |w| w.set_aside = true);
            self.drop_pledges_on(id);
            self.changed.push(id);
            self.stale = true;
        }
    }

    /// Takes note that a worker has started what it was given.
    pub fn start_succeeded(&mut self, _now: Timestamp, worker: &Name) {
        if let Some(id) = self.inventory.id(worker) {
            self.quarantine.succeeded(id);
            if self.inventory.worker(id).set_aside {
                self.inventory.change(id, |w| w.set_aside = false);
                self.changed.push(id);
                self.stale = true;
            }
        }
    }

    /// Takes note of what a job has used; also after its end, since workers report with a lag.
    pub fn usage(&mut self, _now: Timestamp, report: &UsageReport) {
        let live = self.jobs.get(&report.job).map(|e| &e.spec);
        let Some(spec) = live.or_else(|| self.ended.get(&report.job)) else {
            return;
        };
        if report.finished {
            self.estimates.learn(spec, report.ran_ms);
        }
    }

    /// Checks that a job can be had: from the document's quota, and from the workers known once no
    /// new one has come for some seconds.
    ///
    /// # Errors
    ///
    /// Why it can never be had.
    pub fn possible(&self, spec: &JobSpec) -> Result<(), Unreachable> {
        if spec.tasks == 0 || spec.accelerators == 0 {
            return Err(Unreachable::Empty);
        }
        let wanted = spec.tasks.saturating_mul(spec.accelerators);
        if self.quota(&spec.workspace).is_some_and(|q| wanted > q) {
            return Err(Unreachable::OverQuota);
        }
        if !self.settled {
            return Ok(());
        }
        if spec.accelerators > self.inventory.largest_worker() {
            return Err(Unreachable::TaskTooLarge);
        }
        if !self.inventory.could_hold(&spec.shape()) {
            return Err(Unreachable::GangTooLarge);
        }
        Ok(())
    }

    /// Returns the guarantees that the hardware in service does not permit together with the
    /// others, in no order of importance. Which ones are left out is decided in turns: each time
    /// the workspace that has the smallest share of what it was promised comes first.
    pub fn unmet(&self) -> Vec<UnmetGuarantee> {
        let lacking = self.guarantees.lacking().into_iter();
        lacking
            .map(|id| {
                let entry = &self.guarantees.entries[id];
                UnmetGuarantee {
                    workspace: entry.workspace.clone(),
                    shape: entry.shape,
                }
            })
            .collect()
    }

    /// Returns whether a running job borrows: it lies outside its workspace's guarantees and may
    /// be evicted for another's.
    pub fn borrows(&self, job: &JobId) -> bool {
        let entry = self.jobs.get(job);
        entry.is_some_and(|e| matches!(e.stage, Stage::Holds(_)) && e.cover.is_none())
    }

    /// Returns whether a running job lies outside its workspace's guarantees, but is not evicted
    /// for another's because all guarantees can be had beside it.
    pub fn is_protected(&self, job: &JobId) -> bool {
        let cover = self.jobs.get(job).and_then(|e| e.cover);
        cover.is_some_and(|id| self.guarantees.entries[id].temporary)
    }

    /// Returns where each guarantee is allotted.
    pub fn allotments(&self) -> Vec<Allotment> {
        let entries = self.guarantees.entries.iter();
        entries
            .filter(|e| !e.temporary)
            .map(|entry| {
                let placements = entry.shares.iter().map(|s| Placement {
                    worker: self.inventory.worker(s.worker).info.name.clone(),
                    tasks: s.tasks,
                });
                Allotment {
                    workspace: entry.workspace.clone(),
                    shape: entry.shape,
                    placements: placements.collect(),
                    held: !entry.movable(),
                }
            })
            .collect()
    }

    /// Returns what is to be done now; what is returned counts as under way.
    pub fn decide(&mut self, now: Timestamp) -> Vec<Decision> {
        self.settle(now);
        self.pass(now)
    }

    /// Takes note that no new worker has come for some seconds, where that is so, upon which
    /// [`possible`](Self::possible) can tell what no set of workers holds. An entry that is not
    /// planner decides nothing, but has to refuse such jobs all the same.
    pub fn settle(&mut self, now: Timestamp) {
        if !self.settled && now.since(self.last_new_worker) >= SETTLED_AFTER {
            self.settled = true;
            self.stale = true;
        }
    }

    pub(super) fn quota(&self, workspace: &Name) -> Option<u32> {
        let workspace = self.version.as_ref()?.workspace(workspace)?;
        workspace.quota_accelerators
    }

    fn note_service(&mut self, worker: WorkerId, in_service: bool) {
        match in_service {
            true => self.out_of_service.remove(&worker),
            false => self.out_of_service.insert(worker),
        };
    }

    /// Returns which job each guarantee covers, by what does not change with the document.
    fn covers(&self) -> HashSet<JobId> {
        let covered = self.jobs.iter().filter(|(_, e)| e.cover.is_some());
        covered.map(|(job, _)| job.clone()).collect()
    }

    /// Sets the numbers of the guarantees that cover jobs, after they were numbered anew.
    fn restore_covers(&mut self, before: HashSet<JobId>) {
        for job in before {
            if let Some(entry) = self.jobs.get_mut(&job) {
                entry.cover = None;
            }
        }
        for (guarantee, id) in self.guarantees.entries.iter().zip(0..) {
            for job in &guarantee.jobs {
                if let Some(entry) = self.jobs.get_mut(job) {
                    entry.cover = Some(id);
                }
            }
        }
    }

    fn remember(&mut self, job: &JobId, spec: JobSpec) {
        if self.ended.insert(job.clone(), spec).is_none() {
            self.ended_order.push_back(job.clone());
        }
        if self.ended_order.len() > REMEMBERED_JOBS
            && let Some(old) = self.ended_order.pop_front()
        {
            self.ended.remove(&old);
        }
    }
}

impl Entry {
    fn new(now: Timestamp, job: &LiveJob, evictions: u32) -> Self {
        Self {
            spec: job.spec.clone(),
            accepted: job.accepted,
            waiting_since: now,
            evictions,
            cover: None,
            stage: Stage::Waits,
        }
    }
}
