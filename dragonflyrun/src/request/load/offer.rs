//! The slots of one agent for one service, as seen by one entry.

use std::time::Duration;

use super::DispatchResult;
use crate::{request::RunTime, utils::Timestamp};

/// Number of consecutive failures after which an agent is quarantined for a service.
const QUARANTINE_AFTER_FAILURES: u32 = 3;

/// How long an agent is quarantined the first time; doubled with each further failure.
const QUARANTINE_TIME: Duration = Duration::from_secs(1);

/// Maximum number of doublings of [`QUARANTINE_TIME`].
const MAX_QUARANTINE_DOUBLINGS: u32 = 5;

/// How long an agent that did not start a request, usually since it had no free slot, gets no
/// further one. It is short, since a slot of this entry's own share is soon free again.
const BUSY_BACKOFF: Duration = Duration::from_millis(50);

/// How long an agent whose backend server refused a request gets no further one.
const REFUSED_BACKOFF: Duration = Duration::from_millis(200);

/// The slots and recent results of an agent for one service.
#[derive(Debug, Default)]
pub(super) struct Offer {
    pub(super) slots: u32,
    /// Slots that belong to this entry.
    pub(super) share: u32,
    /// Free slots that this entry leaves to the other entries when it borrows: one for each, but at
    /// most half of all slots, since otherwise some entries could not use an idle agent with few
    /// slots.
    pub(super) reserve: u32,
    /// Slots that requests of other entries use.
    pub(super) used_by_others: u32,
    /// Requests of this entry that the agent has not answered.
    pub(super) in_flight: u32,
    /// The time of the report from which `used_by_others` was computed.
    pub(super) reported_at: Timestamp,
    pub(super) backoff_until: Timestamp,
    pub(super) failures: u32,
    pub(super) quarantined_until: Timestamp,
    pub(super) run_time: RunTime,
}

impl Offer {
    pub(super) fn free(&self) -> u32 {
        let used = self.used_by_others.saturating_add(self.in_flight);
        self.slots.saturating_sub(used)
    }

    /// Records that `free` slots were free at `at`. A report that is older than the last one is
    /// ignored.
    pub(super) fn update_free(&mut self, at: Timestamp, free: u32) {
        if at < self.reported_at {
            return;
        }
        self.reported_at = at;
        let used = self.slots.saturating_sub(free);
        self.used_by_others = used.saturating_sub(self.in_flight);
    }

    pub(super) fn record(&mut self, now: Timestamp, result: DispatchResult) {
        match result {
            DispatchResult::Ran(time) => {
                self.run_time.add(now, time);
                self.failures = 0;
            }
            DispatchResult::Failed => self.record_failure(now),
            DispatchResult::Refused => {
                self.record_failure(now);
                self.backoff_until = now + REFUSED_BACKOFF;
            }
            DispatchResult::NotStarted => self.backoff_until = now + BUSY_BACKOFF,
        }
    }

    pub(super) fn record_failure(&mut self, now: Timestamp) {
        self.failures = self.failures.saturating_add(1);
        if let Some(further) = self.failures.checked_sub(QUARANTINE_AFTER_FAILURES) {
            let doublings = further.min(MAX_QUARANTINE_DOUBLINGS);
            self.quarantined_until = now + QUARANTINE_TIME * (1 << doublings);
        }
    }

    /// Returns whether the agent has reached the limit of consecutive failures.
    pub(super) fn is_failing(&self) -> bool {
        self.failures >= QUARANTINE_AFTER_FAILURES
    }

    /// Returns whether the agent is not failing, or one request may probe whether it works again.
    pub(super) fn is_eligible(&self, now: Timestamp) -> bool {
        !self.is_failing() || (now >= self.quarantined_until && self.in_flight == 0)
    }

    /// Returns whether the recent mean run time is unknown or at most `max_mean`.
    pub(super) fn is_fast_enough(&self, now: Timestamp, max_mean: Duration) -> bool {
        let mean_ms = self.run_time.recent_mean_ms(now);
        mean_ms.is_none_or(|mean_ms| mean_ms <= max_mean.as_secs_f64() * 1_000.0)
    }

    /// Returns whether a slot of this entry's own share is free. Other entries can only borrow it.
    pub(super) fn has_own_free(&self) -> bool {
        self.in_flight < self.share
    }

    /// Returns whether a slot of another entry may be borrowed; [`Offer::reserve`] slots stay free.
    pub(super) fn may_borrow(&self) -> bool {
        self.free() > self.reserve
    }
}
