//! Injects random faults, one at a time and overlapping, into a site of real processes, and checks
//! the promises to users against what callers and upstreams observe.
//!
//! There are two scenarios: short tasks with faults of all kinds; and tasks that may outlast a
//! lease, whose callers wait longer and drop connections, with faults at short intervals.
//!
//! `FAULT_SOAK_SEEDS=100..150` runs other seeds, `FAULT_SOAK_STEPS=60` injects more faults per
//! seed, and `FAULT_SOAK_INSTANCES=24` starts more instances. There are two upstreams per instance.

use std::collections::BTreeSet;
use std::env;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use almondhead_lib::runs::job_spec::JobSpec;
use almondhead_net::HttpClient;
use almondhead_net::HttpSettings;
use almondhead_platform_standins::CallerAnswer;
use almondhead_platform_standins::OrderHandling;
use almondhead_platform_standins::ProcessSite;
use almondhead_platform_standins::RunSpan;
use almondhead_platform_standins::StoreFault;
use almondhead_platform_standins::submit_over;
use almondhead_testsupport::ProxyFaults;
use almondhead_testsupport::run_site::run_job;
use almondhead_testsupport::site::TestResult;
use futures_lite::future::or;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use smol::Task;
use smol::Timer;

/// Seeds that CI runs in each scenario.
const SEEDS: Range<u64> = 1..3;

/// Regression seeds of the scenario with short tasks, which CI runs too.
///
/// 3, 4 and 35: an instance that restarted at a new address had no queue for that address.
/// 3 and 5: callers resubmitted a job at once, while a run of it was being stopped or a delayed
/// start took effect.
const SHORT_REGRESSION_SEEDS: [u64; 4] = [3, 4, 5, 35];

/// Regression seeds of the scenario with long tasks, which CI runs too.
///
/// 1004 and 1111: reported ends of an earlier attempt, and batches of an owner that had restarted.
/// 1102: reported ends of an earlier attempt.
const LONG_REGRESSION_SEEDS: [u64; 3] = [1004, 1102, 1111];

/// Number of faults drawn per seed in CI.
const SHORT_STEPS: u64 = 12;
const LONG_STEPS: u64 = 24;

const INSTANCES: u64 = 3;
const SHORT_CALLERS: u64 = 6;
const LONG_CALLERS: u64 = 12;

/// How long a caller of a short job waits for the answer.
const CALLER_WAIT: Duration = Duration::from_millis(1_500);

/// How long after a lost answer a caller submits the job again.
const RESUBMIT_DELAY: Duration = Duration::from_millis(1_300);

/// How long `Fault::CutAndRestart` keeps the upstream unreachable after it restarts the instance.
const CUT_AFTER_RESTART: Duration = Duration::from_millis(900);

/// Wait between two checks for faults that are due or connections that are to be dropped.
const POLL_WAIT: Duration = Duration::from_millis(10);

/// How long an instance may still run after the duration of the `Fault::Stop` that signalled it.
const STOP_TIMEOUT: Duration = Duration::from_secs(7);

/// Within what time after the last fault every instance must serve again: the users' bound for
/// recovery after all instances died.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

/// How long after the last caller has gone runs may remain: a lease and the time until its expiry
/// is noticed.
const RUN_END_TIMEOUT: Duration = Duration::from_secs(3);

/// Which jobs are submitted and which faults are injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scenario {
    ShortTasks,
    LongTasks,
}

/// One submission of a job and its answer, as the caller saw it.
#[derive(Debug)]
struct SentRequest {
    job: String,
    tasks: u32,
    instance: usize,
    sent_at: Instant,
    /// 1 for the first submission of the job.
    submission_number: u32,
    /// Whether the caller or a fault dropped the connection.
    is_broken: bool,
    /// None without an answer.
    answer: Option<CallerAnswer>,
}

