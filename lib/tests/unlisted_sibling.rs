//! A sibling missing from the list keeps its batches until it is listed as ended.

use std::time::Duration;

use almondhead_lib::event::Event;
use almondhead_lib::membership::Membership;
use almondhead_lib::outcome::FailReason;
use almondhead_lib::outcome::JobAnswer;
use almondhead_testsupport::core_fakes::CoreFakes;
use almondhead_testsupport::core_fakes::UpstreamEnd;

const HOME: usize = 0;

/// Submits a job whose tasks run at its home and at siblings; returns its index.
fn site_with_overflow() -> (CoreFakes, usize) {
    let mut fakes = CoreFakes::new();
    fakes.advance(Duration::from_secs(1));
    fakes.deliver_all();
    let job = fakes.submit_in_session(HOME, 6);
    fakes.deliver_all();
    let elsewhere = fakes.attempts.iter().filter(|open| open.instance != HOME);
    assert!(elsewhere.count() > 0, "no task was forwarded");
    (fakes, job)
}

#[test]
fn batches_of_unlisted_sibling_complete() {
    let (mut fakes, job) = site_with_overflow();
    fakes.handle(HOME, Event::MembershipChanged(Membership::default()));
    assert_eq!(fakes.jobs[job].open_requests, 1, "the job stays open");
    for _ in 0..50 {
        if !fakes.attempts.is_empty() {
            fakes.end_attempt(0, UpstreamEnd::Finish);
        }
        fakes.deliver_all();
    }
    assert_eq!(fakes.jobs[job].complete_answers, 1);
}

#[test]
fn batches_of_ended_sibling_fail() {
    let (mut fakes, job) = site_with_overflow();
    let siblings = fakes.dispatchers[1..].iter();
    let ended = siblings.map(|dispatcher| dispatcher.incarnation());
    let membership = Membership {
        ended: ended.collect(),
        ..Membership::default()
    };
    fakes.handle(HOME, Event::MembershipChanged(membership));
    let JobAnswer::Failed { reason, .. } = fakes.last_answer(job) else {
        panic!("the job did not fail");
    };
    assert_eq!(reason, FailReason::Unknown);
}
