//! `request`.

use std::{fmt, time::Duration};

use oxhttp::model::Method;
use serde::{Deserialize, Serialize};

use crate::{
    tool::{
        Exit, Printed, ToolError, ToolSettings,
        commands::read_file,
        entries::{Answer, Call, CallError, Header, no_entry_reached},
        options::RequestOptions,
    },
    version::is_name,
};

/// The maximum size of a request's body, in bytes; the limit in the document may be lower.
const MAX_BODY_BYTES: usize = 16 << 20;

/// How long a request may take if the command line states no deadline: the deadline of a service is
/// at most an hour.
const MAX_SERVICE_DEADLINE: Duration = Duration::from_secs(3_600);

/// The outcome of a request.
#[derive(Serialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
enum RequestAnswer {
    Done {
        status: u16,
        body: String,
    },
    NotRun {
        reason: String,
        retry_after_ms: Option<u64>,
    },
    Unknown {
        reason: String,
    },
}

/// The body of an entry's answer to a request that did not run.
#[derive(Deserialize)]
struct NotRunBody {
    reason: String,
    #[serde(default)]
    retry_after_ms: Option<u64>,
}

impl RequestAnswer {
    fn printed(&self) -> Printed {
        let exit = match self {
            Self::Done { .. } => Exit::Done,
            Self::NotRun { .. } => Exit::Refused,
            Self::Unknown { .. } => Exit::NotKnown,
        };
        Printed::new(self, exit)
    }

    /// Returns the outcome that the entry states. An answer without an outcome, such as one from a
    /// load balancer, does not tell whether the request ran.
    fn from_answer(answer: &Answer) -> Self {
        let status = answer.status;
        match answer.outcome.as_deref() {
            Some("done") => Self::Done {
                status: status.as_u16(),
                body: String::from_utf8_lossy(&answer.body).into_owned(),
            },
            Some("not-run") => match answer.json::<NotRunBody>() {
                Ok(body) => Self::NotRun {
                    reason: body.reason,
                    retry_after_ms: body.retry_after_ms,
                },
                Err(_) => Self::NotRun {
                    reason: format!("status {status}"),
                    retry_after_ms: None,
                },
            },
            Some("unknown") => Self::Unknown {
                reason: "the backend server may have run it, its answer was lost".to_owned(),
            },
            _ => Self::Unknown {
                reason: format!("status {status} without an outcome"),
            },
        }
    }
}

impl fmt::Display for RequestAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Done { body, .. } => f.write_str(body),
            Self::NotRun {
                reason,
                retry_after_ms,
            } => {
                write!(f, "not run: {reason}")?;
                match retry_after_ms {
                    Some(ms) => write!(f, "; try again in {ms} ms"),
                    None => Ok(()),
                }
            }
            Self::Unknown { reason } => write!(f, "outcome unknown: {reason}"),
        }
    }
}

/// Sends a request to a service.
///
/// The next entry is tried only if the previous one could not be reached. After "not run" the
/// caller decides whether to retry, with the same attempt number.
pub(super) fn request(
    settings: &ToolSettings,
    options: &RequestOptions,
) -> Result<Printed, ToolError> {
    let service = &options.service;
    if !is_name(service) {
        return Err(ToolError::Usage(format!("`{service}` is not a name")));
    }
    let body = match &options.file {
        Some(file) => read_file(file, MAX_BODY_BYTES)?,
        None => Vec::new(),
    };
    let mut headers = vec![Header {
        name: "dragonfly-attempt",
        value: options.attempt.to_string(),
    }];
    headers.extend(options.key.clone().map(|value| Header {
        name: "idempotency-key",
        value,
    }));
    headers.extend(options.deadline_ms.map(|ms| Header {
        name: "dragonfly-deadline-ms",
        value: ms.to_string(),
    }));
    headers.extend(options.urgency.clone().map(|value| Header {
        name: "dragonfly-urgency",
        value,
    }));
    let max_wait = options
        .deadline_ms
        .map_or(MAX_SERVICE_DEADLINE, Duration::from_millis);
    let call = Call {
        method: Method::POST,
        path: format!("/v1/services/{service}/requests"),
        headers,
        body,
        timeout: max_wait + settings.timeout,
    };
    let mut errors = Vec::new();
    for address in settings.require_entries()? {
        match call.send(*address) {
            Ok(answer) => return Ok(RequestAnswer::from_answer(&answer).printed()),
            Err(CallError::AnswerLost(reason)) => {
                return Ok(RequestAnswer::Unknown { reason }.printed());
            }
            Err(error) => errors.push((*address, error)),
        }
    }
    let reason = no_entry_reached(&errors);
    let retry_after_ms = None;
    Ok(RequestAnswer::NotRun {
        reason,
        retry_after_ms,
    }
    .printed())
}
