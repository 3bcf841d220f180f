//! Estimates of run times from what was measured, with declared figures distrusted.

use std::time::Duration;

use almondhead_macros::value;

use crate::run_histogram::RunHistogram;
use crate::running_mean::RunningMean;

/// The estimate before anything was measured or declared.
pub const DEFAULT_RUN: Duration = Duration::from_millis(300);

/// The shortest run time that is believed without measurement.
const MIN_DECLARED: Duration = Duration::from_millis(10);

/// The longest run time that is believed without measurement.
const MAX_DECLARED: Duration = Duration::from_secs(5);

/// The high run time over the mean before anything was measured.
const DEFAULT_HIGH_FACTOR: f64 = 3.0;

/// The share of tasks that run no longer than the high run time.
const HIGH_SHARE: f64 = 0.99;

/// The number of tasks of which one is expected to exceed the high run time.
const TASKS_WITH_A_HIGH_RUN: f64 = 100.0;

/// The declared tasks from which declared figures are weighed in.
const MIN_DECLARED_SAMPLES: u64 = 16;

/// The longest estimate.
const MAX_ESTIMATE: Duration = Duration::from_secs(3_600);

/// The shortest run time told apart.
const MIN_RUN: Duration = Duration::from_micros(100);

/// How long a task is expected to run.
#[value]
#[derive(Copy)]
pub struct RunEstimateReading {
    /// The expected run time.
    pub mean: Duration,
    /// A run time that few tasks exceed.
    pub high: Duration,
    /// How many run times were measured.
    pub samples: u64,
}

impl RunEstimateReading {
    /// A run time that the longest of `tasks` rarely exceeds.
    ///
    /// It is the high run time, and grows with the logarithm of the number of tasks.
    pub fn longest_of(&self, tasks: u32) -> Duration {
        let share = f64::from(tasks.max(1)).ln() / TASKS_WITH_A_HIGH_RUN.ln();
        self.high.mul_f64(share.max(1.0))
    }
}

/// The run times of one service's tasks, in bounded memory.
///
/// A declared run time is corrected by how far the declared ones were off so far, and weighs as
/// much as it narrows the spread of run times: one that says nothing about them weighs nothing.
#[derive(Clone, Debug, Default)]
pub struct RunEstimate {
    run_s: RunningMean,
    run_log: RunningMean,
    declared_run_s: RunningMean,
    declared_s: RunningMean,
    declared_error_log: RunningMean,
    histogram: RunHistogram,
}

impl RunEstimate {
    /// Counts the run time of a task that finished.
    pub fn record(&mut self, run: Duration) {
        self.run_s.record(run.as_secs_f64());
        self.run_log.record(log_of(run));
        self.histogram.record(run);
    }

    /// Counts the run time of a finished task whose submission declared `declared`.
    pub fn record_declared(&mut self, declared: Duration, run: Duration) {
        self.record(run);
        self.declared_run_s.record(run.as_secs_f64());
        self.declared_s.record(declared.as_secs_f64());
        let error_log = log_of(run) - log_of(declared);
        self.declared_error_log.record(error_log);
    }

    /// The estimate for a task whose submission declares `declared`.
    pub fn reading(&self, declared: Option<Duration>) -> RunEstimateReading {
        let samples = self.run_s.samples();
        if samples == 0 {
            let mean = declared.map_or(DEFAULT_RUN, |run| run.clamp(MIN_DECLARED, MAX_DECLARED));
            let high = mean.mul_f64(DEFAULT_HIGH_FACTOR);
            return RunEstimateReading {
                mean,
                high,
                samples,
            };
        }
        let mean = Duration::from_secs_f64(self.run_s.mean());
        let estimate = declared.map_or(mean, |declared| self.weighed(mean, declared));
        let scale = log_of(estimate) - log_of(mean);
        let high = self.histogram.quantile(HIGH_SHARE).mul_f64(scale.exp());
        RunEstimateReading {
            mean: estimate,
            high: high.max(estimate),
            samples,
        }
    }

    /// The measured mean and the corrected declared run time, weighed by their spread.
    fn weighed(&self, mean: Duration, declared: Duration) -> Duration {
        if self.declared_s.samples() < MIN_DECLARED_SAMPLES || self.declared_s.mean() <= 0.0 {
            return mean;
        }
        let run_spread = self.run_log.variance();
        let error_spread = self.declared_error_log.variance();
        let weight = run_spread / (run_spread + error_spread).max(f64::MIN_POSITIVE);
        let correction = self.declared_run_s.mean() / self.declared_s.mean();
        let corrected_log = log_of(declared) + correction.max(f64::MIN_POSITIVE).ln();
        let weighed_log = weight * corrected_log + (1.0 - weight) * log_of(mean);
        let weighed = Duration::from_secs_f64(weighed_log.exp().min(MAX_ESTIMATE.as_secs_f64()));
        weighed.max(MIN_RUN)
    }
}

/// The natural logarithm of a run time in seconds.
fn log_of(run: Duration) -> f64 {
    run.max(MIN_RUN).as_secs_f64().ln()
}
