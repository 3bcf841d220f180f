//! Ownership of upstreams as instances start, leave, die, freeze and are cut off.

use almondhead_lib::runs::run_answer::GivenUp;
use almondhead_lib::runs::run_answer::JobEnd;
use almondhead_lib::runs::run_answer::RunAnswer;
use almondhead_testsupport::run_site::RunSite;
use almondhead_testsupport::run_site::SitePlan;
use almondhead_testsupport::run_site::run_job;

fn started(seed: u64) -> RunSite {
    let mut site = RunSite::start(&SitePlan {
        seed,
        ..SitePlan::new(3, 2, 6)
    });
    site.run_ms(1_000);
    site
}

fn usable(site: &RunSite) -> usize {
    (0..site.node_count())
        .map(|node| site.usable_upstreams(node))
        .sum()
}

fn completed(site: &RunSite) -> usize {
    let ends = site.answers();
    let done = ends.filter(|(_, end)| end.answer == RunAnswer::Ended(JobEnd::Completed));
    done.count()
}

/// Submits a job every `gap_ms`, in turn at the given instances; jobs are numbered from `from`.
fn submit(site: &mut RunSite, from: u32, jobs: u32, nodes: &[usize], gap_ms: u64) {
    for number in from..from + jobs {
        let node = nodes[number as usize % nodes.len()];
        let id = format!("{number:016x}");
        site.submit(node, "look", &id, &run_job(4, 6_800, 100));
        site.run_ms(gap_ms);
    }
}

#[test]
fn upstreams_of_a_dead_instance_are_used_again() {
    let mut site = started(1);
    site.kill(0);
    // Its heartbeats must be missing for 2.5 s, and the next read must find its row removed.
    site.run_ms(4_500);
    assert_eq!(usable(&site), site.upstream_count());
}

#[test]
fn killed_instance_gets_its_upstreams_back_at_its_start() {
    let mut site = started(1);
    site.kill(0);
    site.run_ms(600);
    site.start_node(0);
    site.run_ms(700);
    assert_eq!(usable(&site), site.upstream_count());
}

#[test]
fn runs_survive_the_restart_of_their_owner() {
    let mut site = started(1);
    // Another home places the tasks on all upstreams, including those of the killed owner.
    site.submit(1, "look", "00000000000000aa", &run_job(30, 6_800, 900));
    site.run_ms(100);
    site.kill(0);
    site.run_ms(300);
    site.start_node(0);
    site.run_ms(1_500);
    let answer = site.answer("00000000000000aa").expect("an answer");
    assert_eq!(answer.answer, RunAnswer::Ended(JobEnd::Completed));
    let took = answer.answered_at.since(answer.asked_at).as_millis();
    assert!(took < 1_000, "{took} ms: its runs were not adopted");
    assert!(site.violations().is_empty(), "{:?}", site.violations());
}

#[test]
fn job_of_a_dead_owner_is_given_up_once_no_run_can_be_claimed() {
    let mut site = started(1);
    site.submit(1, "look", "00000000000000aa", &run_job(30, 6_800, 900));
    site.run_ms(100);
    site.kill(0);
    site.run_ms(2_000);
    let answer = site.answer("00000000000000aa").expect("an answer");
    assert_eq!(answer.answer, RunAnswer::GivenUp(GivenUp::OwnerLost));
    // A lease of a second, and up to 150 ms until the next heartbeat is missing.
    let took = answer.answered_at.since(answer.asked_at).as_millis();
    assert!(took < 1_250, "the job was given up only after {took} ms");
}

#[test]
fn leaving_instance_hands_its_runs_over() {
    let mut site = started(1);
    submit(&mut site, 0, 10, &[1, 2, 3], 20);
    site.stop_node(0);
    submit(&mut site, 10, 40, &[1, 2, 3], 20);
    site.run_ms(1_500);
    assert_eq!(completed(&site), 50);
    assert_eq!(site.usable_upstreams(0), 0);
    assert_eq!(usable(&site), site.upstream_count());
    assert!(site.violations().is_empty(), "{:?}", site.violations());
}

