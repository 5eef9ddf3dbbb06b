//! Where the planner starts tasks, in which order, and for whom it makes room.

mod workload_tables;

use dragonflyrun::{port::EndKind, workload::Step};
use workload_tables::{Bed, task};

#[test]
fn steps_in_order() {
    let mut bed = Bed::new(2);
    let second = Step {
        after: vec![0],
        ..task(1)
    };
    bed.submit(
        "job",
        1,
        vec![
            Step {
                tasks: 2,
                ..task(1)
            },
            second,
        ],
    );
    bed.pass();
    assert_eq!(bed.running("job").len(), 2);
    let (_, first) = bed.running("job")[0].clone();
    bed.end_run(&first, EndKind::Done);
    bed.report_all();
    bed.pass();
    assert!(bed.running("job").iter().all(|(_, run)| run.task.step == 0));
    bed.end("job", EndKind::Done);
    bed.pass();
    assert!(bed.running("job").iter().all(|(_, run)| run.task.step == 1));
    bed.end("job", EndKind::Done);
    bed.pass();
    assert_eq!(
        bed.outcome("job"),
        Some(dragonflyrun::workload::Outcome::Completed)
    );
}

/// Two of three workers are full. A gang of three whole workers must not start in part: a part
/// would wait for the rest in vain and hold the room of others.
#[test]
fn gang_all_or_none() {
    let mut bed = Bed::new(3);
    bed.submit("small", 1, vec![task(8)]);
    bed.pass();
    bed.submit(
        "gang",
        1,
        vec![Step {
            tasks: 3,
            gang: true,
            ..task(8)
        }],
    );
    bed.pass();
    assert!(bed.running("gang").is_empty());
    bed.end("small", EndKind::Done);
    bed.pass();
    let runs = bed.running("gang");
    assert_eq!(runs.len(), 3);
    assert!(runs.iter().all(|(_, run)| run.number == 1));
}

#[test]
fn gang_on_one_rack() {
    let mut bed = Bed::new(6);
    bed.submit(
        "gang",
        1,
        vec![Step {
            tasks: 3,
            gang: true,
            one_rack: true,
            ..task(8)
        }],
    );
    bed.pass();
    let mut workers: Vec<_> = bed.running("gang").into_iter().map(|(w, _)| w).collect();
    workers.sort_unstable();
    let workers: Vec<&str> = workers.iter().map(|w| &**w).collect();
    assert!(
        workers == ["w0", "w1", "w2"] || workers == ["w3", "w4", "w5"],
        "{workers:?}"
    );
}

#[test]
fn labels_and_spread() {
    let mut bed = Bed::new(4);
    let labelled = Step {
        label: Some("r1".into()),
        ..task(1)
    };
    bed.submit("labelled", 1, vec![labelled]);
    bed.submit(
        "spread",
        1,
        vec![Step {
            tasks: 4,
            per_worker: 1,
            ..task(1)
        }],
    );
    bed.submit(
        "nowhere",
        1,
        vec![Step {
            label: Some("b".into()),
            ..task(1)
        }],
    );
    bed.pass();
    assert_eq!(&*bed.running("labelled")[0].0, "w3");
    let mut workers: Vec<_> = bed.running("spread").into_iter().map(|(w, _)| w).collect();
    workers.sort_unstable();
    workers.dedup();
    assert_eq!(workers.len(), 4);
    assert!(bed.running("nowhere").is_empty());
}

/// Operators take a failure domain out of service, or a worker says that it is about to leave.
/// A task that started there now would be lost with it.
#[test]
fn nothing_on_the_way_out() {
    let mut bed = Bed::new(6);
    bed.evacuated.insert("d0".into());
    bed.change("w3", |report| report.heartbeat.draining = true);
    bed.submit(
        "job",
        1,
        vec![Step {
            tasks: 40,
            ..task(1)
        }],
    );
    bed.pass();
    let workers: Vec<_> = bed.running("job").into_iter().map(|(w, _)| w).collect();
    assert_eq!(workers.len(), 16);
    assert!(
        workers.iter().all(|w| ["w4", "w5"].contains(&&**w)),
        "{workers:?}"
    );
}

/// The configuration can't be proved to be in force. A start now could be on a failure domain that
/// was taken out of service meanwhile.
#[test]
fn no_start_without_proof() {
    let mut bed = Bed::new(1);
    bed.fresh = false;
    bed.submit("job", 0, vec![task(1)]);
    bed.pass();
    assert!(bed.running("job").is_empty());
}

/// The pool is full of patient work when an urgent gang comes that its workspace is guaranteed.
/// Just as many workers are cleared as it needs, all on one rack, and it starts there.
#[test]
fn guarantee_clears_workers() {
    let mut bed = Bed::new(6);
    bed.submit(
        "patient",
        2,
        vec![Step {
            tasks: 48,
            ..task(1)
        }],
    );
    bed.pass();
    assert_eq!(bed.running("patient").len(), 48);
    bed.wait(1_000);
    let gang = Step {
        tasks: 2,
        gang: true,
        one_rack: true,
        ..task(8)
    };
    bed.submit_as("sure", "urgent", 0, vec![gang]);
    let decisions = bed.pass();
    let stopped: usize = decisions.orders.iter().map(|o| o.order.stops.len()).sum();
    assert_eq!(stopped, 16, "two workers are cleared, no more");
    for order in &decisions.orders {
        for run in &order.order.stops {
            bed.end_run(run, EndKind::Stopped);
        }
    }
    bed.report_all();
    bed.pass();
    let urgent = bed.running("urgent");
    assert_eq!(urgent.len(), 2);
}

