//! An accepted document is in force on all entries within seconds and never reverts.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use almondhead_lib::document::Document;
use almondhead_net::DocumentStore;
use almondhead_net::HttpPlatform;
use almondhead_net::HttpSettings;
use almondhead_net::Submission;
use almondhead_net::SubmitOutcome;
use almondhead_testsupport::FaultProxy;
use almondhead_testsupport::Outage;
use almondhead_testsupport::PlatformFaults;
use almondhead_testsupport::ProxyFaults;
use almondhead_testsupport::site::NORTH;
use almondhead_testsupport::site::SOUTH;
use almondhead_testsupport::site::Site;
use almondhead_testsupport::site::TestResult;
use almondhead_testsupport::site::json_of;
use almondhead_testsupport::site_faults::marked_job;
use almondhead_testsupport::site_faults::post_task;
use futures_lite::future::try_zip;
use serde_json::Value;
use serde_json::json;
use smol::Timer;

const OPERATORS: usize = 6;
const ROUNDS: u64 = 3;
const STATUS_CHECKS: usize = 40;
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
const OUTAGE_DURATION: Duration = Duration::from_secs(3);
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns the site's document with its only team renamed, which shows the document in force.
fn with_team(site: &Site, team: &str) -> Document {
    let mut document = site.document();
    document.teams[0].name = team.to_owned();
    document
}

/// Checks that an entry accepts tasks of this team and not of the first document's team.
async fn check_team(site: &Site, entry: usize, team: &str) -> TestResult {
    let address = site.entries[entry].caller_address;
    let mut body = marked_job("shown", 1, 1);
    let answer = json_of(&site.send(post_task(address, &body)).await?)?;
    assert_eq!(answer["reason"], "unknown_team", "{entry}: {answer}");
    body["team"] = json!(team);
    let answer = json_of(&site.send(post_task(address, &body)).await?)?;
    assert_ne!(answer["reason"], "unknown_team", "{entry}: {answer}");
    assert_ne!(answer["outcome"], "failed", "{entry}: {answer}");
    Ok(())
}

async fn revision_of(site: &Site, entry: usize) -> Result<u64, Box<dyn std::error::Error>> {
    let revision: Value = site.status_of(entry, "document_revision").await?;
    Ok(revision
        .as_u64()
        .ok_or("document_revision is not a number")?)
}

#[test]
fn entry_cut_off_from_platform_follows_sibling() -> TestResult {
    smol::block_on(async {
        let mut site = Site::start(1).await?;
        let proxy = FaultProxy::start(site.platform.address()).await?;
        let behind = json!({ "platform_address": proxy.address() });
        site.start_entry("entry-b", SOUTH, behind).await?;
        site.wait_for_siblings(1).await?;
        proxy.set_faults(ProxyFaults::black_hole());
        for revision in [2, 3] {
            let team = format!("team-{revision}");
            site.install(revision, &with_team(&site, &team)).await?;
            for entry in [0, 1] {
                site.wait_for_status_within_seconds(entry, "document_revision", revision)
                    .await?;
                check_team(&site, entry, &team).await?;
            }
        }
        assert!(proxy.counters().black_holed > 0);
        proxy.heal().await?;
        for _ in 0..STATUS_CHECKS {
            assert_eq!(revision_of(&site, 1).await?, 3);
            Timer::after(CHECK_INTERVAL).await;
        }
        check_team(&site, 1, "team-3").await
    })
}

#[test]
fn stale_platform_reverts_nothing() -> TestResult {
    smol::block_on(async {
        let mut site = Site::start(1).await?;
        site.start_entry("entry-b", NORTH, json!({})).await?;
        site.wait_for_siblings(1).await?;
        site.install(7, &with_team(&site, "newer")).await?;
        for entry in [0, 1] {
            site.wait_for_status_within_seconds(entry, "document_revision", 7)
                .await?;
        }
        site.install(4, &with_team(&site, "older")).await?;
        let reads_before = site.platform.counters().reads;
        site.entries[1].process.kill9()?;
        assert!(!site.entries[1].process.is_running());
        let restarted = site.start_entry("entry-b", NORTH, json!({})).await?;
        site.wait_for_status_within_seconds(restarted, "document_revision", 7)
            .await?;
        for _ in 0..STATUS_CHECKS {
            for entry in [0, restarted] {
                assert_eq!(revision_of(&site, entry).await?, 7);
            }
            Timer::after(CHECK_INTERVAL).await;
        }
        assert!(site.platform.counters().reads > reads_before);
        check_team(&site, 0, "newer").await?;
        check_team(&site, restarted, "newer").await
    })
}

