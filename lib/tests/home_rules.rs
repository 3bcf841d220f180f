//! A job belongs to one incarnation, its home: answers of the home and of other instances.

use std::time::Duration;

use almondhead_lib::id::JobAddress;
use almondhead_lib::outcome::FailReason;
use almondhead_lib::outcome::JobAnswer;
use almondhead_lib::outcome::NotRunReason;
use almondhead_testsupport::core_fakes::CoreFakes;
use almondhead_testsupport::core_fakes::TableEnd;
use almondhead_testsupport::core_fakes::UpstreamEnd;

const HOME: usize = 0;
const OTHER: usize = 1;

/// Finishes attempts until none is left.
fn finish_all(fakes: &mut CoreFakes) {
    while !fakes.attempts.is_empty() {
        fakes.end_attempt(0, UpstreamEnd::Finish);
        fakes.deliver_all();
    }
}

fn not_run_reason(answer: &JobAnswer) -> Option<NotRunReason> {
    match answer {
        JobAnswer::NotRun { reason, .. } => Some(*reason),
        _ => None,
    }
}

fn fail_reason(answer: &JobAnswer) -> Option<FailReason> {
    match answer {
        JobAnswer::Failed { reason, .. } => Some(*reason),
        _ => None,
    }
}

#[test]
fn resubmission_joins_running_job() {
    let mut fakes = CoreFakes::new();
    let job = fakes.submit_in_session(HOME, 2);
    fakes.submit_again(job, HOME);
    fakes.submit_again(job, OTHER);
    fakes.deliver_all();
    assert_eq!(fakes.attempts.len(), 2);
    finish_all(&mut fakes);
    assert_eq!(fakes.jobs[job].complete_answers, 3);
    assert_eq!(fakes.guarantee_violations(), "");
}

#[test]
fn kept_answer_is_returned_again() {
    let mut fakes = CoreFakes::new();
    let job = fakes.submit_in_session(HOME, 1);
    finish_all(&mut fakes);
    fakes.submit_again(job, OTHER);
    fakes.deliver_all();
    assert_eq!(fakes.jobs[job].complete_answers, 2);
    assert_eq!(fakes.attempts.len(), 0);
}

#[test]
fn expired_answer_fails_resubmission() {
    let mut fakes = CoreFakes::new();
    let job = fakes.submit_in_session(HOME, 1);
    finish_all(&mut fakes);
    fakes.advance(Duration::from_secs(61));
    fakes.submit_again(job, HOME);
    let answer = fakes.last_answer(job);
    assert_eq!(fail_reason(&answer), Some(FailReason::AnswerExpired));
    assert_eq!(fakes.attempts.len(), 0);
}

#[test]
fn jobs_of_restarted_home_fail() {
    let mut fakes = CoreFakes::new();
    let job = fakes.submit_in_session(HOME, 1);
    fakes.restart(HOME);
    fakes.deliver_all();
    for instance in [HOME, OTHER] {
        fakes.submit_again(job, instance);
        fakes.deliver_all();
        let answer = fakes.last_answer(job);
        assert_eq!(fail_reason(&answer), Some(FailReason::HomeGone));
    }
    assert_eq!(fakes.attempts.len(), 1, "no task starts after the restart");
}

#[test]
fn unreachable_home_fails_with_retry_after() {
    let mut fakes = CoreFakes::new();
    let job = fakes.submit_in_session(HOME, 1);
    fakes.submit_again(job, OTHER);
    fakes.messages.clear();
    for _ in 0..6 {
        fakes.advance(Duration::from_millis(500));
        fakes.messages.clear();
    }
    let answer = fakes.last_answer(job);
    let JobAnswer::Failed {
        reason,
        retry_after,
        ..
    } = answer
    else {
        panic!("{answer:?}");
    };
    assert_eq!(reason, FailReason::HomeUnreachable);
    assert!(retry_after.is_some());
}

#[test]
fn other_content_at_same_address_is_refused() {
    let mut fakes = CoreFakes::new();
    let first = fakes.submit_in_session(HOME, 1);
    let second = fakes.submit_in_session(HOME, 2);
    fakes.jobs[second].address = fakes.jobs[first].address.clone();
    fakes.submit_again(second, HOME);
    let answer = fakes.last_answer(second);
    assert_eq!(fail_reason(&answer), Some(FailReason::AddressReused));
}

#[test]
fn number_below_window_is_expired() {
    let mut fakes = CoreFakes::new();
    let job = fakes.submit_in_session(HOME, 1);
    let JobAddress::Session { session, .. } = fakes.jobs[job].address.clone() else {
        panic!("the job was not submitted in a session");
    };
    finish_all(&mut fakes);
    let late = fakes.submit_in_session(HOME, 1);
    fakes.jobs[late].address = JobAddress::Session {
        session,
        number: 100,
    };
    fakes.submit_again(late, HOME);
    fakes.submit_again(job, HOME);
    let answer = fakes.last_answer(job);
    assert_eq!(fail_reason(&answer), Some(FailReason::AnswerExpired));
}

#[test]
fn cancelled_job_stays_cancelled() {
    let mut fakes = CoreFakes::new();
    let job = fakes.submit_in_session(HOME, 300);
    fakes.cancel(job, OTHER);
    fakes.deliver_all();
    let answer = fakes.last_answer(job);
    assert_eq!(fail_reason(&answer), Some(FailReason::Cancelled));
    fakes.submit_again(job, OTHER);
    fakes.deliver_all();
    let answer = fakes.last_answer(job);
    assert_eq!(fail_reason(&answer), Some(FailReason::Cancelled));
}

#[test]
fn concurrent_claims_run_job_once() {
    let mut fakes = CoreFakes::new();
    let job = fakes.submit_by_key(HOME, 2);
    fakes.submit_again(job, OTHER);
    assert_eq!(fakes.attempts.len(), 0, "nothing starts before the claim");
    fakes.end_claim(0, TableEnd::Answer);
    fakes.end_claim(0, TableEnd::Answer);
    fakes.deliver_all();
    finish_all(&mut fakes);
    assert_eq!(fakes.jobs[job].complete_answers, 2);
    assert_eq!(fakes.guarantee_violations(), "");
}

#[test]
fn lost_claim_answer_is_resolved_by_resubmission() {
    let mut fakes = CoreFakes::new();
    let job = fakes.submit_by_key(HOME, 1);
    fakes.end_claim(0, TableEnd::ApplyAndLose);
    let answer = fakes.last_answer(job);
    assert_eq!(
        not_run_reason(&answer),
        Some(NotRunReason::ClaimUnavailable)
    );
    fakes.submit_again(job, HOME);
    fakes.end_claim(0, TableEnd::Answer);
    finish_all(&mut fakes);
    assert_eq!(fakes.jobs[job].complete_answers, 1);
    assert_eq!(fakes.guarantee_violations(), "");
}

#[test]
fn key_claimed_by_ended_home_fails() {
    let mut fakes = CoreFakes::new();
    let job = fakes.submit_by_key(HOME, 1);
    fakes.end_claim(0, TableEnd::Answer);
    fakes.restart(HOME);
    fakes.deliver_all();
    for instance in [HOME, OTHER] {
        fakes.submit_again(job, instance);
        fakes.end_claim(0, TableEnd::Answer);
        fakes.deliver_all();
        let answer = fakes.last_answer(job);
        assert_eq!(fail_reason(&answer), Some(FailReason::HomeGone));
    }
    assert_eq!(fakes.attempts.len(), 1, "no task starts after the restart");
}
