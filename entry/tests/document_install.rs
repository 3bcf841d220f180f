//! Installation of documents: revisions, refused documents, outages, and instances that leave.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use almondhead_lib::instance::Instance;
use almondhead_net::Method;
use almondhead_testsupport::Outage;
use almondhead_testsupport::PlatformFaults;
use almondhead_testsupport::site::NORTH;
use almondhead_testsupport::site::SOUTH;
use almondhead_testsupport::site::Site;
use almondhead_testsupport::site::TestResult;
use almondhead_testsupport::site::job;
use almondhead_testsupport::site::json_of;
use serde_json::json;
use smol::Timer;

const STATUS_TIMEOUT: Duration = Duration::from_secs(5);

/// Waits until a field of an entry's status has a value, at most for `STATUS_TIMEOUT`.
async fn wait_for_status_in_time(
    site: &Site,
    entry: usize,
    field: &str,
    wanted: u64,
) -> TestResult {
    let waited = site.wait_for_status(entry, field, wanted);
    let timed_out = async {
        Timer::after(STATUS_TIMEOUT).await;
        Err(
            format!("{field} of entry {entry} did not become {wanted} within {STATUS_TIMEOUT:?}")
                .into(),
        )
    };
    futures_lite::future::or(waited, timed_out).await
}

#[test]
fn higher_revision_is_in_force_within_seconds() -> TestResult {
    smol::block_on(async {
        let mut site = Site::start(1).await?;
        site.start_entry("entry-b", SOUTH, json!({})).await?;
        let mut document = site.document();
        document.teams[0].name = "couriers".to_owned();
        site.install(2, &document).await?;
        for entry in 0..2 {
            wait_for_status_in_time(&site, entry, "document_revision", 2).await?;
            let refused = site.send_task(entry, &job(1, 1)).await?;
            assert_eq!(json_of(&refused)?["reason"], "unknown_team");
        }
        Ok(())
    })
}

#[test]
fn lower_revision_is_never_installed() -> TestResult {
    smol::block_on(async {
        let site = Site::start(1).await?;
        let document = site.document();
        site.install(5, &document).await?;
        wait_for_status_in_time(&site, 0, "document_revision", 5).await?;
        site.install(4, &document).await?;
        Timer::after(Duration::from_secs(3)).await;
        wait_for_status_in_time(&site, 0, "document_revision", 5).await
    })
}

#[test]
fn invalid_document_changes_nothing() -> TestResult {
    smol::block_on(async {
        let mut site = Site::start(1).await?;
        let mut document = site.document();
        document.upstreams[0].service = "none".to_owned();
        site.install(2, &document).await?;
        let process = &mut site.entries[0].process;
        process
            .wait_for_line("document refused", STATUS_TIMEOUT)
            .await?;
        wait_for_status_in_time(&site, 0, "document_revision", 1).await?;
        let answer = site.send_task(0, &job(1, 1)).await?;
        assert_eq!(answer.status, 200, "{:?}", answer.body);
        Ok(())
    })
}

#[test]
fn outage_keeps_the_document_in_force() -> TestResult {
    smol::block_on(async {
        let site = Site::start(1).await?;
        site.platform.set_faults(PlatformFaults {
            outage: Outage::Silent,
            ..PlatformFaults::default()
        });
        Timer::after(Duration::from_secs(3)).await;
        assert!(site.platform.counters().unanswered > 0);
        let session = site.open_session(0).await?;
        let path = format!("/v1/sessions/{session}/jobs/1");
        let request = site.request(0, Method::PUT, &path);
        let answer = site.send(request.with_body(job(20, 1).to_string())).await?;
        assert_eq!(answer.status, 200, "{:?}", answer.body);
        Ok(())
    })
}

/// Returns the Unix time after a delay from now, in milliseconds.
fn unix_ms_after(delay: Duration) -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let then = since_epoch.unwrap_or_default() + delay;
    u64::try_from(then.as_millis()).unwrap_or(u64::MAX)
}

/// Submits a job, makes the entry leave, and checks that it answers the job and refuses others.
async fn check_leaves(site: &Site, leave: impl AsyncFnOnce(&Site) -> TestResult) -> TestResult {
    let request = site.request(0, Method::POST, "/v1/tasks");
    let running = site.send(request.with_body(job(1, 7_000).to_string()));
    let left = async {
        leave(site).await?;
        for _ in 0..100 {
            let refused = site.send_task(0, &job(1, 1)).await?;
            if refused.status == 503 {
                assert_eq!(json_of(&refused)?["reason"], "leaving");
                return Ok::<(), Box<dyn std::error::Error>>(());
            }
            Timer::after(Duration::from_millis(50)).await;
        }
        Err("the leaving entry still accepts tasks".into())
    };
    let (running, left) = futures_lite::future::zip(running, left).await;
    left?;
    assert_eq!(running?.status, 200);
    Ok(())
}

#[test]
fn instance_leaves_by_the_document() -> TestResult {
    smol::block_on(async {
        let site = Site::start(1).await?;
        check_leaves(&site, async |site: &Site| {
            let mut document = site.document();
            document.instances.push(Instance {
                name: "entry-a".to_owned(),
                data_centre: NORTH.to_owned(),
                peer_address: ([127, 0, 0, 1], 7_000).into(),
                leaves_at_unix_ms: Some(unix_ms_after(Duration::from_secs(2))),
            });
            site.install(2, &document).await
        })
        .await
    })
}

#[test]
fn instance_leaves_by_the_platform() -> TestResult {
    smol::block_on(async {
        let site = Site::start(1).await?;
        check_leaves(&site, async |site: &Site| {
            site.platform.set_leaving("entry-a").await;
            Ok(())
        })
        .await
    })
}
