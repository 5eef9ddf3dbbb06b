//! How long requests have taken lately.

use std::time::Duration;

use crate::utils::Timestamp;

/// The weight of one sample is one in this many.
const WEIGHT: f64 = 8.0;

/// Mean deviations above the mean within which most requests end.
const DEVIATIONS: f64 = 2.0;

/// Age up to which the run times seen are taken for those to come.
const AGE: Duration = Duration::from_secs(10);

/// A sample counts as this many times the mean at the most, once there are as many samples as
/// [`WEIGHT`] says. A single one from a slow backend server would otherwise make all requests with
/// short deadlines seem hopeless for a while.
const MOST_MEANS: f64 = 3.0;

/// A running mean of durations with its mean deviation.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunTime {
    mean_ms: f64,
    deviation_ms: f64,
    samples: u32,
    last: Timestamp,
}

impl RunTime {
    /// Adds a sample that was taken at `now`.
    pub fn add(&mut self, now: Timestamp, sample: Duration) {
        let mut ms = sample.as_secs_f64() * 1_000.0;
        if f64::from(self.samples) >= WEIGHT {
            ms = ms.min((self.mean_ms * MOST_MEANS).max(1.0));
        }
        self.last = now;
        self.samples = self.samples.saturating_add(1);
        let weight = WEIGHT.min(f64::from(self.samples));
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
        self.mean_ms().filter(|_| now.since(self.last) <= AGE)
    }

    /// Returns the time within which most requests end; zero where that is not known.
    pub fn most(&self, now: Timestamp) -> Duration {
        let mean_ms = self.recent_mean_ms(now);
        let most = mean_ms.map_or(0.0, |mean| mean + DEVIATIONS * self.deviation_ms);
        Duration::from_secs_f64(most.max(0.0) / 1_000.0)
    }
}
