//! Runs that their home no longer waits for, because the task was done in another attempt of its job.

use std::time::Duration;

use almondhead_lib::runs::run_answer::JobEnd;
use almondhead_lib::runs::run_answer::RunAnswer;
use almondhead_testsupport::run_site::RunSite;
use almondhead_testsupport::run_site::SitePlan;
use almondhead_testsupport::run_site::UpstreamFault;
use almondhead_testsupport::run_site::run_job;

const JOB: &str = "00000000000000aa";
const OTHER_JOB: &str = "00000000000000ab";

/// The instance that dies.
const FIRST_HOME: usize = 0;
const SLOW_UPSTREAM: usize = 1;

/// The other two, each of which owns two upstreams for two tasks each.
const HOMES: [usize; 2] = [1, 2];

const CPU_MILLICORES: u32 = 6_800;
const RUN_MS: u64 = 6_000;

/// How long after its connection broke a caller submits its job again.
const RESUBMIT_DELAY_MS: u64 = 1_300;

/// By when after that the ends of the first attempt are found: the dead instance is removed from the roster
/// about 2.5 s after its death.
const FOUND_AFTER_MS: u64 = 1_400;

/// How long the tasks of the other job run.
const OTHER_RUN_MS: u64 = 14_000;

/// Three data centres with one instance and two upstreams each.
fn started() -> RunSite {
    let mut site = RunSite::start(&SitePlan::new(3, 1, 2));
    site.set_caller_wait(Some(Duration::from_secs(20)));
    site.run_ms(1_000);
    site
}

/// Submits a job at an instance that dies just before one of its two upstreams, the faster one, has done
/// its runs; the other runs expire with their lease. The caller comes back to `home`.
fn submit_twice(site: &mut RunSite, home: usize, tasks: u32) {
    site.set_upstream_fault(SLOW_UPSTREAM, Some(UpstreamFault::Slow(1.5)));
    let before = site.running();
    let job = run_job(tasks, CPU_MILLICORES, RUN_MS);
    site.submit(FIRST_HOME, "look", JOB, &job);
    site.run_ms(RUN_MS - 300);
    assert_eq!(site.running(), before + tasks as usize);
    site.kill(FIRST_HOME);
    site.run_ms(RESUBMIT_DELAY_MS);
    assert_eq!(site.running(), before);
    site.submit(home, "look", JOB, &job);
    site.run_ms(100);
    assert_eq!(site.running(), before + tasks as usize);
}

/// Occupies the upstreams of an instance with some tasks, of which they can take four, so that other owners
/// run what is submitted there next.
fn occupy(site: &mut RunSite, home: usize, tasks: u32) {
    if tasks > 0 {
        let job = run_job(tasks, CPU_MILLICORES, OTHER_RUN_MS);
        site.submit(home, "look", OTHER_JOB, &job);
        site.run_ms(10);
    }
    assert_eq!(site.running(), tasks as usize);
}

/// Runs the site until the ends of the first attempt are found and what is cancelled then has stopped.
fn run_until_found(site: &mut RunSite) {
    site.run_ms(FOUND_AFTER_MS);
}

fn assert_completed(site: &RunSite) {
    let answer = site.answer(JOB).expect("an answer");
    assert_eq!(answer.answer, RunAnswer::Ended(JobEnd::Completed));
}

/// Guards against runs at the home's own upstreams that go on after their job has ended, because an
/// earlier attempt's ends have completed it.
#[test]
fn no_run_of_an_own_owner_outlasts_its_job() {
    for home in HOMES {
        let mut site = started();
        submit_twice(&mut site, home, 2);
        run_until_found(&mut site);
        assert_completed(&site);
        assert_eq!(site.running(), 0, "home {home}");
    }
}

/// Guards against the same at another owner of which the home has cancelled nothing.
#[test]
fn no_run_of_another_owner_outlasts_its_job() {
    for home in HOMES {
        let mut site = started();
        occupy(&mut site, home, 4);
        submit_twice(&mut site, home, 2);
        run_until_found(&mut site);
        assert_completed(&site);
        assert_eq!(site.running(), 4, "home {home}");
    }
}

/// Guards against a run that goes on beside the others of its batch after an earlier attempt's end has
/// ended its task.
#[test]
fn run_of_a_task_that_is_done_is_stopped() {
    for others in [0, 2, 4] {
        for home in HOMES {
            let mut site = started();
            occupy(&mut site, home, others);
            submit_twice(&mut site, home, 4);
            run_until_found(&mut site);
            assert_eq!(site.running(), others as usize + 2, "home {home}");
            site.run_ms(RUN_MS);
            assert_completed(&site);
        }
    }
}

/// Guards against a run that goes on for its task's next attempt to run beside it, after the caller has
/// left or cancelled the job.
#[test]
fn no_run_is_left_when_its_caller_comes_again() {
    for (is_cancelled, others) in [(false, 0), (true, 0), (false, 2), (true, 2)] {
        for home in HOMES {
            let mut site = started();
            occupy(&mut site, home, others);
            submit_twice(&mut site, home, 4);
            run_until_found(&mut site);
            match is_cancelled {
                true => site.cancel(home, "look", JOB),
                false => site.drop_caller(JOB),
            }
            site.run_ms(RESUBMIT_DELAY_MS);
            assert_eq!(site.running(), others as usize, "home {home}");
            let other = HOMES[0] + HOMES[1] - home;
            site.submit(other, "look", JOB, &run_job(4, CPU_MILLICORES, RUN_MS));
            site.run_ms(RUN_MS);
            assert!(site.violations().is_empty(), "{:?}", site.violations());
        }
    }
}
