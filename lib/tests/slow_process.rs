//! A process that is slow reads its inputs late while its timers fire on time. Callers that it has not
//! read to have left submit their jobs again elsewhere.

use std::time::Duration;

use almondhead_testsupport::run_site::RunSite;
use almondhead_testsupport::run_site::SitePlan;
use almondhead_testsupport::run_site::UpstreamFault;
use almondhead_testsupport::run_site::run_job;

const JOB: &str = "00000000000000aa";

/// How long after it has left a caller submits its job again, at the earliest.
const RESUBMIT_DELAY_MS: u64 = 1_300;

/// How long an instance goes without word of another before it counts as unreachable.
const PEER_TIMEOUT_MS: u64 = 600;

/// The interval between heartbeats.
const HEARTBEAT_MS: u64 = 150;

/// The first of three instances in one data centre each.
const HOME: usize = 0;

/// The instance at which callers submit their jobs again.
const NEXT_HOME: usize = 1;

/// An instance that runs tasks of [`HOME`].
const OWNER: usize = 2;

/// A lag that lasts for longer than any of these tests.
const ENDLESS_LAG_MS: u64 = 60_000;

/// Data centres with one instance and two upstreams each.
fn started(data_centres: u32) -> RunSite {
    let mut site = RunSite::start(&SitePlan::new(data_centres, 1, 2));
    site.set_caller_wait(Some(Duration::from_secs(9)));
    site.run_ms(1_000);
    site
}

/// Two data centres, each with an instance that delegates nearly all of its jobs to the other one.
fn started_unequal() -> RunSite {
    let mut site = RunSite::start(&SitePlan {
        processor_millicores: vec![1_000_000, 1],
        ..SitePlan::new(2, 2, 4)
    });
    site.set_caller_wait(Some(Duration::from_secs(9)));
    site.run_ms(1_000);
    site
}

fn set_lag(site: &mut RunSite, node: usize, lag_ms: u64) {
    site.set_input_lag(node, Duration::from_millis(lag_ms));
}

/// Submits a job that takes up both upstreams of a data centre for a while.
fn occupy(site: &mut RunSite, node: usize, work_ms: u64) {
    let id = format!("00000000000000b{node}");
    site.submit(node, "look", &id, &run_job(4, 6_800, work_ms));
}

/// Submits the job whose caller will leave.
fn submit_job(site: &mut RunSite, node: usize) {
    site.submit(node, "look", JOB, &run_job(1, 6_800, 2_000));
}

/// Submits the job again and runs until all is over.
fn submit_again(site: &mut RunSite, node: usize) {
    submit_job(site, node);
    site.run_ms(2_500);
}

/// When the caller leaves within an interval of heartbeats, and how long after that the instance fails
/// that has not read it.
fn phases() -> impl Iterator<Item = (u64, u64)> {
    let fails_after_ms = (50..=PEER_TIMEOUT_MS + 2 * HEARTBEAT_MS).step_by(50);
    fails_after_ms.flat_map(|fails| {
        (0..HEARTBEAT_MS)
            .step_by(10)
            .map(move |leaves| (leaves, fails))
    })
}

fn starts_at(site: &RunSite, node: usize) -> u64 {
    site.start_count(2 * node) + site.start_count(2 * node + 1)
}

fn assert_promises(site: &RunSite, case: &str) {
    let violations = site.violations();
    assert!(violations.is_empty(), "{case}: {violations:?}");
}

/// Guards against a home that starts a queued task of a caller whose leaving waits to be read, while
/// another home runs the job that the caller has submitted again.
#[test]
fn slow_home_starts_nothing_of_a_caller_that_has_left() {
    let mut site = started(2);
    occupy(&mut site, NEXT_HOME, 1_400);
    occupy(&mut site, HOME, 400);
    site.run_ms(20);
    submit_job(&mut site, HOME);
    site.run_ms(350);
    set_lag(&mut site, HOME, 1_500);
    // The ends of the tasks before it arrive just before the caller leaves.
    site.run_ms(50);
    site.drop_caller(JOB);
    site.run_ms(RESUBMIT_DELAY_MS);
    submit_again(&mut site, NEXT_HOME);
    assert_promises(&site, "slow home");
}

