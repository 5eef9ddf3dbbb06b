//! Appends on a slow store.

use std::time::Duration;

use dragonflyrun::{process::on_store::append_timeout, workload::PlannerHeartbeat};

const LEAST: Duration = Duration::from_millis(900);

/// Guards against appends that are given up and repeated while they stand in a queue of up to 2 s.
#[test]
fn queue_waited_out() {
    assert!(append_timeout(LEAST, Duration::from_millis(280)) > Duration::from_secs(2));
    assert_eq!(append_timeout(LEAST, Duration::from_millis(5)), LEAST);
}

/// Guards against records that say nothing and keep the next plan waiting.
#[test]
fn plans_show_life() {
    let mut signs = PlannerHeartbeat::default();
    assert!(signs.is_due(false), "nothing was shown");
    signs.plan_sent();
    for _ in 0..5 {
        assert!(!signs.is_due(false), "the plan is under way");
    }
    signs.plan_stored();
    assert!(!signs.is_due(false), "it has just been shown");
    assert!(signs.is_due(false));
}

/// Guards against a planner that has turned stale and whose plans hide it.
#[test]
fn stale_is_told() {
    let mut signs = PlannerHeartbeat::default();
    signs.plan_stored();
    assert!(signs.is_due(true), "a plan does not tell that it is stale");
    signs.record_sent(true);
    signs.plan_stored();
    assert!(!signs.is_due(true), "it has been told");
    signs.plan_sent();
    assert!(signs.is_due(false), "nor that it no longer is");
    let mut claimed = PlannerHeartbeat::claimed(true);
    claimed.plan_stored();
    assert!(claimed.is_due(false));
}
