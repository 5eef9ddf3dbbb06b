//! Workers of different speed, and which work gets the fast ones.

mod workload_tables;

use dragonflyrun::{
    port::EndKind,
    utils::Name,
    workload::{Pace, RunId, Step},
};
use workload_tables::{Harness, task};

/// Adds a pace to a worker's report: a task on it took `interval_ms` from one checkpoint to the
/// next, each after 2 s of work.
fn report_pace(harness: &mut Harness, worker: &str, job: &str, interval_ms: u64) {
    let run = run_on(harness, worker, job);
    harness.change_report(worker, |report| {
        report.paces.push(Pace {
            run,
            intervals: 5,
            took_ms: 5 * interval_ms,
        });
    });
}

fn run_on(harness: &Harness, worker: &str, job: &str) -> RunId {
    let runs = harness.running(job).into_iter();
    let mut runs_there = runs.filter(|(w, _)| &**w == worker);
    runs_there.next().expect("a run on the worker").1
}

/// Returns six workers on each of which a patient task has run. The second one of each three is
/// slower by a third.
fn workers_with_paces() -> Harness {
    workers_of_two_speeds(2_600)
}

/// Returns the same workers with a checkpoint of the slower ones every `slow_ms`.
fn workers_of_two_speeds(slow_ms: u64) -> Harness {
    let mut harness = Harness::new(6);
    let steps = Step {
        tasks: 6,
        checkpoints: true,
        ..task(8)
    };
    harness.submit("patient", 2, vec![steps]);
    harness.pass();
    harness.report_all();
    for i in 0..6 {
        let slow = i % 3 == 1;
        let interval_ms = if slow { slow_ms } else { 2_000 };
        report_pace(&mut harness, &format!("w{i}"), "patient", interval_ms);
    }
    harness
}

fn workers_of(harness: &Harness, job: &str) -> Vec<Name> {
    let mut workers: Vec<Name> = harness.running(job).into_iter().map(|(w, _)| w).collect();
    workers.sort_unstable();
    workers.dedup();
    workers
}

/// Guards against urgent gangs on slow workers. Some workers take a third longer, which is not
/// configured anywhere. A gang is as slow as its slowest worker, so with one of these it would be
/// late however early it started.
#[test]
fn urgent_on_fast() {
    let mut harness = workers_with_paces();
    harness.end_runs("patient", EndKind::Done);
    let gang = Step {
        tasks: 4,
        gang: true,
        ..task(8)
    };
    harness.submit("urgent", 0, vec![gang]);
    harness.pass();
    assert_eq!(
        workers_of(&harness, "urgent"),
        ["w0", "w2", "w3", "w5"].map(Name::from)
    );
}

/// Guards against fast workers that are occupied by work that has time to wait: the next urgent
/// gang would find only slow ones.
#[test]
fn patient_on_slow() {
    let mut harness = workers_with_paces();
    harness.end_runs("patient", EndKind::Done);
    let tasks = Step {
        tasks: 2,
        ..task(8)
    };
    harness.submit("later", 2, vec![tasks]);
    harness.pass();
    assert_eq!(workers_of(&harness, "later"), ["w1", "w4"].map(Name::from));
}

/// Guards against a healthy worker that counts as slow because its tasks ran far from their data,
/// which is slow on any worker. It would be avoided without reason.
#[test]
fn far_from_data() {
    let mut harness = Harness::new(3);
    let far = Step {
        tasks: 3,
        rack: Some("elsewhere".into()),
        checkpoints: true,
        ..task(8)
    };
    harness.submit("far", 2, vec![far]);
    harness.now_ms = 20_000;
    harness.report_all();
    harness.pass();
    harness.report_all();
    report_pace(&mut harness, "w0", "far", 6_000);
    harness.end_runs("far", EndKind::Done);
    harness.submit("urgent", 0, vec![task(8)]);
    harness.pass();
    assert_eq!(workers_of(&harness, "urgent"), ["w0"].map(Name::from));
}

/// Guards against a fast worker that counts as slow because of a gang. A gang on two workers
/// progresses at the pace of the slower one, and a second gang shows which one that is; the other
/// one has to be available for urgent work.
#[test]
fn mixed_gang_pace() {
    let mut harness = Harness::new(3);
    let gang = Step {
        tasks: 2,
        gang: true,
        checkpoints: true,
        ..task(8)
    };
    let run_gang = |harness: &mut Harness, job: &str, priority: u32, interval_ms: u64| {
        harness.submit(job, priority, vec![gang.clone()]);
        harness.pass();
        harness.report_all();
        let members = workers_of(harness, job);
        for worker in &members {
            report_pace(harness, worker, job, interval_ms);
        }
        harness.end_runs(job, EndKind::Done);
        members
    };
    let first = run_gang(&mut harness, "first", 1, 2_600);
    assert_eq!(first, ["w0", "w1"].map(Name::from));
    let second = run_gang(&mut harness, "second", 0, 2_000);
    assert_eq!(second, ["w0", "w2"].map(Name::from));
    let third = run_gang(&mut harness, "third", 0, 2_000);
    assert_eq!(third, ["w0", "w2"].map(Name::from));
    harness.submit("patient", 2, vec![task(8)]);
    harness.pass();
    assert_eq!(workers_of(&harness, "patient"), ["w1"].map(Name::from));
}

/// Guards against tasks that never show the speed of a worker that is hardly known, although the pool
/// mixes kinds of workers and the tasks have time to spare.
#[test]
fn unknown_probed_first() {
    let mut harness = workers_of_two_speeds(5_000);
    harness.end_runs("patient", EndKind::Done);
    // A second sample of each slow worker leaves no doubt that the pool mixes kinds of workers.
    let again = Step {
        tasks: 6,
        checkpoints: true,
        ..task(8)
    };
    harness.submit("again", 2, vec![again]);
    harness.pass();
    harness.report_all();
    for i in 0..6 {
        let interval_ms = if i % 3 == 1 { 5_000 } else { 2_000 };
        report_pace(&mut harness, &format!("w{i}"), "again", interval_ms);
    }
    harness.end_runs("again", EndKind::Done);
    harness.add_worker("w6", "r2");
    // The slow workers, which such work takes first, are occupied.
    let slow = Step {
        tasks: 2,
        ..task(8)
    };
    harness.submit("slow", 2, vec![slow]);
    harness.pass();
    harness.submit("later", 2, vec![task(1)]);
    let decisions = harness.pass();
    assert_eq!(workers_of(&harness, "later"), ["w6"].map(Name::from));
    assert_eq!(decisions.probe_starts, 1);
}
