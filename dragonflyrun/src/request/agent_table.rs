//! All requests of one agent: it alone decides whether a request starts.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use crate::{
    connection::{
        BackendReport, KeyMessage, Message, NotRun, Outcome, Peer, RequestId, RequestMessage,
    },
    request::{BackendAnnouncement, BackendChoice, Backends, Refusal},
    utils::{HashMap, HashSet, Name, Timestamp},
};

/// Time after which an answer that was not acknowledged is sent again.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which an answer is kept for an entry that is not linked.
const UNLINKED_ANSWER_TTL: Duration = Duration::from_secs(30);

/// Bytes of answers that are kept, at the most.
const MAX_UNACKED_BYTES: usize = 64 << 20;

/// Time without a new request after which all entries have heard that the agent is leaving: two
/// heartbeats. What they had sent before is refused by then and goes elsewhere; ending earlier
/// would leave them without an answer.
const QUIET_PERIOD: Duration = Duration::from_secs(1);

/// The farthest deadline; bounds for how long ids are remembered.
const MAX_DEADLINE: Duration = Duration::from_secs(3_600);

/// Milliseconds after which a slot may be free again.
const BUSY_RETRY_AFTER_MS: u64 = 200;

/// Milliseconds after which another agent or a returned failure domain may be found.
const OTHER_AGENT_RETRY_AFTER_MS: u64 = 500;

/// A request that an entry wants run.
#[derive(Clone, Debug)]
pub struct RunOrder {
    /// The request.
    pub id: RequestId,
    /// The incarnation of this agent that the entry means.
    pub incarnation: u64,
    /// The service.
    pub service: Name,
    /// The caller's key.
    pub key: Option<Name>,
    /// The request that holds the key's grant.
    pub claim: Option<RequestId>,
    /// The deadline on this agent's clock.
    pub deadline: Timestamp,
    /// The whole body.
    pub body: Vec<u8>,
}

/// What the agent is to do.
#[derive(Clone, Debug)]
pub enum AgentAction {
    /// Give the request to the backend server at the address.
    Start {
        /// The request.
        order: RunOrder,
        /// Where the backend server takes it.
        address: SocketAddr,
    },
    /// Send a message to an entry; what is lost is sent again.
    Send {
        /// The entry.
        to: Name,
        /// The message.
        message: Message,
    },
    /// Tell a key's owner, through any entry, what became of the key.
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
    /// Requests that were decided, until their deadlines; a second copy must not run.
    decided: HashMap<RequestId, Timestamp>,
    /// The entries that are linked, by the names in their requests' ids.
    linked: HashSet<Name>,
    leaving: bool,
    /// When it began to leave, or was asked to run something after that.
    last_request_at: Timestamp,
    actions: Vec<AgentAction>,
}

#[derive(Debug)]
struct Run {
    from: Name,
    backend: Name,
    service: Name,
    key: Option<Name>,
    claim: Option<RequestId>,
    deadline: Timestamp,
}

/// An answer that its entry has not acknowledged.
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
    /// Returns a table without requests, for the process of this `incarnation`.
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

    /// Takes in a backend server's announcement.
    pub fn announce(&mut self, now: Timestamp, announced: BackendAnnouncement) {
        self.backends.announce(now, announced);
    }

    /// Returns what the heartbeat says of the backend servers.
    pub fn reports(&self, now: Timestamp) -> Vec<BackendReport> {
        self.backends.reports(now)
    }

    /// Refuses all new requests from now on.
    pub fn leave(&mut self, now: Timestamp) {
        self.leaving = true;
        self.last_request_at = now;
    }

    /// Returns whether nothing runs, each linked entry has its answers, and none sends any more.
    pub fn is_idle(&self, now: Timestamp) -> bool {
        let is_linked = |id: &RequestId| self.linked.contains(&id.entry);
        let is_quiet = self.linked.is_empty() || now.since(self.last_request_at) >= QUIET_PERIOD;
        is_quiet && self.runs.is_empty() && !self.unacked.keys().any(is_linked)
    }

    /// Returns how many requests run.
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// Takes in a request from the entry `from`; `in_service` tells whether the agent's failure
    /// domain is.
    pub fn run(&mut self, now: Timestamp, from: &Name, order: RunOrder, in_service: bool) {
        self.last_request_at = now;
        // Meant for an earlier process of this agent, which may have run it: this one can't say.
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
                    claim: order.claim.clone(),
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

    /// Returns whether a request may still start, right before it does: the process may have been
    /// frozen since the decision.
    pub fn may_start(&self, now: Timestamp, id: &RequestId) -> bool {
        self.runs.get(id).is_some_and(|run| now < run.deadline)
    }

    /// Takes in what became of a request that was started.
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

    /// Takes note that an entry has an answer.
    pub fn received(&mut self, id: &RequestId) {
        self.remove_answer(id);
    }

    /// Takes note of a new link to an entry.
    pub fn entry_up(&mut self, entry: &Peer) {
        self.linked.insert(crate::request::entry_id(entry));
    }

    /// Takes note that the link to an entry ended. Nobody may be left to tell the owners of keys
    /// what became of them, so that is done here.
    pub fn entry_down(&mut self, entry: &Peer) {
        let id = crate::request::entry_id(entry);
        self.linked.remove(&id);
        let answers = self.unacked.iter().filter(|(k, _)| k.entry == id);
        let settles = answers.filter_map(|(_, answer)| answer.settle.clone());
        self.actions.extend(settles.map(AgentAction::Settle));
    }

    /// Does what time alone brings about; to be called every 100 ms or so.
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
    /// Returns what the key's owner is to hear where the entry can't tell it. Only that it ran: of
    /// anything else the entry may know better.
    fn settle(&self, outcome: &Outcome) -> Option<KeyMessage> {
        let (Some(key), Some(claim), Outcome::Done { .. }) = (&self.key, &self.claim, outcome)
        else {
            return None;
        };
        Some(KeyMessage::Settle {
            service: self.service.clone(),
            key: key.clone(),
            id: claim.clone(),
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
