//! What a caller asks for, and how it is refused.

use crate::{
    connection::{NotRun, Outcome},
    utils::Name,
    version::Urgency,
};

/// A caller's request as an entry has read it.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The service that is to run it.
    pub service: Name,
    /// The caller's key; required where the service may not be repeated.
    pub key: Option<Name>,
    /// The caller's count of attempts with this key, from 1.
    pub attempt: u32,
    /// Milliseconds within which the caller needs the answer; none for the service's own.
    pub deadline_ms: Option<u64>,
    /// How soon it is needed; no sooner than the service states.
    pub urgency: Option<Urgency>,
    /// The whole body.
    pub body: Vec<u8>,
}

/// Why a request is not run, and when another attempt is worth while.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why.
    pub reason: NotRun,
    /// Milliseconds after which another attempt is worth while.
    pub retry_after_ms: u64,
}

impl Refusal {
    /// Returns a refusal for `reason` with when to come back.
    pub const fn new(reason: NotRun, retry_after_ms: u64) -> Self {
        Self {
            reason,
            retry_after_ms,
        }
    }

    /// Returns the outcome that says so.
    pub const fn outcome(self) -> Outcome {
        Outcome::NotRun {
            reason: self.reason,
            retry_after_ms: self.retry_after_ms,
        }
    }
}
