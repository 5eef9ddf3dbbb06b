//! How fast workers are, and who gets the fast ones.

mod workload_tables;

use dragonflyrun::{
    port::EndKind,
    utils::Name,
    workload::{Pace, RunId, Step},
};
use workload_tables::{Bed, task};

/// Lets a worker say that a task on it came on from checkpoint to checkpoint, each 2 s of work, in
/// so many milliseconds.
fn paced(bed: &mut Bed, worker: &str, job: &str, step_ms: u64) {
    let run = run_on(bed, worker, job);
    bed.change(worker, |report| {
        report.paces.push(Pace {
            run,
            intervals: 5,
            took_ms: 5 * step_ms,
        });
    });
}

fn run_on(bed: &Bed, worker: &str, job: &str) -> RunId {
    let runs = bed.running(job).into_iter();
    let mut here = runs.filter(|(w, _)| &**w == worker);
    here.next().expect("a run on the worker").1
}

/// Returns six workers on each of which a patient task has run: the second of each three works a
/// third slower.
fn known_workers() -> Bed {
    let mut bed = Bed::new(6);
    let steps = Step {
        tasks: 6,
        checkpoints: true,
        ..task(8)
    };
    bed.submit("patient", 2, vec![steps]);
    bed.pass();
    bed.report_all();
    for i in 0..6 {
        let slow = i % 3 == 1;
        let step_ms = if slow { 2_600 } else { 2_000 };
        paced(&mut bed, &format!("w{i}"), "patient", step_ms);
    }
    bed
}

fn workers_of(bed: &Bed, job: &str) -> Vec<Name> {
    let mut workers: Vec<Name> = bed.running(job).into_iter().map(|(w, _)| w).collect();
    workers.sort_unstable();
    workers.dedup();
    workers
}

/// Some workers of the pool take a third longer, and nobody has said so. A clerk's urgent gang is as
/// slow as the slowest of its workers, so with one of these it would come too late however early it
/// began.
#[test]
fn urgent_on_fast() {
    let mut bed = known_workers();
    bed.end("patient", EndKind::Done);
    let gang = Step {
        tasks: 4,
        gang: true,
        ..task(8)
    };
    bed.submit("urgent", 0, vec![gang]);
    bed.pass();
    assert_eq!(
        workers_of(&bed, "urgent"),
        ["w0", "w2", "w3", "w5"].map(Name::from)
    );
}

/// Work that has time to wait would take the fast workers first just as well; the next urgent gang
/// would then find only slow ones.
#[test]
fn patient_on_slow() {
    let mut bed = known_workers();
    bed.end("patient", EndKind::Done);
    let tasks = Step {
        tasks: 2,
        ..task(8)
    };
    bed.submit("later", 2, vec![tasks]);
    bed.pass();
    assert_eq!(workers_of(&bed, "later"), ["w1", "w4"].map(Name::from));
}

/// A worker says how fast tasks came on that ran away from their data. They are slow on any worker;
/// taken for a slow worker, it would be spared for nothing.
#[test]
fn far_from_data() {
    let mut bed = Bed::new(3);
    let far = Step {
        tasks: 3,
        rack: Some("elsewhere".into()),
        checkpoints: true,
        ..task(8)
    };
    bed.submit("far", 2, vec![far]);
    bed.now_ms = 20_000;
    bed.report_all();
    bed.pass();
    bed.report_all();
    paced(&mut bed, "w0", "far", 6_000);
    bed.end("far", EndKind::Done);
    bed.submit("urgent", 0, vec![task(8)]);
    bed.pass();
    assert_eq!(workers_of(&bed, "urgent"), ["w0"].map(Name::from));
}

/// A gang over two workers comes on as its slower one does. Its other worker is not slow for that
/// and has to be free for urgent work.
#[test]
fn gang_of_two_kinds() {
    let mut bed = Bed::new(3);
    let gang = Step {
        tasks: 2,
        gang: true,
        checkpoints: true,
        ..task(8)
    };
    bed.submit("gang", 1, vec![gang]);
    bed.pass();
    bed.report_all();
    let members = workers_of(&bed, "gang");
    for worker in &members {
        paced(&mut bed, worker, "gang", 2_600);
    }
    bed.end("gang", EndKind::Done);
    let urgent = Step {
        tasks: 3,
        ..task(8)
    };
    bed.submit("urgent", 0, vec![urgent]);
    bed.pass();
    assert_eq!(workers_of(&bed, "urgent").len(), 3);
    bed.end("urgent", EndKind::Done);
    bed.submit("next", 0, vec![task(8)]);
    bed.pass();
    assert_eq!(workers_of(&bed, "next"), ["w0"].map(Name::from));
}
