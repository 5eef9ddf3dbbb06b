//! `submit`, `jobs`, `job` and `cancel`.

use std::{fmt, net::SocketAddr};

use oxhttp::model::{Method, StatusCode};
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    connection::Placement,
    job::JobSpec,
    process::{
        EDITOR_HEADER, JobAnswer, JobRefusal, JobState, JobStatus, JobsAnswer, TOKEN_HEADER,
    },
    tool::{
        Exit, Printed, ToolError, ToolSettings,
        commands::{read_file, steps},
        entries::{Call, CallError, Header, no_entry_reached},
        options::SubmitOptions,
        publisher::new_id,
    },
    utils::Name,
    version::{Finding, is_name},
};

/// The maximum size of a file that describes a job, in bytes.
const MAX_SPEC_BYTES: usize = 64 << 10;

/// Submits a job.
///
/// The id of the job is chosen before it is sent, and an id is accepted only once. So if the answer
/// of an entry is lost, the job can be submitted to the next one.
pub(super) fn submit(
    settings: &ToolSettings,
    options: &SubmitOptions,
) -> Result<Printed, ToolError> {
    let bytes = read_file(&options.file, MAX_SPEC_BYTES)?;
    if steps::is_steps(&bytes) {
        let job = options.id.clone().unwrap_or_else(new_id);
        check_id(&job)?;
        return steps::submit(settings, options, &job, &bytes);
    }
    let spec: JobSpec = serde_json::from_slice(&bytes).map_err(|e| {
        ToolError::Findings(vec![Finding {
            place: options.file.clone(),
            what: format!("{e}."),
        }])
    })?;
    let job = options.id.clone().unwrap_or_else(new_id);
    check_id(&job)?;
    let body = serde_json::to_vec(&spec).map_err(|e| ToolError::Usage(e.to_string()))?;
    let headers = vec![Header {
        name: "idempotency-key",
        value: job.to_string(),
    }];
    send_change(settings, Method::POST, "/v1/jobs", headers, body, &job)
}

/// Cancels a job.
pub(super) fn cancel(settings: &ToolSettings, job: &Name) -> Result<Printed, ToolError> {
    check_id(job)?;
    let path = format!("/v1/jobs/{job}");
    send_change(settings, Method::DELETE, &path, Vec::new(), Vec::new(), job)
}

/// Shows one job.
pub(super) fn job(settings: &ToolSettings, job: &Name) -> Result<Printed, ToolError> {
    check_id(job)?;
    let status: JobStatus = get_from_any_entry(settings, &format!("/v1/jobs/{job}"))?;
    Ok(Printed::new(&ShownJob(status), Exit::Done))
}

/// Lists the live jobs.
pub(super) fn jobs(settings: &ToolSettings) -> Result<Printed, ToolError> {
    let answer: JobsAnswer = get_from_any_entry(settings, "/v1/jobs")?;
    Ok(Printed::new(&ShownJobs(answer), Exit::Done))
}

fn check_id(job: &Name) -> Result<(), ToolError> {
    if is_name(job) {
        return Ok(());
    }
    Err(ToolError::Usage(format!("`{job}` is not a name")))
}

/// Returns the headers that authenticate the editor.
fn author_headers(settings: &ToolSettings) -> Result<[Header; 2], ToolError> {
    Ok([
        Header {
            name: EDITOR_HEADER,
            value: settings.editor()?.to_string(),
        },
        Header {
            name: TOKEN_HEADER,
            value: settings.key()?.to_hex(),
        },
    ])
}

/// Sends an idempotent change to one entry after the other until one gives a final answer.
fn send_change(
    settings: &ToolSettings,
    method: Method,
    path: &str,
    mut headers: Vec<Header>,
    body: Vec<u8>,
    job: &Name,
) -> Result<Printed, ToolError> {
    headers.extend(author_headers(settings)?);
    let call = Call {
        method,
        path: path.to_owned(),
        headers,
        body,
        timeout: settings.timeout * 2,
    };
    let mut uncertain = false;
    let mut refused = None;
    let mut errors = Vec::new();
    for address in settings.require_entries()? {
        match call.send(*address).and_then(|a| a.json::<JobAnswer>()) {
            Ok(answer @ JobAnswer::Accepted { .. }) => return Ok(ShownAnswer(answer).printed()),
            Ok(JobAnswer::Unknown { .. }) => uncertain = true,
            Ok(answer @ JobAnswer::NotRun { .. }) => {
                let retry_elsewhere = may_retry_elsewhere(&answer);
                refused = Some(answer);
                if !retry_elsewhere {
                    break;
                }
            }
            Err(error) => {
                uncertain |= matches!(error, CallError::AnswerLost(_));
                errors.push((*address, error));
            }
        }
    }
    // A refusal by one entry says nothing about a call to another entry whose answer was lost.
    if uncertain {
        let job = job.clone();
        return Ok(ShownAnswer(JobAnswer::Unknown { job }).printed());
    }
    match refused {
        Some(answer) => Ok(ShownAnswer(answer).printed()),
        None => Err(ToolError::NotKnown(format!(
            "nothing was sent: {}",
            no_entry_reached(&errors)
        ))),
    }
}

