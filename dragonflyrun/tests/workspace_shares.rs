//! Shares of capacity between workspaces, one situation per test.

mod workload_tables;

use dragonflyrun::{
    Timestamp,
    port::{EndKind, Workspace},
    workload::{JobRecord, JobTable, Planner, Step, WorkspaceShare},
};
use workload_tables::{Harness, bounds, task};

/// Returns a step of single tasks that each take a whole worker.
fn whole_workers(tasks: u32) -> Step {
    Step { tasks, ..task(8) }
}

/// Returns a pool without public work and with the given workspaces and guarantees.
fn harness(workers: usize, workspaces: &[(&str, u32)]) -> Harness {
    let mut harness = Harness::new(workers);
    let workspaces = workspaces.iter().map(|(name, guaranteed)| Workspace {
        name: (*name).into(),
        keys: vec![format!("key-{name}").into()],
        guaranteed_accelerators: *guaranteed,
    });
    harness.configuration.workspaces = workspaces.collect();
    harness
}

fn share_of<'a>(shares: &'a [WorkspaceShare], workspace: &str) -> &'a WorkspaceShare {
    let share = shares
        .iter()
        .find(|s| s.workspace.as_deref() == Some(workspace));
    share.expect("a share of the workspace")
}

fn assert_near(actual: f64, expected: f64) {
    assert!((actual - expected).abs() < 1e-6, "{actual} for {expected}");
}

/// Guards against a workspace that waits behind the burst of another one: all jobs of the burst are
/// older, but the first jobs of the other workspace are within its entitlement.
#[test]
fn burst_waits() {
    let mut harness = harness(8, &[("burst", 0), ("other", 0)]);
    for i in 0..20 {
        harness.submit_as("burst", &format!("burst-{i}"), 1, vec![whole_workers(1)]);
    }
    harness.advance(10);
    for i in 0..6 {
        harness.submit_as("other", &format!("other-{i}"), 1, vec![whole_workers(1)]);
    }
    harness.pass();
    let running = |prefix: &str, count: usize| {
        let names = (0..count).map(|i| format!("{prefix}-{i}"));
        names.filter(|n| !harness.running(n).is_empty()).count()
    };
    assert_eq!((running("burst", 20), running("other", 6)), (4, 4));
}

/// Guards against capacity that is kept idle for workspaces that don't need it: what one workspace
/// doesn't ask for goes to the others.
#[test]
fn work_conserving() {
    let mut harness = harness(8, &[("burst", 0), ("other", 0)]);
    harness.submit_as("burst", "burst", 1, vec![whole_workers(20)]);
    harness.submit_as("other", "other", 1, vec![whole_workers(1)]);
    let decisions = harness.pass();
    assert_eq!(harness.running("burst").len(), 7);
    assert_eq!(harness.running("other").len(), 1);
    assert_near(share_of(&decisions.shares, "other").entitlement, 1.0 / 8.0);
    assert_near(share_of(&decisions.shares, "burst").entitlement, 7.0 / 8.0);
}

/// Guards against shares that ignore what workspaces are guaranteed. One without a guarantee counts
/// as if one worker were guaranteed to it.
#[test]
fn weighted_by_guarantee() {
    let mut harness = harness(12, &[("large", 32), ("small", 16), ("none", 0)]);
    for workspace in ["none", "small", "large"] {
        harness.submit_as(workspace, workspace, 1, vec![whole_workers(20)]);
    }
    let shares = harness.pass().shares;
    let expected = [("large", 4.0), ("small", 2.0), ("none", 1.0)];
    for (workspace, weight) in expected {
        let share = share_of(&shares, workspace);
        assert!(share.is_short);
        assert_near(share.entitlement, weight / 7.0);
    }
    // Each has its entitlement, rounded up to whole tasks until the pool is full.
    let running = |job| harness.running(job).len();
    let counts = expected.map(|(workspace, _)| running(workspace));
    assert_eq!(counts.iter().sum::<usize>(), 12);
    assert!(
        counts[0] >= 6 && counts[1] >= 3 && counts[2] >= 1,
        "{counts:?}"
    );
}

