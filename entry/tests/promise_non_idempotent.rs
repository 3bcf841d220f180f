//! A non-idempotent job under an idempotency key runs at most once, whatever the platform loses.

use almondhead_net::HttpResponse;
use almondhead_testsupport::Outage;
use almondhead_testsupport::PlatformFaults;
use almondhead_testsupport::UpstreamFaults;
use almondhead_testsupport::site::NORTH;
use almondhead_testsupport::site::Site;
use almondhead_testsupport::site::TestResult;
use almondhead_testsupport::site::json_of;
use almondhead_testsupport::site_faults::Caller;
use almondhead_testsupport::site_faults::marked_job;
use almondhead_testsupport::site_faults::post_keyed;
use almondhead_testsupport::site_faults::post_task;
use serde_json::Value;
use serde_json::json;

const RACES: usize = 24;

/// Starts two sibling entries and two upstreams, with retries of unknown outcomes switched on.
async fn start_siblings() -> Result<Site, Box<dyn std::error::Error>> {
    let mut site = Site::without_entries(2).await?;
    let mut installed = site.document();
    installed.services[0].retry_unknown = true;
    site.install(1, &installed).await?;
    site.start_entry("entry-a", NORTH, json!({})).await?;
    site.start_entry("entry-b", NORTH, json!({})).await?;
    site.wait_for_siblings(1).await?;
    Ok(site)
}

/// Returns a job that may not be retried.
fn non_idempotent_job(marker: &str, tasks: usize, run_ms: u64) -> Value {
    let mut body = marked_job(marker, tasks, run_ms);
    body["idempotent"] = json!(false);
    body
}

/// Checks that a job was refused because its key could not be claimed.
fn check_claim_unavailable(answer: &HttpResponse) -> TestResult {
    let body = json_of(answer)?;
    assert_eq!(body["outcome"], "not_run", "{body}");
    assert_eq!(body["reason"], "claim_unavailable", "{body}");
    assert!(answer.header("retry-after").is_some());
    Ok(())
}

#[test]
fn platform_outage_runs_nothing() -> TestResult {
    smol::block_on(async {
        let site = start_siblings().await?;
        for outage in [Outage::Refusing, Outage::Silent] {
            let name = format!("{outage:?}");
            site.platform.set_faults(PlatformFaults {
                outage,
                ..PlatformFaults::default()
            });
            let body = non_idempotent_job(&name, 2, 5);
            for entry in [0, 1, 0] {
                let request = post_keyed(site.entries[entry].caller_address, &name, &body);
                check_claim_unavailable(&site.send(request).await?)?;
            }
            assert_eq!(site.starts_of(&name), 0);
            site.platform.set_faults(PlatformFaults::default());
            let request = post_keyed(site.entries[0].caller_address, &name, &body);
            let mut answer = site.send(request.clone()).await?;
            for _ in 0..10 {
                if answer.status == 200 {
                    break;
                }
                check_claim_unavailable(&answer)?;
                smol::Timer::after(std::time::Duration::from_millis(500)).await;
                answer = site.send(request.clone()).await?;
            }
            assert_eq!(answer.status, 200, "{:?}", answer.body);
            let through_other = post_keyed(site.entries[1].caller_address, &name, &body);
            assert_eq!(site.send(through_other).await?.body, answer.body);
            assert_eq!(site.starts_of(&name), 2);
        }
        assert!(site.platform.counters().refused > 0);
        assert!(site.platform.counters().unanswered > 0);
        site.check_at_most_once()
    })
}

