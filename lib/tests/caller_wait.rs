//! A job may take as long as its caller waits, whatever its queue's timeout is.

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

/// Guards against jobs given up by their queue's timeout while their callers still wait.
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

/// Guards against a limit that follows the caller's only where the caller waits short.
#[test]
fn task_too_long_for_its_caller_is_given_up_at_once() {
    let mut site = started(Some(3_000));
    let work = Duration::from_millis(8_000);
    site.submit_work(0, "look", ID, &run_job(1, 6_800, 900), work);
    site.run_ms(1_500);
    assert!(is_given_up(&site, ID), "{:?}", site.answer(ID));
    // Known after a look at its progress on each of two upstreams.
    assert!(took_ms(&site, ID) < 1_000);
    assert_eq!(site.running(), 0);
}

/// Guards against a job that nothing limits because its caller says nothing.
#[test]
fn silent_caller_waits_for_the_queue_timeout() {
    let mut site = started(None);
    let work = Duration::from_millis(1_700);
    site.submit_work(0, "look", ID, &run_job(1, 6_800, 900), work);
    site.run_ms(1_500);
    assert!(is_given_up(&site, ID), "{:?}", site.answer(ID));
}

/// Guards against a default that replaces the timeout of a queue.
#[test]
fn queue_timeout_goes_before_the_default() {
    let mut plan = SitePlan::new(2, 2, 6);
    plan.queues[0].timeout = Some(Duration::from_secs(5));
    let mut site = start(&plan, None);
    let work = Duration::from_millis(1_700);
    site.submit_work(0, "look", ID, &run_job(1, 6_800, 900), work);
    site.run_ms(3_000);
    assert!(is_completed(&site, ID), "{:?}", site.answer(ID));
}

/// Guards against a wait so long that the end of it is past all time.
#[test]
fn endless_wait_is_taken() {
    let mut site = started(Some(u64::MAX));
    site.submit(0, "look", ID, &run_job(30, 6_800, 200));
    site.run_ms(1_000);
    assert!(is_completed(&site, ID), "{:?}", site.answer(ID));
}

/// How long jobs' tasks run on average, in milliseconds.
const MEAN_RUN_MS: f64 = 900.0;

/// The spread of the logarithm of the run times.
const SPREAD: f64 = 0.4;

/// How many jobs come, one every 400 ms: they keep 40 % of the upstreams' room busy.
const JOBS: u64 = 150;

/// A run time, by chance: a sum of uniform shares is close to a normal one.
fn chance_run_ms(site: &mut RunSite) -> u64 {
    let sum: u64 = (0..12).map(|_| site.chance(1_000)).sum();
    let normal = (sum as f64 - 6_000.0) / 1_000.0;
    (MEAN_RUN_MS * (SPREAD * normal).exp()) as u64
}

/// Guards against large jobs that are served less often than the others of their queue.
#[test]
fn largest_jobs_are_served_like_the_others() {
    let mut site = started(None);
    let mut jobs = Vec::new();
    for number in 1..=JOBS {
        let id = format!("{number:016x}");
        let tasks = 2 + site.chance(5);
        let run_ms = chance_run_ms(&mut site);
        let declared_ms = run_ms * (60 + site.chance(81)) / 100;
        // The callers of this kind of job wait for three times its objective and 1.5 s.
        let wait_ms = 1_500 + 3 * (run_ms * 8 / 5 + 60);
        site.set_caller_wait(Some(Duration::from_millis(wait_ms)));
        let node = number as usize % site.nodes();
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
