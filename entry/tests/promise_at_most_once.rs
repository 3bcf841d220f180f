//! Each task of a submission starts at most once, even if messages are lost or processes are
//! killed or frozen.

use std::time::Duration;

use almondhead_net::HttpResponse;
use almondhead_testsupport::FaultProxy;
use almondhead_testsupport::ProxyFaults;
use almondhead_testsupport::UpstreamFaults;
use almondhead_testsupport::site::NORTH;
use almondhead_testsupport::site::Site;
use almondhead_testsupport::site::TestResult;
use almondhead_testsupport::site::json_of;
use almondhead_testsupport::site_faults::Caller;
use almondhead_testsupport::site_faults::marked_job;
use almondhead_testsupport::site_faults::put_job;
use serde_json::json;
use smol::Timer;

const MAX_RESUBMISSIONS: usize = 40;
const RESUBMIT_INTERVAL: Duration = Duration::from_millis(250);
/// How long the entry stays frozen after its sibling was asked for the job.
const EXTRA_FREEZE_TIME: Duration = Duration::from_millis(1_500);
/// Time after the thaw in which late starts would show.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Starts two sibling entries and one upstream with eight slots.
async fn start_siblings() -> Result<Site, Box<dyn std::error::Error>> {
    let mut site = Site::start(1).await?;
    site.start_entry("entry-b", NORTH, json!({})).await?;
    site.wait_for_siblings(1).await?;
    Ok(site)
}

fn check_reason(answer: &HttpResponse, outcome: &str, reason: &str) -> TestResult {
    let body = json_of(answer)?;
    assert_eq!(body["outcome"], outcome, "{body}");
    assert_eq!(body["reason"], reason, "{body}");
    Ok(())
}

#[test]
fn resubmission_joins_or_repeats() -> TestResult {
    smol::block_on(async {
        let site = start_siblings().await?;
        let caller = Caller::new();
        let session = site.open_session(0).await?;
        let body = marked_job("joined", 16, 400);
        let submit = |entry: usize| put_job(site.entries[entry].caller_address, &session, 1, &body);
        let first = caller.send(submit(0));
        site.wait_for_starts("joined", 1).await?;
        let while_running = [caller.send(submit(1)), caller.send(submit(0))];
        let first = first.await?;
        assert_eq!(first.status, 200, "{:?}", first.body);
        for again in while_running {
            assert_eq!(again.await?.body, first.body);
        }
        for entry in [1, 0, 1] {
            assert_eq!(site.send(submit(entry)).await?.body, first.body);
        }
        assert_eq!(site.starts_of("joined"), 16);
        site.check_at_most_once()
    })
}

#[test]
fn lost_answer_is_repeated() -> TestResult {
    smol::block_on(async {
        let site = start_siblings().await?;
        let caller = Caller::new();
        let proxy = FaultProxy::start(site.entries[0].caller_address).await?;
        let session = site.open_session(0).await?;
        let body = marked_job("lost", 4, 50);
        for cut_answer_after_bytes in [0, 40] {
            proxy.set_faults(ProxyFaults {
                cut_answer_after_bytes: Some(cut_answer_after_bytes),
                ..ProxyFaults::default()
            });
            let lost = caller.send(put_job(proxy.address(), &session, 1, &body));
            assert!(lost.await.is_err());
        }
        assert_eq!(proxy.counters().cuts, 2);
        for entry in [1, 0] {
            let again = put_job(site.entries[entry].caller_address, &session, 1, &body);
            assert_eq!(site.send(again).await?.status, 200);
        }
        assert_eq!(site.starts_of("lost"), 4);
        site.check_at_most_once()
    })
}

#[test]
fn killed_home_is_never_replaced() -> TestResult {
    smol::block_on(async {
        let mut site = start_siblings().await?;
        let caller = Caller::new();
        let session = site.open_session(0).await?;
        let body = marked_job("orphan", 8, 3_000);
        let cut = caller.send(put_job(site.entries[0].caller_address, &session, 1, &body));
        site.wait_for_starts("orphan", 8).await?;
        site.entries[0].process.kill9()?;
        assert!(!site.entries[0].process.is_running());
        assert!(cut.await.is_err());

        let through_sibling = put_job(site.entries[1].caller_address, &session, 1, &body);
        let answer = site.send(through_sibling.clone()).await?;
        check_reason(&answer, "failed", "home_unreachable")?;
        assert!(answer.header("retry-after").is_some());
        site.platform.end_instance("entry-a").await;
        let mut reason = json!(null);
        for _ in 0..MAX_RESUBMISSIONS {
            let answer = json_of(&site.send(through_sibling.clone()).await?)?;
            assert_eq!(answer["outcome"], "failed", "{answer}");
            reason = answer["reason"].clone();
            if reason == "home_gone" {
                break;
            }
            Timer::after(RESUBMIT_INTERVAL).await;
        }
        assert_eq!(reason, "home_gone");

        let restarted = site.start_entry("entry-a", NORTH, json!({})).await?;
        for entry in [restarted, 1] {
            let again = put_job(site.entries[entry].caller_address, &session, 1, &body);
            check_reason(&site.send(again).await?, "failed", "home_gone")?;
        }
        assert_eq!(site.starts_of("orphan"), 8);
        site.check_at_most_once()
    })
}

