//! Leased runs without faults or overload: jobs complete about as fast as their longest task.

use std::time::Duration;

use almondhead_lib::runs::run_answer::JobEnd;
use almondhead_lib::runs::run_answer::NotRun;
use almondhead_lib::runs::run_answer::RunAnswer;
use almondhead_testsupport::run_site::RunSite;
use almondhead_testsupport::run_site::SitePlan;
use almondhead_testsupport::run_site::run_job;

fn plan() -> SitePlan {
    SitePlan::new(2, 2, 6)
}

fn started() -> RunSite {
    let mut site = RunSite::start(&plan());
    site.run_ms(1_000);
    site
}

fn took_ms(site: &RunSite, id: &str) -> u128 {
    let answer = site.answer(id).expect("an answer");
    answer.answered_at.since(answer.asked_at).as_millis()
}

#[test]
fn every_upstream_has_one_owner() {
    let site = started();
    let owned: usize = (0..site.node_count())
        .map(|node| site.usable_upstreams(node))
        .sum();
    assert_eq!(owned, site.upstream_count());
}

#[test]
fn job_takes_its_longest_task() {
    let mut site = started();
    site.submit(0, "look", "00000000000000aa", &run_job(8, 6_800, 60));
    site.run_ms(500);
    let answer = &site.answer("00000000000000aa").expect("an answer").answer;
    assert_eq!(*answer, RunAnswer::Ended(JobEnd::Completed));
    // The longest task plus 10 ms, the users' target for an idle site.
    assert!(took_ms(&site, "00000000000000aa") <= 70);
    assert!(site.violations().is_empty(), "{:?}", site.violations());
}

#[test]
fn wide_job_spreads_over_instances() {
    let mut site = started();
    site.submit(0, "look", "00000000000000ab", &run_job(24, 6_800, 100));
    site.run_ms(500);
    // 12 upstreams run two tasks each, so that the job needs all of them to run at once.
    assert!(took_ms(&site, "00000000000000ab") <= 110);
    assert!((0..site.upstream_count()).all(|upstream| site.start_count(upstream) == 2));
}

#[test]
fn steps_wait_for_earlier_ones() {
    let mut site = started();
    let mut job = run_job(2, 1_000, 50);
    let mut second = job.steps[0].clone();
    second.after = vec![0];
    job.steps.push(second);
    site.submit(1, "look", "00000000000000ac", &job);
    site.run_ms(500);
    let took = took_ms(&site, "00000000000000ac");
    assert!(
        (100..=120).contains(&took),
        "two steps of 50 ms took {took} ms"
    );
}

#[test]
fn cancelled_job_frees_its_capacity() {
    let mut site = started();
    site.submit(0, "look", "00000000000000ad", &run_job(8, 6_800, 900));
    site.run_ms(100);
    assert_eq!(site.running(), 8);
    site.drop_caller("00000000000000ad");
    site.run_ms(100);
    assert_eq!(site.running(), 0);
}

#[test]
fn job_that_fits_no_upstream_is_refused_at_once() {
    let mut site = started();
    site.submit(0, "look", "00000000000000ae", &run_job(1, 20_000, 50));
    site.run_ms(1);
    let answer = &site.answer("00000000000000ae").expect("an answer").answer;
    let refusal = RunAnswer::NotRun {
        reason: NotRun::NeedsNoUpstreamHas,
        retry_after: None,
    };
    assert_eq!(*answer, refusal);
}

#[test]
fn job_for_an_unknown_queue_is_refused() {
    let mut site = started();
    site.submit(0, "other", "00000000000000af", &run_job(1, 1_000, 50));
    site.run_ms(1);
    let answer = &site.answer("00000000000000af").expect("an answer").answer;
    assert_eq!(*answer, RunAnswer::NoSuchQueue);
}

#[test]
fn repeated_job_joins_the_open_one_or_gets_its_outcome() {
    let mut site = started();
    let job = run_job(2, 6_800, 200);
    site.submit(0, "look", "00000000000000b0", &job);
    site.run_ms(50);
    site.submit(0, "look", "00000000000000b0", &job);
    site.run_ms(500);
    site.submit(0, "look", "00000000000000b0", &job);
    site.run_ms(5);
    let starts: u64 = (0..site.upstream_count())
        .map(|up| site.start_count(up))
        .sum();
    assert_eq!(starts, 2);
    let answer = &site.answer("00000000000000b0").expect("an answer").answer;
    assert_eq!(*answer, RunAnswer::Ended(JobEnd::Completed));
}

#[test]
fn infeasible_job_is_given_up_by_its_progress() {
    let mut site = started();
    let work = Duration::from_millis(4_000);
    site.submit_work(0, "look", "00000000000000b1", &run_job(1, 6_800, 600), work);
    site.run_ms(1_000);
    let answer = site.answer("00000000000000b1").expect("an answer");
    assert!(matches!(answer.answer, RunAnswer::GivenUp(_)));
    // Known after its progress has been checked on each of two upstreams, well before its caller
    // leaves.
    assert!(took_ms(&site, "00000000000000b1") < 750);
    assert_eq!(site.running(), 0);
}
