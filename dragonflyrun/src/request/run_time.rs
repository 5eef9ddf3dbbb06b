//! How long requests have taken lately.

use std::time::Duration;

/// The weight of one sample is one in this many.
const WEIGHT: f64 = 8.0;

/// A running mean of durations.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunTime {
    mean_ms: f64,
    samples: u32,
}

impl RunTime {
    /// Adds a sample.
    pub fn add(&mut self, sample: Duration) {
        let ms = sample.as_secs_f64() * 1_000.0;
        self.samples = self.samples.saturating_add(1);
        let weight = WEIGHT.min(f64::from(self.samples));
        let error = ms - self.mean_ms;
        self.mean_ms += error / weight;
    }

    /// Returns the mean in milliseconds; none before the first sample.
    pub fn mean_ms(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.mean_ms)
    }

    /// Returns the mean; zero before the first sample.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_ms.max(0.0) / 1_000.0)
    }
}
