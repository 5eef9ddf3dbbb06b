//! Appends on a slow store.

use std::time::Duration;

use dragonflyrun::{process::on_store::append_timeout, workload::PlannerHeartbeat};

const MIN_TIMEOUT: Duration = Duration::from_millis(900);

/// Guards against appends that are given up and repeated while they stand in a queue of up to 2 s.
#[test]
fn queue_waited_out() {
    assert!(append_timeout(MIN_TIMEOUT, Duration::from_millis(280)) > Duration::from_secs(2));
    assert_eq!(
        append_timeout(MIN_TIMEOUT, Duration::from_millis(5)),
        MIN_TIMEOUT
    );
}

/// Guards against records that say nothing and keep the next plan waiting.
#[test]
fn plans_as_heartbeats() {
    let mut heartbeat = PlannerHeartbeat::default();
    assert!(heartbeat.is_due(false), "nothing was shown");
    heartbeat.plan_sent();
    for _ in 0..5 {
        assert!(!heartbeat.is_due(false), "the plan is under way");
    }
    heartbeat.plan_stored();
    assert!(!heartbeat.is_due(false), "it has just been shown");
    assert!(heartbeat.is_due(false));
}

/// Guards against a planner that has turned stale and whose plans hide it.
#[test]
fn stale_reported() {
    let mut heartbeat = PlannerHeartbeat::default();
    heartbeat.plan_stored();
    assert!(
        heartbeat.is_due(true),
        "a plan does not tell that it is stale"
    );
    heartbeat.record_sent(true);
    heartbeat.plan_stored();
    assert!(!heartbeat.is_due(true), "it has been told");
    heartbeat.plan_sent();
    assert!(heartbeat.is_due(false), "nor that it no longer is");
    let mut claimed = PlannerHeartbeat::claimed(true);
    claimed.plan_stored();
    assert!(claimed.is_due(false));
}
