//! Random faults, two at a time, on a simulated site of leased runs; the seeds are fixed.

use almondhead_testsupport::run_site::OrderFault;
use almondhead_testsupport::run_site::RunSite;
use almondhead_testsupport::run_site::SitePlan;
use almondhead_testsupport::run_site::UpstreamFault;
use almondhead_testsupport::run_site::run_job;

/// The seeds run in CI; `RANDOM_FAULTS_SEEDS=1000..1200` runs others.
///
/// Seeds 1 and 2 failed when a start that had reached the new incarnation of a restarted upstream
/// was considered lost with the old one.
const SEEDS: std::ops::Range<u64> = 1..21;

/// The interval between changes of faults, in milliseconds.
const FAULT_GAP_MS: u64 = 700;

#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill,
    Freeze,
    CutPair,
    CutStore,
    StoreDown,
    Orders,
    Upstream,
    Restart,
    Leave,
}

const FAULTS: [Fault; 9] = [
    Fault::Kill,
    Fault::Freeze,
    Fault::CutPair,
    Fault::CutStore,
    Fault::StoreDown,
    Fault::Orders,
    Fault::Upstream,
    Fault::Restart,
    Fault::Leave,
];

fn begin_fault(site: &mut RunSite, fault: Fault) -> usize {
    let node = site.random_below(site.node_count() as u64) as usize;
    let upstream = site.random_below(site.upstream_count() as u64) as usize;
    match fault {
        Fault::Kill => site.kill(node),
        Fault::Freeze => site.freeze(node),
        Fault::CutPair => site.cut(node, (node + 1) % site.node_count(), true),
        Fault::CutStore => site.cut_from_store(node, true),
        Fault::StoreDown => site.set_store_down(true),
        Fault::Orders => site.set_order_fault(OrderFault {
            late_percent: 8,
            unanswered_percent: 8,
        }),
        Fault::Upstream => {
            let kinds = [
                UpstreamFault::FailsAll,
                UpstreamFault::Hangs,
                UpstreamFault::Slow(5.0),
                UpstreamFault::Down,
            ];
            let kind = kinds[site.random_below(4) as usize];
            site.set_upstream_fault(upstream, Some(kind));
            return upstream;
        }
        Fault::Restart => site.restart_upstream(upstream),
        Fault::Leave => site.stop_node(node),
    }
    node
}

fn end_fault(site: &mut RunSite, fault: Fault, target: usize) {
    match fault {
        Fault::Kill => site.start_node(target),
        Fault::Freeze => site.thaw(target),
        Fault::CutPair => site.cut(target, (target + 1) % site.node_count(), false),
        Fault::CutStore => site.cut_from_store(target, false),
        Fault::StoreDown => site.set_store_down(false),
        Fault::Orders => site.set_order_fault(OrderFault::default()),
        Fault::Upstream => site.restart_upstream(target),
        Fault::Restart => {}
        Fault::Leave => {
            site.kill(target);
            site.start_node(target);
        }
    }
}

/// Submits jobs for `ms` milliseconds, and drops the callers of some that are not answered yet.
fn submit_jobs(site: &mut RunSite, next: &mut u64, ms: u64) {
    let until = site.now_ms() + ms;
    while site.now_ms() < until {
        let node = site.random_below(site.node_count() as u64) as usize;
        let tasks = 1 + site.random_below(8) as u32;
        let run_ms = 40 + site.random_below(400);
        let id = format!("{next:016x}");
        *next += 1;
        let job = run_job(tasks, 4_000 + site.random_below(5_000) as u32, run_ms);
        site.submit(node, "look", &id, &job);
        if site.random_below(10) == 0 && *next > 60 {
            // Submitted at least 1.3 s ago, at about 50 jobs per second.
            let dropped = format!(
                "{:016x}",
                *next - 60 - site.random_below(20).min(*next - 60)
            );
            if site.answer(&dropped).is_none() {
                site.drop_caller(&dropped);
            }
        }
        let gap_ms = 10 + site.random_below(20);
        site.run_ms(gap_ms);
    }
}

fn run_seed(seed: u64) {
    let mut site = RunSite::start(&SitePlan {
        speeds: vec![0.8, 1.0, 1.25],
        seed,
        ..SitePlan::new(3, 2, 5)
    });
    site.run_ms(1_000);
    let mut next = 1;
    for _ in 0..6 {
        let first = FAULTS[site.random_below(FAULTS.len() as u64) as usize];
        let second = FAULTS[site.random_below(FAULTS.len() as u64) as usize];
        let at_first = begin_fault(&mut site, first);
        submit_jobs(&mut site, &mut next, FAULT_GAP_MS);
        let at_second = begin_fault(&mut site, second);
        submit_jobs(&mut site, &mut next, FAULT_GAP_MS * 3);
        end_fault(&mut site, first, at_first);
        submit_jobs(&mut site, &mut next, FAULT_GAP_MS);
        end_fault(&mut site, second, at_second);
        submit_jobs(&mut site, &mut next, FAULT_GAP_MS);
        let violations = site.violations();
        assert!(
            violations.is_empty(),
            "seed {seed}, {first:?} and {second:?}: {violations:?}"
        );
    }
    site.run_ms(14_000);
    assert!(
        site.violations().is_empty(),
        "seed {seed}: {:?}",
        site.violations()
    );
    assert_eq!(site.running(), 0, "seed {seed}: runs still active");
    let usable: usize = (0..site.node_count())
        .map(|node| site.usable_upstreams(node))
        .sum();
    assert_eq!(
        usable,
        site.upstream_count(),
        "seed {seed}: some upstreams are not usable"
    );
}

fn seeds() -> std::ops::Range<u64> {
    let text = std::env::var("RANDOM_FAULTS_SEEDS").ok();
    let range = text.and_then(|text| {
        let (from, to) = text.split_once("..")?;
        Some(from.parse().ok()?..to.parse().ok()?)
    });
    range.unwrap_or(SEEDS)
}

#[test]
fn no_task_runs_twice_and_the_site_recovers() {
    for seed in seeds() {
        run_seed(seed);
    }
}
