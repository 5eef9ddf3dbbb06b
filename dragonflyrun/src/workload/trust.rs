//! Which workers have shown that what is started on them works.
//!
//! Load pattern answered here: some workers begin to fail all that they start. A gang over 35 of 240
//! workers, 18 of which are sick, hits one of them for certain, and has used up its attempts before the
//! sick ones are known. Its last attempt waits a while for workers that have been seen to work since the
//! failures began.

use std::{collections::VecDeque, time::Duration};

use crate::utils::{HashSet, Name, Timestamp};

/// Time for which a failure counts.
const REMEMBERED: Duration = Duration::from_secs(10);

/// Workers that have failed lately from which on others may be sick as well. A single one may have been
/// given a task that fails anywhere.
const MANY: usize = 2;

/// Share of all workers from which on those that have failed are more than chance brings.
const MANY_SHARE: f64 = 0.02;

/// Failures in a row after which a worker is taken to be sick; single ones happen anywhere.
const IN_A_ROW: u32 = 2;

/// A run that fails sooner after its start speaks against its worker: tasks that fail by themselves
/// work for a while before.
const AT_ONCE: Duration = Duration::from_millis(700);

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
    pub(super) in_a_row: u32,
}

impl Failure {
    /// Returns whether it speaks against the worker rather than the task.
    fn is_sign(&self) -> bool {
        self.in_a_row >= IN_A_ROW || self.ran < AT_ONCE
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
            && now.since(oldest.at) > REMEMBERED
        {
            self.failures.pop_front();
        }
    }

    /// Returns since when several workers have been failing; none where it is one at the most.
    pub(super) fn since(&self) -> Option<Timestamp> {
        let first = self.failures.front()?;
        let workers: HashSet<&Name> = self.failures.iter().map(|f| &f.worker).collect();
        (workers.len() >= MANY).then_some(first.at)
    }

    /// Returns whether several of so many workers fail all that they start, of more than one job.
    pub(super) fn are_workers_sick(&self, all: usize) -> bool {
        let signs = || self.failures.iter().filter(|f| f.is_sign());
        let workers: HashSet<&Name> = signs().map(|f| &f.worker).collect();
        let jobs: HashSet<&Name> = signs().map(|f| &f.job).collect();
        let many = MANY.max((all as f64 * MANY_SHARE) as usize);
        workers.len() >= many && jobs.len() > 1
    }
}
