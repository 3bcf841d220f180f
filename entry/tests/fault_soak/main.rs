//! Injects random faults, one at a time and overlapping, into a site of real processes, and checks
//! the promises to users against what callers and upstreams observe.
//!
//! There are four scenarios: short tasks with faults of all kinds; tasks that may outlast a lease,
//! whose callers wait longer and drop connections, with faults at short intervals; such tasks on
//! upstreams whose processes end, beside resets, cuts and killed instances; and high load in two data centres
//! whose instances have unequal processor capacities, on three queues of different priorities, with bursts and
//! with evacuations of a data centre.
//!
//! `FAULT_SOAK_SEEDS=100..150` runs other seeds, `FAULT_SOAK_STEPS=60` injects more faults per
//! seed, and `FAULT_SOAK_INSTANCES=24` starts more instances. There are two upstreams per instance.

mod caller;
mod evacuation;
mod fault;
mod scenario;

use std::collections::BTreeSet;
use std::env;
use std::error::Error;
use std::ops::Range;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use almondhead_net::HttpClient;
use almondhead_net::HttpSettings;
use almondhead_platform_standins::CallerAnswer;
use almondhead_platform_standins::ProcessSite;
use almondhead_platform_standins::RunSpan;
use almondhead_platform_standins::submit_over;
use almondhead_testsupport::run_site::run_job;
use almondhead_testsupport::site::TestResult;
use rand::SeedableRng;
use rand::rngs::StdRng;
use smol::Task;
use smol::Timer;

use crate::caller::FaultSpan;
use crate::caller::SentRequest;
use crate::caller::SoakState;
use crate::caller::lock;
use crate::caller::run_caller;
use crate::evacuation::late_starts;
use crate::fault::Fault;
use crate::fault::begin_fault;
use crate::fault::end_due_faults_until;
use crate::fault::ended_or_frozen_instance;
use crate::fault::has_conflict;
use crate::scenario::CALLER_WAIT;
use crate::scenario::Scenario;

/// Wait between two checks for faults that are due or connections that are to be dropped.
pub(crate) const POLL_WAIT: Duration = Duration::from_millis(10);

/// Within what time after the last fault every instance must serve again: the users' bound for
/// recovery after all instances died.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

/// How long after the last caller has gone runs may remain: a lease and the time until its expiry
/// is noticed.
const RUN_END_TIMEOUT: Duration = Duration::from_secs(3);

pub(crate) type SharedState = Arc<Mutex<SoakState>>;

/// Describes a run, with times in milliseconds since the start of the site.
fn span_text(span: &RunSpan, started_at: Instant) -> String {
    let ms = |at: Instant| at.saturating_duration_since(started_at).as_secs_f64() * 1_000.0;
    let RunSpan { run, is_done, .. } = span;
    format!(
        "#{run} {:.1} to {:.1} ms, done {is_done}",
        ms(span.started_at),
        ms(span.ended_at)
    )
}

/// Describes each violation of a promise that callers or upstreams saw.
fn promise_violations(site: &ProcessSite, state: &SoakState, started_at: Instant) -> Vec<String> {
    let mut violations = Vec::new();
    for [one, other] in site.overlaps() {
        let task = &one.task;
        let (one, other) = (span_text(&one, started_at), span_text(&other, started_at));
        violations.push(format!("{task} ran twice at the same time: {one}, {other}"));
    }
    let spans = site.spans_by_task();
    let ran: BTreeSet<&str> = spans.keys().filter_map(|task| task.get(..16)).collect();
    let done_tasks = |job: &str| {
        let tasks_of_job = spans.iter().filter(|(task, _)| task.starts_with(job));
        let done = tasks_of_job.filter(|(_, spans)| spans.iter().any(|span| span.is_done));
        done.count()
    };
    for request in &state.requests {
        let SentRequest { job, tasks, .. } = request;
        let Some(answer) = &request.answer else {
            if is_unanswered(request, state) {
                violations.push(format!("no answer from a healthy instance: {request:?}"));
            } else if is_cut_off_by_stop(request, state) {
                violations.push(format!("answer cut off by a planned stop: {request:?}"));
            }
            continue;
        };
        let is_completed = answer.state.as_deref() == Some("completed");
        if is_completed && done_tasks(job) != *tasks as usize {
            violations.push(format!(
                "{job} was answered as completed with {} of {tasks} tasks done",
                done_tasks(job)
            ));
        }
        let is_refused = matches!(answer.status, 429 | 503);
        if is_refused && request.submission_number == 1 && ran.contains(job.as_str()) {
            violations.push(format!("{job} ran although it was refused: {answer:?}"));
        }
        let is_failed = answer.state.as_deref() == Some("failed");
        if is_failed && request.submission_number == 1 && done_tasks(job) == *tasks as usize {
            violations.push(format!("{job} was answered as failed with all tasks done"));
        }
        if is_home_lost_by_stop(request, state) {
            violations.push(format!("home lost by a planned stop: {request:?}"));
        }
        if is_refused && answer.retry_after_s.is_none() {
            violations.push(format!("{job} was refused without Retry-After: {answer:?}"));
        }
    }
    violations
}

