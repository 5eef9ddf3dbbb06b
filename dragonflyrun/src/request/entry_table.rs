//! All requests of one entry, from admission to the final answer.
//!
//! Three rules keep the answers true:
//!
//! - A request is answered "not run" only if it was never passed to a link, or if every agent to
//!   which it was sent has said that it did not start it and will not start it.
//! - A request that was passed to a link without such an answer is "unknown" once its deadline has
//!   passed or its agent is lost.
//! - A request is sent a second time only if the service is repeatable, or to the same process of
//!   the agent, which recognizes the request by its id.

mod admission;
mod answers;
mod dispatch;
mod keys;
mod peers;
mod state;

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::Duration, //
};

use rand::{SeedableRng, rngs::SmallRng};

use crate::{
    connection::{Message, NotRun, Outcome, RequestId},
    request::{AgentLoads, CallerRequest, RetryBudget, Ring},
    utils::{HashMap, Name, Timestamp},
    version::Version,
};
use keys::{Abandoned, Settlement};
use state::{Dispatch, Due, Pending, ServiceState, Stage};

/// Number of agents drawn for each choice; `benches/requests.rs` measures 1 and 2.
const AGENT_CHOICES: usize = 2;

/// Milliseconds after which a retry may find a backend server.
const NO_BACKEND_RETRY_AFTER_MS: u64 = 1_000;

/// Milliseconds after which a retry may find another entry, or a failure domain back in service.
const LEAVING_RETRY_AFTER_MS: u64 = 500;

/// Milliseconds after which a caller may retry if no better estimate is known.
const DEFAULT_RETRY_AFTER_MS: u64 = 500;

/// Upper limit of a retry delay before its random part is added, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 10_000;

/// Time without any backend server of a service after which its queued requests are refused. A
/// single late heartbeat must not empty the queue.
const NO_BACKEND_GRACE: Duration = Duration::from_secs(1);

/// Gap between two calls of `detect_freeze` after which this process is assumed to have been
/// frozen.
const FREEZE_THRESHOLD: Duration = Duration::from_secs(1);

/// Time after a freeze during which no key is claimed.
///
/// Requests that arrived during the freeze look new, but their callers have stopped waiting and may
/// have retried at another entry. Such a late first attempt can reach an owner that does not know
/// of the second attempt.
const CLAIM_PAUSE_AFTER_FREEZE: Duration = Duration::from_secs(1);

/// An action that the entry has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryAction {
    /// Pass a message to the link to a peer; if that fails, call [`EntryTable::send_failed`].
    Send {
        /// The name of the agent.
        to: Name,
        /// The message.
        message: Message,
    },
    /// Pass a message that the peer may already have to its link; a failure can be ignored.
    Resend {
        /// The name of the agent.
        to: Name,
        /// The message.
        message: Message,
    },
    /// Send the caller its final answer.
    Answer {
        /// The number of the request in the table.
        number: u64,
        /// The outcome that the caller receives.
        outcome: Outcome,
    },
    /// Count a retry.
    Retried(NotRun),
    /// Count an event for operators.
    Event(&'static str),
}

/// Counts that an entry reports for one service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceStats {
    /// The name of the service.
    pub service: Name,
    /// Number of requests that wait for a slot.
    pub queued: usize,
    /// Number of requests that were sent to agents and not yet answered.
    pub running: usize,
}

/// All requests of one entry.
#[derive(Debug)]
pub struct EntryTable {
    entry: Name,
    next_number: u64,
    requests: HashMap<u64, Pending>,
    dispatches: HashMap<u64, Dispatch>,
    services: HashMap<Name, ServiceState>,
    due: BTreeSet<Due>,
    loads: AgentLoads,
    budget: RetryBudget,
    version: Arc<Version>,
    ring: Ring,
    ring_offset: u64,
    abandoned: Vec<Abandoned>,
    undelivered_settlements: Vec<Settlement>,
    leaving: bool,
    last_active_at: Option<Timestamp>,
    claims_paused_until: Timestamp,
    choices: usize,
    rng: SmallRng,
    actions: Vec<EntryAction>,
}

