//! A document that changes the queue policy also applies to jobs that are already waiting.

use almondhead_testsupport::core_fakes::CoreFakes;
use almondhead_testsupport::core_fakes::DOCUMENT;
use almondhead_testsupport::core_fakes::UpstreamEnd;

const WEST: usize = 2;

#[test]
fn waiting_jobs_are_reordered() {
    let mut fakes = CoreFakes::new();
    let policies = |queue: &str| {
        let text = format!(r#""policies": {{ "forward_overflow": false, "queue": "{queue}", "#);
        DOCUMENT.replace(r#""policies": { "#, &text)
    };
    fakes.install(WEST, 2, &policies("fifo"));
    fakes.submit_in_session(WEST, 20);
    let single = fakes.submit_in_session(WEST, 1);
    let of_single = |fakes: &CoreFakes| {
        let mut attempts = fakes.attempts.iter();
        attempts.any(|open| open.attempt.input == fakes.jobs[single].submission.inputs[0])
    };
    fakes.end_attempt(0, UpstreamEnd::Finish);
    assert!(!of_single(&fakes), "the later job started before its turn");
    fakes.install(WEST, 3, &policies("fair_fewest_remaining"));
    fakes.end_attempt(0, UpstreamEnd::Finish);
    assert!(
        of_single(&fakes),
        "the job with the fewest remaining tasks did not start next"
    );
    let waiting = fakes.dispatchers[WEST].status().queued_tasks;
    assert_eq!(waiting, 20 - 3, "every other task still waits");
}
