//! Upstreams whose capacity shrinks and grows while they run.

use almondhead_testsupport::run_site::RunSite;
use almondhead_testsupport::run_site::SitePlan;
use almondhead_testsupport::run_site::run_job;

/// Keeps more tasks queued than the upstreams run, for this many steps of 100 ms; returns the starts
/// on the first upstream.
fn press(site: &mut RunSite, first_job: u64, steps: u64) -> u64 {
    let before = site.start_count(0);
    for step in 0..steps {
        for number in 0..4 {
            let id = format!("{:016x}", first_job + step * 4 + number);
            let node = (number % 2) as usize;
            site.submit(node, "look", &id, &run_job(2, 7_000, 150));
        }
        site.run_ms(100);
    }
    site.start_count(0) - before
}

/// Guards against starts beyond the capacity of an upstream that does not refuse them, after its
/// capacity has shrunk, and against capacity that stays unused after it has grown again.
#[test]
fn starts_follow_a_changing_capacity() {
    let mut site = RunSite::start(&SitePlan::new(1, 2, 3));
    site.stop_guarding_capacity();
    site.run_ms(1_000);
    let whole = press(&mut site, 0, 60);
    site.set_capacity(0, 8_000);
    press(&mut site, 1_000, 45);
    let half = press(&mut site, 2_000, 60);
    site.set_capacity(0, 16_000);
    press(&mut site, 3_000, 45);
    let whole_again = press(&mut site, 4_000, 60);
    assert!(site.violations().is_empty(), "{:?}", site.violations());
    assert!(half * 10 <= whole * 7, "{half} of {whole}");
    assert!(whole_again * 10 >= whole * 9, "{whole_again} of {whole}");
}