/// State shared by the callers and the fault injection. Vectors with an entry per instance are in
/// the order of the site's instances.
#[derive(Default)]
struct SoakState {
    /// Where each instance listens for callers.
    addresses: Vec<SocketAddr>,
    /// All submissions that have ended.
    requests: Vec<SentRequest>,
    /// Since when an instance has run undisturbed; none while it is frozen, and for good once a
    /// fault has ended it.
    healthy_since: Vec<Option<Instant>>,
    /// When the callers' connections to an instance were last reset.
    callers_reset_at: Vec<Option<Instant>>,
    /// The number of the last job submitted.
    last_job_number: u64,
    /// Log lines of processes that have ended.
    ended_process_logs: Vec<String>,
    /// Whether callers have to stop.
    is_finished: bool,
}

type SharedState = Arc<Mutex<SoakState>>;

fn lock(state: &SharedState) -> MutexGuard<'_, SoakState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A fault, with the index of the instance or upstream that it acts on.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// Kills an instance and later restarts it, with a new intended state.
    Kill(usize),
    /// Stops an instance by a signal and, once it has ended, restarts it with a new intended state.
    Stop(usize),
    /// Freezes an instance's process (`SIGSTOP`).
    Freeze(usize),
    /// The store fails for all instances.
    StoreUnavailable(StoreFault),
    /// The store loses its history of changes.
    StoreHistoryLost,
    /// Nothing passes between an instance and the store.
    StoreCut(usize),
    /// Answers of the store do not reach an instance.
    StoreCutOneWay(usize),
    /// Data between an instance and the store is delayed.
    StoreSlow(usize),
    /// Connections of an instance to the store are closed.
    StoreReset(usize),
    /// Nothing passes to or from an upstream.
    UpstreamCut(usize),
    /// Answers of an upstream do not arrive.
    UpstreamCutOneWay(usize),
    /// Data to and from an upstream is delayed.
    UpstreamSlow(usize),
    /// Connections to an upstream are closed.
    UpstreamReset(usize),
    /// An upstream loses, delays or refuses orders, or loses their answers.
    UpstreamOrders(usize, OrderHandling),
    /// All tasks fail on an upstream.
    UpstreamFailsTasks(usize),
    /// An upstream restarts.
    UpstreamRestart(usize),
    /// A new version of the intended state is written.
    NewIntendedState,
    /// Kills an instance and restarts it soon, without a new intended state.
    QuickRestart(usize),
    /// Callers drop their connections to an instance.
    CallersReset(usize),
    /// Cuts off an upstream (first index) and kills an instance (second index), which soon restarts
    /// while the upstream is still unreachable.
    CutAndRestart(usize, usize),
}

fn draw_for_short_tasks(rng: &mut StdRng, site: &ProcessSite) -> Fault {
    let instance = rng.random_range(0..site.instances.len());
    let upstream = rng.random_range(0..site.upstreams.len());
    let faults = [
        Fault::Kill(instance),
        Fault::Stop(instance),
        Fault::Freeze(instance),
        Fault::StoreUnavailable(StoreFault::Busy),
        Fault::StoreUnavailable(StoreFault::Silent),
        Fault::StoreUnavailable(StoreFault::LosesAnswers),
        Fault::StoreHistoryLost,
        Fault::StoreCut(instance),
        Fault::StoreCutOneWay(instance),
        Fault::StoreSlow(instance),
        Fault::StoreReset(instance),
        Fault::UpstreamCut(upstream),
        Fault::UpstreamCutOneWay(upstream),
        Fault::UpstreamSlow(upstream),
        Fault::UpstreamReset(upstream),
        Fault::UpstreamOrders(upstream, OrderHandling::AnswerLost),
        Fault::UpstreamOrders(upstream, OrderHandling::Lost),
        Fault::UpstreamOrders(upstream, OrderHandling::Unhealthy),
        Fault::UpstreamFailsTasks(upstream),
        Fault::UpstreamRestart(upstream),
        Fault::NewIntendedState,
    ];
    faults[rng.random_range(0..faults.len())]
}