#[test]
fn home_that_stops_just_after_its_start_finds_the_other_owner() {
    for wait in (0..600).step_by(20) {
        let mut site = RunSite::start(&SitePlan::new(2, 1, 2));
        site.run_ms(1_000);
        site.kill(0);
        site.run_ms(5_000 + wait);
        site.start_node(0);
        site.run_ms(15);
        site.submit(0, "look", "00000000000000aa", &run_job(8, 6_800, 60));
        site.run_ms(30);
        site.stop_node(0);
        site.run_ms(1_500);
        let answer = site.answer("00000000000000aa").expect("an answer");
        assert_eq!(answer.answer, RunAnswer::Ended(JobEnd::Completed), "{wait}");
    }
}

#[test]
fn leaving_home_answers_the_jobs_it_accepted() {
    let mut site = started(1);
    site.submit(0, "look", "00000000000000aa", &run_job(8, 6_800, 900));
    site.run_ms(50);
    site.stop_node(0);
    site.submit(0, "look", "00000000000000ab", &run_job(2, 6_800, 100));
    site.run_ms(1_500);
    assert_eq!(completed(&site), 2);
}

#[test]
fn runs_of_a_dead_home_are_stopped() {
    let mut site = started(1);
    site.submit(0, "look", "00000000000000aa", &run_job(30, 6_800, 1_300));
    site.run_ms(100);
    assert_eq!(site.running(), 30);
    site.kill(0);
    // Owners count the home as unreachable after 600 ms; leases of its own upstreams expire after a
    // second.
    site.run_ms(1_150);
    assert_eq!(site.running(), 0);
}

#[test]
fn job_sent_again_after_its_home_died_never_runs_twice() {
    for seed in 1..=10 {
        let mut site = started(seed);
        let job = run_job(20, 6_800, 1_000);
        site.submit(0, "look", "00000000000000aa", &job);
        site.run_ms(100 + seed * 37);
        site.kill(0);
        site.run_ms(1_300);
        site.submit(1 + seed as usize % 5, "look", "00000000000000aa", &job);
        site.run_ms(3_000);
        assert!(
            site.violations().is_empty(),
            "{seed}: {:?}",
            site.violations()
        );
    }
}

#[test]
fn thawed_instance_starts_no_stale_tasks() {
    for seed in 1..=10 {
        let mut site = started(seed);
        submit(&mut site, 0, 20, &[0, 1, 2, 3, 4, 5], 15);
        site.freeze(0);
        submit(&mut site, 20, 100, &[1, 2, 3, 4, 5], 40);
        site.thaw(0);
        submit(&mut site, 120, 20, &[0, 1, 2, 3, 4, 5], 15);
        site.run_ms(4_000);
        assert!(
            site.violations().is_empty(),
            "{seed}: {:?}",
            site.violations()
        );
        assert_eq!(usable(&site), site.upstream_count(), "seed {seed}");
        assert_eq!(site.running(), 0, "seed {seed}");
    }
}

#[test]
fn instance_cut_off_from_its_siblings_serves_alone() {
    let mut site = started(1);
    for other in 1..6 {
        site.cut(0, other, true);
    }
    site.run_ms(1_000);
    submit(&mut site, 0, 20, &[0], 150);
    site.run_ms(1_000);
    assert_eq!(completed(&site), 20);
    for other in 1..6 {
        site.cut(0, other, false);
    }
    site.run_ms(1_000);
    site.submit(0, "look", "00000000000000aa", &run_job(30, 6_800, 200));
    site.run_ms(500);
    let answer = site.answer("00000000000000aa").expect("an answer");
    assert_eq!(answer.answer, RunAnswer::Ended(JobEnd::Completed));
    assert!(site.violations().is_empty(), "{:?}", site.violations());
}

#[test]
fn instance_cut_off_from_the_store_serves_through_its_siblings() {
    let mut site = started(1);
    site.cut_from_store(0, true);
    submit(&mut site, 0, 150, &[0, 1, 2], 40);
    site.run_ms(1_500);
    assert_eq!(completed(&site), 150);
    // Its siblings can reach it, so it stays the owner of its upstreams.
    assert_eq!(usable(&site), site.upstream_count());
    site.cut_from_store(0, false);
    site.run_ms(1_500);
    assert_eq!(usable(&site), site.upstream_count());
    assert!(site.violations().is_empty(), "{:?}", site.violations());
}

