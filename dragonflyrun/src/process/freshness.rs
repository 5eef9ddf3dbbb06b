//! Whether this process knows the latest state of the log closely enough to act on it alone.
//!
//! A process that was frozen or cut off may hold an old configuration, an old planner's term or an
//! old list of key owners without noticing. So it starts no gang and grants no key unless it is
//! fresh; `docs/DESIGN.md`, freshness, says what that costs in an outage, a partition and a pause.

use std::time::Duration;

use crate::{
    connection::LogView,
    utils::{Name, Timestamp},
};

/// Age of the last view of the log's head up to which a process is fresh.
pub const MAX_HEAD_AGE: Duration = Duration::from_millis(2_000);

/// Time after which an append without an answer, made before, can no longer take effect: the log
/// drops a request that it has not carried out by then. Longer than any append is tried.
const UNCERTAIN_APPEND_PERIOD: Duration = Duration::from_secs(15);

/// What this process knows of the log's head.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    head_seen: Option<Timestamp>,
    reachable: bool,
    append_uncertain_since: Option<Timestamp>,
}

/// What an entry last said of the log, for the decision whether all agree that it is down.
#[derive(Clone, Debug)]
pub struct EntryView {
    /// The entry.
    pub entry: Name,
    /// When it was last heard; none if never.
    pub heard: Option<Timestamp>,
    /// Whether it said goodbye or its port refuses connections, and so takes no more part.
    pub gone: bool,
    /// What it said.
    pub log: LogView,
}

impl Freshness {
    /// Takes note that the log's head was seen at `at`, and all before it is folded.
    pub fn on_head_seen(&mut self, at: Timestamp) {
        self.head_seen = self.head_seen.max(Some(at));
        if self
            .append_uncertain_since
            .is_some_and(|since| at.since(since) > UNCERTAIN_APPEND_PERIOD)
        {
            self.append_uncertain_since = None;
        }
    }

    /// Takes note of whether this process's own read of the log succeeded.
    pub fn set_reachable(&mut self, reachable: bool) {
        self.reachable = reachable;
    }

    /// Takes note of whether an append of this process may have taken effect without an answer.
    pub fn set_append_pending(&mut self, now: Timestamp, pending: bool) {
        self.append_uncertain_since = pending.then_some(now);
    }

    /// Returns the time since the log's head was last known to be folded; none before the first.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.head_seen.map(|at| now.since(at))
    }

    /// Returns what a heartbeat says of the log.
    pub fn view(&self, now: Timestamp, next_offset: u64, version: u64) -> LogView {
        let age = self.head_seen.map(|at| now.since(at).as_millis());
        LogView {
            next_offset,
            age_ms: age.and_then(|ms| u64::try_from(ms).ok()),
            reachable: self.reachable,
            append_pending: self.append_uncertain_since.is_some(),
            version,
        }
    }

    /// Returns whether the process is fresh at `now`, where `entries` are all entries of the last
    /// known membership other than itself, and `next_offset` is how far it has folded the log.
    ///
    /// It is fresh if it has seen the head lately. It is also fresh while every entry was heard
    /// lately and says that it can't reach the log, has no append in doubt and knows no more than
    /// we do: then nobody can have changed anything. An entry that is merely silent may be at work
    /// on the log behind a partition, so silence is not enough.
    pub fn is_fresh(&self, now: Timestamp, next_offset: u64, entries: &[EntryView]) -> bool {
        if self
            .head_seen
            .is_some_and(|at| now.since(at) <= MAX_HEAD_AGE)
        {
            return true;
        }
        if self.reachable || self.append_uncertain_since.is_some() || self.head_seen.is_none() {
            return false;
        }
        let mut others = entries.iter().filter(|e| !e.gone).peekable();
        others.peek().is_some() && others.all(|e| e.reports_log_down(now, next_offset))
    }
}

impl EntryView {
    fn reports_log_down(&self, now: Timestamp, next_offset: u64) -> bool {
        let heard = self.heard.is_some_and(|at| now.since(at) <= MAX_HEAD_AGE);
        let down = !self.log.reachable && !self.log.append_pending;
        heard && down && self.log.next_offset <= next_offset
    }
}
