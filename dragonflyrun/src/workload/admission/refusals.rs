//! Recent refusals of an entry, by which callers that return after the time that they were told are
//! served before others.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use crate::utils::{HashMap, Name, Timestamp, stable_hash};

/// Maximum number of refusals that are remembered; a forgotten one only loses its precedence.
const MAX_REFUSALS: usize = 1_024;

/// Time after the announced return for which a refusal is remembered: callers wait a little longer
/// than they are told.
const MAX_LATENESS: Duration = Duration::from_secs(10);

/// Maximum time after which a refused caller is told to return. Load can end sooner than expected.
const MAX_RETURN_AFTER: Duration = Duration::from_secs(30);

/// A remembered refusal.
#[derive(Clone, Copy, Debug)]
struct Refused {
    returns_at: Timestamp,
    /// The number of refusals of the job so far.
    count: u32,
}

/// The refused jobs that may return.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentRefusals {
    jobs: HashMap<Name, Refused>,
    /// The names in the order of their newest refusals, each with the announced return.
    order: VecDeque<(Name, Timestamp)>,
}

impl RecentRefusals {
    /// Returns whether the job was refused recently and returns no earlier than it was told.
    pub(super) fn has_returned(&self, now: Timestamp, job: &str) -> bool {
        let refused = self.jobs.get(job);
        refused.is_some_and(|r| r.returns_at <= now && now <= r.returns_at + MAX_LATENESS)
    }

    /// Records a refusal and returns the time after which the caller should return, in whole seconds.
    /// Room is expected after `room_after`; returns are spread over that time by the job's name, and a
    /// job that was refused before returns earlier than others.
    pub(super) fn refuse(&mut self, now: Timestamp, job: &Name, room_after: Duration) -> Duration {
        let count = self.jobs.get(job).map_or(0, |r| r.count);
        let range = room_after.min(MAX_RETURN_AFTER);
        let seconds = (range.as_secs().max(1) >> count.min(5)).max(1);
        let after = Duration::from_secs(1 + stable_hash(job) % seconds);
        let refused = Refused {
            returns_at: now + after,
            count: count.saturating_add(1),
        };
        self.jobs.insert(job.clone(), refused);
        self.order.push_back((job.clone(), refused.returns_at));
        self.forget_old(now);
        after
    }

    /// Forgets a job that is accepted now.
    pub(super) fn remove(&mut self, job: &str) {
        self.jobs.remove(job);
    }

    fn forget_old(&mut self, now: Timestamp) {
        while let Some((job, returns_at)) = self.order.front() {
            let expired = now > *returns_at + MAX_LATENESS;
            if !expired && self.order.len() <= MAX_REFUSALS {
                break;
            }
            // The job may have been refused again since, which has its own place in the order.
            let newest = self.jobs.get(job).map(|r| r.returns_at);
            if newest == Some(*returns_at) {
                self.jobs.remove(job);
            }
            self.order.pop_front();
        }
    }
}

/// Jobs whose records this entry has sent to the store without knowing that they were not stored.
#[derive(Clone, Debug, Default)]
pub(super) struct OpenSubmissions {
    jobs: BTreeMap<Name, OpenSubmission>,
    /// The time until which submissions may be missing from `jobs`.
    incomplete_until: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct OpenSubmission {
    /// The number of requests whose appends are pending or doubtful.
    requests: u32,
    sent_at: Timestamp,
}

/// Time after which a record that was sent has either been read or will never be stored: a store may
/// execute an append several seconds late.
const MAX_APPEND_LATENESS: Duration = Duration::from_secs(60);

/// Maximum number of open submissions that are remembered; no job is refused for load while there may
/// be more.
const MAX_OPEN: usize = 4_096;

impl OpenSubmissions {
    /// Records that the job is about to be sent to the store.
    pub(super) fn begin(&mut self, now: Timestamp, job: &Name) {
        if self.jobs.len() >= MAX_OPEN {
            self.jobs
                .retain(|_, open| now.since(open.sent_at) <= MAX_APPEND_LATENESS);
        }
        if self.jobs.len() >= MAX_OPEN && !self.jobs.contains_key(job) {
            self.incomplete_until = now + MAX_APPEND_LATENESS;
            return;
        }
        let open = self.jobs.entry(job.clone()).or_insert(OpenSubmission {
            requests: 0,
            sent_at: now,
        });
        open.requests += 1;
        open.sent_at = now;
    }

    /// Records that the outcome of one request is known. A request whose outcome stays unknown never
    /// gets here.
    pub(super) fn end(&mut self, job: &str) {
        if let Some(open) = self.jobs.get_mut(job) {
            open.requests = open.requests.saturating_sub(1);
            if open.requests == 0 {
                self.jobs.remove(job);
            }
        }
    }

    /// Returns whether an earlier submission of the job may be stored without this entry having read
    /// it.
    pub(super) fn may_be_stored(&self, now: Timestamp, job: &str) -> bool {
        if now < self.incomplete_until {
            return true;
        }
        let open = self.jobs.get(job);
        open.is_some_and(|open| now.since(open.sent_at) <= MAX_APPEND_LATENESS)
    }
}
