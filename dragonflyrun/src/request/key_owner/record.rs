//! The owner's record of one key.

use crate::{
    connection::{KeyVerdict, Outcome, RequestId},
    request::{KeyClaim, Refusal},
    utils::{Name, Timestamp},
};

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct KeyId {
    pub(super) service: Name,
    pub(super) key: Name,
}

#[derive(Debug)]
pub(super) struct Record {
    pub(super) state: KeyState,
    /// The highest attempt number seen. The caller no longer waits for a lower one.
    pub(super) attempt: u32,
    pub(super) expires_at: Timestamp,
}

#[derive(Debug)]
pub(super) enum KeyState {
    /// The holder may start or may be running.
    Granted {
        holder: RequestId,
        outcome_due_at: Timestamp,
        waiters: Vec<KeyClaim>,
    },
    /// The request is known not to have run.
    NotRun,
    /// The holder has run, or may have run.
    Ran { holder: RequestId, outcome: Outcome },
}

impl KeyId {
    pub(super) fn of(claim: &KeyClaim) -> Self {
        Self {
            service: claim.service.clone(),
            key: claim.key.clone(),
        }
    }
}

impl KeyState {
    pub(super) fn bytes(&self) -> usize {
        match self {
            Self::Ran { outcome, .. } => body_bytes(outcome),
            Self::Granted { .. } | Self::NotRun => 0,
        }
    }
}

pub(super) fn body_bytes(outcome: &Outcome) -> usize {
    match outcome {
        Outcome::Done { body, .. } => body.len(),
        Outcome::NotRun { .. } | Outcome::Unknown => 0,
    }
}

pub(super) fn known_verdict(outcome: &Outcome) -> KeyVerdict {
    match outcome {
        Outcome::Unknown => KeyVerdict::Unknown,
        outcome => KeyVerdict::Known(outcome.clone()),
    }
}

pub(super) fn refused_verdict(refusal: Refusal) -> KeyVerdict {
    KeyVerdict::Refused {
        reason: refusal.reason,
        retry_after_ms: refusal.retry_after_ms,
    }
}
