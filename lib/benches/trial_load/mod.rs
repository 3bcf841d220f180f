//! The random load of the simulations: sizes of jobs, run times and times between arrivals.

use rand::RngExt;
use rand::rngs::StdRng;

/// Draws the run time of a task in microseconds: log-uniform between 50 ms and 1 s, and between 2 s
/// and 5 s for 2 % of the tasks.
pub(crate) fn run_us(rng: &mut StdRng) -> u64 {
    if rng.random_range(0..100) < 2 {
        return rng.random_range(2_000_000..5_000_000);
    }
    let exponent: f64 = rng.random();
    (50_000.0 * 20f64.powf(exponent)) as u64
}

/// Draws the run times of a job's tasks in microseconds: 70 % of the jobs have one task, 25 % have
/// 2 to 40, and the rest up to 480.
pub(crate) fn job_runs_us(rng: &mut StdRng) -> Vec<u64> {
    let tasks = match rng.random_range(0..100) {
        0..70 => 1,
        70..95 => rng.random_range(2..=40),
        _ => (40.0 * 12f64.powf(rng.random::<f64>())) as usize,
    };
    (0..tasks).map(|_| run_us(rng)).collect()
}

/// Draws an exponentially distributed time between two arrivals, in microseconds.
pub(crate) fn gap_us(rng: &mut StdRng, mean_us: f64) -> u64 {
    let uniform: f64 = rng.random();
    (-(1.0 - uniform).ln() * mean_us) as u64
}
