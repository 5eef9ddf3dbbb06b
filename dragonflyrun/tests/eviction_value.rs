//! For which demands running work is stopped, which runs are stopped, and what becomes of the room when
//! something fails in the meantime.

mod workload_tables;

use dragonflyrun::{
    port::EndKind,
    workload::{Decisions, Pace, Progress, Report, Step},
};
use workload_tables::{Harness, task};

/// Returns the names of the jobs of which runs are stopped, one for each run.
fn stopped(decisions: &Decisions) -> Vec<String> {
    let stops = decisions.orders.iter().flat_map(|o| &o.order.stops);
    stops.map(|run| run.task.job.to_string()).collect()
}

/// Ends the runs that a pass has stopped and sends the reports.
fn end_stopped(harness: &mut Harness, decisions: &Decisions) {
    for run in decisions.orders.iter().flat_map(|o| &o.order.stops) {
        harness.end_run(run, EndKind::Stopped);
    }
    harness.report_all();
}

fn gang(tasks: u32, accelerators: u64) -> Step {
    Step {
        tasks,
        gang: true,
        ..task(accelerators)
    }
}

/// Returns a step of small tasks that save their state.
fn small_tasks(tasks: u32) -> Step {
    Step {
        tasks,
        checkpoints: true,
        estimate_ms: 60_000,
        ..task(1)
    }
}

/// Returns workers of which each runs one patient job named like the worker, on all accelerators.
fn full_pool(workers: usize) -> Harness {
    full_pool_for(workers, 60_000)
}

/// Returns such a pool with jobs that take the given time.
fn full_pool_for(workers: usize, estimate_ms: u64) -> Harness {
    let mut harness = Harness::new(workers);
    for i in 0..workers {
        let long = Step {
            estimate_ms,
            ..task(8)
        };
        harness.submit(&format!("patient-{i}"), 2, vec![long]);
    }
    harness.pass();
    harness.report_all();
    harness
}

/// Sets a new checkpoint for all runs of a job.
fn save(harness: &mut Harness, job: &str) {
    let saved = format!("saved-{}", harness.now_ms);
    for (worker, run) in harness.running(job) {
        harness.change_report(&worker, |report| {
            for listed in report.running.iter_mut().filter(|r| r.run == run) {
                listed.checkpoint.clone_from(&saved);
            }
        });
    }
}

/// Reports paces that show that the worker takes `slowness` times the nominal time.
fn learn_speed(harness: &mut Harness, worker: &str, slowness: f64) {
    for _ in 0..20 {
        harness.change_report(worker, |report| {
            let run = report.running[0].run.clone();
            report.paces = vec![Pace {
                run,
                intervals: 10,
                took_ms: (20_000.0 * slowness) as u64,
            }];
        });
    }
}

/// Guards against work that is discarded for an urgent job that is late anyway, and against an urgent
/// job that waits although it would be in time.
#[test]
fn only_in_time() {
    let mut harness = full_pool(1);
    harness.submit("urgent", 0, vec![task(8)]);
    assert_eq!(stopped(&harness.pass()), ["patient-0"]);
    // The objective is 7 s after the arrival, the task takes 2 s.
    let mut harness = full_pool(1);
    harness.submit("urgent", 0, vec![task(8)]);
    harness.advance(6_500);
    save(&mut harness, "patient-0");
    let decisions = harness.pass();
    assert!(stopped(&decisions).is_empty());
    assert_eq!(decisions.evictions.runs_evicted, 0);
}

/// Guards against room that is made on workers that are too slow for the demand, although others are
/// fast enough.
#[test]
fn fast_workers_cleared() {
    let mut harness = full_pool(2);
    learn_speed(&mut harness, "w0", 2.4);
    harness.submit("urgent", 0, vec![task(8)]);
    harness.advance(3_000);
    save(&mut harness, "patient-0");
    save(&mut harness, "patient-1");
    let on_w1 = harness.reports[1].running[0].run.task.job.to_string();
    assert_eq!(stopped(&harness.pass()), [on_w1]);
}

