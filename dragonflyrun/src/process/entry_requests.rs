//! Executes the decisions of an entry on callers' requests.

use std::{
    sync::{
        Arc,
        Mutex,
        atomic::{AtomicU64, Ordering}, //
    },
    thread,
    time::{Duration, Instant},
};

use crossbeam::channel::{Sender, bounded};

use crate::{
    connection::{
        HttpRequest,
        HttpResponse,
        KeyMessage,
        Outcome,
        Peer,
        RequestMessage,
        Role, //
    },
    process::{
        Context,
        entry_http::{caller_request, response},
        lock, //
    },
    request::{
        AgentView,
        CallerRequest,
        EntryAction,
        EntryTable,
        Ring,
        ServiceStats,
        entry_id, //
    },
    utils::{HashMap, HashSet, Name},
    version::Version,
};

/// How often a stopping entry checks whether all requests have been answered.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The number of a caller's first attempt.
const FIRST_ATTEMPT: u32 = 1;

/// The requests of callers at one entry.
pub struct EntryRequests {
    cx: Arc<Context>,
    ring_offset: AtomicU64,
    inner: Mutex<Inner>,
}

struct Inner {
    table: EntryTable,
    waiting: HashMap<u64, Sender<Outcome>>,
}

/// The state from the log that the table needs, read before the table is locked.
struct LogState {
    version: Arc<Version>,
    ring: Option<NewRing>,
}

struct NewRing {
    offset: u64,
    ring: Ring,
}

impl EntryRequests {
    /// Returns an empty table for the entry that `cx` belongs to.
    pub fn new(cx: Arc<Context>) -> Self {
        let table = EntryTable::new(entry_id(&cx.identity), rand::random());
        Self {
            cx,
            ring_offset: AtomicU64::new(0),
            inner: Mutex::new(Inner {
                table,
                waiting: HashMap::default(),
            }),
        }
    }

    /// Answers `POST /v1/services/{service}/requests`.
    pub fn handle(&self, service: &str, req: HttpRequest) -> HttpResponse {
        match caller_request(service, req) {
            Ok(req) => {
                let attempt = req.attempt;
                response(self.submit(req), attempt)
            }
            Err(refusal) => {
                self.cx.counters.refusal(refusal.reason);
                self.cx.counters.answer("not_run");
                response(refusal.outcome(), FIRST_ATTEMPT)
            }
        }
    }

    /// Submits a request and waits for its final answer until its deadline.
    pub fn submit(&self, req: CallerRequest) -> Outcome {
        let log = self.log_state();
        let (tx, rx) = bounded(1);
        let (number, remaining) = {
            let mut inner = lock(&self.inner);
            inner.apply_log_state(log);
            let now = self.cx.now();
            let number = inner.table.submit(now, req);
            inner.waiting.insert(number, tx);
            let deadline = inner.table.deadline(number);
            self.perform(&mut inner);
            (number, deadline.map_or(Duration::ZERO, |at| at.since(now)))
        };
        if let Ok(outcome) = rx.recv_timeout(remaining) {
            return outcome;
        }
        let mut inner = lock(&self.inner);
        inner.table.deadline_passed(self.cx.now(), number);
        self.perform(&mut inner);
        inner.waiting.remove(&number);
        rx.try_recv().unwrap_or(Outcome::Unknown)
    }

    /// Handles a message from the agent `from`.
    pub fn on_message(&self, from: &Name, message: RequestMessage) {
        if let RequestMessage::Answer { id, outcome, free } = message {
            let mut inner = lock(&self.inner);
            let now = self.cx.now();
            inner.table.answered(now, from, id, outcome, free);
            self.perform(&mut inner);
        }
    }

    /// Handles a message about a key from the agent `from`.
    pub fn on_key_message(&self, from: &Name, message: KeyMessage) {
        let mut inner = lock(&self.inner);
        match message {
            KeyMessage::Verdict { id, verdict } => {
                let now = self.cx.now();
                inner.table.verdict(now, from, &id, verdict);
            }
            settle @ KeyMessage::Settle { .. } => inner.table.relay(settle),
            KeyMessage::Claim { .. } => {}
        }
        self.perform(&mut inner);
    }

    /// Handles a new link to an agent. Called after the roster has been updated.
    pub fn on_peer_up(&self, peer: &Peer) {
        if peer.role == Role::Agent {
            let mut inner = lock(&self.inner);
            inner.table.agent_up(self.cx.now(), peer);
            self.perform(&mut inner);
        }
    }

