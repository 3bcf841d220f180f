//! Random faults on a site of whole processes, in series and overlapping, and the users' promises
//! checked from what callers and upstreams see.
//!
//! `FAULT_SOAK_SEEDS=100..150` plays other seeds, `FAULT_SOAK_STEPS=60` more faults of each, and
//! `FAULT_SOAK_INSTANCES=24` more instances; upstreams are twice as many.

use std::collections::BTreeMap;
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

use almondhead_net::HttpClient;
use almondhead_net::HttpSettings;
use almondhead_platform_standins::CallerAnswer;
use almondhead_platform_standins::OrderFate;
use almondhead_platform_standins::ProcessSite;
use almondhead_platform_standins::RunSpan;
use almondhead_platform_standins::StoreFault;
use almondhead_platform_standins::submit_over;
use almondhead_testsupport::ProxyFaults;
use almondhead_testsupport::run_site::run_job;
use almondhead_testsupport::site::TestResult;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use smol::Task;
use smol::Timer;

/// The seeds played in CI.
const SEEDS: Range<u64> = 1..3;

/// Seeds that failed once, played in CI too.
///
/// 3, 4 and 35: an instance that came back at a new address had no queue for it. 3 and 5: callers
/// sent a job again at once, while a run of it was being stopped or a held start took effect.
const FAILED_SEEDS: [u64; 4] = [3, 4, 5, 35];

/// The faults of a seed played in CI.
const STEPS: u64 = 12;

const INSTANCES: u64 = 3;
const CALLERS: usize = 6;

/// How long a caller waits, and how long after a lost answer it sends the job again.
const CALLER_WAIT: Duration = Duration::from_millis(1_500);
const RESEND_AFTER: Duration = Duration::from_millis(1_300);

/// How long after the last fault every instance must serve again, as the users' bound for the
/// loss of everything.
const RECOVERY: Duration = Duration::from_secs(12);

/// How long after the last caller has left nothing may run: a lease and the time to notice.
const QUIET: Duration = Duration::from_secs(3);

/// What a caller saw of one job.
#[derive(Debug)]
struct Asked {
    job: String,
    tasks: u32,
    instance: usize,
    sent_at: Instant,
    sent_times: u32,
    answer: Option<CallerAnswer>,
}

/// What callers and faults share.
#[derive(Default)]
struct Board {
    addresses: Vec<SocketAddr>,
    asked: Vec<Asked>,
    /// Since when an instance has been sound; none from the time at which a signal of ours ends it.
    sound_since: Vec<Option<Instant>>,
    next_job: u64,
    is_over: bool,
}

type SharedBoard = Arc<Mutex<Board>>;

fn lock(board: &SharedBoard) -> MutexGuard<'_, Board> {
    board.lock().unwrap_or_else(PoisonError::into_inner)
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill(usize),
    Stop(usize),
    Freeze(usize),
    StoreAway(StoreFault),
    HistoryGone,
    StoreCut(usize),
    StoreCutOneWay(usize),
    StoreSlow(usize),
    StoreReset(usize),
    UpstreamCut(usize),
    UpstreamCutOneWay(usize),
    UpstreamSlow(usize),
    UpstreamReset(usize),
    Orders(usize, OrderFate),
    FailsAll(usize),
    UpstreamRestart(usize),
    Change,
}

fn draw(rng: &mut StdRng, site: &ProcessSite) -> Fault {
    let instance = rng.random_range(0..site.instances.len());
    let upstream = rng.random_range(0..site.upstreams.len());
    let faults = [
        Fault::Kill(instance),
        Fault::Stop(instance),
        Fault::Freeze(instance),
        Fault::StoreAway(StoreFault::Busy),
        Fault::StoreAway(StoreFault::Silent),
        Fault::StoreAway(StoreFault::LosesAnswers),
        Fault::HistoryGone,
        Fault::StoreCut(instance),
        Fault::StoreCutOneWay(instance),
        Fault::StoreSlow(instance),
        Fault::StoreReset(instance),
        Fault::UpstreamCut(upstream),
        Fault::UpstreamCutOneWay(upstream),
        Fault::UpstreamSlow(upstream),
        Fault::UpstreamReset(upstream),
        Fault::Orders(upstream, OrderFate::AnswerLost),
        Fault::Orders(upstream, OrderFate::Lost),
        Fault::Orders(upstream, OrderFate::Unhealthy),
        Fault::FailsAll(upstream),
        Fault::UpstreamRestart(upstream),
        Fault::Change,
    ];
    faults[rng.random_range(0..faults.len())]
}

