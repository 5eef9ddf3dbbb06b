//! `workspaces` and `workers`, which only the entry that plans can answer.

use std::fmt;

use serde::{Serialize, de::DeserializeOwned};

use crate::{
    process::on_store::{WorkersView, WorkspacesView},
    tool::{Exit, Printed, ToolError, ToolSettings, commands::steps::query_all_entries},
    utils::Name,
    workload::{WorkerState, WorkerStatus, WorkspaceShare},
};

/// Shows the shares of the workspaces.
pub(super) fn workspaces(settings: &ToolSettings) -> Result<Printed, ToolError> {
    show_of_planner(settings, "/v1/workspaces", |view: WorkspacesView| {
        let workspaces = view.workspaces.ok_or(view.planner)?;
        Ok(ShownWorkspaces {
            entry: view.entry,
            unix_ms: view.unix_ms,
            workspaces,
        })
    })
}

/// Shows the workers.
pub(super) fn workers(settings: &ToolSettings) -> Result<Printed, ToolError> {
    show_of_planner(settings, "/v1/workers", |view: WorkersView| {
        let workers = view.workers.ok_or(view.planner)?;
        Ok(ShownWorkers {
            entry: view.entry,
            workers,
        })
    })
}

/// Shows the answer of the entry that plans. `shown` returns what is shown of an answer or, where the
/// entry doesn't plan, the name of the one that does.
fn show_of_planner<V: DeserializeOwned, T: fmt::Display + Serialize>(
    settings: &ToolSettings,
    path: &str,
    shown: impl Fn(V) -> Result<T, Name>,
) -> Result<Printed, ToolError> {
    let mut planner = None;
    for (_, view) in query_all_entries(settings, path)? {
        match shown(view) {
            Ok(shown) => return Ok(Printed::new(&shown, Exit::Done)),
            Err(name) => planner = Some(name),
        }
    }
    Err(ToolError::NotKnown(match planner {
        Some(planner) => format!("none of the queried entries plans; planner: {planner}"),
        None => "none of the queried entries knows this call".to_owned(),
    }))
}

#[derive(Serialize)]
struct ShownWorkspaces {
    entry: Name,
    unix_ms: u64,
    workspaces: Vec<WorkspaceShare>,
}

impl fmt::Display for ShownWorkspaces {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "planner {}: {} workspaces",
            self.entry,
            self.workspaces.len()
        )?;
        for share in &self.workspaces {
            let name = share.workspace.as_deref().unwrap_or("(public queues)");
            write!(
                f,
                "\n{name} on {}: {} accelerators guaranteed, {} held, {} of them borrowed; entitled \
                 to {:.1} %, holds {:.1} %, asks for {:.1} %",
                share.service,
                share.guaranteed,
                share.held_accelerators,
                share.borrowed_accelerators,
                share.entitlement * 100.0,
                share.held * 100.0,
                share.asked * 100.0
            )?;
            if share.is_above_entitlement() {
                f.write_str(", above its entitlement")?;
            }
            if let Some(since_ms) = share.waiting_since_ms {
                write!(
                    f,
                    "; {} demands wait for {} accelerators, since {} ms",
                    share.waiting_demands,
                    share.waiting_accelerators,
                    self.unix_ms.saturating_sub(since_ms)
                )?;
            }
        }
        Ok(())
    }
}

#[derive(Serialize)]
struct ShownWorkers {
    entry: Name,
    workers: Vec<WorkerStatus>,
}

impl fmt::Display for ShownWorkers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "planner {}: {} workers", self.entry, self.workers.len())?;
        for worker in &self.workers {
            write!(f, "\n{}", worker.worker)?;
            if let Some(service) = &worker.service {
                write!(f, " of {service}")?;
            }
            if let Some(rack) = &worker.rack {
                write!(f, " on {rack}")?;
            }
            write!(
                f,
                ": {}, slowness {:.2} with deviation {:.2}, {} runs, {} of {} accelerators free",
                state_name(worker.state),
                worker.slowness,
                worker.deviation,
                worker.runs,
                worker.free_accelerators,
                worker.accelerators
            )?;
        }
        Ok(())
    }
}

fn state_name(state: WorkerState) -> &'static str {
    match state {
        WorkerState::Accepting => "accepts tasks",
        WorkerState::Idle => "accepts tasks once it is asked",
        WorkerState::Draining => "draining",
        WorkerState::Quarantined => "quarantined",
        WorkerState::Unreachable => "does not answer its agent",
        WorkerState::Silent => "silent",
        WorkerState::Gone => "gone",
    }
}