fn draw_for_long_tasks(rng: &mut StdRng, site: &ProcessSite) -> Fault {
    let instance = rng.random_range(0..site.instances.len());
    let upstream = rng.random_range(0..site.upstreams.len());
    let faults = [
        Fault::Kill(instance),
        Fault::Stop(instance),
        Fault::Freeze(instance),
        Fault::QuickRestart(instance),
        Fault::QuickRestart(instance),
        Fault::CutAndRestart(upstream, instance),
        Fault::CutAndRestart(upstream, instance),
        Fault::CallersReset(instance),
        Fault::CallersReset(instance),
        Fault::StoreReset(instance),
        Fault::UpstreamCut(upstream),
        Fault::UpstreamCutOneWay(upstream),
        Fault::UpstreamCutOneWay(upstream),
        Fault::UpstreamReset(upstream),
        Fault::UpstreamOrders(upstream, OrderHandling::AnswerLost),
        Fault::UpstreamOrders(upstream, OrderHandling::Lost),
        Fault::UpstreamOrders(upstream, OrderHandling::Late),
        Fault::UpstreamRestart(upstream),
        Fault::NewIntendedState,
    ];
    faults[rng.random_range(0..faults.len())]
}

impl Scenario {
    fn draw_fault(self, rng: &mut StdRng, site: &ProcessSite) -> Fault {
        match self {
            Scenario::ShortTasks => draw_for_short_tasks(rng, site),
            Scenario::LongTasks => draw_for_long_tasks(rng, site),
        }
    }

    /// Draws how long a fault lasts.
    fn fault_duration(self, rng: &mut StdRng, fault: Fault) -> Duration {
        let range_ms = match (self, fault) {
            (_, Fault::QuickRestart(_) | Fault::CutAndRestart(..)) => 200..400,
            (
                Scenario::LongTasks,
                Fault::UpstreamCut(_) | Fault::UpstreamCutOneWay(_) | Fault::UpstreamOrders(..),
            ) => 1_000..3_000,
            _ => 200..2_000,
        };
        Duration::from_millis(rng.random_range(range_ms))
    }

    /// Draws the time until the next fault.
    fn fault_interval(self, rng: &mut StdRng) -> Duration {
        let range_ms = match self {
            Scenario::ShortTasks => 100..900,
            Scenario::LongTasks if rng.random_bool(0.5) => 0..150,
            Scenario::LongTasks => 200..900,
        };
        Duration::from_millis(rng.random_range(range_ms))
    }

    /// Draws a job. Returns it with its number of tasks and how long its caller waits.
    fn job(self, rng: &mut StdRng) -> (JobSpec, u32, Duration) {
        if self == Scenario::ShortTasks || rng.random_bool(0.4) {
            let tasks = rng.random_range(1..=6);
            return (run_job(tasks, 6_800, 60), tasks, CALLER_WAIT);
        }
        let tasks = rng.random_range(1..=2);
        let work_ms = rng.random_range(300..=1_600);
        let spec = JobSpec {
            payload: Arc::from(work_ms.to_string()),
            ..run_job(tasks, 6_800, work_ms)
        };
        let extra_ms = 3 * (work_ms * 8 / 5 + 60);
        (spec, tasks, CALLER_WAIT + Duration::from_millis(extra_ms))
    }

    /// Draws after what time a caller drops its connection; none if it waits for the answer.
    fn disconnects_after(self, rng: &mut StdRng) -> Option<Duration> {
        let disconnects = self == Scenario::LongTasks && rng.random_bool(0.15);
        disconnects.then(|| Duration::from_millis(rng.random_range(20..1_500)))
    }

    /// How often a job is submitted at most.
    fn max_submissions(self) -> u32 {
        match self {
            Scenario::ShortTasks => 2,
            Scenario::LongTasks => 3,
        }
    }

    fn callers(self) -> u64 {
        match self {
            Scenario::ShortTasks => SHORT_CALLERS,
            Scenario::LongTasks => LONG_CALLERS,
        }
    }

    fn steps(self) -> u64 {
        match self {
            Scenario::ShortTasks => SHORT_STEPS,
            Scenario::LongTasks => LONG_STEPS,
        }
    }

