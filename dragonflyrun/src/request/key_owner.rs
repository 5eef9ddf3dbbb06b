//! The keys that one agent owns: each is granted once, and repeats get the first outcome.
//!
//! What can go wrong is that two owners grant the same key, or that one grants it again after it
//! has forgotten it. An owner therefore grants a first attempt only while it is fresh and no change
//! of owners is so recent that the one before may not know of it, and a later attempt only where
//! it would remember an earlier one. See `docs/REQUESTS.md`, keys.

mod record;

use std::time::Duration;

use crate::{
    connection::{KeyVerdict, NotRun, Outcome, Peer, RequestId},
    process::MAX_HEAD_AGE,
    request::{Refusal, Ring},
    utils::{HashMap, Name, Timestamp},
};
use record::{KeyId, KeyState, Record, body_bytes, known, refused};

/// Time after a change of owners for which nothing is granted anew: an earlier owner that has not
/// read of the change stops being fresh within [`MAX_HEAD_AGE`].
const SETTLING: Duration = MAX_HEAD_AGE.saturating_add(Duration::from_millis(500));

/// Time beyond a deadline for which a grant's outcome is waited for.
const OUTCOME_MARGIN: Duration = Duration::from_millis(500);

/// Changes of owners that are remembered.
const EPOCHS: usize = 64;

/// Keys that are remembered, at the most; above it new ones are refused.
const KEYS: usize = 200_000;

/// Bytes of outcomes that are remembered, at the most; above it they are remembered as unknown.
const OUTCOME_BYTES: usize = 64 << 20;

/// Repeats that wait for the outcome of one key, at the most.
const WAITERS: usize = 16;

/// Milliseconds after which an owner that refused may grant.
const RETRY_MS: u64 = 1_000;

/// A claim as the owner takes it in.
#[derive(Clone, Debug)]
pub struct KeyClaim {
    /// The entry that asks.
    pub from: Name,
    /// Its request.
    pub id: RequestId,
    /// The service.
    pub service: Name,
    /// The caller's key.
    pub key: Name,
    /// The caller's count of attempts, from 1.
    pub attempt: u32,
    /// The owner's incarnation that the entry means.
    pub incarnation: u64,
    /// When the entry sent it, at the earliest, on the owner's clock.
    pub sent: Timestamp,
    /// The caller's deadline on the owner's clock.
    pub deadline: Timestamp,
    /// For how long the service's keys are remembered.
    pub window: Duration,
}

/// What became of a key that a request holds or asked for.
#[derive(Clone, Debug)]
pub struct KeyOutcome {
    /// The service.
    pub service: Name,
    /// The caller's key.
    pub key: Name,
    /// The request.
    pub id: RequestId,
    /// What became of it.
    pub outcome: Outcome,
    /// For how long the service's keys are remembered.
    pub window: Duration,
}

/// A verdict for an entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnerAction {
    /// The entry.
    pub to: Name,
    /// Its request.
    pub id: RequestId,
    /// The verdict.
    pub verdict: KeyVerdict,
}

/// The keys that one agent owns.
#[derive(Debug)]
pub struct KeyOwner {
    me: Peer,
    started: Timestamp,
    /// The latest change of owners last.
    epochs: Vec<Epoch>,
    keys: HashMap<KeyId, Record>,
    outcome_bytes: usize,
    out: Vec<OwnerAction>,
}

#[derive(Debug)]
struct Epoch {
    change: u64,
    since: Timestamp,
    ring: Ring,
}

impl KeyOwner {
    /// Returns the owner `me`, whose process started at `started`.
    pub fn new(me: &Peer, started: Timestamp) -> Self {
        Self {
            me: me.clone(),
            started,
            epochs: Vec::new(),
            keys: HashMap::default(),
            outcome_bytes: 0,
            out: Vec::new(),
        }
    }

    /// Returns the verdicts decided since the last call, in order.
    pub fn take_actions(&mut self) -> Vec<OwnerAction> {
        std::mem::take(&mut self.out)
    }

