//! Which idle workers' agents follow closely, and how work is placed on the others.

mod workload_tables;

use std::time::Duration;

use dragonflyrun::{
    Timestamp,
    utils::Name,
    workload::{Attention, Contact, Decisions, JobTable, Planner, PlannerBounds, Step},
};
use workload_tables::{EPOCH_MS, Harness, bounds, task};

const MIN_CLOSE: usize = 20;

/// Passes until the attention of all agents is as the planner wants it, one each 100 ms.
const SETTLING_PASSES: usize = 100;

/// Returns a harness whose idle workers have been released as far as the planner wants.
fn settled(workers: usize) -> Harness {
    settled_with(workers, MIN_CLOSE)
}

/// Returns the same with another number of idle workers that are kept close.
fn settled_with(workers: usize, min_close_workers: usize) -> Harness {
    let mut harness = Harness::with_bounds(
        workers,
        PlannerBounds {
            min_close_workers,
            ..bounds()
        },
    );
    for _ in 0..SETTLING_PASSES {
        step(&mut harness);
    }
    harness
}

/// Runs a pass, after which the agents whose attention it changes report, and advances by 100 ms.
fn step(harness: &mut Harness) -> Decisions {
    let decisions = harness.pass();
    harness.advance(100);
    for worker in asked_or_released(&decisions) {
        harness.report(&worker);
    }
    decisions
}

fn asked_or_released(decisions: &Decisions) -> Vec<Name> {
    let orders = decisions.orders.iter();
    let changed = orders.filter(|o| o.order.attention.is_some());
    changed.map(|o| o.worker.clone()).collect()
}

fn close_workers(harness: &Harness) -> usize {
    let workers = harness.planner.fleet().workers();
    workers.filter(|(_, w)| w.contact == Contact::Close).count()
}

fn starts(decisions: &Decisions) -> usize {
    decisions.orders.iter().map(|o| o.order.starts.len()).sum()
}

fn gang(tasks: u32) -> Step {
    Step {
        tasks,
        gang: true,
        ..task(8)
    }
}

/// Guards against proofs of life whose number grows with the idle hosts: they were most of the calls
/// to the store of a large fleet.
#[test]
fn cost_without_work() {
    let small = close_workers(&settled(400));
    let large = close_workers(&settled(800));
    assert!(
        small <= 3 * MIN_CLOSE,
        "{small} of 400 idle agents follow closely"
    );
    assert!(
        large <= small + MIN_CLOSE,
        "{large} of 800 and {small} of 400"
    );
}

/// Guards against a small deployment in which work has to wait until idle workers are asked.
#[test]
fn small_pool_stays_close() {
    let harness = settled(MIN_CLOSE);
    assert_eq!(close_workers(&harness), MIN_CLOSE);
}

/// Guards against a gang whose members are sent to workers of which nobody knows whether they live:
/// it starts when all of them have reported.
#[test]
fn gang_asks_first() {
    let mut harness = settled(800);
    harness.submit("job", 0, vec![gang(100)]);
    let asked = harness.pass();
    assert_eq!(starts(&asked), 0);
    let awake = harness.reports.iter();
    let awake = awake.filter(|r| r.attention == Attention::Close);
    assert!(awake.count() >= 100);
    harness.now_ms += 30;
    for worker in asked_or_released(&asked) {
        harness.report(&worker);
    }
    assert_eq!(starts(&harness.pass()), 100);
}

/// Guards against a gang that waits for the answers of workers that are lost: others are asked
/// instead.
#[test]
fn lost_idle_workers() {
    let mut harness = settled(800);
    harness.submit("job", 0, vec![gang(100)]);
    let asked = asked_or_released(&harness.pass());
    let lost: Vec<Name> = asked.iter().step_by(4).cloned().collect();
    harness
        .reports
        .retain(|r| !lost.contains(&r.heartbeat.worker));
    for worker in &asked {
        harness.report(worker);
    }
    let passes = (1..).find(|_| starts(&step(&mut harness)) > 0);
    assert!(
        passes.is_some_and(|n| n <= 8),
        "started after {passes:?} passes"
    );
    assert!(
        harness
            .running("job")
            .iter()
            .all(|(worker, _)| !lost.contains(worker))
    );
}

