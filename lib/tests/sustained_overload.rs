//! Sustained overload: for seconds, callers submit more jobs than the upstreams can run.
//!
//! The failure to guard against is goodput collapse: upstreams work on jobs that do not complete,
//! and every caller waits until it gives up.

use almondhead_lib::runs::run_answer::JobEnd;
use almondhead_lib::runs::run_answer::NotRun;
use almondhead_lib::runs::run_answer::RunAnswer;
use almondhead_testsupport::run_site::RunSite;
use almondhead_testsupport::run_site::SiteAnswer;
use almondhead_testsupport::run_site::SitePlan;
use almondhead_testsupport::run_site::run_job;

/// The number of tasks of a job.
const TASKS: u32 = 8;

/// The run time of a task, in milliseconds.
const RUN_MS: u64 = 60;

/// The objective of a job in milliseconds: 1.6 times its run time plus 60 ms.
const OBJECTIVE_MS: u128 = 156;

/// The time between two jobs in milliseconds.
///
/// 12 upstreams run two tasks each, so that they complete a job of 8 tasks every 20 ms.
const GAP_MS: u64 = 8;

/// How long the overload lasts, in milliseconds.
const OVERLOAD_MS: u64 = 4_000;

/// The number of jobs that the upstreams could complete in that time.
const CAPACITY_JOBS: usize = 200;

/// An allowance for messages and orders on top of the wait, in milliseconds.
const MARGIN_MS: u128 = 40;

/// A site after the overload, with every job answered.
fn overloaded() -> RunSite {
    let mut site = RunSite::start(&SitePlan::new(2, 2, 6));
    site.run_ms(1_000);
    let until = site.now_ms() + OVERLOAD_MS;
    let mut next = 1;
    while site.now_ms() < until {
        let node = next as usize % site.node_count();
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

/// Guards against upstreams that spend their capacity on jobs that do not complete.
#[test]
fn most_capacity_goes_to_jobs_that_complete() {
    let site = overloaded();
    let completed = site
        .answers()
        .filter(|(_, answer)| answer.answer == RunAnswer::Ended(JobEnd::Completed));
    let completed = completed.count();
    assert!(
        completed * 10 >= CAPACITY_JOBS * 8,
        "{completed} jobs completed of {CAPACITY_JOBS} that the upstreams could run"
    );
    assert!(site.violations().is_empty(), "{:?}", site.violations());
}

/// Guards against jobs that are given up after some of their tasks ran.
#[test]
fn few_jobs_that_have_begun_are_given_up() {
    let site = overloaded();
    let given_up = site
        .answers()
        .filter(|(_, answer)| matches!(answer.answer, RunAnswer::GivenUp(_)));
    let given_up = given_up.count();
    // One in fifty of the submitted jobs.
    assert!(given_up <= 10, "{given_up} jobs given up after some ran");
}

/// Guards against callers that wait beyond their job's objective only to be refused.
#[test]
fn refusals_come_by_the_objective() {
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
        assert!(
            retry_after.is_some(),
            "{id}: the refusal has no retry_after"
        );
        let waited = waited_ms(answer);
        assert!(
            waited <= OBJECTIVE_MS + MARGIN_MS,
            "{id} was refused only after {waited} ms"
        );
    }
    assert!(
        refused > 0,
        "no job was refused, though the load exceeds the capacity"
    );
}
