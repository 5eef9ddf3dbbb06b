//! Peak load of the more urgent work, learned from what runs and waits.
//!
//! Urgent gangs arrive in bursts at a pool that is full of less urgent work, which has time to wait.
//! Without reserved workers, each gang has to wait until other work has been stopped for it, which
//! can take most of the time that it has. A fixed reserved share would be too small for one
//! deployment and idle in another.

use std::{collections::BTreeMap, time::Duration};

use crate::utils::Timestamp;

/// Time after which a recorded peak has decayed to half.
const PEAK_HALF_LIFE: Duration = Duration::from_secs(20);

/// Maximum share of the pool that is reserved for more urgent work, so that no work is ever blocked
/// completely.
const MAX_RESERVED_SHARE: f64 = 0.65;

/// Minimum reserved share, which applies before any peak has been seen, so that the first gang
/// finds some whole workers.
const MIN_RESERVED_SHARE: f64 = 0.1;

/// Decaying peaks of the load by priority.
#[derive(Clone, Debug, Default)]
pub(super) struct PeakLoad {
    /// By priority: the peak of all work of this or a more urgent priority, as a share of the pool.
    peaks: BTreeMap<u32, f64>,
    observed_at: Option<Timestamp>,
}

impl PeakLoad {
    /// Records the running and waiting work by priority, as shares of the pool.
    pub(super) fn observe(&mut self, now: Timestamp, load: &BTreeMap<u32, f64>) {
        let since = self
            .observed_at
            .map_or(Duration::ZERO, |observed_at| now.since(observed_at));
        self.observed_at = Some(now);
        let decay = 0.5_f64.powf(since.as_secs_f64() / PEAK_HALF_LIFE.as_secs_f64());
        for peak in self.peaks.values_mut() {
            *peak *= decay;
        }
        let mut cumulative = 0.0;
        for (priority, share) in load {
            cumulative += share;
            let peak = self.peaks.entry(*priority).or_default();
            *peak = peak.max(cumulative).min(MAX_RESERVED_SHARE);
        }
    }

    /// Returns the shares of the pool that are reserved against a priority and all less urgent
    /// work, the least urgent first.
    pub(super) fn reserved_shares(&self) -> impl Iterator<Item = (u32, f64)> {
        let peaks = self.peaks.iter().rev();
        peaks.map(|(priority, peak)| (*priority + 1, peak.max(MIN_RESERVED_SHARE)))
    }
}