/// Guards against a guarantee that depends on whether its job is in time.
#[test]
fn guarantee_always() {
    let mut harness = full_pool(1);
    harness.submit_as("sure", "urgent", 0, vec![task(8)]);
    harness.advance(60_000);
    assert_eq!(stopped(&harness.pass()), ["patient-0"]);
}

/// Guards against a gang of normal urgency that is starved although it is late by then.
#[test]
fn starved_gang() {
    let mut harness = full_pool(2);
    let late = Step {
        estimate_ms: 1_000,
        ..gang(2, 8)
    };
    harness.submit("gang", 1, vec![late]);
    assert!(stopped(&harness.pass()).is_empty());
    harness.advance(9_000);
    for job in ["patient-0", "patient-1"] {
        save(&mut harness, job);
    }
    assert_eq!(stopped(&harness.pass()).len(), 2);
}

/// Guards against a run that is stopped just before its end, next to one that has to be stopped.
#[test]
fn ending_awaited() {
    let mut harness = full_pool(2);
    harness.change_report("w0", |report| {
        report.progress = vec![Progress {
            remaining_ms: Some(100),
            total_ms: 10_000,
        }];
    });
    let on_w1 = harness.reports[1].running[0].run.task.job.to_string();
    harness.submit("urgent", 0, vec![gang(2, 8)]);
    assert_eq!(stopped(&harness.pass()), [on_w1]);
}

/// Guards against two demands that count on the end of the same run.
#[test]
fn ending_counted_once() {
    let mut harness = full_pool(2);
    harness.change_report("w0", |report| {
        report.progress = vec![Progress {
            remaining_ms: Some(100),
            total_ms: 10_000,
        }];
    });
    harness.submit("first", 0, vec![task(8)]);
    harness.submit("second", 0, vec![task(8)]);
    assert_eq!(stopped(&harness.pass()).len(), 1);
}

/// Starts a long task of four accelerators on each of two workers, and lets half a second pass.
fn add_wide_step(harness: &mut Harness) {
    let wide = Step {
        tasks: 2,
        per_worker: 1,
        estimate_ms: 60_000,
        ..task(4)
    };
    harness.submit("wide", 2, vec![wide]);
    harness.pass();
    harness.report_all();
    harness.advance(500);
}

/// Returns three workers. The first is full of saved small tasks, for which the other two have room
/// beside a task of four accelerators each.
fn movable_tasks() -> Harness {
    let mut harness = Harness::new(3);
    harness.submit("small", 2, vec![small_tasks(8)]);
    harness.pass();
    add_wide_step(&mut harness);
    save(&mut harness, "small");
    save(&mut harness, "wide");
    harness
}

/// Guards against stopping a run that has to wait for room afterwards, although small saved runs can
/// move together to other free room and leave a whole worker. A job that arrives at the same time
/// doesn't get that room.
#[test]
fn moved_into_free_room() {
    let mut harness = movable_tasks();
    harness.submit("urgent", 0, vec![task(8)]);
    harness.submit("newcomer", 2, vec![small_tasks(8)]);
    let decisions = harness.pass();
    assert_eq!(stopped(&decisions), ["small"; 8]);
    assert!(harness.running("newcomer").is_empty());
    end_stopped(&mut harness, &decisions);
    harness.pass();
    assert_eq!(harness.running("urgent").len(), 1);
    assert_eq!(harness.running("small").len(), 8);
}

/// Guards against a gang that is stopped although it loses as little as small saved runs that can move.
#[test]
fn gang_stays() {
    let mut harness = Harness::new(4);
    harness.submit("gang", 2, vec![gang(2, 4)]);
    harness.pass();
    let before = harness.running("gang");
    harness.submit("small", 2, vec![small_tasks(8)]);
    harness.pass();
    add_wide_step(&mut harness);
    for job in ["gang", "small", "wide"] {
        save(&mut harness, job);
    }
    harness.submit("urgent", 0, vec![task(8)]);
    assert_eq!(stopped(&harness.pass()), ["small"; 8]);
    assert_eq!(harness.running("gang"), before);
}

