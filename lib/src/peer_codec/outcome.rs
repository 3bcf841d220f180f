//! Wire encoding of answers and of the ends of attempts.

use std::time::Duration;

use crate::outcome::AttemptEnd;
use crate::outcome::FailReason;
use crate::outcome::JobAnswer;
use crate::outcome::NotRunReason;
use crate::outcome::NotStartedCause;
use crate::outcome::UnknownCause;
use crate::peer_codec::field::DecodeError;
use crate::peer_codec::field::MAX_TASKS;
use crate::peer_codec::field::bounded;
use crate::peer_codec::field::to_us;
use crate::peer_proto as proto;
use crate::peer_proto::request_answer::Answer;
use crate::peer_proto::task_end::End;

/// Implements the conversion between an enum and the generated enum of the same name, whose
/// variants have the same names too.
macro_rules! same_variants {
    ($field:literal, $name:ident { $($variant:ident),+ $(,)? }) => {
        impl From<$name> for proto::$name {
            fn from(value: $name) -> Self {
                match value {
                    $($name::$variant => proto::$name::$variant,)+
                }
            }
        }

        impl $name {
            fn decode(number: i32) -> Result<Self, DecodeError> {
                match proto::$name::try_from(number) {
                    $(Ok(proto::$name::$variant) => Ok($name::$variant),)+
                    Ok(proto::$name::Unspecified) | Err(_) => Err(DecodeError::UnknownValue {
                        field: $field,
                        number,
                    }),
                }
            }
        }
    };
}

same_variants!(
    "not_run.reason",
    NotRunReason {
        UnknownService,
        UnknownTeam,
        TaskCount,
        InputTooLarge,
        NeedsNeverMet,
        Overloaded,
        QueueFull,
        QuotaUsedUp,
        DeadlinePassed,
        Cancelled,
        Leaving,
        NoDocument,
        ClaimUnavailable,
        NotSubmitted,
        NotTaken,
        TooManyJobs,
    }
);

same_variants!(
    "failed.reason",
    FailReason {
        TaskFailed,
        Unknown,
        DeadlinePassed,
        Cancelled,
        HomeGone,
        HomeUnreachable,
        AnswerExpired,
        AddressReused,
        NotTaken,
    }
);

same_variants!(
    "ends.not_started",
    NotStartedCause {
        NotSent,
        Refused,
        PastDeadline,
    }
);

same_variants!(
    "ends.unknown",
    UnknownCause {
        ConnectionLost,
        Timeout,
        Mismatch,
        SiblingLost,
    }
);

impl From<JobAnswer> for Answer {
    fn from(answer: JobAnswer) -> Self {
        match answer {
            JobAnswer::Complete { results } => Answer::Complete(proto::Complete { results }),
            JobAnswer::NotRun {
                reason,
                retry_after,
            } => Answer::NotRun(proto::NotRun {
                reason: proto::NotRunReason::from(reason).into(),
                retry_after_us: retry_after.map(to_us),
            }),
            JobAnswer::Failed {
                reason,
                task,
                retry_after,
            } => Answer::Failed(proto::Failed {
                reason: proto::FailReason::from(reason).into(),
                task,
                retry_after_us: retry_after.map(to_us),
            }),
        }
    }
}

impl TryFrom<Answer> for JobAnswer {
    type Error = DecodeError;

    fn try_from(answer: Answer) -> Result<Self, DecodeError> {
        let answer = match answer {
            Answer::Complete(complete) => JobAnswer::Complete {
                results: bounded("complete.results", complete.results, MAX_TASKS)?,
            },
            Answer::NotRun(not_run) => JobAnswer::NotRun {
                reason: NotRunReason::decode(not_run.reason)?,
                retry_after: not_run.retry_after_us.map(Duration::from_micros),
            },
            Answer::Failed(failed) => JobAnswer::Failed {
                reason: FailReason::decode(failed.reason)?,
                task: failed.task,
                retry_after: failed.retry_after_us.map(Duration::from_micros),
            },
        };
        Ok(answer)
    }
}

impl From<AttemptEnd> for End {
    fn from(end: AttemptEnd) -> Self {
        match end {
            AttemptEnd::NotStarted(cause) => {
                End::NotStarted(proto::NotStartedCause::from(cause).into())
            }
            AttemptEnd::Finished { body } => End::Finished(body),
            AttemptEnd::TaskFailed { status } => End::TaskFailedStatus(status.into()),
            AttemptEnd::Unknown(cause) => End::Unknown(proto::UnknownCause::from(cause).into()),
        }
    }
}

impl TryFrom<End> for AttemptEnd {
    type Error = DecodeError;

    fn try_from(end: End) -> Result<Self, DecodeError> {
        let end = match end {
            End::NotStarted(cause) => AttemptEnd::NotStarted(NotStartedCause::decode(cause)?),
            End::Finished(body) => AttemptEnd::Finished { body },
            End::TaskFailedStatus(status) => AttemptEnd::TaskFailed {
                status: u16::try_from(status).map_err(|_| DecodeError::OutOfRange {
                    field: "ends.task_failed_status",
                })?,
            },
            End::Unknown(cause) => AttemptEnd::Unknown(UnknownCause::decode(cause)?),
        };
        Ok(end)
    }
}
