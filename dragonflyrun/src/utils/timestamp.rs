//! Points in time that are passed to the decision tables.

use std::{
    ops::{Add, Sub},
    time::Duration, //
};

use serde::{Deserialize, Serialize};

/// Milliseconds on the monotonic clock of one process.
///
/// Decision tables take it as an argument, so that tests and benchmarks can run them on a simulated
/// clock. Timestamps of two processes are never compared.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Timestamp(u64);

impl Timestamp {
    /// Returns the point in time `ms` milliseconds after the start of the clock.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms)
    }

    /// Returns the milliseconds since the start of the clock.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the time from `earlier` to `self`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, by: Duration) -> Self {
        let ms = u64::try_from(by.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(ms))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Self;

    fn sub(self, by: Duration) -> Self {
        let ms = u64::try_from(by.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(ms))
    }
}
