//! The keys that one agent owns: each key is granted once, and repeats get the first outcome.
//!
//! A request could run twice if two owners granted the same key, or if an owner granted it again
//! after it had removed the record of the first grant. An owner therefore grants a first attempt
//! only while its view of the log is fresh and the last change of owners is long enough ago for the
//! previous owner to have read of it. It grants a later attempt only if it has owned the key for
//! long enough to have a record of any earlier attempt. See `docs/REQUESTS.md`, keys.

mod record;

use std::time::Duration;

use crate::{
    connection::{KeyVerdict, NotRun, Outcome, Peer, RequestId},
    process::MAX_HEAD_AGE,
    request::{Refusal, Ring},
    utils::{HashMap, Name, Timestamp},
};
use record::{KeyId, KeyState, Record, body_bytes, known_verdict, refused_verdict};

/// Time after a change of owners during which no new grant is given: a previous owner that has not
/// read of the change is no longer fresh, and so grants nothing, after [`MAX_HEAD_AGE`].
const OWNER_CHANGE_DELAY: Duration = MAX_HEAD_AGE.saturating_add(Duration::from_millis(500));

/// Time after the deadline during which the owner still waits for the outcome of a grant.
const OUTCOME_MARGIN: Duration = Duration::from_millis(500);

/// Maximum number of owner changes that are kept.
const MAX_EPOCHS: usize = 64;

/// Maximum number of keys that are kept; once it is reached, new keys are refused.
const MAX_KEYS: usize = 200_000;

/// Maximum total size of stored outcome bodies, in bytes. An outcome that would exceed it is stored
/// as unknown.
const MAX_OUTCOME_BYTES: usize = 64 << 20;

/// Maximum number of repeats that wait for the outcome of one key.
const MAX_WAITERS: usize = 16;

/// Milliseconds after which a caller may retry a claim that the owner refused.
const RETRY_AFTER_MS: u64 = 1_000;

/// A claim of a key, as its owner receives it.
#[derive(Clone, Debug)]
pub struct KeyClaim {
    /// The entry that sent the claim.
    pub from: Name,
    /// The entry's request.
    pub id: RequestId,
    /// The service that the request is for.
    pub service: Name,
    /// The idempotency key of the caller.
    pub key: Name,
    /// The caller's attempt number, from 1.
    pub attempt: u32,
    /// The incarnation of the owner to which the entry addressed the claim.
    pub incarnation: u64,
    /// The earliest time at which the entry can have sent the claim, on the owner's clock.
    pub sent: Timestamp,
    /// The caller's deadline on the owner's clock.
    pub deadline: Timestamp,
    /// How long the keys of the service are kept.
    pub window: Duration,
}

/// The outcome for a key that a request holds or has claimed.
#[derive(Clone, Debug)]
pub struct KeyOutcome {
    /// The service that the request is for.
    pub service: Name,
    /// The idempotency key of the caller.
    pub key: Name,
    /// The id of the request that holds or has claimed the key.
    pub id: RequestId,
    /// The outcome of the request.
    pub outcome: Outcome,
    /// How long the keys of the service are kept.
    pub window: Duration,
}

/// A verdict for an entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnerAction {
    /// The name of the entry that claimed the key.
    pub to: Name,
    /// The entry's request.
    pub id: RequestId,
    /// The decision on the claim.
    pub verdict: KeyVerdict,
}

/// The keys that one agent owns.
#[derive(Debug)]
pub struct KeyOwner {
    local_peer: Peer,
    started: Timestamp,
    /// The changes of owners, the latest last.
    epochs: Vec<Epoch>,
    keys: HashMap<KeyId, Record>,
    outcome_bytes: usize,
    actions: Vec<OwnerAction>,
}

#[derive(Debug)]
struct Epoch {
    change: u64,
    since: Timestamp,
    ring: Ring,
}

impl KeyOwner {
    /// Returns the key owner of the agent `local_peer`, whose process started at `started`.
    pub fn new(local_peer: &Peer, started: Timestamp) -> Self {
        Self {
            local_peer: local_peer.clone(),
            started,
            epochs: Vec::new(),
            keys: HashMap::default(),
            outcome_bytes: 0,
            actions: Vec::new(),
        }
    }

    /// Returns the verdicts decided since the last call, in order.
    pub fn take_actions(&mut self) -> Vec<OwnerAction> {
        std::mem::take(&mut self.actions)
    }

    /// Sets the owners after change number `change`, counted over the changes this process folded.
    ///
    /// If a change was missed, a key may have had another owner in between, so the earlier
    /// ownership of this process no longer counts.
    pub fn set_ring(&mut self, now: Timestamp, change: u64, members: &[Name]) {
        let last = self.epochs.last().map(|e| e.change);
        if last == Some(change) {
            return;
        }
        if last.is_some_and(|last| last + 1 != change) {
            self.epochs.clear();
        }
        self.epochs.push(Epoch {
            change,
            since: now,
            ring: Ring::new(members),
        });
        if self.epochs.len() > MAX_EPOCHS {
            self.epochs.remove(0);
        }
    }

