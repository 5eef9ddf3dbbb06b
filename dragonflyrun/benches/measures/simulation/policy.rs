//! What the event loop asks of a policy.

use std::sync::Arc;

use dragonflyrun::{
    JobSpec, Name, Timestamp,
    job::{Decision, JobId, LiveJob, Scheduler, UsageReport, WorkerInfo},
    version::Version,
};

/// The calls of [`Scheduler`], so that another policy can take its place.
pub(crate) trait Policy {
    fn configure(&mut self, version: &Arc<Version>);
    fn worker_up(&mut self, now: Timestamp, info: WorkerInfo);
    fn worker_down(&mut self, now: Timestamp, worker: &Name);
    fn job_waits(&mut self, now: Timestamp, job: &LiveJob);
    fn job_gone(&mut self, now: Timestamp, job: &JobId);
    fn start_failed(&mut self, now: Timestamp, worker: &Name);
    fn start_succeeded(&mut self, now: Timestamp, worker: &Name);
    fn usage(&mut self, now: Timestamp, report: &UsageReport);
    fn is_possible(&self, spec: &JobSpec) -> bool;
    fn decide(&mut self, now: Timestamp) -> Vec<Decision>;
}

impl Policy for Scheduler {
    fn configure(&mut self, version: &Arc<Version>) {
        Scheduler::configure(self, version);
    }

    fn worker_up(&mut self, now: Timestamp, info: WorkerInfo) {
        Scheduler::worker_up(self, now, info);
    }

    fn worker_down(&mut self, now: Timestamp, worker: &Name) {
        Scheduler::worker_down(self, now, worker);
    }

    fn job_waits(&mut self, now: Timestamp, job: &LiveJob) {
        Scheduler::job_waits(self, now, job);
    }

    fn job_gone(&mut self, now: Timestamp, job: &JobId) {
        Scheduler::job_gone(self, now, job);
    }

    fn start_failed(&mut self, now: Timestamp, worker: &Name) {
        Scheduler::start_failed(self, now, worker);
    }

    fn start_succeeded(&mut self, now: Timestamp, worker: &Name) {
        Scheduler::start_succeeded(self, now, worker);
    }

    fn usage(&mut self, now: Timestamp, report: &UsageReport) {
        Scheduler::usage(self, now, report);
    }

    fn is_possible(&self, spec: &JobSpec) -> bool {
        self.check_possible(spec).is_ok()
    }

    fn decide(&mut self, now: Timestamp) -> Vec<Decision> {
        Scheduler::decide(self, now)
    }
}
