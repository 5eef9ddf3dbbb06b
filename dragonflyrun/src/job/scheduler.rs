//! The scheduling policy: which waiting job starts where, and which running one makes room.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use crate::{
    connection::Placement,
    job::{Decision, JobId, JobSpec, LiveJob, Unreachable, UsageReport, WorkerInfo},
    utils::{HashMap, Name, Timestamp},
    version::Version,
};

/// The decision table that the planner asks.
#[derive(Debug, Default)]
pub struct Scheduler {
    version: Option<Arc<Version>>,
    workers: BTreeMap<Name, WorkerInfo>,
    running: HashMap<JobId, (JobSpec, Vec<Placement>)>,
    waiting: BTreeMap<u64, LiveJob>,
}

impl Scheduler {
    /// Returns a scheduler that knows no worker, no job and no document.
    pub fn new() -> Self {
        Self::default()
    }

    /// Puts a document in force.
    pub fn configure(&mut self, version: &Arc<Version>) {
        self.version = Some(version.clone());
    }

    /// Takes note of a new or changed worker.
    pub fn worker_up(&mut self, _now: Timestamp, info: WorkerInfo) {
        self.workers.insert(info.name.clone(), info);
    }

    /// Takes note that a worker is lost, silent or leaving.
    pub fn worker_down(&mut self, _now: Timestamp, worker: &Name) {
        self.workers.remove(worker);
    }

    /// Takes note of a job that was accepted, or has stopped and waits again.
    pub fn job_waits(&mut self, _now: Timestamp, job: &LiveJob) {
        self.running.remove(&job.job);
        self.waiting.insert(job.accepted, job.clone());
    }

    /// Takes note of a job that is reserved or running at its placements.
    pub fn job_runs(&mut self, _now: Timestamp, job: &LiveJob) {
        self.waiting.remove(&job.accepted);
        let held = (job.spec.clone(), job.placements.clone());
        self.running.insert(job.job.clone(), held);
    }

    /// Takes note of a job that has ended.
    pub fn job_gone(&mut self, _now: Timestamp, job: &JobId) {
        self.running.remove(job);
        self.waiting.retain(|_, w| w.job != *job);
    }

    /// Takes note that a worker could not start what it was given.
    pub fn start_failed(&mut self, _now: Timestamp, _worker: &Name) {}

    /// Takes note that a worker has started what it was given.
    pub fn start_succeeded(&mut self, _now: Timestamp, _worker: &Name) {}

    /// Takes note of what a job has used.
    pub fn usage(&mut self, _now: Timestamp, _report: &UsageReport) {}

    /// Checks that a job can be had from the workers known, in service or not.
    ///
    /// # Errors
    ///
    /// Why it can never be had.
    pub fn possible(&self, spec: &JobSpec) -> Result<(), Unreachable> {
        if spec.tasks == 0 || spec.accelerators == 0 {
            return Err(Unreachable::Empty);
        }
        Ok(())
    }

    /// Returns what is to be done now; what is returned counts as under way.
    pub fn decide(&mut self, _now: Timestamp) -> Vec<Decision> {
        let mut free = self.free();
        let mut decisions = Vec::new();
        let mut started = Vec::new();
        for (age, live) in &self.waiting {
            if let Some(placements) = first_fit(&mut free, &live.spec) {
                let held = (live.spec.clone(), placements.clone());
                self.running.insert(live.job.clone(), held);
                started.push(*age);
                decisions.push(Decision::Start {
                    job: live.job.clone(),
                    placements,
                });
            }
        }
        for age in started {
            self.waiting.remove(&age);
        }
        decisions
    }

    fn free(&self) -> BTreeMap<Name, u32> {
        let in_service = |w: &WorkerInfo| {
            let version = self.version.as_ref();
            version.is_some_and(|v| v.in_service(&w.failure_domain))
        };
        let workers = self.workers.values().filter(|w| in_service(w));
        let mut free: BTreeMap<Name, u32> =
            workers.map(|w| (w.name.clone(), w.accelerators)).collect();
        for (spec, placements) in self.running.values() {
            for placement in placements {
                if let Some(left) = free.get_mut(&placement.worker) {
                    *left = left.saturating_sub(placement.tasks * spec.accelerators);
                }
            }
        }
        free
    }
}

fn first_fit(free: &mut BTreeMap<Name, u32>, spec: &JobSpec) -> Option<Vec<Placement>> {
    let mut tasks = spec.tasks;
    let mut placements = Vec::new();
    for (worker, left) in free.iter() {
        let here = tasks.min(left / spec.accelerators.max(1));
        if here > 0 {
            tasks -= here;
            placements.push(Placement {
                worker: worker.clone(),
                tasks: here,
            });
        }
    }
    if tasks > 0 {
        return None;
    }
    for placement in &placements {
        if let Some(left) = free.get_mut(&placement.worker) {
            *left -= placement.tasks * spec.accelerators;
        }
    }
    Some(placements)
}
