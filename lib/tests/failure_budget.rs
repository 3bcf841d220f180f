//! The maximum number of attempts of a task that fails.

use almondhead_lib::runs::run_answer::JobEnd;
use almondhead_lib::runs::run_answer::RunAnswer;
use almondhead_testsupport::run_site::RunSite;
use almondhead_testsupport::run_site::SitePlan;
use almondhead_testsupport::run_site::UpstreamFault;
use almondhead_testsupport::run_site::run_job;
use almondhead_testsupport::run_site::run_queue;

/// Guards against a failing task that gets more or fewer attempts than its queue allows.
#[test]
fn failing_task_gets_the_attempts_of_its_queue() {
    for max_attempts in 1..=4 {
        let mut site = RunSite::start(&SitePlan {
            queues: vec![run_queue("look", 0, max_attempts)],
            ..SitePlan::new(2, 2, 6)
        });
        site.run_ms(1_000);
        for upstream in 0..site.upstream_count() {
            site.set_upstream_fault(upstream, Some(UpstreamFault::FailsAll));
        }
        site.submit(0, "look", "00000000000000aa", &run_job(1, 1_000, 50));
        site.run_ms(1_000);
        let answer = site.answer("00000000000000aa").expect("an answer");
        assert_eq!(answer.answer, RunAnswer::Ended(JobEnd::Failed));
        let starts: u64 = (0..site.upstream_count())
            .map(|up| site.start_count(up))
            .sum();
        assert_eq!(starts, u64::from(max_attempts));
    }
}
