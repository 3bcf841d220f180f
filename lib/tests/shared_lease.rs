//! The lease of an upstream is one for all of its runs.

use std::time::Duration;

use almondhead_testsupport::run_site::RunSite;
use almondhead_testsupport::run_site::SitePlan;
use almondhead_testsupport::run_site::UpstreamFault;
use almondhead_testsupport::run_site::run_job;

const JOB: &str = "00000000000000aa";
const RESUBMIT_DELAY_MS: u64 = 1_300;
const HOME: usize = 0;
const NEXT_HOME: usize = 1;
const OWNER: usize = 2;

/// Three data centres with one instance and two upstreams each; tasks of [`HOME`] run at [`OWNER`] alone.
fn started() -> RunSite {
    let mut site = RunSite::start(&SitePlan::new(3, 1, 2));
    site.set_caller_wait(Some(Duration::from_secs(9)));
    site.run_ms(1_000);
    for upstream in [2 * HOME, 2 * HOME + 1] {
        site.set_upstream_fault(upstream, Some(UpstreamFault::Down));
    }
    site.cut(HOME, NEXT_HOME, true);
    site.run_ms(2_000);
    site
}

/// Guards against a run of a home that has not been heard of for a while, started beside a run whose home
/// is known to be there: the lease that the upstream has already outlasts what is known of the first home.
#[test]
fn run_beside_a_renewed_lease_ends_before_callers_come_back() {
    for silent_ms in (300..600).step_by(20) {
        for frozen_after_ms in [10, 60, 110] {
            let mut site = started();
            // One of four places becomes free after 1,000 ms, beside a run that goes on.
            site.submit(OWNER, "look", "00000000000000b1", &run_job(3, 6_800, 6_000));
            site.submit(OWNER, "look", "00000000000000b2", &run_job(1, 6_800, 1_000));
            site.run_ms(5);
            site.submit(HOME, "look", JOB, &run_job(1, 6_800, 3_000));
            site.run_ms(1_000 - silent_ms);
            site.freeze(HOME);
            site.drop_caller(JOB);
            site.run_ms(silent_ms + frozen_after_ms);
            site.freeze(OWNER);
            site.run_ms(RESUBMIT_DELAY_MS - silent_ms - frozen_after_ms);
            site.submit(NEXT_HOME, "look", JOB, &run_job(1, 6_800, 3_000));
            site.run_ms(2_500);
            let violations = site.violations();
            assert!(
                violations.is_empty(),
                "silent for {silent_ms} ms, frozen {frozen_after_ms} ms later: {violations:?}"
            );
        }
    }
}
