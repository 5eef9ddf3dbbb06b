//! Appends on a slow store.

use std::time::Duration;

use dragonflyrun::{process::on_store::append_timeout, workload::PlannerHeartbeat};

const MIN_TIMEOUT: Duration = Duration::from_millis(900);

/// Guards against appends that time out and are repeated while they wait in a queue of up to 2 s.
#[test]
fn queued_append_awaited() {
    assert!(append_timeout(MIN_TIMEOUT, Duration::from_millis(280)) > Duration::from_secs(2));
    assert_eq!(
        append_timeout(MIN_TIMEOUT, Duration::from_millis(5)),
        MIN_TIMEOUT
    );
}

/// Guards against heartbeat records that carry no news and delay the next plan.
#[test]
fn plans_as_heartbeats() {
    let mut heartbeat = PlannerHeartbeat::default();
    assert!(heartbeat.is_due(false), "no heartbeat was stored");
    heartbeat.plan_sent();
    for _ in 0..5 {
        assert!(!heartbeat.is_due(false), "a plan is being appended");
    }
    heartbeat.plan_stored();
    assert!(!heartbeat.is_due(false), "a plan has just been stored");
    assert!(heartbeat.is_due(false));
}

/// Guards against a planner whose plans hide that it has become stale.
#[test]
fn stale_reported() {
    let mut heartbeat = PlannerHeartbeat::default();
    heartbeat.plan_stored();
    assert!(
        heartbeat.is_due(true),
        "a plan does not say that the planner is stale"
    );
    heartbeat.record_sent(true);
    heartbeat.plan_stored();
    assert!(!heartbeat.is_due(true), "the heartbeat has said it");
    heartbeat.plan_sent();
    assert!(
        heartbeat.is_due(false),
        "a plan does not say that it is no longer stale"
    );
    let mut claimed = PlannerHeartbeat::claimed(true);
    claimed.plan_stored();
    assert!(claimed.is_due(false));
}
