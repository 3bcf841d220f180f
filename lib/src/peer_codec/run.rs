//! Wire encoding of messages about leased runs.

use std::sync::Arc;
use std::time::Duration;

use crate::id::Incarnation;
use crate::peer_codec::delegation::decode_outcome;
use crate::peer_codec::delegation::encode_answer;
use crate::peer_codec::field::DecodeError;
use crate::peer_codec::field::MAX_BATCHES_PER_CANCEL;
use crate::peer_codec::field::MAX_TASKS;
use crate::peer_codec::field::bounded;
use crate::peer_codec::field::name;
use crate::peer_codec::field::optional_name;
use crate::peer_codec::field::required;
use crate::peer_codec::field::to_ms_up;
use crate::peer_codec::field::to_us;
use crate::peer_proto as proto;
use crate::peer_proto::run_end::End;
use crate::peer_proto::timed_run_message::Kind;
use crate::runs::delegation::report::DelegationReport;
use crate::runs::run_id::JobId;
use crate::runs::run_id::RunId;
use crate::runs::run_id::TaskName;
use crate::runs::run_message::EndedRun;
use crate::runs::run_message::FoundEnd;
use crate::runs::run_message::NotStarted;
use crate::runs::run_message::PeerReport;
use crate::runs::run_message::PlacedTask;
use crate::runs::run_message::RunBatch;
use crate::runs::run_message::RunEnd;
use crate::runs::run_message::RunEnds;
use crate::runs::run_message::RunMessage;
use crate::runs::run_message::StepDemand;
use crate::runs::run_message::TimedRunMessage;
use crate::time::Timestamp;

/// The age of the inputs of a sender that does not name it: an older program notices pauses of this
/// length.
const UNSTATED_INPUT_AGE: Duration = Duration::from_millis(300);

impl From<TimedRunMessage> for proto::TimedRunMessage {
    fn from(timed: TimedRunMessage) -> Self {
        proto::TimedRunMessage {
            receiver: timed.receiver.0,
            sent_at_us: timed.sent_at.as_us(),
            echo_us: timed.echo.map(Timestamp::as_us),
            input_age_ms: Some(to_ms_up(timed.input_age)),
            kind: Some(encode_kind(timed.message)),
        }
    }
}

impl TryFrom<proto::TimedRunMessage> for TimedRunMessage {
    type Error = DecodeError;

    fn try_from(timed: proto::TimedRunMessage) -> Result<Self, DecodeError> {
        Ok(TimedRunMessage {
            receiver: Incarnation(timed.receiver),
            sent_at: Timestamp::from_us(timed.sent_at_us),
            echo: timed.echo_us.map(Timestamp::from_us),
            input_age: timed.input_age_ms.map_or(UNSTATED_INPUT_AGE, |age_ms| {
                Duration::from_millis(u64::from(age_ms))
            }),
            message: decode_kind(required("run.kind", timed.kind)?)?,
        })
    }
}

fn encode_kind(message: RunMessage) -> Kind {
    match message {
        RunMessage::Place(batch) => Kind::Place(batch.into()),
        RunMessage::Adopt { upstream, batch } => Kind::Adopt(proto::AdoptRuns {
            upstream: upstream.to_string(),
            batch: Some(batch.into()),
        }),
        RunMessage::Ends(ends) => Kind::Ends(proto::RunEnds {
            batch: ends.batch,
            ends: ends.ends.into_iter().map(Into::into).collect(),
            digest: Some(ends.digest.into()),
        }),
        RunMessage::Cancel(cancellation) => Kind::Cancel(cancellation.into()),
        RunMessage::Found {
            upstream,
            fence,
            running,
            ended,
        } => Kind::Found(proto::FoundRuns {
            upstream: upstream.to_string(),
            fence,
            running: running.into_iter().map(Into::into).collect(),
            ended: ended.into_iter().map(Into::into).collect(),
        }),
        RunMessage::Report(report) => Kind::Report(proto::PeerReport {
            digest: Some(report.digest.into()),
            held: report.held,
            highest_taken: report.highest_taken,
            open: report.open,
            highest_sent: report.highest_sent,
            delegated_held: report.delegation.held,
            delegated_highest_taken: report.delegation.highest_taken,
            delegated_open: report.delegation.open,
            delegated_highest_sent: report.delegation.highest_sent,
            delegators: report
                .delegation
                .delegators
                .into_iter()
                .map(Into::into)
                .collect(),
        }),
        RunMessage::Delegate(job) => Kind::DelegatedJob(job.into()),
        RunMessage::Delegated { number, outcome } => {
            Kind::DelegationAnswer(encode_answer(number, outcome))
        }
        RunMessage::WithdrawDelegated { number } => {
            Kind::DelegationWithdrawal(proto::DelegationWithdrawal { number })
        }
        RunMessage::CancelJob { job } => Kind::CancelJob(proto::CancelJob {
            job: job.to_string(),
        }),
        RunMessage::IntendedRequest { have_version } => {
            Kind::IntendedRequest(proto::IntendedRequest { have_version })
        }
        RunMessage::Listing(update) => Kind::Listing(update.into()),
        RunMessage::Crashes(reports) => Kind::Crashes(proto::CrashReports {
            reports: reports.into_iter().map(Into::into).collect(),
        }),
        RunMessage::CrashRequest => Kind::CrashRequest(proto::CrashRequest {}),
        RunMessage::IntendedBody { version, body } => {
            Kind::IntendedBody(proto::IntendedBody { version, body })
        }
        RunMessage::EvacuationRequest { have_version } => {
            Kind::EvacuationRequest(proto::EvacuationRequest { have_version })
        }
        RunMessage::Evacuations(set) => Kind::Evacuations(set.into()),
    }
}

