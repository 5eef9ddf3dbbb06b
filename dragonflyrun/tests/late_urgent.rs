//! Urgent work that is late, in a full pool.

mod workload_tables;

use dragonflyrun::workload::Step;
use workload_tables::{Bed, task};

/// Returns a full pool to which an urgent gang came `ms` ago, with a guess that allows 1.3 s, while
/// nothing could be started.
fn after(ms: u64) -> Bed {
    let mut bed = Bed::new(2);
    let patient = Step {
        tasks: 2,
        checkpoints: true,
        ..task(8)
    };
    bed.submit("patient", 2, vec![patient]);
    bed.pass();
    bed.report_all();
    let urgent = Step {
        tasks: 2,
        gang: true,
        estimate_ms: 100,
        ..task(8)
    };
    bed.submit("urgent", 0, vec![urgent]);
    bed.wait(ms);
    for worker in ["w0", "w1"] {
        bed.change(worker, |report| {
            report.running[0].checkpoint = "saved now".to_owned();
        });
    }
    bed
}

fn makes_room(bed: &mut Bed) -> bool {
    let orders = bed.pass().orders;
    orders.iter().any(|o| !o.order.stops.is_empty())
}

/// Guards against urgent work that is left waiting as soon as its objective is past: callers' guesses are
/// far too short at times, and the work is of use for three times as long.
#[test]
fn late_of_use() {
    assert!(makes_room(&mut after(2_000)));
}

/// Guards against work that is thrown away for a job that is of no use any more.
#[test]
fn late_useless() {
    assert!(!makes_room(&mut after(5_000)));
}