    fn seeds(self) -> Vec<u64> {
        match self {
            Scenario::ShortTasks => SEEDS.chain(SHORT_REGRESSION_SEEDS).collect(),
            Scenario::LongTasks => SEEDS.chain(LONG_REGRESSION_SEEDS).collect(),
        }
    }
}

/// Returns faults that delay data in both directions.
fn delayed(delay_ms: u64) -> ProxyFaults {
    ProxyFaults {
        delay_ms,
        ..ProxyFaults::default()
    }
}

/// Returns faults that let requests pass and hold answers back.
fn answers_black_holed() -> ProxyFaults {
    ProxyFaults {
        black_hole_answers: true,
        ..ProxyFaults::default()
    }
}

/// Returns the instance whose process a fault ends.
fn ended_instance(fault: Fault) -> Option<usize> {
    match fault {
        Fault::Kill(i) | Fault::Stop(i) | Fault::QuickRestart(i) | Fault::CutAndRestart(_, i) => {
            Some(i)
        }
        _ => None,
    }
}

/// Returns the instance whose process a fault ends or freezes.
fn ended_or_frozen_instance(fault: Fault) -> Option<usize> {
    match fault {
        Fault::Freeze(i) => Some(i),
        _ => ended_instance(fault),
    }
}

/// Begins a fault.
fn begin_fault(site: &mut ProcessSite, state: &SharedState, fault: Fault) -> TestResult {
    if let Some(i) = ended_or_frozen_instance(fault) {
        lock(state).healthy_since[i] = None;
    }
    match fault {
        Fault::Kill(i) | Fault::QuickRestart(i) => site.instances[i].process.kill9()?,
        Fault::CutAndRestart(upstream, i) => {
            site.upstream_proxies[upstream].set_faults(ProxyFaults::black_hole());
            site.instances[i].process.kill9()?;
        }
        Fault::CallersReset(i) => lock(state).callers_reset_at[i] = Some(Instant::now()),
        Fault::Stop(i) => site.instances[i].process.terminate()?,
        Fault::Freeze(i) => site.instances[i].process.freeze()?,
        Fault::StoreUnavailable(store_fault) => site.store.set_fault(store_fault),
        Fault::StoreHistoryLost => site.store.drop_history(),
        Fault::StoreCut(i) => site.store_proxies[i].set_faults(ProxyFaults::black_hole()),
        Fault::StoreCutOneWay(i) => site.store_proxies[i].set_faults(answers_black_holed()),
        Fault::StoreSlow(i) => site.store_proxies[i].set_faults(delayed(200)),
        Fault::StoreReset(i) => site.store_proxies[i].cut_all(),
        Fault::UpstreamCut(i) => site.upstream_proxies[i].set_faults(ProxyFaults::black_hole()),
        Fault::UpstreamCutOneWay(i) => site.upstream_proxies[i].set_faults(answers_black_holed()),
        Fault::UpstreamSlow(i) => site.upstream_proxies[i].set_faults(delayed(60)),
        Fault::UpstreamReset(i) => site.upstream_proxies[i].cut_all(),
        Fault::UpstreamOrders(i, handling) => site.upstreams[i].set_order_handling(handling),
        Fault::UpstreamFailsTasks(i) => site.upstreams[i].set_fails_all(true),
        Fault::UpstreamRestart(i) => {
            site.upstreams[i].restart();
            site.list_upstream(i);
        }
        Fault::NewIntendedState => site.put_intended(),
    }
    Ok(())
}

