//! Probability distributions over the slowness of a worker, on a fixed grid of its logarithm.

use std::sync::LazyLock;

/// Number of grid points: from 0.32 to 4.6 times the nominal time.
pub(super) const POINTS: usize = 29;

/// The index of the grid point of a nominal worker.
const NOMINAL: usize = 12;

/// Ratio between the slowness of two neighbouring grid points. Callers can't notice a smaller
/// difference between two workers.
pub(in crate::workload) const STEP_RATIO: f64 = 1.1;

/// Smallest factor by which evidence changes the probability of a grid point, relative to the most
/// likely one. Newer evidence can therefore always overturn older evidence.
const MIN_LIKELIHOOD: f64 = 1e-3;

/// A function on the grid: a probability distribution or a likelihood.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Belief([f64; POINTS]);

/// Returns the logarithm of the slowness at a grid point.
fn ln_slowness(point: usize) -> f64 {
    (point as f64 - NOMINAL as f64) * STEP_RATIO.ln()
}

impl Belief {
    /// Returns a likelihood that says nothing.
    pub(super) fn flat() -> Self {
        Self([1.0; POINTS])
    }

    /// Returns the sum of no distributions.
    pub(super) fn zero() -> Self {
        Self([0.0; POINTS])
    }

    /// Returns the distribution or likelihood with the given value for each logarithm of a slowness.
    pub(super) fn from_fn(f: impl Fn(f64) -> f64) -> Self {
        Self(std::array::from_fn(|point| f(ln_slowness(point))))
    }

    /// Returns a normal distribution over the logarithm, not normalized.
    pub(super) fn normal(mean: f64, deviation: f64) -> Self {
        Self::from_fn(|x| (-0.5 * ((x - mean) / deviation).powi(2)).exp())
    }

    /// Returns the distribution or likelihood with these values at the grid points.
    pub(super) fn from_values(values: [f64; POINTS]) -> Self {
        Self(values)
    }

    /// Returns the value at each grid point.
    pub(super) fn values(&self) -> &[f64; POINTS] {
        &self.0
    }

    /// Returns the sum with `other`, which counts `weight` times.
    pub(super) fn plus(&self, other: &Self, weight: f64) -> Self {
        Self(std::array::from_fn(|i| self.0[i] + other.0[i] * weight))
    }

    /// Returns the product with a likelihood.
    pub(super) fn times(&self, likelihood: &Self) -> Self {
        Self(std::array::from_fn(|i| self.0[i] * likelihood.0[i]))
    }

    /// Returns the distribution without a likelihood that was multiplied into it.
    pub(super) fn without(&self, likelihood: &Self) -> Self {
        Self(std::array::from_fn(|i| self.0[i] / likelihood.0[i]))
    }

    /// Returns the distribution with a sum of 1.
    pub(super) fn normalized(&self) -> Self {
        let sum: f64 = self.0.iter().sum();
        if sum <= 0.0 {
            return Self([1.0 / POINTS as f64; POINTS]);
        }
        Self(self.0.map(|p| p / sum))
    }

    /// Returns the likelihood with a maximum of 1.
    pub(super) fn scaled(&self) -> Self {
        let max = self.0.iter().copied().fold(f64::MIN_POSITIVE, f64::max);
        Self(self.0.map(|p| p / max))
    }

    /// Returns the likelihood with a maximum of 1 and no value below the minimum.
    pub(super) fn bounded(&self) -> Self {
        let max = self.0.iter().copied().fold(0.0, f64::max);
        if max <= 0.0 {
            return Self::flat();
        }
        Self(self.0.map(|p| (p / max).max(MIN_LIKELIHOOD)))
    }

    /// Returns the cumulative distribution of a normalized distribution.
    pub(super) fn cumulative(&self) -> [f64; POINTS] {
        let mut sum = 0.0;
        self.0.map(|p| {
            sum += p;
            sum
        })
    }

    /// Returns the expectation of `f` over the logarithm, for a normalized distribution.
    pub(super) fn expect(&self, f: impl Fn(f64) -> f64) -> f64 {
        let points = self.0.iter().enumerate();
        points.map(|(i, p)| p * f(ln_slowness(i))).sum()
    }

    /// Returns the expected slowness, for a normalized distribution.
    pub(super) fn mean_slowness(&self) -> f64 {
        /// The slowness at each grid point. A pass asks for that of each worker and run.
        static SLOWNESS: LazyLock<[f64; POINTS]> =
            LazyLock::new(|| std::array::from_fn(|point| ln_slowness(point).exp()));
        let points = self.0.iter().zip(SLOWNESS.iter());
        points.map(|(p, slowness)| p * slowness).sum()
    }

    /// Returns the probability that the slowness is nominal, for a normalized distribution.
    pub(super) fn nominal_probability(&self) -> f64 {
        self.0[NOMINAL]
    }

    /// Returns the mean and the standard deviation of the logarithm.
    pub(super) fn moments(&self) -> (f64, f64) {
        let mean = self.expect(|x| x);
        let variance = self.expect(|x| (x - mean).powi(2));
        (mean, variance.sqrt())
    }
}

/// Returns the distribution of the largest of independent values with these distributions.
pub(super) fn largest<'a>(beliefs: impl Iterator<Item = &'a Belief>) -> Belief {
    let mut cumulative = [1.0; POINTS];
    for belief in beliefs {
        for (product, p) in cumulative.iter_mut().zip(belief.cumulative()) {
            *product *= p;
        }
    }
    Belief(std::array::from_fn(|i| {
        cumulative[i] - if i == 0 { 0.0 } else { cumulative[i - 1] }
    }))
}
