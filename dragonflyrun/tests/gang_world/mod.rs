//! A small event loop that runs the product's tables of entries and agents against a fake log,
//! fake workers and a network that delays, drops, doubles and holds messages.
//!
//! Each test file uses a part of it, and none is a library.
#![allow(dead_code, unreachable_pub)]

pub mod checks;
pub mod node;
pub mod worker;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap, HashSet},
    time::Duration,
};

use dragonflyrun::{
    connection::{
        AuthorKey, Edit, GangMessage, JobEnd, LogRecord, Message, RecordBody, Role, WorkerError,
        WorkerLease, WorkerView,
    },
    job::{
        AgentMessage, JobSpec, PARTIAL_BOUND, PlannerAction, Purpose, StartCheck, WorkerCall,
        WorkerOp,
    },
    process::{TickView, state_to_repeat},
    utils::{Name, Timestamp},
    version::{
        ADMINISTRATION, Adjacency, FailureDomain, Limits, RawSection, Section, Urgency, Workspace,
    },
};
use rand::{Rng, SeedableRng, rngs::StdRng};

use checks::Outage;
use node::{Node, RoleTable, SECRET, domain_name};
use worker::{Checkpoints, FakeWorker, Ran};

const DOMAINS: usize = 2;
const WORKER_TIMEOUT: u64 = 1_000;

/// Silence after which the planner removes an entry; far sooner than the product does.
const ENTRY_GONE: u64 = 6_000;

/// What fails, and comes back at the end of its time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// A process is killed; its successor starts at the end.
    Kill(usize),
    /// A process is frozen and goes on at the end.
    Freeze(usize),
    /// A worker's host is lost with its agent.
    KillHost(usize),
    /// A worker's host is frozen with its agent.
    FreezeHost(usize),
    /// Only the worker is frozen.
    FreezeWorker(usize),
    /// A worker fails all it starts.
    BreakWorker(usize),
    /// Messages between two processes are lost, or held until the end.
    Cut(usize, usize, bool),
    /// A process can't reach the log.
    CutLog(usize),
    /// The log refuses everything.
    LogDown,
    /// The log's answers are lost, and appends take effect late or not at all.
    LogLoses,
    /// A failure domain is taken out and returned at the end.
    Drain(usize),
}

#[derive(Clone, Debug)]
enum Event {
    Tick(usize, u64),
    Beat(usize, u64),
    Poll(usize, u64),
    Deliver(usize, u64, Name, Box<Message>),
    /// An agent's thread takes up a call.
    Run(usize, u64, WorkerCall),
    /// It sends the call, with the time to live that it has reckoned.
    Send(usize, u64, u64, Timestamp, WorkerCall, u64),
    Arrive(usize, u64, u64, u64, Timestamp, WorkerCall, u64),
    Answer(usize, u64, u64, Timestamp, WorkerCall, Box<Reply>),
    Append(usize, u64, Vec<(Name, String)>),
    Effect(Vec<(Name, String)>),
    GiveUp(usize, u64, Name),
    Link(usize, usize),
    Fault(Fault),
    Heal(Fault),
    Submit(Name, JobSpec),
    Cancel(Name),
}

#[derive(Clone, Debug)]
enum Reply {
    Look(Result<WorkerView, WorkerError>),
    Lease(Result<WorkerLease, WorkerError>),
    Nothing,
}

pub struct World {
    pub now: u64,
    pub rng: StdRng,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    next_event: u64,
    next_id: u64,
    next_incarnation: u64,
    next_call: u64,
    answered: HashSet<u64>,
    pub entries: usize,
    pub nodes: Vec<Node>,
    pub workers: Vec<FakeWorker>,
    pub log: Vec<LogRecord>,
    pub log_times: Vec<u64>,
    log_down: u32,
    log_loses: u32,
    cuts: HashMap<(usize, usize), u32>,
    held: HashMap<(usize, usize), Vec<Event>>,
    frozen: HashMap<usize, Vec<Event>>,
    last_delivery: HashMap<(usize, usize), u64>,
    out: HashMap<usize, u32>,
    section_version: u64,
    pub outages: Vec<Outage>,
    pub submitted: BTreeMap<Name, JobSpec>,
    pub trace: bool,
    /// Whether some calls and messages are slow, and some answers of workers are lost.
    pub noise: bool,
}

