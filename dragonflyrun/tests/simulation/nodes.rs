//! The simulated processes.

use dragonflyrun::{
    Name, Timestamp,
    connection::{
        AgentReport, Heartbeat, KeyMessage, LogView, Message, NotRun, Outcome, Peer, Report,
        RequestId, RequestMessage, Role,
    },
    process::Roster,
    request::{
        AgentAction, AgentTable, AgentView, BackendAnnouncement, EntryAction, EntryTable, KeyClaim,
        KeyOutcome, KeyOwner, Ring, RunOrder, entry_id,
    },
    utils::HashMap,
};
use rand::Rng;
use std::time::Duration;

use super::{Backend, Event, RunRecord, Sim};

const KEY_WINDOW: Duration = Duration::from_secs(17);

/// One process.
pub(super) struct Node {
    pub(super) peer: Peer,
    /// Distinguishes a process from an earlier one of the same name.
    pub(super) generation: u64,
    /// Simulated time minus the clock of the process, in milliseconds.
    clock_offset: u64,
    pub(super) frozen_until: u64,
    pub(super) log_reachable: bool,
    head_seen: u64,
    rings_seen: usize,
    pub(super) role: NodeRole,
}

pub(super) enum NodeRole {
    Entry {
        table: Box<EntryTable>,
        roster: Roster,
        /// The attempts that wait for an answer, by their request number in the table.
        attempts: HashMap<u64, usize>,
    },
    Agent {
        table: Box<AgentTable>,
        owner: Box<KeyOwner>,
        backend: Backend,
    },
}

#[derive(Clone)]
pub(super) enum NodeEvent {
    Tick,
    Heartbeat,
    ReadLog,
    Submit {
        attempt_index: usize,
    },
    Deadline {
        number: u64,
    },
    Up(Peer),
    Down(Peer),
    Deliver {
        from: usize,
        link: u64,
        message: Message,
    },
    Start(RunOrder),
    Ended {
        id: RequestId,
        outcome: Outcome,
    },
}

impl Sim {
    pub(super) fn start_nodes(&mut self) {
        for entry in 0..self.setup.entries {
            self.nodes.push(Node::placeholder(entry, Role::Entry));
        }
        for agent in 0..self.setup.backends.len() {
            self.nodes.push(Node::placeholder(agent, Role::Agent));
        }
        let agents = self.agent_names();
        self.rings.push(agents);
        for node in 0..self.nodes.len() {
            self.start(node);
        }
    }

    pub(super) fn agent_names(&self) -> Vec<Name> {
        let agents = self.nodes.iter().filter(|n| n.peer.role == Role::Agent);
        agents.map(|n| n.peer.name.clone()).collect()
    }

    /// Starts a process in place of the previous one, without any of its state.
    pub(super) fn start(&mut self, node: usize) {
        self.generations += 1;
        let generation = self.generations;
        let incarnation = self.rng.random();
        let clock_offset = self.now - self.rng.random_range(1..900);
        let seed = self.rng.random();
        let backend = node.checked_sub(self.setup.entries);
        let backend = backend.map(|b| self.setup.backends[b]);
        let now = Timestamp::from_millis(self.now - clock_offset);
        let state = &mut self.nodes[node];
        state.peer.incarnation = incarnation;
        state.generation = generation;
        state.clock_offset = clock_offset;
        state.frozen_until = 0;
        state.rings_seen = 0;
        state.head_seen = 0;
        state.role = match backend {
            None => {
                let table = EntryTable::new(entry_id(&state.peer), seed);
                let mut table = table.with_choices(self.setup.choices);
                table.set_version(self.version.clone());
                if self.setup.divided {
                    table.set_entries(self.setup.entries as u32, node as u32);
                }
                NodeRole::Entry {
                    table: Box::new(table),
                    roster: Roster::default(),
                    attempts: HashMap::default(),
                }
            }
            Some(backend) => NodeRole::Agent {
                table: Box::new(AgentTable::new(incarnation)),
                owner: Box::new(KeyOwner::new(&state.peer, now)),
                backend,
            },
        };
        for event in [NodeEvent::Tick, NodeEvent::Heartbeat, NodeEvent::ReadLog] {
            let at = self.now + self.rng.random_range(0..100);
            self.schedule_node(at, node, event);
        }
        self.link_all(node);
    }

    pub(super) fn schedule_node(&mut self, at: u64, node: usize, event: NodeEvent) {
        let generation = self.nodes[node].generation;
        self.schedule(
            at,
            Event::Node {
                node,
                generation,
                event,
            },
        );
    }

