//! How long requests have taken lately.

use std::time::Duration;

use crate::utils::Timestamp;

/// The weight of one sample is one in this many.
const SAMPLE_WINDOW: f64 = 8.0;

/// Mean deviations above the mean within which most requests end.
const DEVIATIONS_ABOVE_MEAN: f64 = 2.0;

/// Age up to which the run times seen are taken for those to come.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(10);

/// A sample counts as this many times the mean at the most, once there are as many samples as
/// [`SAMPLE_WINDOW`] says. A single one from a slow backend server would otherwise make all requests with
/// short deadlines seem hopeless for a while.
const MAX_SAMPLE_MEANS: f64 = 3.0;

/// A running mean of durations with its mean deviation.
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

    /// Returns the mean in milliseconds; none before the first sample.
    pub fn mean_ms(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.mean_ms)
    }

    /// Returns the mean in milliseconds; none where the last sample is too old to count on.
    ///
    /// What is believed to be too slow for everybody gets no request that could show otherwise.
    /// So the belief has to end by itself.
    pub fn recent_mean_ms(&self, now: Timestamp) -> Option<f64> {
        self.mean_ms()
            .filter(|_| now.since(self.last_sample_at) <= MAX_SAMPLE_AGE)
    }

    /// Returns the time within which most requests end; zero where that is not known.
    pub fn upper_bound(&self, now: Timestamp) -> Duration {
        let mean_ms = self.recent_mean_ms(now);
        let bound_ms = mean_ms.map_or(0.0, |mean| mean + DEVIATIONS_ABOVE_MEAN * self.deviation_ms);
        Duration::from_secs_f64(bound_ms.max(0.0) / 1_000.0)
    }
}
