//! Which reports make the planner decide before its next regular pass.

mod workload_tables;

use dragonflyrun::{Timestamp, port::EndKind, workload::Report};
use workload_tables::{Harness, task};

const WORKERS: usize = 800;

/// Sends the newest report of a worker again; returns whether it contains news.
fn repeat(harness: &mut Harness, worker: usize, change: impl FnOnce(&mut Report)) -> bool {
    let report = &mut harness.reports[worker];
    report.sequence += 1;
    report.heartbeat.sequence += 1;
    change(report);
    let report = report.clone();
    harness
        .planner
        .apply_report(Timestamp::from_millis(harness.now_ms), report)
}

/// Guards against one pass over all workers for each of their reports: the planner of a large fleet
/// would spend its time on passes that find nothing changed.
#[test]
fn repeated_reports() {
    let mut harness = Harness::new(WORKERS);
    harness.submit("job", 1, vec![task(8)]);
    harness.pass();
    harness.report_all();
    let news = (0..WORKERS).filter(|worker| repeat(&mut harness, *worker, |_| {}));
    assert_eq!(news.count(), 0);
}

/// Guards against ends, lost workers and departures that wait for the next regular pass.
#[test]
fn changes_are_news() {
    let mut harness = Harness::new(4);
    harness.submit("job", 1, vec![task(8)]);
    harness.pass();
    harness.report_all();
    let (worker, run) = harness.running("job").remove(0);
    let number = harness.reports.iter();
    let number = number.map(|r| &r.heartbeat.worker);
    let number = number.clone().position(|w| *w == worker).expect("a worker");
    harness.end_run(&run, EndKind::Done);
    assert!(repeat(&mut harness, number, |_| {}));
    let changes: [fn(&mut Report); 4] = [
        |report| report.heartbeat.draining = true,
        |report| report.unreachable = true,
        |report| report.left = true,
        |report| report.closed = true,
    ];
    let idle = (number + 1) % 4;
    for change in changes {
        assert!(repeat(&mut harness, idle, change));
        assert!(!repeat(&mut harness, idle, |_| {}));
    }
}
