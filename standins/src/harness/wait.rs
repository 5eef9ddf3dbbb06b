//! Polls for conditions, so that tests don't sleep for fixed times.

use std::{
    thread,
    time::{Duration, Instant},
};

/// Timeout for conditions that hold within a few seconds on an idle machine. It is long, so that
/// tests don't fail only because the machine is busy.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until `probe` returns a value.
///
/// # Panics
///
/// If it returns none within [`WAIT_TIMEOUT`]; `what` names the awaited condition.
#[track_caller]
pub fn wait_for<T>(what: &str, mut probe: impl FnMut() -> Option<T>) -> T {
    let until = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(value) = probe() {
            return value;
        }
        assert!(Instant::now() < until, "timed out waiting for {what}");
        thread::sleep(POLL_INTERVAL);
    }
}

/// Waits until `condition` holds.
///
/// # Panics
///
/// If it does not hold within [`WAIT_TIMEOUT`]; `what` names the condition.
#[track_caller]
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    wait_for(what, || condition().then_some(()));
}
