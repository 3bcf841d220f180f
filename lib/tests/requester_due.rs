//! An owner drops the tasks of each home in time, whatever other homes have there.

use std::time::Duration;

use almondhead_testsupport::run_site::RunSite;
use almondhead_testsupport::run_site::SitePlan;
use almondhead_testsupport::run_site::UpstreamFault;
use almondhead_testsupport::run_site::run_job;

const HOME: usize = 0;
const OTHER_HOME: usize = 1;
const OWNER: usize = 2;

/// How long after its home was last known to want it a run goes on at most.
const MAX_REQUESTER_AGE_MS: u64 = 600;

/// How long an upstream takes to stop a run.
const MAX_STOP_MS: u64 = 50;

/// Three data centres with one instance and two upstreams each; tasks of the homes run at [`OWNER`] alone.
fn started() -> RunSite {
    let mut site = RunSite::start(&SitePlan::new(3, 1, 2));
    site.set_caller_wait(Some(Duration::from_secs(20)));
    site.run_ms(1_000);
    for home in [HOME, OTHER_HOME] {
        for upstream in [2 * home, 2 * home + 1] {
            site.set_upstream_fault(upstream, Some(UpstreamFault::Down));
        }
    }
    site.cut(HOME, OTHER_HOME, true);
    site.run_ms(2_000);
    site
}

/// Guards against a check of the requesters that is planned for a later one: a batch that arrives late
/// tells of an earlier time than what is known of the other home.
#[test]
fn run_of_a_silent_home_is_stopped_in_time_beside_those_of_another_home() {
    let mut runs = 0;
    for phase_ms in (0..600).step_by(30) {
        let mut site = started();
        let other_job = run_job(1, 6_800, 9_000);
        site.submit(OTHER_HOME, "look", "00000000000000b1", &other_job);
        site.run_ms(1_000 + phase_ms);
        let others = site.running();
        site.delay_messages(HOME, OWNER, Duration::from_millis(290));
        site.submit(HOME, "look", "00000000000000aa", &run_job(1, 6_800, 6_000));
        site.run_ms(2);
        site.freeze(HOME);
        site.run_ms(400);
        runs += site.running() - others;
        // The owner knows of the time when the home was frozen at the latest.
        site.run_ms(MAX_REQUESTER_AGE_MS - 400 + MAX_STOP_MS + 10);
        assert_eq!(site.running(), others, "phase {phase_ms} ms");
    }
    assert!(runs > 0, "no run of the silent home has started");
}
