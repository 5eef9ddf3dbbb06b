//! A clock that keeps running while the host is suspended.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// A point in time on the clock that includes suspended time.
///
/// A process that was frozen for seconds must not take an old confirmation for a new one. The
/// standard library's monotonic clock stops during a suspension and would allow that.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct BootTime(Duration);

impl BootTime {
    /// Returns the current time.
    pub fn now() -> Self {
        let now = clock_gettime(ClockId::CLOCK_BOOTTIME);
        // All kernels that this program runs on have this clock. Without it every elapsed time
        // would be zero, and an old confirmation would pass for a new one.
        Self(now.map(Duration::from).unwrap_or_default())
    }

    /// Returns the time elapsed since `self`.
    pub fn elapsed(self) -> Duration {
        Self::now().0.saturating_sub(self.0)
    }
}
