//! How an agent handles orders, leases and its worker's lists.

mod agent_inputs;

use std::time::{Duration, Instant};

use agent_inputs::{register, sender};
use dragonflyrun::{
    port::{Heartbeat, RunningTask, StartOutcome, WorkerLists},
    workload::{
        AgentAction, AgentTable, Attention, HeartbeatNews, ListsNews, Order, Report, Resources,
        RunId, StartResult, TaskId, TaskStart,
    },
};

const LEASE_MS: u64 = 6_000;

fn heartbeat(worker: &str, born_ms: u64, sequence: u64) -> Heartbeat {
    Heartbeat {
        worker: worker.into(),
        born_ms,
        address: "10.0.0.1:80".into(),
        service: "svc".into(),
        failure_domain: "north".into(),
        draining: false,
        capacity: Resources::default(),
        labels: Vec::new(),
        rack: None,
        remaining_ms: None,
        sequence,
    }
}

fn run(number: u32) -> RunId {
    RunId {
        task: TaskId {
            job: "job".into(),
            occurrence: 0,
            step: 0,
            index: 0,
        },
        number,
    }
}

fn start_order(number: u32) -> Order {
    Order {
        starts: vec![TaskStart {
            run: run(number),
            payload: "text".into(),
            checkpoint: String::new(),
            ticket: None,
        }],
        ..Order::default()
    }
}

fn lists(clock_ms: u64, running: &[u32]) -> WorkerLists {
    let running = running.iter().map(|number| RunningTask {
        run: run(*number),
        checkpoint: String::new(),
        percent: 100,
    });
    WorkerLists {
        clock_ms,
        born_ms: Some(5),
        running: running.collect(),
        run_ends: Vec::new(),
    }
}

/// Returns the empty lists of the incarnation that was born at that time.
fn lists_of(born_ms: u64) -> WorkerLists {
    WorkerLists {
        born_ms: Some(born_ms),
        ..WorkerLists::default()
    }
}

/// Returns an agent in session 7 that has read its worker's clock at 1,000 ms.
fn agent() -> AgentTable {
    let mut table = AgentTable::new(Duration::from_millis(LEASE_MS));
    begin(&mut table);
    update_lists(&mut table, lists(1_000, &[]));
    table
}

/// Registers the worker and begins session 7.
fn begin(table: &mut AgentTable) {
    let heartbeat = heartbeat("w", 5, 1);
    register(table, &heartbeat, Instant::now());
    assert!(table.begin_session(&sender(&heartbeat), 7, None));
}

fn update_lists(table: &mut AgentTable, lists: WorkerLists) {
    let (requested_at, session, ..) = table.request_lists().expect("a session");
    table.lists(requested_at, session, lists, Instant::now());
}

fn report(table: &mut AgentTable) -> Report {
    table.reports(0).pop().expect("a report")
}

/// Lets the store acknowledge a report.
fn store_report(table: &mut AgentTable) {
    let report = report(table);
    table.report_stored(&report);
}

fn lease(table: &mut AgentTable) -> Option<u64> {
    table.request_lists().expect("a session").3
}

/// Guards against leases that are longer than the store's answer proves. The agent is frozen
/// between the read of its worker's clock and the store's answer; the lease counts from the clock
/// read.
#[test]
fn lease_from_clock_read() {
    let mut table = agent();
    assert_eq!(lease(&mut table), None);
    let clock_read_ms = table.clock_ms();
    store_report(&mut table);
    update_lists(&mut table, lists(9_000, &[]));
    table.orders(clock_read_ms, Vec::new(), 9, Instant::now());
    assert_eq!(lease(&mut table), Some(1_000 + LEASE_MS));
}

/// Guards against tasks that run on after the planner has given up the agent, since it soon starts
/// them elsewhere. From the fence on, the agent extends no lease, stops what is running, and starts
/// nothing.
#[test]
fn fence_ends_session() {
    let mut table = agent();
    table.orders(Some(1_000), vec![start_order(1)], 9, Instant::now());
    table.start_result(&run(1), 7, StartResult::Answered(StartOutcome::Started));
    update_lists(&mut table, lists(1_100, &[1]));
    let fence = Order {
        fence: true,
        ..Order::default()
    };
    let actions = table.orders(Some(1_100), vec![fence, start_order(2)], 11, Instant::now());
    assert!(
        actions.iter().all(|a| matches!(a, AgentAction::Stop(_))),
        "{actions:?}"
    );
    assert_eq!(actions.len(), 1);
    assert_eq!(lease(&mut table), None);
    assert!(!table.is_closed(), "the task may still run");
    table.stop_result(&run(1), 7, &Ok(()));
    update_lists(&mut table, lists(1_300, &[]));
    assert!(table.is_closed());
    assert!(report(&mut table).closed);
}