#[test]
fn entry_started_during_outage_waits_for_the_document() -> TestResult {
    smol::block_on(async {
        let mut site = Site::start(1).await?;
        site.install(2, &with_team(&site, "newer")).await?;
        site.wait_for_status_within_seconds(0, "document_revision", 2)
            .await?;
        site.platform.set_faults(PlatformFaults {
            outage: Outage::Refusing,
            ..PlatformFaults::default()
        });
        let healed = Arc::new(AtomicBool::new(false));
        let platform_address = site.platform.address();
        let healing = {
            let healed = Arc::clone(&healed);
            async move {
                Timer::after(OUTAGE_DURATION).await;
                healed.store(true, Ordering::SeqCst);
                heal_over_http(platform_address).await
            }
        };
        let start = site.start_entry("entry-b", NORTH, json!({}));
        let ready = async {
            let started = start.await?;
            assert!(
                healed.load(Ordering::SeqCst),
                "the entry was ready without a document"
            );
            Ok(started)
        };
        let (started, ()) = try_zip(ready, healing).await?;
        assert!(site.platform.counters().refused > 0);
        for entry in [0, started] {
            site.wait_for_status_within_seconds(entry, "document_revision", 2)
                .await?;
            check_team(&site, entry, "newer").await?;
        }
        Ok(())
    })
}

/// Ends the platform's faults over HTTP, for a test that holds a mutable borrow of its site.
async fn heal_over_http(platform: std::net::SocketAddr) -> TestResult {
    let request =
        almondhead_net::HttpRequest::new(almondhead_net::Method::POST, platform, "/v1/faults");
    let client = almondhead_net::HttpClient::new(HttpSettings::default());
    let healed = client.send(request.with_body("{}"), STORE_TIMEOUT).await?;
    assert_eq!(healed.status, 200);
    Ok(())
}

/// Submits a document that is based on a revision, and returns whether it was accepted.
async fn submit(
    site: &Site,
    expected_revision: u64,
    author: &str,
) -> Result<bool, Box<dyn std::error::Error>> {
    let address = site.platform.address();
    let platform = HttpPlatform::new(address, HttpSettings::default(), STORE_TIMEOUT);
    let submission = Submission {
        text: serde_json::to_string(&with_team(site, author))?,
        expected_revision: Some(expected_revision),
        writer_token: format!("token-of-{author}"),
        author: author.to_owned(),
        submitted_at_unix_ms: 1,
        note: String::new(),
    };
    let store = DocumentStore::new(Arc::new(platform));
    let submitted = store.submit(&submission).await?;
    Ok(matches!(submitted, SubmitOutcome::Accepted { .. }))
}

#[test]
fn one_of_racing_operators_wins_everywhere() -> TestResult {
    smol::block_on(async {
        let mut site = Site::start(1).await?;
        site.start_entry("entry-b", SOUTH, json!({})).await?;
        site.wait_for_siblings(1).await?;
        for round in 1..=ROUNDS {
            site.platform.set_faults(PlatformFaults {
                apply_then_lose: round > 1,
                ..PlatformFaults::default()
            });
            let names: Vec<String> = (0..OPERATORS)
                .map(|operator| format!("operator-{round}-{operator}"))
                .collect();
            let races = names.iter().map(|name| submit(&site, round, name));
            let mut winners = Vec::new();
            for (accepted, name) in join_all(races).await.into_iter().zip(&names) {
                if accepted? {
                    winners.push(name);
                }
            }
            assert_eq!(winners.len(), 1, "{winners:?}");
            for entry in [0, 1] {
                site.wait_for_status_within_seconds(entry, "document_revision", round + 1)
                    .await?;
                check_team(&site, entry, winners[0]).await?;
            }
        }
        assert!(site.platform.counters().lost_answers > 0);
        Ok(())
    })
}

/// Runs futures concurrently and returns their outputs in order.
async fn join_all<T>(futures: impl Iterator<Item = impl Future<Output = T>>) -> Vec<T> {
    let executor = smol::LocalExecutor::new();
    let tasks: Vec<_> = futures.map(|future| executor.spawn(future)).collect();
    let outputs = async {
        let mut outputs = Vec::new();
        for task in tasks {
            outputs.push(task.await);
        }
        outputs
    };
    executor.run(outputs).await
}
