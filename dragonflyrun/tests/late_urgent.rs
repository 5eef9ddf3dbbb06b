//! Urgent work in a full pool after its objective has passed.

mod workload_tables;

use dragonflyrun::{port::EndKind, workload::Step};
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

/// Guards against urgent work that waits for others although room made for it lets it meet its
/// objective.
#[test]
fn in_time_with_room() {
    assert!(stops_runs(&mut late_by(700)));
}

/// Guards against work that is discarded for a job that is late anyway. The job takes the room once
/// it is free, and is still of use.
#[test]
fn late_but_useful() {
    let mut harness = late_by(2_000);
    assert!(!stops_runs(&mut harness));
    harness.end_runs("patient", EndKind::Done);
    harness.pass();
    assert_eq!(harness.running("urgent").len(), 2);
}

/// Returns a harness after tasks whose callers all estimated 1 s and that took the given times.
fn after_tasks(took_ms: &[u64]) -> Harness {
    let mut harness = Harness::new(1);
    for (i, ms) in took_ms.iter().enumerate() {
        let name = format!("earlier-{i}");
        let work = Step {
            estimate_ms: 1_000,
            ..task(8)
        };
        harness.submit(&name, 2, vec![work]);
        harness.pass();
        harness.report_all();
        harness.advance(*ms);
        harness.end_runs(&name, EndKind::Done);
    }
    harness
}

/// Returns whether runs are stopped for an urgent task with an estimate of 1 s, and so an objective
/// of 4 s, after it has waited for 3.5 s.
fn stops_runs_after_wait(mut harness: Harness) -> bool {
    let long = Step {
        estimate_ms: 60_000,
        checkpoints: true,
        ..task(8)
    };
    harness.submit("patient", 2, vec![long]);
    harness.pass();
    harness.report_all();
    let urgent = Step {
        estimate_ms: 1_000,
        ..task(8)
    };
    harness.submit("urgent", 0, vec![urgent]);
    harness.advance(3_500);
    harness.change_report("w0", |report| {
        report.running[0].checkpoint = "saved now".to_owned();
    });
    stops_runs(&mut harness)
}

/// Guards against urgent work for which no room is made because its estimate may be too short.
/// Callers' estimates are sometimes far too short, and the work then has more time than it seems.
#[test]
fn rough_estimate() {
    let rough = [500, 2_000, 500, 2_000, 500, 2_000];
    assert!(stops_runs_after_wait(after_tasks(&rough)));
    assert!(!stops_runs_after_wait(after_tasks(&[1_000; 6])));
}

/// Guards against evictions for a job that is no longer useful.
#[test]
fn late_useless() {
    assert!(!stops_runs(&mut late_by(5_000)));
}
