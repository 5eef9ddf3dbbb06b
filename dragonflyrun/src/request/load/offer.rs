//! What an agent has for one service, as one entry can tell.

use std::time::Duration;

use super::Sample;
use crate::{request::RunTime, utils::Timestamp};

/// Failures in a row after which an agent is set aside for a service.
const QUARANTINE_AFTER_FAILURES: u32 = 3;

/// How long an agent is set aside the first time; doubled with each further failure.
const QUARANTINE_TIME: Duration = Duration::from_secs(1);

/// Doublings of that time, at the most.
const MAX_QUARANTINE_DOUBLINGS: u32 = 5;

/// How long an agent that had no slot gets nothing. Its own part comes free again soon.
const BUSY_BACKOFF: Duration = Duration::from_millis(50);

/// How long an agent whose backend server refused gets nothing.
const REFUSED_BACKOFF: Duration = Duration::from_millis(200);

/// What an agent has for one service.
#[derive(Debug, Default)]
pub(super) struct Offer {
    pub(super) slots: u32,
    /// The slots that are this entry's own.
    pub(super) share: u32,
    /// The slots that are left to the other entries while they use none: one for each, but no more
    /// than half of all, or an idle agent with few slots would be closed to some entries.
    pub(super) reserve: u32,
    /// Slots that other entries' requests use.
    pub(super) others: u32,
    /// Our own requests that it has not answered.
    pub(super) in_flight: u32,
    /// As of when `others` is.
    pub(super) reported_at: Timestamp,
    pub(super) backoff_until: Timestamp,
    pub(super) failures: u32,
    pub(super) quarantined_until: Timestamp,
    pub(super) run_time: RunTime,
}

impl Offer {
    pub(super) fn free(&self) -> u32 {
        let used = self.others.saturating_add(self.in_flight);
        self.slots.saturating_sub(used)
    }

    /// Takes note that `free` slots were free at `at`; an older report than the last is nothing
    /// new.
    pub(super) fn update_free(&mut self, at: Timestamp, free: u32) {
        if at < self.reported_at {
            return;
        }
        self.reported_at = at;
        let used = self.slots.saturating_sub(free);
        self.others = used.saturating_sub(self.in_flight);
    }

    pub(super) fn record(&mut self, now: Timestamp, sample: Sample) {
        match sample {
            Sample::Ran(time) => {
                self.run_time.add(now, time);
                self.failures = 0;
            }
            Sample::Failed => self.record_failure(now),
            Sample::Refused => {
                self.record_failure(now);
                self.backoff_until = now + REFUSED_BACKOFF;
            }
            Sample::NotStarted => self.backoff_until = now + BUSY_BACKOFF,
        }
    }

    pub(super) fn record_failure(&mut self, now: Timestamp) {
        self.failures = self.failures.saturating_add(1);
        if let Some(further) = self.failures.checked_sub(QUARANTINE_AFTER_FAILURES) {
            let doublings = further.min(MAX_QUARANTINE_DOUBLINGS);
            self.quarantined_until = now + QUARANTINE_TIME * (1 << doublings);
        }
    }

    /// Returns whether it has failed as often in a row as it may.
    pub(super) fn is_failing(&self) -> bool {
        self.failures >= QUARANTINE_AFTER_FAILURES
    }

    /// Returns whether it has not failed lately, or one request may probe whether it still does.
    pub(super) fn is_eligible(&self, now: Timestamp) -> bool {
        !self.is_failing() || (now >= self.quarantined_until && self.in_flight == 0)
    }

    /// Returns whether it is not known to take longer than `max_mean` on average.
    pub(super) fn is_fast_enough(&self, now: Timestamp, max_mean: Duration) -> bool {
        let mean_ms = self.run_time.recent_mean_ms(now);
        mean_ms.is_none_or(|mean_ms| mean_ms <= max_mean.as_secs_f64() * 1_000.0)
    }

    /// Returns whether a slot of this entry's own part is free; others only borrow it.
    pub(super) fn has_own_free(&self) -> bool {
        self.in_flight < self.share
    }

    /// Returns whether another entry's slot may be borrowed: one for each of them stays free.
    pub(super) fn may_borrow(&self) -> bool {
        self.free() > self.reserve
    }
}
