//! Runs that take far longer than expected.

mod workload_tables;

use dragonflyrun::port::EndKind;
use workload_tables::{Harness, task};

/// Run time in milliseconds after which a task with an estimate of 2 s is certainly overdue.
const OVERDUE_MS: u64 = 7_000;

fn stops(harness: &mut Harness) -> usize {
    let decisions = harness.pass();
    decisions.orders.iter().map(|o| o.order.stops.len()).sum()
}

/// Returns a planner with two overdue urgent jobs on its first worker and a second worker, which
/// joined later.
fn two_overdue_jobs() -> Harness {
    let mut harness = Harness::new(1);
    harness.submit("one", 0, vec![task(4)]);
    harness.submit("other", 0, vec![task(4)]);
    harness.pass();
    harness.report_all();
    harness.add_worker("w1", "r0");
    harness.advance(OVERDUE_MS);
    harness
}

/// Guards against urgent jobs that wait as long as their worker is faulty although another one is
/// idle: all tasks on the worker stall, but it reports that it is healthy.
#[test]
fn moved_elsewhere() {
    let mut harness = two_overdue_jobs();
    assert_eq!(stops(&mut harness), 2);
    for job in ["one", "other"] {
        harness.end_runs(job, EndKind::Stopped);
    }
    harness.pass();
    for job in ["one", "other"] {
        let running = harness.running(job);
        assert_eq!(running.len(), 1);
        assert_eq!(&*running[0].0, "w1");
    }
}

/// Guards against long tasks that never complete because they are moved again and again: two of
/// them run on the same worker, and both are overdue.
#[test]
fn moved_once() {
    let mut harness = two_overdue_jobs();
    assert_eq!(stops(&mut harness), 2);
    for job in ["one", "other"] {
        harness.end_runs(job, EndKind::Stopped);
    }
    harness.pass();
    harness.report_all();
    harness.add_worker("w2", "r0");
    harness.advance(OVERDUE_MS);
    assert_eq!(stops(&mut harness), 0);
}

/// Guards against losing the work of a job whose caller's estimate may be wrong: it is the only one
/// that is overdue on its worker.
#[test]
fn single_late_run() {
    let mut harness = Harness::new(1);
    harness.submit("one", 0, vec![task(4)]);
    harness.pass();
    harness.report_all();
    harness.add_worker("w1", "r0");
    harness.advance(OVERDUE_MS);
    assert_eq!(stops(&mut harness), 0);
}

/// Guards against moving overdue work that isn't urgent, which would lose what it has done.
#[test]
fn not_urgent() {
    let mut harness = Harness::new(1);
    harness.submit("one", 1, vec![task(4)]);
    harness.submit("other", 1, vec![task(4)]);
    harness.pass();
    harness.report_all();
    harness.add_worker("w1", "r0");
    harness.advance(OVERDUE_MS);
    assert_eq!(stops(&mut harness), 0);
}
