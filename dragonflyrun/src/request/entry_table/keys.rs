//! Exchanges claims, verdicts and outcomes with the owners of keys.

use std::time::Duration;

use super::{DEFAULT_RETRY_AFTER_MS, EntryAction, EntryTable, Pending, Stage};
use crate::{
    connection::{KeyMessage, KeyVerdict, Message, NotRun, Outcome, RequestId},
    request::Refusal,
    utils::{Name, Timestamp},
};

/// Milliseconds after which a new owner of a key can grant it.
const UNSETTLED_RETRY_AFTER_MS: u64 = 3_000;

/// How long an abandoned claim is kept, so that a grant that arrives for it can be returned.
const ABANDONED_CLAIM_TTL: Duration = Duration::from_secs(60);

/// How long the entry tries to deliver an outcome to the owner of a key.
const SETTLEMENT_TTL: Duration = Duration::from_secs(10);

/// Maximum number of settlements that wait for a link to the owner. If one is dropped, the owner
/// answers "unknown" for the key.
const MAX_SETTLEMENTS: usize = 64;

/// The outcome of a request that was granted a key, to be sent to an owner of the key once there is
/// a link to it again.
#[derive(Debug)]
pub(super) struct Settlement {
    owner: Name,
    message: KeyMessage,
    expires_at: Timestamp,
}

impl EntryTable {
    /// Sets the owners of keys as of the log record at `offset`.
    pub fn set_ring(&mut self, offset: u64, ring: &crate::request::Ring) {
        if offset != self.ring_offset {
            self.ring_offset = offset;
            self.ring = ring.clone();
        }
    }

    /// Returns the offset of the log record that set the current owners.
    pub fn ring_offset(&self) -> u64 {
        self.ring_offset
    }

    /// Returns the owner of a key.
    pub fn owner(&self, service: &Name, key: &Name) -> Option<&Name> {
        self.ring.owner(service, key)
    }

    /// Claims the key at its owner.
    pub(super) fn claim(&mut self, now: Timestamp, number: u64) {
        let id = self.id(number);
        let Some(pending) = self.requests.get_mut(&number) else {
            return;
        };
        let Some(key) = pending.key.clone() else {
            return;
        };
        let owner = self.ring.owner(&pending.service, &key);
        let Some(view) = owner.and_then(|owner| self.loads.view(owner)) else {
            let refusal = Refusal::new(NotRun::KeyUnsettled, UNSETTLED_RETRY_AFTER_MS);
            self.give_up_claim(now, number, refusal);
            return;
        };
        let owner = view.name.clone();
        pending.stage = Stage::Claiming {
            owner: owner.clone(),
        };
        let claim = KeyMessage::Claim {
            id,
            service: pending.service.clone(),
            key,
            attempt: pending.attempt,
            incarnation: view.incarnation,
            sent_ms: view.clock_at(now),
            deadline_ms: view.clock_at(pending.deadline),
        };
        self.send_key(owner, claim);
    }

    /// Handles the verdict of an owner.
    pub fn verdict(&mut self, now: Timestamp, from: &Name, id: &RequestId, verdict: KeyVerdict) {
        if id.entry != self.entry {
            return;
        }
        let number = id.number;
        let claiming = Stage::Claiming {
            owner: from.clone(),
        };
        match self.requests.get(&number) {
            Some(pending) if pending.stage == claiming => {
                self.apply_verdict(now, number, from, verdict)
            }
            Some(_) => {}
            None => self.return_grant(from, number, &verdict),
        }
    }

    fn apply_verdict(&mut self, now: Timestamp, number: u64, owner: &Name, verdict: KeyVerdict) {
        match verdict {
            KeyVerdict::Granted => self.granted(now, number, owner),
            KeyVerdict::Known(outcome) if !super::answers::is_complete(&outcome) => {
                self.actions.push(EntryAction::Event("answer_cut_off"));
                self.claim(now, number);
            }
            KeyVerdict::Known(outcome) => self.finish(number, outcome),
            KeyVerdict::Refused {
                reason,
                retry_after_ms,
            } => {
                let refusal = Refusal::new(reason, retry_after_ms);
                self.finish(number, refusal.outcome());
            }
            KeyVerdict::Unknown => self.finish(number, Outcome::Unknown),
        }
    }

    fn granted(&mut self, now: Timestamp, number: u64, owner: &Name) {
        let Some(pending) = self.requests.get_mut(&number) else {
            return;
        };
        pending.granted_by = Some(owner.clone());
        let waiting = pending.waiting(number);
        let version = self.version.clone();
        let room = match version.service(&pending.service) {
            Some(service) => self.ensure_queue_room(now, service, waiting),
            None => Err(Refusal::new(NotRun::UnknownService, DEFAULT_RETRY_AFTER_MS)),
        };
        match room {
            Ok(()) => self.enqueue(now, number),
            Err(refusal) => self.finish(number, refusal.outcome()),
        }
    }