    /// Handles the end of a link to an agent. Called after the roster has been updated.
    pub fn on_peer_down(&self, peer: &Peer) {
        if peer.role == Role::Agent {
            let mut inner = lock(&self.inner);
            inner.table.agent_down(self.cx.now(), peer);
            self.perform(&mut inner);
        }
        self.update_agents();
    }

    /// Updates the table with the roster's state of one agent. Called at its heartbeats.
    pub fn on_report(&self, agent: &Name) {
        let version = self.cx.version();
        let view = {
            let roster = lock(&self.cx.roster);
            roster.peer(agent).and_then(|p| AgentView::of(p, &version))
        };
        if let Some(view) = view {
            lock(&self.inner).table.update_agent(view);
        }
    }

    /// Updates the table with the roster's state of all agents and entries.
    pub fn update_agents(&self) {
        let version = self.cx.version();
        let now = self.cx.now();
        let own = &self.cx.identity.name;
        let (views, names, preceding, others) = {
            let roster = lock(&self.cx.roster);
            let peers = roster.all();
            let views = peers.iter().filter_map(|p| AgentView::of(p, &version));
            let views: Vec<AgentView> = views.collect();
            let names: HashSet<Name> = peers.iter().map(|p| p.peer.name.clone()).collect();
            let entries = || roster.live(now, Role::Entry).map(|p| &p.peer.name);
            let preceding = entries().filter(|name| *name < own).count();
            (views, names, preceding, entries().count())
        };
        let mut inner = lock(&self.inner);
        inner
            .table
            .set_entries(saturating_u32(others + 1), saturating_u32(preceding));
        inner.table.retain_agents(|name| names.contains(name));
        for view in views {
            inner.table.update_agent(view);
        }
    }

    /// Applies timeouts and starts queued requests. Called every 100 ms.
    pub fn tick(&self) {
        self.update_agents();
        let log = self.log_state();
        let mut inner = lock(&self.inner);
        inner.apply_log_state(log);
        inner.table.tick(self.cx.now());
        self.perform(&mut inner);
    }

    /// Refuses new requests and waits, for at most `timeout`, until all others have been answered.
    /// Returns whether they have.
    pub fn stop(&self, timeout: Duration) -> bool {
        lock(&self.inner).table.leave();
        let end = Instant::now() + timeout;
        while !lock(&self.inner).table.is_idle() {
            if Instant::now() >= end {
                return false;
            }
            thread::sleep(STOP_POLL_INTERVAL);
        }
        true
    }

    /// Returns the queued and running requests by service.
    pub fn stats(&self) -> Vec<ServiceStats> {
        lock(&self.inner).table.stats()
    }

    fn log_state(&self) -> LogState {
        let ledger = lock(&self.cx.ledger);
        let version = ledger.history.current().clone();
        let membership = &ledger.membership;
        let offset = membership.ring_offset();
        let ring = (self.ring_offset.swap(offset, Ordering::Relaxed) != offset).then(|| NewRing {
            offset,
            ring: Ring::new(membership.ring()),
        });
        LogState { version, ring }
    }

    fn perform(&self, inner: &mut Inner) {
        loop {
            let actions = inner.table.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.perform_one(inner, action);
            }
        }
    }

    fn perform_one(&self, inner: &mut Inner, action: EntryAction) {
        let counters = &self.cx.counters;
        match action {
            EntryAction::Send { to, message } => {
                // The table needs the message again only if it could not be sent.
                if let Err(error) = self.cx.links.send(&to, message.clone()) {
                    log::debug!(peer:% = to, error:% = error; "not_sent");
                    inner.table.send_failed(self.cx.now(), &to, &message);
                }
            }
            EntryAction::Resend { to, message } => {
                if let Err(error) = self.cx.links.send(&to, message) {
                    log::debug!(peer:% = to, error:% = error; "resend_failed");
                }
            }
            EntryAction::Answer { number, outcome } => {
                match &outcome {
                    Outcome::Done { .. } => counters.answer("done"),
                    Outcome::NotRun { reason, .. } => {
                        counters.refusal(*reason);
                        counters.answer("not_run");
                    }
                    Outcome::Unknown => counters.answer("unknown"),
                }
                if let Some(tx) = inner.waiting.remove(&number) {
                    // The channel has room for its single answer.
                    let _ = tx.try_send(outcome);
                }
            }
            EntryAction::Retried(reason) => counters.retry(reason),
            EntryAction::Event(name) => counters.event(name),
        }
    }
}

impl Inner {
    fn apply_log_state(&mut self, log: LogState) {
        self.table.set_version(log.version);
        if let Some(new) = log.ring {
            self.table.set_ring(new.offset, &new.ring);
        }
    }
}

fn saturating_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
