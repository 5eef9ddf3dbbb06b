//! Spells in which a planner starts nothing though jobs wait, for want of a fresh proof of the configuration.
//!
//! To whoever reads the log, such a planner looks like one that has nothing to do.

use std::time::Duration;

use crate::utils::Timestamp;

/// Time between two log lines about one spell.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// What is worth a log line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WithheldChange {
    /// Starts are withheld, since now or still.
    Withheld,
    /// They are made again.
    Resumed {
        /// How long they were withheld.
        after: Duration,
    },
}

/// The spell that is under way.
#[derive(Clone, Copy, Debug, Default)]
pub struct WithheldStarts {
    since: Option<Timestamp>,
    logged_at: Timestamp,
}

impl WithheldStarts {
    /// Takes note of a pass that found `waiting` jobs; returns what is worth a log line.
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
