//! The constraints of a step: a required label, the rack of its data, and the maximum number of
//! tasks on one upstream.

use std::sync::Arc;

use almondhead_lib::runs::job_spec::JobSpec;
use almondhead_lib::runs::run_answer::JobEnd;
use almondhead_lib::runs::run_answer::NotRun;
use almondhead_lib::runs::run_answer::RunAnswer;
use almondhead_testsupport::run_site::RunSite;
use almondhead_testsupport::run_site::SitePlan;
use almondhead_testsupport::run_site::run_job;

fn started() -> RunSite {
    let mut site = RunSite::start(&SitePlan::new(2, 2, 6));
    site.run_ms(1_000);
    site
}

fn labelled_job(tasks: u32, label: &str) -> JobSpec {
    let mut job = run_job(tasks, 1_000, 100);
    job.steps[0].required_label = Some(Arc::from(label));
    job
}

fn is_completed(site: &RunSite, id: &str) -> bool {
    let answer = site.answer(id).map(|end| &end.answer);
    answer == Some(&RunAnswer::Ended(JobEnd::Completed))
}

/// Guards against a job that waits for an upstream that does not exist.
#[test]
fn job_with_a_label_that_no_upstream_has_is_refused_at_once() {
    let mut site = started();
    site.submit(0, "look", "00000000000000aa", &labelled_job(1, "big"));
    site.run_ms(1);
    let answer = &site.answer("00000000000000aa").expect("an answer").answer;
    let refusal = RunAnswer::NotRun {
        reason: NotRun::NeedsNoUpstreamHas,
        retry_after: None,
    };
    assert_eq!(*answer, refusal);
}

/// Guards against tasks that are placed on upstreams without the required label, or at owners that
/// have no upstream with it.
#[test]
fn tasks_run_on_the_only_upstream_with_their_label() {
    for labelled in 0..12 {
        let mut site = started();
        site.label_upstream(labelled, "big");
        site.run_ms(1_000);
        for node in 0..site.node_count() {
            let id = format!("{node:016x}");
            site.submit(node, "look", &id, &labelled_job(3, "big"));
            site.run_ms(400);
            assert!(is_completed(&site, &id), "{labelled}, {node}");
        }
        assert_eq!(site.start_count(labelled), 3 * site.node_count() as u64);
    }
}

/// Guards against more tasks of a step on one upstream than the step allows.
#[test]
fn limit_of_one_task_for_each_upstream_spreads_the_step() {
    let mut site = started();
    let mut job = run_job(12, 1_000, 100);
    job.steps[0].max_tasks_per_upstream = Some(1);
    site.submit(0, "look", "00000000000000aa", &job);
    site.run_ms(600);
    assert!(is_completed(&site, "00000000000000aa"));
    for upstream in 0..site.upstream_count() {
        assert_eq!(site.start_count(upstream), 1, "{upstream}");
    }
}

/// Guards against tasks that run away from their data while an upstream near it is free.
#[test]
fn tasks_run_in_the_rack_of_their_data() {
    for near in 0..12 {
        let mut site = started();
        site.label_upstream(near, "rack-1");
        site.run_ms(1_000);
        for node in 0..site.node_count() {
            let mut job = run_job(1, 1_000, 100);
            job.steps[0].data_rack = Some(Arc::from("rack-1"));
            let id = format!("{node:016x}");
            site.submit(node, "look", &id, &job);
            site.run_ms(300);
            assert!(is_completed(&site, &id), "{near}, {node}");
        }
        assert_eq!(site.start_count(near), site.node_count() as u64, "{near}");
    }
}