/// Returns whether an instance that was healthy throughout left a request without an answer.
fn is_unanswered(request: &SentRequest, state: &SoakState) -> bool {
    let healthy_since = state.healthy_since[request.instance];
    !request.is_broken && healthy_since.is_some_and(|since| since < request.sent_at)
}

/// Returns the faults that ended or froze the process of an instance while a request waited.
fn process_faults_during<'a>(
    request: &'a SentRequest,
    state: &'a SoakState,
) -> impl Iterator<Item = &'a FaultSpan> {
    state.fault_spans.iter().filter(|(fault, from, until)| {
        ended_or_frozen_instance(*fault).is_some()
            && *from <= request.ended_at
            && until.is_none_or(|until| until >= request.sent_at)
    })
}

/// Returns whether a request got no answer from an instance that was stopped after the request was sent,
/// with no other fault of its process meanwhile.
fn is_cut_off_by_stop(request: &SentRequest, state: &SoakState) -> bool {
    let own = process_faults_during(request, state)
        .filter(|span| ended_or_frozen_instance(span.0) == Some(request.instance));
    let own: Vec<&FaultSpan> = own.collect();
    let is_stop = |span: &&FaultSpan| matches!(span.0, Fault::Stop(_)) && span.1 > request.sent_at;
    !request.is_broken && !own.is_empty() && own.iter().all(is_stop)
}

/// Returns whether a delegated job was given up because of its home, while instances were stopped but no other
/// fault ended or froze one.
fn is_home_lost_by_stop(request: &SentRequest, state: &SoakState) -> bool {
    let answer = request.answer.as_ref();
    let reason = answer.and_then(|answer| answer.reason.as_deref());
    let faults: Vec<&FaultSpan> = process_faults_during(request, state).collect();
    let is_stop = |span: &&FaultSpan| matches!(span.0, Fault::Stop(_));
    reason == Some("home_lost") && !faults.is_empty() && faults.iter().all(is_stop)
}

/// Checks that every instance becomes ready and completes a job within `RECOVERY_TIMEOUT`.
async fn check_recovery(site: &mut ProcessSite, seed: u64) -> TestResult {
    let client = HttpClient::new(HttpSettings::default());
    let until = Instant::now() + RECOVERY_TIMEOUT;
    for number in 0..site.instances.len() {
        site.wait_until_ready(number).await?;
        for attempt in 0_u64.. {
            let job = (seed << 32) + ((number as u64) << 16) + attempt;
            let path = format!("/look/{job:016x}");
            let address = site.instances[number].caller_address;
            let spec = run_job(4, 6_800, 60);
            let answer = submit_over(&client, address, &path, &spec, CALLER_WAIT).await;
            let answer = answer.ok();
            let state = answer.as_ref().and_then(|answer| answer.state.as_deref());
            if state == Some("completed") {
                break;
            }
            if Instant::now() > until {
                return Err(format!("entry-{number} completed no job in time: {answer:?}").into());
            }
            Timer::after(Duration::from_millis(100)).await;
        }
    }
    Ok(())
}

/// Reads a number from an environment variable.
fn number_from_env(name: &str, default: u64) -> u64 {
    let text = env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Returns the seeds to run: those of `FAULT_SOAK_SEEDS`, by default those of CI.
fn seeds(scenario: Scenario) -> Vec<u64> {
    let chosen = env::var("FAULT_SOAK_SEEDS").ok();
    let range = chosen.and_then(|text| {
        let (from, to) = text.split_once("..")?;
        let range: Range<u64> = from.parse().ok()?..to.parse().ok()?;
        Some(range.collect())
    });
    range.unwrap_or_else(|| scenario.seeds())
}

/// Injects the faults of a seed and waits until all have ended. Returns each with its begin since
/// `started_at` and its duration, in milliseconds.
async fn inject_faults(
    site: &mut ProcessSite,
    state: &SharedState,
    scenario: Scenario,
    seed: u64,
    started_at: Instant,
) -> Result<Vec<(u128, Fault, u128)>, Box<dyn Error>> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut active: Vec<(Fault, Instant)> = Vec::new();
    let mut injected = Vec::new();
    for _ in 0..number_from_env("FAULT_SOAK_STEPS", scenario.steps()) {
        let fault = scenario.draw_fault(&mut rng, site);
        let lasts = scenario.fault_duration(&mut rng, fault);
        let interval = scenario.fault_interval(&mut rng);
        if !active.iter().any(|(other, _)| has_conflict(fault, *other)) {
            injected.push((started_at.elapsed().as_millis(), fault, lasts.as_millis()));
            begin_fault(site, state, fault).await?;
            active.push((fault, Instant::now() + lasts));
        }
        end_due_faults_until(site, state, &mut active, Instant::now() + interval).await?;
    }
    let injection_ended_at = Instant::now();
    for (_, until) in &mut active {
        *until = injection_ended_at.min(*until);
    }
    while !active.is_empty() {
        end_due_faults_until(site, state, &mut active, Instant::now() + POLL_WAIT).await?;
    }
    Ok(injected)
}

