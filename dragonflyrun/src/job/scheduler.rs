//! The scheduling policy: which waiting job starts where, and which running jobs are evicted for
//! it.
//!
//! [`Scheduler`] holds the state and is notified of every change; `pass.rs` makes the decisions.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration, //
};

use crate::{
    connection::Placement,
    job::{
        Decision, ImpossibleReason, JobId, JobSpec, LiveJob, Shape, UsageReport, WorkerInfo,
        estimate::Estimates,
        guarantee::{GuaranteeId, Guarantees},
        inventory::Inventory,
        placement::Part,
        quarantine::Quarantine,
        queue::{AgeKey, Queue},
        reservation::Reservation,
        slots::WorkerId,
    },
    utils::{HashMap, HashSet, Name, Timestamp},
    version::{Limits, Version},
};

/// Number of ended jobs whose specification is kept, so that usage reported after the end still
/// updates the run-time estimates.
const MAX_ENDED_JOBS: usize = 4_096;

/// Time without a new worker after which the known workers are taken to be the whole cluster. An
/// entry that has just started hears from its agents one by one, and must not reject a job as
/// impossible before it has heard from enough of them.
const DISCOVERY_TIME: Duration = Duration::from_secs(5);

/// Decides what the planner starts and evicts.
///
/// It does no I/O and reads no clock: the planner reports every event to it and carries out the
/// decisions that [`Scheduler::decide`] returns.
///
/// When a workspace requests a guaranteed shape, room is found at once: either free accelerators,
/// or those that borrowing jobs release when they are evicted, which are pledged to the new job.
/// The job starts at the first decision after the evicted jobs are certain to have stopped. So a
/// reclaim takes as long as the planner needs to be certain of a stop, even if a borrower's worker
/// doesn't answer. It takes twice as long if a stop was already under way on the same worker, or if
/// the worker is lost meanwhile and the allotment moves.
#[derive(Clone, Debug, Default)]
pub struct Scheduler {
    pub(super) version: Option<Arc<Version>>,
    pub(super) limits: Limits,
    pub(super) inventory: Inventory,
    pub(super) guarantees: Guarantees,
    pub(super) queue: Queue,
    pub(super) jobs: HashMap<JobId, JobEntry>,
    pub(super) estimates: Estimates,
    pub(super) quarantine: Quarantine,
    /// The jobs of each workspace that hold accelerators or have accelerators pledged.
    pub(super) holding: HashMap<Name, BTreeSet<AgeKey>>,
    /// The reservations for jobs that have waited long.
    pub(super) reservations: BTreeMap<AgeKey, Reservation>,
    /// Jobs with pledged accelerators that aren't all vacant yet.
    pub(super) pledged: BTreeSet<AgeKey>,
    /// Workers in failure domains that are out of service.
    pub(super) out_of_service: BTreeSet<WorkerId>,
    /// Workers whose state has changed since the guarantees were last allotted.
    pub(super) changed: Vec<WorkerId>,
    /// Workspaces whose borrowing jobs are checked again at the next update of the guarantees,
    /// because one of the workspace's guarantees may cover them now. A workspace is added when one
    /// of its jobs gets, moves or releases accelerators and when the configuration changes. See
    /// the `guarantee` module for covered and borrowing jobs.
    pub(super) workspaces_to_cover: BTreeSet<Name>,
    /// Whether anything has changed since the last pass over the queue.
    pub(super) needs_pass: bool,
    pub(super) last_pass: Timestamp,
    last_new_worker: Timestamp,
    pub(super) discovered_all: bool,
    /// Members of running gangs on workers that haven't been heard from yet, by worker. A planner
    /// that takes over learns the placements from the log before it hears from the agents.
    pub(super) unknown_worker_members: HashMap<Name, Vec<(JobId, u32)>>,
    /// Specifications of ended jobs, for usage that is reported late.
    ended: HashMap<JobId, JobSpec>,
    ended_order: std::collections::VecDeque<JobId>,
}