/// Guards against decisions that change although there is room for everything.
#[test]
fn nothing_stopped_beside_room() {
    let mut harness = Harness::new(3);
    harness.submit("small", 2, vec![small_tasks(8)]);
    harness.pass();
    harness.submit("urgent", 0, vec![gang(2, 8)]);
    let decisions = harness.pass();
    assert!(stopped(&decisions).is_empty());
    assert_eq!(decisions.evictions.fragmented_accelerators, 0);
    assert_eq!(harness.running("urgent").len(), 2);
}

/// Guards against one job that is stopped over and over while others of its kind are spared, and
/// against a job that is stopped more than three times within its objective.
#[test]
fn not_stopped_again() {
    let mut harness = full_pool_for(2, 6_000_000);
    let mut stops = Vec::new();
    for i in 0..8 {
        for job in ["patient-0", "patient-1"] {
            save(&mut harness, job);
        }
        let name = format!("urgent-{i}");
        // As long as it takes, so that the estimates of the queue stay in use.
        let urgent = Step {
            estimate_ms: 500,
            ..task(8)
        };
        harness.submit(&name, 0, vec![urgent]);
        let decisions = harness.pass();
        stops.extend(stopped(&decisions));
        end_stopped(&mut harness, &decisions);
        harness.pass();
        harness.report_all();
        harness.advance(500);
        harness.end_runs(&name, EndKind::Done);
        // Until then, workers are reserved for urgent work.
        harness.advance(200_000);
        harness.pass();
        harness.pass();
        harness.report_all();
        let of_first = stops.iter().filter(|s| *s == "patient-0").count();
        assert!((2 * of_first).abs_diff(stops.len()) <= 1, "{stops:?}");
    }
    assert_eq!(stops.len(), 6, "three stops of each job");
    harness.submit_as("sure", "owner", 0, vec![task(8)]);
    assert_eq!(stopped(&harness.pass()).len(), 1, "a guarantee still stops");
}

/// Guards against urgent borrowers that are stopped for a guarantee to spare less urgent jobs that were
/// stopped before.
#[test]
fn urgent_last() {
    let mut harness = full_pool(2);
    for i in 0..3 {
        save(&mut harness, "patient-0");
        save(&mut harness, "patient-1");
        let name = format!("urgent-{i}");
        harness.submit(&name, 0, vec![gang(2, 8)]);
        let decisions = harness.pass();
        end_stopped(&mut harness, &decisions);
        harness.pass();
        harness.report_all();
        harness.end_runs(&name, EndKind::Done);
        harness.pass();
        harness.report_all();
    }
    harness.end_runs("patient-0", EndKind::Done);
    harness.submit("borrower", 0, vec![task(8)]);
    harness.pass();
    harness.report_all();
    harness.submit_as("sure", "owner", 0, vec![task(8)]);
    assert_eq!(stopped(&harness.pass()), ["patient-1"]);
}

/// Guards against clearing the slower one of two workers on which equally little is lost.
#[test]
fn earlier_end_preferred() {
    for fast in [0, 1] {
        let mut harness = full_pool(2);
        let worker = format!("w{fast}");
        learn_speed(&mut harness, &worker, 0.6);
        let on_fast = harness.reports[fast].running[0].run.task.job.to_string();
        harness.submit("urgent", 0, vec![task(8)]);
        assert_eq!(stopped(&harness.pass()), [on_fast]);
    }
}

