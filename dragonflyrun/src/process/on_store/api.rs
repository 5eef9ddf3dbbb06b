//! The product's own HTTP API at an entry: status for operators, and the submission of jobs of
//! steps.
//!
//! Status is answered at once from the entry's own view. A job that is submitted here takes the
//! same path as one from a caller, and needs a workspace key too.

use std::time::Duration;

use serde::Serialize;

use crate::{
    port::{Advisor, CallerAnswer, CallerCall, CallerHandler, CallerRequest, JobState, Store},
    process::on_store::{
        BootTime, DeploymentView, StepJobFile, StepJobView, StepView, StoreEntry, WorkersView,
        WorkspacesView, entry::unix_ms, view::state_name,
    },
    utils::{Name, lock},
    workload::{JobLookup, KnownJob},
};

/// Header that carries the workspace key when a job is submitted.
pub const WORKSPACE_KEY_HEADER: &str = "dragonfly-workspace-key";

/// Time limit for the submission of a job: what the command-line tool waits, less the time the
/// answer takes to travel back.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(3);

/// A call of the API.
#[derive(Clone, Debug)]
pub struct ApiCall<'a> {
    /// The HTTP method.
    pub method: &'a str,
    /// The path of the request's URL, without the query.
    pub path: &'a str,
    /// The workspace key, if the call carries one.
    pub key: Option<&'a str>,
    /// The complete body of the request.
    pub body: &'a [u8],
}

/// The answer to an API call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ApiAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The body, in JSON.
    pub body: Vec<u8>,
}

/// The body of an answer to a call that was not carried out.
#[derive(Clone, Debug, serde::Deserialize, Eq, PartialEq, Serialize)]
pub struct ApiError {
    /// The reason, as text.
    pub reason: String,
    /// Milliseconds after which the call may be retried, if a retry may help.
    pub retry_after_ms: Option<u64>,
}

impl ApiAnswer {
    fn ok(value: &impl Serialize) -> Self {
        Self::new(200, value)
    }

    fn error(status: u16, reason: &str, retry_after: Option<Duration>) -> Self {
        let ms = retry_after.map(|after| u64::try_from(after.as_millis()).unwrap_or(u64::MAX));
        let body = ApiError {
            reason: reason.to_owned(),
            retry_after_ms: ms,
        };
        Self::new(status, &body)
    }

    fn new(status: u16, value: &impl Serialize) -> Self {
        let body = serde_json::to_vec(value).unwrap_or_else(|error| {
            // These types have string keys only, so serialization can't fail.
            log::error!(error:% = error; "encoding_failed");
            Vec::new()
        });
        Self { status, body }
    }
}

impl<S: Store, A: Advisor> StoreEntry<S, A> {
    /// Answers a call of the API.
    pub async fn answer_api_call(&self, call: ApiCall<'_>) -> ApiAnswer {
        let path = call.path.strip_prefix("/v1/").unwrap_or_default();
        match (call.method, path.split_once('/').unwrap_or((path, ""))) {
            ("GET", ("deployment", "")) => ApiAnswer::ok(&self.deployment()),
            ("GET", ("workspaces", "")) => ApiAnswer::ok(&self.workspaces()),
            ("GET", ("workers", "")) => ApiAnswer::ok(&self.workers()),
            ("GET", ("jobs" | "why", job)) => match self.step_job(job) {
                Some(view) => ApiAnswer::ok(&view),
                None => ApiAnswer::error(404, "no such job, or it is no longer known", None),
            },
            ("POST", ("jobs", job)) => self.submit_step_job(job, &call).await,
            _ => ApiAnswer::error(404, "no such call", None),
        }
    }

    fn deployment(&self) -> DeploymentView {
        let ready = self.is_ready();
        let now = self.now();
        let state = lock(&self.state);
        let age = |current_at: Option<BootTime>| {
            let ms = current_at.map(|p| p.elapsed().as_millis());
            ms.map(|ms| u64::try_from(ms).unwrap_or(u64::MAX))
        };
        let mut counts = [0; 3];
        for (name, _) in state.job_table.jobs() {
            match state.job_table.look_up(name) {
                JobLookup::Known(JobState::Queued) => counts[0] += 1,
                JobLookup::Known(JobState::Running) => counts[1] += 1,
                JobLookup::Known(_) => counts[2] += 1,
                JobLookup::Unknown => {}
            }
        }
        let mut out_of_service: Vec<Name> = state.evacuated.iter().cloned().collect();
        out_of_service.sort();
        let seen = now.since(state.election.seen());
        DeploymentView {
            entry: self.settings.name.clone(),
            ready,
            configuration: state.configuration.as_ref().map(|c| c.version),
            configuration_age_ms: age(state.operators_current_at),
            jobs_age_ms: age(state.job_table_current_at),
            planner: state.election.term().entry.clone(),
            term: state.election.term().number,
            plans_here: state.is_planner,
            planner_seen_ms: u64::try_from(seen.as_millis()).unwrap_or(u64::MAX),
            planner_stale: state.election.term().stale,
            out_of_service,
            waiting: counts[0],
            running: counts[1],
            ended: counts[2],
        }
    }

