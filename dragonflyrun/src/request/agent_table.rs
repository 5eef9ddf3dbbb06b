//! All requests of one agent. Only the agent decides whether a request starts.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use crate::{
    connection::{
        BackendReport, KeyMessage, Message, NotRun, Outcome, Peer, RequestId, RequestMessage,
    },
    request::{BackendAnnouncement, BackendChoice, Backends, Refusal},
    utils::{HashMap, HashSet, Name, Timestamp},
};

/// Time after which an unacknowledged answer is sent again.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);

/// How long an answer is kept for an entry that has no link to this agent.
const UNLINKED_ANSWER_TTL: Duration = Duration::from_secs(30);

/// Maximum total size of the unacknowledged answers, in bytes; above it the oldest are dropped.
const MAX_UNACKED_BYTES: usize = 64 << 20;

/// Time without a new request after which all entries know that the agent is leaving: two
/// heartbeats. By then the requests that they sent before they knew have been refused and go to
/// other agents. If the agent ended earlier, those requests would get no answer.
const QUIET_PERIOD: Duration = Duration::from_secs(1);

/// Upper limit of a deadline, counted from the arrival of the request; limits how long ids are
/// kept.
const MAX_DEADLINE: Duration = Duration::from_secs(3_600);

/// Milliseconds after which a retry may find a free slot.
const BUSY_RETRY_AFTER_MS: u64 = 200;

/// Milliseconds after which a retry may find another agent, or the failure domain back in service.
const OTHER_AGENT_RETRY_AFTER_MS: u64 = 500;

/// A request that an entry orders the agent to run.
#[derive(Clone, Debug)]
pub struct RunOrder {
    /// The id under which the entry expects the answer.
    pub id: RequestId,
    /// The incarnation of this agent to which the entry addressed the request.
    pub incarnation: u64,
    /// The service that is to run the request.
    pub service: Name,
    /// The idempotency key, if the caller gave one.
    pub key: Option<Name>,
    /// The id under which the entry's request was granted the key by its owner; `None` if the request
    /// needed no grant. Its outcome is reported to the owner under this id.
    pub granted_request: Option<RequestId>,
    /// The deadline on this agent's clock.
    pub deadline: Timestamp,
    /// The complete body.
    pub body: Vec<u8>,
}

/// An action that the agent has to carry out.
#[derive(Clone, Debug)]
pub enum AgentAction {
    /// Send the request to the backend server at `address`.
    Start {
        /// The order of the entry to run the request.
        order: RunOrder,
        /// The address at which the backend server accepts requests.
        address: SocketAddr,
    },
    /// Send a message to an entry. The table sends it again if it is lost.
    Send {
        /// The name of the entry.
        to: Name,
        /// The message.
        message: Message,
    },
    /// Send the outcome for a key to the owner of the key, through any entry.
    Settle(KeyMessage),
}

/// All requests of one agent.
#[derive(Debug)]
pub struct AgentTable {
    incarnation: u64,
    backends: Backends,
    runs: HashMap<RequestId, Run>,
    unacked: HashMap<RequestId, UnackedAnswer>,
    unacked_order: VecDeque<RequestId>,
    unacked_bytes: usize,
    /// Requests that were accepted or refused, with the deadline until which their ids are kept: a
    /// second copy of a request must not run.
    decided: HashMap<RequestId, Timestamp>,
    /// The entries with a link to this agent, by the entry id in their request ids.
    linked: HashSet<Name>,
    leaving: bool,
    /// When the agent began to leave, or received the last request, whichever is later.
    last_request_at: Timestamp,
    actions: Vec<AgentAction>,
}

#[derive(Debug)]
struct Run {
    from: Name,
    backend: Name,
    service: Name,
    key: Option<Name>,
    granted_request: Option<RequestId>,
    deadline: Timestamp,
}

/// An answer that the entry has not acknowledged.
#[derive(Debug)]
struct UnackedAnswer {
    to: Name,
    service: Name,
    outcome: Outcome,
    settle: Option<KeyMessage>,
    created_at: Timestamp,
    sent_at: Timestamp,
}