impl World {
    pub fn new(seed: u64, entries: usize, agents: usize) -> Self {
        let checkpoints = Checkpoints::default();
        let workers = (0..agents)
            .map(|i| {
                let name = format!("worker-{i}").into();
                FakeWorker::new(name, i % DOMAINS, 4, checkpoints.clone())
            })
            .collect();
        let mut world = Self {
            now: 1_000,
            rng: StdRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event: 0,
            next_id: 0,
            next_incarnation: 0,
            next_call: 0,
            answered: HashSet::new(),
            entries,
            nodes: Vec::new(),
            workers,
            log: Vec::new(),
            log_times: Vec::new(),
            log_down: 0,
            log_loses: 0,
            cuts: HashMap::new(),
            held: HashMap::new(),
            frozen: HashMap::new(),
            last_delivery: HashMap::new(),
            out: HashMap::new(),
            section_version: 0,
            outages: Vec::new(),
            submitted: BTreeMap::new(),
            trace: std::env::var_os("GANG_TRACE").is_some(),
            noise: true,
        };
        for i in 0..entries {
            let body = RecordBody::EntryJoined {
                entry: format!("entry-{i}").into(),
                address: "127.0.0.1:1".into(),
            };
            world.put("entry-0", &body);
        }
        world.edit();
        for i in 0..entries + agents {
            let node = world.new_node(i);
            world.nodes.push(node);
        }
        for i in 0..entries + agents {
            world.boot(i);
        }
        world
    }

