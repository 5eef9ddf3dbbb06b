//! Reads the log from the log service or from peers that can reach it, and folds it into the
//! tables.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use crate::{
    connection::{LogRecord, LogView, Message, OpenLink, Role},
    process::{Context, Folded, Node, lock},
    utils::{Name, Timestamp},
    version::Verdict,
};

/// Maximum number of records in one read.
const MAX_PAGE_RECORDS: usize = 512;

/// How long a read waits at the log for the next record.
const LONG_POLL_TIME: Duration = Duration::from_millis(400);

/// Delay after a failed read, and between checks whether the views received from entries are still
/// recent.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Age of the last view of the head received from entries above which an agent reads the log
/// itself.
///
/// There are many agents, so they leave the log service alone as long as an entry keeps them up to
/// date.
const MAX_ENTRY_VIEW_AGE: Duration = Duration::from_millis(1_000);

/// Maximum number of records sent to a peer in one message.
const MAX_RELAYED_RECORDS: usize = 256;

/// Folds records and passes each to the role, the appender and the peers.
pub(crate) struct LogReader<'a> {
    cx: &'a Context,
    node: &'a dyn Node,
}

impl<'a> LogReader<'a> {
    pub(crate) fn new(cx: &'a Context, node: &'a dyn Node) -> Self {
        Self { cx, node }
    }

    /// Reads the log until `stopping` is set.
    pub(crate) fn run(&self, stopping: &AtomicBool) {
        while !stopping.load(Ordering::Relaxed) {
            if self.is_served_by_entries() {
                std::thread::sleep(RETRY_DELAY);
                continue;
            }
            if !self.read_once() {
                std::thread::sleep(RETRY_DELAY);
            }
        }
    }

    /// Folds records relayed by a peer, and requests any that are missing before them.
    pub(crate) fn on_records(&self, from: &Name, records: &[LogRecord]) {
        let next_offset = lock(&self.cx.ledger).next_offset();
        if records.first().is_some_and(|r| r.offset > next_offset) {
            self.request_missing(from, next_offset);
            return;
        }
        self.fold(records);
    }

    /// Sends the records from `from_offset` on to a peer that lacks them.
    pub(crate) fn on_missing(&self, peer: &Name, from_offset: u64) {
        let records = lock(&self.cx.ledger).kept_from(from_offset, MAX_RELAYED_RECORDS);
        if !records.is_empty() {
            // If the link is full or gone, the peer requests them again when it receives the next
            // heartbeat of this process.
            let _ = self.cx.links.send(peer, Message::Records(records));
        }
    }

    /// Applies the view of the log that a peer sent in a heartbeat.
    ///
    /// `alive_at` is a time on this process's clock after which the peer was certainly alive. The
    /// peer read the head `age_ms` before it sent the heartbeat, so no earlier than that much
    /// before `alive_at`.
    pub(crate) fn on_view(&self, from: &Name, view: &LogView, alive_at: Option<Timestamp>) {
        let next_offset = lock(&self.cx.ledger).next_offset();
        if view.next_offset > next_offset {
            self.request_missing(from, next_offset);
            return;
        }
        let Some((age_ms, alive_at)) = view.age_ms.zip(alive_at) else {
            return;
        };
        if view.next_offset == next_offset
            && let Some(seen_ms) = alive_at.as_millis().checked_sub(age_ms)
        {
            lock(&self.cx.freshness).on_head_seen(Timestamp::from_millis(seen_ms));
        }
    }

    fn is_served_by_entries(&self) -> bool {
        let age = lock(&self.cx.freshness).age(self.cx.now());
        self.cx.identity.role == Role::Agent && age.is_some_and(|age| age < MAX_ENTRY_VIEW_AGE)
    }

    fn request_missing(&self, peer: &Name, from: u64) {
        // A lost request is repeated at the next heartbeat.
        let _ = self.cx.links.send(peer, Message::Missing { from });
    }

    fn read_once(&self) -> bool {
        let from = lock(&self.cx.ledger).next_offset();
        // The head was current at some time after the request was sent, so its age counts from
        // here.
        let called_at = self.cx.now();
        let page = self.cx.log.read(from, MAX_PAGE_RECORDS, LONG_POLL_TIME);
        lock(&self.cx.freshness).set_reachable(page.is_ok());
        let page = match page {
            Ok(page) => page,
            Err(error) => {
                log::debug!(error:% = error; "log_read_failed");
                return false;
            }
        };
        lock(&self.cx.ledger).skip_to(page.first);
        self.fold(&page.records);
        let at_head = {
            let mut ledger = lock(&self.cx.ledger);
            let at_head = ledger.next_offset() >= page.head;
            if at_head {
                ledger.reached_head();
            }
            at_head
        };
        if at_head {
            lock(&self.cx.freshness).on_head_seen(called_at);
        }
        if !page.records.is_empty() && self.cx.identity.role == Role::Entry {
            self.relay(&page.records);
        }
        true
    }

    fn fold(&self, records: &[LogRecord]) {
        // Records arrive from the log and from several peers concurrently. Without this lock two
        // threads could pass records to the role out of order.
        let _order = lock(&self.cx.fold_order);
        for raw in records {
            let folded = lock(&self.cx.ledger).fold(raw, &self.cx.settings.secret);
            if let Some(folded) = folded {
                self.notify(&folded);
            }
        }
    }

    fn notify(&self, folded: &Folded) {
        if let Some(verdict) = &folded.verdict {
            log::info!(
                offset = folded.offset,
                editor:% = folded.record.author,
                verdict:? = verdict;
                "edit_folded"
            );
            if *verdict != Verdict::Accepted {
                self.cx.counters.event("edit_rejected");
            }
        }
        self.cx.appender.on_folded(folded);
        self.node.on_folded(folded);
    }

    fn relay(&self, records: &[LogRecord]) {
        for OpenLink { peer, .. } in self.cx.links.open_links() {
            for chunk in records.chunks(MAX_RELAYED_RECORDS) {
                let _ = self.cx.links.send(&peer, Message::Records(chunk.to_vec()));
            }
        }
    }
}
