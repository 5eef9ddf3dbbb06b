//! Sends this process's signs of life to each linked peer.

use std::{
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use crate::{
    connection::{Heartbeat, Linked, Message, Report},
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
    change: u64,
    /// The link that has carried the current report, for each peer.
    carried: HashMap<Name, u64>,
    last: Timestamp,
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
        let changed = sent.report.as_ref() != Some(&report);
        if !changed && now.since(sent.last) < HEARTBEAT {
            return;
        }
        if changed {
            sent.change += 1;
            sent.report = Some(report.clone());
            sent.carried.clear();
        }
        sent.last = now;
        for Linked { peer, link } in self.cx.links.linked() {
            let carried = sent.carried.get(&peer) == Some(&link);
            let report = (!carried).then_some(&report);
            let heartbeat = self.heartbeat(now, &peer, sent.change, report);
            let message = Message::Heartbeat(Box::new(heartbeat));
            if self.cx.links.send(&peer, message).is_ok() {
                sent.carried.insert(peer, link);
            }
        }
    }

    fn heartbeat(
        &self,
        now: Timestamp,
        peer: &Name,
        change: u64,
        report: Option<&Report>,
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
            report: report.cloned(),
        }
    }
}