    /// Returns a grant that arrived after its request had been answered "not run"; otherwise the
    /// owner would treat the key as running until its deadline. A grant for any other request is a
    /// duplicate and must not be returned, since that request may have run.
    fn return_grant(&mut self, owner: &Name, number: u64, verdict: &KeyVerdict) {
        let abandoned = self.abandoned.iter().find(|a| a.claim == number);
        let message = abandoned.map(|a| a.message.clone());
        if let (Some(message), KeyVerdict::Granted) = (message, verdict) {
            self.send_key(owner.clone(), message);
        }
    }

    /// Ends a request whose claim has no verdict. The request was sent to no agent and won't be.
    pub(super) fn give_up_claim(&mut self, now: Timestamp, number: u64, refusal: Refusal) {
        let claim = self.id(number);
        let Some(pending) = self.requests.get(&number) else {
            return;
        };
        // Only the owner knows whether an earlier attempt with this key has run.
        let outcome = if pending.attempt > 1 {
            Outcome::Unknown
        } else {
            refusal.outcome()
        };
        if let (Stage::Claiming { owner }, Some(key)) = (&pending.stage, &pending.key) {
            let owner = owner.clone();
            let message = KeyMessage::Settle {
                service: pending.service.clone(),
                key: key.clone(),
                id: claim,
                outcome: refusal.outcome(),
            };
            self.abandoned.push(Abandoned {
                claim: number,
                message: message.clone(),
                expires_at: now + ABANDONED_CLAIM_TTL,
            });
            self.send_key(owner, message);
        }
        self.finish(number, outcome);
    }

    /// Sends the outcome to the owner that granted the key and to its current owner.
    pub(super) fn settle(&mut self, number: u64, pending: &Pending, outcome: &Outcome) {
        let (Some(granter), Some(key)) = (&pending.granted_by, &pending.key) else {
            return;
        };
        let message = KeyMessage::Settle {
            service: pending.service.clone(),
            key: key.clone(),
            id: self.id(number),
            outcome: outcome.clone(),
        };
        let current = self.ring.owner(&pending.service, key).cloned();
        if let Some(current) = current.filter(|c| c != granter) {
            self.send_key(current, message.clone());
        }
        self.send_key(granter.clone(), message);
    }

    /// Forwards to the owner an outcome that an agent reports because the entry is gone.
    pub fn relay(&mut self, settle: KeyMessage) {
        if let KeyMessage::Settle { service, key, .. } = &settle
            && let Some(owner) = self.ring.owner(service, key).cloned()
        {
            self.send_key(owner, settle);
        }
    }

    pub(super) fn key_send_failed(&mut self, now: Timestamp, to: &Name, message: &KeyMessage) {
        match message {
            KeyMessage::Claim { id, .. } => {
                let refusal = Refusal::new(NotRun::KeyUnsettled, UNSETTLED_RETRY_AFTER_MS);
                self.give_up_claim(now, id.number, refusal);
            }
            KeyMessage::Settle { .. } if self.undelivered_settlements.len() < MAX_SETTLEMENTS => {
                self.undelivered_settlements.push(Settlement {
                    owner: to.clone(),
                    message: message.clone(),
                    expires_at: now + SETTLEMENT_TTL,
                });
            }
            _ => {}
        }
    }

    /// Ends the claims at an owner to which the link ended.
    pub(super) fn owner_lost(&mut self, now: Timestamp, owner: &Name) {
        let claiming = Stage::Claiming {
            owner: owner.clone(),
        };
        let lost: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, p)| p.stage == claiming)
            .map(|(number, _)| *number)
            .collect();
        for number in lost {
            let refusal = Refusal::new(NotRun::KeyUnsettled, UNSETTLED_RETRY_AFTER_MS);
            self.give_up_claim(now, number, refusal);
        }
    }

    /// Sends undelivered settlements again and removes expired ones.
    pub(super) fn tick_keys(&mut self, now: Timestamp) {
        self.abandoned.retain(|a| a.expires_at > now);
        for settlement in std::mem::take(&mut self.undelivered_settlements) {
            if settlement.expires_at <= now {
                self.actions.push(EntryAction::Event("settlement_lost"));
            } else if self.loads.is_silent(now, &settlement.owner) {
                self.undelivered_settlements.push(settlement);
            } else {
                self.send_key(settlement.owner, settlement.message);
            }
        }
    }

    fn send_key(&mut self, to: Name, message: KeyMessage) {
        let message = Message::Key(message);
        self.actions.push(EntryAction::Send { to, message });
    }
}

/// A claim whose request was answered without a verdict.
#[derive(Debug)]
pub(super) struct Abandoned {
    claim: u64,
    /// The message that returns the grant.
    message: KeyMessage,
    expires_at: Timestamp,
}