/// Ends a fault: restores connections and restarts processes.
async fn end_fault(site: &mut ProcessSite, state: &SharedState, fault: Fault) -> TestResult {
    if let Some(i) = ended_instance(fault) {
        let lines = site.instances[i].process.output();
        lock(state).ended_process_logs.extend(lines);
    }
    match fault {
        Fault::Kill(i) => restart_at_new_address(site, state, i).await?,
        Fault::QuickRestart(i) | Fault::CutAndRestart(_, i) => site.restart_instance(i)?,
        Fault::Stop(i) => {
            let process = &mut site.instances[i].process;
            process.wait_for_exit(Duration::ZERO).await?;
            restart_at_new_address(site, state, i).await?;
        }
        Fault::Freeze(i) => {
            site.instances[i].process.thaw()?;
            lock(state).healthy_since[i] = Some(Instant::now());
        }
        Fault::StoreUnavailable(_) => site.store.set_fault(StoreFault::None),
        Fault::StoreCut(i) | Fault::StoreCutOneWay(i) | Fault::StoreSlow(i) => {
            site.store_proxies[i].heal().await?;
        }
        Fault::UpstreamCut(i) | Fault::UpstreamCutOneWay(i) | Fault::UpstreamSlow(i) => {
            site.upstream_proxies[i].heal().await?;
        }
        Fault::UpstreamOrders(i, _) => {
            site.upstreams[i].set_order_handling(OrderHandling::Answered);
        }
        Fault::UpstreamFailsTasks(i) => site.upstreams[i].set_fails_all(false),
        _ => {}
    }
    Ok(())
}

/// Starts an instance again, at a new address.
async fn restart_at_new_address(
    site: &mut ProcessSite,
    state: &SharedState,
    index: usize,
) -> TestResult {
    site.instances[index] = site.start_instance(index)?;
    lock(state).addresses[index] = site.instances[index].caller_address;
    // Queues are matched by host, and its host has changed.
    site.put_intended();
    Ok(())
}

/// Returns whether a fault can end: its duration has passed, and a process that it stops has
/// exited or exceeded `STOP_TIMEOUT`.
fn is_due(site: &mut ProcessSite, (fault, until): (Fault, Instant)) -> bool {
    let now = Instant::now();
    let is_stopping = match fault {
        Fault::Stop(i) => now < until + STOP_TIMEOUT && site.instances[i].process.is_running(),
        _ => false,
    };
    until <= now && !is_stopping
}

/// Waits until a time and meanwhile ends the faults that are due.
async fn end_due_faults_until(
    site: &mut ProcessSite,
    state: &SharedState,
    active: &mut Vec<(Fault, Instant)>,
    until: Instant,
) -> TestResult {
    loop {
        let due = active.extract_if(.., |fault| is_due(site, *fault));
        for (fault, until) in due.collect::<Vec<_>>() {
            end_fault(site, state, fault).await?;
            if let Fault::CutAndRestart(upstream, _) = fault {
                active.push((Fault::UpstreamCut(upstream), until + CUT_AFTER_RESTART));
            }
        }
        if Instant::now() >= until {
            return Ok(());
        }
        Timer::after(POLL_WAIT).await;
    }
}

/// Returns whether two faults act on the same target, so that the end of one would end the other.
fn has_conflict(one: Fault, other: Fault) -> bool {
    if ended_or_frozen_instance(one).is_some()
        && ended_or_frozen_instance(one) == ended_or_frozen_instance(other)
    {
        return true;
    }
    let target = |fault| match fault {
        Fault::StoreUnavailable(_) => ("store", 0),
        Fault::StoreCut(i) | Fault::StoreCutOneWay(i) | Fault::StoreSlow(i) => {
            ("store connection", i)
        }
        Fault::UpstreamCut(i)
        | Fault::UpstreamCutOneWay(i)
        | Fault::UpstreamSlow(i)
        | Fault::CutAndRestart(i, _) => ("upstream connection", i),
        Fault::UpstreamOrders(i, _) => ("orders", i),
        Fault::UpstreamFailsTasks(i) | Fault::UpstreamRestart(i) => ("upstream", i),
        _ => ("none", 0),
    };
    target(one) == target(other) && target(one).0 != "none"
}

/// Waits until a fault resets the connection of a request or its caller drops it.
async fn wait_for_disconnect(
    state: &SharedState,
    instance: usize,
    sent_at: Instant,
    disconnects_at: Option<Instant>,
) {
    loop {
        let is_reset = lock(state).callers_reset_at[instance].is_some_and(|at| at >= sent_at);
        if is_reset || disconnects_at.is_some_and(|at| at <= Instant::now()) {
            return;
        }
        Timer::after(POLL_WAIT).await;
    }
}

