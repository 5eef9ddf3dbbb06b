//! How much room the more urgent work takes up at its peaks, learned from what runs and waits.
//!
//! Load pattern answered here: urgent gangs come in bursts to a pool that is full of work with time
//! to wait. Without room that is kept ready, each has to wait until other work has been stopped for
//! it, which can take most of the time that it has; kept in a fixed share of the pool, the room is
//! too little for one deployment and stands empty in another.

use std::{collections::BTreeMap, time::Duration};

use crate::utils::Timestamp;

/// Time after which half of a peak is forgotten.
const PEAK_HALF_LIFE: Duration = Duration::from_secs(20);

/// Share of the pool that is kept for more urgent work at the most, so that no work ever stands
/// still altogether.
const MAX_RESERVED_SHARE: f64 = 0.65;

/// Share that is kept before any peak has been seen: the first gang finds some whole workers.
const MIN_RESERVED_SHARE: f64 = 0.1;

/// The newest peaks of the load by its urgency.
#[derive(Clone, Debug, Default)]
pub(super) struct PeakLoad {
    /// By priority: the peak of all work that is as urgent or more so, as a share of the pool.
    peaks: BTreeMap<u32, f64>,
    observed_at: Option<Timestamp>,
}

impl PeakLoad {
    /// Takes note of the work that runs or waits now, by its priority, as shares of the pool.
    pub(super) fn observe(&mut self, now: Timestamp, load: &BTreeMap<u32, f64>) {
        let since = self
            .observed_at
            .map_or(Duration::ZERO, |observed_at| now.since(observed_at));
        self.observed_at = Some(now);
        let decay = 0.5_f64.powf(since.as_secs_f64() / PEAK_HALF_LIFE.as_secs_f64());
        for peak in self.peaks.values_mut() {
            *peak *= decay;
        }
        let mut as_urgent = 0.0;
        for (priority, share) in load {
            as_urgent += share;
            let peak = self.peaks.entry(*priority).or_default();
            *peak = peak.max(as_urgent).min(MAX_RESERVED_SHARE);
        }
    }

    /// Returns the shares of the pool that are kept free of work of a priority and of less urgent
    /// work, the least urgent first.
    pub(super) fn reserved_shares(&self) -> impl Iterator<Item = (u32, f64)> {
        let peaks = self.peaks.iter().rev();
        peaks.map(|(priority, peak)| (*priority + 1, peak.max(MIN_RESERVED_SHARE)))
    }
}
