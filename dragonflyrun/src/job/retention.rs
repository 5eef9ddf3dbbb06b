//! When the planner repeats live state on the log, which keeps records for a limited time only.
//!
//! A process that starts reading in the middle of the log first reaches the repeated membership,
//! which tells it whose records are valid. From there it reaches every live job and the
//! configuration within [`STATE_REPEAT`]. So it has the complete state at the head of the log, as
//! long as the log keeps more than [`MEMBERSHIP_REPEAT`] and [`STATE_REPEAT`] together; see
//! `docs/GANGS.md`, retention.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use crate::{
    job::JobId,
    utils::{HashMap, Timestamp},
};

/// How old a state may become on the log before it is repeated; the limit that is reached first
/// counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RepeatAfter {
    /// Number of records that follow the state.
    pub records: u64,
    /// Time since the state was written, for a log with few new records.
    pub time: Duration,
}

/// When each live job and the configuration are repeated.
pub const STATE_REPEAT: RepeatAfter = RepeatAfter {
    records: 4_000,
    time: Duration::from_secs(600),
};

/// When the membership is repeated.
pub const MEMBERSHIP_REPEAT: RepeatAfter = RepeatAfter {
    records: 500,
    time: Duration::from_secs(120),
};

/// Maximum number of states of one queue that are repeated at once, so that they don't delay other
/// records.
const MAX_REPEATS_PER_CALL: usize = 64;

/// A state that is kept on the log.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Item {
    /// The configuration in force.
    Configuration,
    /// Terms, entries and key owners.
    Membership,
    /// A live job.
    Job(JobId),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct LastWritten {
    offset: u64,
    at: Timestamp,
    repeat_now: bool,
}

/// Tracks where the log last has the complete record of each live state.
#[derive(Debug)]
pub struct Retention {
    membership: RepeatQueue,
    others: RepeatQueue,
}

/// States with the same limits for repeating.
#[derive(Debug)]
struct RepeatQueue {
    repeat_after: RepeatAfter,
    items: HashMap<Item, LastWritten>,
    /// In the order of writing; elements that differ from `items` are obsolete.
    queue: VecDeque<(Item, LastWritten)>,
}

impl Default for Retention {
    fn default() -> Self {
        Self {
            membership: RepeatQueue::new(MEMBERSHIP_REPEAT),
            others: RepeatQueue::new(STATE_REPEAT),
        }
    }
}

impl Retention {
    /// Records that the log has the complete state of `item` at `offset`.
    pub fn written(&mut self, now: Timestamp, item: Item, offset: u64) {
        let written = LastWritten {
            offset,
            at: now,
            repeat_now: false,
        };
        self.queue_of(&item).written(item, written);
    }

    /// Records that a record about `item` is on the log at `offset`. The complete state consists of
    /// all records since it was last repeated, so the offset of the first of them counts.
    pub fn changed(&mut self, now: Timestamp, item: Item, offset: u64) {
        if !self.queue_of(&item).items.contains_key(&item) {
            self.written(now, item, offset);
        }
    }

    /// Makes `item` due at once. This is needed if the log changed between reading the state and
    /// repeating it, so that a reader that starts at the repeated state would miss the change.
    pub fn repeat_now(&mut self, now: Timestamp, item: Item) {
        let written = LastWritten {
            offset: 0,
            at: now,
            repeat_now: true,
        };
        let queue_of = self.queue_of(&item);
        queue_of.items.insert(item.clone(), written);
        queue_of.queue.push_front((item, written));
    }

    /// Stops tracking `item`, which has ended.
    pub fn forget(&mut self, item: &Item) {
        self.queue_of(item).items.remove(item);
    }

    /// Returns the states to repeat now, if the log ends at `next_offset`. They count as written
    /// from here on; [`Retention::repeat_now`] makes a state due again if writing it failed.
    pub fn due(&mut self, now: Timestamp, next_offset: u64) -> Vec<Item> {
        let mut due = self.membership.due(now, next_offset);
        due.extend(self.others.due(now, next_offset));
        due
    }

    fn queue_of(&mut self, item: &Item) -> &mut RepeatQueue {
        match item {
            Item::Membership => &mut self.membership,
            Item::Configuration | Item::Job(_) => &mut self.others,
        }
    }
}

impl RepeatQueue {
    fn new(repeat_after: RepeatAfter) -> Self {
        Self {
            repeat_after,
            items: HashMap::default(),
            queue: VecDeque::new(),
        }
    }

    fn written(&mut self, item: Item, written: LastWritten) {
        self.items.insert(item.clone(), written);
        self.queue.push_back((item, written));
    }

    fn due(&mut self, now: Timestamp, next_offset: u64) -> Vec<Item> {
        let rewritten = LastWritten {
            offset: next_offset,
            at: now,
            repeat_now: false,
        };
        let mut due = Vec::new();
        while due.len() < MAX_REPEATS_PER_CALL {
            let Some((item, written)) = self.queue.front() else {
                break;
            };
            let current = self.items.get(item) == Some(written);
            if current && !self.is_due(now, next_offset, written) {
                break;
            }
            let Some((item, _)) = self.queue.pop_front() else {
                break;
            };
            if current {
                self.written(item.clone(), rewritten);
                due.push(item);
            }
        }
        due
    }

    fn is_due(&self, now: Timestamp, next_offset: u64, written: &LastWritten) -> bool {
        written.repeat_now
            || next_offset.saturating_sub(written.offset) > self.repeat_after.records
            || now.since(written.at) > self.repeat_after.time
    }
}
