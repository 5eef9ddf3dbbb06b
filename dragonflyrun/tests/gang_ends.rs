//! How the members of a gang end.

mod workload_tables;

use dragonflyrun::{
    port::EndKind,
    workload::{Decisions, Outcome, Step},
};
use workload_tables::{Harness, task};

fn running_gang() -> Harness {
    let mut harness = Harness::new(3);
    let step = Step {
        tasks: 3,
        gang: true,
        ..task(8)
    };
    harness.submit("job", 0, vec![step]);
    harness.pass();
    harness.report_all();
    harness
}

fn stops(decisions: &Decisions) -> usize {
    decisions.orders.iter().map(|o| o.order.stops.len()).sum()
}

/// Ends the first member of the gang, lets only its worker report, and runs a pass.
fn end_first_member(harness: &mut Harness, kind: EndKind) -> Decisions {
    let (worker, run) = harness.running("job")[0].clone();
    harness.end_run(&run, kind);
    harness.report(&worker);
    harness.pass()
}

/// Guards against a needless order and call for each member of a completed gang: its members end
/// together.
#[test]
fn done_gang_not_stopped() {
    let mut harness = running_gang();
    let decisions = end_first_member(&mut harness, EndKind::Done);
    assert_eq!(harness.outcome("job"), Some(Outcome::Completed));
    assert_eq!(stops(&decisions), 0);
}

/// Guards against a run that continues forever after its job has completed and occupies its worker.
#[test]
fn leftover_members_stopped() {
    let mut harness = running_gang();
    end_first_member(&mut harness, EndKind::Done);
    harness.advance(3_000);
    assert_eq!(stops(&harness.pass()), 2);
}

/// Guards against members of a broken gang that wait for the others.
#[test]
fn broken_gang_stopped() {
    let mut harness = running_gang();
    let decisions = end_first_member(&mut harness, EndKind::Failed);
    assert_eq!(stops(&decisions), 2);
}