fn delayed(delay_ms: u64) -> ProxyFaults {
    ProxyFaults {
        delay_ms,
        ..ProxyFaults::default()
    }
}

fn deaf() -> ProxyFaults {
    ProxyFaults {
        black_hole_answers: true,
        ..ProxyFaults::default()
    }
}

fn begin(site: &mut ProcessSite, board: &SharedBoard, fault: Fault) -> TestResult {
    if let Fault::Kill(at) | Fault::Stop(at) | Fault::Freeze(at) = fault {
        lock(board).sound_since[at] = None;
    }
    match fault {
        Fault::Kill(at) => site.instances[at].process.kill9()?,
        Fault::Stop(at) => site.instances[at].process.terminate()?,
        Fault::Freeze(at) => site.instances[at].process.freeze()?,
        Fault::StoreAway(how) => site.store.set_fault(how),
        Fault::HistoryGone => site.store.drop_history(),
        Fault::StoreCut(at) => site.store_proxies[at].set_faults(ProxyFaults::black_hole()),
        Fault::StoreCutOneWay(at) => site.store_proxies[at].set_faults(deaf()),
        Fault::StoreSlow(at) => site.store_proxies[at].set_faults(delayed(200)),
        Fault::StoreReset(at) => site.store_proxies[at].cut_all(),
        Fault::UpstreamCut(at) => site.upstream_proxies[at].set_faults(ProxyFaults::black_hole()),
        Fault::UpstreamCutOneWay(at) => site.upstream_proxies[at].set_faults(deaf()),
        Fault::UpstreamSlow(at) => site.upstream_proxies[at].set_faults(delayed(60)),
        Fault::UpstreamReset(at) => site.upstream_proxies[at].cut_all(),
        Fault::Orders(at, fate) => site.upstreams[at].set_fate(fate),
        Fault::FailsAll(at) => site.upstreams[at].set_fails_all(true),
        Fault::UpstreamRestart(at) => {
            site.upstreams[at].restart();
            site.list_upstream(at);
        }
        Fault::Change => site.put_intended(),
    }
    Ok(())
}

async fn end(site: &mut ProcessSite, board: &SharedBoard, fault: Fault) -> TestResult {
    match fault {
        Fault::Kill(at) => restart(site, board, at).await?,
        Fault::Stop(at) => {
            let process = &mut site.instances[at].process;
            process.wait_for_exit(Duration::from_secs(7)).await?;
            restart(site, board, at).await?;
        }
        Fault::Freeze(at) => {
            site.instances[at].process.thaw()?;
            lock(board).sound_since[at] = Some(Instant::now());
        }
        Fault::StoreAway(_) => site.store.set_fault(StoreFault::None),
        Fault::StoreCut(at) | Fault::StoreCutOneWay(at) | Fault::StoreSlow(at) => {
            site.store_proxies[at].heal().await?;
        }
        Fault::UpstreamCut(at) | Fault::UpstreamCutOneWay(at) | Fault::UpstreamSlow(at) => {
            site.upstream_proxies[at].heal().await?;
        }
        Fault::Orders(at, _) => site.upstreams[at].set_fate(OrderFate::Answered),
        Fault::FailsAll(at) => site.upstreams[at].set_fails_all(false),
        _ => {}
    }
    Ok(())
}

async fn restart(site: &mut ProcessSite, board: &SharedBoard, at: usize) -> TestResult {
    site.instances[at] = site.start_instance(at)?;
    lock(board).addresses[at] = site.instances[at].callers;
    // Its host is new.
    site.put_intended();
    Ok(())
}

