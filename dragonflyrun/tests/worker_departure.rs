//! What becomes of runs on workers that have said when they leave.

mod workload_tables;

use dragonflyrun::{
    port::EndKind,
    workload::{RunId, Step},
};
use workload_tables::{Bed, task};

/// Milliseconds at which the tests' workers say that they leave.
const NOTICE_MS: u64 = 2_000;

/// A task that takes far longer than the notice.
fn long(checkpoints: bool) -> Step {
    Step {
        estimate_ms: 20_000,
        checkpoints,
        ..task(8)
    }
}

fn gang(checkpoints: bool) -> Step {
    Step {
        tasks: 2,
        gang: true,
        ..long(checkpoints)
    }
}

/// Starts a job on so many workers and lets it run for a second.
fn running(priority: u32, step: Step, workers: usize) -> Bed {
    let mut bed = Bed::new(workers);
    bed.submit("job", priority, vec![step]);
    bed.pass();
    bed.report_all();
    bed.wait(1_000);
    bed
}

fn leave(bed: &mut Bed, worker: &str) {
    bed.change(worker, |report| {
        report.heartbeat.draining = true;
        report.heartbeat.remaining_ms = Some(NOTICE_MS);
        report.heartbeat.sequence += 1;
    });
    bed.report(worker);
}

fn stops(bed: &mut Bed) -> Vec<RunId> {
    let orders = bed.pass().orders;
    orders.into_iter().flat_map(|o| o.order.stops).collect()
}

/// Guards against losing what a run has saved since its last report together with its worker.
#[test]
fn saved_before_loss() {
    let mut bed = running(2, long(true), 1);
    leave(&mut bed, "w0");
    assert!(stops(&mut bed).is_empty(), "it still works there");
    bed.wait(NOTICE_MS - 800);
    assert_eq!(stops(&mut bed).len(), 1);
}

/// Guards against work that stands still from the loss of its worker on, while others are idle.
#[test]
fn moved_at_notice() {
    let mut bed = running(2, long(true), 2);
    let (worker, run) = bed.running("job")[0].clone();
    leave(&mut bed, &worker);
    assert_eq!(stops(&mut bed), [run]);
    bed.end("job", EndKind::Stopped);
    bed.pass();
    assert_ne!(bed.running("job")[0].0, worker);
}

/// Guards against an urgent gang that breaks with one worker and only then begins again.
#[test]
fn urgent_gang_moves() {
    let mut bed = running(0, gang(false), 4);
    let (worker, _) = bed.running("job")[0].clone();
    leave(&mut bed, &worker);
    assert_eq!(stops(&mut bed).len(), 2, "a gang moves as a whole");
}

/// Guards against throwing away work that would be done before its worker leaves.
#[test]
fn ends_in_time() {
    let step = Step {
        estimate_ms: 2_500,
        ..long(true)
    };
    let mut bed = running(0, step, 2);
    let (worker, _) = bed.running("job")[0].clone();
    leave(&mut bed, &worker);
    assert!(stops(&mut bed).is_empty());
}

/// Guards against throwing away patient work that saves nothing: its worker may stay longer than it
/// has said.
#[test]
fn unsaved_work_stays() {
    let mut bed = running(2, long(false), 2);
    let (worker, _) = bed.running("job")[0].clone();
    leave(&mut bed, &worker);
    bed.wait(NOTICE_MS);
    assert!(stops(&mut bed).is_empty());
}

/// Guards against more runs stopped for room elsewhere than that room takes.
#[test]
fn room_counted_once() {
    let mut bed = Bed::new(2);
    bed.submit("one", 2, vec![long(true)]);
    bed.submit("other", 2, vec![long(true)]);
    bed.pass();
    bed.report_all();
    bed.wait(1_000);
    bed.add_worker("w2", "r0");
    leave(&mut bed, "w0");
    leave(&mut bed, "w1");
    assert_eq!(stops(&mut bed).len(), 1);
}
