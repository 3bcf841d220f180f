//! The speeds of upstreams that owners learn from runs: any run times that upstreams report leave the
//! dispatcher working.

use almondhead_lib::runs::run_answer::JobEnd;
use almondhead_lib::runs::run_answer::RunAnswer;
use almondhead_testsupport::run_site::RunSite;
use almondhead_testsupport::run_site::SitePlan;
use almondhead_testsupport::run_site::UpstreamFault;
use almondhead_testsupport::run_site::run_job;

/// Two instances and six upstreams, each with room for 128 small tasks.
fn started() -> RunSite {
    let mut plan = SitePlan::new(2, 1, 3);
    plan.cpu_millicores = 32_000;
    let mut site = RunSite::start(&plan);
    site.run_ms(1_000);
    site
}

/// Submits a job of small tasks every 30 ms, in turn at each instance.
fn submit_small_tasks(site: &mut RunSite, first: u64, jobs: u64) {
    let job = run_job(48, 250, 400);
    for number in first..first + jobs {
        let node = usize::try_from(number).expect("a small number") % site.node_count();
        site.submit(node, "look", &format!("{number:016x}"), &job);
        site.run_ms(30);
    }
}

fn completed(site: &RunSite, first: u64, jobs: u64) -> usize {
    let ids = (first..first + jobs).map(|number| format!("{number:016x}"));
    let answers = ids.filter_map(|id| site.answer(&id));
    let is_completed = |answer: &RunAnswer| *answer == RunAnswer::Ended(JobEnd::Completed);
    answers
        .filter(|answer| is_completed(&answer.answer))
        .count()
}

/// Guards against review/1: one report that listed many crawling runs multiplied the slowness by
/// itself until a duration overflowed, and the dispatcher panicked.
#[test]
fn many_crawling_runs_in_one_report_count_once() {
    let mut site = started();
    submit_small_tasks(&mut site, 0, 40);
    for slow in 0..3 {
        site.set_upstream_fault(slow, Some(UpstreamFault::Slow(6.5)));
        submit_small_tasks(&mut site, 1_000 * (slow as u64 + 1), 60);
        site.set_upstream_fault(slow, None);
    }
    site.run_ms(2_000);
    submit_small_tasks(&mut site, 9_000, 40);
    site.run_ms(2_000);
    assert_eq!(completed(&site, 9_000, 40), 40);
    assert!(site.violations().is_empty(), "{:?}", site.violations());
}

/// Guards against review/5: the logarithm of a run time of zero went into the mean of its step, and the
/// speeds of the other tasks' upstreams became infinite.
#[test]
fn tasks_that_end_in_the_millisecond_of_their_start_change_no_other_speed() {
    let mut plan = SitePlan::new(1, 1, 4);
    // The first upstream ends its tasks within a millisecond.
    plan.speeds = vec![1_000.0, 1.0, 1.0, 1.0];
    let mut site = RunSite::start(&plan);
    site.run_ms(1_000);
    let job = run_job(8, 6_800, 60);
    for number in 0..200_u64 {
        site.submit(0, "look", &format!("{number:016x}"), &job);
        site.run_ms(150);
    }
    site.run_ms(2_000);
    assert_eq!(completed(&site, 0, 200), 200);
    assert!(site.violations().is_empty(), "{:?}", site.violations());
}
