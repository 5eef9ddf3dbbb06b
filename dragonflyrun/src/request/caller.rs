//! A caller's request, and its refusal.

use crate::{
    connection::{NotRun, Outcome},
    utils::Name,
    version::Urgency,
};

/// A caller's request, as parsed by the entry.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The service that runs the request.
    pub service: Name,
    /// The caller's key; required if the service is not repeatable.
    pub key: Option<Name>,
    /// The caller's attempt number for this key, from 1.
    pub attempt: u32,
    /// Milliseconds within which the caller needs the answer; none for the longest deadline of the
    /// service.
    pub deadline_ms: Option<u64>,
    /// The urgency; none for the default of the service. It can't be more urgent than that default.
    pub urgency: Option<Urgency>,
    /// The complete body.
    pub body: Vec<u8>,
}

/// Why a request is not run, and when to retry it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The reason.
    pub reason: NotRun,
    /// Milliseconds after which a retry may succeed.
    pub retry_after_ms: u64,
}

impl Refusal {
    /// Returns a refusal for `reason` with the delay before a retry.
    pub const fn new(reason: NotRun, retry_after_ms: u64) -> Self {
        Self {
            reason,
            retry_after_ms,
        }
    }

    /// Returns this refusal as an outcome.
    pub const fn outcome(self) -> Outcome {
        Outcome::NotRun {
            reason: self.reason,
            retry_after_ms: self.retry_after_ms,
        }
    }
}