/// Submits jobs one after another, and resubmits those whose answer was lost.
async fn run_caller(state: SharedState, scenario: Scenario, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let client = HttpClient::new(HttpSettings::default());
    while !lock(&state).is_finished {
        let (spec, tasks, wait) = scenario.job(&mut rng);
        let number = {
            let mut state = lock(&state);
            state.last_job_number += 1;
            state.last_job_number
        };
        let job = format!("{number:016x}");
        for submission_number in 1..=scenario.max_submissions() {
            let (instance, address) = {
                let state = lock(&state);
                let instance = rng.random_range(0..state.addresses.len());
                (instance, state.addresses[instance])
            };
            let sent_at = Instant::now();
            let disconnects_at = scenario
                .disconnects_after(&mut rng)
                .map(|after| sent_at + after);
            let path = format!("/look/{job}");
            let answered = async {
                let answer = submit_over(&client, address, &path, &spec, wait).await;
                (answer.ok(), false)
            };
            let disconnected = async {
                wait_for_disconnect(&state, instance, sent_at, disconnects_at).await;
                (None, true)
            };
            let (answer, is_broken) = or(answered, disconnected).await;
            let is_lost = answer.as_ref().is_none_or(|answer| answer.status >= 504);
            lock(&state).requests.push(SentRequest {
                job: job.clone(),
                tasks,
                instance,
                sent_at,
                submission_number,
                is_broken,
                answer,
            });
            if !is_lost {
                break;
            }
            Timer::after(RESUBMIT_DELAY).await;
        }
        Timer::after(Duration::from_millis(rng.random_range(5..40))).await;
    }
}

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

/// Runs one seed of a scenario.
async fn run_seed(scenario: Scenario, seed: u64) -> TestResult {
    let instances = number_from_env("FAULT_SOAK_INSTANCES", INSTANCES) as usize;
    let mut site = ProcessSite::start_behind_proxies(instances, instances * 2).await?;
    let started_at = Instant::now();
    let state = SharedState::default();
    {
        let mut state = lock(&state);
        state.addresses = site.instances.iter().map(|at| at.caller_address).collect();
        state.healthy_since = vec![Some(started_at); instances];
        state.callers_reset_at = vec![None; instances];
    }
    let callers = (0..scenario.callers()).map(|caller| {
        let seed = seed * 1_000 + caller;
        smol::spawn(run_caller(Arc::clone(&state), scenario, seed))
    });
    let callers: Vec<Task<()>> = callers.collect();
    let mut rng = StdRng::seed_from_u64(seed);
    let mut active: Vec<(Fault, Instant)> = Vec::new();
    let mut injected = Vec::new();
    for _ in 0..number_from_env("FAULT_SOAK_STEPS", scenario.steps()) {
        let fault = scenario.draw_fault(&mut rng, &site);
        let lasts = scenario.fault_duration(&mut rng, fault);
        let interval = scenario.fault_interval(&mut rng);
        if !active.iter().any(|(other, _)| has_conflict(fault, *other)) {
            injected.push((started_at.elapsed().as_millis(), fault, lasts.as_millis()));
            begin_fault(&mut site, &state, fault)?;
            active.push((fault, Instant::now() + lasts));
        }
        end_due_faults_until(&mut site, &state, &mut active, Instant::now() + interval).await?;
    }
    let injection_ended_at = Instant::now();
    for (_, until) in &mut active {
        *until = injection_ended_at.min(*until);
    }
    while !active.is_empty() {
        end_due_faults_until(&mut site, &state, &mut active, Instant::now() + POLL_WAIT).await?;
    }
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
    if running > 0 {
        violations.push(format!("{running} runs left after {RUN_END_TIMEOUT:?}"));
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
fn promises_hold_with_long_tasks() {
    run_seeds(Scenario::LongTasks);
}
