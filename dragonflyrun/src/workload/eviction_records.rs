//! Records of the evictions of a planner's term: what they discarded, and whether the work for which
//! they made room was in time.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    utils::{HashMap, HashSet, Name, Timestamp},
    workload::{Demand, eviction::NoEviction},
};

/// How long nothing more is stopped for a demand for which runs were stopped. It covers the stop and its
/// report; after that another demand has taken the room.
const REPEAT_DELAY: Duration = Duration::from_millis(500);

/// Tasks that wait together: the job, the occurrence, the step, and the first task.
pub(super) type DemandKey = (Name, u32, u32, u32);

/// Returns the key of a demand.
pub(super) fn demand_key(demand: &Demand<'_>) -> DemandKey {
    let first = demand.indexes.first().copied().unwrap_or(0);
    (demand.job.clone(), demand.occurrence, demand.step, first)
}

/// Room that a pass has made for a demand.
#[derive(Clone, Debug)]
pub(super) struct RoomMade {
    pub(super) demand: DemandKey,
    /// The workers on which the demand is to start.
    pub(super) workers: Vec<Name>,
    /// Core-seconds of unsaved work of the evicted runs.
    pub(super) discarded_core_s: f64,
}

/// A demand for which a pass has made no room although it may claim some.
#[derive(Clone, Debug)]
pub(super) struct RoomNotMade {
    pub(super) job: Name,
    pub(super) step: u32,
    pub(super) reason: NoEviction,
}

/// What is counted of the evictions of one pass, and of the demands that have ended.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EvictionCounts {
    /// The runs that were stopped to make room.
    pub runs_evicted: u32,
    /// The jobs that have ended late, or not at all, although room was made for them.
    pub in_vain: u32,
    /// The core-seconds of unsaved work that evictions have discarded since the term began.
    pub core_seconds_discarded: f64,
    /// The idle accelerators that can't serve the largest waiting shape.
    pub fragmented_accelerators: u64,
}

/// The evictions of a planner's term. A successor begins with empty records: it may order the same
/// stops again, and counts from zero.
#[derive(Debug, Default)]
pub(super) struct EvictionRecords {
    /// The number of evictions for each job that has not ended.
    made: BTreeMap<Name, u32>,
    /// The reasons that were logged for each job and step.
    logged: HashMap<Name, HashSet<(u32, NoEviction)>>,
    /// The demands for which runs were stopped, when, and the workers that are cleared for them.
    recent: HashMap<DemandKey, (Timestamp, Vec<Name>)>,
    counts: EvictionCounts,
}

impl EvictionRecords {
    /// Records the evictions of a pass.
    pub(super) fn add(&mut self, now: Timestamp, made: Vec<RoomMade>, runs_evicted: usize) {
        self.counts.runs_evicted += u32::try_from(runs_evicted).unwrap_or(u32::MAX);
        for room in made {
            self.counts.core_seconds_discarded += room.discarded_core_s;
            *self.made.entry(room.demand.0.clone()).or_default() += 1;
            self.recent.insert(room.demand, (now, room.workers));
        }
    }

    /// Returns the demands for which room was made that may not be free yet. A demand whose room is lost
    /// because a worker no longer accepts tasks is not among them.
    pub(super) fn recent_demands(
        &mut self,
        now: Timestamp,
        accepts_tasks: impl Fn(&Name) -> bool,
    ) -> HashSet<DemandKey> {
        self.recent.retain(|_, (since, workers)| {
            now.since(*since) < REPEAT_DELAY && workers.iter().all(&accepts_tasks)
        });
        self.recent.keys().cloned().collect()
    }

    /// Returns whether the reason is new for the job and step, so that it is logged only once.
    pub(super) fn is_new(&mut self, not_made: &RoomNotMade) -> bool {
        let logged = self.logged.entry(not_made.job.clone()).or_default();
        logged.insert((not_made.step, not_made.reason))
    }

    /// Records that a job has ended. Returns the number of evictions that were in vain.
    pub(super) fn job_ended(&mut self, job: &Name, in_time: bool) -> u32 {
        self.logged.remove(job);
        let evictions = self.made.remove(job).unwrap_or(0);
        if evictions == 0 || in_time {
            return 0;
        }
        self.counts.in_vain += 1;
        evictions
    }

    /// Returns the counts. Those of single events count from the last call.
    pub(super) fn take_counts(&mut self, fragmented_accelerators: u64) -> EvictionCounts {
        let counts = EvictionCounts {
            fragmented_accelerators,
            ..self.counts
        };
        self.counts.runs_evicted = 0;
        self.counts.in_vain = 0;
        counts
    }
}
