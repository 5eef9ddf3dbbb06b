//! Spaces the reads of an entry that does not plan.
//!
//! A large fleet has many entries and a planner that appends many times a second. If every entry
//! read each append as it arrives, the number of reads would grow with the product of the two, and
//! most reads would serve no caller. Such an entry reads at intervals instead, and at once if a
//! caller's request needs it, so that no answer is older than with continuous reads. While a
//! caller waits for a change, the entry reads without pauses.

use std::{
    sync::atomic::{AtomicBool, AtomicUsize, Ordering},
    time::Duration,
};

use tokio::{
    select,
    sync::{Notify, futures::Notified},
    time::{sleep, timeout},
};

/// The pause between two reads of one follower.
#[derive(Debug, Default)]
pub(super) struct ReadPause {
    pausing: AtomicBool,
    /// Ends the pause for a caller's request.
    read_requested: Notify,
    /// Number of callers that wait for a change.
    watchers: AtomicUsize,
    /// Ends the pause for a caller that waits for a change.
    watcher_added: Notify,
    /// Notifies callers that a read has been applied.
    folded: Notify,
}

/// Why a pause ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum PauseEnd {
    /// A caller's request waits for the next read, which must return at once even without new
    /// records.
    ReadRequested,
    /// A caller waits for a change, so the next read has to wait for new records.
    Watched,
    /// The pause is over.
    Due,
}

/// A caller that waits for a change. Reads follow each other without pauses while it exists.
#[derive(Debug)]
pub(super) struct Watch<'a>(&'a ReadPause);

impl Watch<'_> {
    /// Returns a future that completes when the next read has been applied.
    pub(super) fn folded(&self) -> Notified<'_> {
        self.0.folded.notified()
    }
}

impl Drop for Watch<'_> {
    fn drop(&mut self) {
        self.0.watchers.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ReadPause {
    /// Waits before the next read, for `limit` or until a caller needs a read; returns why the
    /// wait ended.
    pub(super) async fn pause(&self, limit: Duration) -> PauseEnd {
        let limit = match self.watchers.load(Ordering::Relaxed) {
            0 => limit,
            _ => Duration::ZERO,
        };
        self.pausing.store(true, Ordering::Relaxed);
        let end = select! {
            biased;
            () = self.read_requested.notified() => PauseEnd::ReadRequested,
            () = self.watcher_added.notified() => PauseEnd::Watched,
            () = sleep(limit) => match self.watchers.load(Ordering::Relaxed) {
                0 => PauseEnd::Due,
                _ => PauseEnd::Watched,
            },
        };
        self.pausing.store(false, Ordering::Relaxed);
        end
    }

    /// Ends the pause, and disables further pauses until the returned watch is dropped.
    pub(super) fn watch(&self) -> Watch<'_> {
        self.watchers.fetch_add(1, Ordering::Relaxed);
        if self.pausing.load(Ordering::Relaxed) {
            self.watcher_added.notify_one();
        }
        Watch(self)
    }

    /// Notifies waiting callers that a read has been applied.
    pub(super) fn notify_read_folded(&self) {
        self.folded.notify_waiters();
    }

    /// Ends the pause, if there is one.
    pub(super) fn end(&self) {
        if self.pausing.load(Ordering::Relaxed) {
            self.read_requested.notify_one();
        }
    }

    /// Ends the pause and waits up to `limit` for the next read. Returns at once if a read is
    /// pending, because the store answers it as soon as a new record arrives.
    pub(super) async fn catch_up(&self, limit: Duration) {
        if self.pausing.load(Ordering::Relaxed) {
            self.await_next_read(limit).await;
        }
    }

    /// Ends the pause and waits up to `limit` until the next read has been applied.
    pub(super) async fn await_next_read(&self, limit: Duration) {
        let folded = self.folded.notified();
        self.end();
        if timeout(limit, folded).await.is_err() {
            log::debug!(waited_ms = limit.as_millis() as u64; "read_wait_timed_out");
        }
    }
}
