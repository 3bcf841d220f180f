//! Wire encoding of delegated jobs and their answers.

use std::sync::Arc;
use std::time::Duration;

use crate::id::Incarnation;
use crate::peer_codec::field::DecodeError;
use crate::peer_codec::field::MAX_TASKS;
use crate::peer_codec::field::bounded;
use crate::peer_codec::field::name;
use crate::peer_codec::field::optional_name;
use crate::peer_codec::field::required;
use crate::peer_codec::field::to_ms_up;
use crate::peer_codec::field::to_us;
use crate::peer_codec::run::decode_job_id;
use crate::peer_codec::run::decode_list;
use crate::peer_proto as proto;
use crate::peer_proto::delegation_answer::Outcome;
use crate::runs::delegation::message::DelegatedJob;
use crate::runs::delegation::message::DelegationOutcome;
use crate::runs::delegation::report::Delegator;
use crate::runs::job_spec::JobSpec;
use crate::runs::job_spec::MAX_JOB_STEPS;
use crate::runs::job_spec::StepSpec;
use crate::runs::run_answer::GivenUp;
use crate::runs::run_answer::JobEnd;
use crate::runs::run_answer::NotRun;

impl From<DelegatedJob> for proto::DelegatedJob {
    fn from(job: DelegatedJob) -> Self {
        proto::DelegatedJob {
            number: job.number,
            job: job.job.to_string(),
            queue: job.queue.to_string(),
            service: job.service.to_string(),
            spec: job.spec.payload.to_string(),
            wait_us: to_us(job.wait),
            steps: job.spec.steps.iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<proto::DelegatedJob> for DelegatedJob {
    type Error = DecodeError;

    fn try_from(job: proto::DelegatedJob) -> Result<Self, DecodeError> {
        let spec = JobSpec {
            payload: Arc::from(job.spec),
            steps: decode_list("delegated_job.steps", job.steps, MAX_JOB_STEPS)?,
            durable: false,
            recurring: false,
        };
        Ok(DelegatedJob {
            number: job.number,
            job: decode_job_id("delegated_job.job", &job.job)?,
            queue: name("delegated_job.queue", job.queue)?,
            service: name("delegated_job.service", job.service)?,
            wait: Duration::from_micros(job.wait_us),
            spec: Arc::new(spec),
        })
    }
}

impl From<&StepSpec> for proto::DelegatedStep {
    fn from(step: &StepSpec) -> Self {
        proto::DelegatedStep {
            tasks: step.tasks,
            room: Some(step.resources.into()),
            declared_run_us: to_us(step.declared_run_time),
            after: step.after.clone(),
            required_label: step.required_label.as_ref().map(ToString::to_string),
            data_rack: step.data_rack.as_ref().map(ToString::to_string),
            most_per_upstream: step.max_tasks_per_upstream,
        }
    }
}

impl TryFrom<proto::DelegatedStep> for StepSpec {
    type Error = DecodeError;

    fn try_from(step: proto::DelegatedStep) -> Result<Self, DecodeError> {
        Ok(StepSpec {
            tasks: step.tasks,
            resources: required("delegated_job.steps.room", step.room)?.into(),
            declared_run_time: Duration::from_micros(step.declared_run_us),
            after: bounded("delegated_job.steps.after", step.after, MAX_TASKS)?,
            required_label: optional_name("delegated_job.steps.label", step.required_label)?,
            data_rack: optional_name("delegated_job.steps.rack", step.data_rack)?,
            max_tasks_per_upstream: step.most_per_upstream,
            unsupported: None,
        })
    }
}

/// Encodes the answer to the delegated job of this number.
pub(super) fn encode_answer(number: u64, outcome: DelegationOutcome) -> proto::DelegationAnswer {
    let outcome = match outcome {
        DelegationOutcome::Declined => Outcome::Declined(proto::DelegationDeclined {}),
        DelegationOutcome::NotRun {
            reason,
            retry_after,
        } => Outcome::NotRun(proto::DelegatedNotRun {
            reason: encode_not_run(reason) as i32,
            retry_after_us: retry_after.map(to_us),
        }),
        DelegationOutcome::Ended(end) => Outcome::Ended(encode_end(end) as i32),
        DelegationOutcome::GivenUp(reason) => Outcome::GivenUp(encode_given_up(reason) as i32),
    };
    proto::DelegationAnswer {
        number,
        outcome: Some(outcome),
    }
}

/// Decodes what became of a delegated job.
pub(super) fn decode_outcome(
    answer: proto::DelegationAnswer,
) -> Result<DelegationOutcome, DecodeError> {
    let outcome = match required("delegation_answer.outcome", answer.outcome)? {
        Outcome::Declined(proto::DelegationDeclined {}) => DelegationOutcome::Declined,
        Outcome::NotRun(not_run) => DelegationOutcome::NotRun {
            reason: decode_not_run(not_run.reason)?,
            retry_after: not_run.retry_after_us.map(Duration::from_micros),
        },
        Outcome::Ended(number) => DelegationOutcome::Ended(decode_end(number)?),
        Outcome::GivenUp(number) => DelegationOutcome::GivenUp(decode_given_up(number)?),
    };
    Ok(outcome)
}

fn encode_not_run(reason: NotRun) -> proto::DelegatedNotRunReason {
    match reason {
        // The delegating instance knows the queue itself.
        NotRun::NoIntendedState | NotRun::OutdatedState => {
            proto::DelegatedNotRunReason::NoIntendedState
        }
        // The delegating instance checks the specification itself.
        NotRun::Spec(_) | NotRun::NeedsNoUpstreamHas => {
            proto::DelegatedNotRunReason::NeedsNoUpstreamHas
        }
        NotRun::NoUpstreamInReach => proto::DelegatedNotRunReason::NoUpstreamInReach,
        NotRun::Overloaded => proto::DelegatedNotRunReason::Overloaded,
        NotRun::WaitedTooLong => proto::DelegatedNotRunReason::WaitedTooLong,
        NotRun::QueueSuspended => proto::DelegatedNotRunReason::QueueSuspended,
        NotRun::TooManyJobs => proto::DelegatedNotRunReason::TooManyJobs,
        NotRun::Stopping => proto::DelegatedNotRunReason::Stopping,
    }
}

fn decode_not_run(number: i32) -> Result<NotRun, DecodeError> {
    let unknown = DecodeError::UnknownValue {
        field: "delegation_answer.not_run",
        number,
    };
    match proto::DelegatedNotRunReason::try_from(number) {
        Ok(proto::DelegatedNotRunReason::NoIntendedState) => Ok(NotRun::NoIntendedState),
        Ok(proto::DelegatedNotRunReason::NeedsNoUpstreamHas) => Ok(NotRun::NeedsNoUpstreamHas),
        Ok(proto::DelegatedNotRunReason::NoUpstreamInReach) => Ok(NotRun::NoUpstreamInReach),
        Ok(proto::DelegatedNotRunReason::Overloaded) => Ok(NotRun::Overloaded),
        Ok(proto::DelegatedNotRunReason::WaitedTooLong) => Ok(NotRun::WaitedTooLong),
        Ok(proto::DelegatedNotRunReason::QueueSuspended) => Ok(NotRun::QueueSuspended),
        Ok(proto::DelegatedNotRunReason::TooManyJobs) => Ok(NotRun::TooManyJobs),
        Ok(proto::DelegatedNotRunReason::Stopping) => Ok(NotRun::Stopping),
        Ok(proto::DelegatedNotRunReason::Unspecified) | Err(_) => Err(unknown),
    }
}

fn encode_end(end: JobEnd) -> proto::DelegatedJobEnd {
    match end {
        JobEnd::Completed => proto::DelegatedJobEnd::Completed,
        JobEnd::Failed => proto::DelegatedJobEnd::Failed,
        JobEnd::Cancelled => proto::DelegatedJobEnd::Cancelled,
    }
}

fn decode_end(number: i32) -> Result<JobEnd, DecodeError> {
    let unknown = DecodeError::UnknownValue {
        field: "delegation_answer.ended",
        number,
    };
    match proto::DelegatedJobEnd::try_from(number) {
        Ok(proto::DelegatedJobEnd::Completed) => Ok(JobEnd::Completed),
        Ok(proto::DelegatedJobEnd::Failed) => Ok(JobEnd::Failed),
        Ok(proto::DelegatedJobEnd::Cancelled) => Ok(JobEnd::Cancelled),
        Ok(proto::DelegatedJobEnd::Unspecified) | Err(_) => Err(unknown),
    }
}

fn encode_given_up(reason: GivenUp) -> proto::DelegatedGivenUp {
    match reason {
        GivenUp::Deadline => proto::DelegatedGivenUp::Deadline,
        GivenUp::OwnerLost => proto::DelegatedGivenUp::OwnerLost,
        GivenUp::Cancelled => proto::DelegatedGivenUp::Cancelled,
        GivenUp::Stopping => proto::DelegatedGivenUp::Stopping,
        GivenUp::HomeLost => proto::DelegatedGivenUp::HomeLost,
        GivenUp::RunsLost => proto::DelegatedGivenUp::RunsLost,
    }
}

fn decode_given_up(number: i32) -> Result<GivenUp, DecodeError> {
    let unknown = DecodeError::UnknownValue {
        field: "delegation_answer.given_up",
        number,
    };
    match proto::DelegatedGivenUp::try_from(number) {
        Ok(proto::DelegatedGivenUp::Deadline) => Ok(GivenUp::Deadline),
        Ok(proto::DelegatedGivenUp::OwnerLost) => Ok(GivenUp::OwnerLost),
        Ok(proto::DelegatedGivenUp::Cancelled) => Ok(GivenUp::Cancelled),
        Ok(proto::DelegatedGivenUp::Stopping) => Ok(GivenUp::Stopping),
        Ok(proto::DelegatedGivenUp::HomeLost) => Ok(GivenUp::HomeLost),
        Ok(proto::DelegatedGivenUp::RunsLost) => Ok(GivenUp::RunsLost),
        Ok(proto::DelegatedGivenUp::Unspecified) | Err(_) => Err(unknown),
    }
}

impl From<Delegator> for proto::Delegator {
    fn from(delegator: Delegator) -> Self {
        proto::Delegator {
            incarnation: delegator.incarnation.0,
            age_ms: to_ms_up(delegator.age),
        }
    }
}

impl TryFrom<proto::Delegator> for Delegator {
    type Error = DecodeError;

    fn try_from(delegator: proto::Delegator) -> Result<Self, DecodeError> {
        Ok(Delegator {
            incarnation: Incarnation(delegator.incarnation),
            age: Duration::from_millis(u64::from(delegator.age_ms)),
        })
    }
}
