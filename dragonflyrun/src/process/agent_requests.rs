//! Executes the decisions of an agent on requests and on the keys that it owns.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    connection::{
        BackendReport,
        BackendRequest,
        KeyMessage,
        Message,
        NotRun,
        Outcome,
        Peer,
        RequestId,
        RequestMessage,
        Role,
        run_at_backend, //
    },
    process::{Context, RoleSettings, lock, run_pool::RunPool},
    request::{
        AgentAction,
        AgentTable,
        BackendAnnouncement,
        KeyClaim,
        KeyOutcome,
        KeyOwner,
        OwnerAction,
        RunOrder, //
    },
    utils::{Name, Timestamp},
};

/// How often a stopping agent checks whether all requests have ended.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How long the agent keeps trying to report a key's outcome to the key's owner.
const SETTLEMENT_TTL: Duration = Duration::from_secs(30);

/// Maximum number of settlements that wait for an entry that can relay them.
const MAX_SETTLEMENTS: usize = 64;

/// How long a key is remembered if its service is no longer in the document.
const DEFAULT_KEY_WINDOW: Duration = Duration::from_secs(600);

/// Milliseconds after which a refused request may be retried at another agent.
const OTHER_AGENT_RETRY_AFTER_MS: u64 = 500;

/// The requests of one agent and the keys that it owns.
pub struct AgentRequests {
    cx: Arc<Context>,
    failure_domain: Name,
    pool: RunPool,
    inner: Mutex<Inner>,
}

struct Inner {
    table: AgentTable,
    owner: KeyOwner,
    /// Settlements that could not be sent to the owners of their keys yet.
    pending_settlements: Vec<PendingSettlement>,
}

struct PendingSettlement {
    message: KeyMessage,
    expires_at: Timestamp,
}

impl AgentRequests {
    /// Returns an empty table for the agent that `cx` belongs to.
    pub fn new(cx: Arc<Context>) -> Arc<Self> {
        let failure_domain = match &cx.settings.role {
            RoleSettings::Agent { failure_domain, .. } => failure_domain.clone(),
            RoleSettings::Entry { .. } => "".into(),
        };
        let inner = Inner {
            table: AgentTable::new(cx.identity.incarnation),
            owner: KeyOwner::new(&cx.identity, cx.now()),
            pending_settlements: Vec::new(),
        };
        Arc::new(Self {
            cx,
            failure_domain,
            pool: RunPool::new(),
            inner: Mutex::new(inner),
        })
    }

    /// Registers the backend server that announces itself.
    pub fn announce(&self, announced: BackendAnnouncement) {
        lock(&self.inner).table.announce(self.cx.now(), announced);
    }

    /// Returns the backend reports for the heartbeat.
    pub fn backends(&self) -> Vec<BackendReport> {
        lock(&self.inner).table.reports(self.cx.now())
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        lock(&self.inner).table.running()
    }

    /// Handles a message from the entry `from`.
    pub fn on_message(self: &Arc<Self>, from: &Name, message: RequestMessage) {
        match message {
            RequestMessage::Run {
                id,
                incarnation,
                service,
                key,
                granted_request,
                deadline_ms,
                body,
            } => {
                let order = RunOrder {
                    id,
                    incarnation,
                    service,
                    key,
                    granted_request,
                    deadline: Timestamp::from_millis(deadline_ms),
                    body,
                };
                let in_service = self.cx.version().in_service(&self.failure_domain);
                self.decide(|now, inner| inner.table.run(now, from, order, in_service));
            }
            RequestMessage::Received { id } => {
                self.decide(|_, inner| inner.table.received(&id));
            }
            RequestMessage::Answer { .. } => {}
        }
    }

    /// Handles a message about a key from the entry `from`.
    pub fn on_key_message(self: &Arc<Self>, from: &Name, message: KeyMessage) {
        match message {
            KeyMessage::Claim {
                id,
                service,
                key,
                attempt,
                incarnation,
                sent_ms,
                deadline_ms,
            } => {
                self.update_ring();
                let fresh = self.cx.is_fresh();
                let window = self.key_window(&service);
                let claim = KeyClaim {
                    from: from.clone(),
                    id,
                    service,
                    key,
                    attempt,
                    incarnation,
                    sent: Timestamp::from_millis(sent_ms),
                    deadline: Timestamp::from_millis(deadline_ms),
                    window,
                };
                self.decide(|now, inner| inner.owner.claim(now, claim, fresh));
            }
            settle @ KeyMessage::Settle { .. } => self.settle(settle),
            KeyMessage::Verdict { .. } => {}
        }
    }

    /// Handles a new link to an entry.
    pub fn on_peer_up(self: &Arc<Self>, peer: &Peer) {
        if peer.role == Role::Entry {
            self.decide(|_, inner| inner.table.entry_up(peer));
        }
    }

    /// Handles the end of a link to an entry.
    pub fn on_peer_down(self: &Arc<Self>, peer: &Peer) {
        if peer.role == Role::Entry {
            self.decide(|_, inner| inner.table.entry_down(peer));
        }
    }

    /// Handles folded records, which may have changed the owners of keys.
    pub fn on_folded(&self) {
        self.update_ring();
    }

    /// Applies timeouts and retries. Called every 100 ms.
    pub fn tick(self: &Arc<Self>) {
        self.update_ring();
        let pending_settlements = self.decide(|now, inner| {
            inner.table.tick(now);
            inner.owner.tick(now);
            inner.pending_settlements.retain(|u| u.expires_at > now);
            std::mem::take(&mut inner.pending_settlements)
        });
        for settlement in pending_settlements {
            self.send_settlement(settlement);
        }
    }

    /// Refuses new requests from now on; the next heartbeat has to report this.
    pub fn leave(&self) {
        lock(&self.inner).table.leave(self.cx.now());
    }

