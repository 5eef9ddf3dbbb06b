//! Retries of loops while the store refuses their calls.

use std::time::Duration;

use dragonflyrun::workload::Backoff;

const OUTAGE: Duration = Duration::from_secs(9);

const MAX_DELAY: Duration = Duration::from_millis(400);

/// Guards against a busy store that is called more often by the hosts that it turns away than by the
/// others.
#[test]
fn few_retries() {
    let mut backoff = Backoff::default();
    let mut elapsed = Duration::ZERO;
    let retries = (0..).take_while(|_| {
        elapsed += backoff.failed(Duration::ZERO, MAX_DELAY);
        elapsed < OUTAGE
    });
    let retries = retries.count();
    assert!(
        (18..=34).contains(&retries),
        "{retries} retries in {OUTAGE:?}"
    );
}

/// Guards against a return of the store that is noticed late because an earlier outage was long.
#[test]
fn starts_over() {
    let mut backoff = Backoff::default();
    for _ in 0..40 {
        assert!(backoff.failed(Duration::ZERO, MAX_DELAY) <= MAX_DELAY.mul_f64(1.25));
    }
    backoff.succeeded();
    assert!(backoff.failed(Duration::ZERO, MAX_DELAY) <= Duration::from_millis(125));
}

/// Guards against a store that is slow and counts as lost: an attempt that took long is followed by the
/// next one as soon as the first retry.
#[test]
fn slow_attempts() {
    let mut backoff = Backoff::default();
    for _ in 0..10 {
        let delay = backoff.failed(Duration::from_millis(500), MAX_DELAY);
        assert!(delay <= Duration::from_millis(125), "{delay:?}");
    }
}
