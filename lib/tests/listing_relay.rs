//! Bounded dissemination: two instances of a data centre read the upstreams' entries, the others hear
//! from them, and read for themselves where they do not.

use std::sync::Arc;
use std::time::Duration;

use almondhead_lib::id::Incarnation;
use almondhead_lib::runs::event::RunEvent;
use almondhead_lib::runs::intended_state::IntendedState;
use almondhead_lib::runs::listed_upstream::ListedUpstream;
use almondhead_lib::runs::listed_upstream::ListingChange;
use almondhead_lib::runs::listed_upstream::ListingRead;
use almondhead_lib::runs::overload::OverloadPolicy;
use almondhead_lib::runs::resources::Resources;
use almondhead_lib::runs::run_dispatcher::IntendedDecoder;
use almondhead_lib::runs::run_dispatcher::RunDispatcher;
use almondhead_lib::runs::run_settings::RunLimits;
use almondhead_lib::runs::run_settings::RunSettings;
use almondhead_lib::time::Timestamp;
use almondhead_testsupport::run_site::RunSite;
use almondhead_testsupport::run_site::SitePlan;
use almondhead_testsupport::run_site::run_job;

const INSTANCES: usize = 8;
const UPSTREAMS: usize = 6;

/// Two data centres with eight instances and six upstreams each.
fn started() -> RunSite {
    let mut site = RunSite::start(&SitePlan::new(2, INSTANCES as u32, UPSTREAMS as u32));
    site.run_ms(4_000);
    site
}

/// How often each instance reads the entries within the next `ms` milliseconds.
fn reads_within(site: &mut RunSite, ms: u64) -> Vec<u64> {
    let count = |site: &RunSite| -> Vec<u64> {
        let nodes = 0..site.node_count();
        nodes.map(|node| site.listing_reads(node)).collect()
    };
    let before = count(site);
    site.run_ms(ms);
    let after = count(site).into_iter().zip(before);
    after.map(|(after, before)| after - before).collect()
}

/// The instances that read the entries, by what they do within a second and a half.
fn readers(site: &mut RunSite) -> Vec<usize> {
    let reads = reads_within(site, 1_500);
    let readers = (0..).zip(reads).filter(|(_, reads)| *reads > 0);
    readers.map(|(node, _)| node).collect()
}

/// Submits a job of many tasks at each instance and lets the site run for a second.
fn fill(site: &mut RunSite, first_job: u64) {
    for node in 0..site.node_count() {
        let id = format!("{:016x}", first_job + node as u64);
        site.submit(node, "look", &id, &run_job(3, 6_800, 100));
    }
    site.run_ms(1_000);
}

#[test]
fn two_instances_of_a_data_centre_read_for_all() {
    let mut site = started();
    let readers = readers(&mut site);
    let near = readers.iter().filter(|node| **node < INSTANCES);
    assert_eq!((near.count(), readers.len()), (2, 4));
    for node in 0..site.node_count() {
        assert_eq!(site.listed_upstreams(node), 2 * UPSTREAMS);
    }
    fill(&mut site, 1);
    assert!(site.violations().is_empty(), "{:?}", site.violations());
}

/// Guards against reads by every instance that does not exchange heartbeats with its readers, and so cannot
/// tell how old their updates are.
#[test]
fn two_of_many_instances_read_for_all() {
    let mut site = RunSite::start(&SitePlan::new(2, 24, UPSTREAMS as u32));
    site.run_ms(15_000);
    let reads = reads_within(&mut site, 30_000);
    let readers = reads.iter().filter(|reads| **reads > 0);
    assert_eq!(readers.count(), 4, "{reads:?}");
}

/// Guards against a reader that counts as unreachable at times, where instances that exchange no heartbeats
/// with it have not shown it their clocks lately.
#[test]
fn readers_stay_reachable() {
    let mut site = RunSite::start(&SitePlan::new(2, 24, UPSTREAMS as u32));
    site.run_ms(15_000);
    let reachable = |site: &RunSite| -> Vec<usize> {
        let nodes = 0..site.node_count();
        nodes.map(|node| site.reachable_peers(node)).collect()
    };
    let at_first = reachable(&site);
    for _ in 0..300 {
        site.run_ms(100);
        assert_eq!(reachable(&site), at_first);
    }
}

#[test]
fn few_instances_read_for_themselves() {
    let mut site = RunSite::start(&SitePlan::new(2, 4, 4));
    site.run_ms(4_000);
    assert_eq!(readers(&mut site).len(), 8);
}

/// Guards against an owner that goes on starting tasks on a draining upstream because the readers of
/// its data centre are frozen.
#[test]
fn draining_is_known_in_time_without_readers() {
    let mut site = started();
    let readers = readers(&mut site);
    for reader in readers {
        site.freeze(reader);
    }
    site.drain_upstream(0);
    site.run_ms(2_000);
    let before = site.start_count(0);
    fill(&mut site, 1);
    assert_eq!(site.start_count(0), before);
}

/// Guards against an owner that goes on starting tasks on a draining upstream because the updates of
/// its readers, whose links are more and more behind, still arrive one after the other.
#[test]
fn draining_is_known_in_time_with_late_updates() {
    let mut site = started();
    let readers = readers(&mut site);
    for step in 1..=10 {
        for reader in &readers {
            for node in (0..site.node_count()).filter(|node| node != reader) {
                site.delay_messages(*reader, node, Duration::from_millis(300 * step));
            }
        }
        site.run_ms(550);
    }
    site.drain_upstream(0);
    site.run_ms(2_000);
    let before = site.start_count(0);
    fill(&mut site, 1);
    assert_eq!(site.start_count(0), before);
}

