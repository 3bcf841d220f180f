//! The limit on a job's duration: its caller's wait, else its queue's timeout, else the default.

use std::time::Duration;

use almondhead_lib::runs::run_answer::JobEnd;
use almondhead_lib::runs::run_answer::RunAnswer;
use almondhead_testsupport::run_site::RunSite;
use almondhead_testsupport::run_site::SitePlan;
use almondhead_testsupport::run_site::run_job;

const ID: &str = "00000000000000c1";

/// A site of 12 upstreams that run two tasks each; its queue has a timeout of 1.5 s.
fn started(caller_wait_ms: Option<u64>) -> RunSite {
    start(&SitePlan::new(2, 2, 6), caller_wait_ms)
}

fn start(plan: &SitePlan, caller_wait_ms: Option<u64>) -> RunSite {
    let mut site = RunSite::start(plan);
    site.set_caller_wait(caller_wait_ms.map(Duration::from_millis));
    site.run_ms(1_000);
    site
}

fn took_ms(site: &RunSite, id: &str) -> u128 {
    let answer = site.answer(id).expect("an answer");
    answer.answered_at.since(answer.asked_at).as_millis()
}

fn is_completed(site: &RunSite, id: &str) -> bool {
    let answer = site.answer(id);
    answer.is_some_and(|answer| answer.answer == RunAnswer::Ended(JobEnd::Completed))
}

fn is_given_up(site: &RunSite, id: &str) -> bool {
    let answer = site.answer(id);
    answer.is_some_and(|answer| matches!(answer.answer, RunAnswer::GivenUp(_)))
}

/// Guards against a job that is given up at its queue's timeout while its caller still waits.
#[test]
fn job_longer_than_its_queue_timeout_ends_while_its_caller_waits() {
    let mut site = started(Some(6_000));
    let work = Duration::from_millis(1_700);
    site.submit_work(0, "look", ID, &run_job(4, 6_800, 900), work);
    site.run_ms(3_000);
    assert!(is_completed(&site, ID), "{:?}", site.answer(ID));
    assert!(took_ms(&site, ID) <= 1_710);
    assert!(site.violations().is_empty(), "{:?}", site.violations());
}

/// Guards against a caller's wait that is applied only if it is shorter than the queue's timeout: a
/// task that cannot end within it is given up as soon as its progress shows that.
#[test]
fn task_too_long_for_its_caller_is_given_up_early() {
    let mut site = started(Some(3_000));
    let work = Duration::from_millis(8_000);
    site.submit_work(0, "look", ID, &run_job(1, 6_800, 900), work);
    site.run_ms(1_500);
    assert!(is_given_up(&site, ID), "{:?}", site.answer(ID));
    // Known after the task's progress has been checked on each of two upstreams.
    assert!(took_ms(&site, ID) < 1_000);
    assert_eq!(site.running(), 0);
}

/// Guards against a job without a limit because its caller names no wait.
#[test]
fn queue_timeout_limits_a_job_whose_caller_names_no_wait() {
    let mut site = started(None);
    let work = Duration::from_millis(1_700);
    site.submit_work(0, "look", ID, &run_job(1, 6_800, 900), work);
    site.run_ms(1_500);
    assert!(is_given_up(&site, ID), "{:?}", site.answer(ID));
}

/// Guards against a default timeout that takes precedence over the queue's.
#[test]
fn queue_timeout_takes_precedence_over_the_default() {
    let mut plan = SitePlan::new(2, 2, 6);
    plan.queues[0].timeout = Some(Duration::from_secs(5));
    let mut site = start(&plan, None);
    let work = Duration::from_millis(1_700);
    site.submit_work(0, "look", ID, &run_job(1, 6_800, 900), work);
    site.run_ms(3_000);
    assert!(is_completed(&site, ID), "{:?}", site.answer(ID));
}

/// Guards against an overflow of the deadline when a caller names the longest possible wait.
#[test]
fn longest_possible_wait_is_accepted() {
    let mut site = started(Some(u64::MAX));
    site.submit(0, "look", ID, &run_job(30, 6_800, 200));
    site.run_ms(1_000);
    assert!(is_completed(&site, ID), "{:?}", site.answer(ID));
}

/// The median run time of a job's tasks, in milliseconds.
const MEDIAN_RUN_MS: f64 = 900.0;

/// The standard deviation of the natural logarithm of the run times.
const LOG_DEVIATION: f64 = 0.4;

/// The number of jobs, submitted every 400 ms: they use 40 % of the upstreams' capacity.
const JOBS: u64 = 150;

/// A random run time in milliseconds with a roughly log-normal distribution: a sum of uniform
/// variables is close to a normal one.
fn random_run_ms(site: &mut RunSite) -> u64 {
    let sum: u64 = (0..12).map(|_| site.random_below(1_000)).sum();
    let normal = (sum as f64 - 6_000.0) / 1_000.0;
    (MEDIAN_RUN_MS * (LOG_DEVIATION * normal).exp()) as u64
}

/// Guards against large jobs that complete less often than the other jobs of their queue.
#[test]
fn largest_jobs_complete_like_the_others() {
    let mut site = started(None);
    let mut jobs = Vec::new();
    for number in 1..=JOBS {
        let id = format!("{number:016x}");
        let tasks = 2 + site.random_below(5);
        let run_ms = random_run_ms(&mut site);
        let declared_ms = run_ms * (60 + site.random_below(81)) / 100;
        // Callers wait for 1.5 s plus three times the objective, which is 1.6 times the run time
        // plus 60 ms.
        let wait_ms = 1_500 + 3 * (run_ms * 8 / 5 + 60);
        site.set_caller_wait(Some(Duration::from_millis(wait_ms)));
        let node = number as usize % site.node_count();
        let job = run_job(tasks as u32, 6_800, declared_ms);
        let work = Duration::from_millis(run_ms);
        site.submit_work(node, "look", &id, &job, work);
        jobs.push((tasks * run_ms, id));
        site.run_ms(400);
    }
    site.run_ms(10_000);
    jobs.sort();
    let largest = &jobs[jobs.len() * 9 / 10..];
    let served = largest.iter().filter(|(_, id)| is_completed(&site, id));
    let served = served.count();
    let of_all = jobs.iter().filter(|(_, id)| is_completed(&site, id));
    let of_all = of_all.count();
    assert_eq!((served, of_all), (largest.len(), jobs.len()));
    assert!(site.violations().is_empty(), "{:?}", site.violations());
}
