//! Statistics of recent request run times.

use std::time::Duration;

use crate::utils::Timestamp;

/// Number of samples over which the mean is taken: each new sample has the weight of one in this
/// many.
const SAMPLE_WINDOW: f64 = 8.0;

/// Number of mean deviations above the mean within which most requests end.
const DEVIATIONS_ABOVE_MEAN: f64 = 2.0;

/// Age of the last sample up to which the statistics predict the run time of new requests.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(10);

/// A sample is capped at this multiple of the mean once there are [`SAMPLE_WINDOW`] samples.
/// Without the cap, a single sample from a slow backend server would make the entry refuse requests
/// with short deadlines for a while.
const MAX_SAMPLE_MEANS: f64 = 3.0;

/// An exponentially weighted mean of durations with its mean deviation.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunTime {
    mean_ms: f64,
    deviation_ms: f64,
    samples: u32,
    last_sample_at: Timestamp,
}

impl RunTime {
    /// Adds a sample that was taken at `now`.
    pub fn add(&mut self, now: Timestamp, sample: Duration) {
        let mut ms = sample.as_secs_f64() * 1_000.0;
        if f64::from(self.samples) >= SAMPLE_WINDOW {
            ms = ms.min((self.mean_ms * MAX_SAMPLE_MEANS).max(1.0));
        }
        self.last_sample_at = now;
        self.samples = self.samples.saturating_add(1);
        let weight = SAMPLE_WINDOW.min(f64::from(self.samples));
        let error = ms - self.mean_ms;
        self.mean_ms += error / weight;
        if self.samples > 1 {
            self.deviation_ms += (error.abs() - self.deviation_ms) / weight;
        }
    }

    /// Returns the mean in milliseconds, or none before the first sample.
    pub fn mean_ms(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.mean_ms)
    }

    /// Returns the mean in milliseconds, or none if the last sample is older than
    /// `MAX_SAMPLE_AGE`.
    ///
    /// An agent that seems too slow for every request gets none that could show that it has become
    /// faster, so the estimate has to expire.
    pub fn recent_mean_ms(&self, now: Timestamp) -> Option<f64> {
        self.mean_ms()
            .filter(|_| now.since(self.last_sample_at) <= MAX_SAMPLE_AGE)
    }

    /// Returns the time within which most requests end, or zero if it is not known.
    pub fn upper_bound(&self, now: Timestamp) -> Duration {
        let mean_ms = self.recent_mean_ms(now);
        let bound_ms = mean_ms.map_or(0.0, |mean| mean + DEVIATIONS_ABOVE_MEAN * self.deviation_ms);
        Duration::from_secs_f64(bound_ms.max(0.0) / 1_000.0)
    }
}
