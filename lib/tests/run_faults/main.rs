//! Random faults, one after another and overlapping, on a simulated site of leased runs whose
//! callers submit a job again when its answer is lost.
//!
//! No task may run twice at a time, no task may run of a job that was answered as not run, and no lease may
//! be extended beyond the time at which a caller who has left may come back.
//! `RUN_FAULTS_SEEDS=100..2000` runs other seeds; `RUN_SITE_LOG=info` writes the dispatchers' logs.

mod fault;
mod scenario;
mod seeds;

use std::env;
use std::ops::Range;

use self::scenario::LONG_WAIT_MS;
use self::scenario::SHORT_WAIT_MS;
use self::scenario::Scenario;
use self::scenario::UNEQUAL_CAPACITIES;
use self::seeds::DELEGATION_SEEDS;
use self::seeds::LONG_DELEGATED_REGRESSION_SEEDS;
use self::seeds::LONG_TASK_REGRESSION_SEEDS;
use self::seeds::LONG_TASK_SEEDS;
use self::seeds::LONG_WAIT_SEEDS;
use self::seeds::OUTLIVING_JOB_SEEDS;
use self::seeds::REGRESSION_SEEDS;
use self::seeds::SEEDS;
use self::seeds::SLOW_REGRESSION_SEEDS;
use self::seeds::SLOW_SEEDS;
use self::seeds::UNCLAIMED_RUN_SEEDS;

/// The seeds that `RUN_FAULTS_SEEDS` requests.
fn requested_seeds() -> Option<Range<u64>> {
    let text = env::var("RUN_FAULTS_SEEDS").ok()?;
    let ends = text.split_once("..");
    let ends = ends.and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?));
    Some(ends.expect("seeds as in 100..2000"))
}

#[test]
fn no_task_runs_twice_at_a_time_under_random_faults() {
    let seeds =
        requested_seeds().map_or_else(|| SEEDS.chain(REGRESSION_SEEDS).collect(), Vec::from_iter);
    run_seeds(seeds, SHORT_WAIT_MS, &[]);
}

#[test]
fn no_task_runs_twice_at_a_time_while_callers_wait_long() {
    let seeds = requested_seeds().unwrap_or(LONG_WAIT_SEEDS);
    run_seeds(seeds, LONG_WAIT_MS, &[]);
}

/// Guards against a start for an upstream's earlier incarnation that takes effect in the next one,
/// before the owner has listed the upstream's runs again.
#[test]
fn no_late_start_takes_effect_on_an_upstream_that_has_just_started_again() {
    run_seeds([110], LONG_WAIT_MS, &[]);
}

/// Guards against a job that runs at its home and at the instance that delegated it, or that is answered
/// as not run by one of them while the other runs it.
#[test]
fn delegated_jobs_keep_the_promises_under_random_faults() {
    let seeds = requested_seeds().unwrap_or(DELEGATION_SEEDS);
    run_seeds(seeds, SHORT_WAIT_MS, &UNEQUAL_CAPACITIES);
}

/// Guards against the same while callers wait for longer than a lease and than unreachable instances.
#[test]
fn delegated_jobs_keep_the_promises_while_callers_wait_long() {
    let seeds = requested_seeds().unwrap_or(LONG_WAIT_SEEDS);
    run_seeds(seeds, LONG_WAIT_MS, &UNEQUAL_CAPACITIES);
}

/// Guards against two homes of a job at a time: one that reads late that its caller has left, and the
/// one to which the caller has come back.
#[test]
fn no_task_runs_twice_at_a_time_while_instances_are_slow() {
    let seeds = requested_seeds().map_or_else(
        || SLOW_SEEDS.chain(SLOW_REGRESSION_SEEDS).collect(),
        Vec::from_iter,
    );
    run_scenarios(seeds, Scenario::with_slow_instances);
}

/// Guards against a run that goes on beside the next one of its task, because its home has released it, or
/// counts it as ended, and its owner goes on with it.
#[test]
fn no_task_runs_twice_at_a_time_while_tasks_are_long() {
    let seeds = requested_seeds().map_or_else(
        || LONG_TASK_SEEDS.chain(LONG_TASK_REGRESSION_SEEDS).collect(),
        Vec::from_iter,
    );
    run_long_tasks(seeds, &[]);
}

/// Guards against the same where instances delegate jobs.
#[test]
fn delegated_jobs_keep_the_promises_while_tasks_are_long() {
    let seeds = requested_seeds().map_or_else(
        || {
            LONG_TASK_SEEDS
                .chain(LONG_DELEGATED_REGRESSION_SEEDS)
                .collect()
        },
        Vec::from_iter,
    );
    run_long_tasks(seeds, &UNEQUAL_CAPACITIES);
}

/// Guards against a run that no home claims and that is still kept alive when its caller comes again.
#[test]
fn unclaimed_runs_end_before_their_callers_come_again() {
    run_long_tasks(UNCLAIMED_RUN_SEEDS, &[]);
}

/// Guards against a run of a delegated job that is still kept alive when its caller comes again.
#[test]
fn runs_of_delegated_jobs_end_before_their_callers_come_again() {
    run_long_tasks(OUTLIVING_JOB_SEEDS, &UNEQUAL_CAPACITIES);
}

fn run_long_tasks(seeds: impl IntoIterator<Item = u64>, capacities: &[u32]) {
    run_scenarios(seeds, |seed| Scenario::with_long_tasks(seed, capacities));
}

fn run_seeds(seeds: impl IntoIterator<Item = u64>, caller_wait_ms: u64, capacities: &[u32]) {
    run_scenarios(seeds, |seed| {
        Scenario::start(seed, caller_wait_ms, capacities)
    });
}

fn run_scenarios(seeds: impl IntoIterator<Item = u64>, start: impl Fn(u64) -> Scenario) {
    let mut failed = Vec::new();
    for seed in seeds {
        let mut scenario = start(seed);
        scenario.run();
        let violations = scenario.site.violations();
        let unanswered = &scenario.unanswered;
        let long_leases = scenario.site.long_leases();
        if !violations.is_empty() || !unanswered.is_empty() || !long_leases.is_empty() {
            failed.push(format!(
                "seed {seed}: {violations:?}, no answer: {unanswered:?}, leases: {long_leases:?}"
            ));
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}