/// Runs one seed of a scenario.
async fn run_seed(scenario: Scenario, seed: u64) -> TestResult {
    let instances = number_from_env("FAULT_SOAK_INSTANCES", scenario.instances()) as usize;
    let layout = scenario.layout();
    let mut site = ProcessSite::start_with_layout(layout, instances, instances * 2).await?;
    let started_at = Instant::now();
    let state = SharedState::default();
    {
        let mut state = lock(&state);
        state.addresses = site.instances.iter().map(|at| at.caller_address).collect();
        state.healthy_since = vec![Some(started_at); instances];
        state.callers_reset_at = vec![None; instances];
    }
    let usual = scenario.callers();
    let callers = (0..usual + scenario.burst_callers()).map(|caller| {
        let seed = seed * 1_000 + caller;
        let is_in_burst = caller >= usual;
        smol::spawn(run_caller(Arc::clone(&state), scenario, seed, is_in_burst))
    });
    let callers: Vec<Task<()>> = callers.collect();
    let injected = inject_faults(&mut site, &state, scenario, seed, started_at).await?;
    if let Err(error) = check_recovery(&mut site, seed).await {
        print_logs(&site, &state);
        return Err(format!("after the faults {injected:?}: {error}").into());
    }
    lock(&state).is_finished = true;
    for caller in callers {
        caller.await;
    }
    Timer::after(RUN_END_TIMEOUT).await;
    let mut violations = promise_violations(&site, &lock(&state), started_at);
    let running: usize = site
        .upstreams
        .iter()
        .map(|upstream| upstream.running())
        .sum();
    let long_leases = count_log_lines(&site, &lock(&state), "lease outlasts the pause");
    if long_leases > 0 {
        violations.push(format!(
            "{long_leases} leases outlast the pause of a caller"
        ));
    }
    if running > 0 {
        violations.push(format!("{running} runs left after {RUN_END_TIMEOUT:?}"));
    }
    let (late_starts, evacuations) = late_starts(&site, &lock(&state));
    violations.extend(late_starts.iter().map(|(span, after)| {
        let (task, text) = (&span.task, span_text(span, started_at));
        format!("{task} started {after:?} after an evacuation: {text}")
    }));
    if scenario == Scenario::HighLoad {
        let counts = answer_counts(&site, &lock(&state));
        println!("{evacuations} evacuations checked, {counts}");
    }
    let requests = lock(&state).requests.len();
    println!(
        "{scenario:?} seed {seed}: {} faults, {requests} requests, {} broken promises",
        injected.len(),
        violations.len()
    );
    if violations.is_empty() {
        return Ok(());
    }
    print_logs(&site, &state);
    Err(format!("after the faults {injected:?}: {violations:#?}").into())
}

/// Returns the number of log lines of all processes so far that contain a text.
fn count_log_lines(site: &ProcessSite, state: &SoakState, text: &str) -> usize {
    let running = site
        .instances
        .iter()
        .flat_map(|instance| instance.process.output());
    let lines = running.chain(state.ended_process_logs.iter().cloned());
    lines.filter(|line| line.contains(text)).count()
}

/// Describes how many jobs were delegated, completed, failed and refused.
fn answer_counts(site: &ProcessSite, state: &SoakState) -> String {
    let delegated = count_log_lines(site, state, "job delegated");
    let requests = state.requests.iter();
    let answers: Vec<&CallerAnswer> = requests.filter_map(|it| it.answer.as_ref()).collect();
    let count = |is_counted: &dyn Fn(&CallerAnswer) -> bool| {
        answers.iter().filter(|answer| is_counted(answer)).count()
    };
    let in_state = |name| count(&|answer| answer.state.as_deref() == Some(name));
    let refused = count(&|answer| matches!(answer.status, 429 | 503));
    format!(
        "{delegated} jobs delegated, {} completed, {} failed, {refused} refused",
        in_state("completed"),
        in_state("failed")
    )
}

fn print_logs(site: &ProcessSite, state: &SharedState) {
    for line in &lock(state).ended_process_logs {
        println!("{line}");
    }
    for instance in &site.instances {
        for line in instance.process.output() {
            println!("{line}");
        }
    }
}

/// Runs all seeds of a scenario and fails if one of them failed.
fn run_seeds(scenario: Scenario) {
    let mut failed = Vec::new();
    for seed in seeds(scenario) {
        if let Err(error) = smol::block_on(run_seed(scenario, seed)) {
            println!("{scenario:?} seed {seed} failed: {error}");
            failed.push(format!("seed {seed}: {error}"));
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

#[test]
fn promises_hold_under_random_faults() {
    run_seeds(Scenario::ShortTasks);
}

#[test]
fn promises_hold_when_upstreams_crash() {
    run_seeds(Scenario::Crashes);
}

#[test]
fn promises_hold_with_long_tasks() {
    run_seeds(Scenario::LongTasks);
}

/// Guards against starts in an evacuated data centre, wrong or missing answers to delegated jobs, and refusals
/// under overload of jobs that ran.
#[test]
fn promises_hold_under_high_load() {
    run_seeds(Scenario::HighLoad);
}
