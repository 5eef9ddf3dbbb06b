//! The naive policy: first come, first served with first fit, without estimates or reservations.
//!
//! Each pass starts every waiting job that fits, in the order of arrival. The policy ignores
//! guarantees, so an owner whose shape is in use waits. It evicts all jobs from a failure domain
//! out of service.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use dragonflyrun::{
    JobSpec, Name, Timestamp,
    connection::Placement,
    job::{Decision, JobId, LiveJob, UsageReport, WorkerInfo},
    utils::{HashMap, HashSet},
    version::{Adjacency, Version},
};

use super::Policy;

/// First come, first served with first fit.
#[derive(Default)]
pub(crate) struct Naive {
    version: Option<Arc<Version>>,
    workers: BTreeMap<Name, (WorkerInfo, bool)>,
    waiting: BTreeMap<u64, LiveJob>,
    running: HashMap<JobId, (JobSpec, Vec<Placement>)>,
    stopping: HashSet<JobId>,
    needs_pass: bool,
}

impl Naive {
    fn free(&self) -> Vec<(&WorkerInfo, u32)> {
        let mut free: BTreeMap<&Name, u32> = BTreeMap::new();
        for (name, (info, up)) in &self.workers {
            if *up && self.in_service(info) {
                free.insert(name, info.accelerators);
            }
        }
        for (spec, placements) in self.running.values() {
            for p in placements {
                if let Some(left) = free.get_mut(&p.worker) {
                    *left -= p.tasks * spec.accelerators;
                }
            }
        }
        let info = |name: &Name| &self.workers[name].0;
        free.into_iter()
            .map(|(name, left)| (info(name), left))
            .collect()
    }

    /// Returns the waiting jobs that fit, the oldest first, with their placements.
    fn startable_jobs(&self) -> Vec<(LiveJob, Vec<Placement>)> {
        let mut free = self.free();
        let mut fit = Vec::new();
        for live in self.waiting.values() {
            let Some(placements) = Self::first_fit(&free, &live.spec) else {
                continue;
            };
            for p in &placements {
                if let Some((_, left)) = free.iter_mut().find(|(info, _)| info.name == p.worker) {
                    *left -= p.tasks * live.spec.accelerators;
                }
            }
            fit.push((live.clone(), placements));
        }
        fit
    }

    fn in_service(&self, info: &WorkerInfo) -> bool {
        let version = self.version.as_ref();
        version.is_some_and(|v| v.in_service(&info.failure_domain))
    }

    /// Returns a placement on the first workers, in their order, that hold the job within its
    /// adjacency.
    pub(crate) fn first_fit(free: &[(&WorkerInfo, u32)], spec: &JobSpec) -> Option<Vec<Placement>> {
        let adjacent = |a: &WorkerInfo, b: &WorkerInfo| match spec.adjacency {
            Adjacency::Any => true,
            Adjacency::FailureDomain => a.failure_domain == b.failure_domain,
            Adjacency::Rack => a.rack == b.rack,
            Adjacency::Worker => a.name == b.name,
        };
        let scopes = free.chunk_by(|(a, _), (b, _)| adjacent(a, b));
        let slots = |left: &u32| left / spec.accelerators;
        let mut fitting_scopes = scopes.filter(|scope| {
            let slots: u32 = scope.iter().map(|(_, left)| slots(left)).sum();
            slots >= spec.tasks
        });
        let mut tasks = spec.tasks;
        let mut placements = Vec::new();
        for (info, left) in fitting_scopes.next()? {
            let placed_tasks = tasks.min(slots(left));
            if placed_tasks > 0 {
                tasks -= placed_tasks;
                placements.push(Placement {
                    worker: info.name.clone(),
                    tasks: placed_tasks,
                });
            }
        }
        Some(placements)
    }
}

impl Policy for Naive {
    fn configure(&mut self, version: &Arc<Version>) {
        self.version = Some(version.clone());
        self.needs_pass = true;
    }

    fn worker_up(&mut self, _now: Timestamp, info: WorkerInfo) {
        self.workers.insert(info.name.clone(), (info, true));
        self.needs_pass = true;
    }

    fn worker_down(&mut self, _now: Timestamp, worker: &Name) {
        if let Some((_, up)) = self.workers.get_mut(worker) {
            *up = false;
        }
    }

    fn job_waits(&mut self, _now: Timestamp, job: &LiveJob) {
        self.running.remove(&job.job);
        self.stopping.remove(&job.job);
        self.waiting.insert(job.accepted, job.clone());
        self.needs_pass = true;
    }

    fn job_gone(&mut self, _now: Timestamp, job: &JobId) {
        self.running.remove(job);
        self.stopping.remove(job);
        self.waiting.retain(|_, w| w.job != *job);
        self.needs_pass = true;
    }

    fn start_failed(&mut self, _now: Timestamp, _worker: &Name) {}

    fn start_succeeded(&mut self, _now: Timestamp, _worker: &Name) {}

    fn usage(&mut self, _now: Timestamp, _report: &UsageReport) {}

    fn is_possible(&self, spec: &JobSpec) -> bool {
        let workers = self.workers.values();
        let empty: Vec<_> = workers.map(|(w, _)| (w, w.accelerators)).collect();
        Self::first_fit(&empty, spec).is_some()
    }

    fn decide(&mut self, _now: Timestamp) -> Vec<Decision> {
        if !std::mem::take(&mut self.needs_pass) {
            return Vec::new();
        }
        let mut decisions = Vec::new();
        for (job, (_, placements)) in &self.running {
            let out = |p: &Placement| !self.in_service(&self.workers[&p.worker].0);
            if placements.iter().any(out) && !self.stopping.contains(job) {
                decisions.push(Decision::Evict {
                    job: job.clone(),
                    for_job: None,
                });
            }
        }
        decisions.sort_by_key(|d| match d {
            Decision::Evict { job, .. } => job.clone(),
            _ => Name::from(""),
        });
        for decision in &decisions {
            if let Decision::Evict { job, .. } = decision {
                self.stopping.insert(job.clone());
            }
        }
        for (live, placements) in self.startable_jobs() {
            self.waiting.remove(&live.accepted);
            let held = (live.spec, placements.clone());
            self.running.insert(live.job.clone(), held);
            decisions.push(Decision::Start {
                job: live.job,
                placements,
            });
        }
        decisions
    }
}
