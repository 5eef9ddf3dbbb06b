//! A clock that goes on while the host is suspended.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// A point in time on the clock that counts suspended time too.
///
/// A process that was frozen for seconds must not take an old proof for a new one; the steady
/// clock that the standard library offers stands still meanwhile and would let it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct BootTime(Duration);

impl BootTime {
    /// Returns the present time.
    pub fn now() -> Self {
        let now = clock_gettime(ClockId::CLOCK_BOOTTIME);
        // Every kernel that runs this program has the clock; without it nothing would be proved.
        Self(now.map(Duration::from).unwrap_or_default())
    }

    /// Returns the time that has gone by since `self`.
    pub fn elapsed(self) -> Duration {
        Self::now().0.saturating_sub(self.0)
    }
}
