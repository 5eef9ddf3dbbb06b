//! What a heartbeat shows of an agent.

use crate::{
    connection::{AgentReport, Report},
    process::PeerState,
    utils::{Name, Timestamp},
    version::Version,
};

/// An agent as its last heartbeat showed it.
#[derive(Clone, Debug)]
pub struct AgentView {
    /// The agent.
    pub name: Name,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its clock in its last heartbeat.
    pub sent_ms: u64,
    /// When that heartbeat was heard.
    pub heard: Timestamp,
    /// Whether it is linked, not leaving, and its failure domain is in service.
    pub usable: bool,
    /// Whether it is usable but for its failure domain.
    pub out_of_service: bool,
    /// The services of its backend servers.
    pub services: Vec<ServiceView>,
}

/// The slots of one service at one agent, over its backend servers that are not leaving.
#[derive(Clone, Debug)]
pub struct ServiceView {
    /// The service.
    pub service: Name,
    /// All slots.
    pub slots: u32,
    /// Slots not in use.
    pub free: u32,
}

impl AgentView {
    /// Returns what the roster knows of an agent, under the configuration in force; none where it
    /// is no agent or has not reported yet.
    pub fn of(peer: &PeerState, version: &Version) -> Option<Self> {
        let Some(Report::Agent(report)) = &peer.report else {
            return None;
        };
        let staying = peer.linked && !report.leaving;
        let in_service = version.in_service(&report.failure_domain);
        Some(Self {
            name: peer.peer.name.clone(),
            incarnation: peer.peer.incarnation,
            sent_ms: peer.sent_ms,
            heard: peer.heard_at,
            usable: staying && in_service,
            out_of_service: staying && !in_service,
            services: services(report),
        })
    }

    /// Returns a time on the agent's clock that is no later than `at` is on ours: its clock had
    /// passed `sent_ms` when we heard it.
    pub(crate) fn clock_at(&self, at: Timestamp) -> u64 {
        let since = at.since(self.heard).as_millis();
        let since_ms = u64::try_from(since).unwrap_or(u64::MAX);
        self.sent_ms.saturating_add(since_ms)
    }
}

fn services(report: &AgentReport) -> Vec<ServiceView> {
    let mut services: Vec<ServiceView> = Vec::new();
    for backend in report.backends.iter().filter(|b| !b.leaving) {
        match services.iter_mut().find(|s| s.service == backend.service) {
            Some(service) => {
                service.slots += backend.slots;
                service.free += backend.free;
            }
            None => services.push(ServiceView {
                service: backend.service.clone(),
                slots: backend.slots,
                free: backend.free,
            }),
        }
    }
    services
}
