//! When callers are refused since the store is away.

use std::time::{Duration, Instant};

use dragonflyrun::workload::StoreReachability;

const PROMPT: Duration = Duration::from_millis(5);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn reached(at: Instant) -> StoreReachability {
    let mut reach = StoreReachability::default();
    reach.answered(at);
    reach
}

/// Guards against callers that wait while it is known that the store turns this host away.
#[test]
fn refused_reads() {
    let start = Instant::now();
    let mut reach = reached(start);
    reach.read_failed();
    assert!(
        !reach.is_unreachable(start + ms(200), PROMPT),
        "it is bridged"
    );
    assert!(reach.is_unreachable(start + ms(400), PROMPT));
    reach.answered(start + ms(500));
    assert!(!reach.is_unreachable(start + ms(900), PROMPT));
}

/// Guards against records sent into a partition, whose callers could not try elsewhere any more.
#[test]
fn silent_reads() {
    let start = Instant::now();
    let reach = reached(start);
    assert!(!reach.is_unreachable(start + ms(1_000), PROMPT), "no news");
    assert!(reach.is_unreachable(start + ms(1_400), PROMPT));
}

/// Guards against refusing work that a slow store would still take.
#[test]
fn slow_store() {
    let start = Instant::now();
    let reach = reached(start);
    assert!(!reach.is_unreachable(start + ms(1_600), ms(250)));
}

#[test]
fn unanswered_append() {
    let start = Instant::now();
    let mut reach = reached(start);
    reach.append_unanswered(start + ms(300), ms(900));
    assert!(!reach.is_unreachable(start + ms(300), PROMPT));
    reach.append_unanswered(start + ms(950), ms(900));
    assert!(reach.is_unreachable(start + ms(950), PROMPT));
}

/// Guards against callers that use up their few tries while an outage of some seconds lasts.
#[test]
fn retries_outlast() {
    const TRIES: u32 = 5;
    let start = Instant::now();
    let reach = reached(start);
    let mut asked = start + ms(400);
    for _ in 1..TRIES {
        asked += reach.retry_after(asked);
    }
    assert!(asked > start + ms(6_000));
    assert!(reach.retry_after(start) <= ms(1_000), "a short refusal");
}
