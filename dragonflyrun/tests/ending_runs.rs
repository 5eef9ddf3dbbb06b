//! Urgent work in a full pool in which some runs are about to end.

mod workload_tables;

use dragonflyrun::workload::Progress;
use workload_tables::{Harness, task};

/// Returns how many runs are stopped for an urgent task if a patient run, which occupies the only
/// worker, has `left_ms` left.
fn stopped_for_urgent(left_ms: u64) -> usize {
    let mut harness = Harness::new(1);
    harness.submit("patient", 2, vec![task(8)]);
    harness.pass();
    harness.report_all();
    harness.submit("urgent", 0, vec![task(8)]);
    harness.change_report("w0", |report| {
        report.progress = vec![Progress {
            remaining_ms: Some(left_ms),
            total_ms: 10_000,
        }];
    });
    let orders = harness.pass().orders;
    orders.iter().map(|o| o.order.stops.len()).sum()
}

/// Guards against work that is lost because a run is stopped although its room would be free just
/// as soon by itself.
#[test]
fn ending_awaited() {
    assert_eq!(stopped_for_urgent(100), 0);
}

/// Guards against urgent work that waits for a run with much time left.
#[test]
fn others_stopped() {
    assert_eq!(stopped_for_urgent(5_000), 1);
}

/// Guards against urgent work that waits for a run that should have ended and makes no more
/// progress.
#[test]
fn overrun_stopped() {
    assert_eq!(stopped_for_urgent(0), 1);
}
