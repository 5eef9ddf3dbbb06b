//! A caller of the system, which sends requests, jobs and queries to an entry by HTTP.

use std::{
    fmt,
    io,
    net::SocketAddr,
    time::Duration, //
};

use dragonflyrun::{
    connection::{AuthorKey, NotRun},
    job::JobSpec,
    process::{JobAnswer, JobStatus, StatusAnswer},
    utils::Name,
};
use oxhttp::model::Method;
use serde::Deserialize;

use crate::http::{self, Answer};

/// Time after a request's deadline at which its caller closes the connection.
const DEADLINE_GRACE: Duration = Duration::from_secs(10);

/// Timeout of a call other than a request.
const QUERY_TIMEOUT: Duration = Duration::from_secs(10);

/// A final answer to a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestOutcome {
    /// It ran, and the backend server answered with this status and body.
    Done {
        /// The status.
        status: u16,
        /// The complete body.
        body: Vec<u8>,
    },
    /// It did not run.
    NotRun {
        /// The reason.
        reason: NotRun,
        /// Delay in milliseconds before the next attempt.
        retry_after_ms: u64,
    },
    /// It ran at most once.
    Unknown,
}

/// The result of one attempt of a request.
#[derive(Debug)]
pub enum Reply {
    /// A final answer.
    Final(RequestOutcome),
    /// No complete answer was received, because the connection was refused or broke.
    Broken(io::Error),
}

impl fmt::Display for Reply {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Final(RequestOutcome::Done { status, body }) => {
                write!(f, "done with status {status} and {} bytes", body.len())
            }
            Self::Final(RequestOutcome::NotRun { reason, .. }) => write!(f, "not run: {reason:?}"),
            Self::Final(RequestOutcome::Unknown) => f.write_str("unknown"),
            Self::Broken(error) => write!(f, "broken: {error}"),
        }
    }
}

impl Reply {
    /// Returns whether the request ran and was answered with status 200.
    pub fn is_done(&self) -> bool {
        matches!(self, Self::Final(RequestOutcome::Done { status: 200, .. }))
    }

    /// Returns whether it is certain that this attempt did not run: the answer says so, or the
    /// connection was refused.
    pub fn certainly_not_run(&self) -> bool {
        match self {
            Self::Broken(error) => error.kind() == io::ErrorKind::ConnectionRefused,
            Self::Final(_) => self.is_not_run(),
        }
    }

    /// Returns whether the answer says that the request did not run.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::Final(RequestOutcome::NotRun { .. }))
    }
}

#[derive(Deserialize)]
struct RefusalBody {
    reason: NotRun,
    retry_after_ms: u64,
}

/// A client of one entry.
#[derive(Clone, Debug)]
pub struct Caller {
    entry: SocketAddr,
    key: Option<(Name, String)>,
}

impl Caller {
    /// Returns a caller of the entry at this address.
    pub fn new(entry: SocketAddr) -> Self {
        Self { entry, key: None }
    }

    /// Returns a caller that may submit jobs as `editor`.
    pub fn with_key(self, editor: &str, secret: &str) -> Self {
        let editor = Name::from(editor);
        let token = AuthorKey::of_editor(secret, &editor).to_hex();
        Self {
            key: Some((editor, token)),
            ..self
        }
    }

    /// Sends one attempt of a request and waits for its final answer.
    ///
    /// # Panics
    ///
    /// If the answer is none of the three outcomes of the interface.
    pub fn request(
        &self,
        service: &str,
        key: Option<&str>,
        attempt: u32,
        deadline: Duration,
        body: &[u8],
    ) -> Reply {
        let path = format!("/v1/services/{service}/requests");
        let attempt = attempt.to_string();
        let deadline_ms = deadline.as_millis().to_string();
        let mut headers = vec![
            ("Content-Type", "application/octet-stream"),
            ("Dragonfly-Attempt", attempt.as_str()),
            ("Dragonfly-Deadline-Ms", deadline_ms.as_str()),
        ];
        headers.extend(key.map(|key| ("Idempotency-Key", key)));
        let timeout = deadline + DEADLINE_GRACE;
        http::call(
            self.entry,
            Method::POST,
            &path,
            &headers,
            body.to_vec(),
            timeout,
        )
        .map_or_else(Reply::Broken, |answer| Reply::Final(outcome(&answer)))
    }

    /// Submits a job.
    ///
    /// # Errors
    ///
    /// If no complete answer was received, or it is malformed.
    pub fn submit(&self, job: &str, spec: &JobSpec) -> io::Result<JobAnswer> {
        let body = serde_json::to_vec(spec)?;
        let name = [("Idempotency-Key", job)];
        self.send(Method::POST, "/v1/jobs", &name, body)?.json()
    }

    /// Cancels a job.
    ///
    /// # Errors
    ///
    /// If no complete answer was received, or it is malformed.
    pub fn cancel(&self, job: &str) -> io::Result<JobAnswer> {
        let path = format!("/v1/jobs/{job}");
        self.send(Method::DELETE, &path, &[], Vec::new())?.json()
    }

    /// Queries the status of a job.
    ///
    /// # Errors
    ///
    /// If no complete answer was received, or the entry does not know the job.
    pub fn job(&self, job: &str) -> io::Result<JobStatus> {
        let path = format!("/v1/jobs/{job}");
        self.send(Method::GET, &path, &[], Vec::new())?.json()
    }

    /// Queries the entry's view of the system.
    ///
    /// # Errors
    ///
    /// If no complete answer was received, or it is malformed.
    pub fn status(&self) -> io::Result<StatusAnswer> {
        self.send(Method::GET, "/v1/status", &[], Vec::new())?
            .json()
    }

    fn send(
        &self,
        method: Method,
        path: &str,
        extra_headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> io::Result<Answer> {
        let mut headers = vec![("Content-Type", "application/json")];
        headers.extend(extra_headers);
        if let Some((editor, token)) = &self.key {
            headers.push(("Dragonfly-Editor", editor));
            headers.push(("Dragonfly-Token", token));
        }
        http::call(self.entry, method, path, &headers, body, QUERY_TIMEOUT)
    }
}

fn outcome(answer: &Answer) -> RequestOutcome {
    let kind = answer.headers.get("Dragonfly-Outcome");
    match kind.and_then(|k| k.to_str().ok()) {
        Some("done") => RequestOutcome::Done {
            status: answer.status.as_u16(),
            body: answer.body.clone(),
        },
        Some("not-run") => match answer.json::<RefusalBody>() {
            Ok(refused) => RequestOutcome::NotRun {
                reason: refused.reason,
                retry_after_ms: refused.retry_after_ms,
            },
            Err(error) => panic!("a refusal that does not say why: {error}"),
        },
        Some("unknown") => RequestOutcome::Unknown,
        other => panic!("outcome {other:?} with status {}", answer.status),
    }
}
