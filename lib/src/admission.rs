//! Whether a job is taken or refused at once, as a policy.

use std::fmt::Debug;
use std::time::Duration;

use almondhead_macros::value;

use crate::estimated_finish::EstimatedFinish;
use crate::outcome::NotRunReason;
use crate::policies::AdmissionPolicy;
use crate::queue_length::QueueLength;
use crate::run_estimate::RunEstimateReading;

/// A job at the door, and what is ahead of it.
#[value]
#[derive(Copy)]
pub struct AdmissionLoad {
    /// The tasks of the job.
    pub tasks: u32,
    /// The tasks that wait for a slot.
    pub queued_tasks: u32,
    /// The estimated run time of the queued tasks that go before the job.
    ///
    /// See [`crate::queue::QueueBacklog::tasks_ahead`].
    pub queued_work: Duration,
    /// The tasks that run.
    pub running: u32,
    /// The slots that tasks of the service may use, of ejected upstreams left out.
    pub slots: u32,
    /// The slots of them that jobs which pass this one were served of late.
    ///
    /// See [`crate::queue::QueueBacklog::overtaking_slots`]; zero when no job passes another.
    pub overtaking_slots: u32,
    /// How long a task of the job is expected to run.
    pub run_estimate: RunEstimateReading,
    /// The time until the job's deadline.
    pub time_left: Duration,
    /// The most tasks that may wait for a slot.
    pub max_queued_tasks: u32,
    /// A number that differs from job to job, which spreads the times of refused callers.
    pub jitter_seed: u32,
}

/// A job that is not taken; nothing of it runs.
#[value]
#[derive(Copy)]
pub struct Refusal {
    /// Why.
    pub reason: NotRunReason,
    /// When another try is expected to succeed, never zero.
    pub retry_after: Duration,
}

/// Takes whole jobs or refuses them.
pub trait Admission: Send + Debug {
    /// Whether the job may enter the queue.
    ///
    /// # Errors
    ///
    /// The refusal to answer with.
    fn admit(&self, load: &AdmissionLoad) -> Result<(), Refusal>;
}

/// The admission that the document asks for.
pub fn admission_for(policy: AdmissionPolicy) -> Box<dyn Admission> {
    match policy {
        AdmissionPolicy::EstimatedFinish => Box::new(EstimatedFinish),
        AdmissionPolicy::QueueLength => Box::new(QueueLength),
    }
}
