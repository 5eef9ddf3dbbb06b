//! Sends this process's signs of life to each linked peer.

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

/// Time between two heartbeats to the same peer.
pub(crate) const HEARTBEAT: Duration = Duration::from_millis(250);

/// How often the report is looked at for a change that can't wait for the next heartbeat.
const LOOK: Duration = Duration::from_millis(25);

/// What was last sent, so that an unchanged report is not sent again.
#[derive(Default)]
struct Sent {
    report: Option<Report>,
    /// Counts the changes of the report.
    change: u64,
    /// The last change of anything but the backend servers.
    whole_change: u64,
    delivered: HashMap<Name, Delivered>,
    last: Timestamp,
}

/// Up to which change a link has delivered the report.
#[derive(Clone, Copy, Eq, PartialEq)]
struct Delivered {
    link: u64,
    change: u64,
}

/// Sends heartbeats.
pub(crate) struct Heartbeats<'a> {
    cx: &'a Context,
    node: &'a dyn Node,
    sent: Mutex<Sent>,
}

impl<'a> Heartbeats<'a> {
    pub(crate) fn new(cx: &'a Context, node: &'a dyn Node) -> Self {
        Self {
            cx,
            node,
            sent: Mutex::default(),
        }
    }

    /// Sends heartbeats until `stopping`.
    pub(crate) fn run(&self, stopping: &AtomicBool) {
        while !stopping.load(Ordering::Relaxed) {
            self.send_due();
            std::thread::sleep(LOOK);
        }
    }

    fn send_due(&self) {
        let now = self.cx.now();
        let report = self.node.report();
        let mut sent = lock(&self.sent);
        let change = Change::between(sent.report.as_ref(), &report);
        if change != Change::Urgent && now.since(sent.last) < HEARTBEAT {
            return;
        }
        sent.take(report, change);
        sent.last = now;
        for OpenLink { peer, link } in self.cx.links.open_links() {
            let part = sent.part_for(&peer, link);
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

impl Sent {
    fn take(&mut self, report: Report, change: Change) {
        if change == Change::None {
            return;
        }
        self.change += 1;
        if change != Change::Slots {
            self.whole_change = self.change;
        }
        self.report = Some(report);
    }

    /// Returns what the link to `peer` has not delivered yet.
    fn part_for(&self, peer: &Name, link: u64) -> Option<Report> {
        let delivered = self.delivered.get(peer).filter(|c| c.link == link);
        match (delivered, &self.report) {
            (Some(c), _) if c.change == self.change => None,
            (Some(c), Some(Report::Agent(report))) if c.change >= self.whole_change => {
                Some(Report::Backends(report.backends.clone()))
            }
            (_, report) => report.clone(),
        }
    }
}

/// What has changed between two reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Change {
    None,
    /// Only how many slots are free. Answers to requests tell that too, so it can wait.
    Slots,
    /// Something that peers have to know at once, such as a member that ended or a leaver.
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
        let rest = before.members == after.members
            && before.leaving == after.leaving
            && before.accelerators == after.accelerators;
        if rest && same_but_free(&before.backends, &after.backends) {
            return Self::Slots;
        }
        Self::Urgent
    }
}

fn same_but_free(before: &[BackendReport], after: &[BackendReport]) -> bool {
    let same = |(a, b): (&BackendReport, &BackendReport)| {
        a.name == b.name && a.service == b.service && a.slots == b.slots && a.leaving == b.leaving
    };
    before.len() == after.len() && before.iter().zip(after).all(same)
}
