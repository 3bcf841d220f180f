//! How many instances an instance exchanges heartbeats with, as their number grows.

use almondhead_testsupport::run_site::RunSite;
use almondhead_testsupport::run_site::SitePlan;

/// The messages that one instance sends in a calm second.
fn messages_a_second(data_centres: u32, instances: u32) -> u64 {
    let mut site = RunSite::start(&SitePlan::new(data_centres, instances, 2));
    site.run_ms(2_000);
    let (_, before) = site.traffic();
    site.run_ms(1_000);
    let (_, after) = site.traffic();
    (after - before) / u64::from(data_centres * instances)
}

#[test]
fn heartbeats_stay_bounded_as_instances_grow() {
    let small = messages_a_second(2, 4);
    let large = messages_a_second(4, 15);
    // Seven neighbours of eight instances; twelve chosen and about as many choosing of sixty.
    assert!(small >= 7 * 6, "{small}");
    assert!(large <= 26 * 7, "{large}");
}
