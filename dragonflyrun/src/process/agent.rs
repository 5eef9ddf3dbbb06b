//! The agent role: runs requests at the backend servers and gang members on the worker of its host.

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
        Report,
        is_backend_token, //
    },
    process::{
        AgentJobs, AgentRequests, AppendError, Context, Folded, Node, RoleSettings, TOKEN_HEADER,
    },
    request::BackendAnnouncement,
    utils::Name,
};

/// How long running requests may take to finish when the process stops.
const STOP_TIME: Duration = Duration::from_secs(60);

/// The components of an agent.
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

    /// Registers the backend server that announces itself.
    ///
    /// The agent sends requests to whatever address is announced, so an unauthorized process must not
    /// be able to announce one. The announcement therefore carries the key of the named backend
    /// server, which is derived from the deployment's secret.
    fn announce(&self, req: &HttpRequest) -> HttpResponse {
        let announcement = match serde_json::from_slice::<BackendAnnouncement>(&req.body) {
            Ok(announcement) => announcement,
            Err(error) => return HttpResponse::text(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        let token = req.header(TOKEN_HEADER).unwrap_or_default();
        if !is_backend_token(&self.cx.settings.secret, &announcement.name, token) {
            log::warn!(backend:% = announcement.name; "announcement_refused");
            self.cx.counters.event("announcement_refused");
            return HttpResponse::text(StatusCode::FORBIDDEN, "the token does not fit the name\n");
        }
        self.requests.announce(announcement);
        HttpResponse::text(StatusCode::OK, "announced\n")
    }
}

impl Node for AgentNode {
    fn on_link_up(&self, peer: &Peer) {
        self.requests.on_peer_up(peer);
    }

    fn on_link_down(&self, peer: &Peer) {
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
        if self.cx.links.open_links().is_empty() {
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

    fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    fn drain(&self) {
        self.jobs.drain();
        if !self.requests.stop(STOP_TIME) {
            log::warn!(running = self.requests.running(); "requests_not_finished");
        }
        self.jobs.stop();
    }
}
