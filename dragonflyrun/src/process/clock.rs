//! The monotonic clock of one process.

use std::time::Instant;

use crate::utils::Timestamp;

/// Reads the time that decision tables are given.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Returns a clock that starts at zero now.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the start of the clock.
    pub fn now(&self) -> Timestamp {
        let ms = u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX);
        Timestamp::from_millis(ms)
    }
}