    pub(super) fn node_event(&mut self, node: usize, generation: u64, event: NodeEvent) {
        if self.nodes[node].generation != generation {
            return;
        }
        let thaw = self.nodes[node].frozen_until;
        if self.now < thaw {
            self.schedule(
                thaw,
                Event::Node {
                    node,
                    generation,
                    event,
                },
            );
            return;
        }
        match event {
            NodeEvent::Tick => self.tick(node),
            NodeEvent::Heartbeat => self.send_heartbeats(node),
            NodeEvent::ReadLog => self.read_log(node),
            NodeEvent::Submit { attempt_index } => self.submit(node, attempt_index),
            NodeEvent::Deadline { number } => {
                let now = self.clock(node);
                if let NodeRole::Entry { table, .. } = &mut self.nodes[node].role {
                    table.deadline_passed(now, number);
                }
            }
            NodeEvent::Up(peer) => self.peer_changed(node, &peer, true),
            NodeEvent::Down(peer) => self.peer_changed(node, &peer, false),
            NodeEvent::Deliver {
                from,
                link,
                message,
            } => {
                if self.arrives(from, node, link) {
                    self.deliver(node, from, message);
                }
            }
            NodeEvent::Start(order) => self.start_run(node, order),
            NodeEvent::Ended { id, outcome } => {
                let now = self.clock(node);
                if let NodeRole::Agent { table, .. } = &mut self.nodes[node].role {
                    table.finished(now, &id, outcome);
                }
            }
        }
        self.perform(node);
    }

    pub(super) fn clock(&self, node: usize) -> Timestamp {
        Timestamp::from_millis(self.now - self.nodes[node].clock_offset)
    }

    fn is_fresh(&self, node: usize) -> bool {
        let state = &self.nodes[node];
        state.head_seen > 0 && self.now - state.head_seen <= 2_000
    }

    fn tick(&mut self, node: usize) {
        let now = self.clock(node);
        let version = self.version.clone();
        match &mut self.nodes[node].role {
            NodeRole::Entry { table, roster, .. } => {
                for peer in roster.all() {
                    if let Some(view) = AgentView::of(peer, &version) {
                        table.update_agent(view);
                    }
                }
                table.tick(now);
            }
            NodeRole::Agent { table, owner, .. } => {
                table.tick(now);
                owner.tick(now);
            }
        }
        self.schedule_node(self.now + 100, node, NodeEvent::Tick);
    }

    fn send_heartbeats(&mut self, node: usize) {
        let now = self.clock(node);
        let (entries, slots) = (self.setup.entries, self.setup.slots);
        let NodeRole::Agent { table, .. } = &mut self.nodes[node].role else {
            return;
        };
        let classes = &self.setup.classes;
        for class in classes {
            table.announce(now, announcement(&class.service, slots));
        }
        let report = AgentReport {
            failure_domain: "murau".into(),
            backends: table.reports(now),
            ..AgentReport::default()
        };
        for entry in 0..entries {
            let heartbeat = Heartbeat {
                sent_ms: now.as_millis(),
                echo_ms: None,
                change: 0,
                log: LogView::default(),
                report: Some(Report::Agent(report.clone())),
            };
            self.transmit(node, entry, Message::Heartbeat(Box::new(heartbeat)));
        }
        self.schedule_node(self.now + 250, node, NodeEvent::Heartbeat);
    }

    fn read_log(&mut self, node: usize) {
        let now = self.clock(node);
        if self.nodes[node].log_reachable {
            let seen = self.nodes[node].rings_seen;
            for change in seen..self.rings.len() {
                let members = &self.rings[change];
                match &mut self.nodes[node].role {
                    NodeRole::Entry { table, .. } => {
                        table.set_ring(change as u64 + 1, &Ring::new(members));
                    }
                    NodeRole::Agent { owner, .. } => {
                        owner.set_ring(now, change as u64 + 1, members);
                    }
                }
            }
            self.nodes[node].rings_seen = self.rings.len();
            self.nodes[node].head_seen = self.now;
        }
        let pause = self.rng.random_range(20..300);
        self.schedule_node(self.now + pause, node, NodeEvent::ReadLog);
    }

    fn peer_changed(&mut self, node: usize, peer: &Peer, up: bool) {
        let now = self.clock(node);
        match &mut self.nodes[node].role {
            NodeRole::Entry { table, roster, .. } if up => {
                roster.link_up(now, peer.clone());
                table.agent_up(now, peer);
            }
            NodeRole::Entry { table, roster, .. } => {
                roster.link_down(peer);
                table.agent_down(now, peer);
            }
            NodeRole::Agent { table, .. } if up => table.entry_up(peer),
            NodeRole::Agent { table, .. } => table.entry_down(peer),
        }
    }

