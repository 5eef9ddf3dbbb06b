//! Paces the reads of an entry that does not plan.
//!
//! Load pattern answered here: a large fleet has many entries and a planner that appends many times
//! a second. If every entry reads each append as it comes, the reads grow with the product of the
//! two, and most of them serve no caller. Such an entry reads at intervals instead, and at once
//! where a caller asks it something, so that no answer is older than with continuous reads. While a
//! caller waits for a change it reads without a pause.

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
    /// Ends the pause for a question.
    read_requested: Notify,
    /// Callers that wait for a change.
    watchers: AtomicUsize,
    /// Ends the pause for a caller that waits for a change.
    watcher_added: Notify,
    /// Tells callers that a read has been folded.
    folded: Notify,
}

/// Why a pause ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum PauseEnd {
    /// A caller's question waits for the answer to the next read, whether there is news or not.
    ReadRequested,
    /// The next read may wait for news.
    Due,
}

/// A caller that waits for a change; the reads go on without pauses for as long as it exists.
#[derive(Debug)]
pub(super) struct Watch<'a>(&'a ReadPause);

impl Watch<'_> {
    /// Returns what completes when the answer to a read has been folded from now on.
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
    /// Waits before the next read, for `most` or until a caller wants news; returns why it ended.
    pub(super) async fn pause(&self, limit: Duration) -> PauseEnd {
        let limit = match self.watchers.load(Ordering::Relaxed) {
            0 => limit,
            _ => Duration::ZERO,
        };
        self.pausing.store(true, Ordering::Relaxed);
        let end = select! {
            biased;
            () = self.read_requested.notified() => PauseEnd::ReadRequested,
            () = self.watcher_added.notified() => PauseEnd::Due,
            () = sleep(limit) => PauseEnd::Due,
        };
        self.pausing.store(false, Ordering::Relaxed);
        end
    }

    /// Ends a pause, and lets the reads go on without pauses until the watch is dropped.
    pub(super) fn watch(&self) -> Watch<'_> {
        self.watchers.fetch_add(1, Ordering::Relaxed);
        if self.pausing.load(Ordering::Relaxed) {
            self.watcher_added.notify_one();
        }
        Watch(self)
    }

    /// Takes note that the answer to a read has been folded.
    pub(super) fn notify_read_folded(&self) {
        self.folded.notify_waiters();
    }

    /// Ends the pause and waits for the next read, for `most` at the most. Returns at once where a
    /// read is under way, since the store answers it as soon as anything new comes.
    pub(super) async fn catch_up_jobs(&self, limit: Duration) {
        if self.pausing.load(Ordering::Relaxed) {
            self.await_next_read(limit).await;
        }
    }

    /// Waits until the next read has been folded, for `most` at the most; ends a pause.
    pub(super) async fn await_next_read(&self, limit: Duration) {
        let folded = self.folded.notified();
        if self.pausing.load(Ordering::Relaxed) {
            self.read_requested.notify_one();
        }
        if timeout(limit, folded).await.is_err() {
            log::debug!(waited_ms = limit.as_millis() as u64; "read_not_awaited");
        }
    }
}
