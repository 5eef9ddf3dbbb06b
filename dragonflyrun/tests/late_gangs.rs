//! Gangs that will be late by their own progress and would be in time on faster workers.

mod workload_tables;

use dragonflyrun::{
    port::EndKind,
    utils::Name,
    workload::{Decisions, Job, JobRecord, Pace, Progress, Step},
};
use workload_tables::{Harness, task};

/// Reports paces for a patient task that runs on each worker. The first two workers take three times
/// the nominal time.
fn learn_speeds(harness: &mut Harness) {
    let tasks = Step {
        tasks: 6,
        checkpoints: true,
        ..task(8)
    };
    harness.submit("patient", 2, vec![tasks]);
    harness.pass();
    harness.report_all();
    for (worker, run) in harness.running("patient") {
        let slow = ["w0", "w1"].contains(&&*worker);
        // A single measurement counts as an outlier: the workers of the pool may be equal.
        for _ in 0..20 {
            harness.change_report(&worker, |report| {
                report.paces = vec![Pace {
                    run: run.clone(),
                    intervals: 5,
                    took_ms: if slow { 30_000 } else { 10_000 },
                }];
            });
        }
    }
}

/// Returns a harness in which an urgent gang runs on the slow workers `w0` and `w1` because the
/// others were occupied. Its estimate gives it 4 s, and by its progress it takes 8 s.
fn late_gang() -> Harness {
    let mut harness = Harness::new(6);
    learn_speeds(&mut harness);
    for (worker, run) in harness.running("patient") {
        if ["w0", "w1"].contains(&&*worker) {
            harness.end_run(&run, EndKind::Done);
        }
    }
    harness.report_all();
    let gang = Step {
        tasks: 2,
        gang: true,
        ..task(8)
    };
    // With more time than this, a worker that is three times as slow isn't too late.
    let job = Job {
        stretch: 1.5,
        ..harness.job("w", "urgent", 0, vec![gang])
    };
    let record = JobRecord::Accepted(Box::new(job));
    harness.planner.apply_job_record(&record);
    harness.pass();
    harness.advance(1_000);
    harness
}

fn report_progress(harness: &mut Harness) {
    for worker in ["w0", "w1"] {
        harness.change_report(worker, |report| {
            report.progress = vec![Progress {
                remaining_ms: Some(7_500),
                total_ms: 8_000,
            }];
        });
    }
}

fn stopped(decisions: &Decisions) -> usize {
    let stops = decisions.orders.iter().flat_map(|o| &o.order.stops);
    stops.filter(|run| &*run.task.job == "urgent").count()
}

fn workers_of(harness: &Harness, job: &str) -> Vec<Name> {
    let mut workers: Vec<Name> = harness.running(job).into_iter().map(|(w, _)| w).collect();
    workers.sort_unstable();
    workers
}

/// Guards against a gang that ends late on slow workers beside free fast ones.
#[test]
fn moves_to_faster() {
    let mut harness = late_gang();
    assert_eq!(workers_of(&harness, "urgent"), ["w0", "w1"].map(Name::from));
    harness.end_runs("patient", EndKind::Done);
    report_progress(&mut harness);
    let decisions = harness.pass();
    assert_eq!(stopped(&decisions), 2);
    assert_eq!(decisions.gangs_moved, 1);
    harness.end_runs("urgent", EndKind::Stopped);
    harness.pass();
    let workers = workers_of(&harness, "urgent");
    assert_eq!(workers.len(), 2);
    assert!(!workers.iter().any(|w| ["w0", "w1"].contains(&&**w)));
}

/// Guards against a stop that only loses work because no faster worker is free.
#[test]
fn stays_without_room() {
    let mut harness = late_gang();
    report_progress(&mut harness);
    assert_eq!(stopped(&harness.pass()), 0);
}

/// Guards against a stop after which the gang would be late as well.
#[test]
fn stays_if_late_anyway() {
    let mut harness = late_gang();
    harness.end_runs("patient", EndKind::Done);
    harness.advance(6_000);
    report_progress(&mut harness);
    assert_eq!(stopped(&harness.pass()), 0);
}

/// Guards against a job that is stopped over and over: after the first move it is left alone.
#[test]
fn moves_once() {
    let mut harness = late_gang();
    harness.end_runs("patient", EndKind::Done);
    report_progress(&mut harness);
    assert_eq!(stopped(&harness.pass()), 2);
    harness.end_runs("urgent", EndKind::Stopped);
    harness.pass();
    harness.report_all();
    for worker in workers_of(&harness, "urgent") {
        harness.change_report(&worker, |report| {
            report.progress = vec![Progress {
                remaining_ms: Some(7_500),
                total_ms: 8_000,
            }];
        });
    }
    assert_eq!(stopped(&harness.pass()), 0);
}
