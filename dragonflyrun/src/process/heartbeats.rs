//! Sends the heartbeats of this process to each linked peer.

use std::{
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use crate::{
    connection::{BackendReport, Heartbeat, Message, OpenLink, Report},
    process::{Context, Node, lock},
    utils::{HashMap, Name, Timestamp},
};

/// Interval between two heartbeats to the same peer.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// How often the report is checked for a change that can't wait for the next heartbeat.
const REPORT_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// What was last sent, so that an unchanged report is not sent again.
#[derive(Default)]
struct SentReports {
    report: Option<Report>,
    /// Number of changes of the report so far.
    change: u64,
    /// The number of the last change to anything but the backend servers.
    full_change: u64,
    delivered: HashMap<Name, Delivered>,
    last: Timestamp,
}

/// The last change of the report that was sent over a link.
#[derive(Clone, Copy, Eq, PartialEq)]
struct Delivered {
    link: u64,
    change: u64,
}

/// Sends heartbeats and decides which part of the report each peer needs.
pub(crate) struct Heartbeats<'a> {
    cx: &'a Context,
    node: &'a dyn Node,
    sent: Mutex<SentReports>,
}

impl<'a> Heartbeats<'a> {
    pub(crate) fn new(cx: &'a Context, node: &'a dyn Node) -> Self {
        Self {
            cx,
            node,
            sent: Mutex::default(),
        }
    }

    /// Sends heartbeats until `stopping` is set.
    pub(crate) fn run(&self, stopping: &AtomicBool) {
        while !stopping.load(Ordering::Relaxed) {
            self.send_due();
            std::thread::sleep(REPORT_CHECK_INTERVAL);
        }
    }

    fn send_due(&self) {
        let now = self.cx.now();
        let report = self.node.report();
        let mut sent = lock(&self.sent);
        let change = Change::between(sent.report.as_ref(), &report);
        if change != Change::Urgent && now.since(sent.last) < HEARTBEAT_INTERVAL {
            return;
        }
        sent.update(report, change);
        sent.last = now;
        for OpenLink { peer, link } in self.cx.links.open_links() {
            let part = sent.undelivered_part(&peer, link);
            let heartbeat = self.heartbeat(now, &peer, sent.change, part);
            let message = Message::Heartbeat(Box::new(heartbeat));
            if self.cx.links.send(&peer, message).is_ok() {
                let change = sent.change;
                sent.delivered.insert(peer, Delivered { link, change });
            }
        }
    }

    fn heartbeat(
        &self,
        now: Timestamp,
        peer: &Name,
        change: u64,
        report: Option<Report>,
    ) -> Heartbeat {
        let (next_offset, version) = {
            let ledger = lock(&self.cx.ledger);
            (ledger.next_offset(), ledger.history.current().offset)
        };
        let echo_ms = lock(&self.cx.roster)
            .peer(peer)
            .map(|p| p.sent_ms)
            .filter(|ms| *ms > 0);
        Heartbeat {
            sent_ms: now.as_millis(),
            echo_ms,
            change,
            log: lock(&self.cx.freshness).view(now, next_offset, version),
            report,
        }
    }
}

impl SentReports {
    fn update(&mut self, report: Report, change: Change) {
        if change == Change::None {
            return;
        }
        self.change += 1;
        if change != Change::Slots {
            self.full_change = self.change;
        }
        self.report = Some(report);
    }

    /// Returns the part of the report that has not been sent over the link to `peer` yet.
    fn undelivered_part(&self, peer: &Name, link: u64) -> Option<Report> {
        let delivered = self.delivered.get(peer).filter(|c| c.link == link);
        match (delivered, &self.report) {
            (Some(c), _) if c.change == self.change => None,
            (Some(c), Some(Report::Agent(report))) if c.change >= self.full_change => {
                Some(Report::Backends(report.backends.clone()))
            }
            (_, report) => report.clone(),
        }
    }
}

/// The difference between two reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Change {
    None,
    /// Only the numbers of free slots. Answers to requests carry them too, so this can wait.
    Slots,
    /// Something that peers have to learn at once, such as the end of a member or that the process
    /// is leaving.
    Urgent,
}

impl Change {
    fn between(before: Option<&Report>, after: &Report) -> Self {
        let (Some(Report::Agent(before)), Report::Agent(after)) = (before, after) else {
            let same = before == Some(after);
            return if same { Self::None } else { Self::Urgent };
        };
        if before == after {
            return Self::None;
        }
        let others_equal = before.members == after.members
            && before.leaving == after.leaving
            && before.accelerators == after.accelerators;
        if others_equal && differ_only_in_free_slots(&before.backends, &after.backends) {
            return Self::Slots;
        }
        Self::Urgent
    }
}

fn differ_only_in_free_slots(before: &[BackendReport], after: &[BackendReport]) -> bool {
    let same = |(a, b): (&BackendReport, &BackendReport)| {
        a.name == b.name && a.service == b.service && a.slots == b.slots && a.leaving == b.leaving
    };
    before.len() == after.len() && before.iter().zip(after).all(same)
}
