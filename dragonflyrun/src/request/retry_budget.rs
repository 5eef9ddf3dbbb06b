//! Limits retries to a share of first attempts.

/// The cost of one retry, in hundredths.
const HUNDREDTHS_PER_RETRY: u64 = 100;

/// Number of retries that a process may make before its first request.
const INITIAL_RETRIES: u64 = 10;

/// Maximum number of retries that can be saved up. With more, the budget earned over hours without
/// failures would allow a retry storm.
const MAX_SAVED_RETRIES: u64 = 50;

/// The number of retries that may be made now.
///
/// When backend servers refuse many requests, each retry adds load to the remaining servers. The
/// budget limits this additional load to the share that operators set, whatever fails.
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
    /// Records a first attempt, which earns `percent` of a retry.
    pub fn earn(&mut self, percent: u32) {
        let sum = self.hundredths.saturating_add(u64::from(percent));
        self.hundredths = sum.min(MAX_SAVED_RETRIES * HUNDREDTHS_PER_RETRY);
    }

    /// Spends one retry; returns whether the budget allowed it.
    pub fn spend(&mut self) -> bool {
        let left = self.hundredths.checked_sub(HUNDREDTHS_PER_RETRY);
        self.hundredths = left.unwrap_or(self.hundredths);
        left.is_some()
    }
}