/// Other workspaces' urgent jobs have taken all workers. They only borrowed the room: the job
/// that is guaranteed it gets it back.
#[test]
fn lent_room_comes_back() {
    let mut bed = Bed::new(2);
    bed.submit_as(
        "w",
        "borrower",
        0,
        vec![Step {
            tasks: 2,
            ..task(8)
        }],
    );
    bed.pass();
    bed.wait(500);
    bed.submit_as("sure", "owner", 0, vec![task(8)]);
    let decisions = bed.pass();
    let stopped: Vec<_> = decisions
        .orders
        .iter()
        .flat_map(|o| &o.order.stops)
        .collect();
    assert_eq!(stopped.len(), 1);
    assert_eq!(&*stopped[0].task.job, "borrower");
}

/// A worker that is full of small tasks, each of which has run for 30 s of its 60.
fn full_of_old_work() -> Bed {
    let mut bed = Bed::new(1);
    bed.submit(
        "patient",
        2,
        vec![Step {
            tasks: 8,
            estimate_ms: 60_000,
            ..task(1)
        }],
    );
    bed.pass();
    bed.wait(30_000);
    bed
}

/// An urgent job without a guarantee finds the pool full of work that has run for long. Throwing
/// all that away would cost others more than the urgent job is worth, so it waits.
#[test]
fn dear_work_is_spared() {
    let mut bed = full_of_old_work();
    bed.submit(
        "urgent",
        0,
        vec![Step {
            estimate_ms: 30_000,
            ..task(1)
        }],
    );
    let before = bed.pass();
    let stops = |d: &dragonflyrun::workload::Decisions| -> usize {
        d.orders.iter().map(|o| o.order.stops.len()).sum()
    };
    assert_eq!(stops(&before), 1, "one small task is cheap enough");
    let mut bed = full_of_old_work();
    bed.submit(
        "urgent",
        0,
        vec![Step {
            estimate_ms: 1_000,
            ..task(8)
        }],
    );
    assert_eq!(stops(&bed.pass()), 0, "a whole worker of old work is not");
}

/// Small tasks end one by one on two full workers while more of them wait. The task that needs a
/// whole worker keeps the room that becomes free first, and does not wait for ever.
#[test]
fn large_task_keeps_room() {
    let mut bed = Bed::new(2);
    bed.submit(
        "early",
        1,
        vec![Step {
            tasks: 16,
            estimate_ms: 4_000,
            ..task(1)
        }],
    );
    bed.pass();
    bed.wait(1_000);
    bed.submit(
        "large",
        1,
        vec![Step {
            estimate_ms: 4_000,
            ..task(8)
        }],
    );
    bed.submit(
        "late",
        1,
        vec![Step {
            tasks: 32,
            estimate_ms: 9_000,
            ..task(1)
        }],
    );
    bed.wait(1_000);
    let (worker, _) = bed.running("early")[0].clone();
    let on_it: Vec<_> = bed
        .running("early")
        .into_iter()
        .filter(|(w, _)| *w == worker)
        .collect();
    for (_, run) in &on_it {
        bed.end_run(run, EndKind::Done);
        bed.report_all();
        bed.pass();
    }
    assert_eq!(bed.running("large").len(), 1);
}

/// A worker fails all that it starts and so is always free. After two failures it is left alone,
/// and the job comes to its end elsewhere instead of using up its attempts there.
#[test]
fn failing_worker_left_alone() {
    let mut bed = Bed::new(2);
    for round in 0..3 {
        let job = format!("job-{round}");
        bed.submit(&job, 1, vec![task(1)]);
        bed.pass();
        for _ in 0..3 {
            let failing: Vec<_> = bed
                .running(&job)
                .into_iter()
                .filter(|(w, _)| &**w == "w0")
                .collect();
            for (_, run) in failing {
                bed.end_run(&run, EndKind::Failed);
            }
            bed.report_all();
            bed.pass();
        }
        let runs = bed.running(&job);
        assert_eq!(runs.len(), 1, "{job}");
        assert_eq!(&*runs[0].0, "w1", "{job}");
    }
}

/// Callers cancel a job in the moment in which it runs: its tasks are told to stop at once.
#[test]
fn cancelled_tasks_stop() {
    let mut bed = Bed::new(1);
    let job = bed.submit(
        "job",
        1,
        vec![Step {
            tasks: 2,
            ..task(1)
        }],
    );
    bed.pass();
    bed.planner
        .apply_job_record(&dragonflyrun::workload::JobRecord::Cancelled(job));
    let decisions = bed.pass();
    assert_eq!(decisions.orders[0].order.stops.len(), 2);
    assert_eq!(
        bed.outcome("job"),
        Some(dragonflyrun::workload::Outcome::Cancelled)
    );
}
