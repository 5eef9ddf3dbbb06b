//! Workers that fail all they start.
//!
//! Such a worker is always free, so best fit sends it job after job, and each fails. It shows as
//! failed starts in a row. It is left alone for a while, then given one start as a probe: one
//! more failure sets it aside at once and for twice as long, a success takes it back in full.

use std::time::Duration;

use crate::{
    job::slots::WorkerId,
    utils::{HashMap, Timestamp},
    version::Limits,
};

/// Doublings of the time for which a worker is left alone.
const MAX_DOUBLINGS: u32 = 6;

/// Failed starts of workers, as far as they have not succeeded since.
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
    /// Takes note of a failed start; returns whether the worker is to be set aside.
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

    /// Takes note of a successful start: the worker is as good as any.
    pub(super) fn succeeded(&mut self, worker: WorkerId) {
        self.records.remove(&worker);
    }

    /// Returns the workers whose time is up; each is given one start as a probe.
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