/// Guards against a task that runs twice. A start call had no answer, and its retry is refused, but
/// the first call may have started the run. If it were reported as refused, the task would be
/// started elsewhere.
#[test]
fn uncertain_start() {
    let mut table = agent();
    table.orders(Some(1_000), vec![start_order(1)], 9, Instant::now());
    table.start_result(&run(1), 7, StartResult::Unknown);
    table.start_result(&run(1), 7, StartResult::Answered(StartOutcome::Expired));
    let reported = report(&mut table);
    assert!(reported.refused.is_empty());
    assert_eq!(reported.starting, vec![run(1)]);
    let pending = table.pending_actions(true);
    assert!(matches!(&pending[..], [AgentAction::Stop(stopped)] if *stopped == run(1)));
}

/// Guards against a task that runs twice after its worker has restarted under the same name: the new
/// incarnation knows neither the run nor the token and would carry out a repeated start. The start is
/// repeated only once the lists show that the worker is the same.
#[test]
fn restart_before_retry() {
    let mut table = agent();
    table.orders(Some(1_000), vec![start_order(1)], 9, Instant::now());
    table.start_result(&run(1), 7, StartResult::Unknown);
    assert!(table.pending_actions(false).is_empty());
    let (request, session, ..) = table.request_lists().expect("a session");
    let restarted = table.lists(request, session, lists_of(9), Instant::now());
    assert_eq!(restarted, ListsNews::Ignored);
    let (request, session, ..) = table.request_lists().expect("a session");
    let same = table.lists(request, session, lists_of(5), Instant::now());
    assert_eq!(same, ListsNews::Applied);
    assert_eq!(table.pending_actions(true).len(), 1);
}

/// Guards against a task that runs twice because an agent that was frozen sends a start seconds after
/// it has read the order. Its worker may have restarted under its name and accept the old lease, while
/// the planner has waited the lease out and started the task elsewhere.
#[test]
fn start_in_time() {
    let mut table = agent();
    let sent_at = Instant::now();
    let actions = table.orders(Some(1_000), vec![start_order(1)], 9, sent_at);
    let [AgentAction::Start(order)] = &actions[..] else {
        panic!("a start");
    };
    assert_eq!(order.send_before, sent_at + Duration::from_millis(LEASE_MS));
}

/// Guards against an agent that looks idle and refuses every start: another incarnation answers at its
/// worker's name, whose heartbeats haven't arrived.
#[test]
fn superseded_worker() {
    let mut table = agent();
    assert!(!report(&mut table).unreachable);
    update_lists(&mut table, lists_of(9));
    assert!(report(&mut table).unreachable);
    let (request, session, ..) = table.request_lists().expect("a session");
    let same = table.lists(request, session, lists_of(5), Instant::now());
    assert_eq!(same, ListsNews::Urgent, "the planner can use it again");
    assert!(!report(&mut table).unreachable);
}

/// Guards against an agent that looks idle to a new planner and refuses every start: its session is
/// fenced, and the worker doesn't answer the stop of its last run.
#[test]
fn fenced_agent() {
    let mut table = agent();
    table.orders(Some(1_000), vec![start_order(1)], 9, Instant::now());
    table.orders_lost();
    assert!(!table.is_closed());
    assert!(report(&mut table).unreachable);
    table.stop_result(&run(1), 7, &Ok(()));
    update_lists(&mut table, lists(1_300, &[]));
    assert!(report(&mut table).closed);
}

#[test]
fn refusal_reported() {
    let mut table = agent();
    table.orders(Some(1_000), vec![start_order(1)], 9, Instant::now());
    assert!(table.start_result(&run(1), 7, StartResult::Answered(StartOutcome::NoRoom)));
    let reported = report(&mut table);
    assert_eq!(reported.refused, vec![(run(1), StartOutcome::NoRoom)]);
    assert!(reported.starting.is_empty());
}

/// Guards against lists that arrive out of order on two connections: one from before a start would
/// deny the run that exists.
#[test]
fn reordered_lists() {
    let mut table = agent();
    let (early_request, session, ..) = table.request_lists().expect("a session");
    table.orders(Some(1_000), vec![start_order(1)], 9, Instant::now());
    table.start_result(&run(1), 7, StartResult::Answered(StartOutcome::Started));
    table.lists(early_request, session, lists(1_010, &[]), Instant::now());
    assert_eq!(
        report(&mut table).starting,
        vec![run(1)],
        "the lists were requested before the start"
    );
    update_lists(&mut table, lists(1_050, &[1]));
    table.lists(early_request, session, lists(1_010, &[]), Instant::now());
    assert_eq!(report(&mut table).running.len(), 1);
}

