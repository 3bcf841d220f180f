//! A stopping instance: which jobs it still accepts, and how it ends open jobs before it exits.

use std::sync::Arc;
use std::time::Duration;

use almondhead_lib::runs::run_answer::GivenUp;
use almondhead_lib::runs::run_answer::JobEnd;
use almondhead_lib::runs::run_answer::NotRun;
use almondhead_lib::runs::run_answer::RunAnswer;
use almondhead_testsupport::run_site::RunSite;
use almondhead_testsupport::run_site::SitePlan;
use almondhead_testsupport::run_site::run_job;

const ID: &str = "00000000000000d1";

/// The instance that stops.
const LEAVING: usize = 0;

/// The time from the stop request to the exit of an instance of the simulated site, in
/// milliseconds.
const GRACE_MS: u64 = 5_000;

/// A site whose callers wait for far longer than a stopping instance takes to exit.
fn started() -> RunSite {
    let mut site = RunSite::start(&SitePlan::new(2, 2, 6));
    site.set_caller_wait(Some(Duration::from_secs(20)));
    site.run_ms(1_000);
    site
}

fn answer(site: &RunSite, id: &str) -> RunAnswer {
    site.answer(id).expect("an answer").answer.clone()
}

fn is_refused_as_stopping(answer: &RunAnswer) -> bool {
    matches!(
        answer,
        RunAnswer::NotRun {
            reason: NotRun::Stopping,
            retry_after: Some(_)
        }
    )
}

/// Guards against a stopping instance that refuses every job whose caller would wait beyond the
/// exit, even a job that ends before it.
#[test]
fn job_that_ends_before_the_exit_is_accepted() {
    let mut site = started();
    site.stop_node(LEAVING);
    site.run_ms(500);
    site.submit(LEAVING, "look", ID, &run_job(4, 6_800, 400));
    site.run_ms(600);
    assert_eq!(answer(&site, ID), RunAnswer::Ended(JobEnd::Completed));
    assert!(site.violations().is_empty(), "{:?}", site.violations());
}

/// Guards against a job that is accepted and then cut off by the exit.
#[test]
fn job_that_would_end_after_the_exit_is_refused_at_once() {
    let mut site = started();
    site.stop_node(LEAVING);
    site.run_ms(3_000);
    site.submit(LEAVING, "look", ID, &run_job(4, 6_800, 1_500));
    site.run_ms(1);
    let answer = answer(&site, ID);
    assert!(is_refused_as_stopping(&answer), "{answer:?}");
    assert_eq!(site.running(), 0);
}

/// Guards against an exit that closes the connection of a caller without an answer.
#[test]
fn open_job_is_answered_before_the_exit() {
    let mut site = started();
    // An upstream in the other data centre, so that the stop does not change its owner.
    site.label_upstream(6, "far");
    site.run_ms(600);
    let mut job = run_job(2, 6_800, 8_000);
    job.steps[0].required_label = Some(Arc::from("far"));
    site.submit(LEAVING, "look", ID, &job);
    site.run_ms(200);
    site.stop_node(LEAVING);
    site.run_ms(4_500);
    assert!(
        site.answer(ID).is_none(),
        "the job was given up before the last answers were due"
    );
    assert_eq!(site.running(), 2);
    site.run_ms(GRACE_MS - 4_500);
    let stopping = RunAnswer::GivenUp(GivenUp::Stopping);
    assert_eq!(answer(&site, ID), stopping);
    site.run_ms(200);
    assert_eq!(site.running(), 0);
}

/// Guards against a caller that waits for the exit although the new owners of the job's runs see by
/// their progress that they end after it.
#[test]
fn adopted_run_that_would_end_after_the_exit_is_given_up_by_its_progress() {
    let mut site = started();
    site.submit(LEAVING, "look", ID, &run_job(24, 6_800, 8_000));
    site.run_ms(200);
    site.stop_node(LEAVING);
    site.run_ms(2_000);
    assert!(matches!(answer(&site, ID), RunAnswer::GivenUp(_)));
    assert_eq!(site.running(), 0);
    assert!(site.violations().is_empty(), "{:?}", site.violations());
}

/// Guards against a job of several seconds that is given up although it ends before the exit.
#[test]
fn long_job_completes_before_the_exit() {
    let mut site = started();
    site.submit(LEAVING, "look", ID, &run_job(4, 6_800, 4_000));
    site.run_ms(200);
    site.stop_node(LEAVING);
    site.run_ms(4_000);
    assert_eq!(answer(&site, ID), RunAnswer::Ended(JobEnd::Completed));
    assert!(site.violations().is_empty(), "{:?}", site.violations());
}

/// Guards against a step that is started although it cannot end before the exit.
#[test]
fn step_that_could_not_end_before_the_exit_is_not_started() {
    let mut site = started();
    let mut job = run_job(2, 6_800, 3_200);
    let mut second = job.steps[0].clone();
    second.declared_run_time = Duration::from_millis(9_000);
    second.after = vec![0];
    job.steps.push(second);
    site.submit(LEAVING, "look", ID, &job);
    site.run_ms(100);
    site.stop_node(LEAVING);
    site.run_ms(GRACE_MS);
    assert!(
        matches!(answer(&site, ID), RunAnswer::GivenUp(_)),
        "{:?}",
        site.answer(ID)
    );
    let starts: u64 = (0..site.upstream_count())
        .map(|up| site.start_count(up))
        .sum();
    assert_eq!(starts, 2);
}
