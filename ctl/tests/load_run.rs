//! `almondctl load` against real entry processes.

use std::time::Duration;

use almondhead_ctl::load;
use almondhead_ctl::load_options::EntrySelection;
use almondhead_ctl::load_options::LoadOptions;
use almondhead_testsupport::site::NORTH;
use almondhead_testsupport::site::SERVICE;
use almondhead_testsupport::site::Site;
use almondhead_testsupport::site::TEAM;
use almondhead_testsupport::site::TestResult;
use serde_json::json;

const UPSTREAMS: usize = 4;

fn options(site: &Site) -> Result<LoadOptions, Box<dyn std::error::Error>> {
    let matches = load::command().get_matches_from(["load", "--entry", "127.0.0.1:1"]);
    Ok(LoadOptions {
        entries: site
            .entries
            .iter()
            .map(|entry| entry.caller_address)
            .collect(),
        operator_addresses: site
            .entries
            .iter()
            .map(|entry| entry.operator_address)
            .collect(),
        service: SERVICE.to_owned(),
        teams: vec![TEAM.to_owned()],
        slots: 8 * UPSTREAMS as u32,
        load: 0.3,
        duration: Duration::from_secs(2),
        run_scale: 0.1,
        ..LoadOptions::from_matches(&matches)?
    })
}

#[test]
fn report_matches_upstream_starts() -> TestResult {
    let mut site = smol::block_on(Site::start(UPSTREAMS))?;
    smol::block_on(site.start_entry("entry-b", NORTH, json!({})))?;
    smol::block_on(site.wait_for_siblings(1))?;
    for entry_selection in [EntrySelection::Home, EntrySelection::RoundRobin] {
        let before = site.starts().tasks;
        let options = LoadOptions {
            entry_selection,
            ..options(&site)?
        };
        let report = load::offer(&options)?;
        let started = site.starts();
        let ends: u64 = report.ends.values().sum();
        assert_eq!(ends, report.jobs);
        assert!(report.jobs > 10, "{report}");
        let complete = report.ends["complete"];
        assert_eq!(complete, report.jobs, "{report}");
        assert_eq!((started.tasks - before) as u64, report.tasks);
        assert_eq!(started.max_starts_per_task, 1);
        let messages = report.messages.ok_or("no messages were read")?;
        assert_eq!(messages.by_kind["upstream_answer"], report.tasks);
        let forwards = messages.by_kind["forward"];
        assert_eq!(
            forwards > 0,
            entry_selection == EntrySelection::RoundRobin,
            "{forwards} forwards"
        );
        assert!(report.goodput > 0.0 && report.singles_over_ideal.p50 >= 0.9);
    }
    Ok(())
}