/// Guards against shares that change anything while there is room for all: the older job's tasks
/// come first, as without workspaces.
#[test]
fn room_for_all() {
    let mut harness = harness(8, &[("first", 0), ("second", 0)]);
    harness.submit_as("first", "first", 1, vec![whole_workers(5)]);
    harness.submit_as("second", "second", 1, vec![whole_workers(3)]);
    let shares = harness.pass().shares;
    assert_eq!(harness.running("first").len(), 5);
    assert_eq!(harness.running("second").len(), 3);
    assert!(!share_of(&shares, "first").is_short);
    assert!(!share_of(&shares, "first").is_above_entitlement());
}

/// Guards against patient work that makes capacity count as short for urgent work. Patient work
/// yields to urgent work, so only urgent work competes with it.
#[test]
fn urgent_by_itself() {
    let mut harness = harness(8, &[("both", 0), ("urgent", 0)]);
    harness.submit_as("both", "patient", 2, vec![whole_workers(20)]);
    harness.submit_as("both", "older", 0, vec![whole_workers(3)]);
    harness.advance(10);
    harness.submit_as("urgent", "newer", 0, vec![whole_workers(5)]);
    harness.pass();
    assert_eq!(harness.running("older").len(), 3);
    assert_eq!(harness.running("newer").len(), 5);
    assert!(harness.running("patient").is_empty());
}

/// Guards against capacity that counts as short for good because of a job that no worker can run, and
/// against sums that overflow.
#[test]
fn impossible_demand() {
    let mut harness = harness(8, &[("a", 0), ("b", 0)]);
    let impossible = || {
        let mut step = whole_workers(2);
        step.needs.memory_mb = u64::MAX;
        step
    };
    let unplaceable = Step {
        gang: true,
        ..whole_workers(9)
    };
    harness.submit_as("a", "impossible", 1, vec![impossible()]);
    harness.submit_as("a", "unplaceable", 1, vec![unplaceable]);
    harness.submit_as("a", "a", 1, vec![whole_workers(5)]);
    harness.submit_as("b", "b", 1, vec![whole_workers(3)]);
    let shares = harness.pass().shares;
    let share = share_of(&shares, "a");
    assert!(!share.is_short);
    assert_near(share.asked, 5.0 / 8.0);
    assert_eq!(share.waiting_demands, 2 + 1 + 5);
    assert_eq!(harness.running("a").len(), 5);
    assert_eq!(harness.running("b").len(), 3);
}

/// Guards against a gang that never starts because it is larger than its workspace's entitlement.
#[test]
fn large_gang_starts() {
    let mut harness = harness(6, &[("gang", 0), ("a", 0), ("b", 0)]);
    for workspace in ["a", "b"] {
        harness.submit_as(workspace, workspace, 1, vec![whole_workers(10)]);
    }
    let gang = Step {
        gang: true,
        ..whole_workers(4)
    };
    harness.submit_as("gang", "gang", 1, vec![gang]);
    harness.pass();
    assert_eq!(harness.running("gang").len(), 0, "older jobs fill the pool");
    // Each pass ends some of the runs, as in a pool whose work ends at different times.
    for _ in 0..20 {
        harness.advance(500);
        let oldest = ["a", "b"].iter().flat_map(|job| harness.running(job));
        if let Some((_, run)) = oldest.min_by_key(|(_, run)| run.task.index) {
            harness.end_run(&run, EndKind::Done);
            harness.report_all();
        }
        harness.pass();
    }
    assert_eq!(harness.running("gang").len(), 4);
}

/// Guards against work of a removed workspace, or of one whose keys were taken away, that is stopped
/// or forgotten. It keeps running and counts like that of a workspace without a guarantee.
#[test]
fn removed_workspace() {
    let mut harness = harness(8, &[("removed", 32), ("other", 0)]);
    harness.submit_as("removed", "removed", 1, vec![whole_workers(20)]);
    harness.pass();
    harness.configuration.workspaces[0].keys.clear();
    harness.submit_as("other", "other", 1, vec![whole_workers(20)]);
    let shares = harness.pass().shares;
    assert_near(share_of(&shares, "removed").entitlement, 0.8);
    harness.configuration.workspaces.remove(0);
    let shares = harness.pass().shares;
    let removed = share_of(&shares, "removed");
    assert_eq!(removed.guaranteed, 0);
    assert_near(removed.entitlement, 0.5);
    assert!(removed.is_above_entitlement());
    assert_eq!(harness.running("removed").len(), 8, "its runs go on");
}

