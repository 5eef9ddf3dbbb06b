//! Tasks that serve users of their own, and tasks that take what processor time is left over.

mod workload_tables;

use dragonflyrun::{port::EndKind, workload::Step};
use workload_tables::{Bed, task};

/// A task that takes leftovers slows those that serve users beside it, by amounts that change within
/// seconds. They never stand on one worker.
#[test]
fn kept_apart() {
    let mut bed = Bed::new(2);
    bed.submit(
        "serving",
        1,
        vec![Step {
            lasting: true,
            response_ms: 50,
            ..task(1)
        }],
    );
    bed.pass();
    bed.submit(
        "filling",
        2,
        vec![Step {
            tasks: 4,
            leftovers: true,
            ..task(1)
        }],
    );
    bed.pass();
    let (serving, _) = bed.running("serving")[0].clone();
    assert_eq!(bed.running("filling").len(), 4);
    assert!(
        bed.running("filling")
            .iter()
            .all(|(worker, _)| *worker != serving)
    );
}

/// A task that lasts fails or ends now and then. Its users notice each gap, so it starts again
/// however often it failed, and nothing is started in its place.
#[test]
fn lasting_starts_again() {
    let mut bed = Bed::new(1);
    bed.submit(
        "serving",
        1,
        vec![Step {
            lasting: true,
            ..task(8)
        }],
    );
    for _ in 0..5 {
        bed.pass();
        bed.end("serving", EndKind::Failed);
        bed.now_ms += 10_000;
        bed.report_all();
    }
    bed.pass();
    assert_eq!(bed.running("serving").len(), 1);
    assert_eq!(bed.outcome("serving"), None);
    bed.submit_as("sure", "urgent", 0, vec![task(8)]);
    let decisions = bed.pass();
    assert!(decisions.orders.iter().all(|o| o.order.stops.is_empty()));
}
