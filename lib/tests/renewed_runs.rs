//! Runs whose lease a later owner renews after an earlier one has crashed.

use std::time::Duration;

use almondhead_lib::runs::run_answer::JobEnd;
use almondhead_lib::runs::run_answer::RunAnswer;
use almondhead_testsupport::run_site::RunSite;
use almondhead_testsupport::run_site::SitePlan;
use almondhead_testsupport::run_site::run_job;

const JOB: &str = "00000000000000aa";

/// The instance that crashes, and its job's home.
const CRASHING: usize = 0;
const HOME: usize = 1;
const NEXT_OWNER: usize = 2;

/// As many tasks as the upstreams can take.
const TASKS: u32 = 24;
const RUN_MS: u64 = 7_000;

/// How long after a crash the process is started again.
const RESTART_MS: u64 = 300;

/// A site of one data centre with three instances and twelve upstreams, which all run tasks of one job, after
/// one instance has crashed and started again.
fn restarted() -> RunSite {
    let mut site = RunSite::start(&SitePlan::new(1, 3, 12));
    site.set_caller_wait(Some(Duration::from_secs(20)));
    site.run_ms(1_000);
    site.submit(HOME, "look", JOB, &run_job(TASKS, 6_800, RUN_MS));
    site.run_ms(1_000);
    assert_eq!(site.running(), TASKS as usize);
    site.kill(CRASHING);
    site.run_ms(RESTART_MS);
    site.start_node(CRASHING);
    site
}

fn starts(site: &RunSite) -> u64 {
    (0..site.upstream_count())
        .map(|upstream| site.start_count(upstream))
        .sum()
}

/// What went wrong with the job, if anything: each task is to run once, and the job to complete.
fn failure(site: &mut RunSite, case_ms: u64) -> Option<String> {
    site.run_ms(RUN_MS);
    let answer = site.answer(JOB).map(|answer| answer.answer.clone());
    let is_completed = answer == Some(RunAnswer::Ended(JobEnd::Completed));
    let is_kept = is_completed && starts(site) == u64::from(TASKS);
    let violations = site.violations();
    (!is_kept || !violations.is_empty()).then(|| {
        format!(
            "after {case_ms} ms: {violations:?}, {answer:?}, {} starts",
            starts(site)
        )
    })
}

fn assert_none(failures: Vec<String>) {
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// How long after the start of its second process the instance ends again, in milliseconds.
fn cases_ms() -> impl Iterator<Item = u64> {
    (200..2_400).step_by(50)
}

/// Guards against a task that starts again beside its run, since its home counts from the crash of the
/// run's first owner although the next one has renewed the lease since.
#[test]
fn handed_over_run_does_not_end_with_the_lease_of_a_crashed_owner() {
    let failures = cases_ms().filter_map(|stop_ms| {
        let mut site = restarted();
        site.run_ms(stop_ms);
        site.stop_node(CRASHING);
        failure(&mut site, stop_ms)
    });
    assert_none(failures.collect());
}

/// Guards against the same where the next owner is stopped, too.
#[test]
fn run_is_handed_over_from_owner_to_owner() {
    let failures = cases_ms().filter_map(|stop_ms| {
        let mut site = restarted();
        site.run_ms(stop_ms);
        site.stop_node(CRASHING);
        site.run_ms(400);
        site.stop_node(NEXT_OWNER);
        failure(&mut site, stop_ms)
    });
    assert_none(failures.collect());
}

/// Guards against the same where the second process crashes as well: its runs count from then.
#[test]
fn run_does_not_end_with_the_lease_of_the_first_process_that_crashed() {
    for crash_ms in cases_ms() {
        let mut site = restarted();
        site.run_ms(crash_ms);
        site.kill(CRASHING);
        site.run_ms(RUN_MS);
        let violations = site.violations();
        assert!(violations.is_empty(), "after {crash_ms} ms: {violations:?}");
    }
}
