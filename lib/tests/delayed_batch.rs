//! Batches and heartbeats on links that delay messages.

use std::time::Duration;

use almondhead_lib::runs::run_answer::JobEnd;
use almondhead_lib::runs::run_answer::RunAnswer;
use almondhead_testsupport::run_site::RunSite;
use almondhead_testsupport::run_site::SitePlan;
use almondhead_testsupport::run_site::run_job;

const JOB: &str = "00000000000000aa";
const HOME: usize = 0;
const OWNER: usize = 1;

/// Two data centres with one instance and two upstreams each; the home's own upstreams are busy for
/// 200 ms.
fn started() -> RunSite {
    let mut site = RunSite::start(&SitePlan::new(2, 1, 2));
    site.set_caller_wait(Some(Duration::from_secs(9)));
    site.run_ms(1_000);
    site.submit(HOME, "look", "00000000000000ab", &run_job(4, 6_800, 200));
    site.run_ms(30);
    site
}

/// The number of runs that have started on the owner's upstreams.
fn owner_starts(site: &RunSite) -> u64 {
    site.start_count(2) + site.start_count(3)
}

/// Guards against a batch that counts as lost because of a heartbeat that its owner sent before it took
/// the batch: the task would run twice at a time.
#[test]
fn heartbeat_sent_before_a_batch_arrived_does_not_prove_it_lost() {
    for offset_ms in (0..150).step_by(15) {
        let mut site = started();
        site.run_ms(offset_ms);
        // Messages this late are still fresh.
        let delay = Duration::from_millis(290);
        site.delay_messages(HOME, OWNER, delay);
        site.delay_messages(OWNER, HOME, delay);
        let before = owner_starts(&site);
        site.submit(HOME, "look", JOB, &run_job(1, 6_800, 600));
        site.run_ms(2_000);
        assert!(owner_starts(&site) > before, "the batch was not started");
        assert!(site.violations().is_empty(), "{:?}", site.violations());
    }
}

/// Guards against a task that waits for good because its batch was lost on the way.
#[test]
fn lost_batch_is_placed_again() {
    let mut site = started();
    let before = owner_starts(&site);
    site.cut_one_way(HOME, OWNER, true);
    site.submit(HOME, "look", JOB, &run_job(1, 6_800, 600));
    site.run_ms(5);
    site.cut_one_way(HOME, OWNER, false);
    site.run_ms(600);
    assert_eq!(owner_starts(&site), before, "the batch was not lost");
    assert_eq!(site.running(), 1);
    site.run_ms(700);
    let answer = site.answer(JOB).expect("an answer");
    assert_eq!(answer.answer, RunAnswer::Ended(JobEnd::Completed));
    assert!(site.violations().is_empty(), "{:?}", site.violations());
}
