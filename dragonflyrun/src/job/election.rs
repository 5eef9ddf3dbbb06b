//! When an entry claims the next term, and with it the planner's part.

use std::time::Duration;

use crate::utils::{Name, Timestamp};

/// Silence of the planner after which another entry claims the next term.
pub const PLANNER_SILENCE: Duration = Duration::from_millis(3_000);

/// How much longer each further entry waits, in the order of their names, so that as a rule one
/// claims and the others see its claim on the log. Two claims of one term do no harm: the first
/// on the log has it in every process.
const CLAIM_STAGGER: Duration = Duration::from_millis(1_000);

/// How long a claim that was not seen on the log is waited for.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(10_000);

/// What an entry knows when it decides whether to claim.
#[derive(Clone, Debug)]
pub struct ElectionView {
    /// The current term on the log; 0 before the first.
    pub term: u64,
    /// The entry that holds it.
    pub planner: Option<Name>,
    /// Whether that entry is heard, and is not leaving.
    pub planner_alive: bool,
    /// Whether this entry knows the latest state of the log.
    pub fresh: bool,
    /// How many live entries have a smaller name.
    pub rank: u32,
}

/// Decides when to claim a term.
#[derive(Debug)]
pub struct Election {
    me: Name,
    /// The term that this process holds. An entry whose process was replaced claims anew: its
    /// former orders may still arrive somewhere and must be told from its new ones.
    held_term: Option<u64>,
    /// The last term seen on the log.
    term: u64,
    silent_since: Option<Timestamp>,
    claimed: Option<(u64, Timestamp)>,
}

impl Election {
    /// Returns the decision of the entry called `me`, which holds no term.
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

    /// Returns whether `term` was not seen on the log before.
    pub fn is_new(&self, term: u64) -> bool {
        term > self.term
    }

    /// Takes note of a term that `planner` has on the log; `own` says that the record is one of
    /// this process. Returns whether this process has become planner.
    pub fn on_term(&mut self, term: u64, own: bool) -> bool {
        self.term = term;
        self.claimed = None;
        self.silent_since = None;
        self.held_term = own.then_some(term);
        own
    }

    /// Takes note that the claim is not on the log.
    pub fn claim_failed(&mut self) {
        self.claimed = None;
    }

    /// Returns the term to claim, where it is time to.
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
            // Nobody holds a term, or this process's predecessor did, which is gone for certain.
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
