//! Delays between attempts while the store refuses calls or does not answer.
//!
//! The load behind this is a busy store that turns a third of the hosts away for seconds. With a
//! constant delay each of their loops would call it ten times a second, far more often than in good
//! times.

use std::time::Duration;

use rand::Rng;

/// Delay before the first retry by default.
const MIN_DELAY: Duration = Duration::from_millis(100);

/// Relative range of the random part of a delay, so that hosts that were turned away together don't
/// return together.
const JITTER: std::ops::Range<f64> = 0.75..1.25;

/// Exponential delays between the attempts of one loop.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    min_delay: Duration,
    failures: u32,
}

impl Default for Backoff {
    fn default() -> Self {
        Self::new(MIN_DELAY)
    }
}

impl Backoff {
    /// Returns delays of which the first is about `min_delay`.
    pub fn new(min_delay: Duration) -> Self {
        Self {
            min_delay,
            failures: 0,
        }
    }

    /// Returns whether the last attempt has failed.
    pub fn has_failed(&self) -> bool {
        self.failures > 0
    }

    /// Records that an attempt has succeeded.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// Records that an attempt has failed after the time `took` and returns the delay before the next
    /// one. From the beginning of one attempt to that of the next it is twice as long as the time
    /// before, but about `max` at the most: an attempt that waited for its answer in vain has been no
    /// load meanwhile, and on a slow store the next one may succeed.
    pub fn failed(&mut self, took: Duration, max: Duration) -> Duration {
        let interval = self.min_delay.saturating_mul(1 << self.failures.min(16));
        self.failures += 1;
        let delay = interval.min(max).saturating_sub(took).max(self.min_delay);
        delay.mul_f64(rand::rng().random_range(JITTER))
    }
}
