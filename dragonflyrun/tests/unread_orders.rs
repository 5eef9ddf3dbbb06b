//! Agents that report and do not read their orders.

mod workload_tables;

use workload_tables::{Bed, task};

/// Seconds after which the planner has to see that an order was not read: ten times what it takes for
/// the silence of an agent.
const LONGEST_S: u32 = 30;

/// Guards against a job that stands still for ever beside an idle worker: its agent's reports come, its
/// orders are not read, and the run that the plan names there neither begins nor is given up.
#[test]
fn order_never_read() {
    let mut bed = Bed::new(2);
    bed.submit("job", 1, vec![task(8)]);
    let unread = bed.reports.clone();
    let ordered = bed.pass().orders;
    let ordered = ordered.iter().find(|o| !o.order.starts.is_empty());
    let worker = ordered.expect("a start").worker.clone();
    bed.reports = unread;
    let given_up = (0..LONGEST_S).any(|_| {
        bed.wait(1_000);
        let orders = bed.pass().orders;
        let mut here = orders.iter().filter(|o| o.worker == worker);
        here.any(|o| o.order.fence)
    });
    assert!(given_up, "the run is still taken for ordered");
}
