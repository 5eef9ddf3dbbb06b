//! Room that is kept ready for urgent work.

mod workload_tables;

use dragonflyrun::{
    port::EndKind,
    workload::{JobRecord, Step},
};
use workload_tables::{Harness, task};

const WORKERS: usize = 10;

/// Hands a gang of so many whole workers in, and a flood of patient tasks, each of one accelerator.
fn submit_patient(harness: &mut Harness, name: &str) {
    let tasks = Step {
        tasks: 8 * WORKERS as u32,
        estimate_ms: 20_000,
        ..task(1)
    };
    harness.submit(name, 2, vec![tasks]);
}

fn urgent(tasks: u32) -> Step {
    Step {
        tasks,
        gang: true,
        ..task(8)
    }
}

/// Urgent gangs come again and again to a pool with more patient work than fits. The first has to
/// wait until others are stopped for it; from then on the room that they take up at their peaks is
/// kept, and the next one starts in the moment in which it comes.
#[test]
fn second_gang_starts() {
    let mut harness = Harness::new(WORKERS);
    submit_patient(&mut harness, "flood");
    harness.pass();
    harness.report_all();
    harness.submit("first", 0, vec![urgent(5)]);
    harness.pass();
    assert!(harness.running("first").is_empty(), "the pool is full");
    harness.end_runs("flood", EndKind::Stopped);
    harness.pass();
    harness.report_all();
    assert_eq!(harness.running("first").len(), 5, "room was made");
    harness.advance(2_000);
    harness.end_runs("first", EndKind::Done);
    harness.pass();
    harness.report_all();
    harness.submit("second", 0, vec![urgent(5)]);
    harness.pass();
    assert_eq!(harness.running("second").len(), 5);
}

/// No urgent work has come for minutes. The room that was kept for it goes back to the patient work,
/// which would otherwise wait beside idle workers for good.
#[test]
fn reservation_released() {
    let mut harness = Harness::new(WORKERS);
    harness.submit("urgent", 0, vec![urgent(6)]);
    harness.pass();
    harness.advance(2_000);
    harness.end_runs("urgent", EndKind::Done);
    submit_patient(&mut harness, "flood");
    harness.pass();
    let kept = harness.running("flood").len();
    assert!(
        kept <= 8 * WORKERS / 2,
        "{kept} patient tasks started beside kept room"
    );
    harness.advance(200_000);
    harness.pass();
    harness.pass();
    let given = harness.running("flood").len();
    assert!(given >= 8 * 8, "{given} patient tasks run minutes later");
}

/// Half of the pool is in use and the rest is kept for urgent work that does not come. A patient job of
/// which nothing has run for many seconds must not stand still beside free workers: one of its tasks
/// begins there, and the others go on waiting.
#[test]
fn starved_job_starts() {
    let mut harness = Harness::new(WORKERS);
    let cancelled = harness.submit("urgent", 0, vec![urgent(6)]);
    harness.pass();
    harness
        .planner
        .apply_job_record(&JobRecord::Cancelled(cancelled));
    harness.end_runs("urgent", EndKind::Stopped);
    submit_patient(&mut harness, "flood");
    harness.pass();
    harness.report_all();
    let waiting = Step {
        tasks: 2,
        estimate_ms: 20_000,
        ..task(8)
    };
    harness.submit("waiting", 2, vec![waiting]);
    harness.pass();
    assert!(
        harness.running("waiting").is_empty(),
        "kept from the free room"
    );
    harness.advance(9_000);
    harness.pass();
    assert_eq!(harness.running("waiting").len(), 1);
}
