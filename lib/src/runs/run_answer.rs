//! Answers to callers.

use std::time::Duration;

use almondhead_macros::value;
use derive_more::Display;

use super::job_spec::SpecFault;

/// The answer to a caller's request.
#[value]
pub enum RunAnswer {
    /// No queue has this host and path.
    NoSuchQueue,
    /// The queue's path names no job.
    NoSuchJob,
    /// Nothing of the job ran, and nothing will.
    NotRun {
        /// Why.
        reason: NotRun,
        /// When to come back; none where coming back cannot help.
        retry_after: Option<Duration>,
    },
    /// The job has ended.
    Ended(JobEnd),
    /// Some of the job ran or may have run; it is given up.
    GivenUp(GivenUp),
    /// The state of a job that has not ended.
    State(JobProgress),
    /// The job is cancelled.
    Cancelled,
    /// How many accepted jobs of the queue have not started.
    Waiting(u64),
}

/// How a job ended.
#[value]
#[derive(Copy, Display)]
pub enum JobEnd {
    /// Every task is done.
    #[display("completed")]
    Completed,
    /// A task failed as often as it may.
    #[display("failed")]
    Failed,
    /// Its caller cancelled it.
    #[display("cancelled")]
    Cancelled,
}

/// How far an open job is.
#[value]
#[derive(Copy, Display)]
pub enum JobProgress {
    /// No task has started.
    #[display("queued")]
    Queued,
    /// A task has started.
    #[display("running")]
    Running,
}

/// Why nothing of a job ran.
#[value]
#[derive(Copy, Display)]
pub enum NotRun {
    /// The intended state is not known yet.
    #[display("no_intended_state")]
    NoIntendedState,
    /// The job can never be taken.
    #[display("{_0}")]
    Spec(SpecFault),
    /// No listed upstream could ever run one of its tasks.
    #[display("needs_no_upstream_has")]
    NeedsNoUpstreamHas,
    /// No upstream of its service is in reach now.
    #[display("no_upstream_in_reach")]
    NoUpstreamInReach,
    /// It would end after its caller has left.
    #[display("overloaded")]
    Overloaded,
    /// It waited until it could no longer end in time.
    #[display("waited_too_long")]
    WaitedTooLong,
    /// As many jobs are open as may.
    #[display("too_many_jobs")]
    TooManyJobs,
    /// This instance is stopping.
    #[display("stopping")]
    Stopping,
}

/// Why a job that may have run is given up.
#[value]
#[derive(Copy, Display)]
pub enum GivenUp {
    /// It could no longer end in time.
    #[display("deadline")]
    Deadline,
    /// The owner of an upstream that ran a task is gone.
    #[display("owner_lost")]
    OwnerLost,
    /// The caller left or cancelled.
    #[display("cancelled")]
    Cancelled,
    /// This instance exits before the job ends.
    #[display("stopping")]
    Stopping,
}
