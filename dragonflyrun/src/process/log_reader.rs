//! Folds the log into the tables, from the log service or from peers that reach it.

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

/// Records of one read, at the most.
const PAGE_RECORDS: usize = 512;

/// How long a read waits at the log for the next record.
const LONG_POLL: Duration = Duration::from_millis(400);

/// Pause after a failed read, and between looks at what peers have told.
const PAUSE: Duration = Duration::from_millis(200);

/// Age of the last view of the head, had from entries, above which an agent reads for itself.
///
/// Agents are many; as long as an entry tells them of the log they leave the log alone.
const ENTRY_VIEW_AGE: Duration = Duration::from_millis(1_000);

/// Records sent to a peer in one message, at the most.
const RELAYED_RECORDS: usize = 256;

/// Folds records and tells the role, the appender and the peers of each.
pub(crate) struct LogReader<'a> {
    cx: &'a Context,
    node: &'a dyn Node,
}

impl<'a> LogReader<'a> {
    pub(crate) fn new(cx: &'a Context, node: &'a dyn Node) -> Self {
        Self { cx, node }
    }

    /// Reads the log until `stopping`.
    pub(crate) fn run(&self, stopping: &AtomicBool) {
        while !stopping.load(Ordering::Relaxed) {
            if self.is_served_by_entries() {
                std::thread::sleep(PAUSE);
                continue;
            }
            if !self.read_once() {
                std::thread::sleep(PAUSE);
            }
        }
    }

    /// Folds records that a peer has passed on, and asks it for those that are missing before them.
    pub(crate) fn on_records(&self, from: &Name, records: &[LogRecord]) {
        let next_offset = lock(&self.cx.ledger).next_offset();
        if records.first().is_some_and(|r| r.offset > next_offset) {
            self.ask(from, next_offset);
            return;
        }
        self.fold(records);
    }

    /// Sends the records from `from_offset` on to a peer that lacks them.
    pub(crate) fn on_missing(&self, peer: &Name, from_offset: u64) {
        let records = lock(&self.cx.ledger).kept_from(from_offset, RELAYED_RECORDS);
        if !records.is_empty() {
            // A peer whose link is full or gone asks again with its next heartbeat.
            let _ = self.cx.links.send(peer, Message::Records(records));
        }
    }

    /// Takes note of what a peer says of the log in a heartbeat.
    ///
    /// `alive_at` is a moment of our clock after which the peer was alive for certain. The peer
    /// saw the head `age_ms` before it spoke, so at the earliest that much before this moment.
    pub(crate) fn on_view(&self, from: &Name, view: &LogView, alive_at: Option<Timestamp>) {
        let next_offset = lock(&self.cx.ledger).next_offset();
        if view.next_offset > next_offset {
            self.ask(from, next_offset);
            return;
        }
        let Some((age_ms, alive_at)) = view.age_ms.zip(alive_at) else {
            return;
        };
        if view.next_offset == next_offset
            && let Some(seen_ms) = alive_at.as_millis().checked_sub(age_ms)
        {
            lock(&self.cx.freshness).head_seen(Timestamp::from_millis(seen_ms));
        }
    }

    fn is_served_by_entries(&self) -> bool {
        let age = lock(&self.cx.freshness).age(self.cx.now());
        self.cx.identity.role == Role::Agent && age.is_some_and(|age| age < ENTRY_VIEW_AGE)
    }

    fn ask(&self, peer: &Name, from: u64) {
        // Lost questions are asked again at the next heartbeat.
        let _ = self.cx.links.send(peer, Message::Missing { from });
    }

    fn read_once(&self) -> bool {
        let from = lock(&self.cx.ledger).next_offset();
        // The head was current at some time after the request left, so its age counts from here.
        let asked = self.cx.now();
        let page = self.cx.log.read(from, PAGE_RECORDS, LONG_POLL);
        lock(&self.cx.freshness).reached(page.is_ok());
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
            lock(&self.cx.freshness).head_seen(asked);
        }
        if !page.records.is_empty() && self.cx.identity.role == Role::Entry {
            self.pass_on(&page.records);
        }
        true
    }

    fn fold(&self, records: &[LogRecord]) {
        // Records come from the log and from several peers at once. Without this lock two threads
        // could tell the role of two records in the wrong order.
        let _order = lock(&self.cx.fold_order);
        for raw in records {
            let folded = lock(&self.cx.ledger).fold(raw, &self.cx.settings.secret);
            if let Some(folded) = folded {
                self.tell(&folded);
            }
        }
    }

    fn tell(&self, folded: &Folded) {
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

    fn pass_on(&self, records: &[LogRecord]) {
        for OpenLink { peer, .. } in self.cx.links.open_links() {
            for chunk in records.chunks(RELAYED_RECORDS) {
                let _ = self.cx.links.send(&peer, Message::Records(chunk.to_vec()));
            }
        }
    }
}
