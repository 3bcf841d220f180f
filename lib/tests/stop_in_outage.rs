//! A planned stop while the store is away.
//!
//! The pattern is a data centre that is cut off while its instances are restarted in turn: who owns
//! an upstream follows from the roster, which nobody can change then.

use almondhead_lib::runs::run_answer::JobEnd;
use almondhead_lib::runs::run_answer::RunAnswer;
use almondhead_testsupport::run_site::RunSite;
use almondhead_testsupport::run_site::SitePlan;
use almondhead_testsupport::run_site::run_job;

/// The instance that takes the jobs.
const HOME: usize = 0;

/// The instance that stops.
const STOPPING: usize = 1;

/// As many tasks as all upstreams run at a time.
const WIDE: u32 = 12;

/// How long a task runs, in milliseconds.
const RUN_MS: u64 = 60;

/// What messages and orders take, in milliseconds.
const MARGIN_MS: u128 = 10;

/// How long a stopping instance has, in milliseconds.
const GRACE_MS: u64 = 5_000;

/// Two instances with six upstreams of two tasks each.
fn started() -> RunSite {
    let mut site = RunSite::start(&SitePlan::new(1, 2, 6));
    site.run_ms(1_000);
    assert!((1..6).contains(&site.usable_upstreams(STOPPING)));
    site
}

fn stopping_in_outage() -> RunSite {
    let mut site = started();
    site.set_store_down(true);
    site.stop_node(STOPPING);
    site.run_ms(200);
    site
}

/// How long a job took that needs all upstreams at a time.
fn wide_job_ms(site: &mut RunSite, id: &str) -> u128 {
    site.submit(HOME, "look", id, &run_job(WIDE, 6_800, RUN_MS));
    site.run_ms(500);
    let answer = site.answer(id).expect("an answer");
    assert_eq!(answer.answer, RunAnswer::Ended(JobEnd::Completed));
    answer.answered_at.since(answer.asked_at).as_millis()
}

/// Guards against upstreams that stand idle because their owner stops and nobody can take them over.
#[test]
fn upstreams_are_used_until_the_roster_changes() {
    let mut site = stopping_in_outage();
    for id in ["00000000000000f1", "00000000000000f2"] {
        let took_ms = wide_job_ms(&mut site, id);
        assert!(took_ms <= u128::from(RUN_MS) + MARGIN_MS, "{took_ms} ms");
    }
    assert!(site.violations().is_empty(), "{:?}", site.violations());
}

/// Guards against an owner that keeps its upstreams although another one may have them.
#[test]
fn upstreams_change_hands_when_the_store_is_back() {
    let mut site = stopping_in_outage();
    site.set_store_down(false);
    site.run_ms(1_500);
    assert_eq!(site.usable_upstreams(STOPPING), 0);
    assert_eq!(site.usable_upstreams(HOME), site.upstreams());
    let took_ms = wide_job_ms(&mut site, "00000000000000f1");
    assert!(took_ms <= u128::from(RUN_MS) + MARGIN_MS, "{took_ms} ms");
    assert!(site.violations().is_empty(), "{:?}", site.violations());
}

/// Guards against runs that are lost because their owner exits in the middle of them.
#[test]
fn runs_have_ended_when_the_owner_exits() {
    let mut site = stopping_in_outage();
    let asked_until = site.now_ms() + GRACE_MS;
    let mut jobs = 0;
    while site.now_ms() < asked_until {
        jobs += 1;
        site.submit(
            HOME,
            "look",
            &format!("{jobs:016x}"),
            &run_job(2, 6_800, 200),
        );
        site.run_ms(100);
    }
    site.kill(STOPPING);
    site.run_ms(3_000);
    let completed = site
        .answers()
        .filter(|(_, answer)| answer.answer == RunAnswer::Ended(JobEnd::Completed));
    let completed = completed.count();
    assert_eq!(completed, jobs);
    assert!(site.violations().is_empty(), "{:?}", site.violations());
}
