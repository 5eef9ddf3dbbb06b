//! `deployment`, `why`, and `submit` for jobs of steps, which need entries that keep their state on
//! the store.

use std::{fmt, fs, net::SocketAddr};

use oxhttp::model::{Method, StatusCode};
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    process::on_store::{ApiError, DeploymentView, StepJobFile, StepJobView, WORKSPACE_KEY_HEADER},
    tool::{
        Exit, Printed, ToolError, ToolSettings,
        entries::{Answer, Call, CallError, Header, no_entry_reached},
        options::SubmitOptions,
    },
    utils::Name,
    version::Finding,
};

/// The timeout of a submission as a multiple of the tool's timeout: the entry may try the store
/// several times.
const SUBMIT_TIMEOUT_FACTOR: u32 = 2;

/// Returns whether a file describes a job of steps.
pub(super) fn is_steps(bytes: &[u8]) -> bool {
    let value: Result<serde_json::Value, _> = serde_json::from_slice(bytes);
    value.is_ok_and(|v| v.get("steps").is_some())
}

/// Submits a job of steps. The name of the job is chosen before it is sent, and a name is accepted
/// only once. So if the answer of an entry is lost, the job is submitted to the next one.
pub(super) fn submit(
    settings: &ToolSettings,
    options: &SubmitOptions,
    job: &Name,
    bytes: &[u8],
) -> Result<Printed, ToolError> {
    let file: StepJobFile = serde_json::from_slice(bytes).map_err(|e| {
        ToolError::Findings(vec![Finding {
            place: options.file.clone(),
            what: format!("{e}."),
        }])
    })?;
    let body = serde_json::to_vec(&file).map_err(|e| ToolError::Usage(e.to_string()))?;
    let call = Call {
        method: Method::POST,
        path: format!("/v1/jobs/{job}"),
        headers: workspace_key(options)?,
        body,
        timeout: settings.timeout * SUBMIT_TIMEOUT_FACTOR,
    };
    let mut uncertain = false;
    let mut refused = None;
    let mut errors = Vec::new();
    for address in settings.require_entries()? {
        match call.send(*address) {
            Ok(answer) if answer.status == StatusCode::OK => {
                return Ok(Printed::new(&Accepted { job: job.clone() }, Exit::Done));
            }
            Ok(answer) if answer.status == StatusCode::SERVICE_UNAVAILABLE => {
                refused = Some(failure_reason(&answer));
            }
            Ok(answer) if answer.status == StatusCode::GATEWAY_TIMEOUT => uncertain = true,
            Ok(answer) => return Err(ToolError::Refused(failure_reason(&answer))),
            Err(error) => {
                uncertain |= matches!(error, CallError::AnswerLost(_));
                errors.push((*address, error));
            }
        }
    }
    // A refusal by one entry says nothing about a call to another entry whose answer was lost.
    if uncertain {
        return Err(ToolError::NotKnown(format!(
            "job {job} may be accepted; submitting it again with --id {job} does no harm"
        )));
    }
    match refused {
        Some(why) => Err(ToolError::Refused(why)),
        None => Err(ToolError::NotKnown(no_entry_reached(&errors))),
    }
}

fn workspace_key(options: &SubmitOptions) -> Result<Vec<Header>, ToolError> {
    let Some(file) = &options.workspace_key_file else {
        return Ok(Vec::new());
    };
    let key = fs::read_to_string(file)
        .map_err(|e| ToolError::Usage(format!("can't read {file}: {e}")))?;
    Ok(vec![Header {
        name: WORKSPACE_KEY_HEADER,
        value: key.trim().to_owned(),
    }])
}

/// Describes why an entry refused a submission.
fn failure_reason(answer: &Answer) -> String {
    match answer.json::<ApiError>() {
        Ok(ApiError {
            reason,
            retry_after_ms: Some(ms),
        }) => format!("not run: {reason}; try again in {ms} ms"),
        Ok(ApiError { reason, .. }) => format!("not run: {reason}"),
        Err(_) => format!("not run: status {}", answer.status),
    }
}

/// Shows a job of steps and what it waits for. Only the planner's entry knows the latter, so all
/// entries are queried.
pub(super) fn why(settings: &ToolSettings, job: &Name) -> Result<Printed, ToolError> {
    let views: Vec<(SocketAddr, StepJobView)> =
        query_all_entries(settings, &format!("/v1/why/{job}"))?;
    let by_planner = views
        .iter()
        .find(|(_, v)| v.waits_for.is_some() || v.wait.is_some());
    let Some((_, view)) = by_planner.or(views.first()) else {
        let what = "there is no such job, or its end is no longer remembered";
        return Err(ToolError::Refused(what.to_owned()));
    };
    Ok(Printed::new(&ShownJob(view.clone()), Exit::Done))
}

