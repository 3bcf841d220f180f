//! Jobs submitted under an idempotency key while the platform fails.

use std::error::Error;
use std::time::Duration;

use almondhead_net::HttpRequest;
use almondhead_net::Method;
use almondhead_testsupport::Outage;
use almondhead_testsupport::PlatformFaults;
use almondhead_testsupport::site::NORTH;
use almondhead_testsupport::site::Site;
use almondhead_testsupport::site::TEAM;
use almondhead_testsupport::site::TestResult;
use almondhead_testsupport::site::job;
use almondhead_testsupport::site::json_of;
use almondhead_testsupport::site::with_header;
use serde_json::Value;
use serde_json::json;
use smol::Timer;

fn submit(site: &Site, entry: usize, key: &str) -> HttpRequest {
    let request = site.request(entry, Method::POST, "/v1/jobs");
    with_header(request, "idempotency-key", key).with_body(job(2, 5).to_string())
}

async fn start_two_entries() -> Result<Site, Box<dyn Error>> {
    let mut site = Site::start(2).await?;
    site.start_entry("entry-b", NORTH, json!({})).await?;
    site.wait_for_siblings(1).await?;
    Ok(site)
}

#[test]
fn second_entry_finds_the_home() -> TestResult {
    smol::block_on(async {
        let site = start_two_entries().await?;
        let first = site.send(submit(&site, 0, "order-1")).await?;
        assert_eq!(first.status, 200, "{:?}", first.body);
        let again = site.send(submit(&site, 1, "order-1")).await?;
        assert_eq!(again.status, 200, "{:?}", again.body);
        assert_eq!(again.body, first.body);
        let path = format!("/v1/jobs/order-1?team={TEAM}");
        let looked_up = site.send(site.request(1, Method::GET, &path)).await?;
        assert_eq!(looked_up.body, first.body);
        assert_eq!(site.starts().tasks, 2);
        Ok(())
    })
}

#[test]
fn outage_refuses_at_once() -> TestResult {
    smol::block_on(async {
        let site = Site::start(1).await?;
        site.platform.set_faults(PlatformFaults {
            outage: Outage::Refusing,
            ..PlatformFaults::default()
        });
        let refused = site.send(submit(&site, 0, "order-1")).await?;
        assert_eq!(refused.status, 503, "{:?}", refused.body);
        let body = json_of(&refused)?;
        assert_eq!(body["outcome"], "not_run");
        assert_eq!(body["reason"], "claim_unavailable");
        assert!(refused.header("retry-after").is_some());
        assert_eq!(site.starts().tasks, 0);
        assert!(site.platform.counters().refused > 0);

        let single = site.send_task(0, &job(1, 5)).await?;
        assert_eq!(single.status, 200, "{:?}", single.body);

        site.platform.set_faults(PlatformFaults::default());
        let retried = submit_until_accepted(&site, "order-1").await?;
        assert_eq!(retried["outcome"], "complete");
        assert_eq!(site.starts().tasks, 3);
        assert_eq!(site.starts().max_starts_per_task, 1);
        Ok(())
    })
}

/// Resubmits a job after each answer's `retry_after_ms` until it is accepted.
async fn submit_until_accepted(site: &Site, key: &str) -> Result<Value, Box<dyn Error>> {
    for _ in 0..10 {
        let body = json_of(&site.send(submit(site, 0, key)).await?)?;
        let Some(retry_after_ms) = body["retry_after_ms"].as_u64() else {
            return Ok(body);
        };
        Timer::after(Duration::from_millis(retry_after_ms)).await;
    }
    Err("the job was refused ten times".into())
}

#[test]
fn lost_answers_run_nothing_twice() -> TestResult {
    smol::block_on(async {
        let site = start_two_entries().await?;
        site.platform.set_faults(PlatformFaults {
            apply_then_lose: true,
            ..PlatformFaults::default()
        });
        let first = site.send(submit(&site, 0, "order-1")).await?;
        let first = json_of(&first)?;
        site.platform.set_faults(PlatformFaults::default());
        assert!(site.platform.counters().lost_answers > 0);
        let again = submit_until_accepted(&site, "order-1").await?;
        assert_eq!(again["outcome"], "complete", "{first} then {again}");
        let through_other = site.send(submit(&site, 1, "order-1")).await?;
        assert_eq!(json_of(&through_other)?, again);
        assert_eq!(site.starts().tasks, 2);
        assert_eq!(site.starts().max_starts_per_task, 1);
        Ok(())
    })
}

#[test]
fn many_claims_share_writes() -> TestResult {
    smol::block_on(async {
        let mut site = Site::without_entries(4).await?;
        let document = site.document();
        site.install(1, &document).await?;
        let budget = json!({ "platform": { "claim_writes_per_second": 5 } });
        site.start_entry("entry-a", NORTH, budget).await?;
        let before = site.platform.counters();
        let executor = smol::LocalExecutor::new();
        let site = &site;
        let calls = (0..40).map(|number| {
            let request = submit(site, 0, &format!("order-{number}"));
            executor.spawn(async move { site.send(request).await.expect("an answer").status })
        });
        let calls: Vec<_> = calls.collect();
        let check = async {
            for call in calls {
                assert_eq!(call.await, 200);
            }
        };
        executor.run(check).await;
        let writes = site.platform.counters().writes - before.writes;
        assert!(writes <= 10, "{writes} writes for 40 claims");
        Ok(())
    })
}
