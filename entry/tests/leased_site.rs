//! Entry processes that dispatch leased runs, tested against stand-ins for the operators' platform.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use almondhead_platform_standins::CallerAnswer;
use almondhead_platform_standins::OrderHandling;
use almondhead_platform_standins::ProcessSite;
use almondhead_platform_standins::StoreFault;
use almondhead_platform_standins::submit;
use almondhead_testsupport::run_site::run_job;
use almondhead_testsupport::site::TestResult;
use futures_lite::future::or;
use smol::Timer;

const START_TIMEOUT: Duration = Duration::from_secs(20);
const CALLER_WAIT: Duration = Duration::from_millis(1_500);

/// Submits a job at an instance; returns none without an answer.
async fn submit_job(
    site: &ProcessSite,
    instance: usize,
    job: u64,
    tasks: u32,
) -> Option<CallerAnswer> {
    let path = format!("/look/{job:016x}");
    let address = site.instances[instance].caller_address;
    let job = run_job(tasks, 6_800, 60);
    submit(address, &path, &job, CALLER_WAIT).await.ok()
}

/// Returns how often each task was started on all upstreams together.
fn starts(site: &ProcessSite) -> BTreeMap<String, u64> {
    let mut starts = BTreeMap::new();
    for upstream in &site.upstreams {
        for (task, times) in upstream.starts() {
            *starts.entry(task).or_default() += times;
        }
    }
    starts
}

fn is_completed(answer: &Option<CallerAnswer>) -> bool {
    let state = answer.as_ref().and_then(|answer| answer.state.as_deref());
    state == Some("completed")
}

#[test]
fn jobs_are_served_from_end_to_end() -> TestResult {
    smol::block_on(async {
        let site = ProcessSite::start(2, 4).await?;
        for job in 0..10 {
            let answer = submit_job(&site, job as usize % 2, job, 4).await;
            assert!(is_completed(&answer), "{answer:?}");
        }
        let starts = starts(&site);
        assert_eq!(starts.len(), 40);
        assert!(starts.values().all(|times| *times == 1));
        let path = "/other/0000000000000001";
        let job = run_job(1, 100, 10);
        let unknown = submit(site.instances[0].caller_address, path, &job, CALLER_WAIT).await?;
        assert_eq!(unknown.status, 404);
        Ok(())
    })
}

#[test]
fn instance_without_an_intended_state_refuses_jobs() -> TestResult {
    smol::block_on(async {
        let mut site = ProcessSite::empty().await?;
        site.store.set_fault(StoreFault::Silent);
        let mut instance = site.start_instance(0)?;
        instance
            .process
            .wait_for_line("started", START_TIMEOUT)
            .await?;
        site.instances.push(instance);
        let answer = submit_job(&site, 0, 1, 1).await.expect("an answer");
        assert_eq!(answer.status, 503);
        assert_eq!(answer.reason.as_deref(), Some("no_intended_state"));
        assert!(answer.retry_after_s.is_some());
        Ok(())
    })
}

#[test]
fn store_outage_does_not_stop_the_service() -> TestResult {
    smol::block_on(async {
        let site = ProcessSite::start(2, 4).await?;
        for fault in [StoreFault::Silent, StoreFault::Busy] {
            site.store.set_fault(fault);
            for job in 0..6 {
                Timer::after(Duration::from_millis(300)).await;
                let answer = submit_job(&site, job as usize % 2, 1_000 + job, 4).await;
                assert!(is_completed(&answer), "{fault:?}: {answer:?}");
            }
            site.store.set_fault(StoreFault::None);
        }
        Ok(())
    })
}

#[test]
fn lost_orders_run_no_task_twice_at_a_time() -> TestResult {
    smol::block_on(async {
        let site = ProcessSite::start(2, 4).await?;
        for (job, handling) in [(1, OrderHandling::AnswerLost), (2, OrderHandling::Lost)] {
            site.upstreams[0].set_order_handling(handling);
            let answer = submit_job(&site, 0, job, 8).await;
            site.upstreams[0].set_order_handling(OrderHandling::Answered);
            assert!(
                answer.is_some_and(|answer| answer.status != 429),
                "{handling:?}"
            );
            Timer::after(Duration::from_millis(1_500)).await;
        }
        for upstream in &site.upstreams {
            assert!(upstream.max_concurrent_runs() <= 1);
            assert_eq!(upstream.running(), 0);
        }
        assert!(site.overlaps().is_empty(), "{:?}", site.overlaps());
        Ok(())
    })
}

