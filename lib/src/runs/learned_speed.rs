//! How much slower than declared an upstream runs tasks, learned from runs that are done.

use std::time::Duration;

/// The variance of the logarithm before anything was learned: speeds of one service differ by
/// about a quarter.
const PRIOR_VARIANCE: f64 = 0.05;

/// The variance of one run time against the declared one, in logarithms: declared run times are
/// off by about two fifths.
const DECLARED_VARIANCE: f64 = 0.16;

/// The variance of one run time against those of other tasks of its step, in logarithms: they
/// differ by about a seventh.
const SIBLING_VARIANCE: f64 = 0.02;

/// What the variance grows by with each run, since upstreams change their speed.
const DRIFT_VARIANCE: f64 = 0.0003;

/// The standard deviations beyond which a run says that the upstream has changed.
const SURPRISE: f64 = 4.0;

/// What the variance grows by with a surprise: after two the old speed is forgotten.
const SURPRISE_VARIANCE: f64 = 0.1;

/// A learned slowness, by a Kalman filter over the logarithm of run time over declared time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LearnedSpeed {
    log_slowness: f64,
    variance: f64,
}

impl Default for LearnedSpeed {
    fn default() -> Self {
        LearnedSpeed {
            log_slowness: 0.0,
            variance: PRIOR_VARIANCE,
        }
    }
}

impl LearnedSpeed {
    /// The run times over the declared ones.
    pub(crate) fn slowness(&self) -> f64 {
        self.log_slowness.exp()
    }

    /// The slowness in hundredths.
    pub(crate) fn slowness_percent(&self) -> u32 {
        (self.slowness() * 100.0).round() as u32
    }

    /// The logarithm of the slowness.
    pub(crate) fn log_slowness(&self) -> f64 {
        self.log_slowness
    }

    /// Learns from a run whose time was declared, one of `runs` with the same declaration and so
    /// with the same error.
    pub(crate) fn observe_declared(&mut self, declared: Duration, took: Duration, runs: usize) {
        if !declared.is_zero() && !took.is_zero() {
            let variance = DECLARED_VARIANCE * runs as f64;
            self.observe(log_s(took) - log_s(declared), variance);
        }
    }

    /// Learns from a run beside `siblings` others of its step, whose run times at usual speed
    /// have this mean logarithm.
    pub(crate) fn observe_beside(&mut self, took: Duration, mean_log_s: f64, siblings: usize) {
        if siblings > 0 && !took.is_zero() {
            let variance = SIBLING_VARIANCE * (1.0 + 1.0 / siblings as f64);
            self.observe(log_s(took) - mean_log_s, variance);
        }
    }

    /// Learns from a run whose progress predicts a much longer run time than expected there.
    pub(crate) fn observe_crawling(&mut self, expected: Duration, predicted: Duration) {
        if !expected.is_zero() && !predicted.is_zero() {
            let log_ratio = log_s(predicted) - log_s(expected) + self.log_slowness;
            self.observe(log_ratio, DECLARED_VARIANCE);
        }
    }

    fn observe(&mut self, log_ratio: f64, noise: f64) {
        let off = log_ratio - self.log_slowness;
        self.variance += DRIFT_VARIANCE;
        if off.abs() > SURPRISE * (self.variance + noise).sqrt() {
            self.variance += SURPRISE_VARIANCE;
        }
        let gain = self.variance / (self.variance + noise);
        self.log_slowness += gain * off;
        self.variance *= 1.0 - gain;
    }
}

/// The natural logarithm of a duration in seconds.
pub(crate) fn log_s(duration: Duration) -> f64 {
    duration.as_secs_f64().ln()
}
