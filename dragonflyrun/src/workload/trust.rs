//! Which workers have shown that what is started on them works.
//!
//! Load pattern answered here: some workers begin to fail all that they start. A gang over 35 of 240
//! workers, 18 of which are sick, hits one of them for certain, and has used up its attempts before the
//! sick ones are known. Its last attempt waits a while for workers that have been seen to work since the
//! failures began.

use std::{collections::VecDeque, time::Duration};

use crate::{
    utils::{HashSet, Name, Timestamp},
    workload::FleetWorker,
};

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

#[derive(Clone, Debug)]
struct Failure {
    at: Timestamp,
    worker: Name,
    job: Name,
    /// Whether it speaks against the worker rather than the task.
    is_sign: bool,
}

impl RecentFailures {
    /// Takes note that a run of a job failed on a worker after `ran`, the newest of so many in a row.
    pub(super) fn failed(
        &mut self,
        now: Timestamp,
        worker: &Name,
        job: &Name,
        ran: Duration,
        in_a_row: u32,
    ) {
        self.failures.push_back(Failure {
            at: now,
            worker: worker.clone(),
            job: job.clone(),
            is_sign: in_a_row >= IN_A_ROW || ran < AT_ONCE,
        });
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
        let signs = || self.failures.iter().filter(|f| f.is_sign);
        let workers: HashSet<&Name> = signs().map(|f| &f.worker).collect();
        let jobs: HashSet<&Name> = signs().map(|f| &f.job).collect();
        let many = MANY.max((all as f64 * MANY_SHARE) as usize);
        workers.len() >= many && jobs.len() > 1
    }

    /// Returns whether a worker has been seen to work since workers began to fail.
    pub(super) fn is_proven(&self, worker: &FleetWorker) -> bool {
        let Some(since) = self.since() else {
            return true;
        };
        worker.worked_since.is_some_and(|worked| worked >= since)
    }
}
