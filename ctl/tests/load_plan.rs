//! The load driver's options, job plan and message counts, without processes.

use std::time::Duration;

use almondhead_ctl::load;
use almondhead_ctl::load_error::LoadError;
use almondhead_ctl::load_options::LoadOptions;
use almondhead_ctl::load_plan::LoadPlan;
use almondhead_ctl::load_plan::PlannedJob;
use almondhead_ctl::load_scrape::MessageTotals;

fn options(arguments: &[&str]) -> Result<LoadOptions, LoadError> {
    let all = ["load", "--entry", "127.0.0.1:1,127.0.0.1:2"];
    let matches = load::command().get_matches_from(all.iter().chain(arguments));
    LoadOptions::from_matches(&matches)
}

fn plan(arguments: &[&str]) -> LoadPlan {
    LoadPlan::draw(&options(arguments).unwrap())
}

fn tasks_between(plan: &LoadPlan, from_s: u64, to_s: u64) -> usize {
    let within = Duration::from_secs(from_s)..Duration::from_secs(to_s);
    let jobs = plan.jobs.iter().filter(|job| within.contains(&job.at));
    jobs.map(|job| job.run_times_ms.len()).sum()
}

#[test]
fn same_seed_draws_same_jobs() {
    assert_eq!(plan(&["--seed", "7"]).jobs, plan(&["--seed", "7"]).jobs);
    assert_ne!(plan(&["--seed", "7"]).jobs, plan(&["--seed", "8"]).jobs);
}

#[test]
fn plan_offers_requested_load() {
    let plan = plan(&["--duration-s", "600", "--load", "0.8"]);
    let run_ms = plan.jobs.iter().flat_map(|job| &job.run_times_ms);
    let run_s: f64 = run_ms.map(|ms| f64::from(*ms) / 1e3).sum();
    let load = run_s / 600.0 / 400.0;
    assert!((0.72..0.88).contains(&load), "{load}");
}

#[test]
fn sizes_and_run_times_follow_workload() {
    let plan = plan(&["--duration-s", "600"]);
    let sizes: Vec<usize> = plan
        .jobs
        .iter()
        .filter(|job| !job.single)
        .map(|job| job.run_times_ms.len())
        .collect();
    let mean = sizes.iter().sum::<usize>() as f64 / sizes.len() as f64;
    assert!((15.0..19.0).contains(&mean), "{mean}");
    assert!(sizes.iter().all(|size| (1..=480).contains(size)));
    let run_ms = plan.jobs.iter().flat_map(|job| &job.run_times_ms);
    assert!(run_ms.clone().all(|ms| (50..=5_000).contains(ms)));
    let long = run_ms.clone().filter(|ms| **ms > 1_000).count();
    let share = long as f64 / run_ms.count() as f64;
    assert!((0.005..0.015).contains(&share), "{share}");
}

#[test]
fn burst_raises_arrival_rate() {
    let burst = ["--burst-factor", "3", "--burst-from-s", "100"];
    let plan = plan(&[&burst[..], &["--burst-for-s", "100", "--duration-s", "300"]].concat());
    let before = tasks_between(&plan, 0, 100);
    let within = tasks_between(&plan, 100, 200);
    let ratio = within as f64 / before as f64;
    assert!((2.3..3.7).contains(&ratio), "{ratio}");
}

#[test]
fn request_count_is_bounded() {
    assert_eq!(plan(&["--max-requests", "25"]).jobs.len(), 25);
}

#[test]
fn out_of_range_options_are_named() {
    let cases = [
        ("--load", "0", "load"),
        ("--duration-s", "0", "duration-s"),
        ("--duration-s", "3601", "duration-s"),
        ("--single-share", "1.5", "single-share"),
        ("--run-scale", "inf", "run-scale"),
        ("--cancel-share", "2", "cancel-share"),
    ];
    for (argument, value, named) in cases {
        let error = options(&[argument, value]).unwrap_err();
        assert!(
            error.to_string().starts_with(&format!("--{named} ")),
            "{error}"
        );
    }
}

#[test]
fn ideal_response_time_is_lower_bound() {
    let job = |run_ms: &[u32]| PlannedJob {
        at: Duration::ZERO,
        single: false,
        run_times_ms: run_ms.to_vec(),
        cancelled: false,
    };
    let trips = Duration::from_millis(1);
    let ideal_ms =
        |run_ms: &[u32], slots| job(run_ms).ideal_response_time(slots, trips).as_millis();
    assert_eq!(ideal_ms(&[100, 300, 50], 400), 301);
    assert_eq!(ideal_ms(&[100; 480], 400), 121);
    assert_eq!(ideal_ms(&[100; 480], 480), 101);
}

#[test]
fn messages_are_summed_over_entries() {
    let mut before = MessageTotals::default();
    before.add_scrape("almondhead_messages_total{kind=\"attempt\"} 5\n");
    let mut after = MessageTotals::default();
    for _ in 0..2 {
        after.add_scrape(
            "# TYPE almondhead_messages_total counter\n\
             almondhead_messages_total{kind=\"attempt\"} 10\n\
             almondhead_messages_total{kind=\"retry\"} 2\n\
             almondhead_messages_total{kind=\"upstream_answer\"} 9\n\
             almondhead_other_total{kind=\"attempt\"} 70\n",
        );
    }
    let since = after.since(&before);
    assert_eq!(since.by_kind["attempt"], 15);
    assert_eq!(since.by_kind["retry"], 4);
    assert_eq!(since.total(), 15 + 18);
}
