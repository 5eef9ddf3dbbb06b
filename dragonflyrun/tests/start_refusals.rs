//! Starts that must no longer be sent: what forbids them happens after their order was accepted, while a
//! first attempt waits for a connection or an attempt without an answer is repeated.

mod agent_inputs;

use std::time::{Duration, Instant};

use agent_inputs::{heartbeat, register, run, sender};
use dragonflyrun::{
    port::{Heartbeat, StartOrder, StartOutcome, WorkerLists},
    workload::{AgentAction, AgentTable, Order, StartResult, TaskStart},
};

const SESSION: u64 = 7;

const LEASE: Duration = Duration::from_secs(6);

/// An agent that has accepted a start.
struct Starting {
    table: AgentTable,
    order: StartOrder,
    now: Instant,
}

/// Reads empty lists of the incarnation that was born at this time.
fn read_lists(table: &mut AgentTable, born_ms: u64, now: Instant) {
    let (request, token, ..) = table.request_lists().expect("a session");
    let lists = WorkerLists {
        clock_ms: 1_000,
        born_ms: Some(born_ms),
        ..WorkerLists::default()
    };
    table.lists(request, token, lists, now);
}

impl Starting {
    fn new() -> Self {
        let now = Instant::now();
        let mut table = AgentTable::new(LEASE);
        register(&mut table, &heartbeat(), now);
        assert!(table.begin_session(&sender(&heartbeat()), SESSION, None));
        let start = TaskStart {
            run: run(),
            payload: "text".into(),
            checkpoint: String::new(),
            ticket: None,
        };
        let order = Order {
            starts: vec![start],
            ..Order::default()
        };
        read_lists(&mut table, heartbeat().born_ms, now);
        let mut actions = table.orders(Some(1_000), vec![order], 9, now);
        let Some(AgentAction::Start(order)) = actions.pop() else {
            panic!("a start");
        };
        let mut starting = Self { table, order, now };
        assert_eq!(starting.refusal(), None);
        starting
    }

    fn refusal(&mut self) -> Option<StartOutcome> {
        self.table.start_refusal(&self.order, self.now)
    }

    /// Lets the worker say that it drains.
    fn drain(&mut self) {
        let draining = Heartbeat {
            draining: true,
            sequence: 2,
            ..heartbeat()
        };
        self.table.heartbeat(draining, self.now);
    }

    /// Applies the refusal as the result of the start, and returns whether the planner is told at once.
    fn refuse(&mut self) -> bool {
        let outcome = self.refusal().expect("a refusal");
        let result = StartResult::Answered(outcome);
        self.table.start_result(&run(), SESSION, result)
    }
}

/// Guards against tasks that start on a worker after the agent has acknowledged that it drains. They are lost
/// when it leaves.
#[test]
fn draining_worker() {
    let mut starting = Starting::new();
    starting.drain();
    assert_eq!(starting.refusal(), Some(StartOutcome::Draining));
    assert!(starting.refuse(), "the planner starts it elsewhere");
    let reports = starting.table.reports(0);
    assert_eq!(reports[0].refused[..], [(run(), StartOutcome::Draining)]);
}

/// Guards against a task that runs twice: an attempt without an answer may still be carried out after the
/// start was refused, so the run is stopped before it counts as refused.
#[test]
fn unanswered_attempt() {
    let mut starting = Starting::new();
    let unknown = StartResult::Unknown;
    starting.table.start_result(&run(), SESSION, unknown);
    starting.drain();
    assert!(!starting.refuse());
    let actions = starting.table.pending_actions(true);
    assert!(
        matches!(&actions[..], [AgentAction::Stop(stopped)] if *stopped == run()),
        "{actions:?}"
    );
    let reports = starting.table.reports(0);
    assert!(reports[0].refused.is_empty(), "{reports:?}");
    assert_eq!(reports[0].starting[..], [run()]);
}

/// Guards against a stop that is waited for although no attempt was sent: the planner is told at once.
#[test]
fn attempt_not_sent() {
    let mut starting = Starting::new();
    let not_sent = StartResult::NotSent;
    assert!(!starting.table.start_result(&run(), SESSION, not_sent));
    assert_eq!(starting.table.pending_actions(true).len(), 1);
    starting.drain();
    assert!(starting.refuse());
}

/// Guards against a task that starts although it was ordered to stop while its start waited.
#[test]
fn stopped_run() {
    let mut starting = Starting::new();
    let stop = Order {
        stops: vec![run()],
        ..Order::default()
    };
    let now = starting.now;
    starting.table.orders(Some(1_000), vec![stop], 10, now);
    assert_eq!(starting.refusal(), Some(StartOutcome::Superseded));
}

/// Guards against a task that runs twice, since its session is fenced while its start waited.
#[test]
fn fenced_session() {
    let mut starting = Starting::new();
    starting.table.orders_lost();
    assert_eq!(starting.refusal(), Some(StartOutcome::Fenced));
}

/// Guards against a start that is sent to the next worker of the name.
#[test]
fn superseded_worker() {
    let mut starting = Starting::new();
    read_lists(&mut starting.table, 9, starting.now);
    assert_eq!(starting.refusal(), Some(StartOutcome::OtherLife));
}

/// Guards against a start of an earlier session, whose runs the planner holds for over.
#[test]
fn next_session() {
    let mut starting = Starting::new();
    let began = starting
        .table
        .begin_session(&sender(&heartbeat()), SESSION + 1, None);
    assert!(began);
    assert_eq!(starting.refusal(), Some(StartOutcome::OtherLife));
}

/// Guards against tasks that start in a failure domain long after operators have taken it out of service,
/// because a start without an answer is repeated for as long as a lease lasts.
#[test]
fn outdated_start() {
    let mut starting = Starting::new();
    starting.now += Duration::from_millis(1_900);
    assert_eq!(starting.refusal(), None);
    starting.now += Duration::from_millis(100);
    assert_eq!(starting.refusal(), Some(StartOutcome::Expired));
}

/// Guards against a start whose lease the planner may count as expired, although none was tried before.
#[test]
fn expired_lease() {
    let mut starting = Starting::new();
    starting.order.send_before = starting.now;
    assert_eq!(starting.refusal(), Some(StartOutcome::Expired));
}