    /// Refuses new requests and waits, for at most `timeout`, until all running ones have ended and
    /// their answers have been received. Returns whether they have.
    pub fn stop(&self, timeout: Duration) -> bool {
        self.leave();
        let end = Instant::now() + timeout;
        while !lock(&self.inner).table.is_idle(self.cx.now()) {
            if Instant::now() >= end {
                return false;
            }
            thread::sleep(STOP_POLL_INTERVAL);
        }
        true
    }

    /// Runs `decision` under the lock and performs the resulting actions after releasing it.
    fn decide<T>(self: &Arc<Self>, decision: impl FnOnce(Timestamp, &mut Inner) -> T) -> T {
        let (result, actions, verdicts) = {
            let mut inner = lock(&self.inner);
            let result = decision(self.cx.now(), &mut inner);
            let actions = inner.table.take_actions();
            (result, actions, inner.owner.take_actions())
        };
        for action in actions {
            self.perform(action);
        }
        for verdict in verdicts {
            self.reply(verdict);
        }
        result
    }

    fn perform(self: &Arc<Self>, action: AgentAction) {
        match action {
            AgentAction::Start { order, address } => self.start(order, address),
            AgentAction::Send { to, message } => {
                // The table keeps the answer and sends it again until it is acknowledged or expires.
                if let Err(error) = self.cx.links.send(&to, message) {
                    log::debug!(peer:% = to, error:% = error; "answer_not_sent");
                }
            }
            AgentAction::Settle(message) => {
                let expires_at = self.cx.now() + SETTLEMENT_TTL;
                self.send_settlement(PendingSettlement {
                    message,
                    expires_at,
                });
            }
        }
    }

    fn start(self: &Arc<Self>, order: RunOrder, address: SocketAddr) {
        let id = order.id.clone();
        let this = self.clone();
        let started = self.pool.run(move || this.run(order, address));
        if let Err(error) = started {
            log::error!(error:% = error; "thread_spawn_failed");
            self.finished(&id, not_run(NotRun::Busy));
        }
    }

    fn run(self: &Arc<Self>, order: RunOrder, address: SocketAddr) {
        // The thread may have been frozen since the decision, in which case the caller already has
        // an answer.
        let may_start = lock(&self.inner).table.may_start(self.cx.now(), &order.id);
        let outcome = if may_start {
            let max_body_bytes = self.cx.version().limits.body_bytes;
            let req = BackendRequest {
                id: order.id.clone(),
                service: order.service,
                key: order.key,
                body: order.body,
            };
            run_at_backend(address, req, max_body_bytes)
        } else {
            not_run(NotRun::Deadline)
        };
        self.finished(&order.id, outcome);
    }

    fn finished(self: &Arc<Self>, id: &RequestId, outcome: Outcome) {
        self.decide(|now, inner| inner.table.finished(now, id, outcome));
    }

    fn reply(&self, action: OwnerAction) {
        let message = Message::Key(KeyMessage::Verdict {
            id: action.id,
            verdict: action.verdict,
        });
        // If the grant is lost, the entry answers at the request's deadline that it did not run.
        if let Err(error) = self.cx.links.send(&action.to, message) {
            log::debug!(peer:% = action.to, error:% = error; "verdict_lost");
        }
    }

    /// Applies a settlement as the owner of the key.
    fn settle(self: &Arc<Self>, message: KeyMessage) {
        let KeyMessage::Settle {
            service,
            key,
            id,
            outcome,
        } = message
        else {
            return;
        };
        let fresh = self.cx.is_fresh();
        let window = self.key_window(&service);
        let settled = KeyOutcome {
            service,
            key,
            id,
            outcome,
            window,
        };
        self.decide(|now, inner| inner.owner.settle(now, settled, fresh));
    }

    /// Sends a settlement to the owner of its key. If the owner is another agent, an entry relays
    /// it, since agents have no links to each other.
    fn send_settlement(self: &Arc<Self>, settlement: PendingSettlement) {
        let KeyMessage::Settle { service, key, .. } = &settlement.message else {
            return;
        };
        let is_own_key = {
            let inner = lock(&self.inner);
            let owner = inner.owner.ring().and_then(|r| r.owner(service, key));
            owner == Some(&self.cx.identity.name)
        };
        if is_own_key {
            self.settle(settlement.message);
            return;
        }
        let entries: Vec<Name> = {
            let roster = lock(&self.cx.roster);
            let live = roster.live(self.cx.now(), Role::Entry);
            live.map(|p| p.peer.name.clone()).collect()
        };
        let message = Message::Key(settlement.message.clone());
        let sent = entries
            .iter()
            .any(|entry| self.cx.links.send(entry, message.clone()).is_ok());
        let mut inner = lock(&self.inner);
        if !sent && inner.pending_settlements.len() < MAX_SETTLEMENTS {
            inner.pending_settlements.push(settlement);
        }
    }

    fn update_ring(&self) {
        let ledger = lock(&self.cx.ledger);
        let membership = &ledger.membership;
        let mut inner = lock(&self.inner);
        let now = self.cx.now();
        if membership.ring_changes() > 0 {
            let changes = membership.ring_changes();
            inner.owner.set_ring(now, changes, membership.ring());
        }
    }

    fn key_window(&self, service: &Name) -> Duration {
        let version = self.cx.version();
        let service = version.service(service);
        service.map_or(DEFAULT_KEY_WINDOW, |s| {
            Duration::from_millis(s.key_window_ms)
        })
    }
}

const fn not_run(reason: NotRun) -> Outcome {
    Outcome::NotRun {
        reason,
        retry_after_ms: OTHER_AGENT_RETRY_AFTER_MS,
    }
}
