//! How the members of a gang come to their end.

mod workload_tables;

use dragonflyrun::{
    port::EndKind,
    workload::{Decisions, Outcome, Step},
};
use workload_tables::{Bed, task};

fn gang_under_way() -> Bed {
    let mut bed = Bed::new(3);
    let step = Step {
        tasks: 3,
        gang: true,
        ..task(8)
    };
    bed.submit("job", 0, vec![step]);
    bed.pass();
    bed.report_all();
    bed
}

fn stops(decisions: &Decisions) -> usize {
    decisions.orders.iter().map(|o| o.order.stops.len()).sum()
}

/// Ends the first member of the gang and lets only its worker report.
fn first_end(bed: &mut Bed, kind: EndKind) -> Decisions {
    let (worker, run) = bed.running("job")[0].clone();
    bed.end_run(&run, kind);
    bed.report(&worker);
    bed.pass()
}

/// Guards against an order and a call for each member of a gang that is done: they end together.
#[test]
fn done_unstopped() {
    let mut bed = gang_under_way();
    let decisions = first_end(&mut bed, EndKind::Done);
    assert_eq!(bed.outcome("job"), Some(Outcome::Completed));
    assert_eq!(stops(&decisions), 0);
}

/// Guards against a run that goes on for good though its job is done: nobody would free its room.
#[test]
fn leftover_stopped() {
    let mut bed = gang_under_way();
    first_end(&mut bed, EndKind::Done);
    bed.wait(3_000);
    assert_eq!(stops(&bed.pass()), 2);
}

/// Guards against members of a broken gang that wait for the others.
#[test]
fn broken_stopped() {
    let mut bed = gang_under_way();
    let decisions = first_end(&mut bed, EndKind::Failed);
    assert_eq!(stops(&decisions), 2);
}
