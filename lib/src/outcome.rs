//! The outcomes of jobs, tasks and attempts.

use std::time::Duration;

use almondhead_macros::key;
use almondhead_macros::value;
use bytes::Bytes;
use derive_more::Display;

/// The final answer to a job.
#[value]
pub enum JobAnswer {
    /// Every task finished.
    Complete {
        /// The bodies of the upstreams' answers, in the order of the tasks.
        results: Vec<Bytes>,
    },
    /// No task of the job was started, and none will be for this submission.
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// When a retry may succeed; `None` when a retry would not help.
        retry_after: Option<Duration>,
    },
    /// Some task ran, or may have run.
    Failed {
        /// Why.
        reason: FailReason,
        /// The index of the task that failed, if the failure is one task's.
        task: Option<u32>,
        /// When to ask again for the answer; `None` when the job is over.
        retry_after: Option<Duration>,
    },
}

/// Why no task of a job was run.
#[key]
#[derive(Display)]
pub enum NotRunReason {
    /// The document has no such service.
    #[display("unknown service")]
    UnknownService,
    /// The document has no such team.
    #[display("unknown team")]
    UnknownTeam,
    /// The job has no tasks, or more than its service allows.
    #[display("task count out of bounds")]
    TaskCount,
    /// A task's input is larger than its service allows.
    #[display("input too large")]
    InputTooLarge,
    /// No upstream of the service has the resources that the job needs.
    #[display("no upstream can meet the needs")]
    NeedsNeverMet,
    /// The job is estimated to finish after its deadline.
    #[display("deadline cannot be met")]
    Overloaded,
    /// The queue holds its maximum number of tasks.
    #[display("queue full")]
    QueueFull,
    /// The team's quota is used up.
    #[display("team quota used up")]
    QuotaUsedUp,
    /// The deadline passed before any task was started.
    #[display("deadline passed in the queue")]
    DeadlinePassed,
    /// The caller cancelled the job before any task was started.
    #[display("cancelled")]
    Cancelled,
    /// This entry instance is stopping and accepts no new jobs.
    #[display("instance is leaving")]
    Leaving,
    /// This entry instance has no document yet.
    #[display("no document installed")]
    NoDocument,
    /// The platform's table cannot be reached to claim the key.
    #[display("idempotency key cannot be claimed")]
    ClaimUnavailable,
    /// No job was submitted under this address.
    #[display("not submitted")]
    NotSubmitted,
    /// No upstream accepted the tasks; each refused or could not be reached.
    #[display("no upstream took the task")]
    NotTaken,
    /// This entry instance holds its maximum number of jobs or sessions.
    #[display("too many open jobs")]
    TooManyJobs,
}

/// Why a job failed after some task was run, or may have been run.
#[key]
#[derive(Display)]
pub enum FailReason {
    /// An upstream ran a task and reported that it failed.
    #[display("a task failed")]
    TaskFailed,
    /// Whether a task ran is unknown.
    #[display("outcome unknown")]
    Unknown,
    /// The deadline passed after a task was started.
    #[display("deadline passed")]
    DeadlinePassed,
    /// The caller cancelled the job after a task was started.
    #[display("cancelled")]
    Cancelled,
    /// The incarnation that is the job's home has ended; whether tasks ran is unknown.
    #[display("home instance gone")]
    HomeGone,
    /// The home is unreachable; the job may still be running there.
    #[display("home instance not reachable")]
    HomeUnreachable,
    /// The answer is no longer kept.
    #[display("answer expired")]
    AnswerExpired,
    /// The address was used before for a different job.
    #[display("address used for another job")]
    AddressReused,
    /// Some tasks of the job were started, then no upstream accepted the rest.
    #[display("no upstream took the remaining tasks")]
    NotTaken,
}

/// How an attempt at an upstream ended.
#[value]
pub enum AttemptEnd {
    /// The task certainly did not start and may be retried elsewhere.
    NotStarted(NotStartedCause),
    /// The upstream ran the task and its answer is complete.
    Finished {
        /// The answer's body.
        body: Bytes,
    },
    /// The upstream ran the task and reported that it failed.
    TaskFailed {
        /// The HTTP status of the answer.
        status: u16,
    },
    /// Whether the task ran is unknown.
    Unknown(UnknownCause),
}

/// Why a task certainly did not start.
#[key]
#[derive(Display)]
pub enum NotStartedCause {
    /// No connection could be made, or no byte of the request was sent.
    #[display("not sent")]
    NotSent,
    /// The upstream refused the task at its concurrency limit and proved that it did not run.
    #[display("refused by guard")]
    Refused,
    /// The deadline had passed before the attempt could be sent.
    #[display("past deadline")]
    PastDeadline,
}

/// Why the outcome of an attempt is unknown.
#[key]
#[derive(Display)]
pub enum UnknownCause {
    /// The connection broke after the request may have arrived.
    #[display("connection lost")]
    ConnectionLost,
    /// No answer arrived in time.
    #[display("timeout")]
    Timeout,
    /// The answer was invalid or for another task.
    #[display("answer does not match")]
    Mismatch,
    /// The incarnation of the sibling that made the attempt has ended.
    #[display("sibling lost")]
    SiblingLost,
}
