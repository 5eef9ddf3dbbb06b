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

/// Workers that have failed lately from which on more of them are taken to be sick. A single one may
/// have been given a task that fails anywhere.
const MANY: usize = 2;

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
    failures: VecDeque<(Timestamp, Name)>,
}

impl RecentFailures {
    /// Takes note that a run failed on a worker.
    pub(super) fn failed(&mut self, now: Timestamp, worker: &Name) {
        self.failures.push_back((now, worker.clone()));
        self.forget(now);
    }

    /// Forgets old failures.
    pub(super) fn forget(&mut self, now: Timestamp) {
        while let Some((at, _)) = self.failures.front()
            && now.since(*at) > REMEMBERED
        {
            self.failures.pop_front();
        }
    }

    /// Returns since when several workers have been failing; none where it is one at the most.
    pub(super) fn since(&self) -> Option<Timestamp> {
        let workers: HashSet<&Name> = self.failures.iter().map(|(_, worker)| worker).collect();
        let (first, _) = self.failures.front()?;
        (workers.len() >= MANY).then_some(*first)
    }

    /// Returns whether a worker has been seen to work since workers began to fail.
    pub(super) fn is_proven(&self, worker: &FleetWorker) -> bool {
        let Some(since) = self.since() else {
            return true;
        };
        worker.worked_since.is_some_and(|worked| worked >= since)
    }
}
