//! When a heartbeat makes its sender the agent's worker: only once the sender has answered.

mod agent_inputs;

use std::time::{Duration, Instant};

use agent_inputs::{heartbeat, register, run, sender};
use dragonflyrun::{
    port::{CallError, End, EndKind, Heartbeat, RunningTask, StartOutcome, WorkerLists},
    workload::{AgentTable, HeartbeatNews, ListsNews, Order, Report, Succession, TaskStart},
};

const SESSION: u64 = 7;

/// The lists of an incarnation, with one run if it `runs`.
fn lists(born_ms: u64, runs: bool) -> WorkerLists {
    let running = RunningTask {
        run: run(),
        checkpoint: String::new(),
        percent: 100,
    };
    WorkerLists {
        clock_ms: 1_000,
        born_ms: Some(born_ms),
        running: if runs { vec![running] } else { Vec::new() },
        run_ends: Vec::new(),
    }
}

/// Returns the table of an agent whose worker runs a task.
fn agent(now: Instant) -> AgentTable {
    let mut table = AgentTable::new(Duration::from_secs(6));
    register(&mut table, &heartbeat(), now);
    assert!(table.begin_session(&sender(&heartbeat()), SESSION, None));
    read_lists(&mut table, lists(5, true), now);
    table
}

/// Returns the table of an agent whose worker has listed end 57, which the planner has confirmed.
fn agent_with_end(now: Instant) -> AgentTable {
    let mut table = agent(now);
    let ended = WorkerLists {
        run_ends: vec![End {
            number: 57,
            run: run(),
            kind: EndKind::Done,
            checkpoint: String::new(),
        }],
        ..lists(5, false)
    };
    read_lists(&mut table, ended, now);
    let order = Order {
        confirmed: 57,
        ..Order::default()
    };
    table.orders(Some(1_000), vec![order], 9, now);
    table
}

fn start_order() -> Order {
    let start = TaskStart {
        run: run(),
        payload: "text".into(),
        checkpoint: String::new(),
        ticket: None,
    };
    Order {
        starts: vec![start],
        ..Order::default()
    }
}

fn read_lists(table: &mut AgentTable, lists: WorkerLists, now: Instant) {
    let (request, session, ..) = table.request_lists().expect("a session");
    table.lists(request, session, lists, now);
}

fn other(name: &str, born_ms: u64) -> Heartbeat {
    Heartbeat {
        worker: name.into(),
        born_ms,
        ..heartbeat()
    }
}

fn reports(table: &mut AgentTable) -> Vec<Report> {
    table.reports(0)
}

/// Guards against the end of a live worker's session because of a heartbeat under another name,
/// whatever start it claims. The address answers that this worker isn't there.
#[test]
fn absent_sender() {
    for born_ms in [4, 5, 6] {
        let now = Instant::now();
        let mut table = agent(now);
        let claim = other("other", born_ms);
        assert_eq!(
            table.heartbeat(claim.clone(), now),
            HeartbeatNews::Candidate
        );
        let [report] = &reports(&mut table)[..] else {
            panic!("one report");
        };
        assert_eq!((report.closed, report.running.len()), (false, 1));
        let answer = Err(CallError::OtherLife);
        assert!(!table.candidate_answered(&sender(&claim), &answer, now));
        assert_eq!(table.worker(), Some(sender(&heartbeat())));
        assert!(table.candidates(now).is_empty());
        let newer = Heartbeat {
            sequence: 2,
            draining: true,
            ..heartbeat()
        };
        assert_eq!(table.heartbeat(newer, now), HeartbeatNews::Changed);
    }
}

/// Guards against a successor that isn't served because its host's clock was set back before it
/// started. What its predecessor ran is over.
#[test]
fn earlier_start() {
    let now = Instant::now();
    let mut table = agent(now);
    let successor = other("successor", 4);
    register(&mut table, &successor, now);
    assert_eq!(table.worker(), Some(sender(&successor)));
    let [report] = &reports(&mut table)[..] else {
        panic!("the last report of the predecessor");
    };
    assert_eq!(&*report.heartbeat.worker, "w");
    assert!(report.closed);
}

