//! Urgent work in a full pool after its objective has passed.

mod workload_tables;

use dragonflyrun::workload::Step;
use workload_tables::{Harness, task};

/// Returns a full pool at which an urgent gang arrived `ms` ago that could not be started. The
/// caller's estimate gives it an objective of 1.3 s.
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

/// Guards against urgent work that is no longer preferred as soon as its objective has passed.
/// Callers' estimates are sometimes far too short, and the work stays useful for three times as
/// long.
#[test]
fn late_but_useful() {
    assert!(stops_runs(&mut late_by(2_000)));
}

/// Guards against evictions for a job that is no longer useful.
#[test]
fn late_useless() {
    assert!(!stops_runs(&mut late_by(5_000)));
}
