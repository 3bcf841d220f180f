//! Refusal when the estimated finish is past the deadline.

use std::time::Duration;

use crate::admission::Admission;
use crate::admission::AdmissionLoad;
use crate::admission::Refusal;
use crate::outcome::NotRunReason;
use crate::queue_length::QueueLength;
use crate::retry_after::retry_after;

/// The share by which the wait is taken longer than estimated, as a divisor.
const WAIT_MARGIN_DIVISOR: u32 = 4;

/// How many times its deadline a job must be estimated to run before it is hopeless.
const INFEASIBLE_FACTOR: u32 = 2;

/// The measured run times from which a job is held to be hopeless.
const MIN_SAMPLES: u64 = 20;

/// The part of the slots that a job always counts on, as a divisor.
const LEAST_SLOTS_DIVISOR: u32 = 20;

/// Refuses a job that is expected to miss its deadline, or that the queue's bound refuses.
///
/// The finish is the wait for the work ahead, plus the job's own work and the run of its longest
/// task. Both kinds of work are over the slots that smaller jobs leave, for these go on arriving
/// and pass it in the queue. With no wait a job is taken unless it is hopeless: estimates can be wrong,
/// and nobody else is held up.
#[derive(Debug)]
pub struct EstimatedFinish;

impl Admission for EstimatedFinish {
    fn admit(&self, load: &AdmissionLoad) -> Result<(), Refusal> {
        let room = QueueLength.admit(load);
        if load.slots == 0 {
            return room;
        }
        match (room, refuse_late(load)) {
            (Err(full), Err(late)) => Err(Refusal {
                retry_after: full.retry_after.max(late.retry_after),
                ..full
            }),
            (Err(full), Ok(())) => Err(full),
            (Ok(()), in_time) => in_time,
        }
    }
}

fn refuse_late(load: &AdmissionLoad) -> Result<(), Refusal> {
    let wait = wait(load);
    let run = own_run_time(load);
    if wait.is_zero() {
        return refuse_infeasible(load, run);
    }
    let margin = wait / WAIT_MARGIN_DIVISOR;
    let finish = wait + margin + run;
    if finish <= load.time_left {
        return Ok(());
    }
    let late = finish - load.time_left;
    let capacity_in = match load.overtaking_slots {
        0 => late.min(wait),
        _ => late,
    };
    Err(overloaded(capacity_in, load.jitter_seed))
}

/// The time until the first of the job's tasks can start.
fn wait(load: &AdmissionLoad) -> Duration {
    if load.queued_tasks == 0 && load.running < load.slots {
        return Duration::ZERO;
    }
    let slots = slots_left(load);
    let next_free = load.run_estimate.mean / slots;
    load.queued_work / slots + next_free
}

/// The slots that jobs which pass this one leave to it.
fn slots_left(load: &AdmissionLoad) -> u32 {
    let least = (load.slots / LEAST_SLOTS_DIVISOR).max(1);
    load.slots.saturating_sub(load.overtaking_slots).max(least)
}

/// The run of the whole job once its first task starts.
///
/// A task of high run time may be among them, which is allowed for in up to half the time left: a
/// job that has less time takes that risk even when nobody waits.
fn own_run_time(load: &AdmissionLoad) -> Duration {
    let mean = load.run_estimate.mean;
    let others = load.tasks.saturating_sub(1);
    let longest = load.run_estimate.longest_of(load.tasks);
    mean.saturating_mul(others) / slots_left(load) + longest.min(load.time_left / 2).max(mean)
}

fn refuse_infeasible(load: &AdmissionLoad, run: Duration) -> Result<(), Refusal> {
    let is_known = load.run_estimate.samples >= MIN_SAMPLES;
    if is_known && run > load.time_left.saturating_mul(INFEASIBLE_FACTOR) {
        return Err(overloaded(run, load.jitter_seed));
    }
    Ok(())
}

fn overloaded(capacity_in: Duration, jitter_seed: u32) -> Refusal {
    Refusal {
        reason: NotRunReason::Overloaded,
        retry_after: retry_after(capacity_in, jitter_seed),
    }
}
