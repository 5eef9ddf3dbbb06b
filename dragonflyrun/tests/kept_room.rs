//! Room that is kept ready for urgent work.

mod workload_tables;

use dragonflyrun::{
    port::EndKind,
    workload::{JobRecord, Step},
};
use workload_tables::{Bed, task};

const WORKERS: usize = 10;

/// Hands a gang of so many whole workers in, and a flood of patient tasks, each of one accelerator.
fn flood(bed: &mut Bed, name: &str) {
    let tasks = Step {
        tasks: 8 * WORKERS as u32,
        estimate_ms: 20_000,
        ..task(1)
    };
    bed.submit(name, 2, vec![tasks]);
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
fn second_gang_starts_at_once() {
    let mut bed = Bed::new(WORKERS);
    flood(&mut bed, "flood");
    bed.pass();
    bed.report_all();
    bed.submit("first", 0, vec![urgent(5)]);
    bed.pass();
    assert!(bed.running("first").is_empty(), "the pool is full");
    bed.end("flood", EndKind::Stopped);
    bed.pass();
    bed.report_all();
    assert_eq!(bed.running("first").len(), 5, "room was made");
    bed.wait(2_000);
    bed.end("first", EndKind::Done);
    bed.pass();
    bed.report_all();
    bed.submit("second", 0, vec![urgent(5)]);
    bed.pass();
    assert_eq!(bed.running("second").len(), 5);
}

/// No urgent work has come for minutes. The room that was kept for it goes back to the patient work,
/// which would otherwise wait beside idle workers for good.
#[test]
fn room_is_given_back() {
    let mut bed = Bed::new(WORKERS);
    bed.submit("urgent", 0, vec![urgent(6)]);
    bed.pass();
    bed.wait(2_000);
    bed.end("urgent", EndKind::Done);
    flood(&mut bed, "flood");
    bed.pass();
    let kept = bed.running("flood").len();
    assert!(
        kept <= 8 * WORKERS / 2,
        "{kept} patient tasks started beside kept room"
    );
    bed.wait(200_000);
    bed.pass();
    bed.pass();
    let given = bed.running("flood").len();
    assert!(given >= 8 * 8, "{given} patient tasks run minutes later");
}

/// Half of the pool is in use and the rest is kept for urgent work that does not come. A patient job of
/// which nothing has run for many seconds must not stand still beside free workers: one of its tasks
/// begins there, and the others go on waiting.
#[test]
fn nothing_stands_still() {
    let mut bed = Bed::new(WORKERS);
    let cancelled = bed.submit("urgent", 0, vec![urgent(6)]);
    bed.pass();
    bed.planner
        .apply_job_record(&JobRecord::Cancelled(cancelled));
    bed.end("urgent", EndKind::Stopped);
    flood(&mut bed, "flood");
    bed.pass();
    bed.report_all();
    let waiting = Step {
        tasks: 2,
        estimate_ms: 20_000,
        ..task(8)
    };
    bed.submit("waiting", 2, vec![waiting]);
    bed.pass();
    assert!(bed.running("waiting").is_empty(), "kept from the free room");
    bed.wait(9_000);
    bed.pass();
    assert_eq!(bed.running("waiting").len(), 1);
}
