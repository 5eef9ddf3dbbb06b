//! Tracks periods in which the planner starts nothing although jobs wait, because it has no fresh
//! proof of the configuration.
//!
//! Without log lines about these periods, such a planner would look like an idle one.

use std::time::Duration;

use crate::utils::Timestamp;

/// Time between two log lines about the same period.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// A change that should be logged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WithheldChange {
    /// Starts are being withheld, either newly or still.
    Withheld,
    /// Starts are no longer withheld.
    Resumed {
        /// How long they were withheld.
        after: Duration,
    },
}

/// The current period of withheld starts, if any.
#[derive(Clone, Copy, Debug, Default)]
pub struct WithheldStarts {
    since: Option<Timestamp>,
    logged_at: Timestamp,
}

impl WithheldStarts {
    /// Records a pass that found `waiting` waiting jobs. Returns what to log, if anything.
    pub fn observe_pass(
        &mut self,
        now: Timestamp,
        is_fresh: bool,
        waiting: usize,
    ) -> Option<WithheldChange> {
        if is_fresh {
            let since = self.since.take()?;
            return Some(WithheldChange::Resumed {
                after: now.since(since),
            });
        }
        let is_new = self.since.is_none() && waiting > 0;
        let is_due = self.since.is_some() && now.since(self.logged_at) >= LOG_INTERVAL;
        if !is_new && !is_due {
            return None;
        }
        self.since.get_or_insert(now);
        self.logged_at = now;
        Some(WithheldChange::Withheld)
    }
}
