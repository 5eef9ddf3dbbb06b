//! Whether this process knows the latest state of the log well enough to act on it alone.
//!
//! A process that was frozen or cut off may hold an old configuration, an old planner's term or an
//! old list of key owners without noticing. It therefore starts no gang and grants no key unless it
//! is fresh. The freshness section of `docs/DESIGN.md` describes the cost of this rule during an
//! outage, a partition and a pause.

use std::time::Duration;

use crate::{
    connection::LogView,
    utils::{Name, Timestamp},
};

/// Maximum age of the last read of the log's head at which a process is fresh.
pub const MAX_HEAD_AGE: Duration = Duration::from_millis(2_000);

/// Time after which an append without an answer can no longer take effect, because the log drops a
/// request that it has not executed by then. Appends are retried for less time than this.
const UNCERTAIN_APPEND_PERIOD: Duration = Duration::from_secs(15);

/// What this process knows about the head of the log.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    head_seen: Option<Timestamp>,
    reachable: bool,
    append_uncertain_since: Option<Timestamp>,
}

/// What an entry last reported about the log, used to decide whether all entries agree that the log
/// is down.
#[derive(Clone, Debug)]
pub struct EntryView {
    /// The name of the entry.
    pub entry: Name,
    /// A time after which it was certainly alive; `None` if it was never heard.
    pub alive_at: Option<Timestamp>,
    /// Whether it has announced that it is leaving and its link has ended, so that it takes no
    /// further part.
    pub has_left: bool,
    /// Its view of the log.
    pub log: LogView,
}

impl Freshness {
    /// Records that the log's head was read at `at` and everything before it is folded.
    pub fn on_head_seen(&mut self, at: Timestamp) {
        self.head_seen = self.head_seen.max(Some(at));
        if self
            .append_uncertain_since
            .is_some_and(|since| at.since(since) > UNCERTAIN_APPEND_PERIOD)
        {
            self.append_uncertain_since = None;
        }
    }

    /// Records whether this process's last read of the log succeeded.
    pub fn set_reachable(&mut self, reachable: bool) {
        self.reachable = reachable;
    }

    /// Records whether an append of this process may have taken effect without an answer.
    pub fn set_append_pending(&mut self, now: Timestamp, pending: bool) {
        self.append_uncertain_since = pending.then_some(now);
    }

    /// Returns the time since this process last had everything up to the log's head; `None` before
    /// the first time.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.head_seen.map(|at| now.since(at))
    }

    /// Returns the view of the log that heartbeats report.
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

    /// Returns whether the process is fresh at `now`. `entries` are all other entries of the last
    /// known membership, and `next_offset` is the offset up to which this process has folded the
    /// log.
    ///
    /// A process is fresh if it has read the head recently. It is also fresh while every entry has
    /// recently reported that it can't reach the log, has no uncertain append and has folded no
    /// more than this process: then nothing can have changed. Silence of an entry is not enough,
    /// since that entry may still be using the log on the other side of a partition.
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
        let mut others = entries.iter().filter(|e| !e.has_left).peekable();
        others.peek().is_some() && others.all(|e| e.reports_log_down(now, next_offset))
    }
}

impl EntryView {
    fn reports_log_down(&self, now: Timestamp, next_offset: u64) -> bool {
        let recent = self
            .alive_at
            .is_some_and(|at| now.since(at) <= MAX_HEAD_AGE);
        let down = !self.log.reachable && !self.log.append_pending;
        recent && down && self.log.next_offset <= next_offset
    }
}
