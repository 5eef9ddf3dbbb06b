//! How closely the agents of idle workers follow the store.
//!
//! Most workers of a large fleet are idle. If each of their agents read its orders and reported as
//! often as a busy one, the calls to the store would grow with the number of hosts instead of the
//! work. The planner therefore releases the idle agents that the load is not expected to need soon;
//! they wait in long reads and report seldom. An order ends such a read at once, so before the
//! planner places work on one of these workers it asks the agent for a report, which proves that it
//! is alive. See `docs/SYSTEM.md`.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::utils::Timestamp;

/// Interval between two reports of an agent that follows seldom.
pub const SELDOM_REPORT_INTERVAL: Duration = Duration::from_secs(20);

/// Silence after which an agent that follows seldom is given up: two reports are missing.
pub(super) const MAX_SELDOM_SILENCE: Duration = Duration::from_secs(50);

/// Minimum time that an agent has for the report that it is asked for. The order and the report are
/// one append and one read each, about 25 ms in all.
const MIN_ANSWER_TIME: Duration = Duration::from_millis(400);

/// The same time as a multiple of the store's usual delay, if that is longer.
const ANSWER_STORE_DELAYS: u32 = 12;

/// How closely the agent of an idle worker follows its orders and how often it reports.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum Attention {
    /// As often as placement needs: the newest report proves that the worker can be used.
    #[default]
    Close,
    /// In long reads, with few reports.
    Seldom,
}

impl Attention {
    /// Returns whether this is the attention of an agent that nobody has released.
    pub(super) fn is_close(&self) -> bool {
        *self == Self::Close
    }
}

/// What the planner knows of an agent's attention.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Contact {
    /// The agent follows closely.
    #[default]
    Close,
    /// The agent follows seldom and has to be asked before its worker is used.
    Seldom,
    /// The agent follows seldom and was asked for a report at this time.
    Asked(Timestamp),
}

impl Contact {
    /// Returns the contact after a report of an agent with this attention.
    pub(super) fn after_report(self, attention: Attention) -> Self {
        match (attention, self) {
            (Attention::Close, _) => Self::Close,
            // The report may have been sent before the agent read that it was asked.
            (Attention::Seldom, Self::Asked(since)) => Self::Asked(since),
            (Attention::Seldom, _) => Self::Seldom,
        }
    }

    /// Returns whether an agent that was asked has let the time for its answer pass, on a store with
    /// this usual delay.
    pub(super) fn is_overdue(self, now: Timestamp, store_delay: Duration) -> bool {
        let limit = MIN_ANSWER_TIME.max(store_delay * ANSWER_STORE_DELAYS);
        matches!(self, Self::Asked(since) if now.since(since) > limit)
    }
}
