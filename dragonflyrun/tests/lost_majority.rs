//! More than half of all workers gone for good.

mod workload_tables;

use workload_tables::{Bed, task};

/// Guards against jobs that stand still for ever: the hosts of most workers are lost for good, and while the
/// others report, none of the lost ones is ever given up.
#[test]
fn lost_majority() {
    let mut bed = Bed::new(5);
    for i in 0..5 {
        bed.submit(&format!("job{i}"), 1, vec![task(8)]);
    }
    bed.pass();
    bed.reports.truncate(2);
    let given_up = (0..60).any(|_| {
        bed.wait(1_000);
        bed.pass().orders.iter().any(|o| o.order.fence)
    });
    assert!(
        given_up,
        "three of five workers have been silent for a minute"
    );
}
