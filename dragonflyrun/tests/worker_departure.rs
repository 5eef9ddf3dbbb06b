//! Runs on workers that have announced when they leave.

mod workload_tables;

use dragonflyrun::{
    port::EndKind,
    workload::{RunId, Step},
};
use workload_tables::{Harness, task};

/// The notice in milliseconds that the tests' workers give before they leave.
const NOTICE_MS: u64 = 2_000;

/// Returns a task that takes far longer than the notice.
fn long_task(checkpoints: bool) -> Step {
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
        ..long_task(checkpoints)
    }
}

/// Starts a job on the given number of workers and lets it run for a second.
fn start_job(priority: u32, step: Step, workers: usize) -> Harness {
    let mut harness = Harness::new(workers);
    harness.submit("job", priority, vec![step]);
    harness.pass();
    harness.report_all();
    harness.advance(1_000);
    harness
}

fn announce_departure(harness: &mut Harness, worker: &str) {
    harness.change_report(worker, |report| {
        report.heartbeat.draining = true;
        report.heartbeat.remaining_ms = Some(NOTICE_MS);
        report.heartbeat.sequence += 1;
    });
    harness.report(worker);
}

fn stops(harness: &mut Harness) -> Vec<RunId> {
    let orders = harness.pass().orders;
    orders.into_iter().flat_map(|o| o.order.stops).collect()
}

/// Guards against losing the checkpoint that a run has stored since its last report together with
/// its worker.
#[test]
fn checkpointed_before_departure() {
    let mut harness = start_job(2, long_task(true), 1);
    announce_departure(&mut harness, "w0");
    assert!(stops(&mut harness).is_empty(), "it may go on there for now");
    harness.advance(NOTICE_MS - 800);
    assert_eq!(stops(&mut harness).len(), 1);
}

/// Guards against work that stalls from the loss of its worker on although others are idle.
#[test]
fn moved_at_notice() {
    let mut harness = start_job(2, long_task(true), 2);
    let (worker, run) = harness.running("job")[0].clone();
    announce_departure(&mut harness, &worker);
    assert_eq!(stops(&mut harness), [run]);
    harness.end_runs("job", EndKind::Stopped);
    harness.pass();
    assert_ne!(harness.running("job")[0].0, worker);
}

/// Guards against an urgent gang that restarts only after one of its workers is lost and it breaks.
#[test]
fn urgent_gang_moves() {
    let mut harness = start_job(0, gang(false), 4);
    let (worker, _) = harness.running("job")[0].clone();
    announce_departure(&mut harness, &worker);
    assert_eq!(stops(&mut harness).len(), 2, "a gang moves as a whole");
}

/// Guards against stopping work that would complete before its worker leaves.
#[test]
fn ends_in_time() {
    let step = Step {
        estimate_ms: 2_500,
        ..long_task(true)
    };
    let mut harness = start_job(0, step, 2);
    let (worker, _) = harness.running("job")[0].clone();
    announce_departure(&mut harness, &worker);
    assert!(stops(&mut harness).is_empty());
}

/// Guards against stopping patient work that stores no checkpoints: its worker may stay longer than
/// announced.
#[test]
fn unsaved_work_stays() {
    let mut harness = start_job(2, long_task(false), 2);
    let (worker, _) = harness.running("job")[0].clone();
    announce_departure(&mut harness, &worker);
    harness.advance(NOTICE_MS);
    assert!(stops(&mut harness).is_empty());
}

/// Guards against stopping more runs than fit into the free room elsewhere.
#[test]
fn room_counted_once() {
    let mut harness = Harness::new(2);
    harness.submit("one", 2, vec![long_task(true)]);
    harness.submit("other", 2, vec![long_task(true)]);
    harness.pass();
    harness.report_all();
    harness.advance(1_000);
    harness.add_worker("w2", "r0");
    announce_departure(&mut harness, "w0");
    announce_departure(&mut harness, "w1");
    assert_eq!(stops(&mut harness).len(), 1);
}
