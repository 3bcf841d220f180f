//! The jobs of a load: arrival times, sizes and run times, drawn before it starts.

use std::time::Duration;

use almondhead_macros::value;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::load_options::LoadOptions;

/// The maximum number of tasks in a job.
const MAX_TASKS_PER_JOB: f64 = 480.0;

/// The natural logarithm of the median number of tasks in a job.
const JOB_SIZE_MU: f64 = 2.0;

/// The standard deviation of the logarithm of the number of tasks in a job.
const JOB_SIZE_SIGMA: f64 = 1.32;

/// The natural logarithm of the median run time in milliseconds.
const RUN_TIME_MU: f64 = 5.3;

/// The standard deviation of the logarithm of the run time.
const RUN_TIME_SIGMA: f64 = 0.7;

/// The minimum run time in milliseconds.
const MIN_RUN_TIME_MS: f64 = 50.0;

/// The maximum run time of a task that is not a long one, in milliseconds.
const MAX_SHORT_RUN_TIME_MS: f64 = 1_000.0;

/// The share of long tasks, which run for seconds.
const LONG_TASK_SHARE: f64 = 0.01;

/// The range of the run time of a long task in milliseconds.
const LONG_RUN_TIME_MS: std::ops::Range<f64> = 2_000.0..5_000.0;

/// The number of samples for estimating the mean run time and the mean job size.
const MEAN_DRAWS: u32 = 200_000;

/// One job to submit.
#[value]
pub struct PlannedJob {
    /// The submission time, from the start of the load.
    pub at: Duration,
    /// Whether it is submitted as a single task, without a session.
    pub single: bool,
    /// The run time of each task in milliseconds.
    pub run_times_ms: Vec<u32>,
    /// Whether it is cancelled if it is open at the time of the cancellations; single tasks never
    /// are.
    pub cancelled: bool,
}

/// All jobs of a load.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// The jobs in the order of their submission times.
    pub jobs: Vec<PlannedJob>,
}

impl PlannedJob {
    /// Returns a lower bound of the response time, reached on idle upstreams.
    ///
    /// This is the time of the round trips plus the longest run time, or plus the total run time
    /// divided by the slots where that is longer.
    pub fn ideal_response_time(&self, slots: u32, round_trips: Duration) -> Duration {
        let longest_ms = self.run_times_ms.iter().copied().max().unwrap_or(0);
        let sum_ms: f64 = self.run_times_ms.iter().copied().map(f64::from).sum();
        let shared_ms = sum_ms / f64::from(slots);
        round_trips + Duration::from_secs_f64(shared_ms.max(f64::from(longest_ms)) / 1e3)
    }
}

impl LoadPlan {
    /// Draws the jobs that `options` describe; the same options yield the same jobs.
    pub fn draw(options: &LoadOptions) -> Self {
        let mut rng = StdRng::seed_from_u64(options.seed);
        let rate = requests_per_second(options);
        let mut jobs = Vec::new();
        let mut at = Duration::ZERO;
        loop {
            at += exponential(&mut rng, rate * rate_factor_at(options, at));
            let full = jobs.len() as u64 >= options.max_requests;
            if at >= options.duration || full {
                return LoadPlan { jobs };
            }
            let single = rng.random_bool(options.single_share);
            let tasks = if single { 1 } else { draw_job_size(&mut rng) };
            let run_times_ms = (0..tasks).map(|_| draw_run_time_ms(&mut rng, options.run_scale));
            jobs.push(PlannedJob {
                at,
                single,
                run_times_ms: run_times_ms.collect(),
                cancelled: rng.random_bool(options.cancel_share),
            });
        }
    }

    /// Returns the number of tasks of all jobs.
    pub fn task_count(&self) -> usize {
        self.jobs.iter().map(|job| job.run_times_ms.len()).sum()
    }
}

/// Returns the average request rate at which the tasks use the requested share of the slots.
fn requests_per_second(options: &LoadOptions) -> f64 {
    let mut rng = StdRng::seed_from_u64(0);
    let draws = f64::from(MEAN_DRAWS);
    let run_s: f64 = (0..MEAN_DRAWS)
        .map(|_| f64::from(draw_run_time_ms(&mut rng, options.run_scale)) / 1e3)
        .sum();
    let size: usize = (0..MEAN_DRAWS).map(|_| draw_job_size(&mut rng)).sum();
    let mean_run_s = run_s / draws;
    let mean_size = size as f64 / draws;
    let tasks_per_request = options.single_share + (1.0 - options.single_share) * mean_size;
    options.load * f64::from(options.slots) / mean_run_s / tasks_per_request
}

fn rate_factor_at(options: &LoadOptions, at: Duration) -> f64 {
    let within = options
        .burst
        .is_some_and(|burst| at >= burst.start && at < burst.start + burst.duration);
    if within { options.burst_factor } else { 1.0 }
}

fn draw_job_size(rng: &mut impl Rng) -> usize {
    let size = log_normal(rng, JOB_SIZE_MU, JOB_SIZE_SIGMA);
    size.round().clamp(1.0, MAX_TASKS_PER_JOB) as usize
}

fn draw_run_time_ms(rng: &mut impl Rng, scale: f64) -> u32 {
    let run_time_ms = match rng.random_bool(LONG_TASK_SHARE) {
        true => rng.random_range(LONG_RUN_TIME_MS),
        false => log_normal(rng, RUN_TIME_MU, RUN_TIME_SIGMA)
            .clamp(MIN_RUN_TIME_MS, MAX_SHORT_RUN_TIME_MS),
    };
    (run_time_ms * scale).round().max(1.0) as u32
}

fn exponential(rng: &mut impl Rng, rate: f64) -> Duration {
    Duration::from_secs_f64(-uniform_above_zero(rng).ln() / rate)
}

fn log_normal(rng: &mut impl Rng, mu: f64, sigma: f64) -> f64 {
    let radius = (-2.0 * uniform_above_zero(rng).ln()).sqrt();
    let angle = std::f64::consts::TAU * rng.random::<f64>();
    (mu + sigma * radius * angle.cos()).exp()
}

fn uniform_above_zero(rng: &mut impl Rng) -> f64 {
    1.0 - rng.random::<f64>()
}
