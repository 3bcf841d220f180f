//! Sustained overload: more jobs come than upstreams can run, for seconds.
//!
//! The pattern is goodput collapse: work goes into jobs that are not completed in the end, and
//! everybody waits as long as callers are ready to.

use almondhead_lib::runs::run_answer::JobEnd;
use almondhead_lib::runs::run_answer::NotRun;
use almondhead_lib::runs::run_answer::RunAnswer;
use almondhead_testsupport::run_site::RunSite;
use almondhead_testsupport::run_site::SiteAnswer;
use almondhead_testsupport::run_site::SitePlan;
use almondhead_testsupport::run_site::run_job;

/// The tasks of a job.
const TASKS: u32 = 8;

/// How long a task runs, in milliseconds.
const RUN_MS: u64 = 60;

/// The time by which a job is to end: 1.6 times its run time and 60 ms.
const OBJECTIVE_MS: u128 = 156;

/// Jobs come every 8 ms; 12 upstreams run two tasks each, so a job of 8 is done every 20 ms.
const GAP_MS: u64 = 8;

/// How long the overload lasts, in milliseconds.
const OVERLOAD_MS: u64 = 4_000;

/// The jobs that the upstreams could complete in that time.
const CAPACITY_JOBS: usize = 200;

/// What messages and orders take beside the wait itself, in milliseconds.
const MARGIN_MS: u128 = 40;

fn overloaded() -> RunSite {
    let mut site = RunSite::start(&SitePlan::new(2, 2, 6));
    site.run_ms(1_000);
    let until = site.now_ms() + OVERLOAD_MS;
    let mut next = 1;
    while site.now_ms() < until {
        let node = next as usize % site.nodes();
        let job = run_job(TASKS, 6_800, RUN_MS);
        site.submit(node, "look", &format!("{next:016x}"), &job);
        next += 1;
        site.run_ms(GAP_MS);
    }
    site.run_ms(2_000);
    site
}

fn waited_ms(answer: &SiteAnswer) -> u128 {
    answer.answered_at.since(answer.asked_at).as_millis()
}

#[test]
fn upstreams_work_for_jobs_that_complete() {
    let site = overloaded();
    let completed = site
        .answers()
        .filter(|(_, answer)| answer.answer == RunAnswer::Ended(JobEnd::Completed));
    let completed = completed.count();
    assert!(
        completed * 10 >= CAPACITY_JOBS * 8,
        "{completed} of {CAPACITY_JOBS} jobs"
    );
    assert!(site.violations().is_empty(), "{:?}", site.violations());
}

#[test]
fn jobs_that_have_begun_are_finished() {
    let site = overloaded();
    let given_up = site
        .answers()
        .filter(|(_, answer)| matches!(answer.answer, RunAnswer::GivenUp(_)));
    let given_up = given_up.count();
    // One in fifty of those that come.
    assert!(given_up <= 10, "{given_up} jobs given up after some ran");
}

#[test]
fn refused_callers_know_by_their_objective() {
    let site = overloaded();
    let mut refused = 0;
    for (id, answer) in site.answers() {
        let RunAnswer::NotRun {
            reason: NotRun::WaitedTooLong | NotRun::Overloaded,
            retry_after,
        } = &answer.answer
        else {
            continue;
        };
        refused += 1;
        assert!(retry_after.is_some(), "{id}: when to come back");
        let waited = waited_ms(answer);
        assert!(waited <= OBJECTIVE_MS + MARGIN_MS, "{id}: {waited} ms");
    }
    assert!(refused > 0, "the load is more than the site can run");
}
