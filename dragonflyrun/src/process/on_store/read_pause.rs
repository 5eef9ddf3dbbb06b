//! Paces the reads of an entry that does not plan.
//!
//! Load pattern answered here: a large fleet has many entries and a planner that appends many times
//! a second. If every entry reads each append as it comes, the reads grow with the product of the
//! two, and most of them serve no caller. Such an entry reads at intervals instead, and at once
//! where a caller asks it something, so that no answer is older than with continuous reads.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use tokio::{sync::Notify, time::timeout};

use crate::process::on_store::entry::wait_for;

/// The pause between two reads of one follower.
#[derive(Debug, Default)]
pub(super) struct ReadPause {
    pausing: AtomicBool,
    /// Ends the pause.
    wanted: Notify,
    /// Tells callers that a read has been folded.
    folded: Notify,
}

impl ReadPause {
    /// Waits before the next read, for `most` or until a caller wants news; returns whether one
    /// does.
    pub(super) async fn pause(&self, most: Duration) -> bool {
        self.pausing.store(true, Ordering::Relaxed);
        let wanted = wait_for(&self.wanted, most).await;
        self.pausing.store(false, Ordering::Relaxed);
        wanted
    }

    /// Takes note that the answer to a read has been folded.
    pub(super) fn was_read(&self) {
        self.folded.notify_waiters();
    }

    /// Ends the pause and waits for the next read, for `most` at the most. Returns at once where a
    /// read is under way, since the store answers it as soon as anything new comes.
    pub(super) async fn catch_up(&self, most: Duration) {
        if self.pausing.load(Ordering::Relaxed) {
            self.next_read(most).await;
        }
    }

    /// Waits until the next read has been folded, for `most` at the most; ends a pause.
    pub(super) async fn next_read(&self, most: Duration) {
        let folded = self.folded.notified();
        if self.pausing.load(Ordering::Relaxed) {
            self.wanted.notify_one();
        }
        if timeout(most, folded).await.is_err() {
            log::debug!(waited_ms = most.as_millis() as u64; "read_not_awaited");
        }
    }
}