/// Guards against a demand whose room is taken by one with a nearer objective, and for which other runs
/// are then stopped in each pass. It is served once the repeat delay is over.
#[test]
fn room_taken_by_another() {
    let mut harness = full_pool(3);
    harness.submit("first", 0, vec![task(8)]);
    let decisions = harness.pass();
    assert_eq!(stopped(&decisions).len(), 1);
    let nearer = Step {
        estimate_ms: 1_500,
        ..task(8)
    };
    harness.submit("second", 0, vec![nearer]);
    end_stopped(&mut harness, &decisions);
    for _ in 0..4 {
        assert!(stopped(&harness.pass()).is_empty());
        harness.report_all();
        harness.now_ms += 100;
    }
    assert_eq!(harness.running("second").len(), 1);
    harness.now_ms += 100;
    let decisions = harness.pass();
    assert_eq!(stopped(&decisions).len(), 1);
    end_stopped(&mut harness, &decisions);
    harness.pass();
    assert_eq!(harness.running("first").len(), 1);
}

/// Guards against a demand that waits for room on a worker that fails or leaves between the stop and the
/// start.
#[test]
fn cleared_worker_lost() {
    start_after_change(|report| {
        report.closed = true;
        report.running.clear();
    });
    start_after_change(|report| {
        report.heartbeat.draining = true;
        report.heartbeat.remaining_ms = Some(2_000);
    });
}

/// Checks that an urgent job starts elsewhere if the report of the worker that is cleared for it changes
/// before the stop is complete.
fn start_after_change(change: impl FnOnce(&mut Report)) {
    let mut harness = full_pool(2);
    harness.submit("urgent", 0, vec![task(8)]);
    let decisions = harness.pass();
    let worker = decisions
        .orders
        .iter()
        .find(|o| !o.order.stops.is_empty())
        .map(|o| o.worker.clone())
        .expect("an eviction");
    harness.change_report(&worker, change);
    let decisions = harness.pass();
    assert_eq!(stopped(&decisions).len(), 1, "room is made elsewhere");
    end_stopped(&mut harness, &decisions);
    harness.pass();
    assert_eq!(harness.running("urgent").len(), 1);
}

/// Guards against a planner change between the stop and the start after which the demand gets no room,
/// or the number of stops of a job is forgotten.
#[test]
fn planner_changes() {
    let mut harness = full_pool(1);
    harness.submit("urgent", 0, vec![task(8)]);
    harness.pass();
    harness.change_planner();
    let decisions = harness.pass();
    assert_eq!(stopped(&decisions), ["patient-0"], "the same stop again");
    end_stopped(&mut harness, &decisions);
    harness.pass();
    harness.report_all();
    assert_eq!(harness.running("urgent").len(), 1);
    harness.change_planner();
    harness.end_runs("urgent", EndKind::Done);
    harness.pass();
    harness.report_all();
    harness.submit("second", 0, vec![task(8)]);
    let decisions = harness.pass();
    end_stopped(&mut harness, &decisions);
    harness.pass();
    let plan = harness.plan("patient-0").expect("a stored plan");
    assert_eq!(plan.evictions, 2);
}

/// Guards against a second eviction while the agent carries out the first order late.
#[test]
fn order_carried_out_late() {
    let mut harness = full_pool(2);
    harness.submit("urgent", 0, vec![task(8)]);
    let first = harness.pass();
    assert_eq!(stopped(&first).len(), 1);
    for _ in 0..20 {
        harness.advance(100);
        assert!(stopped(&harness.pass()).is_empty());
    }
    end_stopped(&mut harness, &first);
    harness.pass();
    assert_eq!(harness.running("urgent").len(), 1);
}

/// Guards against an eviction that isn't counted as in vain although its demand was late.
#[test]
fn counted_in_vain() {
    for (took_ms, in_vain) in [(2_000, 0), (20_000, 1)] {
        let mut harness = full_pool(1);
        harness.submit("urgent", 0, vec![task(8)]);
        let decisions = harness.pass();
        assert_eq!(decisions.evictions.runs_evicted, 1);
        end_stopped(&mut harness, &decisions);
        harness.pass();
        harness.report_all();
        harness.advance(took_ms);
        harness.end_runs("urgent", EndKind::Done);
        assert_eq!(harness.pass().evictions.in_vain, in_vain);
    }
}
