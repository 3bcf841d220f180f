//! A mean and a variance of recent values.

/// The weight of a new value once many were recorded.
const MIN_WEIGHT: f64 = 1.0 / 1_024.0;

/// An exponentially weighted mean and variance; unweighted until many values were recorded.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunningMean {
    mean: f64,
    variance: f64,
    samples: u64,
}

impl RunningMean {
    /// Records a value.
    pub(crate) fn record(&mut self, value: f64) {
        self.samples += 1;
        let weight = (1.0 / self.samples as f64).max(MIN_WEIGHT);
        let deviation = value - self.mean;
        self.mean += deviation * weight;
        self.variance = (1.0 - weight) * (self.variance + weight * deviation * deviation);
    }

    /// The mean; zero when nothing was recorded.
    pub(crate) fn mean(&self) -> f64 {
        self.mean
    }

    /// The variance; zero when nothing was recorded.
    pub(crate) fn variance(&self) -> f64 {
        self.variance
    }

    /// The number of recorded values.
    pub(crate) fn samples(&self) -> u64 {
        self.samples
    }
}
