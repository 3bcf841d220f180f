//! What a stopping instance takes in, and how it ends the jobs that are open before it exits.

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

/// How long after it is asked to stop an instance of the simulated site exits.
const GRACE_MS: u64 = 5_000;

/// A site whose callers wait far longer than a stopping instance lives.
fn started() -> RunSite {
    let mut site = RunSite::start(&SitePlan::new(2, 2, 6));
    site.set_caller_wait(Some(Duration::from_secs(20)));
    site.run_ms(1_000);
    site
}

fn answer(site: &RunSite, id: &str) -> RunAnswer {
    site.answer(id).expect("an answer").answer.clone()
}

fn is_refused_for_the_stop(answer: &RunAnswer) -> bool {
    matches!(
        answer,
        RunAnswer::NotRun {
            reason: NotRun::Stopping,
            retry_after: Some(_)
        }
    )
}

/// Guards against a refusal of every caller that is ready to wait beyond the exit.
#[test]
fn job_that_ends_before_the_exit_is_taken() {
    let mut site = started();
    site.stop_node(LEAVING);
    site.run_ms(500);
    site.submit(LEAVING, "look", ID, &run_job(4, 6_800, 400));
    site.run_ms(600);
    assert_eq!(answer(&site, ID), RunAnswer::Ended(JobEnd::Completed));
    assert!(site.violations().is_empty(), "{:?}", site.violations());
}

/// Guards against jobs that are taken in and cut off by the exit.
#[test]
fn job_that_would_end_after_the_exit_is_refused_at_once() {
    let mut site = started();
    site.stop_node(LEAVING);
    site.run_ms(3_000);
    site.submit(LEAVING, "look", ID, &run_job(4, 6_800, 1_500));
    site.run_ms(1);
    let answer = answer(&site, ID);
    assert!(is_refused_for_the_stop(&answer), "{answer:?}");
    assert_eq!(site.running(), 0);
}

/// Guards against a connection that is cut while its caller waits.
#[test]
fn open_job_is_answered_before_the_exit() {
    let mut site = started();
    // In the other data centre, so that the stop moves no run to another owner.
    site.label_upstream(6, "far");
    site.run_ms(600);
    let mut job = run_job(2, 6_800, 8_000);
    job.steps[0].required_label = Some(Arc::from("far"));
    site.submit(LEAVING, "look", ID, &job);
    site.run_ms(200);
    site.stop_node(LEAVING);
    site.run_ms(4_500);
    assert!(site.answer(ID).is_none(), "given up before it had to be");
    assert_eq!(site.running(), 2);
    site.run_ms(GRACE_MS - 4_500);
    let stopping = RunAnswer::GivenUp(GivenUp::Stopping);
    assert_eq!(answer(&site, ID), stopping);
    site.run_ms(200);
    assert_eq!(site.running(), 0);
}

/// Guards against a caller that is kept waiting for a job that its next owners see to end too late.
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

/// Guards against jobs of seconds that end with the instance though there is time for them.
#[test]
fn open_job_of_seconds_completes_before_the_exit() {
    let mut site = started();
    site.submit(LEAVING, "look", ID, &run_job(4, 6_800, 4_000));
    site.run_ms(200);
    site.stop_node(LEAVING);
    site.run_ms(4_000);
    assert_eq!(answer(&site, ID), RunAnswer::Ended(JobEnd::Completed));
    assert!(site.violations().is_empty(), "{:?}", site.violations());
}

/// Guards against a later step that is started for a job that must end unfinished.
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
    let starts: u64 = (0..site.upstreams()).map(|up| site.starts_at(up)).sum();
    assert_eq!(starts, 2);
}
