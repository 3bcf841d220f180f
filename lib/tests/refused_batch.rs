//! A batch that a sibling refuses delays its job but does not fail it.

use std::time::Duration;

use almondhead_lib::event::Event;
use almondhead_testsupport::core_fakes::CoreFakes;
use almondhead_testsupport::core_fakes::DOCUMENT;
use almondhead_testsupport::core_fakes::UpstreamEnd;

const HOME: usize = 0;

/// Siblings refuse all tasks that a job forwards to them, so the job completes at its home.
#[test]
fn job_completes_after_refused_batches() {
    let mut fakes = CoreFakes::new();
    let text = DOCUMENT.replace(r#""slots": 2"#, r#""slots": 10"#);
    let text = text.replace(r#""retry_percent": 100"#, r#""retry_percent": 1"#);
    for instance in 0..3 {
        fakes.install(instance, 2, &text);
    }
    fakes.advance(Duration::from_secs(1));
    fakes.deliver_all();
    let job = fakes.submit_in_session(HOME, 40);
    for instance in 1..3 {
        fakes.handle(instance, Event::StopRequested);
    }
    for _ in 0..200 {
        fakes.deliver_all();
        if !fakes.attempts.is_empty() {
            fakes.end_attempt(0, UpstreamEnd::Finish);
        }
        fakes.advance(Duration::from_millis(10));
    }
    let siblings = fakes.dispatchers[1..].iter();
    let refused: u64 = siblings.map(|d| d.status().messages.batch_answers).sum();
    assert!(refused > 0, "no batch was refused");
    assert_eq!(fakes.jobs[job].complete_answers, 1);
    assert_eq!(fakes.guarantee_violations(), "");
}