/// Whether two faults act on the same thing, so that the end of one would end the other.
fn clash(one: Fault, other: Fault) -> bool {
    let place = |fault| match fault {
        Fault::Kill(at) | Fault::Stop(at) | Fault::Freeze(at) => ("instance", at),
        Fault::StoreAway(_) => ("store", 0),
        Fault::StoreCut(at) | Fault::StoreCutOneWay(at) | Fault::StoreSlow(at) => ("way", at),
        Fault::UpstreamCut(at) | Fault::UpstreamCutOneWay(at) | Fault::UpstreamSlow(at) => {
            ("upstream's way", at)
        }
        Fault::Orders(at, _) => ("orders", at),
        Fault::FailsAll(at) | Fault::UpstreamRestart(at) => ("upstream", at),
        _ => ("nothing", 0),
    };
    place(one) == place(other) && place(one).0 != "nothing"
}

/// Submits jobs one after another, and sends those again whose answer was lost.
async fn call(board: SharedBoard, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let client = HttpClient::new(HttpSettings::default());
    while !lock(&board).is_over {
        let tasks = rng.random_range(1..=6);
        let number = {
            let mut board = lock(&board);
            board.next_job += 1;
            board.next_job
        };
        let job = format!("{number:016x}");
        for sent_times in 1..=2 {
            let (instance, address) = {
                let board = lock(&board);
                let instance = rng.random_range(0..board.addresses.len());
                (instance, board.addresses[instance])
            };
            let sent_at = Instant::now();
            let spec = run_job(tasks, 6_800, 60);
            let path = format!("/look/{job}");
            let answer = submit_over(&client, address, &path, &spec, CALLER_WAIT).await;
            let answer = answer.ok();
            let is_lost = answer.as_ref().is_none_or(|answer| answer.status >= 504);
            lock(&board).asked.push(Asked {
                job: job.clone(),
                tasks,
                instance,
                sent_at,
                sent_times,
                answer,
            });
            if !is_lost {
                break;
            }
            Timer::after(RESEND_AFTER).await;
        }
        Timer::after(Duration::from_millis(rng.random_range(5..40))).await;
    }
}

fn spans(site: &ProcessSite) -> BTreeMap<String, Vec<RunSpan>> {
    let mut by_task: BTreeMap<String, Vec<RunSpan>> = BTreeMap::new();
    for span in site.upstreams.iter().flat_map(|upstream| upstream.spans()) {
        by_task.entry(span.task.clone()).or_default().push(span);
    }
    for spans in by_task.values_mut() {
        spans.sort_by_key(|span| span.from);
    }
    by_task
}

/// The promises that what callers and upstreams saw has broken.
fn broken_promises(site: &ProcessSite, board: &Board) -> Vec<String> {
    let mut broken = Vec::new();
    let spans = spans(site);
    for (task, spans) in &spans {
        for pair in spans.windows(2) {
            if pair[1].from < pair[0].to {
                broken.push(format!("{task} ran twice at a time: {pair:?}"));
            }
        }
    }
    let ran: BTreeSet<&str> = spans.keys().filter_map(|task| task.get(..16)).collect();
    let done = |job: &str| {
        let of_job = spans.iter().filter(|(task, _)| task.starts_with(job));
        let done = of_job.filter(|(_, spans)| spans.iter().any(|span| span.is_done));
        done.count()
    };
    for asked in &board.asked {
        let Asked { job, tasks, .. } = asked;
        let Some(answer) = &asked.answer else {
            if is_unanswered(asked, board) {
                broken.push(format!("no answer from a sound instance: {asked:?}"));
            }
            continue;
        };
        let is_completed = answer.state.as_deref() == Some("completed");
        if is_completed && done(job) != *tasks as usize {
            broken.push(format!(
                "{job} completed with {} of {tasks} done",
                done(job)
            ));
        }
        let is_refused = matches!(answer.status, 429 | 503);
        if is_refused && asked.sent_times == 1 && ran.contains(job.as_str()) {
            broken.push(format!("{job} ran though it was refused: {answer:?}"));
        }
        if is_refused && answer.retry_after_s.is_none() {
            broken.push(format!("{job} refused without Retry-After: {answer:?}"));
        }
    }
    broken
}

/// Whether an instance that was sound all the while left a request without an answer.
fn is_unanswered(asked: &Asked, board: &Board) -> bool {
    let sound_since = board.sound_since[asked.instance];
    sound_since.is_some_and(|since| since < asked.sent_at)
}

