//! The mean run time of the tasks of one step, with which the speeds of their upstreams are compared.

use super::log_run_time::LogRunTime;

/// The variance of the log ratio of a run time to those of other tasks of its step: they differ by
/// about a seventh.
const SAME_STEP_VARIANCE: f64 = 0.02;

/// Run times of one step as logarithms of seconds at usual speed; the less exact, the less they count.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StepMean {
    runs: usize,
    weight: f64,
    weighted_sum: f64,
}

impl StepMean {
    /// Adds a run on an upstream of this log slowness.
    pub(crate) fn add(&mut self, run: LogRunTime, log_slowness: f64) {
        let weight = weight_of(run);
        self.runs += 1;
        self.weight += weight;
        self.weighted_sum += weight * (run.ln_seconds - log_slowness);
    }

    /// The mean without a run that was added; none without other runs.
    pub(crate) fn without(&self, run: LogRunTime, log_slowness: f64) -> Option<StepMean> {
        if self.runs < 2 {
            return None;
        }
        let weight = weight_of(run);
        Some(StepMean {
            runs: self.runs - 1,
            weight: self.weight - weight,
            weighted_sum: self.weighted_sum - weight * (run.ln_seconds - log_slowness),
        })
    }

    /// The mean.
    pub(crate) fn ln_seconds(&self) -> f64 {
        self.weighted_sum / self.weight
    }

    /// The variance of the log ratio of another run's time to the mean.
    pub(crate) fn variance_of(&self, run: LogRunTime) -> f64 {
        1.0 / weight_of(run) + 1.0 / self.weight
    }
}

fn weight_of(run: LogRunTime) -> f64 {
    1.0 / (SAME_STEP_VARIANCE + run.variance)
}
