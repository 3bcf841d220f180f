//! Owners that succeed each other on an upstream whose runs nobody claims.

use std::time::Duration;

use almondhead_lib::runs::run_answer::JobEnd;
use almondhead_lib::runs::run_answer::RunAnswer;
use almondhead_testsupport::run_site::RunSite;
use almondhead_testsupport::run_site::SitePlan;
use almondhead_testsupport::run_site::run_job;

const JOB: &str = "00000000000000aa";
const HOME: usize = 0;
const OTHER: usize = 1;

/// Guards against a run whose home has ended and whose lease each of several owners in turn renews
/// until the caller has submitted the job again elsewhere.
#[test]
fn unclaimed_run_is_not_kept_alive_by_owner_after_owner() {
    let mut site = RunSite::start(&SitePlan::new(2, 1, 2));
    site.set_caller_wait(Some(Duration::from_secs(9)));
    site.run_ms(1_000);
    site.submit(HOME, "look", JOB, &run_job(1, 6_800, 3_000));
    site.run_ms(100);
    assert!(site.start_count(0) + site.start_count(1) > 0);
    // Each incarnation ends before it stops the run.
    for _ in 0..5 {
        site.kill(HOME);
        site.run_ms(40);
        site.start_node(HOME);
        site.run_ms(220);
    }
    site.submit(OTHER, "look", JOB, &run_job(1, 6_800, 3_000));
    site.run_ms(1_500);
    assert!(site.violations().is_empty(), "{:?}", site.violations());
}

/// Guards against the loss of a run that its home claims from an owner that has just taken over.
#[test]
fn claimed_run_goes_on_under_each_next_owner() {
    let mut site = RunSite::start(&SitePlan::new(2, 1, 2));
    site.set_caller_wait(Some(Duration::from_secs(9)));
    site.run_ms(1_000);
    // All upstreams of the home are busy, so that the other instance runs the job.
    site.submit(HOME, "look", "00000000000000ab", &run_job(4, 6_800, 600));
    site.run_ms(20);
    site.submit(HOME, "look", JOB, &run_job(1, 6_800, 3_000));
    site.run_ms(100);
    let starts = site.start_count(2) + site.start_count(3);
    assert_eq!(starts, 1);
    for _ in 0..5 {
        site.kill(OTHER);
        site.run_ms(40);
        site.start_node(OTHER);
        site.run_ms(360);
    }
    site.run_ms(2_500);
    assert!(site.violations().is_empty(), "{:?}", site.violations());
    assert_eq!(site.start_count(2) + site.start_count(3), 1);
    let answer = site.answer(JOB).expect("an answer");
    assert_eq!(answer.answer, RunAnswer::Ended(JobEnd::Completed));
}
