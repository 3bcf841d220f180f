//! The jobs of a load, drawn before it starts.

use std::time::Duration;

use almondhead_macros::value;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::load_options::LoadOptions;

/// The most tasks of a job.
const MAX_TASKS: f64 = 480.0;

/// The logarithm of a job's median number of tasks.
const JOB_SIZE_MU: f64 = 2.0;

/// The spread of the logarithm of a job's number of tasks.
const JOB_SIZE_SIGMA: f64 = 1.32;

/// The logarithm of the median run time in milliseconds.
const RUN_MU: f64 = 5.3;

/// The spread of the logarithm of the run time.
const RUN_SIGMA: f64 = 0.7;

/// The shortest run time in milliseconds.
const RUN_MIN_MS: f64 = 50.0;

/// The longest run time of a usual task in milliseconds.
const RUN_MAX_MS: f64 = 1_000.0;

/// The share of tasks that take some seconds.
const LONG_SHARE: f64 = 0.01;

/// The bounds of the run time of those tasks in milliseconds.
const LONG_RUN_MS: std::ops::Range<f64> = 2_000.0..5_000.0;

/// The draws from which the mean run time and job size are taken.
const MEAN_DRAWS: u32 = 200_000;

/// One job to submit.
#[value]
pub struct PlannedJob {
    /// When, from the start of the load.
    pub at: Duration,
    /// Whether it is a single task, which needs no session.
    pub single: bool,
    /// The run time of each task in milliseconds.
    pub run_ms: Vec<u32>,
    /// Whether the wave of cancellations takes it when it is open then.
    pub cancelled: bool,
}

/// All jobs in the order of their times.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// The jobs.
    pub jobs: Vec<PlannedJob>,
}

impl PlannedJob {
    /// The response time on empty upstreams.
    pub fn ideal(&self, slots: u32, round_trips: Duration) -> Duration {
        let longest_ms = self.run_ms.iter().copied().max().unwrap_or(0);
        let sum_ms: f64 = self.run_ms.iter().copied().map(f64::from).sum();
        let shared_ms = sum_ms / f64::from(slots);
        round_trips + Duration::from_secs_f64(shared_ms.max(f64::from(longest_ms)) / 1e3)
    }
}

impl LoadPlan {
    /// Draws the jobs that `options` describe; the same options give the same jobs.
    pub fn draw(options: &LoadOptions) -> Self {
        let mut rng = StdRng::seed_from_u64(options.seed);
        let rate = requests_per_second(options);
        let mut jobs = Vec::new();
        let mut at = Duration::ZERO;
        loop {
            at += exponential(&mut rng, rate * factor_at(options, at));
            let full = jobs.len() as u64 >= options.max_requests;
            if at >= options.duration || full {
                return LoadPlan { jobs };
            }
            let single = rng.random_bool(options.single_share);
            let tasks = if single { 1 } else { job_size(&mut rng) };
            let run_ms = (0..tasks).map(|_| run_ms(&mut rng, options.run_scale));
            jobs.push(PlannedJob {
                at,
                single,
                run_ms: run_ms.collect(),
                cancelled: rng.random_bool(options.cancel_share),
            });
        }
    }

    /// The tasks of all jobs.
    pub fn tasks(&self) -> usize {
        self.jobs.iter().map(|job| job.run_ms.len()).sum()
    }
}

/// The rate of requests at which the tasks take the wanted share of the slots.
fn requests_per_second(options: &LoadOptions) -> f64 {
    let mut rng = StdRng::seed_from_u64(0);
    let draws = f64::from(MEAN_DRAWS);
    let run_s: f64 = (0..MEAN_DRAWS)
        .map(|_| f64::from(run_ms(&mut rng, options.run_scale)) / 1e3)
        .sum();
    let size: usize = (0..MEAN_DRAWS).map(|_| job_size(&mut rng)).sum();
    let mean_run_s = run_s / draws;
    let mean_size = size as f64 / draws;
    let tasks_per_request = options.single_share + (1.0 - options.single_share) * mean_size;
    options.load * f64::from(options.slots) / mean_run_s / tasks_per_request
}

fn factor_at(options: &LoadOptions, at: Duration) -> f64 {
    let within = options
        .burst
        .is_some_and(|burst| at >= burst.from && at < burst.from + burst.length);
    if within { options.burst_factor } else { 1.0 }
}

fn job_size(rng: &mut impl Rng) -> usize {
    let size = log_normal(rng, JOB_SIZE_MU, JOB_SIZE_SIGMA);
    size.round().clamp(1.0, MAX_TASKS) as usize
}

fn run_ms(rng: &mut impl Rng, scale: f64) -> u32 {
    let run_ms = match rng.random_bool(LONG_SHARE) {
        true => rng.random_range(LONG_RUN_MS),
        false => log_normal(rng, RUN_MU, RUN_SIGMA).clamp(RUN_MIN_MS, RUN_MAX_MS),
    };
    (run_ms * scale).round().max(1.0) as u32
}

fn exponential(rng: &mut impl Rng, rate: f64) -> Duration {
    Duration::from_secs_f64(-above_zero(rng).ln() / rate)
}

fn log_normal(rng: &mut impl Rng, mu: f64, sigma: f64) -> f64 {
    let radius = (-2.0 * above_zero(rng).ln()).sqrt();
    let angle = std::f64::consts::TAU * rng.random::<f64>();
    (mu + sigma * radius * angle.cos()).exp()
}

fn above_zero(rng: &mut impl Rng) -> f64 {
    1.0 - rng.random::<f64>()
}