/// Guards against a changed guarantee that is ignored until jobs or the planner change.
#[test]
fn changed_guarantee() {
    let mut harness = harness(8, &[("a", 0), ("b", 0)]);
    for workspace in ["a", "b"] {
        harness.submit_as(workspace, workspace, 1, vec![whole_workers(20)]);
    }
    let shares = harness.pass().shares;
    assert_near(share_of(&shares, "b").entitlement, 0.5);
    harness.configuration.workspaces[1].guaranteed_accelerators = 24;
    let shares = harness.pass().shares;
    assert_near(share_of(&shares, "b").entitlement, 0.75);
    assert_eq!(share_of(&shares, "b").guaranteed, 24);
}

/// Guards against a single workspace that is treated differently because capacity is short.
#[test]
fn one_workspace() {
    let mut harness = harness(4, &[("only", 0)]);
    for i in 0..6 {
        harness.submit_as("only", &format!("job-{i}"), 1, vec![whole_workers(1)]);
        harness.advance(10);
    }
    harness.pass();
    let started: Vec<bool> = (0..6)
        .map(|i| !harness.running(&format!("job-{i}")).is_empty())
        .collect();
    assert_eq!(started, [true, true, true, true, false, false]);
}

/// Guards against a new planner that serves workspaces in another order than its predecessor: shares
/// depend on the plan and the configuration alone.
#[test]
fn planner_replaced() {
    let starts_after = |replaced: bool| {
        let mut harness = harness(8, &[("burst", 0), ("other", 0)]);
        let mut table = JobTable::default();
        for workspace in ["burst", "other"] {
            let tasks = if workspace == "burst" { 20 } else { 6 };
            let job = harness.job(workspace, workspace, 1, vec![whole_workers(tasks)]);
            let record = JobRecord::Accepted(Box::new(job));
            harness.planner.apply_job_record(&record);
            table.fold(Timestamp::default(), record);
        }
        harness.pass();
        harness.report_all();
        if replaced {
            for record in &harness.written_records {
                table.fold(Timestamp::default(), record.clone());
            }
            let now = Timestamp::from_millis(harness.now_ms);
            harness.planner = Planner::take_over(bounds(), &table, now);
            let workers: Vec<_> = harness
                .reports
                .iter()
                .map(|r| r.heartbeat.worker.clone())
                .collect();
            for worker in workers {
                harness.planner.set_orders_end(&worker, 1_000);
            }
            for report in &mut harness.reports {
                report.orders_seen = 1_000;
            }
            harness.report_all();
        }
        let runs = harness.running("burst");
        for (_, run) in runs.iter().take(2) {
            harness.end_run(run, EndKind::Done);
        }
        harness.report_all();
        let shares = harness.pass().shares;
        let started = ["burst", "other"].map(|job| {
            let tasks = harness.running(job).into_iter();
            let mut tasks: Vec<u32> = tasks.map(|(_, run)| run.task.index).collect();
            tasks.sort_unstable();
            tasks
        });
        (shares, started)
    };
    assert_eq!(starts_after(true), starts_after(false));
}

/// Guards against stopping the runs of a workspace that is below its entitlement while those of one
/// that is above it could be stopped at about the same cost, here for a little more lost work.
#[test]
fn victims_above_share() {
    let long = |tasks| Step {
        estimate_ms: 60_000,
        ..whole_workers(tasks)
    };
    let mut harness = harness(8, &[("above", 0), ("below", 0), ("urgent", 0)]);
    harness.submit_as("above", "above", 2, vec![long(6)]);
    harness.pass();
    harness.report_all();
    harness.advance(500);
    harness.submit_as("below", "below", 2, vec![long(2)]);
    harness.pass();
    harness.report_all();
    assert_eq!(harness.running("above").len(), 6);
    assert_eq!(harness.running("below").len(), 2);
    harness.submit_as("above", "more", 2, vec![long(6)]);
    harness.advance(7_500);
    let urgent = Step {
        estimate_ms: 20_000,
        ..whole_workers(1)
    };
    harness.submit_as("urgent", "urgent", 0, vec![urgent]);
    let decisions = harness.pass();
    let stops = decisions.orders.iter().flat_map(|o| &o.order.stops);
    let stopped: Vec<_> = stops.map(|run| &*run.task.job).collect();
    assert_eq!(stopped, ["above"]);
}