#[test]
fn nobody_is_removed_while_the_store_is_down() {
    let mut site = started(1);
    site.set_store_down(true);
    submit(&mut site, 0, 100, &[0, 1, 2, 3, 4, 5], 60);
    site.set_store_down(false);
    site.run_ms(3_000);
    assert_eq!(completed(&site), 100);
    assert_eq!(usable(&site), site.upstream_count());
}

#[test]
fn entry_that_expires_in_a_store_outage_is_kept() {
    let mut site = started(1);
    site.set_store_down(true);
    site.run_ms(4_000);
    site.set_store_down(false);
    site.delist(0);
    site.run_ms(1_900);
    assert_eq!(usable(&site), site.upstream_count());
    site.relist(0);
    site.run_ms(1_500);
    assert_eq!(usable(&site), site.upstream_count());
}

#[test]
fn entry_not_relisted_after_the_outage_is_removed() {
    let mut site = started(1);
    site.set_store_down(true);
    site.run_ms(1_000);
    site.set_store_down(false);
    site.delist(0);
    site.run_ms(2_600);
    assert_eq!(usable(&site), site.upstream_count() - 1);
}

#[test]
fn entry_removed_without_an_outage_is_gone_at_once() {
    let mut site = started(1);
    site.delist(0);
    site.run_ms(5);
    assert_eq!(usable(&site), site.upstream_count() - 1);
}

#[test]
fn run_on_a_delisted_upstream_is_followed_to_its_end() {
    let mut site = started(1);
    site.submit(0, "look", "00000000000000aa", &run_job(30, 6_800, 400));
    site.run_ms(100);
    for upstream in 0..6 {
        site.delist(upstream);
    }
    site.run_ms(1_000);
    let answer = site.answer("00000000000000aa").expect("an answer");
    assert_eq!(answer.answer, RunAnswer::Ended(JobEnd::Completed));
    let took = answer.answered_at.since(answer.asked_at).as_millis();
    assert!(
        took < 450,
        "{took} ms: the ends of its runs were noticed late"
    );
    assert!(site.violations().is_empty(), "{:?}", site.violations());
}

#[test]
fn site_serves_soon_after_all_instances_died() {
    let mut site = started(1);
    submit(&mut site, 0, 20, &[0, 1, 2, 3, 4, 5], 15);
    for node in 0..site.node_count() {
        site.kill(node);
    }
    site.run_ms(1_300);
    for node in 0..site.node_count() {
        site.start_node(node);
    }
    site.run_ms(1_000);
    assert_eq!(usable(&site), site.upstream_count());
    submit(&mut site, 100, 50, &[0, 1, 2, 3, 4, 5], 20);
    site.run_ms(1_000);
    let completed_late = (100..150u32).filter(|number| {
        let answer = site.answer(&format!("{number:016x}"));
        answer.is_some_and(|end| end.answer == RunAnswer::Ended(JobEnd::Completed))
    });
    assert_eq!(completed_late.count(), 50);
    assert!(site.violations().is_empty(), "{:?}", site.violations());
}

#[test]
fn start_superseded_by_a_newer_owner_is_placed_again() {
    let mut site = RunSite::start(&SitePlan::new(1, 3, 6));
    // The first instance has read the roster before the others registered.
    site.run_ms(20);
    site.submit(0, "look", "00000000000000aa", &run_job(8, 6_800, 60));
    site.run_ms(600);
    let answer = site.answer("00000000000000aa").expect("an answer");
    assert_eq!(answer.answer, RunAnswer::Ended(JobEnd::Completed));
    assert!(site.violations().is_empty(), "{:?}", site.violations());
}

#[test]
fn reconnected_instance_serves_without_the_store() {
    let mut site = started(1);
    site.cut_from_store(0, true);
    for other in 1..6 {
        site.cut(0, other, true);
    }
    // Meanwhile the others have removed it from the roster.
    site.run_ms(5_000);
    for other in 1..6 {
        site.cut(0, other, false);
    }
    site.run_ms(500);
    site.submit(0, "look", "00000000000000aa", &run_job(8, 6_800, 60));
    site.run_ms(600);
    let answer = site.answer("00000000000000aa").expect("an answer");
    assert_eq!(answer.answer, RunAnswer::Ended(JobEnd::Completed));
    assert!(site.violations().is_empty(), "{:?}", site.violations());
}
