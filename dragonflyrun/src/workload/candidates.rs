//! Workers that have sent heartbeats to an agent but have not answered it yet.
//!
//! A heartbeat is a claim. It may be late, repeated or from another writer, and the start that it
//! names is a time of day, which clocks that step put out of order. Only the answer to a call that
//! was sent to the worker's address under the worker's name shows that this incarnation is there
//! now, and so that every earlier one has ended. `docs/incidents/foreign-heartbeat.md` tells what
//! happens without that proof.

use std::{collections::VecDeque, time::Duration, time::Instant};

use crate::{
    port::{CallError, Heartbeat, WorkerLists},
    utils::Name,
};

/// One incarnation of a worker. A restarted worker may keep its name, but not its start.
///
/// The start identifies an incarnation and doesn't order it among others, since it is a time of day.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IncarnationId {
    /// The worker's name.
    pub worker: Name,
    /// When it started, in Unix milliseconds on its host.
    pub born_ms: u64,
}

/// A worker that has sent a heartbeat but has not answered a call yet.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    pub(super) heartbeat: Heartbeat,
    pub(super) heartbeat_at: Instant,
}

/// What the answer to a call under a candidate's name shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Evidence {
    /// The candidate answered.
    Present,
    /// A worker of the candidate's name answered, perhaps another incarnation of it.
    NamePresent,
    /// Another incarnation answered.
    Absent,
    /// Nothing: there was no answer, or none that names an incarnation.
    Unknown,
}

/// The candidates of an agent.
#[derive(Debug, Default)]
pub(super) struct Candidates {
    /// By the age of the newest heartbeat, oldest first.
    known: VecDeque<Candidate>,
}

/// Most candidates that are kept. A worker that is displaced by the claims of other writers is known
/// again with its next heartbeat.
const MAX_CANDIDATES: usize = 8;

/// Time after which a candidate without a newer heartbeat is dropped: a worker that is there sends
/// one every 1.5 s.
const MAX_CANDIDATE_AGE: Duration = Duration::from_millis(2_200);

impl IncarnationId {
    /// Returns the incarnation that sent `heartbeat`.
    pub(super) fn of(heartbeat: &Heartbeat) -> Self {
        Self {
            worker: heartbeat.worker.clone(),
            born_ms: heartbeat.born_ms,
        }
    }
}

impl Candidates {
    /// Adds the sender of a heartbeat or updates it, and returns whether it is new.
    pub(super) fn observe(&mut self, heartbeat: Heartbeat, now: Instant) -> bool {
        let id = IncarnationId::of(&heartbeat);
        let old = self.take(&id);
        let is_new = old.is_none();
        let newest = match old {
            Some(old) if old.heartbeat.sequence >= heartbeat.sequence => old,
            _ => Candidate {
                heartbeat,
                heartbeat_at: now,
            },
        };
        if self.known.len() >= MAX_CANDIDATES
            && let Some(dropped) = self.known.pop_front()
        {
            dropped.log_dropped("too_many", now);
        }
        self.known.push_back(newest);
        is_new
    }

    /// Removes a candidate and returns it.
    pub(super) fn take(&mut self, id: &IncarnationId) -> Option<Candidate> {
        let position = self.known.iter().position(|c| c.is(id))?;
        self.known.remove(position)
    }

    /// Returns the candidates to ask, without those whose last heartbeat is too old.
    pub(super) fn unanswered(&mut self, now: Instant) -> Vec<IncarnationId> {
        self.known.retain(|candidate| {
            let is_current = candidate.age(now) <= MAX_CANDIDATE_AGE;
            if !is_current {
                candidate.log_dropped("no_answer", now);
            }
            is_current
        });
        let ids = self.known.iter().map(|c| IncarnationId::of(&c.heartbeat));
        ids.collect()
    }
}

impl Candidate {
    fn is(&self, id: &IncarnationId) -> bool {
        self.heartbeat.worker == id.worker && self.heartbeat.born_ms == id.born_ms
    }

    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.heartbeat_at)
    }

    /// Logs that a candidate is no longer considered, and why.
    pub(super) fn log_dropped(&self, why: &str, now: Instant) {
        let heartbeat = &self.heartbeat;
        log::info!(
            worker:% = heartbeat.worker, born_ms = heartbeat.born_ms, address:% = heartbeat.address,
            sequence = heartbeat.sequence, age_ms = self.age(now).as_millis() as u64, why;
            "candidate_dropped"
        );
    }
}

impl Evidence {
    /// Returns what the answer to a call under the name of `id` shows.
    pub(super) fn of(id: &IncarnationId, answer: &Result<WorkerLists, CallError>) -> Self {
        match answer {
            Ok(WorkerLists {
                born_ms: Some(born_ms),
                ..
            }) if *born_ms == id.born_ms => Self::Present,
            Ok(WorkerLists {
                born_ms: Some(_), ..
            })
            | Err(CallError::OtherLife) => Self::Absent,
            Ok(WorkerLists { born_ms: None, .. }) | Err(CallError::Fenced) => Self::NamePresent,
            Err(
                CallError::NotSent(_)
                | CallError::NoAnswer(_)
                | CallError::NotListening
                | CallError::Refused(_),
            ) => Self::Unknown,
        }
    }
}
