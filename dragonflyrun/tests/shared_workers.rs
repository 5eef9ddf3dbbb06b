//! Tasks that serve users of their own, and tasks that take what processor time is left over.

mod workload_tables;

use dragonflyrun::{port::EndKind, workload::Step};
use workload_tables::{Harness, task};

/// A task that takes leftovers slows those that serve users beside it, by amounts that change within
/// seconds. They never stand on one worker.
#[test]
fn serving_kept_apart() {
    let mut harness = Harness::new(2);
    harness.submit(
        "serving",
        1,
        vec![Step {
            lasting: true,
            response_ms: 50,
            ..task(1)
        }],
    );
    harness.pass();
    harness.submit(
        "filling",
        2,
        vec![Step {
            tasks: 4,
            leftovers: true,
            ..task(1)
        }],
    );
    harness.pass();
    let (serving, _) = harness.running("serving")[0].clone();
    assert_eq!(harness.running("filling").len(), 4);
    assert!(
        harness
            .running("filling")
            .iter()
            .all(|(worker, _)| *worker != serving)
    );
}

/// A task that lasts fails or ends now and then. Its users notice each gap, so it starts again
/// however often it failed, and nothing is started in its place.
#[test]
fn lasting_task_restarts() {
    let mut harness = Harness::new(1);
    harness.submit(
        "serving",
        1,
        vec![Step {
            lasting: true,
            ..task(8)
        }],
    );
    for _ in 0..5 {
        harness.pass();
        harness.end_runs("serving", EndKind::Failed);
        harness.now_ms += 10_000;
        harness.report_all();
    }
    harness.pass();
    assert_eq!(harness.running("serving").len(), 1);
    assert_eq!(harness.outcome("serving"), None);
    harness.submit_as("sure", "urgent", 0, vec![task(8)]);
    let decisions = harness.pass();
    assert!(decisions.orders.iter().all(|o| o.order.stops.is_empty()));
}
