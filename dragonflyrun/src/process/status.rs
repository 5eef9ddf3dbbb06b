//! An entry's answers to operators and callers: its view of the system and of jobs.
//!
//! These are the types of `GET /v1/status` and of the paths under `/v1/jobs`, shared by the entry
//! that writes them and the command-line tool that reads them. Readers ignore unknown fields, so
//! that an older tool can query a newer entry.

use serde::{Deserialize, Serialize};

use crate::{
    connection::{JobEnd, Placement, Role},
    job::{ImpossibleReason, JobId},
    utils::Name,
    version::Urgency, //
};

/// Header of the paths under `/v1/jobs` that names the editor on whose behalf the request is made.
pub const EDITOR_HEADER: &str = "dragonfly-editor";

/// Header of the paths under `/v1/jobs` that carries the editor's key in hexadecimal, as printed by
/// [`AuthorKey::to_hex`](crate::connection::AuthorKey::to_hex).
pub const TOKEN_HEADER: &str = "dragonfly-token";

/// The answer to `GET /v1/status`: the state of the system as one entry sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StatusAnswer {
    /// The name of the answering entry.
    pub name: Name,
    /// Its role.
    pub role: Role,
    /// The version of the configuration in force at the entry.
    pub version: u64,
    /// The offset of the next record that the entry will fold.
    pub next_offset: u64,
    /// Whether the entry knows the latest state of the log; see
    /// [`Freshness`](crate::process::Freshness).
    pub fresh: bool,
    /// The planner of the current term; `None` before the first term.
    pub planner: Option<Name>,
    /// The current term.
    pub term: u64,
    /// The peers of the entry, sorted by name.
    pub peers: Vec<PeerStatus>,
    /// The failure domains of the document, sorted by name.
    #[serde(default)]
    pub failure_domains: Vec<DomainStatus>,
    /// The services of the document, sorted by name.
    pub services: Vec<ServiceStatus>,
    /// The workspaces of the document, sorted by name.
    pub workspaces: Vec<WorkspaceStatus>,
}

/// A peer as the answering entry last heard from it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerStatus {
    /// Its name.
    pub name: Name,
    /// Its role.
    pub role: Role,
    /// The version of the configuration in force at the peer in its last heartbeat.
    pub version: u64,
    /// Whether it is linked, has sent a heartbeat recently and is not leaving.
    pub live: bool,
    /// Its failure domain; `None` for an entry and for an agent that has not reported yet.
    pub failure_domain: Option<Name>,
    /// Whether it has announced that it is stopping.
    pub leaving: bool,
}

/// A failure domain with the hardware that its agents report to the answering entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DomainStatus {
    /// The name of the failure domain.
    pub failure_domain: Name,
    /// Whether tasks and requests may start in it.
    pub in_service: bool,
    /// Number of live agents in it.
    pub agents: u32,
    /// Number of accelerators of the workers of these agents.
    pub accelerators: u32,
}

/// A service as the answering entry sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceStatus {
    /// The name of the service.
    pub service: Name,
    /// Number of requests queued at this entry.
    pub queued: u32,
    /// Number of free slots of all backend servers that this entry may send to.
    pub free_slots: u32,
    /// Number of all slots of these backend servers.
    pub slots: u32,
}

/// A workspace as the answering entry sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkspaceStatus {
    /// The name of the workspace.
    pub workspace: Name,
    /// Number of accelerators held by its running gangs.
    pub running_accelerators: u32,
    /// Number of its waiting jobs.
    pub waiting_jobs: u32,
    /// Number of accelerators in all its guarantees.
    pub guaranteed_accelerators: u32,
}

/// The answer to `GET /v1/jobs`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobsAnswer {
    /// The live jobs in the order in which they were accepted.
    pub jobs: Vec<JobStatus>,
}

/// The state of a job; the answer to `GET /v1/jobs/{job}`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobStatus {
    /// The id of the job.
    pub job: JobId,
    /// The state of the job.
    pub state: JobState,
    /// The number of the last attempt; 0 before the first.
    pub attempt: u32,
    /// The placements of that attempt; empty while the job waits and after its end.
    #[serde(default)]
    pub placements: Vec<Placement>,
    /// The workspace on whose behalf it runs; `None` if only its end is still remembered.
    #[serde(default)]
    pub workspace: Option<Name>,
    /// Its urgency; `None` if only its end is still remembered.
    #[serde(default)]
    pub urgency: Option<Urgency>,
}

/// The state of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// It is accepted and waits for accelerators.
    Waiting,
    /// An attempt is placed.
    Running,
    /// All its tasks completed successfully.
    Finished,
    /// It failed, and no attempts are left.
    Failed,
    /// It was cancelled.
    Cancelled,
    /// Its requirements can no longer be met.
    Impossible,
}

impl From<JobEnd> for JobState {
    fn from(end: JobEnd) -> Self {
        match end {
            JobEnd::Finished => Self::Finished,
            JobEnd::Failed => Self::Failed,
            JobEnd::Cancelled => Self::Cancelled,
            JobEnd::Impossible => Self::Impossible,
        }
    }
}

/// The answer to `POST /v1/jobs` and to `DELETE /v1/jobs/{job}`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum JobAnswer {
    /// The job, or its cancellation, is on the log. Sent with status 202.
    Accepted {
        /// The id of the job.
        job: JobId,
    },
    /// It is not on the log and never will be. Sent with status 400, 403, 404, 422 or 503.
    NotRun {
        /// The reason for the refusal.
        reason: JobRefusal,
        /// Milliseconds after which the call may be repeated; `None` if a repeat can't succeed.
        #[serde(default)]
        retry_after_ms: Option<u64>,
    },
    /// The answer of the log was lost, so the job may or may not be accepted. Sent with status 502.
    /// The job can safely be submitted again with the same id, since an id is accepted only once.
    Unknown {
        /// The id of the job.
        job: JobId,
    },
}

impl JobRefusal {
    /// Returns the reason without its details, as a metric label.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Malformed(_) => "malformed",
            Self::Forbidden => "forbidden",
            Self::UnknownWorkspace => "unknown_workspace",
            Self::UnknownJob => "unknown_job",
            Self::Impossible(_) => "impossible",
            Self::TooManyJobs => "too_many_jobs",
            Self::LogUnavailable => "log_unavailable",
            Self::NotFresh => "not_fresh",
            Self::Leaving => "leaving",
        }
    }
}

/// Why a job, or its cancellation, was refused.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JobRefusal {
    /// The request violates a rule of the interface; the text says which.
    Malformed(String),
    /// The token does not match the editor.
    Forbidden,
    /// The workspace is not in the document.
    UnknownWorkspace,
    /// The job is unknown.
    UnknownJob,
    /// The requirements of the job can never be met: it has no tasks, exceeds the quota of its
    /// workspace, or does not fit on the known workers.
    Impossible(ImpossibleReason),
    /// The limit of live jobs is reached.
    TooManyJobs,
    /// The log does not accept records at the moment.
    LogUnavailable,
    /// The entry does not know the latest state of the log.
    NotFresh,
    /// The entry is stopping.
    Leaving,
}
