//! What runs' progress tells of the time that they take.

mod workload_tables;

use std::time::{Duration, Instant};

use dragonflyrun::{
    port::{Heartbeat, RunningTask, WorkerLists},
    workload::{AgentTable, Progress, Resources, RunId, Step, TaskId},
};
use workload_tables::{Bed, task};

fn run() -> RunId {
    RunId {
        task: TaskId {
            job: "job".into(),
            occurrence: 0,
            step: 0,
            index: 0,
        },
        number: 1,
    }
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        worker: "w".into(),
        born_ms: 5,
        address: "w:1".into(),
        service: "svc".into(),
        failure_domain: "d".into(),
        draining: false,
        capacity: Resources::default(),
        labels: Vec::new(),
        rack: None,
        remaining_ms: None,
        sequence: 1,
    }
}

/// Returns what an agent reports that has looked at a run each 400 ms and found it so far done.
fn seen(percents: &[u32]) -> Progress {
    let mut table = AgentTable::new(Duration::from_secs(10));
    assert!(table.heartbeat(heartbeat(), Instant::now()));
    assert!(table.begin_session("w", 5, 7));
    for (look, percent) in (0_u64..).zip(percents) {
        let (asked, session, ..) = table.request_lists().expect("a session");
        let lists = WorkerLists {
            clock_ms: 1_000 + 400 * look,
            born_ms: Some(5),
            running: vec![RunningTask {
                run: run(),
                checkpoint: String::new(),
                percent: *percent,
            }],
            ends: Vec::new(),
        };
        table.lists(asked, session, lists);
    }
    let report = table.reports(0).pop().expect("a report");
    report.progress[0]
}

/// Guards against times that count the wait for a gang's other members, or for a restore.
#[test]
fn pace_told() {
    let progress = seen(&[20, 20, 20, 30, 40]);
    assert_eq!(progress.remaining_ms, Some(2_400));
    assert_eq!(progress.total_ms, 4_000);
}

/// Guards against times told of a run that has not come on, or only by what a look rounds off.
#[test]
fn pace_unknown() {
    assert_eq!(seen(&[0, 0, 0]), Progress::default());
    assert_eq!(seen(&[0, 1, 2]), Progress::default());
    assert_eq!(seen(&[100]), Progress::default());
}

/// Guards against a pace of seconds ago: a worker that turns slow shows in what its runs have left.
#[test]
fn pace_slows() {
    let fast: Vec<u32> = (0..10).map(|look| look * 5).collect();
    let slow: Vec<u32> = (0..10).map(|look| 45 + look).collect();
    let progress = seen(&[fast, slow].concat());
    assert!(progress.remaining_ms > Some(15_000), "{progress:?}");
}

/// Lets a job's run say that it has `left_ms` on a worker that stays for two seconds, and returns
/// whether it is moved.
fn is_moved(guess_ms: u64, left_ms: u64) -> bool {
    let mut bed = Bed::new(2);
    let step = Step {
        estimate_ms: guess_ms,
        checkpoints: true,
        ..task(8)
    };
    bed.submit("job", 2, vec![step]);
    bed.pass();
    bed.report_all();
    let worker = bed.running("job")[0].0.clone();
    bed.change(&worker, |report| {
        report.progress = vec![Progress {
            remaining_ms: Some(left_ms),
            total_ms: 10_000,
        }];
        report.heartbeat.draining = true;
        report.heartbeat.remaining_ms = Some(2_000);
        report.heartbeat.sequence += 1;
    });
    let orders = bed.pass().orders;
    orders.iter().any(|o| !o.order.stops.is_empty())
}

/// Guards against stops of runs that would be done in time, and losses of runs that would not, where the
/// caller's guess is far off.
#[test]
fn guess_replaced() {
    assert!(!is_moved(60_000, 500));
    assert!(is_moved(100, 8_000));
}