/// Guards against a home that starts at once what a caller requests who leaves just after the request
/// was read, and learns of it only after the caller has submitted the job again.
#[test]
fn slow_home_runs_no_request_whose_caller_is_about_to_leave() {
    for requested_after_ms in (0..2_000).step_by(50) {
        let mut site = started(2);
        set_lag(&mut site, HOME, 1_500);
        site.run_ms(requested_after_ms);
        submit_job(&mut site, HOME);
        site.run_ms(1_510);
        site.drop_caller(JOB);
        site.run_ms(RESUBMIT_DELAY_MS);
        submit_again(&mut site, NEXT_HOME);
        assert_promises(&site, &format!("requested after {requested_after_ms} ms"));
    }
}

/// Guards against a delegated job that goes on at its home while the instance that has delegated it has
/// not read that its caller has left, and is frozen before it has.
#[test]
fn slow_delegating_instance_keeps_no_job_of_a_caller_that_has_left() {
    const SMALL: usize = 1;
    const OTHER_LARGE: usize = 2;
    for (leaves_after_ms, frozen_after_ms) in phases() {
        let mut site = started_unequal();
        submit_job(&mut site, SMALL);
        site.run_ms(100 + leaves_after_ms);
        let counts = site.delegation(SMALL).by_event();
        assert!(counts.contains(&("delegated", 1)), "{counts:?}");
        set_lag(&mut site, SMALL, ENDLESS_LAG_MS);
        site.drop_caller(JOB);
        site.run_ms(frozen_after_ms);
        site.freeze(SMALL);
        site.run_ms(RESUBMIT_DELAY_MS - frozen_after_ms);
        submit_again(&mut site, OTHER_LARGE);
        let case = format!("left after {leaves_after_ms} ms, frozen {frozen_after_ms} ms later");
        assert_promises(&site, &case);
    }
}

/// Guards against a home that starts a queued task soon after a freeze, before it has read that the
/// task's caller left at its begin.
#[test]
fn thawed_home_starts_nothing_while_it_reads() {
    for lag_ms in [100, 200, 300] {
        let mut site = started(2);
        occupy(&mut site, NEXT_HOME, 1_400);
        occupy(&mut site, HOME, 400);
        site.run_ms(20);
        submit_job(&mut site, HOME);
        site.run_ms(360);
        set_lag(&mut site, HOME, lag_ms);
        site.freeze(HOME);
        // The ends of the tasks before it arrive during the freeze, then the caller leaves.
        site.run_ms(50);
        site.drop_caller(JOB);
        site.run_ms(RESUBMIT_DELAY_MS);
        submit_job(&mut site, NEXT_HOME);
        site.run_ms(20);
        site.thaw(HOME);
        site.run_ms(2_500);
        assert_promises(&site, &format!("lag of {lag_ms} ms"));
    }
}

/// A site where tasks of [`HOME`] run at [`OWNER`] alone: the upstreams of the home are down, and it is
/// cut off from [`NEXT_HOME`].
fn started_with_remote_owner() -> RunSite {
    let mut site = started(3);
    for upstream in [2 * HOME, 2 * HOME + 1] {
        site.set_upstream_fault(upstream, Some(UpstreamFault::Down));
    }
    site.cut(HOME, NEXT_HOME, true);
    site.run_ms(2_000);
    site
}

/// Lets the job wait in the queue of [`OWNER`] until `begins_ms` from now.
fn queue_at_owner(site: &mut RunSite, begins_ms: u64) {
    occupy(site, OWNER, begins_ms);
    site.run_ms(5);
    submit_job(site, HOME);
    site.run_ms(5);
    assert_eq!((starts_at(site, OWNER), site.queued_tasks(OWNER)), (4, 1));
}