    fn deliver(&mut self, node: usize, from: usize, message: Message) {
        let now = self.clock(node);
        let fresh = self.is_fresh(node);
        let version = self.version.clone();
        let sender = self.nodes[from].peer.name.clone();
        let state = &mut self.nodes[node];
        match (&mut state.role, message) {
            (NodeRole::Entry { table, roster, .. }, Message::Heartbeat(heartbeat)) => {
                roster.on_heartbeat(now, &sender, *heartbeat);
                let view = roster
                    .peer(&sender)
                    .and_then(|p| AgentView::of(p, &version));
                if let Some(view) = view {
                    table.update_agent(view);
                }
            }
            (
                NodeRole::Entry { table, .. },
                Message::Request(RequestMessage::Answer { id, outcome, free }),
            ) => {
                table.answered(now, &sender, id, outcome, free);
            }
            (NodeRole::Entry { table, .. }, Message::Key(KeyMessage::Verdict { id, verdict })) => {
                table.verdict(now, &sender, &id, verdict);
            }
            (NodeRole::Entry { table, .. }, Message::Key(settle)) => table.relay(settle),
            (NodeRole::Agent { table, .. }, Message::Request(message)) => match message {
                RequestMessage::Run {
                    id,
                    incarnation,
                    service,
                    key,
                    granted_request,
                    deadline_ms,
                    body,
                } => {
                    let deadline = Timestamp::from_millis(deadline_ms);
                    let order = RunOrder {
                        id,
                        incarnation,
                        service,
                        key,
                        granted_request,
                        deadline,
                        body,
                    };
                    table.run(now, &sender, order, true);
                }
                RequestMessage::Received { id } => table.received(&id),
                RequestMessage::Answer { .. } => {}
            },
            (NodeRole::Agent { owner, .. }, Message::Key(message)) => {
                handle_key_message(now, owner, &sender, message, fresh);
            }
            _ => {}
        }
    }

    fn start_run(&mut self, node: usize, order: RunOrder) {
        let now = self.clock(node);
        let NodeRole::Agent { table, backend, .. } = &self.nodes[node].role else {
            return;
        };
        let (may_start, backend) = (table.may_start(now, &order.id), *backend);
        let refused = |reason| Outcome::NotRun {
            reason,
            retry_after_ms: 500,
        };
        let outcome = match backend {
            _ if !may_start => refused(NotRun::Deadline),
            Backend::Refuses => refused(NotRun::Refused),
            Backend::Breaks | Backend::Runs(_) => {
                let attempt_index = read_attempt(&order.body);
                let ticket = self.attempts[attempt_index].ticket;
                self.run_records.push(RunRecord {
                    ticket,
                    attempt_index,
                    at: self.now,
                });
                match backend {
                    Backend::Breaks => Outcome::Unknown,
                    _ => done(ticket),
                }
            }
        };
        let ran = !matches!(outcome, Outcome::NotRun { .. });
        let time = if ran {
            self.run_time(&order.body, backend)
        } else {
            1
        };
        let ended = NodeEvent::Ended {
            id: order.id,
            outcome,
        };
        self.schedule_node(self.now + time, node, ended);
    }

    fn run_time(&mut self, body: &[u8], backend: Backend) -> u64 {
        let class = self.tickets[self.attempts[read_attempt(body)].ticket].class;
        let mean = self.setup.classes[class].run_ms as f64;
        let slowness = match backend {
            Backend::Runs(slowness) => slowness,
            _ => 1.0,
        };
        (mean * slowness * self.rng.random_range(0.5..1.5)) as u64 + 1
    }

    pub(super) fn perform(&mut self, node: usize) {
        loop {
            let state = &mut self.nodes[node];
            let mut busy = false;
            match &mut state.role {
                NodeRole::Entry { table, .. } => {
                    for action in table.take_actions() {
                        busy = true;
                        self.entry_action(node, action);
                    }
                }
                NodeRole::Agent { table, owner, .. } => {
                    let (actions, verdicts) = (table.take_actions(), owner.take_actions());
                    for action in actions {
                        busy = true;
                        self.agent_action(node, action);
                    }
                    for action in verdicts {
                        let (id, verdict) = (action.id, action.verdict);
                        let message = Message::Key(KeyMessage::Verdict { id, verdict });
                        self.send(node, &action.to, message);
                    }
                }
            }
            if !busy {
                return;
            }
        }
    }

