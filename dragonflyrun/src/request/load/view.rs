//! The state of an agent as reported in its heartbeats.

use crate::{
    connection::{AgentReport, Report},
    process::PeerState,
    utils::{Name, Timestamp},
    version::Version,
};

/// The state of an agent as of its last heartbeat.
#[derive(Clone, Debug)]
pub struct AgentView {
    /// The agent.
    pub name: Name,
    /// The incarnation of the agent.
    pub incarnation: u64,
    /// The agent's clock when it sent its last heartbeat, in milliseconds.
    pub sent_ms: u64,
    /// When that heartbeat arrived, on the clock of this process.
    pub heard: Timestamp,
    /// Whether the agent is linked, not leaving, and in a failure domain that is in service.
    pub usable: bool,
    /// Whether the agent would be usable if its failure domain were in service.
    pub out_of_service: bool,
    /// The services of its backend servers.
    pub services: Vec<ServiceView>,
}

/// The slots of one service at one agent, summed over its backend servers that are not leaving.
#[derive(Clone, Debug)]
pub struct ServiceView {
    /// The service.
    pub service: Name,
    /// Total number of slots.
    pub slots: u32,
    /// Number of free slots.
    pub free: u32,
}

impl AgentView {
    /// Returns the state of an agent from the roster under the configuration `version`, or none if
    /// the peer is not an agent or has not reported yet.
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

    /// Returns the time `at` of this process's clock on the agent's clock, in milliseconds. The
    /// result is never too late: the agent's clock was at `sent_ms` or later when the heartbeat
    /// arrived.
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
