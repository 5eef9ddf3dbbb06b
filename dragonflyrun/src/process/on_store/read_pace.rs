//! Bounds how much of the store's rate the reads of the configuration take.
//!
//! Every entry reads each configuration in full, and all reads share the store's rate. If the entries
//! read every change as soon as it is stored, the load would grow with the product of their number,
//! the size and the frequency of the changes, and beyond the store's rate all other reads would wait
//! as well. An entry therefore pauses after each read for the time in which all entries together can
//! read as much at a share of the store's rate, whether or not the read was answered. How long a
//! change takes to be in force everywhere then depends on its size alone, and not on how many
//! precede it (`docs/incidents/congested-reads.md`).

use std::time::Duration;

use rand::Rng;

/// Share of the store's rate that the entries' reads of the configuration may take. The rest is
/// left for jobs, reports and orders.
const RATE_SHARE: f64 = 0.5;

/// Relative range of the random part of a pause, so that entries that have read a change at the same
/// moment don't read the next one at the same moment too.
const JITTER: std::ops::Range<f64> = 0.8..1.2;

/// The pace of reads that all entries make.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReadPace {
    store_bytes_per_s: Option<u64>,
}

impl ReadPace {
    /// Returns the pace of reads from a store that returns `store_bytes_per_s` bytes per second to all
    /// its readers together. If that is unknown, there are no pauses.
    pub(super) fn new(store_bytes_per_s: Option<u64>) -> Self {
        Self { store_bytes_per_s }
    }

    /// Returns the mean pause after a read of `bytes` bytes that each of `readers` processes makes.
    pub(super) fn mean_pause(&self, bytes: usize, readers: usize) -> Duration {
        let rate = self.store_bytes_per_s.filter(|rate| *rate > 0);
        rate.map_or(Duration::ZERO, |rate| {
            Duration::from_secs_f64(bytes as f64 * readers as f64 / (rate as f64 * RATE_SHARE))
        })
    }

    /// Returns the same pause with a random part.
    pub(super) fn pause(&self, bytes: usize, readers: usize) -> Duration {
        let jitter = rand::rng().random_range(JITTER);
        self.mean_pause(bytes, readers).mul_f64(jitter)
    }
}
