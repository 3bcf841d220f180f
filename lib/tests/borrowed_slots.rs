//! An entry instance without upstreams of its own runs its jobs at siblings, even at busy ones.

use std::time::Duration;

use almondhead_testsupport::core_fakes::CoreFakes;
use almondhead_testsupport::core_fakes::DOCUMENT;
use almondhead_testsupport::core_fakes::UpstreamEnd;

const EAST: usize = 0;
const WEST: usize = 2;

#[test]
fn jobs_run_at_busy_siblings() {
    let mut fakes = CoreFakes::new();
    let all_east = DOCUMENT.replace(
        r#""u3", "data_centre": "west""#,
        r#""u3", "data_centre": "east""#,
    );
    for instance in 0..3 {
        fakes.install(instance, 2, &all_east);
    }
    for instance in [EAST, EAST + 1] {
        fakes.submit_in_session(instance, 8);
    }
    fakes.advance(Duration::from_secs(1));
    fakes.deliver_all();
    let job = fakes.submit_in_session(WEST, 1);
    assert_eq!(fakes.dispatchers[WEST].status().upstreams_in_use, 0);
    assert_eq!(fakes.jobs[job].not_run_answers, 0);
    for _ in 0..200 {
        if !fakes.attempts.is_empty() {
            fakes.end_attempt(0, UpstreamEnd::Finish);
        }
        fakes.advance(Duration::from_millis(10));
        fakes.deliver_all();
    }
    assert_eq!(fakes.jobs[job].complete_answers, 1);
}
