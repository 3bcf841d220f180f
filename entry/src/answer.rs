//! Maps the dispatcher's answers to HTTP answers.

use std::time::Duration;

use almondhead_lib::outcome::FailReason;
use almondhead_lib::outcome::JobAnswer;
use almondhead_lib::outcome::NotRunReason;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::de::IgnoredAny;
use trillium::Conn;

use crate::problem::Problem;
use crate::problem::ProblemOutcome;
use crate::problem::ceil_ms;
use crate::reply::body_reply;

/// Answers a caller with the outcome of the job.
pub(crate) fn answer_reply(conn: Conn, answer: &JobAnswer) -> Conn {
    match answer {
        JobAnswer::Complete { results } => {
            body_reply(conn, 200, "application/json", complete_body(results))
        }
        JobAnswer::NotRun {
            reason,
            retry_after,
        } => not_run(*reason, *retry_after).reply(conn),
        JobAnswer::Failed {
            reason,
            task,
            retry_after,
        } => failed(*reason, *task, *retry_after).reply(conn),
    }
}

/// Returns the name of an answer's outcome in metrics and spans.
pub(crate) fn outcome_name(answer: &JobAnswer) -> &'static str {
    match answer {
        JobAnswer::Complete { .. } => "complete",
        JobAnswer::NotRun { .. } => "not_run",
        JobAnswer::Failed { .. } => "failed",
    }
}

/// Builds the body of a complete answer; results that are not JSON are sent as `{"base64": ...}`.
fn complete_body(results: &[Bytes]) -> Vec<u8> {
    let results_bytes: usize = results.iter().map(|result| result.len() + 1).sum();
    let mut body = Vec::with_capacity(results_bytes + 64);
    body.extend_from_slice(br#"{"outcome":"complete","results":["#);
    for (index, result) in results.iter().enumerate() {
        if index > 0 {
            body.push(b',');
        }
        append_result(&mut body, result);
    }
    body.extend_from_slice(b"]}");
    body
}

fn append_result(body: &mut Vec<u8>, result: &Bytes) {
    if serde_json::from_slice::<IgnoredAny>(result).is_ok() {
        body.extend_from_slice(result);
        return;
    }
    body.extend_from_slice(br#"{"base64":""#);
    body.extend_from_slice(STANDARD.encode(result).as_bytes());
    body.extend_from_slice(br#""}"#);
}

fn not_run(reason: NotRunReason, retry_after: Option<Duration>) -> Problem {
    Problem {
        title: reason.to_string(),
        status: not_run_status(reason),
        outcome: ProblemOutcome::NotRun,
        reason: not_run_code(reason).to_owned(),
        task: None,
        retry_after_ms: retry_after.map(ceil_ms),
        errors: Vec::new(),
    }
}

fn failed(reason: FailReason, task: Option<u32>, retry_after: Option<Duration>) -> Problem {
    Problem {
        title: reason.to_string(),
        status: fail_status(reason),
        outcome: ProblemOutcome::Failed,
        reason: fail_code(reason).to_owned(),
        task,
        retry_after_ms: retry_after.map(ceil_ms),
        errors: Vec::new(),
    }
}

fn not_run_status(reason: NotRunReason) -> u16 {
    match reason {
        NotRunReason::UnknownService
        | NotRunReason::UnknownTeam
        | NotRunReason::TaskCount
        | NotRunReason::NeedsNeverMet => 422,
        NotRunReason::InputTooLarge => 413,
        NotRunReason::QuotaUsedUp => 429,
        NotRunReason::Cancelled => 409,
        NotRunReason::NotSubmitted => 404,
        NotRunReason::Overloaded
        | NotRunReason::QueueFull
        | NotRunReason::DeadlinePassed
        | NotRunReason::Leaving
        | NotRunReason::NoDocument
        | NotRunReason::ClaimUnavailable
        | NotRunReason::NotTaken
        | NotRunReason::TooManyJobs => 503,
    }
}

fn not_run_code(reason: NotRunReason) -> &'static str {
    match reason {
        NotRunReason::UnknownService => "unknown_service",
        NotRunReason::UnknownTeam => "unknown_team",
        NotRunReason::TaskCount => "task_count",
        NotRunReason::InputTooLarge => "input_too_large",
        NotRunReason::NeedsNeverMet => "needs_never_met",
        NotRunReason::Overloaded => "overloaded",
        NotRunReason::QueueFull => "queue_full",
        NotRunReason::QuotaUsedUp => "quota_used_up",
        NotRunReason::DeadlinePassed => "deadline_passed",
        NotRunReason::Cancelled => "cancelled",
        NotRunReason::Leaving => "leaving",
        NotRunReason::NoDocument => "no_document",
        NotRunReason::ClaimUnavailable => "claim_unavailable",
        NotRunReason::NotSubmitted => "not_submitted",
        NotRunReason::NotTaken => "not_taken",
        NotRunReason::TooManyJobs => "too_many_jobs",
    }
}

fn fail_status(reason: FailReason) -> u16 {
    match reason {
        FailReason::TaskFailed
        | FailReason::Unknown
        | FailReason::HomeGone
        | FailReason::NotTaken => 502,
        FailReason::DeadlinePassed | FailReason::HomeUnreachable => 504,
        FailReason::Cancelled | FailReason::AnswerExpired | FailReason::AddressReused => 409,
    }
}

fn fail_code(reason: FailReason) -> &'static str {
    match reason {
        FailReason::TaskFailed => "task_failed",
        FailReason::Unknown => "unknown",
        FailReason::DeadlinePassed => "deadline_passed",
        FailReason::Cancelled => "cancelled",
        FailReason::HomeGone => "home_gone",
        FailReason::HomeUnreachable => "home_unreachable",
        FailReason::AnswerExpired => "answer_expired",
        FailReason::AddressReused => "address_reused",
        FailReason::NotTaken => "not_taken",
    }
}
