//! The HTTP form of callers' requests and of their outcomes.

use hyper::{StatusCode, header::HeaderName};
use serde::Serialize;

use crate::{
    connection::{HttpRequest, HttpResponse, NotRun, Outcome},
    request::{CallerRequest, Refusal},
    utils::Name,
    version::Urgency,
};

/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 200;

/// Milliseconds after which a malformed request may be sent again once it is corrected.
const MALFORMED_RETRY_AFTER_MS: u64 = 10_000;

const OUTCOME_HEADER: HeaderName = HeaderName::from_static("dragonfly-outcome");

/// Returns the service named by a path of the form `/v1/services/{service}/requests`.
pub fn requested_service(path: &str) -> Option<&str> {
    path.strip_prefix("/v1/services/")?
        .strip_suffix("/requests")
        .filter(|service| !service.is_empty() && !service.contains('/'))
}

/// Builds a caller's request from the path, headers and body.
pub(super) fn caller_request(service: &str, req: HttpRequest) -> Result<CallerRequest, Refusal> {
    let malformed = Refusal::new(NotRun::Malformed, MALFORMED_RETRY_AFTER_MS);
    let key = optional_header(&req, "idempotency-key", |text| {
        let fits = !text.is_empty() && text.len() <= MAX_KEY_BYTES;
        fits.then(|| Name::from(text))
    });
    let attempt = optional_header(&req, "dragonfly-attempt", |text| {
        text.parse().ok().filter(|attempt| *attempt > 0)
    });
    let deadline_ms = optional_header(&req, "dragonfly-deadline-ms", |text| text.parse().ok());
    let urgency = optional_header(&req, "dragonfly-urgency", urgency);
    let (key, attempt) = (key.ok_or(malformed)?, attempt.ok_or(malformed)?);
    // A repeat from a caller that does not count attempts would look like a first attempt. A key
    // owner that does not know of the real first attempt could grant it, and a forest owner would
    // be paid twice.
    if key.is_some() && attempt.is_none() {
        return Err(malformed);
    }
    Ok(CallerRequest {
        service: service.into(),
        key,
        attempt: attempt.unwrap_or(1),
        deadline_ms: deadline_ms.ok_or(malformed)?,
        urgency: urgency.ok_or(malformed)?,
        body: req.body,
    })
}

/// Reads an optional header: `Some(None)` if it is absent, `None` if its value is invalid.
fn optional_header<T>(
    req: &HttpRequest,
    name: &str,
    read: impl Fn(&str) -> Option<T>,
) -> Option<Option<T>> {
    if !req.headers.contains_key(name) {
        return Some(None);
    }
    req.header(name).and_then(read).map(Some)
}

fn urgency(text: &str) -> Option<Urgency> {
    match text {
        "urgent" => Some(Urgency::Urgent),
        "normal" => Some(Urgency::Normal),
        "patient" => Some(Urgency::Patient),
        _ => None,
    }
}

/// The body of every answer other than "done".
#[derive(Serialize)]
struct FailureBody {
    outcome: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<NotRun>,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    /// The number to send with the next attempt. It stays the same if this attempt is certain not
    /// to have run; see attempt numbers in `docs/DESIGN.md`.
    next_attempt: u32,
}

/// Returns the answer that reports the `outcome` of an attempt to its caller.
pub(super) fn response(outcome: Outcome, attempt: u32) -> HttpResponse {
    match outcome {
        Outcome::Done { status, body, .. } => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
            HttpResponse::bytes(status, body).with_header(OUTCOME_HEADER, "done")
        }
        Outcome::NotRun {
            reason,
            retry_after_ms,
        } => {
            let answer = FailureBody {
                outcome: "not_run",
                reason: Some(reason),
                retry_after_ms: Some(retry_after_ms),
                next_attempt: attempt,
            };
            HttpResponse::json(not_run_status(reason), &answer)
                .with_header(OUTCOME_HEADER, "not-run")
                .with_retry_after(retry_after_ms)
        }
        Outcome::Unknown => {
            let answer = FailureBody {
                outcome: "unknown",
                reason: None,
                retry_after_ms: None,
                next_attempt: attempt.saturating_add(1),
            };
            HttpResponse::json(StatusCode::BAD_GATEWAY, &answer)
                .with_header(OUTCOME_HEADER, "unknown")
        }
    }
}

const fn not_run_status(reason: NotRun) -> StatusCode {
    match reason {
        NotRun::Malformed => StatusCode::BAD_REQUEST,
        NotRun::UnknownService => StatusCode::NOT_FOUND,
        NotRun::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        NotRun::QueueFull | NotRun::Deadline | NotRun::Busy | NotRun::RetryBudget => {
            StatusCode::TOO_MANY_REQUESTS
        }
        NotRun::NoBackend
        | NotRun::Leaving
        | NotRun::OutOfService
        | NotRun::Refused
        | NotRun::KeyRunning
        | NotRun::KeyUnsettled
        | NotRun::NotFresh => StatusCode::SERVICE_UNAVAILABLE,
    }
}
