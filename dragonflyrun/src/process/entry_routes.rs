//! The HTTP paths that an entry serves to callers and operators.

use hyper::{Method, StatusCode};

use crate::{
    connection::{HttpRequest, HttpResponse, is_editor_token},
    job::JobSpec,
    process::{
        EDITOR_HEADER, EntryNode, JobAnswer, JobRefusal, TOKEN_HEADER, entry_status,
        requested_service,
    },
    utils::Name,
};

/// Header in which a submitter names its job, so that a repeated call does not create a second job.
const JOB_ID_HEADER: &str = "idempotency-key";

/// Answers a request for one of the paths under `/v1`.
pub(crate) fn answer(entry: &EntryNode, req: HttpRequest) -> HttpResponse {
    if let Some(service) = requested_service(&req.path).map(str::to_owned)
        && req.method == Method::POST
    {
        return entry.requests.handle(&service, req);
    }
    let req = &req;
    let path: Vec<&str> = req.path.trim_start_matches('/').split('/').collect();
    match (&req.method, path.as_slice()) {
        (&Method::GET, ["v1", "status"]) => {
            HttpResponse::json(StatusCode::OK, &entry_status::status(entry))
        }
        (&Method::POST, ["v1", "jobs"]) => as_editor(entry, req, submit),
        (&Method::GET, ["v1", "jobs"]) => as_editor(entry, req, |entry, _| {
            HttpResponse::json(StatusCode::OK, &entry.jobs.jobs())
        }),
        (&Method::GET, ["v1", "jobs", job]) => as_editor(entry, req, |entry, _| show(entry, job)),
        (&Method::DELETE, ["v1", "jobs", job]) => as_editor(entry, req, |entry, _| {
            job_answer(&entry.jobs.cancel(&Name::from(*job)))
        }),
        _ => HttpResponse::text(StatusCode::NOT_FOUND, "no such page\n"),
    }
}

/// Runs `act` if the caller presents the token of the editor that it names.
fn as_editor(
    entry: &EntryNode,
    req: &HttpRequest,
    act: impl FnOnce(&EntryNode, &HttpRequest) -> HttpResponse,
) -> HttpResponse {
    let token = req.header(TOKEN_HEADER).unwrap_or_default();
    let editor = req.header(EDITOR_HEADER).unwrap_or_default();
    if !is_editor_token(&entry.cx.settings.secret, editor, token) {
        return job_answer(&JobAnswer::NotRun {
            reason: JobRefusal::Forbidden,
            retry_after_ms: None,
        });
    }
    act(entry, req)
}

fn submit(entry: &EntryNode, req: &HttpRequest) -> HttpResponse {
    let id = req.header(JOB_ID_HEADER).map(Name::from);
    match serde_json::from_slice::<JobSpec>(&req.body) {
        Ok(spec) => job_answer(&entry.jobs.submit(id, spec)),
        Err(error) => malformed(&error.to_string()),
    }
}

fn show(entry: &EntryNode, job: &str) -> HttpResponse {
    match entry.jobs.job(&Name::from(job)) {
        Some(status) => HttpResponse::json(StatusCode::OK, &status),
        None => job_answer(&JobAnswer::NotRun {
            reason: JobRefusal::UnknownJob,
            retry_after_ms: None,
        }),
    }
}

fn malformed(what: &str) -> HttpResponse {
    job_answer(&JobAnswer::NotRun {
        reason: JobRefusal::Malformed(what.to_owned()),
        retry_after_ms: None,
    })
}

fn job_answer(answer: &JobAnswer) -> HttpResponse {
    let response = HttpResponse::json(status_of(answer), answer);
    match answer {
        JobAnswer::NotRun {
            retry_after_ms: Some(ms),
            ..
        } => response.with_retry_after(*ms),
        _ => response,
    }
}

fn status_of(answer: &JobAnswer) -> StatusCode {
    match answer {
        JobAnswer::Accepted { .. } => StatusCode::ACCEPTED,
        JobAnswer::Unknown { .. } => StatusCode::BAD_GATEWAY,
        JobAnswer::NotRun { reason, .. } => match reason {
            JobRefusal::Malformed(_) => StatusCode::BAD_REQUEST,
            JobRefusal::Forbidden => StatusCode::FORBIDDEN,
            JobRefusal::UnknownWorkspace | JobRefusal::UnknownJob => StatusCode::NOT_FOUND,
            JobRefusal::Impossible(_) => StatusCode::UNPROCESSABLE_ENTITY,
            JobRefusal::TooManyJobs
            | JobRefusal::LogUnavailable
            | JobRefusal::NotFresh
            | JobRefusal::Leaving => StatusCode::SERVICE_UNAVAILABLE,
        },
    }
}
