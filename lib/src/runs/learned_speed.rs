//! How much slower than usual an upstream runs tasks, learned from its runs.

use std::time::Duration;

use super::log_run_time::LogRunTime;
use super::step_mean::StepMean;

/// The variance of the log slowness before the first run: speeds of a service's upstreams differ by
/// about a quarter.
const PRIOR_VARIANCE: f64 = 0.05;

/// The variance of the log ratio of a run time to the declared one: declared run times are off by
/// about two fifths.
const DECLARED_VARIANCE: f64 = 0.16;

/// What each run adds to the variance, since the speed of upstreams drifts.
const DRIFT_VARIANCE: f64 = 0.0003;

/// The number of standard deviations beyond which a run shows that the upstream's speed has jumped.
const JUMP_DEVIATIONS: f64 = 4.0;

/// What such a run adds to the variance: after two the old speed no longer counts.
const JUMP_VARIANCE: f64 = 0.1;

/// The largest ratio of run times, either way, that counts as one of speeds: tasks differ by more, and
/// upstreams do not.
const MAX_SLOWNESS: f64 = 64.0;

/// An upstream's slowness, learned by a Kalman filter over the natural logarithm of its run times
/// relative to those on an upstream of usual speed.
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
    /// The ratio of run times there to those on an upstream of usual speed.
    pub(crate) fn slowness(&self) -> f64 {
        self.log_slowness.exp()
    }

    /// The slowness in percent.
    pub(crate) fn slowness_percent(&self) -> u32 {
        (self.slowness() * 100.0).round() as u32
    }

    /// The natural logarithm of the slowness.
    pub(crate) fn log_slowness(&self) -> f64 {
        self.log_slowness
    }

    /// Learns from a run with a declared run time. `runs` is the number of runs that share the
    /// declaration, and so its error.
    pub(crate) fn observe_declared(&mut self, declared: Duration, took: LogRunTime, runs: usize) {
        if !declared.is_zero() {
            let variance = DECLARED_VARIANCE * runs as f64 + took.variance;
            let log_ratio = took.ln_seconds - LogRunTime::new(declared).ln_seconds;
            self.observe(log_ratio, variance);
        }
    }

    /// Learns from a run by comparing it to the other runs of its step.
    pub(crate) fn observe_within_step(&mut self, took: LogRunTime, others: &StepMean) {
        let log_ratio = took.ln_seconds - others.ln_seconds();
        self.observe(log_ratio, others.variance_of(took));
    }

    /// Learns from a run whose progress predicts a much longer run time than expected on this upstream.
    ///
    /// `usual` is its expected run time on an upstream of usual speed. A ratio to the time expected
    /// here would change with what was learned before: one report may list many such runs.
    pub(crate) fn observe_crawling(&mut self, usual: Duration, predicted: Duration) {
        let (usual, predicted) = (LogRunTime::new(usual), LogRunTime::new(predicted));
        let log_ratio = predicted.ln_seconds - usual.ln_seconds;
        self.observe(log_ratio, DECLARED_VARIANCE + predicted.variance);
    }

    /// Updates the estimate with an observed log ratio of this variance.
    ///
    /// The estimate moves from one value within the largest ratio towards another, so it stays finite
    /// and within it.
    fn observe(&mut self, log_ratio: f64, observed_variance: f64) {
        let max_log_ratio = MAX_SLOWNESS.ln();
        let log_ratio = log_ratio.clamp(-max_log_ratio, max_log_ratio);
        let innovation = log_ratio - self.log_slowness;
        self.variance += DRIFT_VARIANCE;
        if innovation.abs() > JUMP_DEVIATIONS * (self.variance + observed_variance).sqrt() {
            self.variance += JUMP_VARIANCE;
        }
        let gain = self.variance / (self.variance + observed_variance);
        self.log_slowness += gain * innovation;
        self.variance *= 1.0 - gain;
    }
}
