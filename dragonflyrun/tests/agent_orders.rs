//! What an agent does with orders, leases and its worker's lists.

use std::time::{Duration, Instant};

use dragonflyrun::{
    port::{Heartbeat, RunningTask, StartOutcome, WorkerLists},
    workload::{
        AgentAction, AgentTable, Order, Report, Resources, RunId, StartResult, TaskId, TaskStart,
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
        ends: Vec::new(),
    }
}

/// Returns an agent in session 7 that has looked at its worker's clock at 1,000 ms.
fn agent() -> AgentTable {
    let mut table = AgentTable::new(Duration::from_millis(LEASE_MS));
    assert!(table.heartbeat(heartbeat("w", 5, 1), Instant::now()));
    assert!(table.begin_session("w", 5, 7));
    update_lists(&mut table, lists(1_000, &[]));
    table
}

fn update_lists(table: &mut AgentTable, lists: WorkerLists) {
    let (requested_at, session, ..) = table.request_lists().expect("a session");
    table.lists(requested_at, session, lists);
}

fn report(table: &mut AgentTable) -> Report {
    table.reports(0).pop().expect("a report")
}

fn lease(table: &mut AgentTable) -> Option<u64> {
    table.request_lists().expect("a session").3
}

/// An agent is frozen between its look at the worker's clock and the answer of the store. The lease
/// counts from the look, so it never reaches beyond what the store's answer proves.
#[test]
fn lease_from_clock_read() {
    let mut table = agent();
    assert_eq!(lease(&mut table), None);
    let clock_read_ms = table.clock_ms();
    update_lists(&mut table, lists(9_000, &[]));
    table.orders(clock_read_ms, Vec::new(), 9);
    assert_eq!(lease(&mut table), Some(1_000 + LEASE_MS));
}