#[test]
fn instances_that_hear_from_no_reader_read() {
    let mut site = started();
    let readers = readers(&mut site);
    for reader in &readers {
        for node in 0..site.node_count() {
            if !readers.contains(&node) {
                site.cut_one_way(*reader, node, true);
            }
        }
    }
    site.run_ms(1_500);
    let reads = reads_within(&mut site, 2_000);
    assert!(reads.iter().all(|reads| *reads >= 3), "{reads:?}");
    // Once readers are heard again, the others stop reading.
    for reader in &readers {
        for node in 0..site.node_count() {
            site.cut_one_way(*reader, node, false);
        }
    }
    site.run_ms(1_500);
    let reads = reads_within(&mut site, 2_000);
    assert_eq!(reads.iter().filter(|reads| **reads > 0).count(), 4);
}

/// Guards against a change that is lost with an update and never read.
#[test]
fn missed_update_is_read_from_the_store() {
    let mut site = started();
    let readers = readers(&mut site);
    let others = (0..site.node_count()).filter(|node| !readers.contains(node));
    let others: Vec<usize> = others.collect();
    let cut = |site: &mut RunSite, is_cut| {
        for reader in &readers {
            for node in &others {
                site.cut_one_way(*reader, *node, is_cut);
            }
        }
    };
    cut(&mut site, true);
    site.delist(0);
    site.run_ms(700);
    cut(&mut site, false);
    site.run_ms(1_500);
    for node in 0..site.node_count() {
        assert_eq!(site.listed_upstreams(node), 2 * UPSTREAMS - 1, "{node}");
    }
}

/// Guards against an old change that arrives after a newer one and undoes it.
#[test]
fn late_update_undoes_nothing() {
    let mut site = started();
    let readers = readers(&mut site);
    let late = readers[0];
    for node in 0..INSTANCES {
        if node != late {
            site.hold_messages(late, node, true);
        }
    }
    site.delist(0);
    site.run_ms(600);
    site.relist(0);
    site.run_ms(1_200);
    for node in 0..INSTANCES {
        if node != late {
            site.hold_messages(late, node, false);
        }
    }
    site.run_ms(100);
    for node in 0..site.node_count() {
        assert_eq!(site.listed_upstreams(node), 2 * UPSTREAMS, "{node}");
    }
}

/// A reader that is killed is replaced: the others read until the roster names another.
#[test]
fn killed_readers_are_replaced() {
    let mut site = started();
    site.set_caller_wait(Some(Duration::from_secs(3)));
    for reader in readers(&mut site) {
        site.kill(reader);
    }
    site.run_ms(8_000);
    assert_eq!(readers(&mut site).len(), 4);
    site.delist(0);
    site.run_ms(1_500);
    let listed = (0..site.node_count()).map(|node| site.listed_upstreams(node));
    assert!(
        listed
            .filter(|listed| *listed > 0)
            .all(|listed| listed == 2 * UPSTREAMS - 1)
    );
}

/// Decodes nothing: the intended state plays no part here.
#[derive(Debug)]
struct NoDecoder;

impl IntendedDecoder for NoDecoder {
    fn decode(&self, _body: &[u8]) -> Option<IntendedState> {
        None
    }
}

fn listing_read(version: u64, changes: Vec<ListingChange>) -> RunEvent {
    RunEvent::ListingRead(ListingRead {
        all_ids: None,
        version,
        changes,
        as_of: Some(Timestamp::ZERO),
    })
}

/// Guards against an upstream that has left being listed again by an old change, because the change
/// that removed it was forgotten before those that are older.
#[test]
fn last_removal_is_remembered_longest() {
    let settings = RunSettings {
        instance: Arc::from("entry"),
        data_centre: Arc::from("dc"),
        incarnation: Incarnation(1),
        overload: OverloadPolicy::ByArrival,
        limits: RunLimits::default(),
    };
    let mut dispatcher = RunDispatcher::new(settings, Box::new(NoDecoder));
    let now = Timestamp::from_us(1_000);
    let listed = |id: &str, version| ListingChange {
        id: Arc::from(id),
        version,
        upstream: Some(Arc::new(ListedUpstream {
            id: Arc::from(id),
            service: Arc::from("work"),
            address: "127.0.0.1:9".parse().expect("an address"),
            data_centre: Arc::from("dc"),
            draining: false,
            capacity: Resources::default(),
            labels: Vec::new(),
            born_unix_ms: None,
        })),
    };
    let removed = |id: &str, version| ListingChange {
        id: Arc::from(id),
        version,
        upstream: None,
    };
    // The upstream is the first that was listed, and the last that was removed.
    let mut events = vec![listing_read(1, vec![listed("first", 1)])];
    let others = |versions: std::ops::Range<u64>| {
        let others = versions.map(|version| removed(&format!("up-{version}"), version));
        others.collect()
    };
    events.push(listing_read(7_500, others(2..7_501)));
    events.push(listing_read(7_501, vec![removed("first", 7_501)]));
    events.push(listing_read(11_000, others(7_502..9_600)));
    events.push(listing_read(11_001, vec![listed("first", 5_999)]));
    for event in events {
        dispatcher.handle(now, event, &mut Vec::new());
    }
    assert_eq!(dispatcher.status().listed_upstreams, 0);
}
