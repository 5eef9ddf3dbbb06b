//! Delays between attempts while the store refuses calls or does not answer.
//!
//! The load behind this is a busy store that turns a third of the hosts away for seconds. With a
//! constant delay each of their loops would call it ten times a second, far more often than in good
//! times.

use std::time::Duration;

use rand::Rng;

/// Delay before the first retry.
const MIN_DELAY: Duration = Duration::from_millis(100);

/// Relative range of the random part of a delay, so that hosts that were turned away together don't
/// return together.
const JITTER: std::ops::Range<f64> = 0.75..1.25;

/// Exponential delays between the attempts of one loop.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Records that an attempt has succeeded.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// Records that an attempt has failed and returns the delay before the next one: twice the one
    /// before, but about `max` at the most.
    pub fn failed(&mut self, max: Duration) -> Duration {
        let delay = MIN_DELAY.saturating_mul(1 << self.failures.min(16));
        self.failures += 1;
        delay.min(max).mul_f64(rand::rng().random_range(JITTER))
    }
}
