//! Recent failures of runs, and which workers or jobs they make suspect.
//!
//! A failure is the fault of the task or of its worker. Failures of one job on several workers are
//! evidence against the job. Without that difference a job without a limit of attempts whose tasks keep failing would have one worker after the
//! other set aside, while other jobs wait for them (`docs/incidents/crash-loop.md`).
//!
//! Sometimes several workers begin to fail everything that they start. A gang over 35 of 240
//! workers, 18 of which are faulty, is certain to include one of them, and uses up its attempts
//! before the faulty workers are known. Its last attempt therefore waits a while for workers on
//! which newer runs have been seen to work since the failures began.

use std::{collections::VecDeque, time::Duration};

use crate::utils::{HashSet, Name, Timestamp};

/// Time for which a failure counts.
const FAILURE_WINDOW: Duration = Duration::from_secs(10);

/// Number of workers with recent failures from which on others may be faulty too. A single worker
/// may just have been given a task that fails anywhere.
const MIN_FAULTY_WORKERS: usize = 2;

/// Share of all workers from which on failures on that many workers aren't chance.
const MIN_FAULTY_SHARE: f64 = 0.02;

/// Number of workers with recent failures of a job, none of whose tasks has completed since, from which on
/// the job is to blame. Two workers are not enough: several may be faulty.
const MIN_BLAMED_JOB_WORKERS: usize = 3;

/// Consecutive failures after which a worker counts as faulty; single failures happen anywhere.
const MIN_CONSECUTIVE_FAILURES: u32 = 2;

/// A run that fails sooner after its start than this is blamed on its worker, because tasks that
/// fail by themselves run for a while first.
const EARLY_FAILURE: Duration = Duration::from_millis(700);

/// How much it matters to a demand on which workers it runs. A worker is proven if a run that was
/// ordered since workers began to fail has completed on it or has run for a while.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Caution {
    /// Any healthy worker is fine.
    #[default]
    None,
    /// Proven workers are preferred.
    PreferProven,
    /// Only proven workers are used; the demand waits for them.
    OnlyProven,
}

/// The failures within the failure window.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentFailures {
    failures: VecDeque<Failure>,
}

/// A failed run.
#[derive(Clone, Debug)]
pub(super) struct Failure {
    pub(super) at: Timestamp,
    pub(super) worker: Name,
    pub(super) job: Name,
    /// How long the run had been running.
    pub(super) ran: Duration,
    /// Number of runs that failed in a row on the worker and are held against it.
    pub(super) consecutive: u32,
    /// Whether the failure is held against the worker.
    pub(super) blames_worker: bool,
    /// Whether a task of the job has completed since.
    pub(super) is_job_proven: bool,
}

impl Failure {
    /// Returns whether the failure is likely the worker's fault rather than the task's.
    fn indicates_faulty_worker(&self) -> bool {
        self.blames_worker
            && (self.consecutive >= MIN_CONSECUTIVE_FAILURES || self.ran < EARLY_FAILURE)
    }
}

impl RecentFailures {
    /// Records a failure.
    pub(super) fn add(&mut self, failure: Failure) {
        let now = failure.at;
        self.failures.push_back(failure);
        self.remove_old(now);
    }

    /// Removes old failures.
    pub(super) fn remove_old(&mut self, now: Timestamp) {
        while let Some(oldest) = self.failures.front()
            && now.since(oldest.at) > FAILURE_WINDOW
        {
            self.failures.pop_front();
        }
    }

    /// Records that a task of a job has completed, so that earlier failures are no evidence against it.
    pub(super) fn task_done(&mut self, job: &Name) {
        for failure in self.failures.iter_mut().filter(|f| f.job == *job) {
            failure.is_job_proven = true;
        }
    }

    /// Returns whether the next failure of a run of `job` on `worker` is to be held against the worker: the
    /// job has not failed on so many workers that it is to blame itself.
    pub(super) fn blames_worker(&self, worker: &Name, job: &Name) -> bool {
        let of_job = self.failures.iter().filter(|f| f.job == *job);
        let workers = of_job.filter(|f| !f.is_job_proven).map(|f| &f.worker);
        let workers: HashSet<&Name> = workers.chain([worker]).collect();
        workers.len() < MIN_BLAMED_JOB_WORKERS
    }

    /// Returns the time since which several workers have been failing; `None` if at most one is.
    pub(super) fn failing_since(&self) -> Option<Timestamp> {
        let of_workers = self.failures.iter().filter(|f| f.blames_worker);
        let first = of_workers.clone().next()?;
        let workers: HashSet<&Name> = of_workers.map(|f| &f.worker).collect();
        (workers.len() >= MIN_FAULTY_WORKERS).then_some(first.at)
    }

    /// Returns whether several of `worker_count` workers fail everything that they start, for more
    /// than one job.
    pub(super) fn are_workers_faulty(&self, worker_count: usize) -> bool {
        let indications = || self.failures.iter().filter(|f| f.indicates_faulty_worker());
        let workers: HashSet<&Name> = indications().map(|f| &f.worker).collect();
        let jobs: HashSet<&Name> = indications().map(|f| &f.job).collect();
        let min_workers = MIN_FAULTY_WORKERS.max((worker_count as f64 * MIN_FAULTY_SHARE) as usize);
        workers.len() >= min_workers && jobs.len() > 1
    }
}
