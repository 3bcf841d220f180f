//! The number of heartbeats that an instance sends, as the number of instances grows.

use almondhead_testsupport::run_site::RunSite;
use almondhead_testsupport::run_site::SitePlan;

/// The mean number of messages that one instance sends in a second without jobs.
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
    // Of 8 instances all 7 others are neighbours; of 60, the 12 chosen and about as many that chose
    // it.
    assert!(
        small >= 7 * 6,
        "{small} messages a second from one of 8 instances"
    );
    assert!(
        large <= 26 * 7,
        "{large} messages a second from one of 60 instances"
    );
}
