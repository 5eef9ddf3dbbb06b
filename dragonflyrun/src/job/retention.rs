//! When the planner repeats live state on the log, which keeps records for a limited time only.
//!
//! A process that begins to read in the middle of the log first meets the repeated membership,
//! which tells it whose records are in effect, and from there on every live job and the
//! configuration within [`CARRY`]. So it knows everything when it reaches the head, if the log
//! keeps more than [`MEMBERSHIP_CARRY`] and [`CARRY`] together; see `docs/GANGS.md`, retention.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use crate::{
    job::JobId,
    utils::{HashMap, Timestamp},
};

/// How old a state may become on the log before it is repeated, whichever comes first.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RepeatAfter {
    /// Records that follow it.
    pub records: u64,
    /// Time that passes, on a log that is quiet.
    pub time: Duration,
}

/// How often each live job and the configuration are repeated.
pub const STATE_REPEAT: RepeatAfter = RepeatAfter {
    records: 4_000,
    time: Duration::from_secs(600),
};

/// How often the membership is repeated.
pub const MEMBERSHIP_REPEAT: RepeatAfter = RepeatAfter {
    records: 500,
    time: Duration::from_secs(120),
};

/// States of one kind repeated at once, at the most, so that they do not delay other records.
const MAX_REPEATS_PER_CALL: usize = 64;

/// A state that lives on the log.
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

/// Knows for each live state where the log last has the whole of it.
#[derive(Debug)]
pub struct Retention {
    membership: RepeatQueue,
    others: RepeatQueue,
}

/// States that are repeated equally often.
#[derive(Debug)]
struct RepeatQueue {
    repeat_after: RepeatAfter,
    items: HashMap<Item, LastWritten>,
    /// In the order of writing; an element that differs from `items` is out of date.
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
    /// Takes note that the log has the whole state of `item` at `offset`.
    pub fn written(&mut self, now: Timestamp, item: Item, offset: u64) {
        let written = LastWritten {
            offset,
            at: now,
            repeat_now: false,
        };
        self.queue_of(&item).written(item, written);
    }

    /// Takes note of a record on `item` at `offset`. The whole state needs all records since it was
    /// last repeated, so the first of them counts.
    pub fn changed(&mut self, now: Timestamp, item: Item, offset: u64) {
        if !self.queue_of(&item).items.contains_key(&item) {
            self.written(now, item, offset);
        }
    }

    /// Takes note that `item` is to be repeated at once: the log changed between the moment at
    /// which it was read and that at which it was repeated, so a reader that starts at the repeated
    /// state would miss the change.
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

    /// Takes note that `item` is over.
    pub fn forget(&mut self, item: &Item) {
        self.queue_of(item).items.remove(item);
    }

    /// Returns what is to be repeated now, where the log ends at `next_offset`. What is returned
    /// counts as written; [`Retention::outdated`] makes it due again where it is not.
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
        let again = LastWritten {
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
                self.written(item.clone(), again);
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
