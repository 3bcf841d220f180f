//! How a change of the intended state comes into force at every instance.

use std::time::Duration;

use almondhead_lib::runs::run_answer::JobEnd;
use almondhead_lib::runs::run_answer::RunAnswer;
use almondhead_testsupport::run_site::RunSite;
use almondhead_testsupport::run_site::SitePlan;
use almondhead_testsupport::run_site::run_job;

/// How long a version may take to be in force: the shortest bound that operators set.
const MAX_APPLY_MS: u64 = 2_000;

/// The size of a state of some thousand queues.
const LARGE_STATE_BYTES: usize = 900_000;

/// What a slow link carries a millisecond: 19 Mbit/s.
const SLOW_LINK_BYTES_PER_MS: u64 = 2_375;

fn started() -> RunSite {
    let mut site = RunSite::start(&SitePlan::new(3, 6, 2));
    site.run_ms(1_000);
    site
}

/// The number of instances that complete a job of the queue; `round` keeps the jobs' names unique.
fn count_serving(site: &mut RunSite, queue: &str, round: usize) -> usize {
    let ids: Vec<String> = (0..site.node_count())
        .map(|node| format!("{:016x}", 1_000 * round + node))
        .collect();
    for (node, id) in ids.iter().enumerate() {
        site.submit(node, queue, id, &run_job(1, 1_000, 50));
    }
    site.run_ms(500);
    let answers = ids.iter().filter_map(|id| site.answer(id));
    let done = answers.filter(|end| end.answer == RunAnswer::Ended(JobEnd::Completed));
    done.count()
}

/// Guards against instances that keep an old state while they cannot read the store.
#[test]
fn change_that_one_instance_read_reaches_all() {
    let mut site = started();
    for node in 1..site.node_count() {
        site.cut_from_store(node, true);
    }
    site.deliver_intended_state(0, 2, &["look", "find"]);
    site.run_ms(2_000);
    let nodes = site.node_count();
    assert_eq!(count_serving(&mut site, "find", 1), nodes);
}

/// Guards against an older state that replaces a newer one when a read of the store is stale.
#[test]
fn older_version_is_never_installed() {
    let mut site = started();
    let nodes = site.node_count();
    for node in 0..nodes {
        site.deliver_intended_state(node, 3, &["look", "find"]);
    }
    site.run_ms(100);
    for node in 0..nodes {
        site.deliver_intended_state(node, 2, &["look"]);
    }
    site.run_ms(2_000);
    assert_eq!(count_serving(&mut site, "find", 1), nodes);
}

/// A data centre of 13 instances, and the one of them with a slow link that the store does not answer.
fn started_with_slow_link() -> (RunSite, usize) {
    let mut site = RunSite::start(&SitePlan::new(1, 13, 2));
    site.run_ms(1_000);
    let slow = 1;
    site.cut_from_store(slow, true);
    site.set_link_rate(slow, SLOW_LINK_BYTES_PER_MS);
    (site, slow)
}

/// Delivers a large state with this queue to all instances but one.
fn deliver_to_others(site: &mut RunSite, node: usize, version: u64, queue: &str) {
    let large = "q".repeat(LARGE_STATE_BYTES);
    for other in (0..site.node_count()).filter(|other| *other != node) {
        site.deliver_intended_state(other, version, &["look", queue, &large]);
    }
}

/// Guards against copies of a large state that fill the link of the instance that waits for a newer one.
#[test]
fn large_states_reach_an_instance_on_a_slow_link() {
    let (mut site, slow) = started_with_slow_link();
    for (version, queue) in [(2, "second"), (3, "third")] {
        deliver_to_others(&mut site, slow, version, queue);
        site.run_ms(MAX_APPLY_MS);
        let id = format!("{version:016x}");
        site.submit(slow, queue, &id, &run_job(1, 1_000, 50));
        site.run_ms(1_000);
        let answer = site.answer(&id).map(|end| end.answer.clone());
        assert_eq!(answer, Some(RunAnswer::Ended(JobEnd::Completed)), "{queue}");
    }
}

/// Guards against a state that is requested again from each instance that has it, and with each message.
#[test]
fn state_is_requested_once_while_it_is_on_its_way() {
    let (mut site, slow) = started_with_slow_link();
    deliver_to_others(&mut site, slow, 2, "second");
    site.run_ms(MAX_APPLY_MS);
    assert_eq!(site.received_states(slow), 1);
}

/// Guards against a request for a newer state that is never repeated after its answer was lost.
#[test]
fn state_is_requested_again_after_its_sender_died() {
    let mut site = RunSite::start(&SitePlan::new(1, 4, 4));
    site.run_ms(1_000);
    let node = 1;
    site.cut_from_store(node, true);
    site.set_link_rate(node, 1);
    site.deliver_intended_state(0, 2, &["look", "find", &"q".repeat(100_000)]);
    // The instance first leaves it to its own reads.
    site.run_ms(1_500);
    assert_eq!(site.received_states(node), 1, "from the first instance");
    site.kill(0);
    site.set_link_rate(node, SLOW_LINK_BYTES_PER_MS);
    for other in 2..site.node_count() {
        site.deliver_intended_state(other, 3, &["look", "find"]);
    }
    site.run_ms(MAX_APPLY_MS);
    site.submit(node, "find", "00000000000000aa", &run_job(1, 1_000, 50));
    site.run_ms(1_000);
    let answer = site
        .answer("00000000000000aa")
        .map(|end| end.answer.clone());
    assert_eq!(answer, Some(RunAnswer::Ended(JobEnd::Completed)));
}

/// Guards against a lagging instance that discards the news of a newer version as outdated.
#[test]
fn change_reaches_an_instance_that_reads_late() {
    for lag_ms in [100, 250, 350, 500] {
        let mut site = started();
        for node in 1..site.node_count() {
            site.cut_from_store(node, true);
        }
        site.set_input_lag(1, Duration::from_millis(lag_ms));
        site.run_ms(2_000);
        site.deliver_intended_state(0, 2, &["look", "find"]);
        site.run_ms(MAX_APPLY_MS);
        assert_eq!(site.intended_version(1), 2, "late by {lag_ms} ms");
    }
}

/// Guards against a queue that is denied on the ground of a state that may have been replaced since.
#[test]
fn unknown_queue_is_denied_on_recent_reads_alone() {
    let mut site = started();
    let mut answer = |id: &str| {
        site.submit(1, "none", id, &run_job(1, 1_000, 50));
        site.run_ms(10);
        let answer = site.answer(id).map(|end| end.answer.clone());
        site.cut_from_store(1, true);
        site.run_ms(MAX_APPLY_MS);
        answer
    };
    assert_eq!(answer("00000000000000aa"), Some(RunAnswer::NoSuchQueue));
    let outdated = answer("00000000000000bb");
    let is_refused = matches!(
        outdated,
        Some(RunAnswer::NotRun {
            retry_after: Some(_),
            ..
        })
    );
    assert!(is_refused, "{outdated:?}");
}
