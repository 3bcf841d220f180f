//! Leases end by themselves before the caller of a run that nobody stops can come back.

use std::time::Duration;

use almondhead_testsupport::run_site::RunSite;
use almondhead_testsupport::run_site::SitePlan;
use almondhead_testsupport::run_site::UpstreamFault;
use almondhead_testsupport::run_site::run_job;

const JOB: &str = "00000000000000aa";
const OTHER_JOB: &str = "00000000000000b1";
const HOME: usize = 0;
const OTHER_HOME: usize = 1;
const OWNER: usize = 2;

/// How long after it left a caller submits its job again.
const RETRY_PAUSE_MS: u64 = 1_300;

/// How long an upstream takes to stop a run.
const MAX_STOP_MS: u64 = 50;

/// Data centres with one instance and one upstream each, with all upstreams down but `usable`.
fn started(data_centres: u32, usable: usize, retry_pause_ms: u64) -> RunSite {
    let mut site = RunSite::start(&SitePlan {
        caller_retry_pause: Duration::from_millis(retry_pause_ms),
        ..SitePlan::new(data_centres, 1, 1)
    });
    site.set_caller_wait(Some(Duration::from_secs(20)));
    site.run_ms(1_000);
    for upstream in (0..data_centres as usize).filter(|upstream| *upstream != usable) {
        site.set_upstream_fault(upstream, Some(UpstreamFault::Down));
    }
    site.run_ms(2_000);
    site
}

/// A job of [`HOME`] and one of [`OTHER_HOME`] run on the upstream that [`HOME`] owns.
fn started_beside_another_home(retry_pause_ms: u64) -> RunSite {
    let mut site = started(2, HOME, retry_pause_ms);
    site.submit(OTHER_HOME, "look", OTHER_JOB, &run_job(1, 6_800, 9_000));
    site.submit(HOME, "look", JOB, &run_job(1, 6_800, 9_000));
    site.run_ms(700);
    assert_eq!(site.running_tasks(JOB), 1);
    assert_eq!(site.running_tasks(OTHER_JOB), 1);
    site
}

/// Kills the home of the job, whose next process finds its run, and checks the run after the pause.
fn assert_unclaimed_run_ends(retry_pause_ms: u64) {
    for restart_ms in (20..=820).step_by(80) {
        let mut site = started_beside_another_home(retry_pause_ms);
        site.delay_stops(true);
        site.kill(HOME);
        site.run_ms(restart_ms);
        site.start_node(HOME);
        let end_ms = retry_pause_ms - MAX_STOP_MS;
        site.run_ms(end_ms.saturating_sub(restart_ms));
        assert_eq!(site.running_tasks(JOB), 0, "restart after {restart_ms} ms");
        assert!(site.long_leases().is_empty(), "{:?}", site.long_leases());
    }
}

/// Guards against a run that no home claims and whose stops are all lost, kept alive by the renewed lease of
/// a claimed run on the same upstream (review/11).
#[test]
fn unclaimed_run_ends_in_time_although_its_stops_are_lost() {
    assert_unclaimed_run_ends(RETRY_PAUSE_MS);
}

/// Guards against a bound that holds for one pause of callers alone.
#[test]
fn bound_follows_the_pause_in_the_settings() {
    for retry_pause_ms in [700, 1_000, 2_500] {
        assert_unclaimed_run_ends(retry_pause_ms);
    }
}

/// Guards against an unclaimed run whose lease each of two successive owners extends, of which the first dies
/// before its first stop (review/8).
#[test]
fn unclaimed_run_ends_in_time_although_its_next_owner_dies_too() {
    for restart_ms in (20..=420).step_by(80) {
        for lived_ms in (10..=410).step_by(80) {
            let mut site = started_beside_another_home(RETRY_PAUSE_MS);
            site.kill(HOME);
            site.run_ms(restart_ms);
            site.start_node(HOME);
            site.run_ms(lived_ms);
            site.kill(HOME);
            site.run_ms(RETRY_PAUSE_MS - MAX_STOP_MS - restart_ms - lived_ms);
            let times = format!("{restart_ms} ms, {lived_ms} ms");
            assert_eq!(site.running_tasks(JOB), 0, "{times}");
            assert!(site.long_leases().is_empty(), "{:?}", site.long_leases());
        }
    }
}

