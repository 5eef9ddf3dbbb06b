//! Bounds retries to a share of first attempts.

/// One retry, in hundredths.
const HUNDREDTHS_PER_RETRY: u64 = 100;

/// Retries that a process may make before it has seen any request.
const INITIAL_RETRIES: u64 = 10;

/// Retries that may be saved up; more would let a quiet hour pay for a storm.
const MAX_SAVED_RETRIES: u64 = 50;

/// Retries that may be made now.
///
/// When backend servers refuse much, each retry adds work to those that are left. With a budget
/// the load can't grow past the share that operators set, whatever fails.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    hundredths: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            hundredths: INITIAL_RETRIES * HUNDREDTHS_PER_RETRY,
        }
    }
}

impl RetryBudget {
    /// Takes note of a first attempt, which earns `percent` of a retry.
    pub fn earn(&mut self, percent: u32) {
        let sum = self.hundredths.saturating_add(u64::from(percent));
        self.hundredths = sum.min(MAX_SAVED_RETRIES * HUNDREDTHS_PER_RETRY);
    }

    /// Pays for one retry; returns whether there was enough.
    pub fn spend(&mut self) -> bool {
        let left = self.hundredths.checked_sub(HUNDREDTHS_PER_RETRY);
        self.hundredths = left.unwrap_or(self.hundredths);
        left.is_some()
    }
}