#[test]
fn cut_upstream_connection_is_not_repeated() -> TestResult {
    smol::block_on(async {
        let (site, proxy) = Site::start_behind_proxy().await?;
        let caller = Caller::new();
        let session = site.open_session(0).await?;
        let address = site.entries[0].caller_address;

        let body = marked_job("sent", 4, 1_000);
        let cut = caller.send(put_job(address, &session, 1, &body));
        site.wait_for_starts("sent", 4).await?;
        proxy.cut_all();
        check_reason(&cut.await?, "failed", "unknown")?;
        assert!(proxy.counters().cuts >= 4, "{:?}", proxy.counters());
        let again = site.send(put_job(address, &session, 1, &body)).await?;
        check_reason(&again, "failed", "unknown")?;

        proxy.set_faults(ProxyFaults {
            cut_request_after_bytes: Some(60),
            ..ProxyFaults::default()
        });
        let cuts_before = proxy.counters().cuts;
        let body = marked_job("half-sent", 1, 1);
        let cut = site.send(put_job(address, &session, 2, &body)).await?;
        check_reason(&cut, "failed", "unknown")?;
        assert!(proxy.counters().cuts > cuts_before);
        proxy.heal().await?;
        let again = site.send(put_job(address, &session, 2, &body)).await?;
        check_reason(&again, "failed", "unknown")?;

        assert_eq!(site.starts_of("sent"), 4);
        assert_eq!(site.starts_of("half-sent"), 0);
        site.check_at_most_once()
    })
}

#[test]
fn task_with_lost_answer_is_not_run_again() -> TestResult {
    smol::block_on(async {
        let site = start_siblings().await?;
        let session = site.open_session(0).await?;
        site.upstreams[0].set_faults(UpstreamFaults {
            lose_answer: true,
            limit_tasks: Some(1),
            ..UpstreamFaults::default()
        });
        let body = marked_job("ran", 1, 5);
        for entry in [0, 1, 0] {
            let request = put_job(site.entries[entry].caller_address, &session, 1, &body);
            check_reason(&site.send(request).await?, "failed", "unknown")?;
        }
        assert_eq!(site.upstreams[0].report().counters.lost_answers, 1);
        assert_eq!(site.starts_of("ran"), 1);
        site.check_at_most_once()
    })
}

#[test]
fn thawed_entry_starts_nothing_past_deadline() -> TestResult {
    smol::block_on(async {
        let mut site = start_siblings().await?;
        let caller = Caller::new();
        let session = site.open_session(0).await?;
        let mut body = marked_job("frozen", 64, 300);
        body["timeout_ms"] = json!(4_000);
        let address = site.entries[0].caller_address;
        let thawed = caller.send(put_job(address, &session, 1, &body));
        site.wait_for_starts("frozen", 16).await?;
        site.entries[0].process.freeze()?;
        let line = process_state_line(site.entries[0].process.id())?;
        assert!(line.contains('T'), "{line}");
        Timer::after(Duration::from_millis(4_000)).await;
        let started = site.starts_of("frozen");
        assert!(started < 64, "all tasks had started before the freeze");

        let during = put_job(site.entries[1].caller_address, &session, 1, &body);
        check_reason(&site.send(during).await?, "failed", "home_unreachable")?;
        Timer::after(EXTRA_FREEZE_TIME).await;
        site.entries[0].process.thaw()?;
        check_reason(&thawed.await?, "failed", "deadline_passed")?;
        Timer::after(SETTLE_TIME).await;
        for entry in [0, 1] {
            let again = put_job(site.entries[entry].caller_address, &session, 1, &body);
            check_reason(&site.send(again).await?, "failed", "deadline_passed")?;
        }
        assert_eq!(site.starts_of("frozen"), started);
        site.check_at_most_once()
    })
}

/// Returns the `State:` line of a process's status in procfs; `T` means stopped.
fn process_state_line(id: u32) -> std::io::Result<String> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = status.lines().find(|line| line.starts_with("State:"));
    Ok(line.unwrap_or_default().to_owned())
}
