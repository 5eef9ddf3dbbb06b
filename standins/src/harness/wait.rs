//! Waiting on conditions in place of sleeping.

use std::{
    thread,
    time::{Duration, Instant},
};

/// How long a condition is waited for that holds within a few seconds on an idle machine. Generous,
/// so that a busy machine changes no verdict.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until `probe` returns a value.
///
/// # Panics
///
/// Where it does not within [`WAIT_TIMEOUT`]; `what` says what was waited for.
#[track_caller]
pub fn wait_for<T>(what: &str, mut probe: impl FnMut() -> Option<T>) -> T {
    let until = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(value) = probe() {
            return value;
        }
        assert!(Instant::now() < until, "waited in vain for {what}");
        thread::sleep(POLL_INTERVAL);
    }
}

/// Waits until `condition` holds.
///
/// # Panics
///
/// As [`wait_for`].
#[track_caller]
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    wait_for(what, || condition().then_some(()));
}
