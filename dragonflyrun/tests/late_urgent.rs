//! Urgent work that is late, in a full pool.

mod workload_tables;

use dragonflyrun::workload::Step;
use workload_tables::{Harness, task};

/// Returns a full pool to which an urgent gang came `ms` ago, with a guess that allows 1.3 s, while
/// nothing could be started.
fn late_by(ms: u64) -> Harness {
    let mut harness = Harness::new(2);
    let patient = Step {
        tasks: 2,
        checkpoints: true,
        ..task(8)
    };
    harness.submit("patient", 2, vec![patient]);
    harness.pass();
    harness.report_all();
    let urgent = Step {
        tasks: 2,
        gang: true,
        estimate_ms: 100,
        ..task(8)
    };
    harness.submit("urgent", 0, vec![urgent]);
    harness.advance(ms);
    for worker in ["w0", "w1"] {
        harness.change_report(worker, |report| {
            report.running[0].checkpoint = "saved now".to_owned();
        });
    }
    harness
}

fn stops_runs(harness: &mut Harness) -> bool {
    let orders = harness.pass().orders;
    orders.iter().any(|o| !o.order.stops.is_empty())
}

/// Guards against urgent work that is left waiting as soon as its objective is past: callers' guesses are
/// far too short at times, and the work is of use for three times as long.
#[test]
fn late_but_useful() {
    assert!(stops_runs(&mut late_by(2_000)));
}

/// Guards against work that is thrown away for a job that is of no use any more.
#[test]
fn late_useless() {
    assert!(!stops_runs(&mut late_by(5_000)));
}