fn decode_kind(kind: Kind) -> Result<RunMessage, DecodeError> {
    let message = match kind {
        Kind::Place(batch) => RunMessage::Place(batch.try_into()?),
        Kind::Adopt(adopt) => RunMessage::Adopt {
            upstream: name("adopt.upstream", adopt.upstream)?,
            batch: required("adopt.batch", adopt.batch)?.try_into()?,
        },
        Kind::Ends(ends) => RunMessage::Ends(RunEnds {
            batch: ends.batch,
            ends: decode_list("ends.ends", ends.ends, MAX_TASKS)?,
            digest: required("ends.digest", ends.digest)?.try_into()?,
        }),
        Kind::Cancel(cancel) => RunMessage::Cancel(cancel.try_into()?),
        Kind::Found(found) => RunMessage::Found {
            upstream: name("found.upstream", found.upstream)?,
            fence: found.fence,
            running: decode_list("found.running", found.running, MAX_TASKS)?,
            ended: decode_list("found.ended", found.ended, MAX_TASKS)?,
        },
        Kind::Report(report) => RunMessage::Report(decode_report(report)?),
        Kind::DelegatedJob(job) => RunMessage::Delegate(job.try_into()?),
        Kind::DelegationAnswer(answer) => RunMessage::Delegated {
            number: answer.number,
            outcome: decode_outcome(answer)?,
        },
        Kind::DelegationWithdrawal(withdrawal) => RunMessage::WithdrawDelegated {
            number: withdrawal.number,
        },
        Kind::CancelJob(cancel) => RunMessage::CancelJob {
            job: decode_job_id("cancel_job.job", &cancel.job)?,
        },
        Kind::IntendedRequest(request) => RunMessage::IntendedRequest {
            have_version: request.have_version,
        },
        Kind::Listing(update) => RunMessage::Listing(update.try_into()?),
        Kind::Crashes(crashes) => {
            RunMessage::Crashes(decode_list("crashes.reports", crashes.reports, MAX_TASKS)?)
        }
        Kind::CrashRequest(proto::CrashRequest {}) => RunMessage::CrashRequest,
        Kind::IntendedBody(body) => RunMessage::IntendedBody {
            version: body.version,
            body: body.body,
        },
        Kind::EvacuationRequest(request) => RunMessage::EvacuationRequest {
            have_version: request.have_version,
        },
        Kind::Evacuations(set) => RunMessage::Evacuations(set.try_into()?),
    };
    Ok(message)
}

fn decode_report(report: proto::PeerReport) -> Result<PeerReport, DecodeError> {
    let numbers = |field, numbers| bounded(field, numbers, MAX_BATCHES_PER_CANCEL);
    Ok(PeerReport {
        digest: required("report.digest", report.digest)?.try_into()?,
        held: numbers("report.held", report.held)?,
        highest_taken: report.highest_taken,
        open: numbers("report.open", report.open)?,
        highest_sent: report.highest_sent,
        delegation: DelegationReport {
            held: numbers("report.delegated_held", report.delegated_held)?,
            highest_taken: report.delegated_highest_taken,
            open: numbers("report.delegated_open", report.delegated_open)?,
            highest_sent: report.delegated_highest_sent,
            delegators: decode_list(
                "report.delegators",
                report.delegators,
                MAX_BATCHES_PER_CANCEL,
            )?,
        },
    })
}

/// Decodes a list of at most `max_items` items.
pub(super) fn decode_list<P, T>(
    field: &'static str,
    list: Vec<P>,
    max_items: usize,
) -> Result<Vec<T>, DecodeError>
where
    T: TryFrom<P, Error = DecodeError>,
{
    let list = bounded(field, list, max_items)?;
    list.into_iter().map(TryInto::try_into).collect()
}

