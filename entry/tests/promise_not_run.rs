//! No task of a job that is answered as "not run" has started.

use std::time::Duration;

use almondhead_net::HttpRequest;
use almondhead_net::HttpResponse;
use almondhead_testsupport::FaultProxy;
use almondhead_testsupport::Outage;
use almondhead_testsupport::PlatformFaults;
use almondhead_testsupport::UpstreamFaults;
use almondhead_testsupport::site::NORTH;
use almondhead_testsupport::site::Site;
use almondhead_testsupport::site::TestResult;
use almondhead_testsupport::site::document;
use almondhead_testsupport::site::json_of;
use almondhead_testsupport::site_faults::Caller;
use almondhead_testsupport::site_faults::marked_job;
use almondhead_testsupport::site_faults::post_keyed;
use almondhead_testsupport::site_faults::put_job;
use serde_json::json;
use smol::Timer;

const MAX_RETRIES: usize = 20;
/// Time after an answer in which late starts would show.
const SETTLE_TIME: Duration = Duration::from_millis(500);
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(500);
const BURST_JOBS: u64 = 60;
const BURST_TASKS: usize = 16;

/// Checks that an answer is "not run" for this reason and that the upstreams recorded no start.
async fn check_not_run(
    site: &Site,
    answer: &HttpResponse,
    marker: &str,
    reason: &str,
) -> TestResult {
    let body = json_of(answer)?;
    assert_eq!(body["outcome"], "not_run", "{marker}: {body}");
    assert_eq!(body["reason"], reason, "{marker}: {body}");
    Timer::after(SETTLE_TIME).await;
    assert_eq!(site.starts_of(marker), 0, "{marker}");
    Ok(())
}

/// Resends a refused request until it is accepted, each time after the `Retry-After` of the last
/// answer.
async fn retry(site: &Site, refused: &HttpResponse, request: &HttpRequest) -> TestResult {
    let retry_after = |answer: &HttpResponse| {
        let text = answer.header("retry-after")?.to_owned();
        text.parse().ok().map(Duration::from_secs)
    };
    let mut delay = retry_after(refused).ok_or("no Retry-After")?;
    for _ in 0..MAX_RETRIES {
        Timer::after(delay).await;
        let answer = site.send(request.clone()).await?;
        if answer.status == 200 {
            return Ok(());
        }
        assert_eq!(json_of(&answer)?["outcome"], "not_run", "{:?}", answer.body);
        delay = retry_after(&answer).unwrap_or(DEFAULT_RETRY_DELAY);
    }
    Err(format!("{} was refused {MAX_RETRIES} times", request.path).into())
}

#[test]
fn refusing_upstreams_ran_nothing() -> TestResult {
    smol::block_on(async {
        let site = Site::start(2).await?;
        let session = site.open_session(0).await?;
        let refusing = UpstreamFaults {
            refuse_all: true,
            ..UpstreamFaults::default()
        };
        for upstream in &site.upstreams {
            upstream.set_faults(refusing.clone());
        }
        let mut body = marked_job("guarded", 1, 5);
        body["timeout_ms"] = json!(2_000);
        let request = put_job(site.entries[0].caller_address, &session, 1, &body);
        let answer = site.send(request.clone()).await?;
        check_not_run(&site, &answer, "guarded", "deadline_passed").await?;
        let refused = site.upstreams.iter().map(|u| u.report().counters.refused);
        assert!(refused.sum::<u64>() > 0);
        for upstream in &site.upstreams {
            upstream.set_faults(UpstreamFaults::default());
        }
        retry(&site, &answer, &request).await?;
        assert_eq!(site.starts_of("guarded"), 1);
        site.check_at_most_once()
    })
}

#[test]
fn refused_connections_ran_nothing() -> TestResult {
    smol::block_on(async {
        let (site, proxy) = Site::start_behind_proxy().await?;
        let session = site.open_session(0).await?;
        proxy.refuse().await;
        let body = marked_job("refused", 1, 5);
        let request = put_job(site.entries[0].caller_address, &session, 1, &body);
        let answer = site.send(request.clone()).await?;
        check_not_run(&site, &answer, "refused", "not_taken").await?;
        assert_eq!(proxy.counters().connections, 0);
        proxy.heal().await?;
        retry(&site, &answer, &request).await?;
        assert_eq!(site.starts_of("refused"), 1);
        site.check_at_most_once()
    })
}

