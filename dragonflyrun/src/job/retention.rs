//! When the planner repeats live state on the log, which keeps records for a limited time only.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use crate::{
    job::JobId,
    utils::{HashMap, Timestamp},
};

/// Records on the log after which a state is repeated.
pub const CARRY_RECORDS: u64 = 4_000;

/// Time after which a state is repeated on a log that is quiet.
pub const CARRY_TIME: Duration = Duration::from_secs(600);

/// States repeated at once, at the most, so that they do not delay other records.
const AT_ONCE: usize = 64;

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
struct Written {
    offset: u64,
    at: Timestamp,
}

/// Knows for each live state where the log last has the whole of it.
#[derive(Debug, Default)]
pub struct Retention {
    items: HashMap<Item, Written>,
    /// In the order of writing; an element that differs from `items` is out of date.
    queue: VecDeque<(Item, Written)>,
}

impl Retention {
    /// Takes note that the log has the whole state of `item` at `offset`.
    pub fn written(&mut self, now: Timestamp, item: Item, offset: u64) {
        let written = Written { offset, at: now };
        self.items.insert(item.clone(), written);
        self.queue.push_back((item, written));
    }

    /// Takes note of a record on `item` at `offset`. The whole state needs all records since it was
    /// last repeated, so the first of them counts.
    pub fn changed(&mut self, now: Timestamp, item: Item, offset: u64) {
        if !self.items.contains_key(&item) {
            self.written(now, item, offset);
        }
    }

    /// Takes note that `item` is to be repeated at once: the log changed between the moment at
    /// which it was read and that at which it was repeated, so a reader that starts at the repeated
    /// state would miss the change.
    pub fn outdated(&mut self, now: Timestamp, item: Item) {
        let written = Written { offset: 0, at: now };
        self.items.insert(item.clone(), written);
        self.queue.push_front((item, written));
    }

    /// Takes note that `item` is over.
    pub fn over(&mut self, item: &Item) {
        self.items.remove(item);
    }

    /// Returns what is to be repeated now, where the log ends at `next_offset`. What is returned
    /// counts as written; [`Retention::outdated`] makes it due again where it is not.
    pub fn due(&mut self, now: Timestamp, next_offset: u64) -> Vec<Item> {
        let mut due = Vec::new();
        while due.len() < AT_ONCE {
            let Some((item, written)) = self.queue.front() else {
                break;
            };
            let current = self.items.get(item) == Some(written);
            let old = next_offset.saturating_sub(written.offset) > CARRY_RECORDS
                || now.since(written.at) > CARRY_TIME;
            if current && !old && written.offset > 0 {
                break;
            }
            let Some((item, _)) = self.queue.pop_front() else {
                break;
            };
            if current {
                self.written(now, item.clone(), next_offset);
                due.push(item);
            }
        }
        due
    }
}
