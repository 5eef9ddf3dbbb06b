//! Since when the reports of each partition have been read without interruption, and which of them are
//! certainly known.

use std::time::Duration;

use crate::utils::{Timestamp, stable_hash};

/// Since when the planner has read the reports of each partition without interruption.
///
/// A missing report says something about its agent only while its partition can be read. The
/// partitions count by themselves: one that fails now and then, of many, would otherwise keep each
/// lost agent from ever being given up.
#[derive(Clone, Debug)]
pub struct ReportReads {
    readable_since: Vec<Option<Timestamp>>,
    /// Since when each partition can't be read; `None` also before the first attempt has ended.
    unreadable_since: Vec<Option<Timestamp>>,
    /// When the newest read of each partition was sent that returned all that was stored.
    complete_at: Vec<Option<Timestamp>>,
}

impl ReportReads {
    /// Returns the state before the first read of `partitions` partitions.
    pub fn new(partitions: u32) -> Self {
        Self {
            readable_since: vec![None; partitions.max(1) as usize],
            unreadable_since: vec![None; partitions.max(1) as usize],
            complete_at: vec![None; partitions.max(1) as usize],
        }
    }

    /// Records that all reports of a partition have been read, or that it can't be read. Does nothing
    /// for a partition that doesn't exist.
    pub fn set_readable(&mut self, now: Timestamp, partition: u32, readable: bool) {
        if let Some(since) = self.readable_since.get_mut(partition as usize) {
            *since = readable.then(|| since.unwrap_or(now));
        }
        if let Some(since) = self.unreadable_since.get_mut(partition as usize) {
            *since = (!readable).then(|| since.unwrap_or(now));
        }
    }

    /// Records that all reports are known that were stored in a partition before `sent_at`, when the read
    /// was sent. Does nothing for a partition that doesn't exist.
    pub fn set_complete(&mut self, sent_at: Timestamp, partition: u32) {
        if let Some(at) = self.complete_at.get_mut(partition as usize) {
            *at = (*at).max(Some(sent_at));
        }
    }

    /// Returns whether all reports about a worker are known that were stored before `at`.
    pub fn are_complete(&self, worker: &str, at: Timestamp) -> bool {
        let partition = self.partition_of(worker);
        let complete_at = partition.and_then(|p| self.complete_at.get(p).copied().flatten());
        complete_at.is_some_and(|complete_at| complete_at >= at)
    }

    /// Returns the partitions that could not be read for `limit` or longer.
    pub fn unreadable_for(&self, now: Timestamp, limit: Duration) -> Vec<u32> {
        let unread = (0..).zip(&self.unreadable_since);
        let unread = unread.filter(|(_, since)| since.is_some_and(|at| now.since(at) >= limit));
        unread.map(|(partition, _)| partition).collect()
    }

    /// Returns since when the reports of a worker have been read without interruption; `None` while
    /// they can't be read.
    pub fn since(&self, worker: &str) -> Option<Timestamp> {
        let partition = self.partition_of(worker)?;
        self.readable_since.get(partition).copied().flatten()
    }

    fn partition_of(&self, worker: &str) -> Option<usize> {
        let partitions = u32::try_from(self.readable_since.len()).ok()?;
        Some(report_partition(worker, partitions) as usize)
    }
}

/// Returns the number of the partition, of so many, that carries the reports of a worker.
pub fn report_partition(worker: &str, partitions: u32) -> u32 {
    let partitions = u64::from(partitions.max(1));
    u32::try_from(stable_hash(worker) % partitions).unwrap_or(0)
}