/// The scheduler's state of a live job.
#[derive(Clone, Debug)]
pub(super) struct JobEntry {
    pub(super) spec: JobSpec,
    pub(super) accepted: u64,
    pub(super) waiting_since: Timestamp,
    pub(super) evictions: u32,
    /// The guarantee within whose allotment the job runs, which therefore covers it; none if the job
    /// waits or borrows.
    pub(super) cover: Option<GuaranteeId>,
    pub(super) stage: Stage,
}

/// Whether a job waits, has room pledged, or holds accelerators.
#[derive(Clone, Debug)]
pub(super) enum Stage {
    /// The job waits for room.
    Waiting,
    /// Room has been chosen; the job starts once all of it is vacant.
    Pledged(Vec<Part>),
    /// The job holds its accelerators.
    Holding(Hold),
}

/// The accelerators that a job holds.
#[derive(Clone, Debug)]
pub(super) struct Hold {
    pub(super) parts: Vec<Part>,
    pub(super) since: Timestamp,
    /// Whether the planner has been told to stop the job.
    pub(super) stopping: bool,
}

/// A guarantee that can't be met together with the others on the hardware in service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnmetGuarantee {
    /// The workspace that has the guarantee.
    pub workspace: Name,
    /// The guaranteed shape.
    pub shape: Shape,
}

/// The accelerators that are allotted to a guarantee.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Allotment {
    /// The workspace that has the guarantee.
    pub workspace: Name,
    /// The guaranteed shape.
    pub shape: Shape,
    /// The workers, each with its number of tasks of the shape; fewer tasks than the shape has if
    /// the guarantee is unmet.
    pub placements: Vec<Placement>,
    /// Whether the guarantee covers a job of the workspace.
    pub held: bool,
}

impl JobEntry {
    pub(super) fn accelerators(&self) -> u32 {
        self.spec.tasks.saturating_mul(self.spec.accelerators)
    }
}

impl Scheduler {
    /// Returns a scheduler without workers, jobs or a configuration.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a configuration: guarantees, quotas, limits, and which failure domains are in
    /// service. Jobs in a domain that is out of service are evicted by the next decisions.
    pub fn configure(&mut self, version: &Arc<Version>) {
        self.limits = version.limits;
        for id in self.inventory.ids() {
            let domain = &self.inventory.worker(id).info.failure_domain;
            let in_service = version.in_service(domain);
            if self.inventory.worker(id).in_service != in_service {
                self.inventory.change(id, |w| w.in_service = in_service);
                self.changed.push(id);
            }
            self.set_in_service(id, in_service);
        }
        let before = self.covered_jobs();
        self.guarantees.configure(version, &mut self.inventory);
        self.renumber_covers(before);
        self.workspaces_to_cover
            .extend(version.workspaces().map(|w| w.name.clone()));
        self.version = Some(version.clone());
        self.needs_pass = true;
    }

