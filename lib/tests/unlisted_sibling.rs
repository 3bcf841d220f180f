//! A sibling that a list leaves out keeps its work until it is known to have ended.

use std::time::Duration;

use almondhead_lib::event::Event;
use almondhead_lib::membership::Membership;
use almondhead_lib::outcome::FailReason;
use almondhead_lib::outcome::JobAnswer;
use almondhead_testsupport::core_fakes::CoreFakes;
use almondhead_testsupport::core_fakes::UpstreamEnd;

const HOME: usize = 0;

/// A job at its home whose tasks run there and at both siblings.
fn overflowing() -> (CoreFakes, usize) {
    let mut fakes = CoreFakes::new();
    fakes.advance(Duration::from_secs(1));
    fakes.deliver_all();
    let job = fakes.submit_in_session(HOME, 6);
    fakes.deliver_all();
    let elsewhere = fakes.attempts.iter().filter(|open| open.instance != HOME);
    assert!(elsewhere.count() > 0, "nothing was handed over");
    (fakes, job)
}

#[test]
fn answer_is_taken() {
    let (mut fakes, job) = overflowing();
    fakes.handle(HOME, Event::MembershipChanged(Membership::default()));
    assert_eq!(fakes.jobs[job].open_requests, 1, "the job goes on");
    for _ in 0..50 {
        if !fakes.attempts.is_empty() {
            fakes.end_attempt(0, UpstreamEnd::Finish);
        }
        fakes.deliver_all();
    }
    assert_eq!(fakes.jobs[job].complete_answers, 1);
}

#[test]
fn ended_sibling() {
    let (mut fakes, job) = overflowing();
    let siblings = fakes.dispatchers[1..].iter();
    let ended = siblings.map(|dispatcher| dispatcher.incarnation());
    let membership = Membership {
        ended: ended.collect(),
        ..Membership::default()
    };
    fakes.handle(HOME, Event::MembershipChanged(membership));
    let JobAnswer::Failed { reason, .. } = fakes.last_answer(job) else {
        panic!("the job goes on");
    };
    assert_eq!(reason, FailReason::Unknown);
}
