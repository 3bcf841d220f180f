//! Estimates of run times from what was measured, with declared figures distrusted.

use std::time::Duration;

use almondhead_macros::value;

/// The estimate before anything was measured or declared.
pub const DEFAULT_RUN: Duration = Duration::from_millis(300);

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

/// The run times of one service's tasks, in bounded memory.
#[derive(Clone, Debug, Default)]
pub struct RunEstimate {
    mean_us: f64,
    samples: u64,
}

impl RunEstimate {
    /// Counts the run time of a task that finished.
    pub fn record(&mut self, run: Duration) {
        self.samples += 1;
        let run_us = run.as_secs_f64() * 1e6;
        self.mean_us += (run_us - self.mean_us) / (self.samples.min(100) as f64);
    }

    /// Counts the run time of a finished task whose submission declared `declared`.
    pub fn record_declared(&mut self, _declared: Duration, run: Duration) {
        self.record(run);
    }

    /// The estimate for a task whose submission declares `declared`.
    pub fn reading(&self, declared: Option<Duration>) -> RunEstimateReading {
        let mean = match self.samples {
            0 => declared.unwrap_or(DEFAULT_RUN),
            _ => Duration::from_secs_f64(self.mean_us / 1e6),
        };
        RunEstimateReading {
            mean,
            high: mean * 3,
            samples: self.samples,
        }
    }
}
