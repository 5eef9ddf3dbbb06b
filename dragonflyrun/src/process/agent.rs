//! The role of an agent: stands beside a backend server and its worker.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering}, //
    },
    time::Duration,
};

use hyper::{Method, StatusCode};

use crate::{
    connection::{
        AgentReport,
        HttpRequest,
        HttpResponse,
        Message,
        Peer,
        Report, //
    },
    process::{AgentJobs, AgentRequests, AppendError, Context, Folded, Node, RoleSettings},
    request::BackendAnnouncement,
    utils::Name,
};

/// Time that requests under way have to end when the process stops.
const STOP_TIME: Duration = Duration::from_secs(60);

/// An agent's parts.
pub(crate) struct AgentNode {
    cx: Arc<Context>,
    requests: Arc<AgentRequests>,
    jobs: AgentJobs,
    leaving: AtomicBool,
}

impl AgentNode {
    pub(crate) fn new(cx: Arc<Context>) -> io::Result<Self> {
        let worker = match cx.settings.role {
            RoleSettings::Agent { worker, .. } => worker,
            RoleSettings::Entry { .. } => None,
        };
        Ok(Self {
            requests: AgentRequests::new(cx.clone()),
            jobs: AgentJobs::new(cx.clone(), worker)?,
            leaving: AtomicBool::new(false),
            cx,
        })
    }

    fn announce(&self, req: &HttpRequest) -> HttpResponse {
        match serde_json::from_slice::<BackendAnnouncement>(&req.body) {
            Ok(announcement) => {
                self.requests.announce(announcement);
                HttpResponse::text(StatusCode::OK, "announced\n")
            }
            Err(error) => HttpResponse::text(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }
}

impl Node for AgentNode {
    fn on_up(&self, peer: &Peer) {
        self.requests.on_peer_up(peer);
    }

    fn on_down(&self, peer: &Peer) {
        self.requests.on_peer_down(peer);
    }

    fn on_heartbeat(&self, _from: &Name) {}

    fn on_message(&self, from: &Name, message: Message) {
        match message {
            Message::Request(message) => self.requests.on_message(from, message),
            Message::Key(message) => self.requests.on_key_message(from, message),
            Message::Gang(message) => self.jobs.on_message(from, message),
            Message::Heartbeat(_) | Message::Records(_) | Message::Missing { .. } => {}
        }
    }

    fn on_folded(&self, folded: &Folded) {
        self.requests.on_folded();
        self.jobs.on_folded(folded);
    }

    fn on_append_failed(&self, _id: &Name, _error: &AppendError) {}

    fn tick(&self) {
        self.requests.tick();
        self.jobs.tick();
    }

    fn report(&self) -> Report {
        let (failure_domain, rack) = match &self.cx.settings.role {
            RoleSettings::Agent {
                failure_domain,
                rack,
                ..
            } => (failure_domain.clone(), rack.clone()),
            RoleSettings::Entry { .. } => Default::default(),
        };
        Report::Agent(AgentReport {
            failure_domain,
            rack,
            accelerators: self.jobs.worker_accelerators(),
            backends: self.requests.backends(),
            members: self.jobs.members(),
            leaving: self.leaving.load(Ordering::Relaxed),
        })
    }

    fn readiness(&self) -> Result<(), &'static str> {
        if self.leaving.load(Ordering::Relaxed) {
            return Err("leaving");
        }
        if self.cx.links.linked().is_empty() {
            return Err("not linked to an entry");
        }
        self.cx.readiness()
    }

    fn on_http(&self, req: HttpRequest) -> HttpResponse {
        match (&req.method, req.path.as_str()) {
            (&Method::POST, "/v1/backends") => self.announce(&req),
            _ => HttpResponse::text(StatusCode::NOT_FOUND, "no such page\n"),
        }
    }

    fn drain(&self) {
        self.leaving.store(true, Ordering::Relaxed);
        self.jobs.drain();
        if !self.requests.stop(STOP_TIME) {
            log::warn!(running = self.requests.running(); "requests_not_finished");
        }
        self.jobs.stop();
    }
}
