//! The admission policy: whether a new job enters the queue or is refused at once.

use std::fmt::Debug;
use std::time::Duration;

use almondhead_macros::value;

use crate::estimated_finish::EstimatedFinish;
use crate::outcome::NotRunReason;
use crate::policies::AdmissionPolicy;
use crate::queue_length::QueueLength;
use crate::run_estimate::RunEstimateReading;

/// A job that asks for admission, and the load of its service at that moment.
#[value]
#[derive(Copy)]
pub struct AdmissionLoad {
    /// The number of tasks in the job.
    pub tasks: u32,
    /// The number of tasks that wait for a slot.
    pub queued_tasks: u32,
    /// The total estimated run time of the queued tasks that start before the job's.
    ///
    /// See [`crate::queue::QueueBacklog::tasks_ahead`].
    pub queued_work: Duration,
    /// The number of tasks that run.
    pub running: u32,
    /// The slots that tasks of the service may use, without those of ejected upstreams.
    pub slots: u32,
    /// How many of these slots were recently used by jobs that overtake this one.
    ///
    /// See [`crate::queue::QueueBacklog::overtaking_slots`]; zero when no job overtakes another.
    pub overtaking_slots: u32,
    /// The estimated run time of one task of the job.
    pub run_estimate: RunEstimateReading,
    /// The time until the job's deadline.
    pub time_left: Duration,
    /// The maximum number of tasks that may wait for a slot.
    pub max_queued_tasks: u32,
    /// A number that differs from job to job; it seeds the jitter of [`Refusal::retry_after`].
    pub jitter_seed: u32,
}

/// The answer to a job that is not admitted; none of its tasks run.
#[value]
#[derive(Copy)]
pub struct Refusal {
    /// Why the job is refused.
    pub reason: NotRunReason,
    /// The time after which another try is expected to succeed; never zero.
    pub retry_after: Duration,
}

/// Decides whether a job is admitted; a job is admitted or refused as a whole.
pub trait Admission: Send + Debug {
    /// Checks whether the job may enter the queue.
    ///
    /// # Errors
    ///
    /// The reason for the refusal and the time after which to retry.
    fn admit(&self, load: &AdmissionLoad) -> Result<(), Refusal>;
}

/// The admission policy that the document selects.
pub fn admission_for(policy: AdmissionPolicy) -> Box<dyn Admission> {
    match policy {
        AdmissionPolicy::EstimatedFinish => Box::new(EstimatedFinish),
        AdmissionPolicy::QueueLength => Box::new(QueueLength),
    }
}
