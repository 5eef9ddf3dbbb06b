//! More than half of all workers are lost permanently.

mod workload_tables;

use workload_tables::{Harness, task};

/// Guards against jobs that stall forever because no lost worker is given up: the hosts of most
/// workers are lost permanently while the others report.
#[test]
fn lost_majority() {
    let mut harness = Harness::new(5);
    for i in 0..5 {
        harness.submit(&format!("job{i}"), 1, vec![task(8)]);
    }
    harness.pass();
    harness.reports.truncate(2);
    let given_up = (0..60).any(|_| {
        harness.advance(1_000);
        harness.pass().orders.iter().any(|o| o.order.fence)
    });
    assert!(
        given_up,
        "three of five workers have been silent for a minute"
    );
}

/// Guards against fencing the sessions of late workers, which would stop everything on them. The
/// store is slow, and workers that left long ago must not count as ones that report.
#[test]
fn departed_not_counted() {
    let mut harness = Harness::new(9);
    for report in harness.reports.iter_mut().take(2) {
        report.closed = true;
    }
    harness.advance(100);
    harness.reports.drain(..2);
    harness.reports.truncate(3);
    for second in 1..=8 {
        harness.advance(1_000);
        let fences = harness.pass().orders.into_iter().filter(|o| o.order.fence);
        assert_eq!(
            fences.count(),
            0,
            "of seven workers four are late, {second} s"
        );
    }
}
