//! How jobs, tasks and attempts end.

use std::time::Duration;

use almondhead_macros::key;
use almondhead_macros::value;
use bytes::Bytes;
use derive_more::Display;

/// The final answer to a job.
#[value]
pub enum JobAnswer {
    /// Every task finished; the results stand in the order of the tasks.
    Complete {
        /// The body of each task's answer.
        results: Vec<Bytes>,
    },
    /// No task of the job started, and none will under this submission.
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// When another try has a chance, when there is such a time.
        retry_after: Option<Duration>,
    },
    /// Some task ran, or may have run, and the job is over.
    Failed {
        /// Why.
        reason: FailReason,
        /// The first task that failed, when one task did.
        task: Option<u32>,
        /// When asking again for the answer has a chance, when the job is not over.
        retry_after: Option<Duration>,
    },
}

/// Why nothing of a job ran.
#[key]
#[derive(Display)]
pub enum NotRunReason {
    /// The document has no such service.
    #[display("unknown service")]
    UnknownService,
    /// The document has no such team.
    #[display("unknown team")]
    UnknownTeam,
    /// The job holds no task, or more than its service allows.
    #[display("task count out of bounds")]
    TaskCount,
    /// A task's input is larger than its service allows.
    #[display("input too large")]
    InputTooLarge,
    /// No upstream of the document can meet the job's needs.
    #[display("no upstream can meet the needs")]
    NeedsNeverMet,
    /// The estimated finish is past the deadline.
    #[display("deadline cannot be met")]
    Overloaded,
    /// The queue holds its bound of tasks.
    #[display("queue full")]
    QueueFull,
    /// The team's quota is used up.
    #[display("team quota used up")]
    QuotaUsedUp,
    /// The deadline passed before the first start.
    #[display("deadline passed in the queue")]
    DeadlinePassed,
    /// The caller cancelled the job before its first start.
    #[display("cancelled")]
    Cancelled,
    /// This entry instance is stopping and takes no new jobs.
    #[display("instance is leaving")]
    Leaving,
    /// This entry instance holds no document yet.
    #[display("no document installed")]
    NoDocument,
    /// The platform's table cannot be reached to claim the key.
    #[display("idempotency key cannot be claimed")]
    ClaimUnavailable,
    /// No job was submitted under this address.
    #[display("not submitted")]
    NotSubmitted,
    /// No upstream took the tasks; each refused or could not be reached.
    #[display("no upstream took the task")]
    NotTaken,
    /// This entry instance holds its bound of jobs or sessions.
    #[display("too many open jobs")]
    TooManyJobs,
}

/// Why a job failed of which something ran, or may have.
#[key]
#[derive(Display)]
pub enum FailReason {
    /// An upstream ran a task and reported its failure.
    #[display("a task failed")]
    TaskFailed,
    /// Whether a task ran cannot be known.
    #[display("outcome unknown")]
    Unknown,
    /// The deadline passed after the first start.
    #[display("deadline passed")]
    DeadlinePassed,
    /// The caller cancelled the job after its first start.
    #[display("cancelled")]
    Cancelled,
    /// The home's incarnation is gone; whether tasks ran cannot be known.
    #[display("home instance gone")]
    HomeGone,
    /// The home cannot be reached now; the job may still run there.
    #[display("home instance not reachable")]
    HomeUnreachable,
    /// The answer was kept for its time and is dropped.
    #[display("answer expired")]
    AnswerExpired,
    /// The same address was used before for a job with other content.
    #[display("address used for another job")]
    AddressReused,
    /// Some tasks of the job started, then no upstream took the rest.
    #[display("no upstream took the remaining tasks")]
    NotTaken,
}

/// How one attempt at an upstream ended.
#[value]
pub enum AttemptEnd {
    /// The task did not start, for certain; it may be tried elsewhere.
    NotStarted(NotStartedCause),
    /// The upstream ran the task and answered it whole.
    Finished {
        /// The answer's body.
        body: Bytes,
    },
    /// The upstream ran the task and reported its failure.
    TaskFailed {
        /// The HTTP status of the answer.
        status: u16,
    },
    /// Whether the task ran cannot be known.
    Unknown(UnknownCause),
}

/// What proves that a task did not start.
#[key]
#[derive(Display)]
pub enum NotStartedCause {
    /// No connection was made, or no byte of the request was sent.
    #[display("not sent")]
    NotSent,
    /// The upstream's guard refused the task with its proof.
    #[display("refused by guard")]
    Refused,
    /// The deadline had passed when the attempt was about to be sent.
    #[display("past deadline")]
    PastDeadline,
}

/// Why the end of an attempt is unknown.
#[key]
#[derive(Display)]
pub enum UnknownCause {
    /// The connection broke after the request may have arrived.
    #[display("connection lost")]
    ConnectionLost,
    /// No answer came in time.
    #[display("timeout")]
    Timeout,
    /// The answer was for another task, or was no valid answer.
    #[display("answer does not match")]
    Mismatch,
    /// The entry instance that ran the attempt cannot be reached.
    #[display("sibling lost")]
    SiblingLost,
}