#[test]
fn refused_submissions_ran_nothing() -> TestResult {
    smol::block_on(async {
        let mut site = Site::without_entries(1).await?;
        let mut installed = site.document();
        installed.teams[0].max_open_tasks = 10;
        site.install(1, &installed).await?;
        site.start_entry("entry-a", NORTH, json!({})).await?;
        let session = site.open_session(0).await?;
        let address = site.entries[0].caller_address;
        let mut unknown = marked_job("unknown", 1, 5);
        unknown["service"] = json!("none");
        let mut never = marked_job("never", 1, 5);
        never["needs"] = json!({ "accelerators": 1 });
        let caller = Caller::new();
        let body = marked_job("holder", 8, 2_000);
        let holder = caller.send(put_job(address, &session, 9, &body));
        site.wait_for_starts("holder", 8).await?;
        let quota = marked_job("quota", 3, 5);
        let table = [
            (&unknown, "unknown", "unknown_service"),
            (&never, "never", "needs_never_met"),
            (&quota, "quota", "quota_used_up"),
        ];
        for ((body, marker, reason), number) in table.iter().zip(1..) {
            let answer = site.send(put_job(address, &session, number, body)).await?;
            check_not_run(&site, &answer, marker, reason).await?;
        }
        let request = put_job(address, &session, 3, &quota);
        let refused = site.send(request.clone()).await?;
        check_not_run(&site, &refused, "quota", "quota_used_up").await?;
        retry(&site, &refused, &request).await?;
        assert_eq!(holder.await?.status, 200);
        assert_eq!(site.starts_of("quota"), 3);
        site.check_at_most_once()
    })
}

#[test]
fn unclaimed_key_ran_nothing() -> TestResult {
    smol::block_on(async {
        let site = Site::start(1).await?;
        site.platform.set_faults(PlatformFaults {
            outage: Outage::Refusing,
            ..PlatformFaults::default()
        });
        let body = marked_job("keyed", 3, 5);
        let request = post_keyed(site.entries[0].caller_address, "charge", &body);
        let answer = site.send(request.clone()).await?;
        check_not_run(&site, &answer, "keyed", "claim_unavailable").await?;
        assert!(site.platform.counters().refused > 0);
        site.platform.set_faults(PlatformFaults::default());
        retry(&site, &answer, &request).await?;
        assert_eq!(site.starts_of("keyed"), 3);
        site.check_at_most_once()
    })
}

#[test]
fn cancelled_before_start_ran_nothing() -> TestResult {
    smol::block_on(async {
        let site = Site::start(1).await?;
        let caller = Caller::new();
        let session = site.open_session(0).await?;
        let address = site.entries[0].caller_address;
        let body = marked_job("holder", 8, 2_000);
        let holder = caller.send(put_job(address, &session, 1, &body));
        site.wait_for_starts("holder", 8).await?;
        let body = marked_job("cancelled", 8, 5);
        let waiting = caller.send(put_job(address, &session, 2, &body));
        Timer::after(SETTLE_TIME).await;
        let path = format!("/v1/sessions/{session}/jobs/2");
        let cancel = site.request(0, almondhead_net::Method::DELETE, &path);
        let cancelled = site.send(cancel).await?;
        check_not_run(&site, &cancelled, "cancelled", "cancelled").await?;
        check_not_run(&site, &waiting.await?, "cancelled", "cancelled").await?;
        let again = site.send(put_job(address, &session, 2, &body)).await?;
        check_not_run(&site, &again, "cancelled", "cancelled").await?;
        assert_eq!(holder.await?.status, 200);
        assert_eq!(site.starts_of("cancelled"), 0);
        site.check_at_most_once()
    })
}

#[test]
fn burst_over_faulty_upstreams_is_answered_correctly() -> TestResult {
    smol::block_on(async {
        let mut site = Site::without_entries(3).await?;
        let proxy = FaultProxy::start(site.upstreams[2].address()).await?;
        let addresses = [
            site.upstreams[0].address(),
            site.upstreams[1].address(),
            proxy.address(),
        ];
        site.install(1, &document(&addresses)).await?;
        site.start_entry("entry-a", NORTH, json!({})).await?;
        let caller = Caller::new();
        let session = site.open_session(0).await?;
        site.upstreams[0].set_faults(UpstreamFaults {
            refuse_all: true,
            limit_tasks: Some(40),
            ..UpstreamFaults::default()
        });
        site.upstreams[1].set_faults(UpstreamFaults {
            lose_answer: true,
            limit_tasks: Some(2),
            ..UpstreamFaults::default()
        });
        proxy.refuse().await;
        let jobs: Vec<_> = (0..BURST_JOBS)
            .map(|number| {
                let mut body = marked_job(&format!("burst-{number}"), BURST_TASKS, 60);
                body["timeout_ms"] = json!(1_000 + number * 20);
                let request = put_job(site.entries[0].caller_address, &session, number, &body);
                caller.send(request)
            })
            .collect();
        let mut not_run = Vec::new();
        let mut complete = 0;
        for (job, number) in jobs.into_iter().zip(0..BURST_JOBS) {
            let answer = json_of(&job.await?)?;
            let starts = site.starts_of(&format!("burst-{number}"));
            if answer["outcome"] == "not_run" {
                not_run.push(number);
            } else if answer["outcome"] == "complete" {
                complete += 1;
                assert_eq!(starts, BURST_TASKS as u64, "{number}");
            }
        }
        Timer::after(SETTLE_TIME).await;
        for number in &not_run {
            assert_eq!(site.starts_of(&format!("burst-{number}")), 0, "{number}");
        }
        assert!(!not_run.is_empty(), "no job was refused");
        assert!(complete > 0, "no job was complete");
        assert!(site.upstreams[0].report().counters.refused > 0);
        site.check_at_most_once()
    })
}
