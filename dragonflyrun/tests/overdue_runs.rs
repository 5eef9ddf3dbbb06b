//! Runs that take far longer than they should.

mod workload_tables;

use dragonflyrun::port::EndKind;
use workload_tables::{Harness, task};

/// Milliseconds after which a task that is guessed to take 2 s is overdue for certain.
const OVERDUE_MS: u64 = 7_000;

fn stops(harness: &mut Harness) -> usize {
    let decisions = harness.pass();
    decisions.orders.iter().map(|o| o.order.stops.len()).sum()
}

/// Returns a planner whose only worker runs two urgent jobs, and a second worker that comes after.
fn two_late_jobs() -> Harness {
    let mut harness = Harness::new(1);
    harness.submit("one", 0, vec![task(4)]);
    harness.submit("other", 0, vec![task(4)]);
    harness.pass();
    harness.report_all();
    harness.add_worker("w1", "r0");
    harness.advance(OVERDUE_MS);
    harness
}

/// All tasks on a worker stand still, though it says that it is well. A clerk would wait for as long as
/// the worker is sick, while another one stands idle.
#[test]
fn moved_elsewhere() {
    let mut harness = two_late_jobs();
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

/// A task is long itself, and so is another beside it. Stopped over and over neither would ever come to
/// its end.
#[test]
fn moved_once() {
    let mut harness = two_late_jobs();
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

/// One job alone is late on its worker: its caller's guess may have been wrong, and its work must not
/// be thrown away for that.
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

/// Work that is not urgent is late: it goes on, since a move throws away what it has done.
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