    /// Returns the current ring, or none before the first change of owners.
    pub fn ring(&self) -> Option<&Ring> {
        self.epochs.last().map(|e| &e.ring)
    }

    /// Decides whether the request that an entry claims a key for may run, and queues the verdict for
    /// that entry. If the key is granted, this request alone may run until its outcome is known.
    /// `fresh` is true if this process knows the latest state of the log.
    pub fn claim(&mut self, now: Timestamp, claim: KeyClaim, fresh: bool) {
        let id = KeyId::of(&claim);
        let mut superseded = false;
        if let Some(record) = self.keys.get_mut(&id) {
            superseded = claim.attempt < record.attempt;
            record.attempt = record.attempt.max(claim.attempt);
        }
        let verdict = match self.keys.get_mut(&id).map(|r| &mut r.state) {
            Some(KeyState::Ran { outcome, .. }) => known_verdict(outcome),
            Some(KeyState::Granted { holder, .. }) if *holder == claim.id => KeyVerdict::Granted,
            Some(KeyState::Granted {
                outcome_due_at,
                waiters,
                ..
            }) if now < *outcome_due_at && waiters.len() < MAX_WAITERS => {
                // The repeat is answered with the outcome of the running request.
                if !waiters.iter().any(|w| w.id == claim.id) {
                    waiters.push(claim);
                }
                return;
            }
            Some(KeyState::Granted { .. }) => KeyVerdict::Unknown,
            // The caller may have received "not run" for a later attempt, and that must stay true.
            Some(KeyState::NotRun) if superseded => {
                refused_verdict(Refusal::new(NotRun::KeyUnsettled, RETRY_AFTER_MS))
            }
            Some(KeyState::NotRun) => match self.may_grant(now, &claim, fresh) {
                Ok(()) => self.grant(now, &claim),
                // Another owner may have granted the key since.
                Err(refusal) if claim.attempt > 1 && refusal.reason != NotRun::Busy => {
                    KeyVerdict::Unknown
                }
                Err(refusal) => refused_verdict(refusal),
            },
            None => self.first_claim(now, &claim, fresh),
        };
        self.reply(&claim, verdict);
    }

    /// Handles the outcome for a key; `fresh` is true if this process knows the latest state of the
    /// log, which decides whether a waiting claim may be granted.
    pub fn settle(&mut self, now: Timestamp, settled: KeyOutcome, fresh: bool) {
        let key = KeyId {
            service: settled.service.clone(),
            key: settled.key.clone(),
        };
        let Some(record) = self.keys.get_mut(&key) else {
            self.record_foreign_outcome(now, key, settled);
            return;
        };
        let not_run = matches!(settled.outcome, Outcome::NotRun { .. });
        let done = matches!(settled.outcome, Outcome::Done { .. });
        match &mut record.state {
            KeyState::Granted {
                holder, waiters, ..
            } if *holder == settled.id => {
                let waiters = std::mem::take(waiters);
                self.record_outcome(now, key, settled, waiters, fresh);
            }
            KeyState::Granted { waiters, .. } => waiters.retain(|w| w.id != settled.id),
            // The entry had stopped waiting for this answer, but it has arrived after all.
            KeyState::Ran {
                holder,
                outcome: Outcome::Unknown,
            } if done && *holder == settled.id => {
                self.record_outcome(now, key, settled, Vec::new(), fresh);
            }
            KeyState::Ran { .. } => {}
            KeyState::NotRun if not_run => {}
            KeyState::NotRun => self.record_outcome(now, key, settled, Vec::new(), fresh),
        }
    }

    /// Answers overdue waiters and removes expired keys; to be called about every 100 ms.
    pub fn tick(&mut self, now: Timestamp) {
        let mut overdue = Vec::new();
        for record in self.keys.values_mut() {
            if let KeyState::Granted {
                outcome_due_at,
                waiters,
                ..
            } = &mut record.state
                && *outcome_due_at <= now
            {
                overdue.append(waiters);
            }
        }
        for claim in overdue {
            self.reply(&claim, KeyVerdict::Unknown);
        }
        let bytes = &mut self.outcome_bytes;
        self.keys.retain(|_, record| {
            let keep = now < record.expires_at;
            if !keep {
                *bytes -= record.state.bytes();
            }
            keep
        });
    }