/// Guards against a task that runs twice because a worker that only seemed to have crashed answers again
/// before the last report of its session is stored: its runs go on.
#[test]
fn withdrawn_end() {
    let now = Instant::now();
    let mut table = agent(now);
    assert!(table.unreachable(true, now + Duration::from_secs(3)));
    let unstored = reports(&mut table);
    assert!(unstored.iter().all(|r| r.closed));
    table.forget_departed();
    table.keep_final_reports(unstored);
    assert_eq!(table.worker(), None);
    let newer = Heartbeat {
        sequence: 2,
        ..heartbeat()
    };
    register(&mut table, &newer, now);
    assert!(table.begin_session(&sender(&newer), SESSION + 1, None));
    read_lists(&mut table, lists(5, true), now);
    let told = reports(&mut table);
    let told: Vec<_> = told.iter().map(|r| (r.closed, r.running.len())).collect();
    assert_eq!(told, [(false, 1)]);
}

/// Guards against a fresh agent that takes a late heartbeat of an earlier incarnation for the worker
/// that now has its name. That worker refuses the token of the question, which proves its name only;
/// its lists tell its start.
#[test]
fn same_name() {
    let now = Instant::now();
    let mut table = AgentTable::new(Duration::from_secs(6));
    let late = other("w", 4);
    table.heartbeat(late.clone(), now);
    let refused = Err(CallError::Fenced);
    assert!(table.candidate_answered(&sender(&late), &refused, now));
    assert!(table.begin_session(&sender(&late), SESSION, None));
    read_lists(&mut table, lists(5, true), now);
    assert!(reports(&mut table).is_empty(), "nothing is known of it");
    table.heartbeat(heartbeat(), now);
    assert!(!table.candidate_answered(&sender(&heartbeat()), &refused, now));
    assert_eq!(table.worker(), Some(sender(&late)));
    read_lists(&mut table, lists(5, true), now);
    assert_eq!(table.worker(), Some(sender(&heartbeat())));
}

/// Guards against a successor that is forgotten because its first answers are lost.
#[test]
fn lost_answers() {
    let now = Instant::now();
    let mut table = agent(now);
    let successor = other("successor", 6);
    table.heartbeat(successor.clone(), now);
    for error in [
        CallError::NotListening,
        CallError::NoAnswer("lost".to_owned()),
        CallError::Refused(503),
    ] {
        assert!(!table.candidate_answered(&sender(&successor), &Err(error), now));
        assert_eq!(table.candidates(now), [sender(&successor)]);
    }
    assert!(table.candidate_answered(&sender(&successor), &Ok(lists(6, false)), now));
    assert!(table.candidates(now).is_empty());
}

/// Guards against questions without end about a worker that sends no further heartbeat.
#[test]
fn silent_sender() {
    let now = Instant::now();
    let mut table = agent(now);
    table.heartbeat(other("other", 6), now);
    assert_eq!(table.candidates(now + Duration::from_secs(2)).len(), 1);
    assert!(table.candidates(now + Duration::from_secs(3)).is_empty());
}

/// Guards against memory and questions that grow with the names that other writers invent, and
/// against a successor that gets no turn among them.
#[test]
fn many_names() {
    let now = Instant::now();
    let mut table = agent(now);
    for number in 0..100 {
        table.heartbeat(other(&format!("other-{number}"), 6), now);
    }
    let successor = other("successor", 6);
    table.heartbeat(successor.clone(), now);
    let candidates = table.candidates(now);
    assert_eq!(candidates.len(), 8);
    assert!(candidates.contains(&sender(&successor)));
}

/// Guards against a worker whose runs are reported under the name of its successor. The sessions of
/// two workers may have the same number, and an answer of the one may arrive in the session of the
/// other.
#[test]
fn answer_of_predecessor() {
    let now = Instant::now();
    let mut table = agent(now);
    let (request, session, ..) = table.request_lists().expect("a session");
    let successor = other("successor", 5);
    register(&mut table, &successor, now);
    assert!(table.begin_session(&sender(&successor), SESSION, None));
    let late = table.lists(request, session, lists(5, true), now);
    assert_eq!(late, ListsNews::Ignored);
    read_lists(&mut table, lists(5, false), now);
    let reports = reports(&mut table);
    let report = reports.last().expect("a report of the successor");
    assert_eq!(&*report.heartbeat.worker, "successor");
    assert!(report.running.is_empty());
}

/// Guards against a task that runs twice because its end is confirmed unseen. A worker that has
/// restarted under its name numbers its ends from 1 again, and drops what the session of its
/// predecessor has confirmed.
#[test]
fn ends_of_successor() {
    let now = Instant::now();
    let mut table = agent_with_end(now);
    let confirmed = |table: &mut AgentTable| table.request_lists().expect("a session").2;
    assert_eq!(confirmed(&mut table), 57);
    read_lists(&mut table, lists(5, false), now);
    assert_eq!(confirmed(&mut table), 0, "nothing is left to confirm");
}