#[test]
fn claim_with_lost_answer_runs_once() -> TestResult {
    smol::block_on(async {
        let site = start_siblings().await?;
        site.platform.set_faults(PlatformFaults {
            apply_then_lose: true,
            ..PlatformFaults::default()
        });
        let body = non_idempotent_job("lost-claim", 2, 100);
        let first = site
            .send(post_keyed(site.entries[0].caller_address, "lost", &body))
            .await?;
        assert!(site.platform.counters().lost_answers > 0);
        for entry in [0, 1] {
            let again = post_keyed(site.entries[entry].caller_address, "lost", &body);
            let again = site.send(again).await?;
            assert_eq!(again.status, 200, "{:?}", again.body);
            if first.status == 200 {
                assert_eq!(again.body, first.body);
            }
        }
        assert_eq!(site.starts_of("lost-claim"), 2);
        site.check_at_most_once()
    })
}

#[test]
fn racing_entries_run_each_key_once() -> TestResult {
    smol::block_on(async {
        let site = start_siblings().await?;
        let caller = Caller::new();
        let mut races = Vec::new();
        for race in 0..RACES {
            let key = format!("race-{race}");
            let body = non_idempotent_job(&key, 2, 20);
            let answers: Vec<_> = [0, 1, race % 2]
                .into_iter()
                .map(|entry| {
                    caller.send(post_keyed(site.entries[entry].caller_address, &key, &body))
                })
                .collect();
            races.push(answers);
        }
        for (answers, race) in races.into_iter().zip(0..) {
            let mut bodies = Vec::new();
            for answer in answers {
                let answer = answer.await?;
                assert_eq!(answer.status, 200, "{race}: {:?}", answer.body);
                bodies.push(answer.body);
            }
            assert!(bodies.iter().all(|body| *body == bodies[0]), "{race}");
            assert_eq!(site.starts_of(&format!("race-{race}")), 2);
        }
        site.check_at_most_once()
    })
}

#[test]
fn key_of_killed_home_never_runs_again() -> TestResult {
    smol::block_on(async {
        let mut site = start_siblings().await?;
        let caller = Caller::new();
        let body = non_idempotent_job("orphan", 4, 2_000);
        let cut = caller.send(post_keyed(site.entries[0].caller_address, "orphan", &body));
        site.wait_for_starts("orphan", 4).await?;
        site.entries[0].process.kill9()?;
        assert!(!site.entries[0].process.is_running());
        assert!(cut.await.is_err());
        let restarted = site.start_entry("entry-a", NORTH, json!({})).await?;
        for entry in [1, restarted, 1, restarted] {
            let request = post_keyed(site.entries[entry].caller_address, "orphan", &body);
            let answer = json_of(&site.send(request).await?)?;
            assert_eq!(answer["outcome"], "failed", "{answer}");
        }
        assert_eq!(site.starts_of("orphan"), 4);
        site.check_at_most_once()
    })
}

#[test]
fn non_idempotent_task_with_lost_answer_is_not_retried() -> TestResult {
    smol::block_on(async {
        let site = start_siblings().await?;
        let lose_one = UpstreamFaults {
            lose_answer: true,
            limit_tasks: Some(1),
            ..UpstreamFaults::default()
        };
        let address = site.entries[0].caller_address;
        for upstream in &site.upstreams {
            upstream.set_faults(lose_one.clone());
        }
        let single = non_idempotent_job("single", 1, 5);
        let answer = json_of(&site.send(post_task(address, &single)).await?)?;
        assert_eq!(answer["reason"], "unknown", "{answer}");
        for upstream in &site.upstreams {
            upstream.set_faults(lose_one.clone());
        }
        let keyed = post_keyed(address, "keyed", &non_idempotent_job("keyed", 1, 5));
        for _ in 0..2 {
            let answer = json_of(&site.send(keyed.clone()).await?)?;
            assert_eq!(answer["reason"], "unknown", "{answer}");
        }
        let lost = site.upstreams.iter();
        let lost = lost.map(|upstream| upstream.report().counters.lost_answers);
        assert_eq!(lost.sum::<u64>(), 2);
        assert_eq!(site.starts_of("single"), 1);
        assert_eq!(site.starts_of("keyed"), 1);
        site.check_at_most_once()
    })
}
