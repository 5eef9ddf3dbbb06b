//! `status`.

use std::fmt;

use serde::Serialize;

use crate::{
    process::StatusAnswer,
    tool::{
        Exit, InForce, Printed, ToolError, ToolSettings,
        entries::{no_entry_reached, query_statuses},
    },
};

#[derive(Serialize)]
struct SystemStatus {
    /// The newest version in force in any process, and the processes that lack it.
    in_force: InForce,
    entries: Vec<StatusAnswer>,
}

/// Shows the state of the system as reported by the entries.
pub(super) fn status(settings: &ToolSettings) -> Result<Printed, ToolError> {
    let answers = query_statuses(settings.require_entries()?, settings.timeout);
    let newest = answers
        .iter()
        .filter_map(|a| a.status.as_ref().ok())
        .flat_map(|s| s.peers.iter().map(|p| p.version).chain([s.version]))
        .max();
    let Some(newest) = newest else {
        let errors = answers.into_iter();
        let errors = errors.filter_map(|a| a.status.err().map(|e| (a.address, e)));
        return Err(ToolError::NotKnown(no_entry_reached(
            &errors.collect::<Vec<_>>(),
        )));
    };
    let answer = SystemStatus {
        in_force: InForce::new(newest, &answers),
        entries: answers.into_iter().filter_map(|a| a.status.ok()).collect(),
    };
    Ok(Printed::new(&answer, Exit::Done))
}

impl fmt::Display for SystemStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.in_force)?;
        for entry in &self.entries {
            fmt_entry(entry, f)?;
        }
        fmt_processes(self, f)?;
        // Each entry has its own queues. Entries agree on the other tables except for short
        // periods, so those of the first entry are shown.
        for entry in &self.entries {
            fmt_services(entry, f)?;
        }
        if let Some(entry) = self.entries.first() {
            fmt_domains(entry, f)?;
            fmt_workspaces(entry, f)?;
            fmt_guarantees(entry, f)?;
        }
        Ok(())
    }
}

fn fmt_entry(entry: &StatusAnswer, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    let fresh = if entry.fresh { "fresh" } else { "not fresh" };
    let planner = entry.planner.as_deref().unwrap_or("nobody");
    writeln!(
        f,
        "entry {}: {fresh}, log read up to {}, planner {planner} in term {}",
        entry.name, entry.next_offset, entry.term
    )
}

fn fmt_processes(status: &SystemStatus, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    writeln!(
        f,
        "\n{:<20} {:<6} {:>8} {:<8} FAILURE DOMAIN",
        "PROCESS", "ROLE", "VERSION", "STATE"
    )?;
    for process in &status.in_force.processes {
        let peers = status.entries.iter().flat_map(|e| &e.peers);
        let mut known = peers.filter(|p| p.name == process.name);
        let leaving = known.clone().any(|p| p.leaving);
        let domain = known.find_map(|p| p.failure_domain.as_deref());
        let state = match (leaving, process.live) {
            (true, _) => "leaving",
            (false, true) => "live",
            (false, false) => "silent",
        };
        writeln!(
            f,
            "{:<20} {:<6} {:>8} {state:<8} {}",
            process.name,
            format!("{:?}", process.role).to_lowercase(),
            process.version,
            domain.unwrap_or("-"),
        )?;
    }
    Ok(())
}

fn fmt_services(entry: &StatusAnswer, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    writeln!(
        f,
        "\n{:<20} {:>8} {:>10} {:>8}",
        format!("SERVICE AT {}", entry.name),
        "QUEUED",
        "FREE SLOTS",
        "SLOTS"
    )?;
    for service in &entry.services {
        writeln!(
            f,
            "{:<20} {:>8} {:>10} {:>8}",
            service.service, service.queued, service.free_slots, service.slots
        )?;
    }
    Ok(())
}

fn fmt_domains(entry: &StatusAnswer, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    writeln!(
        f,
        "\n{:<20} {:<10} {:>11} {:>12}",
        "FAILURE DOMAIN", "SERVICE", "LIVE AGENTS", "ACCELERATORS"
    )?;
    for domain in &entry.failure_domains {
        let service = if domain.in_service { "in" } else { "out" };
        writeln!(
            f,
            "{:<20} {service:<10} {:>11} {:>12}",
            domain.failure_domain, domain.agents, domain.accelerators
        )?;
    }
    Ok(())
}

/// Compares the guaranteed accelerators with those in service, which the document does not tell.
fn fmt_guarantees(entry: &StatusAnswer, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    let guaranteed = entry.workspaces.iter().map(|w| w.guaranteed_accelerators);
    let guaranteed: u32 = guaranteed.sum();
    let domains = entry.failure_domains.iter().filter(|d| d.in_service);
    let in_service_total: u32 = domains.map(|d| d.accelerators).sum();
    write!(
        f,
        "\nguaranteed {guaranteed} of the {in_service_total} accelerators in service"
    )?;
    if guaranteed > in_service_total {
        write!(f, ": NOT ALL GUARANTEES CAN BE HONOURED")?;
    }
    Ok(())
}

fn fmt_workspaces(entry: &StatusAnswer, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    writeln!(
        f,
        "\n{:<20} {:>8} {:>10} {:>12}",
        "WORKSPACE", "RUNNING", "GUARANTEED", "WAITING JOBS"
    )?;
    for workspace in &entry.workspaces {
        writeln!(
            f,
            "{:<20} {:>8} {:>10} {:>12}",
            workspace.workspace,
            workspace.running_accelerators,
            workspace.guaranteed_accelerators,
            workspace.waiting_jobs
        )?;
    }
    Ok(())
}
