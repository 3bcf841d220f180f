//! Counters of a home's decisions about orphaned runs and abandoned jobs.

use almondhead_testsupport::run_site::RunSite;
use almondhead_testsupport::run_site::SitePlan;
use almondhead_testsupport::run_site::run_job;

fn count(counts: &[(&str, u64)], label: &str) -> u64 {
    let found = counts.iter().find(|(name, _)| *name == label);
    found.map_or(0, |(_, count)| *count)
}

/// Guards against counters that miss the ends of orphaned runs which the next owner of their
/// upstream finds.
#[test]
fn end_that_the_next_owner_finds_is_counted() {
    let mut site = RunSite::start(&SitePlan::new(2, 1, 2));
    site.run_ms(1_000);
    // More tasks than fit on the home's own upstreams.
    let job = run_job(8, 6_800, 400);
    site.submit(0, "look", "00000000000000aa", &job);
    site.run_ms(200);
    site.kill(1);
    site.run_ms(300);
    site.start_node(1);
    site.run_ms(1_500);
    let counts = site.counts(0);
    assert_eq!(counts.orphaned(), 4, "{counts:?}");
    assert_eq!(count(&counts.found_ends(), "done"), 4, "{counts:?}");
    assert!(site.violations().is_empty(), "{:?}", site.violations());
}

/// Guards against a job that is given up because its caller left, but is counted under another
/// reason or not at all.
#[test]
fn caller_that_leaves_is_counted() {
    let mut site = RunSite::start(&SitePlan::new(1, 1, 2));
    site.run_ms(1_000);
    site.submit(0, "look", "00000000000000aa", &run_job(1, 6_800, 400));
    site.run_ms(100);
    site.drop_caller("00000000000000aa");
    site.run_ms(100);
    assert_eq!(count(&site.counts(0).given_up(), "caller_left"), 1);
}
