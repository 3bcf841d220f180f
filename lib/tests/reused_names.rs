//! Names that are used again: runs of a job that its caller submits again, and batch numbers after
//! the process of an owner or a home has restarted.

use almondhead_lib::runs::run_answer::JobEnd;
use almondhead_lib::runs::run_answer::RunAnswer;
use almondhead_testsupport::run_site::PathLoss;
use almondhead_testsupport::run_site::RunSite;
use almondhead_testsupport::run_site::SitePlan;
use almondhead_testsupport::run_site::run_job;

const JOB: &str = "00000000000000aa";

/// Two data centres with one instance and two upstreams each.
fn started() -> RunSite {
    let mut site = RunSite::start(&SitePlan::new(2, 1, 2));
    site.run_ms(1_000);
    site
}

fn upstream_that_started(site: &RunSite) -> usize {
    let mut upstreams = 0..site.upstream_count();
    let found = upstreams.find(|upstream| site.start_count(*upstream) > 0);
    found.expect("an upstream that started a task")
}

fn set_path(site: &mut RunSite, upstream: usize, loss: Option<PathLoss>) {
    for node in 0..site.node_count() {
        site.set_upstream_path(node, upstream, loss);
    }
}

/// Guards against the end of an earlier attempt's run being applied to the current attempt, whose
/// task would then be retried while it runs.
#[test]
fn end_of_an_earlier_attempt_retries_nothing() {
    let mut site = started();
    // Longer than a lease, so that the lease of the first attempt's run expires.
    let job = run_job(1, 6_800, 1_300);
    site.submit(0, "look", JOB, &job);
    site.run_ms(50);
    let upstream = upstream_that_started(&site);
    set_path(&mut site, upstream, Some(PathLoss::Orders));
    site.drop_caller(JOB);
    site.run_ms(1_300);
    site.submit(0, "look", JOB, &job);
    site.run_ms(200);
    // The upstream now reports to its owner that the lease of the first attempt's run expired.
    set_path(&mut site, upstream, None);
    site.run_ms(1_500);
    assert!(site.violations().is_empty(), "{:?}", site.violations());
    let answer = site.answer(JOB).expect("an answer");
    assert_eq!(answer.answer, RunAnswer::Ended(JobEnd::Completed));
}

/// Guards against a batch that counts as ended, while its runs go on, because a later incarnation
/// of its owner has accepted batches with higher numbers.
#[test]
fn later_incarnation_of_an_owner_ends_no_earlier_batch() {
    let mut site = started();
    // The home's own upstreams are busy at first, and free when the other owner has restarted.
    site.submit(0, "look", "00000000000000ab", &run_job(4, 6_800, 200));
    site.run_ms(20);
    site.submit(0, "look", JOB, &run_job(4, 6_800, 900));
    site.run_ms(50);
    let (home, owner) = (0, 1);
    // When the owner has restarted, it cannot reach one of its upstreams and claims the other.
    site.set_upstream_path(owner, 2, Some(PathLoss::Orders));
    site.kill(owner);
    site.run_ms(300);
    site.start_node(owner);
    site.run_ms(1_500);
    assert!(site.start_count(2) > 0 && site.start_count(3) > 0);
    assert!(site.usable_upstreams(home) > 0);
    assert!(site.violations().is_empty(), "{:?}", site.violations());
}

/// Guards against a delayed message about batches of an earlier incarnation of a home that the next
/// incarnation applies to its own batches.
#[test]
fn message_to_an_earlier_incarnation_of_a_home_ends_no_batch_of_the_next() {
    let (home, owner) = (0, 1);
    let mut site = started();
    for number in 1..=8 {
        site.submit(
            home,
            "look",
            &format!("{number:016x}"),
            &run_job(8, 6_800, 30),
        );
        site.run_ms(100);
    }
    site.hold_messages(owner, home, true);
    site.run_ms(400);
    site.kill(home);
    for upstream in [0, 1] {
        site.set_upstream_path(home, upstream, Some(PathLoss::Orders));
    }
    site.run_ms(100);
    site.start_node(home);
    site.submit(home, "look", JOB, &run_job(1, 6_800, 300));
    // Long enough for the connections between the two instances to open.
    site.run_ms(30);
    site.hold_messages(owner, home, false);
    site.run_ms(1_500);
    assert!(site.violations().is_empty(), "{:?}", site.violations());
}
