//! The load of the trials: sizes of jobs, run times and gaps between arrivals.

use rand::RngExt;
use rand::rngs::StdRng;

/// The run time of a task: 50 ms to 1 s by a logarithmic scale, and a few of 2 s to 5 s.
pub(crate) fn run_us(rng: &mut StdRng) -> u64 {
    if rng.random_range(0..100) < 2 {
        return rng.random_range(2_000_000..5_000_000);
    }
    let exponent: f64 = rng.random();
    (50_000.0 * 20f64.powf(exponent)) as u64
}

/// The run times of a job's tasks: most jobs are single tasks, a few have up to 480.
pub(crate) fn job_runs_us(rng: &mut StdRng) -> Vec<u64> {
    let tasks = match rng.random_range(0..100) {
        0..70 => 1,
        70..95 => rng.random_range(2..=40),
        _ => (40.0 * 12f64.powf(rng.random::<f64>())) as usize,
    };
    (0..tasks).map(|_| run_us(rng)).collect()
}

/// A time between two arrivals that are independent of each other.
pub(crate) fn gap_us(rng: &mut StdRng, mean_us: f64) -> u64 {
    let draw: f64 = rng.random();
    (-(1.0 - draw).ln() * mean_us) as u64
}
