//! The wire form of changes of the upstreams' entries.

use std::sync::Arc;
use std::time::Duration;

use almondhead_lib::runs::listed_upstream::ListedUpstream;
use almondhead_lib::runs::listed_upstream::ListingChange;
use almondhead_lib::runs::listing_relay::ListingUpdate;
use almondhead_lib::runs::resources::Resources;
use almondhead_lib::runs::run_message::RunMessage;
use almondhead_testsupport::round_trip::arrival_of;
use almondhead_testsupport::round_trip::assert_arrives_as_sent;

fn upstream(id: &str, born_unix_ms: Option<u64>) -> Arc<ListedUpstream> {
    Arc::new(ListedUpstream {
        id: Arc::from(id),
        service: Arc::from("work"),
        address: "10.0.0.7:8080".parse().expect("an address"),
        data_centre: Arc::from("dc-0"),
        draining: true,
        capacity: Resources {
            cpu_millicores: 16_000,
            memory_mb: 65_536,
            accelerators: 2,
        },
        labels: vec![Arc::from("kind-a"), Arc::from("rack-3")],
        born_unix_ms,
    })
}

#[test]
fn update_arrives_as_it_was_sent() {
    let update = ListingUpdate {
        after: 41,
        version: 47,
        changes: vec![
            ListingChange {
                id: Arc::from("up-1"),
                version: 42,
                upstream: Some(upstream("up-1", Some(1_764_849_600_000))),
            },
            ListingChange {
                id: Arc::from("up-2"),
                version: 43,
                upstream: None,
            },
            ListingChange {
                id: Arc::from("up-3"),
                version: 47,
                upstream: Some(upstream("up-3", None)),
            },
        ],
        age: Some(Duration::from_millis(7)),
    };
    assert_arrives_as_sent(RunMessage::Listing(update));
}

/// Guards against one entry that no message can carry, and that costs the other changes of the update:
/// instances of an earlier version pass on what they read.
#[test]
fn odd_entry_costs_itself_alone() {
    let labelled = |labels: Vec<Arc<str>>| {
        let mut odd = (*upstream("up-2", Some(3))).clone();
        odd.labels = labels;
        Some(Arc::new(odd))
    };
    let long: Arc<str> = Arc::from("x".repeat(60_000));
    for odd in [labelled(vec![long]), labelled(vec![Arc::from("a"); 10_000])] {
        let change = |id: &str, version, upstream| ListingChange {
            id: Arc::from(id),
            version,
            upstream,
        };
        let update = |odd| ListingUpdate {
            after: 41,
            version: 47,
            changes: vec![
                change("up-1", 42, Some(upstream("up-1", Some(2)))),
                change("up-2", 43, odd),
                change("up-3", 47, Some(upstream("up-3", None))),
            ],
            age: None,
        };
        let received = arrival_of(RunMessage::Listing(update(odd)));
        assert_eq!(received, Some(RunMessage::Listing(update(None))));
    }
}