    fn entry_action(&mut self, node: usize, action: EntryAction) {
        let now = self.clock(node);
        match action {
            EntryAction::Send { to, message } => {
                if !self.send(node, &to, message.clone())
                    && let NodeRole::Entry { table, .. } = &mut self.nodes[node].role
                {
                    table.send_failed(now, &to, &message);
                }
            }
            EntryAction::Resend { to, message } => {
                self.send(node, &to, message);
            }
            EntryAction::Answer { number, outcome } => {
                if let NodeRole::Entry { attempts, .. } = &mut self.nodes[node].role {
                    let attempt_index = attempts.remove(&number).expect("answered twice");
                    self.answer_caller(attempt_index, outcome);
                }
            }
            EntryAction::Retried(_) => self.retries += 1,
            EntryAction::Event(_) => {}
        }
    }

    fn agent_action(&mut self, node: usize, action: AgentAction) {
        match action {
            AgentAction::Start { order, .. } => {
                // The process may be frozen between the decision and the start.
                let pause = self.rng.random_range(0..2);
                self.schedule_node(self.now + pause, node, NodeEvent::Start(order));
            }
            AgentAction::Send { to, message } => {
                self.send(node, &to, message);
            }
            AgentAction::Settle(settle) => self.agent_settles(node, settle),
        }
    }

    fn agent_settles(&mut self, node: usize, settle: KeyMessage) {
        let (now, fresh) = (self.clock(node), self.is_fresh(node));
        let name = self.nodes[node].peer.name.clone();
        let KeyMessage::Settle { service, key, .. } = &settle else {
            return;
        };
        if let NodeRole::Agent { owner, .. } = &mut self.nodes[node].role
            && owner.ring().and_then(|r| r.owner(service, key)) == Some(&name)
        {
            handle_key_message(now, owner, &name, settle, fresh);
            return;
        }
        for entry in 0..self.setup.entries {
            if self.transmit(node, entry, Message::Key(settle.clone())) {
                return;
            }
        }
    }
}

impl Node {
    fn placeholder(index: usize, role: Role) -> Self {
        let kind = if role == Role::Entry {
            "entry"
        } else {
            "agent"
        };
        let peer = Peer {
            name: format!("{kind}-{index}").into(),
            role,
            incarnation: 0,
        };
        Self {
            peer,
            generation: 0,
            clock_offset: 0,
            frozen_until: 0,
            log_reachable: true,
            head_seen: 0,
            rings_seen: 0,
            role: NodeRole::Entry {
                table: Box::new(EntryTable::new("".into(), 0)),
                roster: Roster::default(),
                attempts: HashMap::default(),
            },
        }
    }
}

fn handle_key_message(
    now: Timestamp,
    owner: &mut KeyOwner,
    from: &Name,
    message: KeyMessage,
    fresh: bool,
) {
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
            let claim = KeyClaim {
                from: from.clone(),
                id,
                service,
                key,
                attempt,
                incarnation,
                sent: Timestamp::from_millis(sent_ms),
                deadline: Timestamp::from_millis(deadline_ms),
                window: KEY_WINDOW,
            };
            owner.claim(now, claim, fresh);
        }
        KeyMessage::Settle {
            service,
            key,
            id,
            outcome,
        } => {
            let settled = KeyOutcome {
                service,
                key,
                id,
                outcome,
                window: KEY_WINDOW,
            };
            owner.settle(now, settled, fresh);
        }
        KeyMessage::Verdict { .. } => {}
    }
}

fn announcement(service: &str, slots: u32) -> BackendAnnouncement {
    BackendAnnouncement {
        name: format!("backend-{service}").into(),
        service: service.into(),
        address: ([127, 0, 0, 1], 1).into(),
        slots,
        connections: 64,
        leaving: false,
    }
}

/// The body of a request, which contains the index of the attempt.
pub(super) fn body(attempt_index: usize) -> Vec<u8> {
    (attempt_index as u64).to_le_bytes().to_vec()
}

fn read_attempt(body: &[u8]) -> usize {
    u64::from_le_bytes(body.try_into().expect("a body has 8 bytes")) as usize
}

/// The answer to a ticket, which depends only on the ticket.
pub(super) fn done(ticket: usize) -> Outcome {
    let body = vec![ticket as u8; 50 + ticket % 50];
    Outcome::Done {
        status: 200,
        length: body.len() as u64,
        body,
    }
}