/// Decodes a job's identifier.
pub(super) fn decode_job_id(field: &'static str, text: &str) -> Result<JobId, DecodeError> {
    JobId::parse(text).ok_or(DecodeError::OutOfRange { field })
}

impl From<RunBatch> for proto::RunBatch {
    fn from(batch: RunBatch) -> Self {
        proto::RunBatch {
            number: batch.number,
            job: batch.job.to_string(),
            service: batch.service.to_string(),
            spec: batch.payload.to_string(),
            priority: batch.priority,
            objective_left_us: batch.objective_left_us,
            deadline_left_us: to_us(batch.deadline_left),
            demands: batch.demands.into_iter().map(Into::into).collect(),
            tasks: batch.tasks.into_iter().map(Into::into).collect(),
            is_begun: batch.has_begun,
            queue: batch.queue.to_string(),
            delegated_by: batch.delegated_by.map(Into::into),
        }
    }
}

impl TryFrom<proto::RunBatch> for RunBatch {
    type Error = DecodeError;

    fn try_from(batch: proto::RunBatch) -> Result<Self, DecodeError> {
        Ok(RunBatch {
            number: batch.number,
            job: decode_job_id("run_batch.job", &batch.job)?,
            service: name("run_batch.service", batch.service)?,
            payload: Arc::from(batch.spec),
            priority: batch.priority,
            objective_left_us: batch.objective_left_us,
            deadline_left: Duration::from_micros(batch.deadline_left_us),
            demands: decode_list("run_batch.demands", batch.demands, MAX_TASKS)?,
            tasks: decode_list("run_batch.tasks", batch.tasks, MAX_TASKS)?,
            has_begun: batch.is_begun,
            queue: name("run_batch.queue", batch.queue)?,
            delegated_by: batch.delegated_by.map(TryInto::try_into).transpose()?,
        })
    }
}

impl From<StepDemand> for proto::StepDemand {
    fn from(demand: StepDemand) -> Self {
        proto::StepDemand {
            step: demand.step,
            room: Some(demand.resources.into()),
            expected_run_us: to_us(demand.expected_run_time),
            declared_run_us: to_us(demand.declared_run_time),
            required_label: demand.required_label.map(|label| label.to_string()),
            data_rack: demand.data_rack.map(|rack| rack.to_string()),
            most_per_upstream: demand.max_tasks_per_upstream,
        }
    }
}

impl TryFrom<proto::StepDemand> for StepDemand {
    type Error = DecodeError;

    fn try_from(demand: proto::StepDemand) -> Result<Self, DecodeError> {
        Ok(StepDemand {
            step: demand.step,
            resources: required("run_batch.demands.room", demand.room)?.into(),
            expected_run_time: Duration::from_micros(demand.expected_run_us),
            declared_run_time: Duration::from_micros(demand.declared_run_us),
            required_label: optional_name("run_batch.demands.label", demand.required_label)?,
            data_rack: optional_name("run_batch.demands.data_rack", demand.data_rack)?,
            max_tasks_per_upstream: demand.most_per_upstream,
        })
    }
}

impl From<PlacedTask> for proto::PlacedTask {
    fn from(task: PlacedTask) -> Self {
        proto::PlacedTask {
            step: task.step,
            index: task.index,
            run: task.run_number,
            known_run_us: task.known_run_time.map(to_us),
            avoid: task.avoid.iter().map(ToString::to_string).collect(),
            is_alone: task.is_alone,
        }
    }
}

impl TryFrom<proto::PlacedTask> for PlacedTask {
    type Error = DecodeError;

    fn try_from(task: proto::PlacedTask) -> Result<Self, DecodeError> {
        let avoid = bounded("run_batch.tasks.avoid", task.avoid, MAX_TASKS)?;
        let avoid = avoid.into_iter();
        let avoid = avoid.map(|upstream| name("run_batch.tasks.avoid", upstream));
        Ok(PlacedTask {
            step: task.step,
            index: task.index,
            run_number: task.run,
            known_run_time: task.known_run_us.map(Duration::from_micros),
            avoid: avoid.collect::<Result<_, _>>()?,
            is_alone: task.is_alone,
        })
    }
}

impl From<RunId> for proto::RunId {
    fn from(run: RunId) -> Self {
        proto::RunId {
            job: run.task.job.to_string(),
            occurrence: run.task.occurrence,
            step: run.task.step,
            index: run.task.index,
            run: run.run_number,
        }
    }
}

impl TryFrom<proto::RunId> for RunId {
    type Error = DecodeError;

