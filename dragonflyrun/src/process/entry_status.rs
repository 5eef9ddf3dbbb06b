//! The state of the system as one entry sees it, for `GET /v1/status`.

use crate::{
    connection::{BackendReport, Report},
    process::{
        DomainStatus, EntryNode, PeerState, PeerStatus, Roster, ServiceStatus, StatusAnswer,
        WorkspaceStatus, lock,
    },
    utils::{HashMap, Name, Timestamp},
    version::Version,
};

/// Returns the entry's view of the system.
pub(crate) fn status(entry: &EntryNode) -> StatusAnswer {
    let cx = &entry.cx;
    let now = cx.now();
    let fresh = cx.is_fresh();
    let version = cx.version();
    let workspaces = workspaces(entry, &version);
    let (next_offset, planner, term) = {
        let ledger = lock(&cx.ledger);
        let membership = &ledger.membership;
        let planner = membership.planner().cloned();
        (ledger.next_offset(), planner, membership.term())
    };
    let roster = lock(&cx.roster);
    let backends: Vec<BackendReport> = roster
        .agents(now)
        .filter(|(_, report)| version.in_service(&report.failure_domain))
        .flat_map(|(_, report)| report.backends.clone())
        .filter(|backend| !backend.leaving)
        .collect();
    let failure_domains = failure_domains(now, &roster, &version);
    let peers = roster.all();
    let peers = peers.into_iter().map(|p| peer_status(now, p)).collect();
    drop(roster);
    StatusAnswer {
        name: cx.identity.name.clone(),
        role: cx.identity.role,
        version: version.offset,
        next_offset,
        fresh,
        planner,
        term,
        peers,
        failure_domains,
        services: services(entry, &version, &backends),
        workspaces,
    }
}

fn peer_status(now: Timestamp, peer: &PeerState) -> PeerStatus {
    let failure_domain = match &peer.report {
        Some(Report::Agent(report)) => Some(report.failure_domain.clone()),
        _ => None,
    };
    PeerStatus {
        name: peer.peer.name.clone(),
        role: peer.peer.role,
        version: peer.log.version,
        live: peer.is_live(now),
        failure_domain,
        leaving: peer.is_leaving(),
    }
}

fn failure_domains(now: Timestamp, roster: &Roster, version: &Version) -> Vec<DomainStatus> {
    let mut domains: Vec<DomainStatus> = version
        .failure_domains()
        .map(|domain| {
            let agents = roster.agents(now);
            let own = agents.filter(|(_, report)| report.failure_domain == domain.name);
            let accelerators: Vec<u32> = own.map(|(_, report)| report.accelerators).collect();
            DomainStatus {
                failure_domain: domain.name.clone(),
                in_service: domain.in_service,
                agents: u32::try_from(accelerators.len()).unwrap_or(u32::MAX),
                accelerators: accelerators.iter().sum(),
            }
        })
        .collect();
    domains.sort_by(|a, b| a.failure_domain.cmp(&b.failure_domain));
    domains
}

fn services(
    entry: &EntryNode,
    version: &Version,
    backends: &[BackendReport],
) -> Vec<ServiceStatus> {
    let stats = entry.requests.stats();
    let mut services: Vec<ServiceStatus> = version
        .services()
        .map(|service| {
            let queued = stats.iter().find(|s| s.service == service.name);
            let own = backends.iter().filter(|b| b.service == service.name);
            ServiceStatus {
                service: service.name.clone(),
                queued: queued.map_or(0, |s| u32::try_from(s.queued).unwrap_or(u32::MAX)),
                free_slots: own.clone().map(|b| b.free).sum(),
                slots: own.map(|b| b.slots).sum(),
            }
        })
        .collect();
    services.sort_by(|a, b| a.service.cmp(&b.service));
    services
}

fn workspaces(entry: &EntryNode, version: &Version) -> Vec<WorkspaceStatus> {
    let mut workspaces: HashMap<Name, WorkspaceStatus> = version
        .workspaces()
        .map(|w| {
            let guaranteed = w.guarantees.iter().map(|g| g.tasks * g.accelerators).sum();
            let status = WorkspaceStatus {
                workspace: w.name.clone(),
                running_accelerators: 0,
                waiting_jobs: 0,
                guaranteed_accelerators: guaranteed,
            };
            (w.name.clone(), status)
        })
        .collect();
    for job in lock(&entry.cx.ledger).jobs.all_live() {
        let Some(status) = workspaces.get_mut(&job.spec.workspace) else {
            continue;
        };
        if job.placements.is_empty() {
            status.waiting_jobs += 1;
        } else {
            status.running_accelerators += job.spec.tasks * job.spec.accelerators;
        }
    }
    let mut workspaces: Vec<WorkspaceStatus> = workspaces.into_values().collect();
    workspaces.sort_by(|a, b| a.workspace.cmp(&b.workspace));
    workspaces
}
