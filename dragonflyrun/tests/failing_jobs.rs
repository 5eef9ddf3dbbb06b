//! Which failures are held against workers: not those of jobs that fail wherever they run.

mod workload_tables;

use dragonflyrun::{port::EndKind, workload::Step};
use workload_tables::{Harness, task};

const WORKERS: usize = 11;

/// Returns a harness with the lasting jobs `loop0`, `loop1` and so on of this step, whose tasks have kept
/// failing for a while, wherever they ran.
fn failing_jobs(jobs: usize, step: Step) -> Harness {
    let mut harness = Harness::new(WORKERS);
    let step = Step {
        lasting: true,
        ..step
    };
    for i in 0..jobs {
        harness.submit(&format!("loop{i}"), 1, vec![step.clone()]);
    }
    for _ in 0..24 {
        fail_once(&mut harness, jobs);
    }
    harness
}

/// Returns a step of tasks that run anywhere.
fn small_tasks() -> Step {
    Step {
        tasks: 16,
        ..task(0)
    }
}

/// Lets all tasks of the failing jobs start and fail again.
fn fail_once(harness: &mut Harness, jobs: usize) {
    harness.pass();
    harness.advance(500);
    for i in 0..jobs {
        harness.end_runs(&format!("loop{i}"), EndKind::Failed);
    }
}

/// Returns whether a gang that needs 5 whole workers begins within 1 s, while the jobs go on to fail.
fn begins_gang(harness: &mut Harness, failing_jobs: usize) -> bool {
    let gang = Step {
        tasks: 5,
        gang: true,
        ..task(8)
    };
    harness.submit("gang", 1, vec![gang]);
    for _ in 0..2 {
        fail_once(harness, failing_jobs);
    }
    harness.running("gang").len() == 5
}

/// Guards against a gang that never begins beside idle workers, since a job whose tasks keep failing has one
/// worker after the other set aside.
#[test]
fn failing_job() {
    let mut harness = failing_jobs(1, small_tasks());
    assert!(begins_gang(&mut harness, 1));
}

/// Guards against the same where several jobs keep failing: they are no evidence for each other.
#[test]
fn several_failing_jobs() {
    let mut harness = failing_jobs(3, small_tasks());
    assert!(begins_gang(&mut harness, 3));
}

/// Guards against the same where each failing task of the job is a member of a gang.
#[test]
fn failing_gang() {
    let gang = Step {
        tasks: 5,
        gang: true,
        ..task(1)
    };
    let mut harness = failing_jobs(1, gang);
    assert!(begins_gang(&mut harness, 1));
}

/// Guards against last attempts of other jobs that wait for proven workers, because a job that fails wherever
/// it runs makes workers look faulty.
#[test]
fn last_attempt_beside() {
    let mut harness = failing_jobs(1, small_tasks());
    harness.submit("job", 0, vec![task(8)]);
    for _ in 0..2 {
        harness.pass();
        harness.report_all();
        harness.end_runs("job", EndKind::Failed);
        harness.end_runs("loop0", EndKind::Failed);
    }
    harness.pass();
    assert_eq!(harness.running("job").len(), 1);
}

/// Returns whether a worker gets no task of a new job although it has the most room.
fn is_set_aside(harness: &mut Harness, worker: &str) -> bool {
    let whole = Step {
        tasks: WORKERS as u32,
        ..task(8)
    };
    harness.submit("probe", 1, vec![whole]);
    harness.pass();
    let used = harness.running("probe");
    used.len() < WORKERS && used.iter().all(|(name, _)| &**name != worker)
}

/// Guards against a worker that fails everything and isn't found, because each job fails only once there.
#[test]
fn worker_fails_all_jobs() {
    let mut harness = Harness::new(WORKERS);
    for round in 0..3 {
        let name = format!("job{round}");
        let whole = Step {
            tasks: WORKERS as u32,
            ..task(4)
        };
        harness.submit(&name, 1, vec![whole]);
        harness.pass();
        harness.advance(500);
        let here = harness.running(&name);
        for (_, run) in here.iter().filter(|(worker, _)| &**worker == "w3") {
            harness.end_run(run, EndKind::Failed);
        }
        harness.report_all();
    }
    assert!(is_set_aside(&mut harness, "w3"));
}

/// Guards against faulty workers that aren't found because a single job fails on all of them: its tasks
/// complete on the other workers.
#[test]
fn job_completes_elsewhere() {
    let faulty = ["w1", "w3", "w5", "w7"];
    let mut harness = Harness::new(WORKERS);
    let many = Step {
        tasks: 400,
        ..task(8)
    };
    let name = harness.submit("many", 1, vec![many]);
    for _ in 0..4 {
        harness.pass();
        harness.advance(1_000);
        for (worker, run) in harness.running(&name) {
            let kind = match faulty.contains(&&*worker) {
                true => EndKind::Failed,
                false => EndKind::Done,
            };
            harness.end_run(&run, kind);
        }
        harness.report_all();
    }
    harness.pass();
    let used = harness.running(&name);
    let used = used
        .iter()
        .filter(|(worker, _)| faulty.contains(&&**worker));
    assert_eq!(used.count(), 0);
}
