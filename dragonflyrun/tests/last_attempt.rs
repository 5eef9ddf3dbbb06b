//! Where the last attempt of a task runs while workers fail all that they start.

mod workload_tables;

use dragonflyrun::port::EndKind;
use workload_tables::{Bed, task};

/// Fails the job's first two runs, of three that it may have, each on another worker.
fn failed_twice(workers: usize) -> Bed {
    let mut bed = Bed::new(workers);
    bed.submit("job", 0, vec![task(8)]);
    for _ in 0..2 {
        bed.pass();
        bed.report_all();
        bed.end("job", EndKind::Failed);
    }
    bed
}

/// Returns workers of which the first two have failed two runs each.
fn sick_workers(workers: usize) -> Bed {
    let jobs = ["one", "other"];
    let mut bed = Bed::new(2);
    for name in jobs {
        bed.submit(name, 2, vec![task(8)]);
    }
    for _ in 0..2 {
        bed.pass();
        bed.report_all();
        for name in jobs {
            bed.end(name, EndKind::Failed);
        }
    }
    for i in 2..workers {
        bed.add_worker(&format!("w{i}"), "r0");
    }
    bed
}

/// Guards against a job that is called failed since its last attempt went to a sick worker as well.
#[test]
fn waits_for_proof() {
    let mut bed = sick_workers(12);
    bed.submit("job", 0, vec![task(8)]);
    for _ in 0..2 {
        bed.pass();
        bed.report_all();
        bed.end("job", EndKind::Failed);
    }
    bed.pass();
    assert!(bed.running("job").is_empty(), "nothing has worked since");
    bed.wait(3_000);
    bed.pass();
    assert_eq!(bed.running("job").len(), 1, "it waits no longer than that");
}

/// Guards against waiting for proofs where nothing but single failures has been seen.
#[test]
fn single_failures() {
    let mut bed = failed_twice(3);
    bed.pass();
    assert_eq!(bed.running("job").len(), 1);
}

/// Guards against a worker that has shown that it works and is passed over for one that has not.
#[test]
fn proven_first() {
    let mut bed = Bed::new(4);
    bed.submit("job", 0, vec![task(8)]);
    bed.pass();
    bed.report_all();
    bed.end("job", EndKind::Failed);
    bed.submit("probe", 0, vec![task(8)]);
    bed.pass();
    bed.report_all();
    let probed = bed.running("probe")[0].0.clone();
    bed.wait(1_500);
    bed.end("probe", EndKind::Done);
    bed.end("job", EndKind::Failed);
    bed.pass();
    assert_eq!(bed.running("job")[0].0, probed);
}

/// Guards against work that waits for proofs where a single job fails wherever it runs.
#[test]
fn first_attempts_go_on() {
    let mut bed = failed_twice(3);
    bed.submit("other", 0, vec![task(4)]);
    bed.pass();
    assert_eq!(bed.running("other").len(), 1);
}

/// Guards against a last attempt that is used up in the first second in which workers fail what they
/// start, before any of them has failed twice.
#[test]
fn fails_at_once() {
    let mut bed = Bed::new(12);
    let jobs: Vec<String> = (0..4).map(|i| format!("job{i}")).collect();
    for name in &jobs {
        bed.submit(name, 0, vec![task(8)]);
    }
    for _ in 0..2 {
        bed.pass();
        bed.report_all();
        for name in &jobs {
            bed.end(name, EndKind::Failed);
        }
    }
    bed.pass();
    assert!(jobs.iter().all(|name| bed.running(name).is_empty()));
}
