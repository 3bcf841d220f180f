//! Answers to callers.

use std::time::Duration;

use almondhead_macros::value;
use derive_more::Display;

use super::job_spec::SpecFault;

/// The answer to a caller's request, before it becomes an HTTP response.
#[value]
pub enum RunAnswer {
    /// No queue has this host and path.
    NoSuchQueue,
    /// The rest of the path is not the name of a job that is known here.
    NoSuchJob,
    /// Nothing of the job ran, and nothing will.
    NotRun {
        /// Why nothing ran.
        reason: NotRun,
        /// How long the caller should wait before it retries; none if a retry cannot help.
        retry_after: Option<Duration>,
    },
    /// The job has ended.
    Ended(JobEnd),
    /// The job is given up after some of it ran or may have run.
    GivenUp(GivenUp),
    /// The state of a job that has not ended.
    State(JobProgress),
    /// The job was cancelled by this request.
    Cancelled,
    /// The number of accepted jobs of the queue that have not started.
    Waiting(u64),
}

/// The outcome of a job that ended.
#[value]
#[derive(Copy, Display)]
pub enum JobEnd {
    /// Every task is done.
    #[display("completed")]
    Completed,
    /// A task used up its attempts or crashes the upstreams that run it, or an upstream rejected its
    /// start order as invalid.
    #[display("failed")]
    Failed,
    /// Its caller cancelled it.
    #[display("cancelled")]
    Cancelled,
}

/// The state of an open job.
#[value]
#[derive(Copy, Display)]
pub enum JobProgress {
    /// No task is placed with an owner, and none may have run.
    #[display("queued")]
    Queued,
    /// A task is placed with an owner, or may have run.
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
    /// No queue of the intended state in force has this host and path, but a newer state may have.
    #[display("outdated_state")]
    OutdatedState,
    /// The job is invalid, whatever the load.
    #[display("{_0}")]
    Spec(SpecFault),
    /// No listed upstream has the capacity and the label that one of its tasks needs.
    #[display("needs_no_upstream_has")]
    NeedsNoUpstreamHas,
    /// No owner of an upstream of its service is reachable, or owners refused its tasks too often.
    #[display("no_upstream_in_reach")]
    NoUpstreamInReach,
    /// By the current load it would end after its caller has left.
    #[display("overloaded")]
    Overloaded,
    /// It waited until it could no longer end in time.
    #[display("waited_too_long")]
    WaitedTooLong,
    /// Tasks of its queue have crashed too many upstreams lately.
    #[display("queue_suspended")]
    QueueSuspended,
    /// The maximum number of open jobs is reached.
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
    /// The owner of a running task is unreachable, and the task could not end in time if it were
    /// retried; or no owner has been reachable for its waiting tasks for too long.
    #[display("owner_lost")]
    OwnerLost,
    /// The caller left.
    #[display("cancelled")]
    Cancelled,
    /// This instance exits before the job ends.
    #[display("stopping")]
    Stopping,
    /// The instance that the job was delegated to is unreachable or has ended.
    #[display("home_lost")]
    HomeLost,
    /// A task lost too many runs, some of them with silent upstreams, where they may have ended as done.
    #[display("runs_lost")]
    RunsLost,
}
