//! When the planner changes the list of agents that own keys.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use crate::utils::{Name, Timestamp};

/// How long the live agents have to differ from the owners before the owners change.
///
/// Each change refuses the keys that move for a few seconds, so an agent that is only replaced
/// should not cause two. Until a lost agent is left out, its keys are refused.
const SETTLE_TIME: Duration = Duration::from_millis(4_000);

/// The same where there are no owners yet, and so no key can be granted.
const INITIAL_SETTLE_TIME: Duration = Duration::from_millis(1_000);

/// Decides when the owners of keys change.
#[derive(Debug, Default)]
pub struct RingUpdater {
    differs_since: Option<Timestamp>,
    wanted: Vec<Name>,
}

impl RingUpdater {
    /// Returns the new owners, where it is time to change them. `live` are the agents that may
    /// get work and `owners` those on the log, both in the order of their names.
    pub fn tick(
        &mut self,
        now: Timestamp,
        live: &BTreeSet<Name>,
        owners: &[Name],
    ) -> Option<Vec<Name>> {
        // Without any agent there is nobody to run what a key is for.
        if live.is_empty() || live.iter().eq(owners.iter()) {
            self.differs_since = None;
            return None;
        }
        if !live.iter().eq(self.wanted.iter()) {
            self.wanted = live.iter().cloned().collect();
            self.differs_since = None;
        }
        let since = *self.differs_since.get_or_insert(now);
        let settle_time = if owners.is_empty() {
            INITIAL_SETTLE_TIME
        } else {
            SETTLE_TIME
        };
        if now.since(since) < settle_time {
            return None;
        }
        // Asked again after the same time where the record does not reach the log.
        self.differs_since = Some(now);
        Some(self.wanted.clone())
    }
}
