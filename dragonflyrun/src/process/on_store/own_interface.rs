//! The product's own interface at an entry on the store: operators' questions, and jobs of steps.
//!
//! Answers to questions come from the entry's own view and never wait. A job that is handed in here
//! takes the same way as one of a caller, and needs the key of a workspace as well.

use std::time::Duration;

use serde::Serialize;

use crate::{
    port::{Advisor, CallerAnswer, CallerCall, CallerRequest, Entrance, JobState, Store},
    process::on_store::{
        BootTime, DeploymentView, StepJobFile, StepJobView, StepView, StoreEntry, view::state_name,
    },
    utils::{Name, lock},
    workload::{JobLookup, KnownJob},
};

/// Header of a call that hands a job in: the workspace's key.
pub const WORKSPACE_KEY_HEADER: &str = "dragonfly-workspace-key";

/// How long a job that is handed in here may take: what the tool waits for, less its way back.
const PATIENCE: Duration = Duration::from_secs(3);

/// A call of the own interface.
#[derive(Clone, Debug)]
pub struct OwnCall<'a> {
    /// The HTTP method.
    pub method: &'a str,
    /// The path.
    pub path: &'a str,
    /// The workspace's key, where one came.
    pub key: Option<&'a str>,
    /// The body.
    pub body: &'a [u8],
}

/// The answer to a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnAnswer {
    /// The HTTP status.
    pub status: u16,
    /// Its body, in JSON.
    pub body: Vec<u8>,
}

/// Why a call of the own interface was not done; the body of such an answer.
#[derive(Clone, Debug, serde::Deserialize, Eq, PartialEq, Serialize)]
pub struct NotDone {
    /// The reason, in words.
    pub reason: String,
    /// Milliseconds after which it may be tried again, where that may help.
    pub retry_after_ms: Option<u64>,
}

impl OwnAnswer {
    fn done(value: &impl Serialize) -> Self {
        Self::new(200, value)
    }

    fn not_done(status: u16, reason: &str, retry_after: Option<Duration>) -> Self {
        let ms = retry_after.map(|after| u64::try_from(after.as_millis()).unwrap_or(u64::MAX));
        let body = NotDone {
            reason: reason.to_owned(),
            retry_after_ms: ms,
        };
        Self::new(status, &body)
    }

    fn new(status: u16, value: &impl Serialize) -> Self {
        let body = serde_json::to_vec(value).unwrap_or_else(|error| {
            // The types have string keys only, so that writing them can't fail.
            log::error!(error:% = error; "encoding_failed");
            Vec::new()
        });
        Self { status, body }
    }
}

impl<S: Store, A: Advisor> StoreEntry<S, A> {
    /// Answers a call of the own interface.
    pub async fn own_call(&self, call: OwnCall<'_>) -> OwnAnswer {
        let path = call.path.strip_prefix("/v1/").unwrap_or_default();
        match (call.method, path.split_once('/').unwrap_or((path, ""))) {
            ("GET", ("deployment", "")) => OwnAnswer::done(&self.deployment()),
            ("GET", ("jobs" | "why", job)) => match self.step_job(job) {
                Some(view) => OwnAnswer::done(&view),
                None => OwnAnswer::not_done(404, "no such job, or it is no longer known", None),
            },
            ("POST", ("jobs", job)) => self.hand_in(job, &call).await,
            _ => OwnAnswer::not_done(404, "no such call", None),
        }
    }

    fn deployment(&self) -> DeploymentView {
        let ready = self.is_ready();
        let now = self.now();
        let state = lock(&self.state);
        let age = |proof: Option<BootTime>| {
            let ms = proof.map(|p| p.elapsed().as_millis());
            ms.map(|ms| u64::try_from(ms).unwrap_or(u64::MAX))
        };
        let mut counts = [0; 3];
        for (name, _) in state.book.jobs() {
            match state.book.look_up(name) {
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
            configuration_age_ms: age(state.operator_proof),
            jobs_age_ms: age(state.book_proof),
            planner: state.election.term().entry.clone(),
            term: state.election.term().number,
            plans_here: state.plans,
            planner_seen_ms: u64::try_from(seen.as_millis()).unwrap_or(u64::MAX),
            planner_stale: state.election.term().stale,
            out_of_service,
            waiting: counts[0],
            running: counts[1],
            ended: counts[2],
        }
    }

    fn step_job(&self, name: &str) -> Option<StepJobView> {
        let state = lock(&self.state);
        let JobLookup::Known(job_state) = state.book.look_up(name) else {
            return None;
        };
        let entry = state.book.get(name)?;
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
            planner: state.election.term().entry.clone(),
        })
    }

    async fn hand_in(&self, job: &str, call: &OwnCall<'_>) -> OwnAnswer {
        let file: StepJobFile = match serde_json::from_slice(call.body) {
            Ok(file) => file,
            Err(error) => return OwnAnswer::not_done(400, &error.to_string(), None),
        };
        let configuration = lock(&self.state).configuration.clone();
        let queues = configuration.iter().flat_map(|c| &c.queues);
        let Some(queue) = queues.into_iter().find(|q| q.name == file.queue) else {
            return OwnAnswer::not_done(404, "no such queue is in force", None);
        };
        let req = CallerRequest {
            host: queue.host.to_string(),
            path: format!("{}{job}", queue.prefix),
            key: call.key.map(str::to_owned),
            patience: PATIENCE,
            call: CallerCall::Submit(Some(file.request())),
        };
        match self.call(req).await {
            CallerAnswer::Accepted => OwnAnswer::done(&serde_json::json!({ "job": job })),
            CallerAnswer::UnknownKey => OwnAnswer::not_done(401, "the key is not known", None),
            CallerAnswer::Malformed => OwnAnswer::not_done(400, "the job makes no sense", None),
            CallerAnswer::Refused(why, after) => OwnAnswer::not_done(503, why.name(), Some(after)),
            CallerAnswer::NoQueue => OwnAnswer::not_done(404, "no such queue is in force", None),
            _ => OwnAnswer::not_done(504, "it is not known whether the job is accepted", None),
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
    // The tasks of a job that is completed are no longer in its plan.
    let completed = entry.plan.outcome == Some(crate::workload::Outcome::Completed);
    let done = known.iter().filter(|t| t.done).count();
    Some(StepView {
        tasks: numbers.len(),
        done: if completed { numbers.len() } else { done },
        failed_runs: known.iter().map(|t| t.failed).sum(),
        on: places.map(|p| p.worker.clone()).collect(),
    })
}
