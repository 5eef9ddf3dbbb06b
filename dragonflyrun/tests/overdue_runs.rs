//! Runs that take far longer than they should.

mod workload_tables;

use dragonflyrun::port::EndKind;
use workload_tables::{Bed, task};

/// Milliseconds after which a task that is guessed to take 2 s is overdue for certain.
const LATE_MS: u64 = 7_000;

fn stops(bed: &mut Bed) -> usize {
    let decisions = bed.pass();
    decisions.orders.iter().map(|o| o.order.stops.len()).sum()
}

/// Returns a planner whose only worker runs two urgent jobs, and a second worker that comes after.
fn two_late_jobs() -> Bed {
    let mut bed = Bed::new(1);
    bed.submit("one", 0, vec![task(4)]);
    bed.submit("other", 0, vec![task(4)]);
    bed.pass();
    bed.report_all();
    bed.add_worker("w1", "r0");
    bed.wait(LATE_MS);
    bed
}

/// All tasks on a worker stand still, though it says that it is well. A clerk would wait for as long as
/// the worker is sick, while another one stands idle.
#[test]
fn moved_elsewhere() {
    let mut bed = two_late_jobs();
    assert_eq!(stops(&mut bed), 2);
    for job in ["one", "other"] {
        bed.end(job, EndKind::Stopped);
    }
    bed.pass();
    for job in ["one", "other"] {
        let running = bed.running(job);
        assert_eq!(running.len(), 1);
        assert_eq!(&*running[0].0, "w1");
    }
}

/// A task is long itself, and so is another beside it. Stopped over and over neither would ever come to
/// its end.
#[test]
fn moved_once() {
    let mut bed = two_late_jobs();
    assert_eq!(stops(&mut bed), 2);
    for job in ["one", "other"] {
        bed.end(job, EndKind::Stopped);
    }
    bed.pass();
    bed.report_all();
    bed.add_worker("w2", "r0");
    bed.wait(LATE_MS);
    assert_eq!(stops(&mut bed), 0);
}

/// One job alone is late on its worker: its caller's guess may have been wrong, and its work must not
/// be thrown away for that.
#[test]
fn single_late_run() {
    let mut bed = Bed::new(1);
    bed.submit("one", 0, vec![task(4)]);
    bed.pass();
    bed.report_all();
    bed.add_worker("w1", "r0");
    bed.wait(LATE_MS);
    assert_eq!(stops(&mut bed), 0);
}

/// Work that is not urgent is late: it goes on, since a move throws away what it has done.
#[test]
fn not_urgent() {
    let mut bed = Bed::new(1);
    bed.submit("one", 1, vec![task(4)]);
    bed.submit("other", 1, vec![task(4)]);
    bed.pass();
    bed.report_all();
    bed.add_worker("w1", "r0");
    bed.wait(LATE_MS);
    assert_eq!(stops(&mut bed), 0);
}