/// Guards against workers that count as late, and not as lost, because they are more than half of
/// those that follow closely: most of the busy ones can be in the failure domain that is lost.
#[test]
fn lost_close_majority() {
    let mut harness = settled(800);
    harness.submit("job", 0, vec![gang(60)]);
    while starts(&step(&mut harness)) == 0 {}
    harness.report_all();
    let lost: Vec<Name> = harness.running("job").into_iter().map(|(w, _)| w).collect();
    harness
        .reports
        .retain(|r| !lost.contains(&r.heartbeat.worker));
    let silent_ms = (0..10_000).step_by(100).find(|_| {
        let fenced = step(&mut harness).orders;
        fenced.iter().any(|o| o.order.fence)
    });
    assert!(
        silent_ms.is_some_and(|ms| ms <= 3_500),
        "fenced after {silent_ms:?} ms"
    );
}

/// Guards against fencing all that runs while a slow store delays the reports of everybody.
#[test]
fn slow_store_fences_nobody() {
    let mut harness = settled(800);
    harness.submit("job", 0, vec![gang(60)]);
    while starts(&step(&mut harness)) == 0 {}
    harness.report_all();
    harness.store_delay = Duration::from_millis(250);
    for _ in 0..55 {
        harness.now_ms += 100;
        let fences = harness.pass().orders.into_iter().filter(|o| o.order.fence);
        assert_eq!(fences.count(), 0);
    }
}

/// Guards against idle agents that stay released when the load grows: the next gang would have to
/// wait for their answers.
#[test]
fn follows_load() {
    let mut harness = settled(800);
    let idle = close_workers(&harness);
    for i in 0..10 {
        harness.submit(&format!("job{i}"), 0, vec![gang(20)]);
        step(&mut harness);
        step(&mut harness);
    }
    let busy = 200;
    let close = close_workers(&harness);
    assert!(
        close >= busy + busy / 2,
        "{close} follow closely beside {busy} busy ones"
    );
    assert!(
        close <= 2 * busy + 2 * idle,
        "{close} follow closely beside {busy} busy ones"
    );
}

/// Guards against work that waits for the answers of workers that are all gone, beside new ones that
/// report: after a loss of power the stored reports are those of the workers before it.
#[test]
fn power_lost() {
    let mut harness = settled(400);
    let gone = std::mem::take(&mut harness.reports);
    let bounds = PlannerBounds {
        min_close_workers: MIN_CLOSE,
        ..bounds()
    };
    let now = Timestamp::from_millis(harness.now_ms);
    harness.planner = Planner::take_over(bounds, &JobTable::default(), now);
    for report in gone {
        let unix_ms = EPOCH_MS + harness.now_ms;
        harness.planner.apply_stored_report(now, unix_ms, report);
    }
    harness.submit("job", 0, vec![gang(5)]);
    assert_eq!(starts(&harness.pass()), 0);
    for i in 0..5 {
        harness.add_worker(&format!("new{i}"), "new");
    }
    assert_eq!(starts(&harness.pass()), 5);
}

/// Guards against a gang that waits for the workers of one lost rack after the other: the failure domain
/// of many idle workers is lost, and no worker that follows closely is free.
#[test]
fn lost_idle_domain() {
    let mut harness = settled_with(600, 0);
    let lost = |i: usize| i < 400;
    for i in 0..600 {
        let domain = if lost(i) { "lost" } else { "kept" };
        harness.change_report(&format!("w{i}"), |report| {
            report.heartbeat.failure_domain = domain.into();
        });
    }
    harness
        .reports
        .retain(|r| &*r.heartbeat.failure_domain != "lost");
    let of_rack = Step {
        one_rack: true,
        ..gang(3)
    };
    harness.submit("job", 0, vec![of_rack]);
    let passes = (1..).find(|_| starts(&step(&mut harness)) > 0);
    assert!(
        passes.is_some_and(|n| n <= 12),
        "started after {passes:?} passes"
    );
}
