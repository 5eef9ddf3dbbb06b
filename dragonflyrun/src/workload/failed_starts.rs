//! Starts that have failed, and how long their workers are passed over for that.
//!
//! The choice of workers is deterministic, so a worker that looks free and fails every start would be
//! chosen again in each pass, and the demand that it suits best would never start. What makes a worker
//! fail starts need not show in its reports: a run that nobody lists, a session that its agent holds for
//! fenced, a wrong clock. So for whatever reason a start has failed, the next one of the job goes to
//! other workers, and the worker is tried again at growing intervals, for ever.

use std::time::Duration;

use crate::{
    utils::{HashMap, HashSet, Name, Timestamp},
    workload::RunId,
};

/// Time for which a worker is passed over after a first failed start: a cause that passes by itself, such
/// as a run that is still being stopped, is usually gone after that.
const MIN_DELAY: Duration = Duration::from_millis(250);

/// Maximum time for which a worker is passed over. Callers take a job for lost that stands still for 3 s
/// next to workers that could run it, and these may have recovered in the meantime.
const MAX_DELAY: Duration = Duration::from_secs(2);

/// Time for which a failed start is remembered. A worker that is only chosen last would otherwise remain
/// so after it has recovered.
const MEMORY: Duration = Duration::from_secs(20);

/// Failed starts in a row after which a worker counts as faulty; single ones happen anywhere.
const FAULTY_AFTER: u32 = 2;

/// What a failed start says about the worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Blame {
    /// The worker may fail the starts of all jobs.
    Worker,
    /// The task itself may be the cause, and fail on every worker.
    Task,
}

/// A start that has failed.
#[derive(Clone, Copy, Debug)]
pub(super) struct FailedStart<'a> {
    pub(super) worker: &'a Name,
    pub(super) run: &'a RunId,
    /// When the run was ordered.
    pub(super) ordered_at: Timestamp,
    pub(super) blame: Blame,
}

/// Consecutive failed starts.
#[derive(Clone, Copy, Debug, Default)]
struct Failures {
    count: u32,
    failed_at: Timestamp,
    retry_at: Timestamp,
    is_passed_over: bool,
}

/// The failed starts of one job, by worker.
#[derive(Clone, Debug, Default)]
pub(super) struct JobFailures {
    workers: HashMap<Name, (RunId, Failures)>,
}

/// The failed starts on one worker since a run was last seen there.
#[derive(Clone, Debug, Default)]
struct WorkerFailures {
    failures: Failures,
    jobs: HashSet<Name>,
}

/// The failed starts of all jobs and workers.
#[derive(Clone, Debug, Default)]
pub(super) struct FailedStarts {
    jobs: HashMap<Name, JobFailures>,
    workers: HashMap<Name, WorkerFailures>,
}

impl Failures {
    /// Adds a failure and returns whether it counts. A start that was ordered before the last failure was
    /// known says nothing new, such as the others of a batch that one expired lease has failed.
    fn add(&mut self, now: Timestamp, ordered_at: Timestamp) -> bool {
        if self.count > 0 && ordered_at <= self.failed_at {
            return false;
        }
        let delay = MIN_DELAY.saturating_mul(1 << self.count.min(16));
        *self = Self {
            count: self.count + 1,
            failed_at: now,
            retry_at: now + delay.min(MAX_DELAY),
            is_passed_over: true,
        };
        true
    }

    /// Updates whether the worker is passed over, and returns whether the failures still count.
    fn update(&mut self, now: Timestamp) -> bool {
        self.is_passed_over = now < self.retry_at;
        now.since(self.failed_at) < MEMORY
    }
}

impl JobFailures {
    /// Returns whether a start of the job on the worker has failed recently, so that others are
    /// preferred.
    pub(super) fn contains(&self, worker: &Name) -> bool {
        self.workers.contains_key(worker)
    }

    /// Returns whether the job may not be started on the worker for now.
    pub(super) fn is_passed_over(&self, worker: &Name) -> bool {
        let failed = self.workers.get(worker);
        failed.is_some_and(|(_, failures)| failures.is_passed_over)
    }
}

impl FailedStarts {
    /// Records that a start has failed. A second sign of the same failure changes nothing.
    pub(super) fn add(&mut self, now: Timestamp, failed: &FailedStart<'_>) {
        let FailedStart {
            worker,
            run,
            ordered_at,
            blame,
        } = *failed;
        let job = self.jobs.entry(run.task.job.clone()).or_default();
        let known = job.workers.entry(worker.clone());
        let (last, failures) = known.or_insert_with(|| (run.clone(), Failures::default()));
        if !failures.add(now, ordered_at) {
            return;
        }
        last.clone_from(run);
        let on_worker = self.workers.entry(worker.clone()).or_default();
        let is_first_of_job = on_worker.jobs.insert(run.task.job.clone());
        if blame == Blame::Worker || is_first_of_job {
            on_worker.failures.add(now, ordered_at);
        }
    }

    /// Records that a run that was ordered at `ordered_at` was seen on the worker: it doesn't fail every
    /// start. Only a run of the same job shows that it doesn't fail those of that job.
    pub(super) fn started(&mut self, worker: &Name, run: &RunId, ordered_at: Timestamp) {
        let is_older = |failures: &Failures| failures.failed_at < ordered_at;
        let on_worker = self.workers.get(worker);
        let mut clears_worker = on_worker.is_some_and(|w| is_older(&w.failures));
        if let Some(of_job) = self.jobs.get_mut(&run.task.job)
            && let Some((last, failures)) = of_job.workers.get(worker)
            && (last == run || is_older(failures))
        {
            // The run itself may have counted as failed before its report arrived.
            clears_worker |= last == run;
            of_job.workers.remove(worker);
        }
        if clears_worker {
            self.workers.remove(worker);
        }
    }

    /// Returns the number of consecutive failed starts of a job on the worker.
    pub(super) fn count(&self, worker: &Name, job: &Name) -> u32 {
        let known = self.jobs.get(job).and_then(|j| j.workers.get(worker));
        known.map_or(0, |(_, failures)| failures.count)
    }

    /// Removes what is known of a worker, which has restarted or is gone.
    pub(super) fn remove_worker(&mut self, worker: &Name) {
        self.workers.remove(worker);
        for job in self.jobs.values_mut() {
            job.workers.remove(worker);
        }
    }

    /// Updates which workers are passed over at `now`, and forgets old failures.
    pub(super) fn update(&mut self, now: Timestamp) {
        self.workers.retain(|_, w| w.failures.update(now));
        for job in self.jobs.values_mut() {
            job.workers.retain(|_, (_, failures)| failures.update(now));
        }
        self.jobs.retain(|_, job| !job.workers.is_empty());
    }

    /// Returns whether nothing is known of any worker.
    pub(super) fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Returns the failed starts of a job, if there are any.
    pub(super) fn of_job(&self, job: &Name) -> Option<&JobFailures> {
        self.jobs.get(job)
    }

    /// Returns whether starts have failed on the worker one after the other.
    pub(super) fn is_faulty(&self, worker: &Name) -> bool {
        let known = self.workers.get(worker);
        known.is_some_and(|w| w.failures.count >= FAULTY_AFTER)
    }

    /// Returns whether no job may be started on the worker for now.
    pub(super) fn is_passed_over(&self, worker: &Name) -> bool {
        let known = self.workers.get(worker);
        known.is_some_and(|w| w.failures.count >= FAULTY_AFTER && w.failures.is_passed_over)
    }
}
