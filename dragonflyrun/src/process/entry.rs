//! The entry role: accepts callers' requests and jobs, and may become planner.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering}, //
    },
    time::Duration,
};

use crate::{
    connection::{EntryReport, HttpRequest, HttpResponse, Message, Peer, Report},
    process::{
        AppendError, Context, EntryJobs, EntryPresence, EntryRequests, Folded, Node, entry_routes,
    },
    utils::Name,
};

/// How long running requests may take to be answered when the process stops.
const STOP_TIME: Duration = Duration::from_secs(60);

/// The components of an entry.
pub(crate) struct EntryNode {
    pub(crate) cx: Arc<Context>,
    pub(crate) requests: EntryRequests,
    pub(crate) jobs: EntryJobs,
    presence: EntryPresence,
    leaving: AtomicBool,
}

impl EntryNode {
    pub(crate) fn new(cx: Arc<Context>) -> Self {
        Self {
            requests: EntryRequests::new(cx.clone()),
            jobs: EntryJobs::new(cx.clone()),
            presence: EntryPresence::new(cx.clone()),
            leaving: AtomicBool::new(false),
            cx,
        }
    }

    fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }
}

impl Node for EntryNode {
    fn on_link_up(&self, peer: &Peer) {
        self.requests.on_peer_up(peer);
    }

    fn on_link_down(&self, peer: &Peer) {
        self.requests.on_peer_down(peer);
        self.jobs.on_peer_down(peer);
    }

    fn on_heartbeat(&self, from: &Name) {
        self.jobs.on_heartbeat(from);
        self.requests.on_report(from);
    }

    fn on_message(&self, from: &Name, message: Message) {
        match message {
            Message::Request(message) => self.requests.on_message(from, message),
            Message::Key(message) => self.requests.on_key_message(from, message),
            Message::Gang(message) => self.jobs.on_message(from, message),
            Message::Heartbeat(_) | Message::Records(_) | Message::Missing { .. } => {}
        }
    }

    fn on_folded(&self, folded: &Folded) {
        self.jobs.on_folded(folded);
    }

    fn on_append_failed(&self, id: &Name, error: &AppendError) {
        self.jobs.on_append_failed(id, error);
    }

    fn tick(&self) {
        self.presence.tick(self.is_leaving());
        self.requests.tick();
        self.jobs.tick();
    }

    fn report(&self) -> Report {
        let address = self.cx.own_address.get();
        Report::Entry(EntryReport {
            leaving: self.is_leaving(),
            address: address.map(ToString::to_string).unwrap_or_default().into(),
        })
    }

    fn readiness(&self) -> Result<(), &'static str> {
        if self.is_leaving() {
            return Err("leaving");
        }
        self.cx.readiness()
    }

    fn on_http(&self, req: HttpRequest) -> HttpResponse {
        entry_routes::answer(self, req)
    }

    fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    fn drain(&self) {
        self.jobs.stop();
        self.presence.leave();
        if !self.requests.stop(STOP_TIME) {
            log::warn!(name:% = self.cx.identity.name; "requests_not_answered");
        }
    }
}
