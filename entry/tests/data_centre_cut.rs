//! A data centre that is cut off from the other one, from the platform or from both keeps serving,
//! and is then reconnected.

use std::error::Error;
use std::time::Duration;

use almondhead_lib::document::Document;
use almondhead_testsupport::FaultProxy;
use almondhead_testsupport::ProxyFaults;
use almondhead_testsupport::site::NORTH;
use almondhead_testsupport::site::SOUTH;
use almondhead_testsupport::site::Site;
use almondhead_testsupport::site::TestResult;
use almondhead_testsupport::site::json_of;
use almondhead_testsupport::site_faults::Caller;
use almondhead_testsupport::site_faults::marked_job;
use almondhead_testsupport::site_faults::put_job;
use serde_json::json;
use smol::Timer;

const NORTH_ENTRY: usize = 0;
const SOUTH_ENTRY: usize = 1;
const TASKS: usize = 12;
const OVERFLOW_TASKS: usize = 48;
const CUT_DURATION: Duration = Duration::from_secs(3);
const MAX_RESUBMISSIONS: usize = 50;
const RESUBMIT_INTERVAL: Duration = Duration::from_millis(200);

/// Two data centres with an entry and two upstreams each. Proxies carry the messages between the
/// entries, and the south's requests to the platform.
struct TwoCentres {
    site: Site,
    to_platform: FaultProxy,
    to_north: FaultProxy,
    to_south: FaultProxy,
}

/// What the southern data centre is cut off from.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Cut {
    Sibling,
    Platform,
    Both,
}

impl TwoCentres {
    async fn start() -> Result<Self, Box<dyn Error>> {
        let mut site = Site::without_entries(4).await?;
        site.install(1, &two_centre_document(&site)).await?;
        let to_platform = FaultProxy::start(site.platform.address()).await?;
        let north_address = almondhead_testsupport::free_address()?;
        let south_address = almondhead_testsupport::free_address()?;
        let to_north = FaultProxy::start(north_address).await?;
        let to_south = FaultProxy::start(south_address).await?;
        site.platform
            .set_peer_address("entry-north", to_north.address());
        site.platform
            .set_peer_address("entry-south", to_south.address());
        let north = json!({ "peer_address": north_address });
        site.start_entry("entry-north", NORTH, north).await?;
        let south = json!({
            "peer_address": south_address,
            "platform_address": to_platform.address(),
        });
        site.start_entry("entry-south", SOUTH, south).await?;
        site.wait_for_siblings(1).await?;
        Ok(TwoCentres {
            site,
            to_platform,
            to_north,
            to_south,
        })
    }

    fn cut(&self, cut: Cut) {
        if cut != Cut::Platform {
            self.to_north.set_faults(ProxyFaults::black_hole());
            self.to_south.set_faults(ProxyFaults::black_hole());
        }
        if cut != Cut::Sibling {
            self.to_platform.set_faults(ProxyFaults::black_hole());
        }
    }

    async fn heal(&self) -> TestResult {
        for proxy in [&self.to_north, &self.to_south, &self.to_platform] {
            proxy.heal().await?;
        }
        Ok(())
    }

    /// Returns how many pieces of data the cut held back: between the entries, and to the platform.
    fn held_back(&self) -> [u64; 2] {
        let entry_proxies = [&self.to_north, &self.to_south];
        let between_entries = entry_proxies
            .iter()
            .map(|proxy| proxy.counters().black_holed);
        [
            between_entries.sum(),
            self.to_platform.counters().black_holed,
        ]
    }

    async fn revision(&self, entry: usize) -> Result<u64, Box<dyn Error>> {
        let revision = self.site.status_of(entry, "document_revision").await?;
        Ok(revision
            .as_u64()
            .ok_or("document_revision is not a number")?)
    }

    /// Submits a job of a session at an entry and checks that it is complete and ran once.
    async fn check_served(&self, entry: usize, session: &str, marker: &str) -> TestResult {
        let address = self.site.entries[entry].caller_address;
        let body = marked_job(marker, TASKS, 20);
        let answer = self.site.send(put_job(address, session, 1, &body)).await?;
        assert_eq!(answer.status, 200, "{marker}: {:?}", answer.body);
        assert_eq!(self.site.starts_of(marker), TASKS as u64, "{marker}");
        Ok(())
    }

