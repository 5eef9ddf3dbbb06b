//! Tasks that serve users, and tasks that use leftover processor time.

mod workload_tables;

use dragonflyrun::{port::EndKind, workload::Step};
use workload_tables::{Harness, task};

/// Guards against slow answers to users: a task that uses leftover time slows the serving tasks
/// beside it by amounts that change within seconds. The two kinds never share a worker.
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

/// Guards against a lasting task that isn't restarted, which its users would notice. It fails or
/// ends occasionally, is restarted regardless of the number of failures, and is never evicted.
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