    fn workspaces(&self) -> WorkspacesView {
        let state = lock(&self.state);
        WorkspacesView {
            entry: self.settings.name.clone(),
            planner: state.election.term().entry.clone(),
            unix_ms: unix_ms(),
            workspaces: state.shares.clone(),
        }
    }

    fn workers(&self) -> WorkersView {
        let state = lock(&self.state);
        WorkersView {
            entry: self.settings.name.clone(),
            planner: state.election.term().entry.clone(),
            workers: state.workers.clone(),
        }
    }

    fn step_job(&self, name: &str) -> Option<StepJobView> {
        let state = lock(&self.state);
        let JobLookup::Known(job_state) = state.job_table.look_up(name) else {
            return None;
        };
        let entry = state.job_table.get(name)?;
        let job = entry.job.as_ref()?;
        let steps = 0..u32::try_from(job.request.steps.len()).unwrap_or(u32::MAX);
        Some(StepJobView {
            job: job.name.clone(),
            queue: job.queue.clone(),
            workspace: job.workspace.clone(),
            priority: job.priority,
            state: state_name(job_state),
            accepted_ms: job.accepted_ms,
            steps: steps.filter_map(|step| step_view(entry, step)).collect(),
            waits_for: state.waiting.get(name).cloned(),
            wait: state.job_waits.get(name).cloned(),
            planner: state.election.term().entry.clone(),
        })
    }

    async fn submit_step_job(&self, job: &str, call: &ApiCall<'_>) -> ApiAnswer {
        let file: StepJobFile = match serde_json::from_slice(call.body) {
            Ok(file) => file,
            Err(error) => return ApiAnswer::error(400, &error.to_string(), None),
        };
        let configuration = lock(&self.state).configuration.clone();
        let queues = configuration.iter().flat_map(|c| &c.queues);
        let Some(queue) = queues.into_iter().find(|q| q.name == file.queue) else {
            return ApiAnswer::error(404, "no such queue is in force", None);
        };
        let req = CallerRequest {
            host: queue.host.to_string(),
            path: format!("{}{job}", queue.prefix),
            key: call.key.map(str::to_owned),
            patience: SUBMIT_TIMEOUT,
            call: CallerCall::Submit(Some(file.request())),
        };
        match self.call(req).await {
            CallerAnswer::Accepted => ApiAnswer::ok(&serde_json::json!({ "job": job })),
            CallerAnswer::UnknownKey => ApiAnswer::error(401, "the key is not known", None),
            CallerAnswer::Malformed => ApiAnswer::error(400, "the job makes no sense", None),
            CallerAnswer::Refused(why, after) => ApiAnswer::error(503, why.name(), Some(after)),
            CallerAnswer::NoQueue => ApiAnswer::error(404, "no such queue is in force", None),
            _ => ApiAnswer::error(504, "it is not known whether the job is accepted", None),
        }
    }
}

fn step_view(entry: &KnownJob, step: u32) -> Option<StepView> {
    let job = entry.job.as_ref()?;
    let occurrences = 0..job.request.repeats();
    let numbers = occurrences.flat_map(|occurrence| job.task_numbers(occurrence, step));
    let numbers: Vec<u32> = numbers.collect();
    let known = numbers.iter().filter_map(|n| entry.plan.tasks.get(n));
    let known: Vec<_> = known.collect();
    let places = known.iter().filter_map(|t| t.place.as_ref());
    // The plan of a completed job no longer has its tasks.
    let completed = entry.plan.outcome == Some(crate::workload::Outcome::Completed);
    let done = known.iter().filter(|t| t.done).count();
    Some(StepView {
        tasks: numbers.len(),
        done: if completed { numbers.len() } else { done },
        failed_runs: known.iter().map(|t| t.failed).sum(),
        on: places.map(|p| p.worker.clone()).collect(),
    })
}