/// Guards against a delayed heartbeat of the previous incarnation that arrives after one of the
/// current incarnation.
#[test]
fn late_heartbeat() {
    let mut table = agent();
    let now = Instant::now();
    let successor = heartbeat("w", 9, 1);
    register(&mut table, &successor, now);
    let late = heartbeat("w", 5, 80);
    table.heartbeat(late.clone(), now);
    let answer = Ok(lists_of(9));
    assert!(!table.candidate_answered(&sender(&late), &answer, now));
    assert_eq!(table.worker(), Some(sender(&successor)));
    assert!(table.candidates(now).is_empty(), "it is not asked again");
}

/// Guards against giving up a worker that still runs its tasks. It has crashed if it neither
/// accepts connections nor sends heartbeats; with one of the two alone it may be cut off or
/// overloaded.
#[test]
fn dead_worker() {
    let mut table = agent();
    let start = Instant::now();
    table.heartbeat(heartbeat("w", 5, 2), start);
    let later = start + Duration::from_secs(4);
    table.unreachable(true, start + Duration::from_millis(500));
    assert!(!table.is_closed());
    table.unreachable(false, later);
    assert!(!table.is_closed());
    table.unreachable(true, later);
    assert!(table.is_closed());
    assert!(report(&mut table).closed);
    table.forget_departed();
    assert_eq!(table.worker(), None);
}

/// Guards against starts on a worker that has announced its departure, also of orders given at the
/// same moment.
#[test]
fn leaving_worker() {
    let mut table = agent();
    let leaving = Heartbeat {
        draining: true,
        ..heartbeat("w", 5, 3)
    };
    let news = table.heartbeat(leaving, Instant::now());
    assert_eq!(news, HeartbeatNews::Changed);
    assert!(
        table
            .orders(Some(1_000), vec![start_order(1)], 9, Instant::now())
            .is_empty()
    );
    assert_eq!(
        report(&mut table).refused,
        vec![(run(1), StartOutcome::Draining)]
    );
}

/// Guards against a delayed first report. The agent of a worker that has just started opens a
/// session; until the planner learns of it, nothing starts there, and what its predecessor ran
/// counts as running.
#[test]
fn first_lists_reported() {
    let mut table = AgentTable::new(Duration::from_secs(6));
    begin(&mut table);
    let (requested_at, token, ..) = table.request_lists().expect("a session");
    let news = table.lists(requested_at, token, lists(1_000, &[]), Instant::now());
    assert_eq!(news, ListsNews::Urgent);
    let (requested_at, token, ..) = table.request_lists().expect("a session");
    let news = table.lists(requested_at, token, lists(1_010, &[]), Instant::now());
    assert_eq!(news, ListsNews::Applied);
}

/// Guards against a healthy worker that counts as unreachable, and so gets no tasks, because a
/// single answer was lost. Only two unanswered list requests in a row prove anything.
#[test]
fn lost_list_answer() {
    let mut table = agent();
    let now = Instant::now();
    assert!(!table.unreachable(false, now));
    assert!(!report(&mut table).unreachable);
    update_lists(&mut table, lists(1_100, &[]));
    assert!(
        !table.unreachable(false, now),
        "only failures in a row count"
    );
    assert!(table.unreachable(false, now));
    assert!(report(&mut table).unreachable);
}

/// Returns the lists of a worker on which a run has stored the given number of checkpoints.
fn lists_with_checkpoints(clock_ms: u64, checkpoints: u64) -> WorkerLists {
    let mut lists = lists(clock_ms, &[1]);
    lists.running[0].checkpoint = checkpoints.to_string();
    lists
}

/// Guards against urgent gangs on slow workers. A run stores a checkpoint after each 500 ms of
/// work, and its worker takes 650 ms for that; the agent reports both numbers, so that the planner
/// can avoid the worker.
#[test]
fn pace_reported() {
    let mut table = AgentTable::new(Duration::from_millis(LEASE_MS))
        .with_checkpoints(Duration::from_millis(500));
    begin(&mut table);
    for update in 0..40 {
        let clock_ms = 1_000 + update * 130;
        update_lists(
            &mut table,
            lists_with_checkpoints(clock_ms, (clock_ms - 1_000) / 650),
        );
    }
    let pace = report(&mut table).paces.pop().expect("a pace");
    assert_eq!((pace.intervals, pace.took_ms), (6, 3_900));
}

