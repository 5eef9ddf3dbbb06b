//! Answers of an entry to the operators' command-line tool.
//!
//! The entry that serializes these types and the tool that reads them share them. Unknown fields
//! are skipped when an answer is read, so that an older tool can query a newer entry.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    port::JobState,
    utils::Name,
    workload::{
        JobRequest, JobWait, Occurrences, Resources, Step, Waiting, WorkerStatus, WorkspaceShare,
    },
};

/// The answer to `GET /v1/deployment`: the deployment as seen by one entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DeploymentView {
    /// The entry that answers.
    pub entry: Name,
    /// Whether the entry accepts callers' requests.
    pub ready: bool,
    /// The version of the configuration in force at the entry; `None` before the first one.
    pub configuration: Option<u64>,
    /// Milliseconds since that configuration was last confirmed as the newest; `None` before the
    /// first confirmation.
    pub configuration_age_ms: Option<u64>,
    /// Milliseconds since the entry's table of jobs was last confirmed as current; `None` before
    /// the first confirmation.
    pub jobs_age_ms: Option<u64>,
    /// The entry that plans.
    pub planner: Name,
    /// The term that it holds.
    pub term: u64,
    /// Whether it is the one that answers.
    pub plans_here: bool,
    /// Milliseconds since the planner's last heartbeat.
    pub planner_seen_ms: u64,
    /// Whether the planner reports that it can't confirm its configuration and therefore starts
    /// nothing.
    #[serde(default)]
    pub planner_stale: bool,
    /// Failure domains that are out of service.
    pub out_of_service: Vec<Name>,
    /// Number of jobs of which nothing has started.
    pub waiting: usize,
    /// Number of jobs of which something has started and that have not ended.
    pub running: usize,
    /// Number of ended jobs whose state is still kept.
    pub ended: usize,
}

/// The answer to `GET /v1/jobs/ID` and `GET /v1/why/ID`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StepJobView {
    /// The name of the job.
    pub job: Name,
    /// The name of the queue that the job was submitted to.
    pub queue: Name,
    /// The workspace of the key that it was submitted with.
    pub workspace: Option<Name>,
    /// 0 comes first.
    pub priority: u32,
    /// `queued`, `running`, `completed`, `failed` or `cancelled`.
    pub state: Name,
    /// When it was accepted, in Unix milliseconds.
    pub accepted_ms: u64,
    /// The progress of each of its steps.
    pub steps: Vec<StepView>,
    /// Why it waits, as the planner found in its last pass; `None` if nothing of the job waits for
    /// room, and at entries that do not plan.
    pub waits_for: Option<Waiting>,
    /// What holds it up and since when, if nothing of it runs although the turn of one of its tasks has
    /// come; `None` at entries that do not plan.
    #[serde(default)]
    pub wait: Option<JobWait>,
    /// The entry that plans, which is the one to ask what the job waits for.
    pub planner: Name,
}

/// The progress of a step.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StepView {
    /// Number of its tasks, over all occurrences.
    pub tasks: usize,
    /// Number of tasks that are done.
    pub done: usize,
    /// Number of runs that ended as failed.
    pub failed_runs: u32,
    /// The workers of all runs that are running or ordered.
    pub on: Vec<Name>,
}

/// The answer to `GET /v1/workspaces`: the shares of the workspaces.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WorkspacesView {
    /// The entry that answers.
    pub entry: Name,
    /// The entry that plans, which is the one to ask.
    pub planner: Name,
    /// The time of the answer, in Unix milliseconds.
    pub unix_ms: u64,
    /// The share of each workspace that holds or asks for something, as of the planner's last pass;
    /// `None` at entries that do not plan.
    pub workspaces: Option<Vec<WorkspaceShare>>,
}

/// The answer to `GET /v1/workers`: the workers as the planner sees them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WorkersView {
    /// The entry that answers.
    pub entry: Name,
    /// The entry that plans, which is the one to ask.
    pub planner: Name,
    /// The state of each worker, up to a second old; `None` at entries that do not plan.
    pub workers: Option<Vec<WorkerStatus>>,
}

/// A job of steps as described in its file, which is the body of `POST /v1/jobs/ID`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StepJobFile {
    /// The queue, by its name in the configuration.
    pub queue: Name,
    /// The input for its tasks.
    #[serde(default)]
    pub payload: String,
    /// The steps of the job, each with its tasks.
    pub steps: Vec<StepFile>,
    /// The occurrences of a timed job.
    #[serde(default)]
    pub occurrences: Option<OccurrencesFile>,
}

/// The occurrences of a timed job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OccurrencesFile {
    /// Number of occurrences.
    pub count: u32,
    /// When the first is due, in Unix milliseconds.
    pub first_ms: u64,
    /// Milliseconds from the due time of one occurrence to that of the next.
    pub every_ms: u64,
}

/// A step as described in a job's file; [`Step`] documents the fields.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
#[expect(missing_docs, reason = "the fields are those of `Step`")]
pub struct StepFile {
    pub tasks: u32,
    pub cpu_millis: u64,
    pub memory_mb: u64,
    pub accelerators: u64,
    pub estimate_ms: u64,
    pub after: Vec<u32>,
    pub gang: bool,
    pub one_rack: bool,
    pub label: Option<Name>,
    pub rack: Option<Name>,
    pub per_worker: u32,
    pub checkpoints: bool,
    pub copies_allowed: bool,
    pub lasting: bool,
    pub response_ms: u64,
    pub leftovers: bool,
    pub image: Option<Name>,
}

impl StepJobFile {
    /// Returns the job request that the file describes.
    pub fn request(self) -> JobRequest {
        JobRequest {
            payload: Arc::from(self.payload),
            steps: self.steps.into_iter().map(StepFile::step).collect(),
            occurrences: self.occurrences.map(|o| Occurrences {
                count: o.count,
                first_ms: o.first_ms,
                every_ms: o.every_ms,
            }),
        }
    }
}

impl StepFile {
    fn step(self) -> Step {
        Step {
            tasks: self.tasks,
            needs: Resources {
                cpu_millis: self.cpu_millis,
                memory_mb: self.memory_mb,
                accelerators: self.accelerators,
            },
            estimate_ms: self.estimate_ms,
            after: self.after,
            gang: self.gang,
            one_rack: self.one_rack,
            label: self.label,
            rack: self.rack,
            per_worker: self.per_worker,
            checkpoints: self.checkpoints,
            copies_allowed: self.copies_allowed,
            lasting: self.lasting,
            response_ms: self.response_ms,
            leftovers: self.leftovers,
            image: self.image,
        }
    }
}

/// Returns the name of a state in answers.
pub(super) fn state_name(state: JobState) -> Name {
    Name::from(match state {
        JobState::Queued => "queued",
        JobState::Running => "running",
        JobState::Completed => "completed",
        JobState::Failed => "failed",
        JobState::Cancelled => "cancelled",
    })
}
