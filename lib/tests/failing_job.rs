//! A job that fails wherever it runs does not take its upstreams out of use.

use almondhead_testsupport::core_fakes::CoreFakes;
use almondhead_testsupport::core_fakes::UpstreamEnd;

const WEST: usize = 2;

#[test]
fn counted_once() {
    let mut fakes = CoreFakes::new();
    for _ in 0..2 {
        fakes.submit_in_session(WEST, 12);
        while !fakes.attempts.is_empty() {
            fakes.end_attempt(0, UpstreamEnd::Fail);
        }
    }
    assert!(fakes.jobs.iter().all(|job| job.failed_answers == 1));
    let status = fakes.dispatchers[WEST].status();
    assert_eq!(status.messages.upstream_answers, 4, "two tasks of each ran");
    assert_eq!(status.ejected_upstreams, 0);
}