/// Guards against a bound that ends the runs of other homes too: a claimed run goes on if the unclaimed ones
/// are stopped in time.
#[test]
fn claimed_run_goes_on_beside_an_unclaimed_one_that_is_stopped() {
    for restart_ms in (20..=260).step_by(40) {
        let mut site = started_beside_another_home(RETRY_PAUSE_MS);
        site.kill(HOME);
        site.run_ms(restart_ms);
        site.start_node(HOME);
        site.run_ms(2_000);
        assert_eq!(site.running_tasks(JOB), 0, "restart after {restart_ms} ms");
        assert_eq!(site.running_tasks(OTHER_JOB), 1, "{restart_ms} ms");
        assert_eq!(site.start_count(0), 2, "restart after {restart_ms} ms");
    }
}

/// Guards against a cancelled run whose stops are all lost, kept alive by the renewed lease of another home's
/// run on the same upstream.
#[test]
fn cancelled_run_ends_in_time_although_its_stops_are_lost() {
    for phase_ms in (0..150).step_by(30) {
        let mut site = started(3, OWNER, RETRY_PAUSE_MS);
        site.submit(OTHER_HOME, "look", OTHER_JOB, &run_job(1, 6_800, 9_000));
        site.submit(HOME, "look", JOB, &run_job(1, 6_800, 9_000));
        site.run_ms(700 + phase_ms);
        assert_eq!(site.running_tasks(JOB), 1);
        site.delay_stops(true);
        site.drop_caller(JOB);
        site.run_ms(RETRY_PAUSE_MS - MAX_STOP_MS);
        assert_eq!(site.running_tasks(JOB), 0, "phase {phase_ms} ms");
        assert!(site.long_leases().is_empty(), "{:?}", site.long_leases());
    }
}

/// Guards against a run whose cancellation was lost, kept alive since its home requests other runs.
#[test]
fn later_requests_of_a_home_extend_no_lease_of_a_cancelled_run() {
    for phase_ms in (0..150).step_by(15) {
        let mut site = started(3, OWNER, RETRY_PAUSE_MS);
        site.submit(OTHER_HOME, "look", OTHER_JOB, &run_job(1, 6_800, 9_000));
        site.submit(HOME, "look", JOB, &run_job(1, 2_000, 9_000));
        site.run_ms(700 + phase_ms);
        assert_eq!(site.running_tasks(JOB), 1);
        site.delay_stops(true);
        site.cut_one_way(HOME, OWNER, true);
        site.drop_caller(JOB);
        site.run_ms(1);
        site.cut_one_way(HOME, OWNER, false);
        for number in 0..30 {
            let id = format!("{:016x}", 0xc0 + number);
            site.submit(HOME, "look", &id, &run_job(1, 100, 2));
            site.run_ms(5);
        }
        site.run_ms(RETRY_PAUSE_MS - MAX_STOP_MS - 151);
        assert_eq!(site.running_tasks(JOB), 0, "phase {phase_ms} ms");
        assert!(site.long_leases().is_empty(), "{:?}", site.long_leases());
    }
}

/// A small instance, [`HOME`], that has delegated jobs to two larger ones.
fn started_with_delegated_jobs() -> RunSite {
    let mut site = RunSite::start(&SitePlan {
        processor_millicores: vec![120, 500, 500],
        ..SitePlan::new(1, 3, 3)
    });
    site.set_caller_wait(Some(Duration::from_secs(20)));
    site.run_ms(2_000);
    for number in 0..6 {
        let id = format!("{number:016x}");
        site.submit(HOME, "look", &id, &run_job(1, 6_800, 9_000));
    }
    site.run_ms(700);
    assert_eq!(site.running(), 6);
    site
}

/// Guards against runs of a delegated job whose delegating instance dies and then its home, which wants them
/// until it notices the first death (review/9).
#[test]
fn runs_of_a_delegated_job_end_in_time_after_two_deaths() {
    for second_death_ms in (10..=590).step_by(58) {
        let mut site = started_with_delegated_jobs();
        site.kill(HOME);
        site.run_ms(second_death_ms);
        site.kill(OTHER_HOME);
        site.kill(OWNER);
        site.run_ms(RETRY_PAUSE_MS - MAX_STOP_MS - second_death_ms);
        assert_eq!(site.running(), 0, "second death after {second_death_ms} ms");
        assert!(site.long_leases().is_empty(), "{:?}", site.long_leases());
    }
}
