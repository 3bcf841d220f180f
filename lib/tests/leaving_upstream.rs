//! Leaving upstreams and instances get no new work and finish what they have.

use std::sync::Arc;
use std::time::Duration;

use almondhead_lib::event::Event;
use almondhead_lib::membership::Membership;
use almondhead_lib::outcome::JobAnswer;
use almondhead_lib::outcome::NotRunReason;
use almondhead_testsupport::core_fakes::CoreFakes;
use almondhead_testsupport::core_fakes::DOCUMENT;
use almondhead_testsupport::core_fakes::UpstreamEnd;

/// The instance with an upstream of its own, `u3`.
const WEST: usize = 2;

const LEAVES_AT_UNIX_MS: u64 = 1_800_000_000_000;

fn leaving_document() -> String {
    let leaves = format!(r#""name": "u3", "leaves_at_unix_ms": {LEAVES_AT_UNIX_MS},"#);
    DOCUMENT.replace(r#""name": "u3","#, &leaves)
}

fn attempts_at_u3(fakes: &CoreFakes) -> usize {
    let attempts = fakes.attempts.iter();
    let at_u3 = attempts.filter(|open| &*open.attempt.target.name == "u3");
    at_u3.count()
}

#[test]
fn upstream_leaves_at_document_time() {
    let mut fakes = CoreFakes::new();
    fakes.install(WEST, 2, &leaving_document());
    let unix_ms = LEAVES_AT_UNIX_MS - 3_000;
    fakes.handle(WEST, Event::WallClockRead { unix_ms });
    fakes.submit_in_session(WEST, 1);
    assert_eq!(fakes.attempts.len(), 1, "it has not left yet");
    fakes.advance(Duration::from_secs(3));
    fakes.submit_in_session(WEST, 1);
    assert_eq!(attempts_at_u3(&fakes), 1, "no new task after it left");
    fakes.end_attempt(0, UpstreamEnd::Finish);
    assert_eq!(
        fakes.jobs[0].complete_answers, 1,
        "the running task finished"
    );
}

#[test]
fn upstream_leaves_when_listed() {
    let mut fakes = CoreFakes::new();
    let leaving = Membership {
        leaving_upstreams: vec![Arc::from("u3")],
        ..Membership::default()
    };
    fakes.handle(WEST, Event::MembershipChanged(leaving));
    fakes.submit_in_session(WEST, 1);
    assert_eq!(fakes.attempts.len(), 1, "another upstream runs it");
    assert_eq!(attempts_at_u3(&fakes), 0);
}

#[test]
fn older_revision_is_ignored() {
    let mut fakes = CoreFakes::new();
    fakes.install(WEST, 3, &leaving_document());
    fakes.install(WEST, 2, DOCUMENT);
    assert_eq!(fakes.dispatchers[WEST].status().revision, 3);
    fakes.advance(Duration::from_secs(1));
    fakes.deliver_all();
    let revisions = fakes.dispatchers.iter().map(|d| d.status().revision);
    assert_eq!(
        revisions.collect::<Vec<u64>>(),
        [3, 3, 3],
        "siblings install the newest revision"
    );
}

#[test]
fn stopping_instance_finishes_open_jobs() {
    let mut fakes = CoreFakes::new();
    let job = fakes.submit_in_session(WEST, 6);
    fakes.handle(WEST, Event::StopRequested);
    assert!(!fakes.dispatchers[WEST].is_idle());
    fakes.submit_by_key(WEST, 1);
    let JobAnswer::NotRun { reason, .. } = fakes.last_answer(1) else {
        panic!("a new job was accepted");
    };
    assert_eq!(reason, NotRunReason::Leaving);
    for _ in 0..20 {
        fakes.deliver_all();
        if fakes.attempts.is_empty() {
            break;
        }
        fakes.end_attempt(0, UpstreamEnd::Finish);
    }
    assert_eq!(fakes.jobs[job].complete_answers, 1);
    assert!(fakes.dispatchers[WEST].is_idle());
}
