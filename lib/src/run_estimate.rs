//! Estimates of run times from measured ones and, as far as they prove accurate, declared ones.

use std::time::Duration;

use almondhead_macros::value;

use crate::run_histogram::RunHistogram;
use crate::running_mean::RunningMean;
use crate::scaling::from_seconds;
use crate::scaling::scaled;

/// The estimate while no run time was measured or declared.
pub const DEFAULT_RUN: Duration = Duration::from_millis(300);

/// The lower bound on a declared run time while none was measured.
const MIN_DECLARED_RUN: Duration = Duration::from_millis(10);

/// The upper bound on a declared run time while none was measured.
const MAX_DECLARED_RUN: Duration = Duration::from_secs(5);

/// The ratio of the high run time to the mean while no run time was measured.
const DEFAULT_HIGH_FACTOR: f64 = 3.0;

/// The quantile of run times that is the high run time.
const HIGH_QUANTILE: f64 = 0.99;

/// The number of tasks among which one is expected to exceed the high run time.
const TASKS_PER_HIGH_RUN: f64 = 100.0;

/// The number of finished tasks with a declared run time from which declarations count.
const MIN_DECLARED_SAMPLES: u64 = 16;

/// The upper bound on an estimate.
const MAX_ESTIMATE: Duration = Duration::from_secs(3_600);

/// The resolution of run times: shorter ones count as this.
const MIN_RUN: Duration = Duration::from_micros(100);

/// The expected run time of a task.
#[value]
#[derive(Copy)]
pub struct RunEstimateReading {
    /// The expected run time.
    pub mean: Duration,
    /// The run time that about one task in a hundred exceeds.
    pub high: Duration,
    /// The number of run times that were measured.
    pub samples: u64,
}

impl RunEstimateReading {
    /// A run time that the longest of `tasks` tasks rarely exceeds.
    ///
    /// It is the high run time for up to a hundred tasks, and grows with the logarithm of their
    /// number beyond.
    pub fn longest_of(&self, tasks: u32) -> Duration {
        let share = f64::from(tasks.max(1)).ln() / TASKS_PER_HIGH_RUN.ln();
        scaled(self.high, share.max(1.0))
    }
}

/// Statistics of the run times of one service's tasks, in bounded memory.
///
/// A declared run time is corrected by the mean error of earlier declarations. Its weight is the
/// variance of run times relative to the variance of the declarations' errors, so declarations that
/// err widely get little weight.
#[derive(Clone, Debug, Default)]
pub struct RunEstimate {
    run_time_s: RunningMean,
    run_time_log: RunningMean,
    /// The run times of the tasks with a declared one.
    run_time_of_declared_s: RunningMean,
    declared_run_time_s: RunningMean,
    /// The logarithm of the run time over the declared one.
    declared_error_log: RunningMean,
    histogram: RunHistogram,
}

impl RunEstimate {
    /// Records the run time of a finished task.
    pub fn record(&mut self, run_time: Duration) {
        self.run_time_s.record(run_time.as_secs_f64());
        self.run_time_log.record(log_of(run_time));
        self.histogram.record(run_time);
    }

    /// Records the run time of a finished task whose submission declared `declared`.
    pub fn record_declared(&mut self, declared: Duration, run_time: Duration) {
        self.record(run_time);
        self.run_time_of_declared_s.record(run_time.as_secs_f64());
        self.declared_run_time_s.record(declared.as_secs_f64());
        let error_log = log_of(run_time) - log_of(declared);
        self.declared_error_log.record(error_log);
    }

    /// The estimate for a task whose submission declares `declared`.
    pub fn reading(&self, declared: Option<Duration>) -> RunEstimateReading {
        let samples = self.run_time_s.samples();
        if samples == 0 {
            let mean = declared.map_or(DEFAULT_RUN, |run_time| {
                run_time.clamp(MIN_DECLARED_RUN, MAX_DECLARED_RUN)
            });
            let high = scaled(mean, DEFAULT_HIGH_FACTOR);
            return RunEstimateReading {
                mean,
                high,
                samples,
            };
        }
        let mean = from_seconds(self.run_time_s.mean());
        let estimate = declared.map_or(mean, |declared| self.weighted(mean, declared));
        let scale = log_of(estimate) - log_of(mean);
        let high = scaled(self.histogram.quantile(HIGH_QUANTILE), scale.exp());
        RunEstimateReading {
            mean: estimate,
            high: high.max(estimate),
            samples,
        }
    }

    /// The weighted mean of the measured mean and the corrected declared run time, in logarithms.
    fn weighted(&self, mean: Duration, declared: Duration) -> Duration {
        if self.declared_run_time_s.samples() < MIN_DECLARED_SAMPLES
            || self.declared_run_time_s.mean() <= 0.0
        {
            return mean;
        }
        let run_time_variance = self.run_time_log.variance();
        let error_variance = self.declared_error_log.variance();
        let weight =
            run_time_variance / (run_time_variance + error_variance).max(f64::MIN_POSITIVE);
        let correction = self.run_time_of_declared_s.mean() / self.declared_run_time_s.mean();
        let corrected_log = log_of(declared) + correction.max(f64::MIN_POSITIVE).ln();
        let weighted_log = weight * corrected_log + (1.0 - weight) * log_of(mean);
        let weighted = from_seconds(weighted_log.exp()).min(MAX_ESTIMATE);
        weighted.max(MIN_RUN)
    }
}

/// The natural logarithm of a run time in seconds.
fn log_of(run_time: Duration) -> f64 {
    run_time.max(MIN_RUN).as_secs_f64().ln()
}