impl AgentTable {
    /// Returns an empty table for the agent process with this `incarnation`.
    pub fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            backends: Backends::default(),
            runs: HashMap::default(),
            unacked: HashMap::default(),
            unacked_order: VecDeque::new(),
            unacked_bytes: 0,
            decided: HashMap::default(),
            linked: HashSet::default(),
            leaving: false,
            last_request_at: Timestamp::default(),
            actions: Vec::new(),
        }
    }

    /// Returns the actions decided since the last call, in order.
    pub fn take_actions(&mut self) -> Vec<AgentAction> {
        std::mem::take(&mut self.actions)
    }

    /// Handles an announcement of a backend server.
    pub fn announce(&mut self, now: Timestamp, announced: BackendAnnouncement) {
        self.backends.announce(now, announced);
    }

    /// Returns the backend reports for the heartbeat.
    pub fn reports(&self, now: Timestamp) -> Vec<BackendReport> {
        self.backends.reports(now)
    }

    /// Refuses all new requests from now on.
    pub fn leave(&mut self, now: Timestamp) {
        self.leaving = true;
        self.last_request_at = now;
    }

    /// Returns whether no request runs, each linked entry has received its answers, and no entry
    /// sends new requests.
    pub fn is_idle(&self, now: Timestamp) -> bool {
        let is_linked = |id: &RequestId| self.linked.contains(&id.entry);
        let is_quiet = self.linked.is_empty() || now.since(self.last_request_at) >= QUIET_PERIOD;
        is_quiet && self.runs.is_empty() && !self.unacked.keys().any(is_linked)
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// Handles a request from the entry `from`; `in_service` is true if the failure domain of the
    /// agent is in service.
    pub fn run(&mut self, now: Timestamp, from: &Name, order: RunOrder, in_service: bool) {
        self.last_request_at = now;
        // A request addressed to an earlier process of this agent may have run there; this process
        // can't say.
        if order.incarnation != self.incarnation || self.runs.contains_key(&order.id) {
            return;
        }
        if self.unacked.contains_key(&order.id) {
            self.send_answer(now, &order.id);
            return;
        }
        if self.decided.contains_key(&order.id) {
            return;
        }
        let deadline = order.deadline.min(now + MAX_DEADLINE);
        self.decided.insert(order.id.clone(), deadline);
        match self.admit(now, &order, in_service) {
            Ok(BackendChoice::Free { name, address }) => {
                let run = Run {
                    from: from.clone(),
                    backend: name,
                    service: order.service.clone(),
                    key: order.key.clone(),
                    granted_request: order.granted_request.clone(),
                    deadline,
                };
                self.runs.insert(order.id.clone(), run);
                self.actions.push(AgentAction::Start { order, address });
            }
            Ok(BackendChoice::Busy) => self.refuse(now, from, &order, NotRun::Busy),
            Ok(BackendChoice::None) => self.refuse(now, from, &order, NotRun::NoBackend),
            Err(reason) => self.refuse(now, from, &order, reason),
        }
    }

    /// Returns whether a request may still start. To be called right before the start, since the
    /// process may have been frozen after the decision.
    pub fn may_start(&self, now: Timestamp, id: &RequestId) -> bool {
        self.runs.get(id).is_some_and(|run| now < run.deadline)
    }

    /// Handles the outcome of a started request.
    pub fn finished(&mut self, now: Timestamp, id: &RequestId, outcome: Outcome) {
        let Some(run) = self.runs.remove(id) else {
            return;
        };
        let refused =
            matches!(&outcome, Outcome::NotRun { reason, .. } if *reason == NotRun::Refused);
        self.backends.release(now, &run.backend, refused);
        let settle = run.settle(&outcome);
        let answer = UnackedAnswer {
            to: run.from,
            service: run.service,
            outcome,
            settle,
            created_at: now,
            sent_at: now,
        };
        let entry_gone = !self.linked.contains(&id.entry);
        if entry_gone && let Some(settle) = answer.settle.clone() {
            self.actions.push(AgentAction::Settle(settle));
        }
        self.store_answer(id.clone(), answer);
        self.send_answer(now, id);
    }

    /// Handles the acknowledgement of an answer by its entry.
    pub fn received(&mut self, id: &RequestId) {
        self.remove_answer(id);
    }

    /// Handles a new link to an entry.
    pub fn entry_up(&mut self, entry: &Peer) {
        self.linked.insert(crate::request::entry_id(entry));
    }

    /// Handles the end of a link to an entry. The entry may no longer exist to report the outcomes
    /// to the owners of the keys, so the agent does it.
    pub fn entry_down(&mut self, entry: &Peer) {
        let id = crate::request::entry_id(entry);
        self.linked.remove(&id);
        let answers = self.unacked.iter().filter(|(k, _)| k.entry == id);
        let settles = answers.filter_map(|(_, answer)| answer.settle.clone());
        self.actions.extend(settles.map(AgentAction::Settle));
    }

    /// Sends unacknowledged answers again and removes what has expired; to be called about every
    /// 100 ms.
    pub fn tick(&mut self, now: Timestamp) {
        self.backends.remove_lapsed(now);
        self.decided.retain(|_, deadline| *deadline > now);
        let ids: Vec<RequestId> = self.unacked_order.iter().cloned().collect();
        for id in ids {
            let Some(answer) = self.unacked.get(&id) else {
                continue;
            };
            let linked = self.linked.contains(&id.entry);
            if linked && now.since(answer.sent_at) >= RESEND_INTERVAL {
                self.send_answer(now, &id);
            } else if !linked && now.since(answer.created_at) >= UNLINKED_ANSWER_TTL {
                self.remove_answer(&id);
            }
        }
    }

    fn admit(
        &mut self,
        now: Timestamp,
        order: &RunOrder,
        in_service: bool,
    ) -> Result<BackendChoice, NotRun> {
        if self.leaving {
            return Err(NotRun::Leaving);
        }
        if now >= order.deadline {
            return Err(NotRun::Deadline);
        }
        if !in_service {
            return Err(NotRun::OutOfService);
        }
        Ok(self.backends.acquire(now, &order.service))
    }

    fn refuse(&mut self, now: Timestamp, from: &Name, order: &RunOrder, reason: NotRun) {
        let retry_after_ms = match reason {
            NotRun::Busy => BUSY_RETRY_AFTER_MS,
            _ => OTHER_AGENT_RETRY_AFTER_MS,
        };
        let answer = UnackedAnswer {
            to: from.clone(),
            service: order.service.clone(),
            outcome: Refusal::new(reason, retry_after_ms).outcome(),
            settle: None,
            created_at: now,
            sent_at: now,
        };
        self.store_answer(order.id.clone(), answer);
        self.send_answer(now, &order.id);
    }

    fn store_answer(&mut self, id: RequestId, answer: UnackedAnswer) {
        self.unacked_bytes += answer.bytes();
        self.unacked_order.push_back(id.clone());
        self.unacked.insert(id, answer);
        while self.unacked_bytes > MAX_UNACKED_BYTES
            && let Some(oldest) = self.unacked_order.front().cloned()
        {
            log::warn!(entry:% = oldest.entry, number = oldest.number; "answer_dropped");
            self.remove_answer(&oldest);
        }
    }

    fn remove_answer(&mut self, id: &RequestId) {
        if let Some(answer) = self.unacked.remove(id) {
            self.unacked_bytes -= answer.bytes();
            self.unacked_order.retain(|k| k != id);
        }
    }

    fn send_answer(&mut self, now: Timestamp, id: &RequestId) {
        let Some(answer) = self.unacked.get_mut(id) else {
            return;
        };
        answer.sent_at = now;
        let message = Message::Request(RequestMessage::Answer {
            id: id.clone(),
            outcome: answer.outcome.clone(),
            free: self.backends.free(now, &answer.service),
        });
        let to = answer.to.clone();
        self.actions.push(AgentAction::Send { to, message });
    }
}

impl Run {
    /// Returns the message that reports the outcome to the owner of the key in place of an entry
    /// that can't. Only a request that ran is reported: for any other outcome the entry may know
    /// better.
    fn settle(&self, outcome: &Outcome) -> Option<KeyMessage> {
        let (Some(key), Some(granted_request), Outcome::Done { .. }) =
            (&self.key, &self.granted_request, outcome)
        else {
            return None;
        };
        Some(KeyMessage::Settle {
            service: self.service.clone(),
            key: key.clone(),
            id: granted_request.clone(),
            outcome: outcome.clone(),
        })
    }
}

impl UnackedAnswer {
    fn bytes(&self) -> usize {
        let body = match &self.outcome {
            Outcome::Done { body, .. } => body.len(),
            Outcome::NotRun { .. } | Outcome::Unknown => 0,
        };
        let copies = if self.settle.is_some() { 2 } else { 1 };
        body * copies
    }
}
