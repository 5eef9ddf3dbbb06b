//! When callers are refused because the store is unreachable.

use std::time::{Duration, Instant};

use dragonflyrun::workload::StoreReachability;

const PROMPT_DELAY: Duration = Duration::from_millis(5);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn reachable_at(at: Instant) -> StoreReachability {
    let mut reachability = StoreReachability::default();
    reachability.answered(at);
    reachability
}

/// Guards against callers that wait although the store is known to refuse this host.
#[test]
fn refused_reads() {
    let start = Instant::now();
    let mut reachability = reachable_at(start);
    reachability.read_failed();
    assert!(
        !reachability.is_unreachable(start + ms(200), PROMPT_DELAY),
        "a short outage is bridged"
    );
    assert!(reachability.is_unreachable(start + ms(400), PROMPT_DELAY));
    reachability.answered(start + ms(500));
    assert!(!reachability.is_unreachable(start + ms(900), PROMPT_DELAY));
}

/// Guards against records that are sent into a network partition: their callers could not try
/// another entry any more.
#[test]
fn silent_reads() {
    let start = Instant::now();
    let reachability = reachable_at(start);
    assert!(
        !reachability.is_unreachable(start + ms(1_000), PROMPT_DELAY),
        "a read may wait for records"
    );
    assert!(reachability.is_unreachable(start + ms(1_400), PROMPT_DELAY));
}

/// Guards against refusing work that a slow store would still accept.
#[test]
fn slow_store() {
    let start = Instant::now();
    let reachability = reachable_at(start);
    assert!(!reachability.is_unreachable(start + ms(1_600), ms(250)));
}

#[test]
fn unanswered_append() {
    let start = Instant::now();
    let mut reachability = reachable_at(start);
    reachability.append_unanswered(start + ms(300), ms(900));
    assert!(!reachability.is_unreachable(start + ms(300), PROMPT_DELAY));
    reachability.append_unanswered(start + ms(950), ms(900));
    assert!(reachability.is_unreachable(start + ms(950), PROMPT_DELAY));
}

/// Guards against callers that use up their few tries during an outage of some seconds.
#[test]
fn retries_outlast() {
    const TRIES: u32 = 5;
    let start = Instant::now();
    let reachability = reachable_at(start);
    let mut tried_at = start + ms(400);
    for _ in 1..TRIES {
        tried_at += reachability.retry_after(tried_at);
    }
    assert!(tried_at > start + ms(6_000));
    assert!(
        reachability.retry_after(start) <= ms(1_000),
        "a short wait at first"
    );
}