impl EntryTable {
    /// Returns an empty table; `entry` is unique to this process, and `seed` initializes the random
    /// choices.
    pub fn new(entry: Name, seed: u64) -> Self {
        Self {
            entry,
            next_number: 0,
            requests: HashMap::default(),
            dispatches: HashMap::default(),
            services: HashMap::default(),
            due: BTreeSet::new(),
            loads: AgentLoads::default(),
            budget: RetryBudget::default(),
            version: Arc::new(Version::new(0, crate::Document::default())),
            ring: Ring::default(),
            ring_offset: 0,
            abandoned: Vec::new(),
            undelivered_settlements: Vec::new(),
            leaving: false,
            last_active_at: None,
            claims_paused_until: Timestamp::default(),
            choices: AGENT_CHOICES,
            rng: SmallRng::seed_from_u64(seed),
            actions: Vec::new(),
        }
    }

    /// Draws `choices` agents for each request instead of the default number.
    pub fn with_choices(mut self, choices: usize) -> Self {
        self.choices = choices.max(1);
        self
    }

    /// Uses the configuration `version` for all further decisions.
    pub fn set_version(&mut self, version: Arc<Version>) {
        self.version = version;
    }

    /// Refuses all new requests from now on.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Returns whether every caller has received its answer.
    pub fn is_idle(&self) -> bool {
        let answered = |p: &Pending| matches!(p.stage, Stage::Answered { .. });
        self.requests.values().all(answered)
    }

    /// Returns the number of queued and running requests by service.
    pub fn stats(&self) -> Vec<ServiceStats> {
        let mut stats: Vec<ServiceStats> = self
            .services
            .iter()
            .map(|(service, state)| ServiceStats {
                service: service.clone(),
                queued: state.queue.len(),
                running: state.running,
            })
            .collect();
        stats.sort_by(|a, b| a.service.cmp(&b.service));
        stats
    }

    /// Handles a caller's request and returns its number. The answer may already be among the
    /// actions.
    pub fn submit(&mut self, now: Timestamp, req: CallerRequest) -> u64 {
        self.detect_freeze(now);
        let number = self.allocate_number();
        let repeat = req.key.is_some() && req.attempt > 1;
        match self.admit(now, number, req) {
            Ok(()) => {}
            // An earlier attempt may have run. "Not run" would be true for this attempt, but the
            // caller would take it to mean that no attempt with its key ran.
            Err(refusal) if repeat && refusal.reason != NotRun::Malformed => {
                self.answer(number, Outcome::Unknown);
            }
            Err(refusal) => self.answer(number, refusal.outcome()),
        }
        number
    }

    /// Returns the deadline of a request that has not been answered.
    pub fn deadline(&self, number: u64) -> Option<Timestamp> {
        self.requests.get(&number).map(|p| p.deadline)
    }

    /// Returns the actions decided since the last call, in order.
    pub fn take_actions(&mut self) -> Vec<EntryAction> {
        std::mem::take(&mut self.actions)
    }

    /// Records that this process runs at `now` and detects a freeze. Every method that can be the
    /// first one called after a freeze must call it.
    fn detect_freeze(&mut self, now: Timestamp) {
        if self
            .last_active_at
            .is_some_and(|at| now.since(at) > FREEZE_THRESHOLD)
        {
            self.claims_paused_until = now + CLAIM_PAUSE_AFTER_FREEZE;
        }
        self.last_active_at = Some(now);
    }

    fn allocate_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    fn id(&self, number: u64) -> RequestId {
        RequestId {
            entry: self.entry.clone(),
            number,
        }
    }

    /// Sends the caller its final answer and removes the request.
    fn finish(&mut self, number: u64, outcome: Outcome) {
        let Some(pending) = self.requests.remove(&number) else {
            return;
        };
        let outcome = match outcome {
            Outcome::NotRun { .. } if pending.may_have_run => Outcome::Unknown,
            outcome => outcome,
        };
        self.due.remove(&Due {
            at: pending.deadline,
            number,
        });
        if let Some(state) = self.services.get_mut(&pending.service) {
            state.queue.remove(&pending.waiting(number));
        }
        self.settle(number, &pending, &outcome);
        if !matches!(pending.stage, Stage::Answered { .. }) {
            self.answer(number, outcome);
        }
    }

    fn answer(&mut self, number: u64, outcome: Outcome) {
        self.actions.push(EntryAction::Answer { number, outcome });
    }
}