    /// Resubmits a job at the other entry until the entry reaches the job's home again.
    async fn resubmit(&self, entry: usize, session: &str, marker: &str) -> TestResult {
        let address = self.site.entries[entry].caller_address;
        let body = marked_job(marker, TASKS, 20);
        let mut last_answer = String::new();
        for _ in 0..MAX_RESUBMISSIONS {
            let answer = self.site.send(put_job(address, session, 1, &body)).await?;
            if answer.status == 200 {
                return Ok(());
            }
            let answer = json_of(&answer)?;
            assert_eq!(answer["outcome"], "failed", "{answer}");
            last_answer = answer.to_string();
            Timer::after(RESUBMIT_INTERVAL).await;
        }
        Err(format!("{marker} was not answered by its home: {last_answer}").into())
    }
}

/// Returns the site's document with its upstreams split between the data centres.
fn two_centre_document(site: &Site) -> Document {
    let mut document = site.document();
    for upstream in document.upstreams.iter_mut().skip(2) {
        SOUTH.clone_into(&mut upstream.data_centre);
    }
    document
}

/// Cuts the south off and checks that both data centres keep serving; then reconnects it and checks
/// that no task runs again and that the newer document stays in force.
async fn cut_and_heal(cut: Cut) -> TestResult {
    let centres = TwoCentres::start().await?;
    let site = &centres.site;
    let north_session = site.open_session(NORTH_ENTRY).await?;
    let south_session = site.open_session(SOUTH_ENTRY).await?;
    let overflow_session = site.open_session(NORTH_ENTRY).await?;
    let caller = Caller::new();
    let mut overflow = marked_job("overflow", OVERFLOW_TASKS, 500);
    overflow["timeout_ms"] = json!(8_000);
    let north_address = site.entries[NORTH_ENTRY].caller_address;
    let overflow = || put_job(north_address, &overflow_session, 1, &overflow);
    let running = caller.send(overflow());
    site.wait_for_starts("overflow", 1).await?;
    centres.cut(cut);
    let new_session = site.open_session(SOUTH_ENTRY).await?;
    Timer::after(CUT_DURATION).await;

    centres
        .check_served(NORTH_ENTRY, &north_session, "north")
        .await?;
    centres
        .check_served(SOUTH_ENTRY, &south_session, "south")
        .await?;
    centres
        .check_served(SOUTH_ENTRY, &new_session, "new")
        .await?;
    site.install(2, &two_centre_document(site)).await?;
    site.wait_for_status_within_seconds(NORTH_ENTRY, "document_revision", 2)
        .await?;
    if cut == Cut::Both {
        assert_eq!(centres.revision(SOUTH_ENTRY).await?, 1);
    } else {
        site.wait_for_status_within_seconds(SOUTH_ENTRY, "document_revision", 2)
            .await?;
    }
    let [between_entries, to_platform] = centres.held_back();
    assert_eq!(
        between_entries > 0,
        cut != Cut::Platform,
        "{cut:?}: {between_entries}"
    );
    assert_eq!(to_platform > 0, cut != Cut::Sibling, "{cut:?}");
    let first_answer = running.await?;

    centres.heal().await?;
    site.wait_for_status_within_seconds(SOUTH_ENTRY, "document_revision", 2)
        .await?;
    centres
        .resubmit(SOUTH_ENTRY, &north_session, "north")
        .await?;
    centres
        .resubmit(NORTH_ENTRY, &south_session, "south")
        .await?;
    centres.resubmit(NORTH_ENTRY, &new_session, "new").await?;
    let again = site.send(overflow()).await?;
    assert_eq!(again.body, first_answer.body);
    for entry in [NORTH_ENTRY, SOUTH_ENTRY] {
        assert_eq!(centres.revision(entry).await?, 2);
    }
    site.check_at_most_once()
}

#[test]
fn cut_off_from_the_other() -> TestResult {
    smol::block_on(cut_and_heal(Cut::Sibling))
}

#[test]
fn cut_off_from_the_platform() -> TestResult {
    smol::block_on(cut_and_heal(Cut::Platform))
}

#[test]
fn cut_off_from_both() -> TestResult {
    smol::block_on(cut_and_heal(Cut::Both))
}
