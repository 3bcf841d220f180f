//! Upstreams that start again under their names as another kind.

use std::sync::Arc;

use almondhead_lib::runs::job_spec::JobSpec;
use almondhead_lib::runs::run_answer::JobEnd;
use almondhead_lib::runs::run_answer::RunAnswer;
use almondhead_testsupport::run_site::RunSite;
use almondhead_testsupport::run_site::SitePlan;
use almondhead_testsupport::run_site::UpstreamFault;
use almondhead_testsupport::run_site::run_job;

/// The upstream that changes its kind.
const CHANGING: usize = 0;

/// One instance in each of two data centres; upstream [`CHANGING`] is of kind b, all others of kind a.
fn started(seed: u64) -> RunSite {
    let mut plan = SitePlan::new(2, 1, 4);
    plan.seed = seed;
    let mut site = RunSite::start(&plan);
    for upstream in 0..site.upstream_count() {
        let kind = match upstream {
            CHANGING => "b",
            _ => "a",
        };
        site.label_upstream(upstream, kind);
    }
    site.run_ms(2_000);
    site
}

fn job_of_kind(kind: &str) -> JobSpec {
    let mut job = run_job(1, 2_000, 60);
    job.steps[0].required_label = Some(Arc::from(kind));
    job
}

/// Submits a job of each kind every 20 ms.
fn submit_both(site: &mut RunSite, first: u64, ms: u64) {
    for number in first..first + ms / 20 {
        let node = usize::try_from(number).expect("a small number") % site.node_count();
        site.submit(node, "look", &format!("a{number:015x}"), &job_of_kind("a"));
        site.submit(node, "look", &format!("b{number:015x}"), &job_of_kind("b"));
        site.run_ms(20);
    }
}

/// Guards against review/4: tasks that require the former label started on an upstream whose report
/// was of a later incarnation than the entry known of it.
#[test]
fn no_task_starts_by_the_entry_of_an_earlier_incarnation() {
    for seed in 1..=8 {
        let mut site = started(seed);
        for (turn, kind) in ["a", "b", "a", "b"].into_iter().enumerate() {
            let first = 10_000 * (turn as u64 + 1);
            submit_both(&mut site, first, 200 + 60 * seed);
            site.set_upstream_fault(CHANGING, Some(UpstreamFault::Crashed));
            submit_both(&mut site, first + 1_000, 300);
            site.restart_upstream_as(CHANGING, &[kind]);
            submit_both(&mut site, first + 2_000, 1_500);
        }
        site.run_ms(2_000);
        assert!(site.violations().is_empty(), "{:?}", site.violations());
        // Kind b again: it serves once its entry is known.
        site.submit(1, "look", "c000000000000001", &job_of_kind("b"));
        site.run_ms(500);
        let answer = site.answer("c000000000000001").expect("an answer");
        assert_eq!(answer.answer, RunAnswer::Ended(JobEnd::Completed));
    }
}

/// Guards against the same where an instance takes an upstream over whose entry it has read before the
/// restart.
#[test]
fn no_task_starts_by_an_old_entry_after_a_take_over() {
    for delay_ms in [0, 100, 200, 300, 400] {
        let mut site = started(1);
        site.set_upstream_fault(CHANGING, Some(UpstreamFault::Crashed));
        site.run_ms(100);
        site.kill(0);
        site.run_ms(2_400 + delay_ms);
        site.restart_upstream_as(CHANGING, &["a"]);
        for number in 0..100_u64 {
            site.submit(1, "look", &format!("b{number:015x}"), &job_of_kind("b"));
            site.run_ms(20);
        }
        assert!(site.violations().is_empty(), "{:?}", site.violations());
    }
}

/// Guards against queued tasks that wait to their objective for a kind that is gone.
#[test]
fn queued_tasks_of_a_kind_that_is_gone_are_not_held() {
    let mut site = started(1);
    let mut long = run_job(8, 2_000, 1_000);
    long.steps[0].required_label = Some(Arc::from("b"));
    site.submit(0, "look", "d000000000000001", &long);
    site.run_ms(50);
    site.submit(0, "look", "b000000000000001", &job_of_kind("b"));
    site.run_ms(10);
    assert_eq!(site.queued_tasks(0), 1);
    site.restart_upstream_as(CHANGING, &["a"]);
    site.run_ms(600);
    assert_eq!(site.queued_tasks(0), 0);
    assert!(site.violations().is_empty(), "{:?}", site.violations());
}