    /// Runs until `until`.
    pub fn run(&mut self, until: u64) {
        while let Some(Reverse((at, number))) = self.queue.peek().copied()
            && at <= until
        {
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.handle(event);
            }
        }
        self.now = until;
        for worker in &mut self.workers {
            worker.look(until);
        }
    }

    pub fn submit(&mut self, at: u64, job: &str, spec: JobSpec) {
        self.submitted.insert(job.into(), spec.clone());
        self.at(at, Event::Submit(job.into(), spec));
    }

    pub fn cancel(&mut self, at: u64, job: &str) {
        self.at(at, Event::Cancel(job.into()));
    }

    pub fn fault(&mut self, at: u64, length: u64, fault: Fault) {
        self.at(at, Event::Fault(fault));
        self.at(at + length, Event::Heal(fault));
    }

    pub fn ran(&self) -> Vec<Ran> {
        self.workers.iter().flat_map(|w| w.ran.clone()).collect()
    }

    /// How a job ended, as the first live entry has it.
    pub fn end(&self, job: &Name) -> Option<JobEnd> {
        let entry = self.nodes[..self.entries].iter().find(|n| n.alive)?;
        entry.ledger.jobs.ended(job)
    }

    pub fn all_ended(&self) -> bool {
        self.submitted.keys().all(|job| self.end(job).is_some())
    }

    /// Runs until all submitted jobs have ended, or until `most`.
    pub fn run_to_end(&mut self, most: u64) {
        while self.now < most && !self.all_ended() {
            self.run(self.now + 100);
        }
    }

    /// What must hold of the records whatever has failed.
    pub fn check_records(&self) {
        let ran = self.ran();
        checks::one_attempt_at_once(&ran, self.now);
        checks::no_start_in_domain_out(&ran, &self.outages);
        let partial = checks::longest_partial(&ran, self.now);
        assert!(
            u128::from(partial) <= PARTIAL_BOUND.as_millis(),
            "a gang ran partially for {partial} ms"
        );
    }

    /// The entries that hold a term, in their own eyes.
    pub fn planners(&self) -> Vec<usize> {
        let holds = |n: &Node| match &n.table {
            RoleTable::Entry(table) => n.alive && table.term().is_some(),
            RoleTable::Agent(_) => false,
        };
        (0..self.entries)
            .filter(|i| holds(&self.nodes[*i]))
            .collect()
    }

    fn new_node(&mut self, i: usize) -> Node {
        self.next_incarnation += 1;
        let (role, name, domain) = if i < self.entries {
            (Role::Entry, format!("entry-{i}"), i % DOMAINS)
        } else {
            let agent = i - self.entries;
            (Role::Agent, format!("worker-{agent}"), agent % DOMAINS)
        };
        Node::new(&name, role, domain, self.next_incarnation, self.now)
    }

    fn boot(&mut self, i: usize) {
        let incarnation = self.nodes[i].incarnation;
        for event in [
            Event::Tick(i, incarnation),
            Event::Beat(i, incarnation),
            Event::Poll(i, incarnation),
        ] {
            let delay = self.rng.random_range(1..100);
            self.after(delay, event);
        }
        for peer in 0..self.nodes.len() {
            if peer != i && (i < self.entries || peer < self.entries) {
                let delay = self.rng.random_range(20..400);
                self.after(delay, Event::Link(i, peer));
            }
        }
    }

    fn at(&mut self, at: u64, event: Event) {
        self.next_event += 1;
        self.queue.push(Reverse((at, self.next_event)));
        self.events.insert(self.next_event, event);
    }

    fn after(&mut self, delay: u64, event: Event) {
        self.at(self.now + delay, event);
    }

    /// The process that an event needs running; events of a frozen one wait until it goes on.
    fn owner(event: &Event) -> Option<(usize, u64)> {
        match event {
            Event::Tick(i, n) | Event::Beat(i, n) | Event::Poll(i, n) => Some((*i, *n)),
            Event::Deliver(i, n, ..) | Event::Run(i, n, ..) | Event::Send(i, n, ..) => {
                Some((*i, *n))
            }
            Event::Answer(i, n, ..) | Event::Append(i, n, ..) | Event::GiveUp(i, n, ..) => {
                Some((*i, *n))
            }
            _ => None,
        }
    }

    fn handle(&mut self, event: Event) {
        if let Some((i, incarnation)) = Self::owner(&event) {
            let node = &self.nodes[i];
            if !node.alive || node.incarnation != incarnation {
                return;
            }
            if node.frozen {
                self.frozen.entry(i).or_default().push(event);
                return;
            }
        }
        match event {
            Event::Tick(i, n) => {
                self.after(100, Event::Tick(i, n));
                self.tick(i);
            }
            Event::Beat(i, n) => {
                self.after(50, Event::Beat(i, n));
                self.beat(i);
            }
            Event::Poll(i, n) => {
                self.after(100, Event::Poll(i, n));
                let down = self.log_down > 0;
                self.nodes[i].read_log(self.now, &self.log, down);
            }
            Event::Deliver(i, _, from, message) => self.receive(i, &from, *message),
            Event::Run(i, n, call) => self.run_call(i, n, call),
            Event::Send(i, n, id, asked, call, ttl) => {
                let delay = self.worker_delay();
                self.after(
                    WORKER_TIMEOUT,
                    Event::Answer(i, n, id, asked, call.clone(), Box::new(lost(&call))),
                );
                let epoch = self.workers[i - self.entries].epoch;
                self.after(delay, Event::Arrive(i, n, epoch, id, asked, call, ttl));
            }
            Event::Arrive(i, n, epoch, id, asked, call, ttl) => {
                let w = i - self.entries;
                if self.workers[w].frozen && self.workers[w].epoch == epoch {
                    let again = Event::Arrive(i, n, epoch, id, asked, call, ttl);
                    self.frozen.entry(usize::MAX - w).or_default().push(again);
                    return;
                }
                let reply = self.call(w, epoch, &call, ttl);
                let delay = self.worker_delay();
                if !(self.noise && self.rng.random_ratio(1, 100)) {
                    self.after(delay, Event::Answer(i, n, id, asked, call, Box::new(reply)));
                }
            }
            Event::Answer(i, _, id, asked, call, reply) => {
                if self.answered.insert(id) {
                    self.answer(i, asked, &call, &reply);
                }
            }
            Event::Append(i, n, records) => self.append(i, n, records),
            Event::Effect(records) => {
                for (_, data) in records {
                    self.push(data);
                }
            }
            Event::GiveUp(i, _, id) => {
                if self.nodes[i].pending.remove(&id).is_some() {
                    self.append_failed(i, &id);
                }
            }
            Event::Link(a, b) => self.link(a, b),
            Event::Fault(fault) => self.begin(fault),
            Event::Heal(fault) => self.heal(fault),
            Event::Submit(job, spec) => {
                self.put("entry-0", &RecordBody::JobAccepted { job, spec });
            }
            Event::Cancel(job) => self.put("entry-0", &RecordBody::JobCancelled { job }),
        }
    }

    fn tick(&mut self, i: usize) {
        let fresh = self.nodes[i].is_fresh(self.now);
        let now = self.nodes[i].clock(self.now);
        let node = &mut self.nodes[i];
        let actions = match &mut node.table {
            RoleTable::Agent(_) => {
                self.pump(i);
                return;
            }
            RoleTable::Entry(table) => {
                let view = TickView::read(now, &node.name, fresh, &node.ledger, &node.roster);
                table.tick(now, &view)
            }
        };
        self.keep_list(i, fresh);
        for action in actions {
            match action {
                PlannerAction::Send(notice) => self.notify(i, notice),
                PlannerAction::Append { body, purpose } => self.queue_append(i, &body, purpose),
                PlannerAction::Repeat(item) => {
                    if let Some(body) = state_to_repeat(&self.nodes[i].ledger, &item) {
                        let body = RecordBody::Carried(body);
                        self.queue_append(i, &body, Purpose::Repeat(item));
                    }
                }
            }
        }
    }

    /// Joins the list of entries where this one is not on it, and removes silent ones as planner.
    fn keep_list(&mut self, i: usize, fresh: bool) {
        let now = self.nodes[i].clock(self.now);
        let node = &self.nodes[i];
        let entries = node.ledger.membership.entries();
        if !fresh || node.pending.values().len() > 0 {
            return;
        }
        let body = if !entries.contains_key(&node.name) {
            RecordBody::EntryJoined {
                entry: node.name.clone(),
                address: "127.0.0.1:1".into(),
            }
        } else if node.ledger.membership.planner() == Some(&node.name) {
            let is_gone = |name: &&Name| {
                let peer = node.roster.peer(name);
                let silent = |at| now.since(at) > Duration::from_millis(ENTRY_GONE);
                **name != node.name && peer.is_some_and(|p| silent(p.heard_at))
            };
            let Some(entry) = entries.keys().find(is_gone).cloned() else {
                return;
            };
            RecordBody::EntryLeft { entry }
        } else {
            return;
        };
        self.queue_record(i, &body);
    }

    fn queue_append(&mut self, i: usize, body: &RecordBody, purpose: Purpose) {
        let id = self.queue_record(i, body);
        if let RoleTable::Entry(table) = &mut self.nodes[i].table {
            table.appended(id, purpose);
        }
    }

    fn queue_record(&mut self, i: usize, body: &RecordBody) -> Name {
        if self.trace {
            println!("{} {} appends {body:?}", self.now, self.nodes[i].name);
        }
        self.next_id += 1;
        let node = &mut self.nodes[i];
        let id: Name = format!("{}-{}", node.name, self.next_id).into();
        let data = AuthorKey::derive(SECRET, &node.name).seal(&id, body);
        let incarnation = node.incarnation;
        node.pending.insert(id.clone(), false);
        let delay = self.rng.random_range(2..20);
        self.after(
            delay,
            Event::Append(i, incarnation, vec![(id.clone(), data)]),
        );
        id
    }

    fn append(&mut self, i: usize, incarnation: u64, records: Vec<(Name, String)>) {
        if self.log_down > 0 || self.nodes[i].log_cut {
            for (id, _) in records {
                self.nodes[i].pending.remove(&id);
                self.append_failed(i, &id);
            }
            return;
        }
        if self.log_loses > 0 {
            for (id, _) in &records {
                self.nodes[i].pending.insert(id.clone(), true);
                let now = self.nodes[i].clock(self.now);
                self.nodes[i].freshness.set_append_pending(now, true);
                self.after(8_000, Event::GiveUp(i, incarnation, id.clone()));
            }
            // It takes effect at once, late, or never.
            match self.rng.random_range(0..3) {
                0 => self.after(1, Event::Effect(records)),
                1 => {
                    let delay = self.rng.random_range(1..12_000);
                    self.after(delay, Event::Effect(records));
                }
                _ => {}
            }
            return;
        }
        for (_, data) in records {
            self.push(data);
        }
    }

    fn append_failed(&mut self, i: usize, id: &Name) {
        let now = self.nodes[i].clock(self.now);
        let unsure = self.nodes[i].pending.values().any(|lost| *lost);
        self.nodes[i].freshness.set_append_pending(now, unsure);
        if let RoleTable::Entry(table) = &mut self.nodes[i].table {
            table.append_failed(now, id);
        }
    }

    fn push(&mut self, data: String) {
        let offset = self.log.len() as u64;
        self.log.push(LogRecord { offset, data });
        self.log_times.push(self.now);
    }

    fn put(&mut self, author: &str, body: &RecordBody) {
        if self.trace {
            println!("{} on the log: {body:?}", self.now);
        }
        self.next_id += 1;
        let id: Name = format!("put-{}", self.next_id).into();
        let data = AuthorKey::derive(SECRET, &author.into()).seal(&id, body);
        self.push(data);
    }

    /// Writes the document with the failure domains that are out now.
    fn edit(&mut self) {
        let section = Section {
            owners: vec!["ops".into()],
            workspaces: vec![Workspace {
                name: "murtal".into(),
                guarantees: Vec::new(),
                quota_accelerators: None,
            }],
            failure_domains: (0..DOMAINS)
                .map(|d| FailureDomain {
                    name: domain_name(d),
                    region: None,
                    in_service: self.out.get(&d).copied().unwrap_or(0) == 0,
                })
                .collect(),
            limits: Some(Limits {
                quarantine_ms: 5_000,
                ..Limits::default()
            }),
            ..Section::default()
        };
        let edit = Edit {
            section: ADMINISTRATION.into(),
            base: self.section_version,
            content: Some(RawSection::from(&section)),
        };
        // A version is the offset after its edit.
        self.section_version = self.log.len() as u64 + 1;
        self.put("ops", &RecordBody::Edit(edit));
    }

    fn beat(&mut self, i: usize) {
        for peer in 0..self.nodes.len() {
            if peer == i || (i >= self.entries && peer >= self.entries) {
                continue;
            }
            let name = self.nodes[peer].name.clone();
            let linked = self.nodes[i].roster.peer(&name).is_some_and(|p| p.linked);
            if linked && let Some(heartbeat) = self.nodes[i].heartbeat(self.now, &name) {
                self.send(i, peer, Message::Heartbeat(Box::new(heartbeat)), true);
            }
        }
    }

    fn notify(&mut self, from: usize, notice: AgentMessage) {
        let to = self.nodes.iter().position(|n| n.name == notice.to);
        let Some(to) = to else { return };
        if self.trace && !matches!(notice.message, GangMessage::Renewal { .. }) {
            println!(
                "{} {} to {}: {:?}",
                self.now, self.nodes[from].name, notice.to, notice.message
            );
        }
        let message = Message::Gang(notice.message);
        // A link may break and come back, with the planner's next copy on it overtaking.
        if self.rng.random_ratio(1, 20) {
            self.send(from, to, message.clone(), false);
        }
        self.send(from, to, message, false);
    }

    fn send(&mut self, from: usize, to: usize, message: Message, in_order: bool) {
        let incarnation = self.nodes[to].incarnation;
        let name = self.nodes[from].name.clone();
        let event = Event::Deliver(to, incarnation, name, Box::new(message));
        if let Some(hold) = self.cuts.get(&pair(from, to)) {
            if *hold > 0 {
                self.held.entry(pair(from, to)).or_default().push(event);
            }
            return;
        }
        let slow = self.noise && self.rng.random_ratio(1, 50);
        let most = if slow { 800 } else { 5 };
        let mut at = self.now + self.rng.random_range(1..=most);
        if in_order {
            let last = self.last_delivery.entry((from, to)).or_default();
            at = at.max(*last);
            *last = at;
        }
        self.at(at, event);
    }

    fn receive(&mut self, i: usize, from: &Name, message: Message) {
        let now = self.nodes[i].clock(self.now);
        let node = &mut self.nodes[i];
        let mut notices = Vec::new();
        match (message, &mut node.table) {
            (Message::Heartbeat(heartbeat), table) => {
                node.roster.on_heartbeat(now, from, *heartbeat);
                if let (RoleTable::Entry(table), Some(peer)) = (table, node.roster.peer(from))
                    && peer.peer.role == Role::Agent
                {
                    notices = table.on_heartbeat(now, peer);
                }
            }
            (Message::Gang(message), RoleTable::Agent(members)) => {
                members.on_message(now, message);
                self.pump(i);
            }
            _ => {}
        }
        for notice in notices {
            self.notify(i, notice);
        }
    }

    fn pump(&mut self, i: usize) {
        let now = self.nodes[i].clock(self.now);
        let incarnation = self.nodes[i].incarnation;
        let RoleTable::Agent(members) = &mut self.nodes[i].table else {
            return;
        };
        for call in members.calls(now) {
            let delay = self.rng.random_range(0..2);
            self.after(delay, Event::Run(i, incarnation, call));
        }
    }

    fn run_call(&mut self, i: usize, n: u64, call: WorkerCall) {
        let asked = self.nodes[i].clock(self.now);
        let mut ttl = 0;
        if let WorkerCall::Lease { number, op, .. } = &call {
            match op {
                WorkerOp::Obtain { until, .. } | WorkerOp::Renew { until } => {
                    ttl = WorkerOp::ttl(*until, asked).as_millis() as u64;
                }
                WorkerOp::Start(_) if !self.may_start(i, *number) => return,
                _ => {}
            }
        }
        self.next_call += 1;
        let id = self.next_call;
        // The thread may lose its processor between the decision and the call.
        let delay = self.rng.random_range(0..40);
        self.after(delay, Event::Send(i, n, id, asked, call, ttl));
    }

    fn may_start(&mut self, i: usize, number: u64) -> bool {
        let Some(gate) = self.nodes[i].gate(self.now, number) else {
            return false;
        };
        let now = self.nodes[i].clock(self.now);
        let RoleTable::Agent(members) = &mut self.nodes[i].table else {
            return false;
        };
        members.may_start(now, number, gate) == StartCheck::Start
    }

    fn worker_delay(&mut self) -> u64 {
        let slow = self.noise && self.rng.random_ratio(1, 100);
        self.rng.random_range(1..if slow { 900 } else { 10 })
    }

    fn call(&mut self, w: usize, epoch: u64, call: &WorkerCall, ttl: u64) -> Reply {
        let now = self.now;
        let worker = &mut self.workers[w];
        let refused = || WorkerError::Refused("connection refused".to_owned());
        let reached = worker.alive && worker.epoch == epoch;
        match call {
            WorkerCall::ListLeases if !reached => Reply::Look(Err(refused())),
            WorkerCall::ListLeases => Reply::Look(Ok(worker.view(now))),
            WorkerCall::Remove { lease } => {
                if reached {
                    worker.remove(now, lease);
                }
                Reply::Nothing
            }
            WorkerCall::Lease { .. } if !reached => Reply::Lease(Err(refused())),
            WorkerCall::Lease { lease, op, .. } => Reply::Lease(match op {
                WorkerOp::Obtain { accelerators, .. } => {
                    worker.obtain(now, lease, *accelerators, ttl)
                }
                WorkerOp::Renew { .. } => worker.renew(now, lease, ttl),
                WorkerOp::Start(tasks) => worker.start(now, lease, tasks),
                WorkerOp::Inspect => worker.inspect(now, lease),
                WorkerOp::Stop { checkpoint } => worker.stop(now, lease, *checkpoint),
            }),
        }
    }

    fn answer(&mut self, i: usize, asked: Timestamp, call: &WorkerCall, reply: &Reply) {
        let now = self.nodes[i].clock(self.now);
        let RoleTable::Agent(members) = &mut self.nodes[i].table else {
            return;
        };
        match (call, reply) {
            (_, Reply::Look(view)) => members.on_leases(now, asked, view),
            (WorkerCall::Lease { number, op, .. }, Reply::Lease(answer)) => {
                members.on_answer(now, asked, *number, op, answer);
            }
            _ => {}
        }
    }

    fn link(&mut self, a: usize, b: usize) {
        let both = self.nodes[a].alive && self.nodes[b].alive;
        if !both || self.cuts.contains_key(&pair(a, b)) {
            return;
        }
        let (peer_a, peer_b) = (self.nodes[a].peer(), self.nodes[b].peer());
        self.nodes[a].link_up(self.now, peer_b);
        self.nodes[b].link_up(self.now, peer_a);
    }

    /// Whether each of the two is linked to the process that the other now is.
    fn are_linked(&self, a: usize, b: usize) -> bool {
        let knows = |a: usize, b: usize| {
            let peer = self.nodes[a].roster.peer(&self.nodes[b].name);
            peer.is_some_and(|p| p.linked && p.peer == self.nodes[b].peer())
        };
        knows(a, b) && knows(b, a)
    }

    fn unlink(&mut self, a: usize, b: usize) {
        let (peer_a, peer_b) = (self.nodes[a].peer(), self.nodes[b].peer());
        self.nodes[a].link_down(self.now, &peer_b);
        self.nodes[b].link_down(self.now, &peer_a);
    }

    fn begin(&mut self, fault: Fault) {
        if self.trace {
            println!("{} fault {fault:?}", self.now);
        }
        match fault {
            Fault::Kill(i) => self.kill(i, true),
            Fault::Freeze(i) => self.nodes[i].frozen = true,
            Fault::KillHost(w) => {
                self.workers[w].kill(self.now);
                self.kill(self.entries + w, false);
            }
            Fault::FreezeHost(w) => {
                self.nodes[self.entries + w].frozen = true;
                self.freeze_worker(w);
            }
            Fault::FreezeWorker(w) => self.freeze_worker(w),
            Fault::BreakWorker(w) => self.workers[w].broken = true,
            Fault::Cut(a, b, hold) => {
                self.cuts.entry(pair(a, b)).or_insert(u32::from(hold));
            }
            Fault::CutLog(i) => self.nodes[i].log_cut = true,
            Fault::LogDown => self.log_down += 1,
            Fault::LogLoses => self.log_loses += 1,
            Fault::Drain(d) => {
                *self.out.entry(d).or_default() += 1;
                if self.out[&d] == 1 {
                    self.outages.push(Outage {
                        domain: d,
                        from: self.now,
                        to: u64::MAX,
                    });
                    self.edit();
                }
            }
        }
    }

    fn heal(&mut self, fault: Fault) {
        if self.trace {
            println!("{} healed {fault:?}", self.now);
        }
        match fault {
            Fault::Kill(i) => self.restart(i),
            Fault::Freeze(i) => self.thaw(i),
            Fault::KillHost(w) => {
                self.workers[w].alive = true;
                self.restart(self.entries + w);
            }
            Fault::FreezeHost(w) => {
                self.thaw_worker(w);
                self.thaw(self.entries + w);
            }
            Fault::FreezeWorker(w) => self.thaw_worker(w),
            Fault::BreakWorker(w) => self.workers[w].broken = false,
            Fault::Cut(a, b, _) => {
                self.cuts.remove(&pair(a, b));
                let held = self.held.remove(&pair(a, b)).unwrap_or_default();
                if held.is_empty() || !self.are_linked(a, b) {
                    self.unlink(a, b);
                    self.after(300, Event::Link(a, b));
                }
                for event in held {
                    self.after(1, event);
                }
            }
            Fault::CutLog(i) => self.nodes[i].log_cut = false,
            Fault::LogDown => self.log_down -= 1,
            Fault::LogLoses => self.log_loses -= 1,
            Fault::Drain(d) => {
                *self.out.entry(d).or_default() -= 1;
                if self.out[&d] == 0 {
                    let open = self.outages.iter_mut().rfind(|o| o.domain == d);
                    open.expect("it was taken out").to = self.now;
                    self.edit();
                }
            }
        }
    }

    fn kill(&mut self, i: usize, seen: bool) {
        if !self.nodes[i].alive {
            return;
        }
        for peer in 0..self.nodes.len() {
            // A host that is lost closes no connection.
            if seen && peer != i && self.nodes[peer].alive {
                self.unlink(i, peer);
            }
        }
        self.nodes[i].alive = false;
        self.frozen.remove(&i);
    }

    fn restart(&mut self, i: usize) {
        if !self.nodes[i].alive {
            self.nodes[i] = self.new_node(i);
            self.boot(i);
        }
    }

    fn thaw(&mut self, i: usize) {
        self.nodes[i].frozen = false;
        for event in self.frozen.remove(&i).unwrap_or_default() {
            self.after(1, event);
        }
    }

    fn freeze_worker(&mut self, w: usize) {
        if self.workers[w].alive && !self.workers[w].frozen {
            self.workers[w].freeze(self.now);
        }
    }

    fn thaw_worker(&mut self, w: usize) {
        if self.workers[w].frozen {
            self.workers[w].thaw(self.now);
        }
        for event in self.frozen.remove(&(usize::MAX - w)).unwrap_or_default() {
            self.after(1, event);
        }
    }
}

fn lost(call: &WorkerCall) -> Reply {
    let error = || WorkerError::Uncertain("timeout".to_owned());
    match call {
        WorkerCall::ListLeases => Reply::Look(Err(error())),
        WorkerCall::Lease { .. } => Reply::Lease(Err(error())),
        WorkerCall::Remove { .. } => Reply::Nothing,
    }
}

/// A job of the only workspace that sleeps.
pub fn sleeping(tasks: u32, accelerators: u32, ms: u64) -> JobSpec {
    JobSpec {
        workspace: "murtal".into(),
        urgency: Urgency::Normal,
        tasks,
        accelerators,
        adjacency: Adjacency::Any,
        run_time_ms: ms,
        program: format!("sleep:{ms}").into(),
    }
}

fn pair(a: usize, b: usize) -> (usize, usize) {
    (a.min(b), a.max(b))
}
