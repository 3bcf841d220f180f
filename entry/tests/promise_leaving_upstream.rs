//! An upstream that is leaving receives no new work after a few seconds.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;

use almondhead_net::InstanceRole;
use almondhead_net::InstanceState;
use almondhead_net::ListedInstance;
use almondhead_testsupport::Outage;
use almondhead_testsupport::PlatformFaults;
use almondhead_testsupport::UpstreamStandIn;
use almondhead_testsupport::site::NORTH;
use almondhead_testsupport::site::Site;
use almondhead_testsupport::site::TestResult;
use almondhead_testsupport::site::json_of;
use almondhead_testsupport::site_faults::Caller;
use almondhead_testsupport::site_faults::WITHIN_SECONDS;
use almondhead_testsupport::site_faults::marked_job;
use almondhead_testsupport::site_faults::post_task;
use serde_json::json;
use smol::Task;
use smol::Timer;

const CALLERS: usize = 12;
const MAX_CALLS_PER_CALLER: usize = 2_000;
const RUN_MS: u64 = 40;
const WARM_UP_TIME: Duration = Duration::from_millis(500);
const OBSERVATION_TIME: Duration = Duration::from_secs(2);
const LEAVES_IN_MS: u64 = 3_000;
const LIST_LAG_MS: u64 = 2_000;

/// Callers that submit single tasks until the load is ended.
struct Load {
    ending: Arc<AtomicBool>,
    callers: Vec<Task<Result<usize, String>>>,
}

impl Load {
    fn start(site: &Site) -> Self {
        let ending = Arc::new(AtomicBool::new(false));
        let callers = (0..CALLERS)
            .map(|number| {
                let entry = &site.entries[number % site.entries.len()];
                let (address, ending) = (entry.caller_address, Arc::clone(&ending));
                smol::spawn(async move {
                    let caller = Caller::new();
                    for call in 0..MAX_CALLS_PER_CALLER {
                        if ending.load(Ordering::Relaxed) {
                            return Ok(call);
                        }
                        let body = marked_job(&format!("load-{number}-{call}"), 1, RUN_MS);
                        let answer = caller.send(post_task(address, &body)).await;
                        let answer = answer.map_err(|error| error.to_string())?;
                        let answer = json_of(&answer).map_err(|error| error.to_string())?;
                        if answer["outcome"] == "failed" {
                            return Err(format!("{number}-{call}: {answer}"));
                        }
                    }
                    Ok(MAX_CALLS_PER_CALLER)
                })
            })
            .collect();
        Load { ending, callers }
    }

    /// Ends the load and checks that every call was answered, none as failed.
    async fn end(self) -> TestResult {
        self.ending.store(true, Ordering::Relaxed);
        for caller in self.callers {
            assert!(caller.await? > 0);
        }
        Ok(())
    }
}

/// Starts three upstreams and two entries in one data centre.
async fn start_site() -> Result<Site, Box<dyn std::error::Error>> {
    let mut site = Site::without_entries(3).await?;
    let installed = site.document();
    site.install(1, &installed).await?;
    site.platform.announce(listed_upstream()).await;
    site.start_entry("entry-a", NORTH, json!({})).await?;
    site.start_entry("entry-b", NORTH, json!({})).await?;
    site.wait_for_siblings(1).await?;
    Ok(site)
}

fn listed_upstream() -> ListedInstance {
    ListedInstance {
        name: "upstream-0".to_owned(),
        role: InstanceRole::Upstream,
        data_centre: NORTH.to_owned(),
        state: InstanceState::Live,
        incarnation: None,
        peer_address: None,
        address: None,
    }
}

fn starts(upstream: &UpstreamStandIn) -> u64 {
    upstream.report().tasks.iter().map(|task| task.starts).sum()
}

/// Checks under load that nothing starts at the first upstream after `WITHIN_SECONDS`.
async fn check_unused(site: &Site, load: Load, started_before: u64) -> TestResult {
    Timer::after(WITHIN_SECONDS).await;
    let at_bound = starts(&site.upstreams[0]);
    let others = || starts(&site.upstreams[1]) + starts(&site.upstreams[2]);
    let others_at_bound = others();
    Timer::after(OBSERVATION_TIME).await;
    load.end().await?;
    assert!(
        started_before > 0,
        "nothing started at the upstream before it left"
    );
    assert!(
        others() > others_at_bound,
        "nothing started at the other upstreams afterwards"
    );
    assert_eq!(starts(&site.upstreams[0]), at_bound);
    site.check_at_most_once()
}

fn unix_time_ms() -> Result<u64, Box<dyn std::error::Error>> {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH)?;
    Ok(u64::try_from(now.as_millis())?)
}

#[test]
fn upstream_leaves_by_document_with_platform_down() -> TestResult {
    smol::block_on(async {
        let site = start_site().await?;
        let load = Load::start(&site);
        let mut installed = site.document();
        installed.upstreams[0].leaves_at_unix_ms = Some(unix_time_ms()? + LEAVES_IN_MS);
        site.install(2, &installed).await?;
        for entry in 0..site.entries.len() {
            site.wait_for_status(entry, "document_revision", 2).await?;
        }
        site.platform.set_faults(PlatformFaults {
            outage: Outage::Refusing,
            ..PlatformFaults::default()
        });
        let started_before = starts(&site.upstreams[0]);
        Timer::after(Duration::from_millis(LEAVES_IN_MS)).await;
        check_unused(&site, load, started_before).await?;
        assert!(site.platform.counters().refused > 0);
        Ok(())
    })
}

#[test]
fn upstream_leaves_by_lagging_list() -> TestResult {
    smol::block_on(async {
        let site = start_site().await?;
        site.platform.set_faults(PlatformFaults {
            lag_ms: LIST_LAG_MS,
            ..PlatformFaults::default()
        });
        Timer::after(2 * Duration::from_millis(LIST_LAG_MS)).await;
        site.wait_for_siblings(1).await?;
        let load = Load::start(&site);
        Timer::after(WARM_UP_TIME).await;
        let started_before = starts(&site.upstreams[0]);
        let lists_before = site.platform.counters().lists;
        site.platform.set_leaving("upstream-0").await;
        check_unused(&site, load, started_before).await?;
        assert!(site.platform.counters().lists > lists_before);
        Ok(())
    })
}

#[test]
fn upstream_stays_unused_while_platform_is_down() -> TestResult {
    smol::block_on(async {
        let site = start_site().await?;
        let load = Load::start(&site);
        Timer::after(WARM_UP_TIME).await;
        let started_before = starts(&site.upstreams[0]);
        site.platform.set_leaving("upstream-0").await;
        Timer::after(Duration::from_millis(LIST_LAG_MS)).await;
        site.platform.set_faults(PlatformFaults {
            outage: Outage::Silent,
            ..PlatformFaults::default()
        });
        check_unused(&site, load, started_before).await?;
        assert!(site.platform.counters().unanswered > 0);
        Ok(())
    })
}
