//! When an entry claims the next term and thereby becomes planner.

use std::time::Duration;

use crate::utils::{Name, Timestamp};

/// Time without a heartbeat of the planner after which another entry claims the next term.
pub const PLANNER_SILENCE: Duration = Duration::from_millis(3_000);

/// Additional delay of each further entry, in the order of their names, so that usually one entry
/// claims the term and the others see its claim on the log. Two claims of one term are harmless:
/// every process accepts the first one on the log.
const CLAIM_STAGGER: Duration = Duration::from_millis(1_000);

/// How long an entry waits for its claim to appear on the log before it may claim again.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(10_000);

/// What an entry knows when it decides whether to claim the next term.
#[derive(Clone, Debug)]
pub struct ElectionView {
    /// The current term on the log; 0 before the first.
    pub term: u64,
    /// The entry that holds that term.
    pub planner: Option<Name>,
    /// Whether that entry sends heartbeats and is not shutting down.
    pub planner_alive: bool,
    /// Whether this entry knows the latest state of the log.
    pub fresh: bool,
    /// The number of live entries with a smaller name.
    pub rank: u32,
}

/// Decides when to claim a term.
#[derive(Debug)]
pub struct Election {
    me: Name,
    /// The term that this process holds. An entry whose process was replaced claims a new term:
    /// orders of the previous process may still arrive and must be distinguishable from new ones.
    held_term: Option<u64>,
    /// The latest term seen on the log.
    term: u64,
    silent_since: Option<Timestamp>,
    claimed: Option<(u64, Timestamp)>,
}

impl Election {
    /// Creates the election state of the entry called `me`, which holds no term.
    pub fn new(me: Name) -> Self {
        Self {
            me,
            held_term: None,
            term: 0,
            silent_since: None,
            claimed: None,
        }
    }

    /// Returns the name of the entry.
    pub fn me(&self) -> &Name {
        &self.me
    }

    /// Returns the term that this process holds.
    pub fn held_term(&self) -> Option<u64> {
        self.held_term
    }

    /// Returns whether `term` is newer than any term seen on the log.
    pub fn is_new(&self, term: u64) -> bool {
        term > self.term
    }

    /// Handles a new term on the log; `own` says whether this process appended the record. Returns
    /// whether this process has become planner.
    pub fn on_term(&mut self, term: u64, own: bool) -> bool {
        self.term = term;
        self.claimed = None;
        self.silent_since = None;
        self.held_term = own.then_some(term);
        own
    }

    /// Allows another claim after the last one failed to reach the log.
    pub fn claim_failed(&mut self) {
        self.claimed = None;
    }

    /// Returns the term to claim, if a claim is due.
    pub fn tick(&mut self, now: Timestamp, view: &ElectionView) -> Option<u64> {
        let pending = self
            .claimed
            .is_some_and(|(_, at)| now.since(at) < CLAIM_TIMEOUT);
        if self.held_term.is_some() || pending {
            return None;
        }
        let held_by_predecessor = view.planner.as_ref() == Some(&self.me);
        if view.planner_alive && !held_by_predecessor {
            self.silent_since = None;
            return None;
        }
        let since = *self.silent_since.get_or_insert(now);
        let silence = match view.planner {
            Some(_) if !held_by_predecessor => PLANNER_SILENCE,
            // No entry holds a term, or the previous process of this entry does, which has ended
            // for certain.
            _ => Duration::ZERO,
        };
        let stagger = if held_by_predecessor {
            Duration::ZERO
        } else {
            CLAIM_STAGGER * view.rank
        };
        if !view.fresh || now.since(since) < silence + stagger {
            return None;
        }
        let term = view.term + 1;
        self.claimed = Some((term, now));
        Some(term)
    }
}