/// Shows the deployment as reported by each entry.
pub(super) fn deployment(settings: &ToolSettings) -> Result<Printed, ToolError> {
    let views = query_all_entries(settings, "/v1/deployment")?;
    let views = views.into_iter().map(|(_, view)| view).collect();
    Ok(Printed::new(&ShownDeployment(views), Exit::Done))
}

/// Returns the answers of all entries that have one. It is an error if no entry could be reached.
pub(super) fn query_all_entries<T: DeserializeOwned>(
    settings: &ToolSettings,
    path: &str,
) -> Result<Vec<(SocketAddr, T)>, ToolError> {
    let call = Call::get(path, settings.timeout);
    let mut found = Vec::new();
    let mut errors = Vec::new();
    let mut not_found = false;
    for address in settings.require_entries()? {
        match call.send(*address) {
            Ok(answer) if answer.status == StatusCode::NOT_FOUND => not_found = true,
            Ok(answer) => match answer.json() {
                Ok(view) => found.push((*address, view)),
                Err(error) => errors.push((*address, error)),
            },
            Err(error) => errors.push((*address, error)),
        }
    }
    if found.is_empty() && !not_found {
        return Err(ToolError::NotKnown(no_entry_reached(&errors)));
    }
    Ok(found)
}

#[derive(Serialize)]
struct Accepted {
    job: Name,
}

impl fmt::Display for Accepted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "job {}: accepted", self.job)
    }
}

#[derive(Serialize)]
#[serde(transparent)]
struct ShownJob(StepJobView);

impl fmt::Display for ShownJob {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let view = &self.0;
        write!(f, "job {}: {}, queue {}", view.job, view.state, view.queue)?;
        if let Some(workspace) = &view.workspace {
            write!(f, ", workspace {workspace}")?;
        }
        write!(f, ", priority {}", view.priority)?;
        for (number, step) in view.steps.iter().enumerate() {
            write!(
                f,
                "\nstep {number}: {} of {} tasks done",
                step.done, step.tasks
            )?;
            if step.failed_runs > 0 {
                write!(f, ", {} failed runs", step.failed_runs)?;
            }
            if !step.on.is_empty() {
                let on: Vec<&str> = step.on.iter().map(|w| &**w).collect();
                write!(f, ", on {}", on.join(" "))?;
            }
        }
        if let Some(waiting) = &view.waits_for {
            write!(
                f,
                "\nwaits: step {}, {} tasks: {}; {} demands come before it, {} ms of slack",
                waiting.step, waiting.tasks, waiting.reason, waiting.before, waiting.slack_ms
            )?;
        }
        if let Some(wait) = &view.wait {
            write!(f, "\n{wait}")?;
        }
        let waits = view.waits_for.is_some() || view.wait.is_some();
        if !waits && matches!(&*view.state, "queued" | "running") {
            write!(
                f,
                "\nnothing of it waits for room, as far as known; planner: {}",
                view.planner
            )?;
        }
        Ok(())
    }
}

#[derive(Serialize)]
#[serde(transparent)]
struct ShownDeployment(Vec<DeploymentView>);

impl fmt::Display for ShownDeployment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let age = |ms: Option<u64>| ms.map_or_else(|| "never".to_owned(), |ms| format!("{ms} ms"));
        for (number, view) in self.0.iter().enumerate() {
            if number > 0 {
                writeln!(f)?;
            }
            let ready = if view.ready { "ready" } else { "not ready" };
            let version = view
                .configuration
                .map_or_else(|| "none".to_owned(), |v| v.to_string());
            write!(
                f,
                "entry {}: {ready}, configuration {version} proved {} ago, jobs {} ago; planner {} \
                 in term {}, seen {} ms ago{}; {} jobs wait, {} run, {} ended",
                view.entry,
                age(view.configuration_age_ms),
                age(view.jobs_age_ms),
                view.planner,
                view.term,
                view.planner_seen_ms,
                if view.planner_stale {
                    ", starts nothing without a proof of the configuration"
                } else {
                    ""
                },
                view.waiting,
                view.running,
                view.ended
            )?;
            for domain in &view.out_of_service {
                write!(f, "; {domain} is out of service")?;
            }
        }
        Ok(())
    }
}
