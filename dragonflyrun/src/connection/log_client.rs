//! Client of the platform's append-only log service.

use std::{
    io::Read,
    time::Duration, //
};

use oxhttp::{
    Client,
    model::{Body, Method, Request, StatusCode, Uri}, //
};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// Maximum size of an answer of the log service in bytes.
const MAX_ANSWER_BYTES: u64 = 64 << 20;

quick_error! {
    /// The reason why a call of the log service failed.
    #[derive(Debug)]
    pub enum LogError {
        /// The service refused the call or was not reached; the call had no effect.
        Refused(reason: String) {
            display("the log refused: {reason}")
        }
        /// The request was sent, but no complete answer arrived; the call may have taken effect.
        Uncertain(reason: String) {
            display("the log's answer was lost: {reason}")
        }
    }
}

/// The data at one offset of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogRecord {
    /// The offset.
    pub offset: u64,
    /// A sealed record, or any other text that was written to the log.
    pub data: String,
}

/// The result of a read.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LogPage {
    /// The oldest offset that the log still retains.
    pub first: u64,
    /// The offset that the next append will get.
    pub head: u64,
    /// The records from the requested offset on, in order.
    pub records: Vec<LogRecord>,
}

#[derive(Serialize)]
struct AppendRequest<'a> {
    records: &'a [String],
}

#[derive(Deserialize)]
struct AppendAnswer {
    first_offset: u64,
}

/// Appends to and reads from the platform's log.
#[derive(Clone, Debug)]
pub struct LogClient {
    address: String,
    timeout: Duration,
}

impl LogClient {
    /// Returns a client of the service at `address` (`IP:port`) that waits up to `timeout` for an
    /// answer.
    pub fn new(address: &str, timeout: Duration) -> Self {
        Self {
            address: address.to_owned(),
            timeout,
        }
    }

    /// Appends sealed `records` in one request and returns the offset of the first.
    ///
    /// # Errors
    ///
    /// Returns [`LogError::Uncertain`] if the records may have been appended. The caller must look
    /// for their ids on the log before it appends them again.
    pub fn append(&self, records: &[String]) -> Result<u64, LogError> {
        let body = serde_json::to_vec(&AppendRequest { records })
            .map_err(|e| LogError::Refused(e.to_string()))?;
        let answer = self.call(Method::POST, "/v1/records", body, self.timeout)?;
        serde_json::from_slice::<AppendAnswer>(&answer)
            .map(|a| a.first_offset)
            .map_err(|e| LogError::Uncertain(e.to_string()))
    }

    /// Reads up to `limit` records from offset `from`, waiting up to `wait` for the first.
    ///
    /// # Errors
    ///
    /// Returns any [`LogError`]. A read changes nothing, so it can always be repeated.
    pub fn read(&self, from: u64, limit: usize, wait: Duration) -> Result<LogPage, LogError> {
        let wait_ms = wait.as_millis();
        let path = format!("/v1/records?from={from}&limit={limit}&wait_ms={wait_ms}");
        let answer = self.call(Method::GET, &path, Vec::new(), self.timeout + wait)?;
        serde_json::from_slice(&answer).map_err(|e| LogError::Uncertain(e.to_string()))
    }

    fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<Vec<u8>, LogError> {
        let uri: Uri = format!("http://{}{path}", self.address)
            .parse()
            .map_err(|_| LogError::Refused("the log's address is not valid".to_owned()))?;
        let req = Request::builder()
            .method(method)
            .uri(uri)
            .header("Content-Type", "application/json")
            .body(Body::from(body))
            .map_err(|e| LogError::Refused(e.to_string()))?;
        let client = Client::new().with_global_timeout(timeout);
        let answer = client.request(req).map_err(|e| {
            if e.kind() == std::io::ErrorKind::ConnectionRefused {
                LogError::Refused(e.to_string())
            } else {
                LogError::Uncertain(e.to_string())
            }
        })?;
        let status = answer.status();
        let mut buf = Vec::new();
        answer
            .into_body()
            .take(MAX_ANSWER_BYTES)
            .read_to_end(&mut buf)
            .map_err(|e| LogError::Uncertain(e.to_string()))?;
        match status {
            StatusCode::OK => Ok(buf),
            // The service documents that a call answered with 4xx or 503 had no effect; after any
            // other error it may have taken effect.
            s if s.is_client_error() || s == StatusCode::SERVICE_UNAVAILABLE => {
                Err(LogError::Refused(format!("status {s}")))
            }
            s => Err(LogError::Uncertain(format!("status {s}"))),
        }
    }
}