/// Guards against a worker that appears twice as slow as it is. List requests were unanswered for
/// longer than two checkpoints take, which would count as one.
#[test]
fn missed_checkpoints() {
    let mut table = AgentTable::new(Duration::from_millis(LEASE_MS))
        .with_checkpoints(Duration::from_millis(500));
    begin(&mut table);
    for clock_ms in [1_000, 1_400, 1_800, 2_200, 2_600, 3_800, 4_200] {
        update_lists(&mut table, lists_with_checkpoints(clock_ms, clock_ms / 500));
    }
    assert!(report(&mut table).paces.is_empty());
}

/// Guards against tasks that stall for seconds after their worker has left as announced: that needs
/// no missing heartbeat as proof.
#[test]
fn announced_departure() {
    let mut table = agent();
    let announced_at = Instant::now();
    let leaving = Heartbeat {
        draining: true,
        remaining_ms: Some(500),
        ..heartbeat("w", 5, 2)
    };
    let news = table.heartbeat(leaving, announced_at);
    assert_eq!(news, HeartbeatNews::Changed);
    table.unreachable(true, announced_at + Duration::from_millis(400));
    assert!(
        !report(&mut table).closed,
        "it had announced to stay longer"
    );
    table.unreachable(false, announced_at + Duration::from_millis(600));
    assert!(
        !report(&mut table).closed,
        "its address accepts connections"
    );
    assert!(table.unreachable(true, announced_at + Duration::from_millis(700)));
    assert!(report(&mut table).closed);
}

fn draining(sequence: u64) -> Heartbeat {
    Heartbeat {
        draining: true,
        remaining_ms: Some(60_000),
        ..heartbeat("w", 5, sequence)
    }
}

/// Guards against tasks that run twice because a worker that has left is paused for a moment: its
/// calls have no answer, while its runs go on. Only an address that refuses connections shows that
/// it has ended.
#[test]
fn left_and_paused() {
    let mut table = agent();
    let now = Instant::now();
    table.heartbeat(draining(2), now);
    assert!(table.leave("w", Some(5)));
    for _ in 0..3 {
        table.unreachable(false, now);
        assert!(!table.is_closed());
    }
    assert!(table.unreachable(true, now));
    assert!(report(&mut table).closed);
}

/// Guards against a live worker that gets no tasks, or counts as ended, after a late message that its
/// earlier incarnation has left, or one of another writer.
#[test]
fn foreign_leave() {
    let mut table = agent();
    let now = Instant::now();
    assert!(!table.leave("w", None), "it isn't draining");
    table.heartbeat(draining(2), now);
    assert!(
        !table.leave("w", Some(4)),
        "it is of an earlier incarnation"
    );
    assert!(!table.leave("other", None));
    assert!(table.leave("w", None));
    table.heartbeat(heartbeat("w", 5, 3), now);
    table.unreachable(true, now);
    assert!(!report(&mut table).left, "it goes on");
    assert!(!table.is_closed());
}

/// Guards against an agent that goes on reporting seldom although work was sent to it, or although a
/// new planner does not know that it was released.
#[test]
fn released_until_work() {
    let release = Order {
        attention: Some(Attention::Seldom),
        ..Order::default()
    };
    let mut table = agent();
    table.orders(Some(1_000), vec![release.clone()], 9, Instant::now());
    assert!(table.take_report_due(), "the planner asks for a report");
    assert_eq!(report(&mut table).attention, Attention::Seldom);
    table.orders(Some(1_000), vec![start_order(1)], 10, Instant::now());
    assert_eq!(report(&mut table).attention, Attention::Close);
    table.orders(Some(1_000), vec![release], 11, Instant::now());
    let worker = table.worker().expect("a worker");
    assert!(table.begin_session(&worker, 12, None));
    assert_eq!(table.attention(), Attention::Close);
}

/// Guards against a gang that waits for the next regular report of an agent that has refused a member,
/// up to 0.9 s later.
#[test]
fn refusal_reported_at_once() {
    let mut table = agent();
    table.orders(Some(1_000), vec![start_order(1)], 9, Instant::now());
    assert!(!table.take_report_due());
    table.heartbeat(draining(2), Instant::now());
    assert!(table.leave("w", None));
    table.orders(Some(1_000), vec![start_order(2)], 10, Instant::now());
    assert!(table.take_report_due());
    assert!(!table.take_report_due(), "it is reported once");
}