/// Guards against starts and leases for a worker that has restarted under its name, from the lists
/// that show it to the session of the new incarnation.
#[test]
fn superseded_session() {
    let now = Instant::now();
    let mut table = agent(now);
    let report = reports(&mut table).pop().expect("a report");
    table.report_stored(&report);
    table.orders(Some(1_000), Vec::new(), 9, now);
    let lease = |table: &mut AgentTable| table.request_lists().expect("a session").3;
    assert!(lease(&mut table).is_some());
    read_lists(&mut table, lists(6, false), now);
    assert!(lease(&mut table).is_none());
    assert!(
        table
            .orders(Some(1_000), vec![start_order()], 10, now)
            .is_empty()
    );
    let refused = &reports(&mut table)[0].refused;
    assert_eq!(refused[..], [(run(), StartOutcome::OtherLife)]);
}

/// Guards against a task that runs twice because its start is sent to the next worker of the name,
/// after the agent has reported that its worker is gone.
#[test]
fn start_after_gone() {
    let now = Instant::now();
    let mut table = agent(now);
    table.unreachable(true, now + Duration::from_secs(3));
    assert!(table.is_closed());
    assert!(!table.may_call(&sender(&heartbeat())));
    assert!(
        table
            .orders(Some(1_000), vec![start_order()], 10, now)
            .is_empty()
    );
}

/// Guards against the same confirmation where the lists had an end, and then a call had no answer.
#[test]
fn confirm_after_refused() {
    let now = Instant::now();
    let mut table = agent_with_end(now);
    table.unreachable(true, now);
    assert_eq!(table.request_lists().expect("a session").2, 0);
}

/// Guards against a place at an address that is out of date: the worker may have been replaced while
/// the store assigned it. It is reported only once the worker has answered in the session.
#[test]
fn place_after_answer() {
    let now = Instant::now();
    let mut table = AgentTable::new(Duration::from_secs(6));
    register(&mut table, &heartbeat(), now);
    let place = Succession {
        address: "w:1".into(),
        number: 4,
    };
    assert!(table.begin_session(&sender(&heartbeat()), SESSION, Some(place.clone())));
    table.unreachable(true, now + Duration::from_secs(3));
    let report = reports(&mut table).pop().expect("a last report");
    assert!(report.closed && report.succession.is_none());
    register(&mut table, &other("next", 5), now);
    assert!(table.begin_session(&sender(&other("next", 5)), SESSION, Some(place.clone())));
    read_lists(&mut table, lists(5, false), now);
    let report = reports(&mut table).pop().expect("a report");
    assert_eq!(report.succession, Some(place));
}

/// Guards against a late place at an address that is out of date: it is reported only once the worker
/// has answered a request that was sent after the store had assigned it, and only in its session.
#[test]
fn late_place_after_answer() {
    let now = Instant::now();
    let mut table = agent(now);
    let id = sender(&heartbeat());
    let place = Succession {
        address: "w:1".into(),
        number: 4,
    };
    assert!(!table.set_succession(&id, SESSION + 1, place.clone()));
    let (request, token, ..) = table.request_lists().expect("a session");
    assert!(table.set_succession(&id, SESSION, place.clone()));
    table.lists(request, token, lists(5, false), now);
    let report = reports(&mut table).pop().expect("a report");
    assert_eq!(report.succession, None);
    let (request, token, ..) = table.request_lists().expect("a session");
    let news = table.lists(request, token, lists(5, false), now);
    assert_eq!(news, ListsNews::Urgent);
    let report = reports(&mut table).pop().expect("a report");
    assert_eq!(report.succession, Some(place));
}

/// Guards against a worker whose own heartbeats count as old after another writer has sent one under
/// its name, for another service and with a high sequence number; and against an agent that keeps what
/// another writer has said first.
#[test]
fn contradicting_heartbeats() {
    let now = Instant::now();
    let mut table = agent(now);
    let claim = Heartbeat {
        service: "unknown".into(),
        sequence: 1_000_000,
        ..heartbeat()
    };
    let own = |sequence| Heartbeat {
        sequence,
        draining: true,
        ..heartbeat()
    };
    assert_eq!(table.heartbeat(claim.clone(), now), HeartbeatNews::None);
    assert_eq!(table.heartbeat(own(2), now), HeartbeatNews::Changed);
    let mut table = AgentTable::new(Duration::from_secs(6));
    register(&mut table, &claim, now);
    let news = [2, 3, 4].map(|sequence| table.heartbeat(own(sequence), now));
    assert_eq!(news[2], HeartbeatNews::Changed);
}
