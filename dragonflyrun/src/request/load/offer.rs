//! What an agent has for one service, as one entry can tell.

use std::time::Duration;

use super::Sample;
use crate::{request::RunTime, utils::Timestamp};

/// Failures in a row after which an agent is set aside for a service.
const FAILURES: u32 = 3;

/// How long an agent is set aside the first time; doubled with each further failure.
const ASIDE: Duration = Duration::from_secs(1);

/// Doublings of that time, at the most.
const ASIDE_DOUBLINGS: u32 = 5;

/// How long an agent that refused gets nothing, unless it reports free slots anew.
const HOLD: Duration = Duration::from_millis(200);

/// Age up to which an agent's run time is taken for what the next request would take.
const SAMPLE_AGE: Duration = Duration::from_secs(10);

/// What an agent has for one service.
#[derive(Debug, Default)]
pub(super) struct Offer {
    pub(super) slots: u32,
    /// Slots that other entries' requests use.
    pub(super) others: u32,
    /// Our own requests that it has not answered.
    pub(super) in_flight: u32,
    /// As of when `others` is.
    pub(super) known_at: Timestamp,
    pub(super) held_until: Timestamp,
    pub(super) failures: u32,
    pub(super) aside_until: Timestamp,
    pub(super) run_time: RunTime,
    pub(super) sampled_at: Timestamp,
}

impl Offer {
    pub(super) fn free(&self) -> u32 {
        let used = self.others.saturating_add(self.in_flight);
        self.slots.saturating_sub(used)
    }

    /// Takes note that `free` slots were free at `at`; an older report than the last is nothing
    /// new.
    pub(super) fn learn(&mut self, at: Timestamp, free: u32) {
        if at < self.known_at {
            return;
        }
        self.known_at = at;
        let used = self.slots.saturating_sub(free);
        self.others = used.saturating_sub(self.in_flight);
    }

    pub(super) fn add(&mut self, now: Timestamp, sample: Sample) {
        match sample {
            Sample::Ran(time) => {
                self.run_time.add(time);
                self.sampled_at = now;
                self.failures = 0;
            }
            Sample::Failed => self.failed(now),
            Sample::Refused => {
                self.failed(now);
                self.held_until = now + HOLD;
            }
            Sample::NotStarted => self.held_until = now + HOLD,
        }
    }

    pub(super) fn failed(&mut self, now: Timestamp) {
        self.failures = self.failures.saturating_add(1);
        if let Some(further) = self.failures.checked_sub(FAILURES) {
            let doublings = further.min(ASIDE_DOUBLINGS);
            self.aside_until = now + ASIDE * (1 << doublings);
        }
    }

    /// Returns whether it has failed as often in a row as it may.
    pub(super) fn has_failed(&self) -> bool {
        self.failures >= FAILURES
    }

    /// Returns whether it has not failed lately, or one request may probe whether it still does.
    pub(super) fn may_be_tried(&self, now: Timestamp) -> bool {
        !self.has_failed() || (now >= self.aside_until && self.in_flight == 0)
    }

    pub(super) fn is_fast_enough(&self, now: Timestamp, left: Duration) -> bool {
        if now.since(self.sampled_at) > SAMPLE_AGE {
            return true;
        }
        let mean = self.run_time.mean_ms().unwrap_or(0.0);
        mean <= left.as_secs_f64() * 1_000.0
    }
}