/// Waits until every instance is ready and completes a job.
async fn recover(site: &mut ProcessSite, seed: u64) -> TestResult {
    let client = HttpClient::new(HttpSettings::default());
    let until = Instant::now() + RECOVERY;
    for number in 0..site.instances.len() {
        site.wait_until_ready(number).await?;
        for attempt in 0_u64.. {
            let job = (seed << 32) + ((number as u64) << 16) + attempt;
            let path = format!("/look/{job:016x}");
            let address = site.instances[number].callers;
            let spec = run_job(4, 6_800, 60);
            let answer = submit_over(&client, address, &path, &spec, CALLER_WAIT).await;
            let answer = answer.ok();
            let state = answer.as_ref().and_then(|answer| answer.state.as_deref());
            if state == Some("completed") {
                break;
            }
            if Instant::now() > until {
                return Err(format!("entry-{number} does not serve again: {answer:?}").into());
            }
            Timer::after(Duration::from_millis(100)).await;
        }
    }
    Ok(())
}

fn setting(name: &str, usual: u64) -> u64 {
    let text = env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(usual)
}

fn seeds() -> Vec<u64> {
    let chosen = env::var("FAULT_SOAK_SEEDS").ok();
    let range = chosen.and_then(|text| {
        let (from, to) = text.split_once("..")?;
        let range: Range<u64> = from.parse().ok()?..to.parse().ok()?;
        Some(range.collect())
    });
    range.unwrap_or_else(|| SEEDS.chain(FAILED_SEEDS).collect())
}

async fn play(seed: u64) -> TestResult {
    let instances = setting("FAULT_SOAK_INSTANCES", INSTANCES) as usize;
    let mut site = ProcessSite::start_behind_proxies(instances, instances * 2).await?;
    let started_at = Instant::now();
    let board = SharedBoard::default();
    {
        let mut board = lock(&board);
        board.addresses = site.instances.iter().map(|at| at.callers).collect();
        board.sound_since = vec![Some(started_at); instances];
    }
    let callers = (0..CALLERS as u64).map(|caller| {
        let seed = seed * 1_000 + caller;
        smol::spawn(call(Arc::clone(&board), seed))
    });
    let callers: Vec<Task<()>> = callers.collect();
    let mut rng = StdRng::seed_from_u64(seed);
    let mut active: Vec<(Fault, Instant)> = Vec::new();
    let mut played = Vec::new();
    for _ in 0..setting("FAULT_SOAK_STEPS", STEPS) {
        let fault = draw(&mut rng, &site);
        let lasts = Duration::from_millis(rng.random_range(200..2_000));
        let gap = Duration::from_millis(rng.random_range(100..900));
        if !active.iter().any(|(other, _)| clash(fault, *other)) {
            played.push((started_at.elapsed().as_millis(), fault, lasts.as_millis()));
            begin(&mut site, &board, fault)?;
            active.push((fault, Instant::now() + lasts));
        }
        Timer::after(gap).await;
        let now = Instant::now();
        for (fault, _) in active.extract_if(.., |(_, until)| *until <= now) {
            end(&mut site, &board, fault).await?;
        }
    }
    for (fault, _) in active {
        end(&mut site, &board, fault).await?;
    }
    if let Err(error) = recover(&mut site, seed).await {
        print_logs(&site);
        return Err(format!("faults {played:?}: {error}").into());
    }
    lock(&board).is_over = true;
    for caller in callers {
        caller.await;
    }
    Timer::after(QUIET).await;
    let mut broken = broken_promises(&site, &lock(&board));
    let left: usize = site
        .upstreams
        .iter()
        .map(|upstream| upstream.running())
        .sum();
    if left > 0 {
        broken.push(format!("{left} runs left"));
    }
    let asked = lock(&board).asked.len();
    println!(
        "seed {seed}: {} faults, {asked} requests, {} broken promises",
        played.len(),
        broken.len()
    );
    if broken.is_empty() {
        return Ok(());
    }
    print_logs(&site);
    Err(format!("faults {played:?}: {broken:#?}").into())
}

fn print_logs(site: &ProcessSite) {
    for instance in &site.instances {
        for line in instance.process.output() {
            println!("{line}");
        }
    }
}

#[test]
fn promises_hold_under_random_faults() -> TestResult {
    let mut failed = Vec::new();
    for seed in seeds() {
        if let Err(error) = smol::block_on(play(seed)) {
            println!("seed {seed} failed: {error}");
            failed.push(format!("seed {seed}: {error}"));
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
    Ok(())
}