    /// Adds a worker, or updates a known one.
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
        self.set_in_service(id, in_service);
        if known != Some(id) {
            self.last_new_worker = now;
            self.discovered_all = false;
            self.hold_on_new_worker(id);
        }
        self.changed.push(id);
        self.needs_pass = true;
    }

    /// Marks a worker as lost, silent or leaving, so that nothing starts there. What its jobs hold
    /// stays held until the planner reports that they wait again or have ended.
    pub fn worker_down(&mut self, _now: Timestamp, worker: &Name) {
        if let Some(id) = self.inventory.id(worker)
            && self.inventory.worker(id).up
        {
            self.inventory.change(id, |w| w.up = false);
            self.drop_pledges_on(id);
            self.changed.push(id);
            self.needs_pass = true;
        }
    }

    /// Adds a job that has been accepted, or that is certain to have stopped on all its workers and
    /// waits again.
    pub fn job_waits(&mut self, now: Timestamp, job: &LiveJob) {
        if let Some(entry) = self.jobs.get(&job.job) {
            if !matches!(entry.stage, Stage::Holding(_)) {
                return;
            }
            self.release_job(&job.job);
        }
        let evictions = self.jobs.get(&job.job).map_or(0, |e| e.evictions);
        if !job.cancelled {
            self.queue.insert(&job.spec, job.accepted, &job.job);
        }
        self.jobs
            .insert(job.job.clone(), JobEntry::new(now, job, evictions));
        self.needs_pass = true;
    }

    /// Records that a job is reserved or running at its placements; also called when a planner
    /// takes over.
    pub fn job_runs(&mut self, now: Timestamp, job: &LiveJob) {
        if let Some(entry) = self.jobs.get(&job.job) {
            if matches!(entry.stage, Stage::Holding(_)) {
                return;
            }
            self.release_job(&job.job);
            self.remove_reservation(&job.job);
            self.queue.remove(&job.spec, job.accepted, &job.job);
        }
        self.jobs
            .insert(job.job.clone(), JobEntry::new(now, job, 0));
        let mut parts = Vec::new();
        for Placement { worker, tasks } in &job.placements {
            match self.inventory.id(worker) {
                Some(worker) => parts.push(Part {
                    worker,
                    tasks: *tasks,
                }),
                None => {
                    let members = self
                        .unknown_worker_members
                        .entry(worker.clone())
                        .or_default();
                    members.push((job.job.clone(), *tasks));
                }
            }
        }
        self.hold(now, &job.job, parts);
        self.workspaces_to_cover.insert(job.spec.workspace.clone());
        self.needs_pass = true;
    }

    /// Removes a job that is certain to have ended on all its workers.
    pub fn job_gone(&mut self, _now: Timestamp, job: &JobId) {
        self.release_job(job);
        self.remove_reservation(job);
        let Some(entry) = self.jobs.remove(job) else {
            return;
        };
        self.queue.remove(&entry.spec, entry.accepted, job);
        self.remember_ended(job, entry.spec);
        self.needs_pass = true;
    }

    /// Records that a worker failed to start a task.
    pub fn start_failed(&mut self, now: Timestamp, worker: &Name) {
        if let Some(id) = self.inventory.id(worker)
            && self.quarantine.failed(now, id, &self.limits)
        {
            log::warn!(worker:% = worker; "worker_set_aside");
            self.inventory.change(id, |w| w.quarantined = true);
            self.drop_pledges_on(id);
            self.changed.push(id);
            self.needs_pass = true;
        }
    }

    /// Records that a worker has started a task successfully.
    pub fn start_succeeded(&mut self, _now: Timestamp, worker: &Name) {
        if let Some(id) = self.inventory.id(worker) {
            self.quarantine.succeeded(id);
            if self.inventory.worker(id).quarantined {
                self.inventory.change(id, |w| w.quarantined = false);
                self.changed.push(id);
                self.needs_pass = true;
            }
        }
    }

    /// Updates the run-time estimates from a usage report, which may arrive after the end of the
    /// job.
    pub fn usage(&mut self, _now: Timestamp, report: &UsageReport) {
        let live = self.jobs.get(&report.job).map(|e| &e.spec);
        let Some(spec) = live.or_else(|| self.ended.get(&report.job)) else {
            return;
        };
        if report.finished {
            self.estimates.learn(spec, report.ran_ms);
        }
    }

    /// Checks whether a job can ever run: against its workspace's quota, and against the known
    /// workers once no new one has appeared for some seconds.
    ///
    /// # Errors
    ///
    /// Returns why the job can never run.
    pub fn check_possible(&self, spec: &JobSpec) -> Result<(), ImpossibleReason> {
        if spec.tasks == 0 || spec.accelerators == 0 {
            return Err(ImpossibleReason::Empty);
        }
        let wanted = spec.tasks.saturating_mul(spec.accelerators);
        if self.quota(&spec.workspace).is_some_and(|q| wanted > q) {
            return Err(ImpossibleReason::OverQuota);
        }
        if !self.discovered_all {
            return Ok(());
        }
        if spec.accelerators > self.inventory.largest_worker() {
            return Err(ImpossibleReason::TaskTooLarge);
        }
        if !self.inventory.could_hold(&spec.shape()) {
            return Err(ImpossibleReason::GangTooLarge);
        }
        Ok(())
    }

    /// Returns the guarantees that can't be met together with the others on the hardware in
    /// service, in no particular order. If they don't all fit, they are allotted in turns, each
    /// time to the workspace that has the smallest share of what it was promised, and what is left
    /// out is unmet.
    pub fn unmet(&self) -> Vec<UnmetGuarantee> {
        let incomplete = self.guarantees.incomplete().into_iter();
        incomplete
            .map(|id| {
                let entry = &self.guarantees.entries[id];
                UnmetGuarantee {
                    workspace: entry.workspace.clone(),
                    shape: entry.shape,
                }
            })
            .collect()
    }

    /// Returns whether a running job borrows: it lies outside its workspace's guarantees and isn't
    /// protected, so it may be evicted for another workspace's guarantee.
    pub fn borrows(&self, job: &JobId) -> bool {
        let entry = self.jobs.get(job);
        entry.is_some_and(|e| matches!(e.stage, Stage::Holding(_)) && e.cover.is_none())
    }

    /// Returns whether a running job lies outside its workspace's guarantees but isn't evicted for
    /// others, because all guarantees can be allotted beside it.
    pub fn is_protected(&self, job: &JobId) -> bool {
        let cover = self.jobs.get(job).and_then(|e| e.cover);
        cover.is_some_and(|id| self.guarantees.entries[id].temporary)
    }

    /// Returns the allotment of each guarantee.
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

    /// Returns the decisions to carry out now. The scheduler counts them as under way from here on.
    pub fn decide(&mut self, now: Timestamp) -> Vec<Decision> {
        self.update_discovery(now);
        self.pass(now)
    }

    /// Marks the cluster as fully discovered once no new worker has appeared for some seconds; from
    /// then on [`check_possible`](Self::check_possible) rejects jobs that no set of workers can
    /// hold. An entry that isn't planner decides nothing, but has to reject such jobs all the same.
    pub fn update_discovery(&mut self, now: Timestamp) {
        if !self.discovered_all && now.since(self.last_new_worker) >= DISCOVERY_TIME {
            self.discovered_all = true;
            self.needs_pass = true;
        }
    }

    pub(super) fn quota(&self, workspace: &Name) -> Option<u32> {
        let workspace = self.version.as_ref()?.workspace(workspace)?;
        workspace.quota_accelerators
    }

    fn set_in_service(&mut self, worker: WorkerId, in_service: bool) {
        match in_service {
            true => self.out_of_service.remove(&worker),
            false => self.out_of_service.insert(worker),
        };
    }

    /// Returns the covered jobs. Their ids stay valid when a new configuration renumbers the
    /// guarantees.
    fn covered_jobs(&self) -> HashSet<JobId> {
        let covered = self.jobs.iter().filter(|(_, e)| e.cover.is_some());
        covered.map(|(job, _)| job.clone()).collect()
    }

    /// Updates each job's guarantee number after the guarantees were renumbered.
    fn renumber_covers(&mut self, before: HashSet<JobId>) {
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

    fn remember_ended(&mut self, job: &JobId, spec: JobSpec) {
        if self.ended.insert(job.clone(), spec).is_none() {
            self.ended_order.push_back(job.clone());
        }
        if self.ended_order.len() > MAX_ENDED_JOBS
            && let Some(old) = self.ended_order.pop_front()
        {
            self.ended.remove(&old);
        }
    }
}

impl JobEntry {
    fn new(now: Timestamp, job: &LiveJob, evictions: u32) -> Self {
        Self {
            spec: job.spec.clone(),
            accepted: job.accepted,
            waiting_since: now,
            evictions,
            cover: None,
            stage: Stage::Waiting,
        }
    }
}
