//! What an entry answers to operators and callers: its view of the system, and of jobs.
//!
//! These are the types of `GET /v1/status` and of the paths under `/v1/jobs`, shared by the entry
//! that writes them and the command-line tool that reads them. A reader skips fields that it does
//! not know, so that an older tool can ask a newer entry.

use serde::{Deserialize, Serialize};

use crate::{
    connection::{JobEnd, Placement, Role},
    job::{ImpossibleReason, JobId},
    utils::Name,
    version::Urgency, //
};

/// Header of the paths under `/v1/jobs`: the editor on whose behalf the call is made.
pub const EDITOR_HEADER: &str = "dragonfly-editor";

/// Header of the paths under `/v1/jobs`: the editor's key in hexadecimal, as
/// [`AuthorKey::to_hex`](crate::connection::AuthorKey::to_hex) prints it.
pub const TOKEN_HEADER: &str = "dragonfly-token";

/// The answer to `GET /v1/status`: the system as one entry sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StatusAnswer {
    /// The name of the entry that answers.
    pub name: Name,
    /// Its role.
    pub role: Role,
    /// The version of the configuration that it has in force.
    pub version: u64,
    /// The offset of the next record that it will fold.
    pub next_offset: u64,
    /// Whether it knows the latest state of the log; see [`Freshness`](crate::process::Freshness).
    pub fresh: bool,
    /// The planner of the current term; none before the first term.
    pub planner: Option<Name>,
    /// The current term.
    pub term: u64,
    /// The other processes that it has heard, in order of their names.
    pub peers: Vec<PeerStatus>,
    /// The failure domains of the document, in order of their names.
    #[serde(default)]
    pub failure_domains: Vec<DomainStatus>,
    /// The services of the document, in order of their names.
    pub services: Vec<ServiceStatus>,
    /// The workspaces of the document, in order of their names.
    pub workspaces: Vec<WorkspaceStatus>,
}

/// Another process, as the entry that answers last heard it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerStatus {
    /// Its name.
    pub name: Name,
    /// Its role.
    pub role: Role,
    /// The version of the configuration that it had in force when it was last heard.
    pub version: u64,
    /// Whether it is linked, was heard lately and is not leaving.
    pub live: bool,
    /// Where it stands; none for an entry, and for an agent that has not reported yet.
    pub failure_domain: Option<Name>,
    /// Whether it has said that it is stopping.
    pub leaving: bool,
}

/// A failure domain with what the entry that answers hears of its hardware.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DomainStatus {
    /// The failure domain.
    pub failure_domain: Name,
    /// Whether tasks and requests may start in it.
    pub in_service: bool,
    /// Live agents in it.
    pub agents: u32,
    /// Accelerators of the workers beside them.
    pub accelerators: u32,
}

/// A service as the entry that answers sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceStatus {
    /// The service.
    pub service: Name,
    /// Requests that wait at this entry.
    pub queued: u32,
    /// Free slots of all backend servers that this entry may send to.
    pub free_slots: u32,
    /// All slots of those backend servers.
    pub slots: u32,
}

/// A workspace as the entry that answers sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkspaceStatus {
    /// The workspace.
    pub workspace: Name,
    /// Accelerators of its running gangs.
    pub running_accelerators: u32,
    /// Its jobs that wait.
    pub waiting_jobs: u32,
    /// Accelerators of all its guarantees together.
    pub guaranteed_accelerators: u32,
}

/// The answer to `GET /v1/jobs`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobsAnswer {
    /// The live jobs in the order of their acceptance.
    pub jobs: Vec<JobStatus>,
}

/// A job; the answer to `GET /v1/jobs/{job}`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobStatus {
    /// The job.
    pub job: JobId,
    /// Where it is in its life.
    pub state: JobState,
    /// The last attempt; 0 before the first.
    pub attempt: u32,
    /// Where that attempt runs; empty while the job waits and after its end.
    #[serde(default)]
    pub placements: Vec<Placement>,
    /// The workspace on whose behalf it runs; none where only the end is still remembered.
    #[serde(default)]
    pub workspace: Option<Name>,
    /// How soon it is needed; none where only the end is still remembered.
    #[serde(default)]
    pub urgency: Option<Urgency>,
}

/// Where a job is in its life.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// It was accepted and waits for its accelerators.
    Waiting,
    /// An attempt is placed.
    Running,
    /// All tasks ended well.
    Finished,
    /// It failed as often as it may.
    Failed,
    /// It was cancelled.
    Cancelled,
    /// Its shape can no longer be had.
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
        /// The job.
        job: JobId,
    },
    /// It is not on the log and will not be. Sent with 400, 403, 404, 422 or 503.
    NotRun {
        /// Why.
        reason: JobRefusal,
        /// Milliseconds after which another attempt is worth while; none where it never is.
        #[serde(default)]
        retry_after_ms: Option<u64>,
    },
    /// The log's answer was lost, so the job may be accepted. Sent with 502. Submitting the same
    /// job id again does no harm, since an id is accepted once only.
    Unknown {
        /// The job.
        job: JobId,
    },
}

impl JobRefusal {
    /// Returns the reason without its details, for counters.
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
    /// The call breaks a rule of the interface; the text says which.
    Malformed(String),
    /// The token does not fit the editor.
    Forbidden,
    /// The workspace is not in the document.
    UnknownWorkspace,
    /// The job is not known.
    UnknownJob,
    /// The job's shape can never be had.
    Impossible(ImpossibleReason),
    /// As many jobs wait or run as may.
    TooManyJobs,
    /// The log does not take records now.
    LogUnavailable,
    /// The entry does not know the latest state of the log.
    NotFresh,
    /// The entry is stopping.
    Leaving,
}
