//! HTTP calls to the entries.

use std::{
    io::{self, Read},
    net::SocketAddr,
    time::Duration, //
};

use oxhttp::{
    Client,
    model::{Body, Method, Request, Response, StatusCode, Uri, header::CONTENT_LENGTH},
};
use quick_error::quick_error;
use serde::de::DeserializeOwned;

use crate::{process::StatusAnswer, utils::Name};

/// The maximum size of an answer's body, in bytes.
const MAX_ANSWER_BYTES: u64 = 32 << 20;

quick_error! {
    /// The reason why a call got no complete answer.
    #[derive(Clone, Debug)]
    pub enum CallError {
        /// Nothing listens at the address, so the call was not made.
        NotSent(reason: String) {
            display("not reached: {reason}")
        }
        /// The call may have been made, but its answer was lost.
        AnswerLost(reason: String) {
            display("the answer was lost: {reason}")
        }
    }
}

/// A complete answer.
pub(super) struct Answer {
    pub(super) status: StatusCode,
    pub(super) outcome: Option<String>,
    pub(super) body: Vec<u8>,
}

impl Answer {
    /// Parses the body as JSON.
    pub(super) fn json<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        serde_json::from_slice(&self.body).map_err(|e| {
            CallError::AnswerLost(format!("status {}, not understood: {e}", self.status))
        })
    }
}

/// A call that can be sent to any entry.
pub(super) struct Call {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) headers: Vec<Header>,
    pub(super) body: Vec<u8>,
    pub(super) timeout: Duration,
}

/// A header of a call.
pub(super) struct Header {
    pub(super) name: &'static str,
    pub(super) value: String,
}

impl Call {
    pub(super) fn get(path: &str, timeout: Duration) -> Self {
        Self {
            method: Method::GET,
            path: path.to_owned(),
            headers: Vec::new(),
            body: Vec::new(),
            timeout,
        }
    }

    /// Sends the call to the entry at `address`.
    pub(super) fn send(&self, address: SocketAddr) -> Result<Answer, CallError> {
        let not_sent = |e: &dyn std::fmt::Display| CallError::NotSent(e.to_string());
        let uri: Uri = format!("http://{address}{}", self.path)
            .parse()
            .map_err(|e| not_sent(&e))?;
        let mut builder = Request::builder().method(self.method.clone()).uri(uri);
        for header in &self.headers {
            builder = builder.header(header.name, &header.value);
        }
        let req = builder
            .body(Body::from(self.body.clone()))
            .map_err(|e| not_sent(&e))?;
        let client = Client::new().with_global_timeout(self.timeout);
        let answer = client.request(req).map_err(|e| {
            if e.kind() == io::ErrorKind::ConnectionRefused {
                not_sent(&e)
            } else {
                CallError::AnswerLost(e.to_string())
            }
        })?;
        read_answer(answer)
    }
}

/// Reads an answer to its end. A connection that breaks within the body may look like the end of
/// the body, so its length is compared with the `Content-Length`.
fn read_answer(answer: Response<Body>) -> Result<Answer, CallError> {
    let status = answer.status();
    let header = |name: &str| {
        let value = answer.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let outcome = header(OUTCOME_HEADER);
    let length: Option<u64> = header(CONTENT_LENGTH.as_str()).and_then(|l| l.parse().ok());
    let mut body = Vec::new();
    let mut reader = answer.into_body().take(MAX_ANSWER_BYTES);
    reader
        .read_to_end(&mut body)
        .map_err(|e| CallError::AnswerLost(e.to_string()))?;
    if length.is_some_and(|length| length != body.len() as u64) {
        return Err(CallError::AnswerLost("the body was cut off".to_owned()));
    }
    Ok(Answer {
        status,
        outcome,
        body,
    })
}

/// The header with the outcome of a request: `done`, `not-run` or `unknown`.
pub(super) const OUTCOME_HEADER: &str = "dragonfly-outcome";

/// The status that the entry at one address reported, or why it did not.
pub(super) struct EntryStatus {
    pub(super) address: SocketAddr,
    pub(super) status: Result<StatusAnswer, CallError>,
}

/// Queries all entries in parallel, so that entries that do not answer delay the result by one
/// timeout only.
pub(super) fn query_statuses(entries: &[SocketAddr], timeout: Duration) -> Vec<EntryStatus> {
    let query = |address: SocketAddr| {
        let answer = Call::get("/v1/status", timeout).send(address);
        let status = answer.and_then(|a| a.json());
        EntryStatus { address, status }
    };
    let statuses = crossbeam::thread::scope(|s| {
        let threads: Vec<_> = entries
            .iter()
            .map(|address| s.spawn(move |_| query(*address)))
            .collect();
        threads.into_iter().filter_map(|t| t.join().ok()).collect()
    });
    statuses.unwrap_or_default()
}

/// Describes why no entry could be reached.
pub(super) fn no_entry_reached(errors: &[(SocketAddr, CallError)]) -> String {
    let errors: Vec<String> = errors.iter().map(|(a, e)| format!("{a}: {e}")).collect();
    format!("no entry could be asked ({})", errors.join("; "))
}

/// Joins the names with commas.
pub(super) fn comma_separated<'a>(names: impl IntoIterator<Item = &'a Name>) -> String {
    let names: Vec<&str> = names.into_iter().map(|n| &**n).collect();
    names.join(", ")
}
