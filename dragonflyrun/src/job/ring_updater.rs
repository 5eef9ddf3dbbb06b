//! The planner's updates to the list of agents that own keys.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use crate::utils::{Name, Timestamp};

/// How long the set of live agents has to differ from the owners, without changing, before the
/// owners change.
///
/// Requests for keys that move are refused for a few seconds after each change, so an agent that is
/// merely replaced should not cause two changes. On the other hand, the keys of a lost agent are
/// refused until it is removed from the owners.
const SETTLE_TIME: Duration = Duration::from_millis(4_000);

/// How long the set of live agents has to stay unchanged before it becomes the first set of owners.
/// It is shorter than [`SETTLE_TIME`], since no key can be granted until then.
const INITIAL_SETTLE_TIME: Duration = Duration::from_millis(1_000);

/// Decides when the list of agents that own keys changes.
#[derive(Debug, Default)]
pub struct RingUpdater {
    differs_since: Option<Timestamp>,
    wanted: Vec<Name>,
}

impl RingUpdater {
    /// Returns the new owners if a change is due. `live` are the agents that may get work and
    /// `owners` the current owners on the log, both ordered by name.
    pub fn tick(
        &mut self,
        now: Timestamp,
        live: &BTreeSet<Name>,
        owners: &[Name],
    ) -> Option<Vec<Name>> {
        // Without any agent no request with a key could be served anyway.
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
        // The change is requested again after the same time if the record does not reach the log.
        self.differs_since = Some(now);
        Some(self.wanted.clone())
    }
}
