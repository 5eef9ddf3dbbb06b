//! Quarantine of workers on which every start fails.
//!
//! Such a worker is always free, so best fit sends it one job after another, and each fails. It is
//! detected by consecutive failed starts. Nothing is started there for a while, then one start is
//! allowed as a probe: another failure quarantines the worker again at once and for twice as long,
//! a success releases it completely.

use std::time::Duration;

use crate::{
    job::slots::WorkerId,
    utils::{HashMap, Timestamp},
    version::Limits,
};

/// Maximum number of times that the quarantine of a worker is doubled.
const MAX_DOUBLINGS: u32 = 6;

/// The failed starts of each worker since its last successful one.
#[derive(Clone, Debug, Default)]
pub(super) struct Quarantine {
    records: HashMap<WorkerId, FailureRecord>,
}

#[derive(Clone, Debug, Default)]
struct FailureRecord {
    consecutive: u32,
    doublings: u32,
    until: Option<Timestamp>,
}

impl Quarantine {
    /// Records a failed start; returns whether the worker is to be quarantined.
    pub(super) fn failed(&mut self, now: Timestamp, worker: WorkerId, limits: &Limits) -> bool {
        let record = self.records.entry(worker).or_default();
        record.consecutive += 1;
        if record.until.is_some() || record.consecutive < limits.worker_failures.max(1) {
            return record.until.is_some();
        }
        let wait_ms = limits.quarantine_ms.saturating_mul(1 << record.doublings);
        let wait = Duration::from_millis(wait_ms);
        record.until = Some(now + wait);
        record.doublings = (record.doublings + 1).min(MAX_DOUBLINGS);
        true
    }

    /// Records a successful start, which clears the failures of the worker.
    pub(super) fn succeeded(&mut self, worker: WorkerId) {
        self.records.remove(&worker);
    }

    /// Returns the workers whose quarantine is over; each is allowed one start as a probe.
    pub(super) fn due(&mut self, now: Timestamp, limits: &Limits) -> Vec<WorkerId> {
        let mut due = Vec::new();
        for (worker, record) in &mut self.records {
            if record.until.is_some_and(|until| until <= now) {
                record.until = None;
                record.consecutive = limits.worker_failures.saturating_sub(1);
                due.push(*worker);
            }
        }
        due.sort_unstable();
        due
    }
}