#[test]
fn stopping_instance_answers_and_leaves() -> TestResult {
    smol::block_on(async {
        let mut site = ProcessSite::start(2, 4).await?;
        let answered = submit_job(&site, 0, 1, 8);
        let process = &site.instances[0].process;
        let id = process.id();
        let stop = async {
            Timer::after(Duration::from_millis(30)).await;
            std::process::Command::new("kill")
                .args(["-TERM", &id.to_string()])
                .status()
        };
        let (answer, stopped) = futures_lite::future::zip(answered, stop).await;
        assert!(stopped?.success());
        let lines = site
            .instances
            .iter()
            .flat_map(|instance| instance.process.output());
        let lines: Vec<String> = lines.collect();
        assert!(is_completed(&answer), "{answer:?}\n{}", lines.join("\n"));
        let until = Instant::now() + Duration::from_secs(6);
        while site.instances[0].process.is_running() {
            assert!(
                Instant::now() < until,
                "the stopped instance still runs after 6 s"
            );
            Timer::after(Duration::from_millis(50)).await;
        }
        // After this wait the other instance has taken over its upstreams.
        Timer::after(Duration::from_millis(1_500)).await;
        let answer = submit_job(&site, 1, 2, 8).await;
        assert!(is_completed(&answer), "{answer:?}");
        Ok(())
    })
}

#[test]
fn killed_instance_comes_back_by_itself() -> TestResult {
    smol::block_on(async {
        let mut site = ProcessSite::start(2, 4).await?;
        let dead = site.instances.remove(0);
        drop(dead);
        let again = site.start_instance(0)?;
        site.instances.insert(0, again);
        site.put_intended();
        site.wait_until_ready(0).await?;
        Timer::after(Duration::from_millis(1_000)).await;
        for job in 0..4 {
            let answer = submit_job(&site, job as usize % 2, 10 + job, 8).await;
            assert!(is_completed(&answer), "{answer:?}");
        }
        Ok(())
    })
}

#[test]
fn job_appears_in_logs_and_metrics() -> TestResult {
    smol::block_on(async {
        let site = ProcessSite::start(1, 2).await?;
        let answer = submit_job(&site, 0, 0xabc, 2).await;
        assert!(is_completed(&answer), "{answer:?}");
        Timer::after(Duration::from_millis(200)).await;
        let lines = site.instances[0].process.output();
        let of_job = lines
            .iter()
            .filter(|line| line.contains("0000000000000abc"));
        let of_job: Vec<&String> = of_job.collect();
        for decision in ["tasks placed", "run ordered", "run ended", "job ended"] {
            assert!(
                of_job.iter().any(|line| line.contains(decision)),
                "{decision}: {of_job:?}"
            );
        }
        assert!(lines.iter().all(|line| line.starts_with('{')));
        let request = almondhead_net::HttpRequest::new(
            almondhead_net::Method::GET,
            site.instances[0].operator_address,
            "/metrics",
        );
        let client = almondhead_net::HttpClient::new(almondhead_net::HttpSettings::default());
        let scraped = client.send(request, Duration::from_secs(1)).await?;
        let text = String::from_utf8(scraped.body.to_vec())?;
        assert!(
            text.contains("almondhead_run_answers_total{outcome=\"ended\"} 1"),
            "{text}"
        );
        assert!(text.contains("almondhead_order_seconds_bucket"), "{text}");
        // Callers of long jobs wait for more than ten seconds; the buckets must reach beyond that.
        assert!(text.contains("le=\"12\""), "{text}");
        Ok(())
    })
}

/// Guards against a job that runs twice: a frozen instance accepts it once thawed, although its
/// caller has disconnected and submitted it to another instance.
#[test]
fn request_whose_caller_left_a_frozen_instance_starts_nothing() -> TestResult {
    smol::block_on(async {
        let mut site = ProcessSite::start(2, 4).await?;
        site.instances[0].process.freeze()?;
        let abandoned = or(submit_job(&site, 0, 7, 4), async {
            Timer::after(Duration::from_millis(300)).await;
            None
        });
        assert!(abandoned.await.is_none());
        site.instances[0].process.thaw()?;
        Timer::after(Duration::from_millis(500)).await;
        assert!(starts(&site).is_empty(), "{:?}", starts(&site));
        let answer = submit_job(&site, 0, 8, 4).await;
        assert!(is_completed(&answer), "{answer:?}");
        Ok(())
    })
}