    fn try_from(run: proto::RunId) -> Result<Self, DecodeError> {
        Ok(RunId {
            task: TaskName {
                job: decode_job_id("run.job", &run.job)?,
                occurrence: run.occurrence,
                step: run.step,
                index: run.index,
            },
            run_number: run.run,
        })
    }
}

impl From<FoundEnd> for proto::FoundEnd {
    fn from(end: FoundEnd) -> Self {
        proto::FoundEnd {
            run: Some(end.run.into()),
            done: end.done,
            failed: end.failed,
        }
    }
}

impl TryFrom<proto::FoundEnd> for FoundEnd {
    type Error = DecodeError;

    fn try_from(end: proto::FoundEnd) -> Result<Self, DecodeError> {
        Ok(FoundEnd {
            run: required("found.ended.run", end.run)?.try_into()?,
            done: end.done,
            failed: end.failed,
        })
    }
}

impl From<EndedRun> for proto::RunEnd {
    fn from(end: EndedRun) -> Self {
        let how = match end.end {
            RunEnd::Done { work } => End::DoneWorkUs(to_us(work)),
            RunEnd::Failed { upstream } => End::FailedOn(upstream.to_string()),
            RunEnd::NotStarted(reason) => {
                End::NotStarted(proto::NotStartedReason::from(reason) as i32)
            }
            RunEnd::Lost { upstream } => End::LostOn(upstream.to_string()),
            RunEnd::TakenOver { upstream } => End::TakenOver(proto::TakenOver {
                upstream: upstream.to_string(),
            }),
            RunEnd::TooSlow { work, upstream } => End::TooSlow(proto::TooSlow {
                work_us: to_us(work),
                upstream: upstream.to_string(),
            }),
        };
        proto::RunEnd {
            run: Some(end.run.into()),
            end: Some(how),
        }
    }
}

impl TryFrom<proto::RunEnd> for EndedRun {
    type Error = DecodeError;

    fn try_from(end: proto::RunEnd) -> Result<Self, DecodeError> {
        let how = match required("ends.end", end.end)? {
            End::DoneWorkUs(work_us) => RunEnd::Done {
                work: Duration::from_micros(work_us),
            },
            End::FailedOn(upstream) => RunEnd::Failed {
                upstream: name("ends.failed_on", upstream)?,
            },
            End::NotStarted(number) => RunEnd::NotStarted(decode_not_started(number)?),
            End::LostOn(upstream) => RunEnd::Lost {
                upstream: name("ends.lost_on", upstream)?,
            },
            End::TakenOver(taken_over) => RunEnd::TakenOver {
                upstream: name("ends.taken_over.upstream", taken_over.upstream)?,
            },
            End::TooSlow(too_slow) => RunEnd::TooSlow {
                work: Duration::from_micros(too_slow.work_us),
                upstream: name("ends.too_slow.upstream", too_slow.upstream)?,
            },
        };
        Ok(EndedRun {
            run: required("ends.run", end.run)?.try_into()?,
            end: how,
        })
    }
}

impl From<NotStarted> for proto::NotStartedReason {
    fn from(reason: NotStarted) -> Self {
        match reason {
            NotStarted::TooLate => proto::NotStartedReason::TooLate,
            NotStarted::Overdue => proto::NotStartedReason::Overdue,
            NotStarted::OldRun => proto::NotStartedReason::OldRun,
            NotStarted::Refused => proto::NotStartedReason::Refused,
            NotStarted::NoUpstream => proto::NotStartedReason::NoUpstream,
            NotStarted::Stale => proto::NotStartedReason::Stale,
            NotStarted::Leaving => proto::NotStartedReason::Leaving,
            NotStarted::Invalid => proto::NotStartedReason::Invalid,
        }
    }
}

fn decode_not_started(number: i32) -> Result<NotStarted, DecodeError> {
    let unknown = DecodeError::UnknownValue {
        field: "ends.not_started",
        number,
    };
    match proto::NotStartedReason::try_from(number) {
        Ok(proto::NotStartedReason::TooLate) => Ok(NotStarted::TooLate),
        Ok(proto::NotStartedReason::Overdue) => Ok(NotStarted::Overdue),
        Ok(proto::NotStartedReason::OldRun) => Ok(NotStarted::OldRun),
        Ok(proto::NotStartedReason::Refused) => Ok(NotStarted::Refused),
        Ok(proto::NotStartedReason::NoUpstream) => Ok(NotStarted::NoUpstream),
        Ok(proto::NotStartedReason::Stale) => Ok(NotStarted::Stale),
        Ok(proto::NotStartedReason::Leaving) => Ok(NotStarted::Leaving),
        Ok(proto::NotStartedReason::Invalid) => Ok(NotStarted::Invalid),
        Ok(proto::NotStartedReason::Unspecified) | Err(_) => Err(unknown),
    }
}
