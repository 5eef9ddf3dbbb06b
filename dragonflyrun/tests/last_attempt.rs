//! Where the last attempt of a task runs while workers fail everything that they start.

mod workload_tables;

use dragonflyrun::port::EndKind;
use workload_tables::{Harness, task};

/// Fails the first two of the job's three attempts, each on a different worker.
fn failed_twice(workers: usize) -> Harness {
    let mut harness = Harness::new(workers);
    harness.submit("job", 0, vec![task(8)]);
    for _ in 0..2 {
        harness.pass();
        harness.report_all();
        harness.end_runs("job", EndKind::Failed);
    }
    harness
}

/// Returns workers of which the first two have failed two runs each.
fn faulty_workers(workers: usize) -> Harness {
    let jobs = ["one", "other"];
    let mut harness = Harness::new(2);
    for name in jobs {
        harness.submit(name, 2, vec![task(8)]);
    }
    for _ in 0..2 {
        harness.pass();
        harness.report_all();
        for name in jobs {
            harness.end_runs(name, EndKind::Failed);
        }
    }
    for i in 2..workers {
        harness.add_worker(&format!("w{i}"), "r0");
    }
    harness
}

/// Guards against a job that fails because its last attempt went to a faulty worker as well.
#[test]
fn waits_for_proven_worker() {
    let mut harness = faulty_workers(12);
    harness.submit("job", 0, vec![task(8)]);
    for _ in 0..2 {
        harness.pass();
        harness.report_all();
        harness.end_runs("job", EndKind::Failed);
    }
    harness.pass();
    assert!(
        harness.running("job").is_empty(),
        "no run has succeeded since"
    );
    harness.advance(3_000);
    harness.pass();
    assert_eq!(
        harness.running("job").len(),
        1,
        "it waits no longer than that"
    );
}

/// Guards against waiting for a proven worker when there were only single failures.
#[test]
fn single_failures() {
    let mut harness = failed_twice(3);
    harness.pass();
    assert_eq!(harness.running("job").len(), 1);
}

/// Guards against preferring an unproven worker to one on which a run has succeeded.
#[test]
fn proven_worker_first() {
    let mut harness = Harness::new(4);
    harness.submit("job", 0, vec![task(8)]);
    harness.pass();
    harness.report_all();
    harness.end_runs("job", EndKind::Failed);
    harness.submit("probe", 0, vec![task(8)]);
    harness.pass();
    harness.report_all();
    let probed = harness.running("probe")[0].0.clone();
    harness.advance(1_500);
    harness.end_runs("probe", EndKind::Done);
    harness.end_runs("job", EndKind::Failed);
    harness.pass();
    assert_eq!(harness.running("job")[0].0, probed);
}

/// Guards against first attempts that wait for a proven worker because a single job fails wherever
/// it runs.
#[test]
fn first_attempts_go_on() {
    let mut harness = failed_twice(3);
    harness.submit("other", 0, vec![task(4)]);
    harness.pass();
    assert_eq!(harness.running("other").len(), 1);
}

/// Guards against a last attempt that is used up within the first second in which workers fail what
/// they start, before any of them has failed twice.
#[test]
fn fails_at_once() {
    let mut harness = Harness::new(12);
    let jobs: Vec<String> = (0..4).map(|i| format!("job{i}")).collect();
    for name in &jobs {
        harness.submit(name, 0, vec![task(8)]);
    }
    for _ in 0..2 {
        harness.pass();
        harness.report_all();
        for name in &jobs {
            harness.end_runs(name, EndKind::Failed);
        }
    }
    harness.pass();
    assert!(jobs.iter().all(|name| harness.running(name).is_empty()));
}
