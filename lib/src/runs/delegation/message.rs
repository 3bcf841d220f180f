//! What messages say about delegated jobs.

use std::sync::Arc;
use std::time::Duration;

use almondhead_macros::value;
use derive_more::Display;

use crate::runs::job_spec::JobSpec;
use crate::runs::run_answer::GivenUp;
use crate::runs::run_answer::JobEnd;
use crate::runs::run_answer::NotRun;
use crate::runs::run_answer::RunAnswer;
use crate::runs::run_id::JobId;

/// A job that the sender delegates to the receiver.
#[value]
pub struct DelegatedJob {
    /// The number that the sender gave the job; it increases from job to job.
    pub number: u64,
    /// The job.
    pub job: JobId,
    /// The name of its queue.
    pub queue: Arc<str>,
    /// The service of its queue.
    pub service: Arc<str>,
    /// How long the caller still waits.
    pub wait: Duration,
    /// What is to run.
    pub spec: Arc<JobSpec>,
}

/// What became of a delegated job.
#[value]
#[derive(Display)]
pub enum DelegationOutcome {
    /// The receiver is not its home and never will be.
    #[display("declined")]
    Declined,
    /// Nothing of it ran, and nothing will.
    #[display("not_run {reason}")]
    NotRun {
        /// Why.
        reason: NotRun,
        /// How long the caller should wait before it retries.
        retry_after: Option<Duration>,
    },
    /// It has ended.
    #[display("{_0}")]
    Ended(JobEnd),
    /// It is given up after some of it ran or may have run.
    #[display("given_up {_0}")]
    GivenUp(GivenUp),
}

impl From<RunAnswer> for DelegationOutcome {
    fn from(answer: RunAnswer) -> Self {
        match answer {
            RunAnswer::NotRun {
                reason,
                retry_after,
            } => DelegationOutcome::NotRun {
                reason,
                retry_after,
            },
            RunAnswer::Ended(end) => DelegationOutcome::Ended(end),
            RunAnswer::GivenUp(reason) => DelegationOutcome::GivenUp(reason),
            RunAnswer::Cancelled => DelegationOutcome::Ended(JobEnd::Cancelled),
            // No submission is answered like this at its home.
            RunAnswer::NoSuchQueue
            | RunAnswer::NoSuchJob
            | RunAnswer::State(_)
            | RunAnswer::Waiting(_) => DelegationOutcome::GivenUp(GivenUp::HomeLost),
        }
    }
}