/// The planner has given the agent up and starts its tasks elsewhere soon. From the fence on the
/// agent extends no lease, stops what runs, and starts nothing more.
#[test]
fn fence_ends_session() {
    let mut table = agent();
    table.orders(Some(1_000), vec![start_order(1)], 9);
    table.start_result(&run(1), 7, StartResult::Answered(StartOutcome::Started));
    update_lists(&mut table, lists(1_100, &[1]));
    let fence = Order {
        fence: true,
        ..Order::default()
    };
    let actions = table.orders(Some(1_100), vec![fence, start_order(2)], 11);
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

/// A start had no answer, and a later try is refused. The first try may have begun the run: taken
/// for refused, the task would start elsewhere while it runs here.
#[test]
fn uncertain_start() {
    let mut table = agent();
    table.orders(Some(1_000), vec![start_order(1)], 9);
    table.start_result(&run(1), 7, StartResult::Unknown);
    table.start_result(&run(1), 7, StartResult::Answered(StartOutcome::Expired));
    let reported = report(&mut table);
    assert!(reported.refused.is_empty());
    assert_eq!(reported.starting, vec![run(1)]);
    let pending = table.pending_actions();
    assert!(matches!(&pending[..], [AgentAction::Stop(stopped)] if *stopped == run(1)));
}

#[test]
fn refusal_reported() {
    let mut table = agent();
    table.orders(Some(1_000), vec![start_order(1)], 9);
    assert!(table.start_result(&run(1), 7, StartResult::Answered(StartOutcome::NoRoom)));
    let reported = report(&mut table);
    assert_eq!(reported.refused, vec![(run(1), StartOutcome::NoRoom)]);
    assert!(reported.starting.is_empty());
}

/// Answers on two connections overtake each other. An older list, from before a start, would deny
/// the run that is there.
#[test]
fn reordered_lists() {
    let mut table = agent();
    let (early_request, session, ..) = table.request_lists().expect("a session");
    table.orders(Some(1_000), vec![start_order(1)], 9);
    table.start_result(&run(1), 7, StartResult::Answered(StartOutcome::Started));
    table.lists(early_request, session, lists(1_010, &[]));
    assert_eq!(
        report(&mut table).starting,
        vec![run(1)],
        "asked for before the start"
    );
    update_lists(&mut table, lists(1_050, &[1]));
    table.lists(early_request, session, lists(1_010, &[]));
    assert_eq!(report(&mut table).running.len(), 1);
}

/// A heartbeat of the last life was held up by the network and comes after the new one.
#[test]
fn late_heartbeat() {
    let mut table = agent();
    let now = Instant::now();
    assert!(table.heartbeat(heartbeat("w", 9, 1), now));
    assert!(!table.heartbeat(heartbeat("w", 5, 80), now));
    assert_eq!(table.worker(), Some(("w".into(), 9)));
}

/// The worker neither listens nor sends heartbeats: it has crashed. One of the two alone may be a
/// worker that is cut off or sheds connections, and still runs its tasks.
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

/// The worker has said that it leaves. What is ordered in that moment is not started there.
#[test]
fn leaving_worker() {
    let mut table = agent();
    let leaving = Heartbeat {
        draining: true,
        ..heartbeat("w", 5, 3)
    };
    assert!(table.heartbeat(leaving, Instant::now()));
    assert!(
        table
            .orders(Some(1_000), vec![start_order(1)], 9)
            .is_empty()
    );
    assert_eq!(
        report(&mut table).refused,
        vec![(run(1), StartOutcome::Draining)]
    );
}

/// A worker has started and its agent has opened a session. The planner must hear of it at once: until
/// then nothing starts there, and what its predecessor ran counts as running.
#[test]
fn first_lists_reported() {
    let mut table = AgentTable::new(Duration::from_secs(6));
    table.heartbeat(heartbeat("w", 5, 1), Instant::now());
    assert!(table.begin_session("w", 5, 7));
    let (requested_at, token, ..) = table.request_lists().expect("a session");
    assert!(table.lists(requested_at, token, lists(1_000, &[])));
    let (requested_at, token, ..) = table.request_lists().expect("a session");
    assert!(!table.lists(requested_at, token, lists(1_010, &[])));
}

/// The answer to one look at the worker is lost on the way. The worker is well, and the planner goes on
/// starting tasks there; only the second look in a row without an answer says otherwise.
#[test]
fn lost_list_answer() {
    let mut table = agent();
    let now = Instant::now();
    assert!(!table.unreachable(false, now));
    assert!(!report(&mut table).unreachable);
    update_lists(&mut table, lists(1_100, &[]));
    assert!(!table.unreachable(false, now), "counted in a row");
    assert!(table.unreachable(false, now));
    assert!(report(&mut table).unreachable);
}

/// Returns the lists of a worker on which a run has saved so many checkpoints.
fn lists_with_checkpoints(clock_ms: u64, checkpoints: u64) -> WorkerLists {
    let mut lists = lists(clock_ms, &[1]);
    lists.running[0].checkpoint = checkpoints.to_string();
    lists
}

/// A run saves a checkpoint after each 500 ms of work, on a worker that takes 650 ms for that. Its
/// agent tells the planner both, so that gangs in a hurry are kept off the worker.
#[test]
fn pace_reported() {
    let mut table = AgentTable::new(Duration::from_millis(LEASE_MS))
        .with_checkpoints(Duration::from_millis(500));
    table.heartbeat(heartbeat("w", 5, 1), Instant::now());
    table.begin_session("w", 5, 7);
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

/// Looks at the worker had no answer for longer than it takes to save two checkpoints. Counted as one,
/// they would make the worker appear twice as slow as it is.
#[test]
fn missed_checkpoints() {
    let mut table = AgentTable::new(Duration::from_millis(LEASE_MS))
        .with_checkpoints(Duration::from_millis(500));
    table.heartbeat(heartbeat("w", 5, 1), Instant::now());
    table.begin_session("w", 5, 7);
    for clock_ms in [1_000, 1_400, 1_800, 2_200, 2_600, 3_800, 4_200] {
        update_lists(&mut table, lists_with_checkpoints(clock_ms, clock_ms / 500));
    }
    assert!(report(&mut table).paces.is_empty());
}

/// Guards against tasks that stand still for seconds after their worker has left as announced: it
/// needs no missing heartbeat to prove that.
#[test]
fn departed_as_announced() {
    let mut table = agent();
    let announced_at = Instant::now();
    let leaving = Heartbeat {
        draining: true,
        remaining_ms: Some(500),
        ..heartbeat("w", 5, 2)
    };
    assert!(table.heartbeat(leaving, announced_at));
    table.unreachable(true, announced_at + Duration::from_millis(400));
    assert!(!report(&mut table).closed, "it was to stay longer");
    table.unreachable(false, announced_at + Duration::from_millis(600));
    assert!(!report(&mut table).closed, "somebody listens there");
    assert!(table.unreachable(true, announced_at + Duration::from_millis(700)));
    assert!(report(&mut table).closed);
}
