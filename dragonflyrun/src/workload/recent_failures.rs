//! Which workers have shown that what is started on them works.
//!
//! Load pattern answered here: some workers begin to fail all that they start. A gang over 35 of 240
//! workers, 18 of which are sick, hits one of them for certain, and has used up its attempts before the
//! sick ones are known. Its last attempt waits a while for workers that have been seen to work since the
//! failures began.

use std::{collections::VecDeque, time::Duration};

use crate::utils::{HashSet, Name, Timestamp};

/// Time for which a failure counts.
const FAILURE_WINDOW: Duration = Duration::from_secs(10);

/// Workers that have failed lately from which on others may be sick as well. A single one may have been
/// given a task that fails anywhere.
const MIN_FAULTY_WORKERS: usize = 2;

/// Share of all workers from which on those that have failed are more than chance brings.
const MIN_FAULTY_SHARE: f64 = 0.02;

/// Failures in a row after which a worker is taken to be sick; single ones happen anywhere.
const MIN_CONSECUTIVE_FAILURES: u32 = 2;

/// A run that fails sooner after its start speaks against its worker: tasks that fail by themselves
/// work for a while before.
const EARLY_FAILURE: Duration = Duration::from_millis(700);

/// How much a demand cares on which workers it runs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Caution {
    /// Any sound worker will do.
    #[default]
    None,
    /// Workers that have been seen to work come first.
    PreferProven,
    /// It waits for such workers.
    OnlyProven,
}

/// The failures of the last seconds, by worker.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentFailures {
    failures: VecDeque<Failure>,
}

/// A run that failed.
#[derive(Clone, Debug)]
pub(super) struct Failure {
    pub(super) at: Timestamp,
    pub(super) worker: Name,
    pub(super) job: Name,
    /// How long it had run.
    pub(super) ran: Duration,
    /// How many runs had failed on the worker one after the other.
    pub(super) consecutive: u32,
}

impl Failure {
    /// Returns whether it speaks against the worker rather than the task.
    fn indicates_faulty_worker(&self) -> bool {
        self.consecutive >= MIN_CONSECUTIVE_FAILURES || self.ran < EARLY_FAILURE
    }
}

impl RecentFailures {
    /// Takes note of a failure.
    pub(super) fn add(&mut self, failure: Failure) {
        let now = failure.at;
        self.failures.push_back(failure);
        self.forget(now);
    }

    /// Forgets old failures.
    pub(super) fn forget(&mut self, now: Timestamp) {
        while let Some(oldest) = self.failures.front()
            && now.since(oldest.at) > FAILURE_WINDOW
        {
            self.failures.pop_front();
        }
    }

    /// Returns since when several workers have been failing; none where it is one at the most.
    pub(super) fn failing_since(&self) -> Option<Timestamp> {
        let first = self.failures.front()?;
        let workers: HashSet<&Name> = self.failures.iter().map(|f| &f.worker).collect();
        (workers.len() >= MIN_FAULTY_WORKERS).then_some(first.at)
    }

    /// Returns whether several of so many workers fail all that they start, of more than one job.
    pub(super) fn are_workers_faulty(&self, all: usize) -> bool {
        let indications = || self.failures.iter().filter(|f| f.indicates_faulty_worker());
        let workers: HashSet<&Name> = indications().map(|f| &f.worker).collect();
        let jobs: HashSet<&Name> = indications().map(|f| &f.job).collect();
        let many = MIN_FAULTY_WORKERS.max((all as f64 * MIN_FAULTY_SHARE) as usize);
        workers.len() >= many && jobs.len() > 1
    }
}
