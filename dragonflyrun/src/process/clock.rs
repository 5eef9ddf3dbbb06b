//! The monotonic clock of one process.

use std::time::Instant;

use crate::utils::Timestamp;

/// Reads the time that is passed to the decision tables.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the clock started.
    pub fn now(&self) -> Timestamp {
        let ms = u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX);
        Timestamp::from_millis(ms)
    }
}
