//! How long an append may wait for its answer, and when it is repeated.
//!
//! On a slow store, appends to one partition queue up. An append that is given up while it is
//! queued is sent again and then queued twice; if all writers do that, the queue never drains.

use std::time::Duration;

use crate::{port::AppendError, workload::Backoff};

/// How long an append may take, as a multiple of the store's usual delay. If its queue is longer
/// than that, the store itself refuses appends.
const MAX_STORE_DELAYS: u32 = 8;

/// Returns the time limit for an append on a store with the usual delay `delay`: at least `min`,
/// which applies to a fast store.
pub fn append_timeout(min: Duration, delay: Duration) -> Duration {
    min.max(delay * MAX_STORE_DELAYS)
}

/// Longest time that an append waits in the queue of its partition: the store refuses an append when
/// more than that is waiting.
const MAX_QUEUE_WAIT: Duration = Duration::from_secs(2);

/// Number of attempts in a row without an answer from which on an append is awaited for as long as it
/// may be queued. The first ones are given up earlier, since an open connection may have gone silent.
const MIN_UNANSWERED: u32 = 2;

/// The time limits of the attempts of an append, and the delays between them.
#[derive(Clone, Copy, Debug)]
pub struct AppendRetry {
    min_limit: Duration,
    max_delay: Duration,
    backoff: Backoff,
    /// Number of attempts in a row without an answer.
    unanswered: u32,
}

impl AppendRetry {
    /// Returns the state before the first attempt. Its time limit is `min_limit` on a fast store; the
    /// delays between attempts grow up to about `max_delay`.
    pub fn new(min_limit: Duration, max_delay: Duration) -> Self {
        Self {
            min_limit,
            max_delay,
            backoff: Backoff::default(),
            unanswered: 0,
        }
    }

    /// Returns the time limit for the next attempt on a store with the usual delay `delay`, which is
    /// that of its reads: these don't queue behind appends.
    pub fn time_limit(&self, delay: Duration) -> Duration {
        let limit = append_timeout(self.min_limit, delay);
        match self.unanswered {
            0..MIN_UNANSWERED => limit,
            MIN_UNANSWERED.. => limit + MAX_QUEUE_WAIT,
        }
    }

    /// Records that an attempt was carried out, or refused for a reason other than the store's load.
    pub fn answered(&mut self) {
        self.backoff.succeeded();
        self.unanswered = 0;
    }

    /// Records that an attempt has failed after the time `took`; returns the delay before the next.
    pub fn failed(&mut self, error: &AppendError, took: Duration) -> Duration {
        self.unanswered = match error {
            AppendError::Unknown(_) => self.unanswered + 1,
            _ => 0,
        };
        self.backoff.failed(took, self.max_delay)
    }
}