/// Returns whether another entry may accept a call that this one refused.
fn may_retry_elsewhere(answer: &JobAnswer) -> bool {
    let JobAnswer::NotRun { reason, .. } = answer else {
        return false;
    };
    matches!(
        reason,
        JobRefusal::LogUnavailable | JobRefusal::NotFresh | JobRefusal::Leaving
    )
}

/// Queries one entry after the other until one answers.
fn get_from_any_entry<T: DeserializeOwned>(
    settings: &ToolSettings,
    path: &str,
) -> Result<T, ToolError> {
    let call = Call {
        headers: author_headers(settings)?.into(),
        ..Call::get(path, settings.timeout)
    };
    let mut errors: Vec<(SocketAddr, CallError)> = Vec::new();
    for address in settings.require_entries()? {
        match call.send(*address) {
            Ok(answer) if answer.status == StatusCode::FORBIDDEN => {
                let what = describe(&JobRefusal::Forbidden);
                return Err(ToolError::Refused(what));
            }
            Ok(answer) if answer.status == StatusCode::NOT_FOUND => {
                let what = "there is no such job, or its end is no longer remembered";
                return Err(ToolError::Refused(what.to_owned()));
            }
            Ok(answer) => match answer.json() {
                Ok(value) => return Ok(value),
                Err(error) => errors.push((*address, error)),
            },
            Err(error) => errors.push((*address, error)),
        }
    }
    Err(ToolError::NotKnown(no_entry_reached(&errors)))
}

#[derive(Serialize)]
#[serde(transparent)]
struct ShownAnswer(JobAnswer);

impl ShownAnswer {
    fn printed(&self) -> Printed {
        let exit = match &self.0 {
            JobAnswer::Accepted { .. } => Exit::Done,
            JobAnswer::NotRun { .. } => Exit::Refused,
            JobAnswer::Unknown { .. } => Exit::NotKnown,
        };
        Printed::new(self, exit)
    }
}

impl fmt::Display for ShownAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            JobAnswer::Accepted { job } => write!(f, "job {job}: accepted"),
            JobAnswer::NotRun {
                reason,
                retry_after_ms,
            } => {
                write!(f, "not run: {}", describe(reason))?;
                match retry_after_ms {
                    Some(ms) => write!(f, "; try again in {ms} ms"),
                    None => Ok(()),
                }
            }
            JobAnswer::Unknown { job } => write!(
                f,
                "job {job}: not known whether it is accepted, and it may still be; submitting it \
                 again with --id {job} does no harm"
            ),
        }
    }
}

fn describe(reason: &JobRefusal) -> String {
    match reason {
        JobRefusal::Malformed(what) => what.clone(),
        JobRefusal::Forbidden => "the key does not fit the editor".to_owned(),
        JobRefusal::UnknownWorkspace => "the workspace is not in the document".to_owned(),
        JobRefusal::UnknownJob => "there is no such job".to_owned(),
        JobRefusal::Impossible(why) => format!("its shape can never be had ({why:?})"),
        JobRefusal::TooManyJobs => "as many jobs wait or run as may".to_owned(),
        JobRefusal::LogUnavailable => "the log takes no records now".to_owned(),
        JobRefusal::NotFresh => "the entry does not know the latest state".to_owned(),
        JobRefusal::Leaving => "the entry is stopping".to_owned(),
    }
}

#[derive(Serialize)]
#[serde(transparent)]
struct ShownJob(JobStatus);

impl fmt::Display for ShownJob {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt_job(&self.0, f)
    }
}

#[derive(Serialize)]
#[serde(transparent)]
struct ShownJobs(JobsAnswer);

impl fmt::Display for ShownJobs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.jobs.is_empty() {
            return f.write_str("no live jobs");
        }
        for (i, job) in self.0.jobs.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            fmt_job(job, f)?;
        }
        Ok(())
    }
}

fn fmt_job(status: &JobStatus, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    let state = match status.state {
        JobState::Waiting => "waiting",
        JobState::Running => "running",
        JobState::Finished => "finished",
        JobState::Failed => "failed",
        JobState::Cancelled => "cancelled",
        JobState::Impossible => "impossible",
    };
    write!(f, "job {}: {state}, attempt {}", status.job, status.attempt)?;
    if let Some(workspace) = &status.workspace {
        write!(f, ", workspace {workspace}")?;
    }
    if let Some(urgency) = status.urgency {
        write!(f, ", {}", format!("{urgency:?}").to_lowercase())?;
    }
    if !status.placements.is_empty() {
        let place = |p: &Placement| format!("{} x{}", p.worker, p.tasks);
        let places: Vec<String> = status.placements.iter().map(place).collect();
        write!(f, ", on {}", places.join(", "))?;
    }
    Ok(())
}
