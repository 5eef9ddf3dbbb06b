//! Simulates entries, agents and key owners by running their decision tables on a fake clock. The
//! backend servers are fake and record what they ran; faults are drawn from a seed.

#![allow(dead_code)] // Each test file uses only a part.

mod callers;
mod checks;
mod faults;
mod network;
mod nodes;

use std::{cmp::Reverse, collections::BinaryHeap, sync::Arc};

use dragonflyrun::{
    Name,
    connection::Outcome,
    utils::HashMap,
    version::{Document, Urgency, Version}, //
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

pub(crate) use faults::Faults;
use network::Link;
use nodes::{Node, NodeEvent};

/// Requests of one kind.
#[derive(Clone, Debug)]
pub(crate) struct Class {
    /// The service they are for.
    pub(crate) service: String,
    /// Their urgency.
    pub(crate) urgency: Urgency,
    /// Their deadline after submission.
    pub(crate) deadline_ms: u64,
    /// Their mean run time.
    pub(crate) run_ms: u64,
    /// Their weight in the random choice of a class.
    pub(crate) weight: u32,
    /// Whether they carry a key.
    pub(crate) keyed: bool,
}

/// How one backend server behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Backend {
    /// It runs each request, with the run time multiplied by this factor.
    Runs(f64),
    /// It refuses each connection.
    Refuses,
    /// It runs each request and breaks the connection before the answer is complete.
    Breaks,
}

/// The parameters of a simulation.
#[derive(Clone, Debug)]
pub(crate) struct Setup {
    pub(crate) seed: u64,
    pub(crate) entries: usize,
    pub(crate) slots: u32,
    pub(crate) backends: Vec<Backend>,
    pub(crate) classes: Vec<Class>,
    pub(crate) arrivals_per_s: f64,
    pub(crate) arrivals_until_ms: u64,
    pub(crate) max_attempts: u32,
    pub(crate) choices: usize,
    /// Whether the agents' slots are divided among the entries.
    pub(crate) divided: bool,
    /// The percentage of requests that are directed to the first entry.
    pub(crate) skew: f64,
    pub(crate) faults: Faults,
}

/// One request that a caller sent to one entry.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) ticket: usize,
    pub(crate) number: u32,
    pub(crate) entry: usize,
    pub(crate) submitted: u64,
    pub(crate) deadline: u64,
    /// When and how the entry answered it.
    pub(crate) answer: Option<(u64, Outcome)>,
    /// Whether the entry process was killed before it answered.
    pub(crate) died: bool,
}

/// One piece of work that a caller wants done exactly once.
#[derive(Clone, Debug)]
pub(crate) struct Ticket {
    pub(crate) class: usize,
    pub(crate) arrived: u64,
    pub(crate) attempts: Vec<usize>,
}

/// A run that a backend server recorded.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunRecord {
    pub(crate) ticket: usize,
    pub(crate) attempt_index: usize,
    pub(crate) at: u64,
}

enum Event {
    /// An event for one process. It is delayed while the process is frozen and lost if the process
    /// was replaced.
    Node {
        node: usize,
        generation: u64,
        event: NodeEvent,
    },
    Arrival,
    /// A caller stops waiting for its answer, or may retry.
    CallerWakes {
        attempt_index: usize,
    },
    Fault,
    Thaw,
    LinkUp {
        entry: usize,
        agent: usize,
    },
    LogUp {
        node: usize,
    },
}

struct Scheduled {
    at: u64,
    seq: u64,
    event: Event,
}

/// The simulated system.
pub(crate) struct Sim {
    pub(crate) now: u64,
    pub(crate) setup: Setup,
    pub(crate) tickets: Vec<Ticket>,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) run_records: Vec<RunRecord>,
    pub(crate) retries: u64,
    rng: SmallRng,
    queue: BinaryHeap<Reverse<Scheduled>>,
    seq: u64,
    nodes: Vec<Node>,
    links: HashMap<(usize, usize), Link>,
    version: Arc<Version>,
    /// The owners of keys after each change.
    rings: Vec<Vec<Name>>,
    generations: u64,
}

impl Sim {
    pub(crate) fn new(setup: Setup) -> Self {
        let version = Arc::new(Version::new(1, document(&setup)));
        let mut sim = Self {
            now: 1_000,
            rng: SmallRng::seed_from_u64(setup.seed),
            tickets: Vec::new(),
            attempts: Vec::new(),
            run_records: Vec::new(),
            retries: 0,
            queue: BinaryHeap::new(),
            seq: 0,
            nodes: Vec::new(),
            links: HashMap::default(),
            version,
            rings: Vec::new(),
            generations: 0,
            setup,
        };
        sim.start_nodes();
        let first = sim.now + 5_000;
        sim.schedule(first, Event::Arrival);
        if sim.setup.faults.every_ms > 0 {
            sim.schedule(first, Event::Fault);
        }
        sim
    }

    /// Runs until `end`, or until nothing is left to do.
    pub(crate) fn run_until(&mut self, end: u64) {
        while self.queue.peek().is_some_and(|Reverse(s)| s.at <= end) {
            if let Some(Reverse(next)) = self.queue.pop() {
                self.now = next.at;
                self.handle(next.event);
            }
        }
        self.now = end;
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.seq += 1;
        let seq = self.seq;
        self.queue.push(Reverse(Scheduled { at, seq, event }));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Node {
                node,
                generation,
                event,
            } => self.node_event(node, generation, event),
            Event::Arrival => self.arrive(),
            Event::CallerWakes { attempt_index } => self.caller_wakes(attempt_index),
            Event::Fault => self.inject_fault(),
            Event::Thaw => {}
            Event::LinkUp { entry, agent } => self.link_up(entry, agent),
            Event::LogUp { node } => self.nodes[node].log_reachable = true,
        }
    }

    fn chance(&mut self, percent: f64) -> bool {
        self.rng.random_bool(percent / 100.0)
    }
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.seq) == (other.at, other.seq)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.seq).cmp(&(other.at, other.seq))
    }
}

fn document(setup: &Setup) -> Document {
    // Without faults no key is claimed again.
    let key_window_ms = if setup.faults.every_ms > 0 {
        17_000
    } else {
        120_000
    };
    let services: Vec<serde_json::Value> = setup
        .classes
        .iter()
        .map(|c| {
            serde_json::json!({
                "name": c.service, "urgency": "urgent", "deadline_ms": 60_000,
                "repeatable": !c.keyed, "queue_limit": 256, "key_window_ms": key_window_ms,
            })
        })
        .collect();
    let mut unique: Vec<serde_json::Value> = Vec::new();
    for service in services {
        if !unique.iter().any(|u| u["name"] == service["name"]) {
            unique.push(service);
        }
    }
    serde_json::from_value(serde_json::json!({"sections": {"all": {
        "owners": ["ops"],
        "failure_domains": [{"name": "murau"}],
        "services": unique,
    }}}))
    .expect("the document is valid")
}
