//! How a change of the intended state comes into force at every instance.

use almondhead_lib::runs::run_answer::JobEnd;
use almondhead_lib::runs::run_answer::RunAnswer;
use almondhead_testsupport::run_site::RunSite;
use almondhead_testsupport::run_site::SitePlan;
use almondhead_testsupport::run_site::run_job;

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