/// Guards against an owner that starts a queued task although its home has cancelled it: the home was
/// slow to read that the caller had left, and the owner is slow to read the word of the home.
#[test]
fn slow_owner_starts_nothing_that_its_home_has_cancelled() {
    for (leaves_after_ms, cancelled_after_ms) in phases() {
        let mut site = started_with_remote_owner();
        queue_at_owner(&mut site, 1_000 + leaves_after_ms);
        site.run_ms(1_000 - 10 + leaves_after_ms - cancelled_after_ms);
        set_lag(&mut site, HOME, ENDLESS_LAG_MS);
        site.drop_caller(JOB);
        site.run_ms(cancelled_after_ms - 20);
        // The owner reads the ends of the tasks before it just before it reads the cancellation.
        set_lag(
            &mut site,
            OWNER,
            RESUBMIT_DELAY_MS - cancelled_after_ms + 30,
        );
        site.run_ms(25);
        set_lag(&mut site, HOME, 0);
        site.run_ms(RESUBMIT_DELAY_MS - cancelled_after_ms - 5);
        submit_again(&mut site, NEXT_HOME);
        let case = format!("left after {leaves_after_ms} ms, read {cancelled_after_ms} ms later");
        assert_promises(&site, &case);
    }
}

/// Guards against a run that goes on at an owner while its home has not read that the caller has left,
/// and is frozen before it has.
#[test]
fn slow_home_keeps_no_run_of_a_caller_that_has_left() {
    for (leaves_after_ms, frozen_after_ms) in phases() {
        let mut site = started_with_remote_owner();
        submit_job(&mut site, HOME);
        site.run_ms(100 + leaves_after_ms);
        assert_eq!(starts_at(&site, OWNER), 1);
        set_lag(&mut site, HOME, ENDLESS_LAG_MS);
        site.drop_caller(JOB);
        site.run_ms(frozen_after_ms);
        site.freeze(HOME);
        site.run_ms(RESUBMIT_DELAY_MS - frozen_after_ms);
        submit_again(&mut site, NEXT_HOME);
        let case = format!("left after {leaves_after_ms} ms, frozen {frozen_after_ms} ms later");
        assert_promises(&site, &case);
    }
}

/// Guards against a start for a home that has not been heard of for longer than allowed, at any time
/// between two heartbeats of the owner.
#[test]
fn owner_starts_nothing_of_a_home_not_heard_of() {
    for silent_ms in (PEER_TIMEOUT_MS + 10..=PEER_TIMEOUT_MS + 2 * HEARTBEAT_MS).step_by(10) {
        let mut site = started_with_remote_owner();
        queue_at_owner(&mut site, 1_000);
        site.run_ms(1_000 - 10 - silent_ms);
        site.cut(HOME, OWNER, true);
        site.run_ms(500 + silent_ms);
        let starts = starts_at(&site, OWNER);
        assert_eq!(starts, 4, "silent for {silent_ms} ms");
    }
}

/// Guards against the same where the home was slow to read that the caller had left, and the caller has
/// submitted the job again.
#[test]
fn owner_starts_nothing_of_a_slow_home_that_was_frozen() {
    for frozen_after_ms in (0..=PEER_TIMEOUT_MS + 2 * HEARTBEAT_MS).step_by(30) {
        for begins_ms in (RESUBMIT_DELAY_MS..RESUBMIT_DELAY_MS + HEARTBEAT_MS).step_by(10) {
            let mut site = started_with_remote_owner();
            queue_at_owner(&mut site, begins_ms + 10);
            set_lag(&mut site, HOME, ENDLESS_LAG_MS);
            site.drop_caller(JOB);
            site.run_ms(frozen_after_ms);
            site.freeze(HOME);
            site.run_ms(RESUBMIT_DELAY_MS - frozen_after_ms);
            submit_again(&mut site, NEXT_HOME);
            let case = format!("frozen after {frozen_after_ms} ms, start at {begins_ms} ms");
            assert_promises(&site, &case);
        }
    }
}

/// How late [`HOME`] reads its inputs at first: the answer to a pending renew order is read before the
/// lease ends.
const FIRST_LAG_MS: u64 = 800;

/// Lets [`HOME`] run the job on an upstream of its own, and read everything late until just before it
/// would read that the caller has left, `leaves_after_ms` after the lag began.
fn run_with_late_renewal(lags_after_ms: u64, leaves_after_ms: u64) -> RunSite {
    let mut site = started(2);
    site.submit(HOME, "look", JOB, &run_job(1, 6_800, 4_000));
    // From then on renew orders are answered within 120 ms.
    site.run_ms(600 + lags_after_ms);
    assert_eq!(starts_at(&site, HOME), 1);
    set_lag(&mut site, HOME, FIRST_LAG_MS);
    site.run_ms(leaves_after_ms);
    site.drop_caller(JOB);
    site.run_ms(FIRST_LAG_MS - 1);
    site
}