    /// Takes note of the owners after the `change`th change of them that this process folded.
    ///
    /// Where a change was missed, the key may have had another owner meanwhile, so whatever this
    /// process owned before counts for nothing.
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
        if self.epochs.len() > EPOCHS {
            self.epochs.remove(0);
        }
    }

    /// Returns the ring in force.
    pub fn ring(&self) -> Option<&Ring> {
        self.epochs.last().map(|e| &e.ring)
    }

    /// Takes in a claim; `fresh` tells whether this process knows the latest state of the log.
    pub fn claim(&mut self, now: Timestamp, claim: KeyClaim, fresh: bool) {
        let id = KeyId::of(&claim);
        let mut overtaken = false;
        if let Some(record) = self.keys.get_mut(&id) {
            overtaken = claim.attempt < record.attempt;
            record.attempt = record.attempt.max(claim.attempt);
        }
        let verdict = match self.keys.get_mut(&id).map(|r| &mut r.state) {
            Some(KeyState::Ran { outcome, .. }) => known(outcome),
            Some(KeyState::Granted { holder, .. }) if *holder == claim.id => KeyVerdict::Granted,
            Some(KeyState::Granted { until, waiters, .. })
                if now < *until && waiters.len() < WAITERS =>
            {
                // Its outcome answers the repeat too.
                if !waiters.iter().any(|w| w.id == claim.id) {
                    waiters.push(claim);
                }
                return;
            }
            Some(KeyState::Granted { .. }) => KeyVerdict::Unknown,
            // The caller may have been told "not run" for a later attempt; that must stay true.
            Some(KeyState::NotRun) if overtaken => {
                refused(Refusal::new(NotRun::KeyUnsettled, RETRY_MS))
            }
            Some(KeyState::NotRun) => match self.may_grant(now, &claim, fresh) {
                Ok(()) => self.grant(now, &claim),
                // Another owner may have granted it meanwhile.
                Err(refusal) if claim.attempt > 1 && refusal.reason != NotRun::Busy => {
                    KeyVerdict::Unknown
                }
                Err(refusal) => refused(refusal),
            },
            None => self.first_claim(now, &claim, fresh),
        };
        self.reply(&claim, verdict);
    }

    /// Takes in what became of a key; `fresh` tells whether this process knows the latest state of
    /// the log, for those who wait for the key.
    pub fn settle(&mut self, now: Timestamp, settled: KeyOutcome, fresh: bool) {
        let key = KeyId {
            service: settled.service.clone(),
            key: settled.key.clone(),
        };
        let Some(record) = self.keys.get_mut(&key) else {
            self.learn(now, key, settled);
            return;
        };
        let not_run = matches!(settled.outcome, Outcome::NotRun { .. });
        let done = matches!(settled.outcome, Outcome::Done { .. });
        match &mut record.state {
            KeyState::Granted {
                holder, waiters, ..
            } if *holder == settled.id => {
                let waiters = std::mem::take(waiters);
                self.conclude(now, key, settled, waiters, fresh);
            }
            KeyState::Granted { waiters, .. } => waiters.retain(|w| w.id != settled.id),
            // The entry gave up on an answer that has come after all.
            KeyState::Ran {
                holder,
                outcome: Outcome::Unknown,
            } if done && *holder == settled.id => {
                self.conclude(now, key, settled, Vec::new(), fresh);
            }
            KeyState::Ran { .. } => {}
            KeyState::NotRun if not_run => {}
            KeyState::NotRun => self.conclude(now, key, settled, Vec::new(), fresh),
        }
    }

    /// Does what time alone brings about; to be called every 100 ms or so.
    pub fn tick(&mut self, now: Timestamp) {
        let mut late = Vec::new();
        for record in self.keys.values_mut() {
            if let KeyState::Granted { until, waiters, .. } = &mut record.state
                && *until <= now
            {
                late.append(waiters);
            }
        }
        for claim in late {
            self.reply(&claim, KeyVerdict::Unknown);
        }
        let bytes = &mut self.outcome_bytes;
        self.keys.retain(|_, record| {
            let keep = now < record.forget_at;
            if !keep {
                *bytes -= record.state.bytes();
            }
            keep
        });
    }

    fn first_claim(&mut self, now: Timestamp, claim: &KeyClaim, fresh: bool) -> KeyVerdict {
        let may = self.may_grant(now, claim, fresh);
        if claim.attempt > 1 {
            let remembers = self.owned_for(now, claim) >= claim.window;
            // An earlier attempt may have been granted where this process can't know.
            return match may {
                Ok(()) if remembers => self.grant(now, claim),
                _ => KeyVerdict::Unknown,
            };
        }
        match may {
            Ok(()) => self.grant(now, claim),
            Err(refusal) => refused(refusal),
        }
    }

    /// Returns why nothing may be granted, if so.
    fn may_grant(&self, now: Timestamp, claim: &KeyClaim, fresh: bool) -> Result<(), Refusal> {
        let unsettled = Refusal::new(NotRun::KeyUnsettled, RETRY_MS);
        let epoch = self.epochs.last().ok_or(unsettled)?;
        if epoch.ring.owner(&claim.service, &claim.key) != Some(&self.me.name) {
            return Err(unsettled);
        }
        if now.since(epoch.since) < SETTLING {
            return Err(unsettled);
        }
        // Held up in a frozen process or a broken network, it may be older than a change of
        // owners, and its caller may have tried again at the one before.
        let late = claim.incarnation != self.me.incarnation || now.since(claim.sent) > MAX_HEAD_AGE;
        if late {
            return Err(unsettled);
        }
        if !fresh {
            return Err(Refusal::new(NotRun::NotFresh, RETRY_MS));
        }
        if self.keys.len() >= KEYS {
            return Err(Refusal::new(NotRun::Busy, RETRY_MS));
        }
        if now >= claim.deadline {
            return Err(Refusal::new(NotRun::Deadline, RETRY_MS));
        }
        Ok(())
    }

    /// Returns for how long this process has owned the key without interruption.
    fn owned_for(&self, now: Timestamp, claim: &KeyClaim) -> Duration {
        let mine = |e: &&Epoch| e.ring.owner(&claim.service, &claim.key) == Some(&self.me.name);
        let first = self.epochs.iter().rev().take_while(mine).last();
        first.map_or(Duration::ZERO, |e| now.since(e.since.max(self.started)))
    }

    fn grant(&mut self, now: Timestamp, claim: &KeyClaim) -> KeyVerdict {
        let until = claim.deadline + OUTCOME_MARGIN;
        let record = Record {
            state: KeyState::Granted {
                holder: claim.id.clone(),
                until,
                waiters: Vec::new(),
            },
            attempt: claim.attempt,
            forget_at: until.max(now) + claim.window,
        };
        self.replace(KeyId::of(claim), record);
        KeyVerdict::Granted
    }

    /// Remembers the outcome of a grant that another owner gave.
    fn learn(&mut self, now: Timestamp, key: KeyId, settled: KeyOutcome) {
        let not_run = matches!(settled.outcome, Outcome::NotRun { .. });
        if not_run || self.keys.len() >= KEYS {
            return;
        }
        self.conclude(now, key, settled, Vec::new(), false);
    }

    fn conclude(
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
                outcome: self.affordable(settled.outcome.clone()),
            }
        };
        let attempt = self.keys.get(&key).map_or(1, |r| r.attempt);
        let record = Record {
            state,
            attempt,
            forget_at: now + settled.window,
        };
        self.replace(key, record);
        for waiter in waiters {
            if not_run {
                // The first of them may run now; the others wait for it in turn.
                self.claim(now, waiter, fresh);
            } else {
                self.reply(&waiter, known(&settled.outcome));
            }
        }
    }

    /// Returns `outcome`, or "unknown" where there is no room left for its body: that is true too.
    fn affordable(&self, outcome: Outcome) -> Outcome {
        if self.outcome_bytes + body_bytes(&outcome) > OUTCOME_BYTES {
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
        self.out.push(OwnerAction {
            to: claim.from.clone(),
            id: claim.id.clone(),
            verdict,
        });
    }
}
