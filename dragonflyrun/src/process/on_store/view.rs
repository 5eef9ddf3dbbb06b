//! What an entry on the store answers to the operators' tool.
//!
//! The types are shared by the entry that writes them and the tool that reads them. A reader skips
//! fields that it does not know, so that an older tool can ask a newer entry.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    port::JobState,
    utils::Name,
    workload::{JobRequest, Occurrences, Resources, Step, Waiting},
};

/// The answer to `GET /v1/deployment`: the deployment as one entry sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DeploymentView {
    /// The entry that answers.
    pub entry: Name,
    /// Whether it takes callers' requests.
    pub ready: bool,
    /// The version of the configuration that it has in force; none before the first.
    pub configuration: Option<u64>,
    /// Milliseconds since that was proved to be the newest; none before the first proof.
    pub configuration_age_ms: Option<u64>,
    /// Milliseconds since the jobs were proved to be all there are.
    pub jobs_age_ms: Option<u64>,
    /// The entry that plans.
    pub planner: Name,
    /// Its term.
    pub term: u64,
    /// Whether it is the one that answers.
    pub plans_here: bool,
    /// Milliseconds since the newest sign of life of the planner.
    pub planner_seen_ms: u64,
    /// Whether the planner says that it can't prove the configuration and so starts nothing.
    #[serde(default)]
    pub planner_stale: bool,
    /// Failure domains that are out of service.
    pub out_of_service: Vec<Name>,
    /// Jobs of which nothing has started.
    pub waiting: usize,
    /// Jobs of which something has started and that have not ended.
    pub running: usize,
    /// Jobs that have ended and are still known.
    pub ended: usize,
}

/// The answer to `GET /v1/jobs/ID` and `GET /v1/why/ID`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StepJobView {
    /// The job.
    pub job: Name,
    /// Its queue.
    pub queue: Name,
    /// The workspace of the key it came with.
    pub workspace: Option<Name>,
    /// 0 comes first.
    pub priority: u32,
    /// `queued`, `running`, `completed`, `failed` or `cancelled`.
    pub state: Name,
    /// Unix milliseconds of its acceptance.
    pub accepted_ms: u64,
    /// Its steps.
    pub steps: Vec<StepView>,
    /// What the planner found in its newest pass; none where nothing of the job waits for room, and at
    /// entries that do not plan.
    pub waits_for: Option<Waiting>,
    /// The entry that plans, which is the one to ask what the job waits for.
    pub planner: Name,
}

/// How far a step is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StepView {
    /// Its tasks, over all repetitions.
    pub tasks: usize,
    /// Tasks that are done.
    pub done: usize,
    /// Runs that ended as failed.
    pub failed_runs: u32,
    /// The worker of each run that is under way or ordered.
    pub on: Vec<Name>,
}

/// A job of steps as its file says it, in the body of `POST /v1/jobs/ID`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StepJobFile {
    /// The queue, by its name in the configuration.
    pub queue: Name,
    /// What its tasks are given to work on.
    #[serde(default)]
    pub payload: String,
    /// Its steps.
    pub steps: Vec<StepFile>,
    /// Its times, for a timed job.
    #[serde(default)]
    pub occurrences: Option<OccurrencesFile>,
}

/// The times of a timed job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OccurrencesFile {
    /// How many.
    pub count: u32,
    /// Unix milliseconds at which the first is due.
    pub first_ms: u64,
    /// Milliseconds from one to the next.
    pub every_ms: u64,
}

/// A step of a job as its file says it; [`Step`] tells what each field means.
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
    /// Returns what the file asks for.
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

/// Returns a state's name in answers.
pub(super) fn state_name(state: JobState) -> Name {
    Name::from(match state {
        JobState::Queued => "queued",
        JobState::Running => "running",
        JobState::Completed => "completed",
        JobState::Failed => "failed",
        JobState::Cancelled => "cancelled",
    })
}