/// When the lag begins and when the caller leaves, within an interval of heartbeats each.
fn renewal_phases() -> impl Iterator<Item = (u64, u64)> {
    let lags_after_ms = (0..HEARTBEAT_MS).step_by(10);
    lags_after_ms.flat_map(|lags| {
        (0..HEARTBEAT_MS)
            .step_by(10)
            .map(move |leaves| (lags, leaves))
    })
}

/// Guards against a run that goes on at an upstream of its home while the home has not read that the
/// caller has left, because the lease was renewed by an answer that the home did read.
#[test]
fn slow_home_stops_its_own_runs_before_callers_come_back() {
    for (lags_after_ms, leaves_after_ms) in renewal_phases() {
        let mut site = run_with_late_renewal(lags_after_ms, leaves_after_ms);
        set_lag(&mut site, HOME, ENDLESS_LAG_MS);
        site.run_ms(RESUBMIT_DELAY_MS - FIRST_LAG_MS + 1);
        submit_again(&mut site, NEXT_HOME);
        let case = format!("lag after {lags_after_ms} ms, left {leaves_after_ms} ms later");
        assert_promises(&site, &case);
    }
}

/// Guards against a lease that outlasts what the home knew of its caller when it renewed it: a home that
/// is frozen can stop nothing.
#[test]
fn lease_of_a_slow_home_ends_before_callers_come_back() {
    for (lags_after_ms, leaves_after_ms) in renewal_phases() {
        let mut site = run_with_late_renewal(lags_after_ms, leaves_after_ms);
        site.freeze(HOME);
        site.run_ms(RESUBMIT_DELAY_MS - FIRST_LAG_MS + 1);
        submit_again(&mut site, NEXT_HOME);
        let case = format!("lag after {lags_after_ms} ms, left {leaves_after_ms} ms later");
        assert_promises(&site, &case);
    }
}

/// Guards against the same at another owner, which has not found the home unreachable when it renews
/// the lease, and is frozen afterwards.
#[test]
fn lease_of_an_unheard_home_ends_before_callers_come_back() {
    for (leaves_after_ms, frozen_after_ms) in phases() {
        let mut site = started_with_remote_owner();
        submit_job(&mut site, HOME);
        site.run_ms(100 + leaves_after_ms);
        assert_eq!(starts_at(&site, OWNER), 1);
        site.freeze(HOME);
        site.drop_caller(JOB);
        site.run_ms(frozen_after_ms);
        site.freeze(OWNER);
        site.run_ms(RESUBMIT_DELAY_MS - frozen_after_ms);
        submit_again(&mut site, NEXT_HOME);
        let case = format!("left after {leaves_after_ms} ms, frozen {frozen_after_ms} ms later");
        assert_promises(&site, &case);
    }
}

/// Guards against a batch that counts as lost on its way because a heartbeat that its owner sent before
/// it read the batch is read late: the owner starts its tasks as well.
#[test]
fn heartbeat_that_is_read_late_shows_no_loss_of_a_batch() {
    for submitted_after_ms in (0..HEARTBEAT_MS).step_by(10) {
        let mut site = started(3);
        for upstream in [2 * HOME, 2 * HOME + 1] {
            site.set_upstream_fault(upstream, Some(UpstreamFault::Down));
        }
        site.run_ms(2_000 + submitted_after_ms);
        submit_job(&mut site, HOME);
        for (node, lag_ms) in [(HOME, 200), (NEXT_HOME, 250), (OWNER, 250)] {
            set_lag(&mut site, node, lag_ms);
        }
        site.run_ms(300);
        for node in [NEXT_HOME, OWNER] {
            set_lag(&mut site, node, 0);
        }
        site.run_ms(2_500);
        assert_promises(&site, &format!("submitted after {submitted_after_ms} ms"));
    }
}
