//! The admission policy that refuses jobs whose estimated finish is past their deadline.

use std::time::Duration;

use crate::admission::Admission;
use crate::admission::AdmissionLoad;
use crate::admission::Refusal;
use crate::outcome::NotRunReason;
use crate::queue_length::QueueLength;
use crate::retry_after::retry_after;

/// The safety margin that is added to the estimated wait, as a divisor of it.
const WAIT_MARGIN_DIVISOR: u32 = 4;

/// A job counts as infeasible when its estimated run time exceeds its time left by this factor.
const INFEASIBLE_FACTOR: u32 = 2;

/// The minimum number of measured run times for a job to count as infeasible.
const MIN_INFEASIBLE_SAMPLES: u64 = 20;

/// The minimum share of the slots that an estimate assumes for a job, as a divisor of all slots.
const MIN_SLOTS_DIVISOR: u32 = 20;

/// Refuses a job that is expected to miss its deadline, or that [`QueueLength`] refuses.
///
/// The estimated finish is the wait for the work ahead, plus the job's own work, plus the run time
/// of its longest task. Both kinds of work are divided by the slots that overtaking jobs leave,
/// because smaller jobs keep arriving and overtake it in the queue. A job that can start at once is
/// admitted unless it is infeasible: estimates can be wrong, and it delays no other job.
#[derive(Debug)]
pub struct EstimatedFinish;

impl Admission for EstimatedFinish {
    fn admit(&self, load: &AdmissionLoad) -> Result<(), Refusal> {
        let length_check = QueueLength.admit(load);
        if load.slots == 0 {
            return length_check;
        }
        match (length_check, check_deadline(load)) {
            (Err(queue_full), Err(late)) => Err(Refusal {
                retry_after: queue_full.retry_after.max(late.retry_after),
                ..queue_full
            }),
            (Err(queue_full), Ok(())) => Err(queue_full),
            (Ok(()), deadline_check) => deadline_check,
        }
    }
}

fn check_deadline(load: &AdmissionLoad) -> Result<(), Refusal> {
    let wait = start_wait(load);
    let run_time = own_run_time(load);
    if wait.is_zero() {
        return check_feasible(load, run_time);
    }
    let margin = wait / WAIT_MARGIN_DIVISOR;
    let finish = wait + margin + run_time;
    if finish <= load.time_left {
        return Ok(());
    }
    let lateness = finish - load.time_left;
    let capacity_in = match load.overtaking_slots {
        0 => lateness.min(wait),
        _ => lateness,
    };
    Err(overloaded(capacity_in, load.jitter_seed))
}

/// The time until the job's first task can start; zero when a slot is free and nothing is queued.
fn start_wait(load: &AdmissionLoad) -> Duration {
    if load.queued_tasks == 0 && load.running < load.slots {
        return Duration::ZERO;
    }
    let slots = slots_left(load);
    let next_free = load.run_estimate.mean / slots;
    load.queued_work / slots + next_free
}

/// The slots that overtaking jobs leave to this one, at least 1 / [`MIN_SLOTS_DIVISOR`] of them.
fn slots_left(load: &AdmissionLoad) -> u32 {
    let min_slots = (load.slots / MIN_SLOTS_DIVISOR).max(1);
    load.slots
        .saturating_sub(load.overtaking_slots)
        .max(min_slots)
}

/// The time that the whole job runs once its first task has started.
///
/// The estimate allows for one unusually long task, but with at most half of the time left: a job
/// whose longest task may take more than that is at risk even when the queue is empty.
fn own_run_time(load: &AdmissionLoad) -> Duration {
    let mean = load.run_estimate.mean;
    let others = load.tasks.saturating_sub(1);
    let longest = load.run_estimate.longest_of(load.tasks);
    mean.saturating_mul(others) / slots_left(load) + longest.min(load.time_left / 2).max(mean)
}

fn check_feasible(load: &AdmissionLoad, run_time: Duration) -> Result<(), Refusal> {
    let is_known = load.run_estimate.samples >= MIN_INFEASIBLE_SAMPLES;
    if is_known && run_time > load.time_left.saturating_mul(INFEASIBLE_FACTOR) {
        return Err(overloaded(run_time, load.jitter_seed));
    }
    Ok(())
}

fn overloaded(capacity_in: Duration, jitter_seed: u32) -> Refusal {
    Refusal {
        reason: NotRunReason::Overloaded,
        retry_after: retry_after(capacity_in, jitter_seed),
    }
}
