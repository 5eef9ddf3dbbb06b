//! Appends on a slow store.

use std::time::Duration;

use dragonflyrun::{
    port::AppendError,
    process::on_store::{AppendRetry, append_timeout},
    workload::PlannerHeartbeat,
};

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

/// Guards against appends that are given up again and again while they are queued on a store whose reads
/// are prompt, and against waiting that long on a connection that has gone silent.
#[test]
fn unanswered_append_awaited() {
    let prompt = Duration::from_millis(5);
    let mut retry = AppendRetry::new(MIN_TIMEOUT, Duration::from_millis(400));
    let unknown = AppendError::Unknown("timeout".to_owned());
    for _ in 0..2 {
        assert_eq!(retry.time_limit(prompt), MIN_TIMEOUT);
        retry.failed(&unknown, MIN_TIMEOUT);
    }
    assert!(retry.time_limit(prompt) > Duration::from_secs(2));
    retry.failed(&AppendError::NotAppended("refused".to_owned()), prompt);
    assert_eq!(retry.time_limit(prompt), MIN_TIMEOUT);
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
