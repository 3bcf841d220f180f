//! A process that was paused acts on nothing that it knew before the pause until it has read what
//! arrived meanwhile.

use std::time::Duration;

use almondhead_lib::runs::run_answer::JobEnd;
use almondhead_lib::runs::run_answer::RunAnswer;
use almondhead_testsupport::run_site::PathLoss;
use almondhead_testsupport::run_site::RunSite;
use almondhead_testsupport::run_site::SitePlan;
use almondhead_testsupport::run_site::run_job;

const JOB: &str = "00000000000000aa";
const PAUSED: usize = 0;
const OTHER: usize = 1;

/// Two data centres with one instance and two upstreams each.
fn started() -> RunSite {
    let mut site = RunSite::start(&SitePlan::new(2, 1, 2));
    site.set_caller_wait(Some(Duration::from_secs(9)));
    site.run_ms(1_000);
    site
}

/// Guards against the retry of a task by a home that was paused, while another home already runs the
/// job that the caller has submitted again.
#[test]
fn thawed_home_retries_nothing_of_a_caller_that_has_left() {
    let mut site = started();
    // The home's own upstreams are busy, so that the job's task runs at the other owner.
    site.submit(PAUSED, "look", "00000000000000ab", &run_job(4, 6_800, 900));
    site.run_ms(30);
    site.submit(PAUSED, "look", JOB, &run_job(1, 6_800, 1_400));
    site.run_ms(30);
    assert!(site.start_count(2) + site.start_count(3) > 0);
    site.freeze(PAUSED);
    site.drop_caller(JOB);
    site.run_ms(1_300);
    site.submit(OTHER, "look", JOB, &run_job(1, 6_800, 1_400));
    // Fills that upstream, so that a retry would start on another one.
    site.submit(OTHER, "look", "00000000000000ac", &run_job(1, 6_800, 1_400));
    site.run_ms(200);
    site.thaw(PAUSED);
    site.run_ms(1_500);
    assert!(site.violations().is_empty(), "{:?}", site.violations());
}

/// Guards against the start of a queued task by an owner that was paused, while another instance
/// already runs the job that the caller has submitted again.
#[test]
fn thawed_owner_starts_nothing_of_a_caller_that_has_left() {
    let mut site = started();
    for upstream in [2, 3] {
        site.set_upstream_path(PAUSED, upstream, Some(PathLoss::Orders));
    }
    // More tasks than both instances' upstreams run at a time.
    site.submit(PAUSED, "look", "00000000000000ab", &run_job(4, 6_800, 350));
    site.submit(OTHER, "look", "00000000000000ac", &run_job(4, 6_800, 350));
    site.run_ms(20);
    site.submit(PAUSED, "look", JOB, &run_job(1, 6_800, 900));
    site.run_ms(20);
    site.freeze(PAUSED);
    site.drop_caller(JOB);
    site.run_ms(1_300);
    site.submit(OTHER, "look", JOB, &run_job(1, 6_800, 900));
    site.run_ms(30);
    site.thaw(PAUSED);
    site.run_ms(1_500);
    assert!(site.violations().is_empty(), "{:?}", site.violations());
}

/// Guards against ends that were read only after a pause being taken for slow runs: the upstreams
/// would count as too slow for any later job.
#[test]
fn pause_makes_no_upstream_slow() {
    let mut site = started();
    site.submit(PAUSED, "look", "00000000000000ab", &run_job(4, 6_800, 350));
    site.run_ms(40);
    site.freeze(PAUSED);
    site.run_ms(1_300);
    site.thaw(PAUSED);
    site.run_ms(400);
    site.set_caller_wait(Some(Duration::from_millis(500)));
    // As many tasks as all upstreams run at a time.
    site.submit(PAUSED, "look", JOB, &run_job(8, 6_800, 200));
    site.run_ms(500);
    let answer = site.answer(JOB).expect("an answer");
    assert_eq!(answer.answer, RunAnswer::Ended(JobEnd::Completed));
}

/// Guards against leases that end at once because the clock of an upstream was read from an answer
/// that waited for the end of a pause.
#[test]
fn thawed_home_runs_new_jobs_soon() {
    let mut site = started();
    site.freeze(PAUSED);
    site.run_ms(1_000);
    site.thaw(PAUSED);
    site.run_ms(400);
    site.submit(PAUSED, "look", JOB, &run_job(1, 6_800, 100));
    site.run_ms(130);
    let answer = site.answer(JOB).expect("an answer");
    assert_eq!(answer.answer, RunAnswer::Ended(JobEnd::Completed));
}

/// Guards against a run being stopped as crawling because its progress was read only after a pause.
#[test]
fn run_goes_on_although_its_progress_is_read_late() {
    let mut site = started();
    site.submit(PAUSED, "look", JOB, &run_job(1, 6_800, 2_000));
    site.run_ms(300);
    site.freeze(PAUSED);
    site.run_ms(800);
    site.thaw(PAUSED);
    site.run_ms(2_000);
    let answer = site.answer(JOB).expect("an answer");
    assert_eq!(answer.answer, RunAnswer::Ended(JobEnd::Completed));
    let starts: u64 = (0..4).map(|upstream| site.start_count(upstream)).sum();
    assert_eq!(starts, 1);
}