    fn first_claim(&mut self, now: Timestamp, claim: &KeyClaim, fresh: bool) -> KeyVerdict {
        let allowed = self.may_grant(now, claim, fresh);
        if claim.attempt > 1 {
            let remembers = self.owned_for(now, claim) >= claim.window;
            // Another owner or an earlier process of this agent may have granted an earlier
            // attempt, which this process can't know.
            return match allowed {
                Ok(()) if remembers => self.grant(now, claim),
                _ => KeyVerdict::Unknown,
            };
        }
        match allowed {
            Ok(()) => self.grant(now, claim),
            Err(refusal) => refused_verdict(refusal),
        }
    }

    /// Returns the refusal if the claim must not be granted.
    fn may_grant(&self, now: Timestamp, claim: &KeyClaim, fresh: bool) -> Result<(), Refusal> {
        let unsettled = Refusal::new(NotRun::KeyUnsettled, RETRY_AFTER_MS);
        let epoch = self.epochs.last().ok_or(unsettled)?;
        if epoch.ring.owner(&claim.service, &claim.key) != Some(&self.local_peer.name) {
            return Err(unsettled);
        }
        if now.since(epoch.since) < OWNER_CHANGE_DELAY {
            return Err(unsettled);
        }
        // A claim that a frozen process or a broken network delayed may be older than a change of
        // owners, and its caller may have retried at the previous owner.
        let is_stale = claim.incarnation != self.local_peer.incarnation
            || now.since(claim.sent) > MAX_HEAD_AGE;
        if is_stale {
            return Err(unsettled);
        }
        if !fresh {
            return Err(Refusal::new(NotRun::NotFresh, RETRY_AFTER_MS));
        }
        if self.keys.len() >= MAX_KEYS {
            return Err(Refusal::new(NotRun::Busy, RETRY_AFTER_MS));
        }
        if now >= claim.deadline {
            return Err(Refusal::new(NotRun::Deadline, RETRY_AFTER_MS));
        }
        Ok(())
    }

    /// Returns how long this process has owned the key without interruption.
    fn owned_for(&self, now: Timestamp, claim: &KeyClaim) -> Duration {
        let owns_key =
            |e: &&Epoch| e.ring.owner(&claim.service, &claim.key) == Some(&self.local_peer.name);
        let first = self.epochs.iter().rev().take_while(owns_key).last();
        first.map_or(Duration::ZERO, |e| now.since(e.since.max(self.started)))
    }

    fn grant(&mut self, now: Timestamp, claim: &KeyClaim) -> KeyVerdict {
        let outcome_due_at = claim.deadline + OUTCOME_MARGIN;
        let record = Record {
            state: KeyState::Granted {
                holder: claim.id.clone(),
                outcome_due_at,
                waiters: Vec::new(),
            },
            attempt: claim.attempt,
            expires_at: outcome_due_at.max(now) + claim.window,
        };
        self.replace(KeyId::of(claim), record);
        KeyVerdict::Granted
    }

    /// Stores the outcome of a grant that another owner gave.
    fn record_foreign_outcome(&mut self, now: Timestamp, key: KeyId, settled: KeyOutcome) {
        let not_run = matches!(settled.outcome, Outcome::NotRun { .. });
        if not_run || self.keys.len() >= MAX_KEYS {
            return;
        }
        self.record_outcome(now, key, settled, Vec::new(), false);
    }

    fn record_outcome(
        &mut self,
        now: Timestamp,
        key: KeyId,
        settled: KeyOutcome,
        waiters: Vec<KeyClaim>,
        fresh: bool,
    ) {
        let not_run = matches!(settled.outcome, Outcome::NotRun { .. });
        let state = if not_run {
            KeyState::NotRun
        } else {
            KeyState::Ran {
                holder: settled.id,
                outcome: self.within_size_limit(settled.outcome.clone()),
            }
        };
        let attempt = self.keys.get(&key).map_or(1, |r| r.attempt);
        let record = Record {
            state,
            attempt,
            expires_at: now + settled.window,
        };
        self.replace(key, record);
        for waiter in waiters {
            if not_run {
                // The first waiter may be granted now; the others then wait for its outcome.
                self.claim(now, waiter, fresh);
            } else {
                self.reply(&waiter, known_verdict(&settled.outcome));
            }
        }
    }

    /// Returns `outcome`, or "unknown" if its body would exceed [`MAX_OUTCOME_BYTES`]. "Unknown" is
    /// always a true answer.
    fn within_size_limit(&self, outcome: Outcome) -> Outcome {
        if self.outcome_bytes + body_bytes(&outcome) > MAX_OUTCOME_BYTES {
            return Outcome::Unknown;
        }
        outcome
    }

    fn replace(&mut self, key: KeyId, record: Record) {
        self.outcome_bytes += record.state.bytes();
        if let Some(old) = self.keys.insert(key, record) {
            self.outcome_bytes -= old.state.bytes();
        }
    }

    fn reply(&mut self, claim: &KeyClaim, verdict: KeyVerdict) {
        self.actions.push(OwnerAction {
            to: claim.from.clone(),
            id: claim.id.clone(),
            verdict,
        });
    }
}
